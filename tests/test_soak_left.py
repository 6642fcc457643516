"""The soak's check of callers that left: each clause of the rule, inside and outside.

The caller closes its connection at 100 s.
"""

from dataclasses import replace

import pytest

from bamboovale.standins.endpoint_signals import Arrival
from bamboovale.standins.platform_endpoints import Run
from bench.soak_callers import Attempt, Kind
from bench.soak_delay import SURE_S, LoopDelay
from bench.soak_left import FEW, left_requests, left_violations
from bench.soak_site import Life
from bench.soak_spans import FaultSpan
from bench.soak_stops import BUSY

SENT_ON = "nothing sent on for callers that left"
WORK = "no work for callers that left"
LEFT = Attempt(
    *("r", Kind.BOOK, "vm", None, 99.75, 100.0, 0, False), left=True, closed_at=100.0
)
LATE_AT = 100.5 + SURE_S + 0.01
RUN = Run(
    *("r", "/chat/x", b"", []), started_at=99.8, ended="cancelled", ended_at=LATE_AT
)
SERVES = Life("vm", 50.0, True)


def broken(
    attempt: Attempt = LEFT,
    *,
    count: int = FEW + 1,
    arrives_at: float | None = LATE_AT,
    runs: tuple[Run, ...] = (),
    faults: tuple[FaultSpan, ...] = (),
    life: Life = SERVES,
    is_complete: bool = True,
) -> list[str]:
    """Return the sentences that so many like requests break."""
    attempts = [replace(attempt, request_id=f"r{n}") for n in range(count)]
    arrivals = [
        Arrival("127.0.0.2", arrives_at, attempt.request_id)
        for attempt in attempts
        if arrives_at is not None
    ]
    runs_by_id = {
        attempt.request_id: runs[n % len(runs) : n % len(runs) + 1]
        for n, attempt in enumerate(attempts)
        if runs
    }
    left = left_requests(attempts, arrivals, runs_by_id, faults, [life], LoopDelay())
    return [promise for promise, _ in left_violations(left, is_complete=is_complete)]


class TestSentOn:
    """More than a few requests reach an endpoint over half a second later."""

    def test_more_than_a_few_break_it(self) -> None:
        assert broken() == [SENT_ON]
        assert broken(count=FEW) == []

    def test_so_do_those_whose_callers_gave_up_without_an_answer(self) -> None:
        assert broken(replace(LEFT, left=False)) == [SENT_ON]

    def test_those_in_time_do_not(self) -> None:
        assert broken(arrives_at=100.5) == []

    def test_those_whose_caller_waited_do_not(self) -> None:
        assert broken(replace(LEFT, closed_at=None)) == []

    def test_a_busy_machine_is_no_excuse(self) -> None:
        assert broken(faults=(FaultSpan(BUSY, "vm", 99.0, 101.0),)) == [SENT_ON]

    @pytest.mark.parametrize("name", ["paused", "paths cut"])
    def test_a_vm_out_of_touch_does_not_count(self, name: str) -> None:
        assert broken(faults=(FaultSpan(name, "vm", 90.0, 97.1),)) == []
        assert broken(faults=(FaultSpan(name, "vm", 90.0, 96.9),)) == [SENT_ON]
        assert broken(faults=(FaultSpan(name, "other", 90.0, 97.1),)) == [SENT_ON]

    def test_one_that_has_just_started_or_stops_does_not_count(self) -> None:
        assert broken(life=replace(SERVES, started_at=97.1)) == []
        assert broken(life=replace(SERVES, stopped_at=90.0)) == []
        assert broken(life=replace(SERVES, stopped_at=90.0, ended_at=96.9)) == [SENT_ON]


class TestWorkGoesOn:
    """Runs go on half a second later, over a quarter of those that would have."""

    CHAT = replace(LEFT, kind=Kind.CHAT)
    ENDED = replace(RUN, ended_at=100.4)

    def test_over_a_quarter_breaks_it(self) -> None:
        runs = (RUN, self.ENDED, self.ENDED, self.ENDED)
        assert broken(self.CHAT, count=8, arrives_at=None, runs=runs) == []
        assert broken(self.CHAT, count=9, arrives_at=None, runs=runs) == [WORK]

    def test_runs_that_have_not_ended_count(self) -> None:
        runs = (replace(RUN, ended="running", ended_at=None),)
        assert broken(self.CHAT, arrives_at=None, runs=runs) == [WORK]

    def test_those_that_would_not_have_lasted_do_not(self) -> None:
        short = replace(self.ENDED, started_at=99.4)
        whole = replace(self.ENDED, ended="answered")
        runs = (RUN, self.ENDED, self.ENDED, short, whole)
        assert broken(self.CHAT, count=5, arrives_at=None, runs=runs) == [WORK]

    def test_calls_that_run_once_do_not(self) -> None:
        assert broken(LEFT, arrives_at=None, runs=(RUN,)) == []

    def test_the_share_is_of_all(self) -> None:
        runs = (RUN,)
        assert broken(self.CHAT, arrives_at=None, runs=runs, is_complete=False) == []
