"""Tests of what endpoints say of themselves in their answers."""

import random
from bisect import bisect_right

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bamboovale.decisions.endpoint_limit import LimitBelief
from bamboovale.decisions.limit_share import share_per_s
from bamboovale.decisions.request_pace import RequestPace, enforced_per_s
from bamboovale.gateway.model import AnswerNotice, EndpointRecord, EndpointSignals
from bamboovale.gateway.vm_state import VMState
from bamboovale.http1.connection import ResponseHead
from bamboovale.platform.node_file import NodeSettings
from bamboovale.platform.signals import decode_signals
from tests.gateway_site import RecordedJournal, node_document

LIMIT = b"server-limit"
LEAVING = b"server-leaving"
RETRY = b"retry-after"


def decode(*headers: tuple[bytes, bytes], status: int = 200) -> EndpointSignals:
    """Return the signals of an answer."""
    return decode_signals(ResponseHead(status, list(headers)))


class TestDecoding:
    """Headers of answers as typed signals."""

    @pytest.mark.parametrize(
        ("value", "limit_per_s"),
        [(b"4", 4.0), (b"4.25", 4.25), (b"0.5", 0.5), (b" 12 ", 12.0), (b"0", 0.0)],
    )
    def test_a_limit_is_read(self, value: bytes, limit_per_s: float) -> None:
        assert decode((LIMIT, value)) == EndpointSignals(limit_per_s)

    @pytest.mark.parametrize(
        "value", [b"", b"four", b"-1", b"inf", b"nan", b"1e9", b"4, 5"]
    )
    def test_a_bad_limit_is_no_signal(self, value: bytes) -> None:
        signals = decode((LIMIT, value))
        assert signals == EndpointSignals(malformed=("server-limit",))

    def test_a_limit_named_twice_is_no_signal(self) -> None:
        signals = decode((LIMIT, b"4"), (LIMIT, b"4"))
        assert signals == EndpointSignals(malformed=("server-limit",))

    def test_leaving_is_read_from_any_answer(self) -> None:
        for status in (200, 421, 500, 503):
            assert decode((LEAVING, b"1"), status=status).leaving

    @pytest.mark.parametrize("value", [b"", b"yes", b"2", b"1, 1"])
    def test_a_bad_word_of_leaving_is_no_signal(self, value: bytes) -> None:
        signals = decode((LEAVING, value), (LIMIT, b"3"))
        assert signals == EndpointSignals(3.0, malformed=("server-leaving",))

    def test_a_rest_is_asked_for_by_503_alone(self) -> None:
        assert decode((RETRY, b"2.5"), status=503).rest_s == 2.5
        assert decode((RETRY, b"2.5"), status=200).rest_s is None

    @pytest.mark.parametrize(
        "value", [b"-1", b"inf", b"nan", b"1e9", b"Wed, 21 Oct 2026 07:28:00 GMT"]
    )
    def test_a_bad_rest_is_no_signal(self, value: bytes) -> None:
        signals = decode((RETRY, value), status=503)
        assert signals == EndpointSignals(malformed=("retry-after",))

    def test_no_header_is_no_signal(self) -> None:
        assert decode((b"server", b"x")) == EndpointSignals()


class TestLimitBelief:
    """What answers to requests that overtake one another tell of a limit."""

    def test_a_limit_begins_changes_and_ends(self) -> None:
        belief = LimitBelief()
        assert belief.on_answer(4.0, 1.0, 1.1, ends=True)
        assert belief.on_answer(8.0, 2.0, 2.1, ends=True)
        assert belief.limit_per_s == 8.0
        assert belief.on_answer(None, 3.0, 3.1, ends=True)
        assert belief.limit_per_s is None

    def test_an_answer_to_an_older_request_does_not_end_it(self) -> None:
        """Guards against lifting a limit by an answer that was made before it."""
        belief = LimitBelief()
        belief.on_answer(4.0, 1.0, 1.5, ends=True)
        assert not belief.on_answer(None, 1.2, 1.6, ends=True)
        assert belief.limit_per_s == 4.0

    def test_a_report_without_a_limit_does_not_end_it(self) -> None:
        belief = LimitBelief()
        belief.on_answer(4.0, 1.0, 1.1, ends=True)
        assert not belief.on_answer(None, 2.0, 2.1, ends=False)
        assert belief.limit_per_s == 4.0

    def test_a_small_change_applies_and_is_not_news(self) -> None:
        belief = LimitBelief()
        belief.on_answer(4.0, 1.0, 1.1, ends=True)
        assert not belief.on_answer(4.2, 2.0, 2.1, ends=True)
        assert belief.limit_per_s == 4.2

    def test_the_newest_number_of_other_vms_applies(self) -> None:
        belief = LimitBelief()
        assert belief.on_news(4.0, 1, 1.0)
        assert not belief.on_news(4.0, 1, 1.1)
        assert belief.on_news(None, 2, 1.2)
        assert not belief.on_news(4.0, 1, 1.3)
        assert belief.limit_per_s is None

    def test_two_vms_that_learn_at_once_agree_on_the_lower_limit(self) -> None:
        first, second = LimitBelief(), LimitBelief()
        first.on_answer(4.0, 1.0, 1.1, ends=True)
        second.on_answer(8.0, 1.0, 1.1, ends=True)
        assert not first.on_news(8.0, second.number, 1.2)
        assert second.on_news(4.0, first.number, 1.2)
        assert first.limit_per_s == second.limit_per_s == 4.0

    def test_news_of_a_limit_are_not_ended_by_an_older_answer(self) -> None:
        belief = LimitBelief()
        belief.on_news(4.0, 1, 2.0)
        assert not belief.on_answer(None, 1.9, 2.1, ends=True)
        assert belief.on_answer(None, 2.2, 2.3, ends=True)


