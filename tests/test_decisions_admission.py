"""Tests of admission control under floods and limits."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboovale.decisions.admission import (
    Admission,
    AdmissionConfig,
    Arrival,
    Limits,
)
from bamboovale.errors import ErrorCode

LIMITED = Limits(requests_per_s=30.0, concurrency=30)


def make_arrival(
    number: int,
    customer: str = "x",
    limits: Limits = Limits(),
    size_bytes: int = 100,
) -> Arrival:
    return Arrival(f"r{number}", customer, f"entry-{customer}", limits, size_bytes)


def count_admitted(
    admission: Admission,
    *,
    seconds: float,
    rate_per_s: float,
) -> int:
    rng = random.Random(1)
    admitted = 0
    for number in range(int(seconds * rate_per_s)):
        now = number / rate_per_s
        if admission.on_request(make_arrival(number, limits=LIMITED), now, rng) is None:
            admitted += 1
            admission.on_done(f"r{number}")
        if number % 100 == 0:
            admission.usage(now)
    return admitted


class TestBounds:
    """Guards against more open requests or bytes than configured."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("xyz"),
                st.integers(0, 400),
                st.booleans(),
            ),
            max_size=80,
        ),
    )
    def test_open_requests(self, steps: list[tuple[str, int, bool]]) -> None:
        config = AdmissionConfig(places=10, size_bytes=1000)
        admission = Admission.from_config(config)
        rng = random.Random(1)
        held: dict[str, int] = {}
        for number, (customer, size, ends) in enumerate(steps):
            arrival = make_arrival(number, customer, size_bytes=size)
            refusal = admission.on_request(arrival, 0.0, rng)
            if refusal is None:
                held[arrival.request_id] = size
            else:
                assert refusal.not_run
                assert refusal.retry_after_s
            if ends and held:
                request_id = next(iter(held))
                del held[request_id]
                admission.on_done(request_id)
            assert admission.open == len(held) <= 10
            assert sum(held.values()) <= 1000


class TestHotCaller:
    """Guards against one customer that takes the places of all others."""

    def test_places_stay_for_others(self) -> None:
        admission = Admission.from_config(AdmissionConfig(places=40))
        rng = random.Random(1)
        flood = [
            admission.on_request(make_arrival(number, "hot"), 0.0, rng)
            for number in range(200)
        ]
        assert flood.count(None) == 40
        for number in range(30):
            admission.on_done(f"r{number}")
        for number in range(300, 315):
            customer = f"c{number % 3}"
            assert (
                admission.on_request(make_arrival(number, customer), 1.0, rng) is None
            )
        refusal = admission.on_request(make_arrival(400, "hot"), 1.0, rng)
        assert refusal is None or refusal.code is ErrorCode.OVERLOADED


class TestLimits:
    """Guards against a limit that is not split by where its callers are."""

    def test_equal_share_without_usage_of_peers(self) -> None:
        admission = Admission.from_config(AdmissionConfig())
        admission.set_live_vms(3)
        admitted = count_admitted(admission, seconds=20, rate_per_s=100)
        assert 190 <= admitted <= 225

    def test_whole_limit_where_all_callers_are(self) -> None:
        admission = Admission.from_config(AdmissionConfig())
        admission.set_live_vms(2)
        admission.on_peer_usage("entry-2", {}, 0.0)
        admitted = count_admitted(admission, seconds=9, rate_per_s=100)
        assert 260 <= admitted <= 335

    def test_concurrency(self) -> None:
        admission = Admission.from_config(AdmissionConfig())
        admission.set_live_vms(6)
        limits = Limits(concurrency=12)
        rng = random.Random(1)
        answers = [
            admission.on_request(make_arrival(number, limits=limits), 0.0, rng)
            for number in range(5)
        ]
        assert answers[:2] == [None, None]
        assert all(answer is not None for answer in answers[2:])


class TestFirstBurst:
    """Guards against a token bucket that starts empty and refuses a first burst."""

    def test_a_new_entry_takes_a_burst_within_its_rate(self) -> None:
        admission = Admission.from_config(AdmissionConfig())
        limits = Limits(requests_per_s=100.0)
        arrivals = [Arrival(f"r{n}", "lw", "adapter/a", limits, 10) for n in range(10)]
        rng = random.Random(1)
        refusals = [admission.on_request(arrival, 0.0, rng) for arrival in arrivals]
        assert refusals == [None] * 10