class TestRequestPace:
    """Requests to one endpoint from one sender."""

    def test_it_starts_empty(self) -> None:
        """Guards against a new owner that repeats the burst of the one before."""
        pace = RequestPace()
        pace.set_rate(4.0, 10.0)
        assert pace.wait_s(10.0) == 0.25
        assert pace.wait_s(10.0, ahead=3) == 1.0

    def test_a_higher_rate_applies_at_once(self) -> None:
        pace = RequestPace()
        pace.set_rate(1.0, 0.0)
        pace.set_rate(10.0, 0.5)
        assert pace.wait_s(0.5) == pytest.approx(0.05)

    def test_without_a_rate_all_may_go(self) -> None:
        pace = RequestPace()
        pace.take(0.0)
        assert pace.wait_s(0.0, ahead=100) == 0.0

    def test_an_endpoint_that_takes_nothing_is_asked_now_and_then(self) -> None:
        """Guards against an endpoint that is never tried again after its limit."""
        assert enforced_per_s(0.0) == 0.25


WINDOW_S = 4.0


def most_in_window(times: list[float]) -> int:
    """Return the largest number of times in any window."""
    times = sorted(times)
    return max(
        (bisect_right(times, at + WINDOW_S) - index for index, at in enumerate(times)),
        default=0,
    )


class TestShares:
    """VMs that share a limit without a message between them."""

    @settings(max_examples=60, deadline=None)
    @given(
        limit_per_s=st.floats(0.5, 100.0),
        vms=st.sampled_from([1, 2, 6, 9, 24, 86]),
        missing=st.sets(st.integers(0, 85), max_size=3),
        idle_s=st.sampled_from([0.0, 10.0, 400.0]),
        seed=st.integers(0, 10_000),
    )
    @example(limit_per_s=0.5, vms=86, missing=set(), idle_s=400.0, seed=1)
    def test_together_they_keep_to_it(
        self,
        limit_per_s: float,
        vms: int,
        missing: set[int],
        idle_s: float,
        seed: int,
    ) -> None:
        """Guards against VMs each of which is within its share and all are not.

        After an idle time every VM has more demand than its share; some VMs are thought
        gone by half.
        """
        rng = random.Random(seed)
        vm_ids = [f"vm-{number}" for number in range(vms)]
        sent_at = []
        for number, vm_id in enumerate(vm_ids):
            seen = [v for n, v in enumerate(vm_ids) if n not in missing or n == number]
            known = seen if number % 2 else vm_ids
            pace = RequestPace()
            now = rng.uniform(0.0, 1.0)
            pace.set_rate(share_per_s("e", limit_per_s, vm_id, known), now)
            now += idle_s
            while now < idle_s + 12.0:
                wait_s = pace.wait_s(now)
                if wait_s <= 0.0:
                    pace.take(now)
                    sent_at.append(now)
                    continue
                now += min(max(wait_s, 0.001), 12.0)
        assert most_in_window(sent_at) <= 1.5 * WINDOW_S * limit_per_s + 5.0

    def test_what_the_limit_allows_is_used(self) -> None:
        for vms in (1, 6, 86):
            vm_ids = [f"vm-{number}" for number in range(vms)]
            shares = [share_per_s("e", 4.3, vm_id, vm_ids) for vm_id in vm_ids]
            assert sum(shares) == pytest.approx(4.3)
            assert sum(share > 0.0 for share in shares) == min(vms, 9)


class TestSignalReader:
    """Signals of endpoints whose records come and go."""

    def make_state(self) -> VMState:
        """Return the state of a VM that knows one endpoint."""
        document = node_document(("127.0.0.1", 1), "entry-0")
        node = NodeSettings.from_document(document).unwrap()
        state = VMState(node, RecordedJournal("entry-0"))
        record = EndpointRecord("e", "app", ("127.0.0.1", 1), "a", True, 6)
        state.endpoints.on_record("e", record)
        return state

    def test_a_late_answer_of_an_endpoint_that_is_gone_leaves_nothing(self) -> None:
        """Guards against tables that grow with each endpoint that was ever there."""
        state = self.make_state()
        state.endpoints._drop("e")
        signals = EndpointSignals(4.0, leaving=True, rest_s=2.0)
        state.signals.on_answer(AnswerNotice("e", signals, state.now()))
        assert state.limits.limited_ids() == set()
        assert state.endpoints.leaving_ids() == set()
        assert state.rests.left_by_id(state.now()) == {}

    def test_a_lapsed_endpoint_that_says_it_leaves_is_dropped_after_the_outage(
        self,
    ) -> None:
        """Guards against an endpoint that stays known after its record went."""
        state = self.make_state()
        state.endpoints.on_record("e", None)
        assert state.endpoints.expired_ids() == {"e"}
        assert state.endpoints.on_leaving("e", "answer")
        assert not state.endpoints.is_ready("e")
        state.endpoints.drop_expired()
        assert state.endpoints.record_by_id == {}
        assert state.endpoints.leaving_ids() == set()
