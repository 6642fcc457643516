"""The soak's check of planned stops: each clause of the rule, just inside and outside.

SIGTERM comes at 100 s; the grace period is 8 s, its last sixth begins at 106.67 s.
"""

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from bamboovale.http1.connection import Connection
from bamboovale.standins.endpoint_signals import Arrival, SignalRecord
from bamboovale.standins.platform_endpoints import Run
from bench.soak_callers import ADAPTERS, Attempt, Caller, Kind, Load
from bench.soak_checks import Evidence, find_violations
from bench.soak_delay import MOST_S, SURE_S, LoopDelay
from bench.soak_proxy import Proxy
from bench.soak_site import GRACE_S, Life, SoakSite, VMProcess, running_site
from bench.soak_spans import FaultSpan
from bench.soak_stop_callers import Stream, describe_streams
from bench.soak_stops import BUSY, COPIES, cut_by_stops, passed_on

STOPPED = Life("vm", 50.0, True, 100.0, None, 107.5, 0)
LOAD = Load(events=100, deadline_s=10.0)
CUT = Attempt(
    *("r1", Kind.CHAT, "vm", "a1", 103.1, 107.3, 200, False, b"id: 1"),
    load=LOAD,
    late_s=0.05,
)
"""Sent too late to be excused; its run was still going on."""
IN_TIME = replace(CUT, sent_at=102.0)
"""The same, sent early enough to be excused."""
UNSENT = replace(CUT, status=0, ended_at=103.6, body=b"")
"""Never passed on, and closed without an answer."""


def run(started_at: float, ended_at: float | None, ended: str = "cancelled") -> Run:
    """Return the record of a run of the request."""
    return Run(
        *("r1", "/chat/x", b"", []),
        started_at=started_at,
        ended=ended,
        ended_at=ended_at,
    )


RUN = run(103.1, 107.3)


def is_lost(
    attempt: Attempt,
    *runs: Run,
    lives: tuple[Life, ...] = (STOPPED,),
    faults: tuple[FaultSpan, ...] = (),
    passed_on_ids: set[str] | None = None,
) -> bool:
    """Return whether the check takes the attempt for lost by a stop."""
    cuts = cut_by_stops(
        [attempt], faults, lives, {"r1": runs} if runs else {}, passed_on_ids or set()
    )
    return any(not cut.excuse for cut in cuts)


class TestLoss:
    """A connection that ends without a complete answer around a stop of its VM."""

    def test_a_stream_that_is_cut(self) -> None:
        assert is_lost(CUT, RUN)
        assert not is_lost(replace(CUT, whole=True), RUN)

    def test_only_the_vm_that_took_it(self) -> None:
        assert not is_lost(replace(CUT, vm="another"), RUN)

    def test_only_the_process_that_took_it(self) -> None:
        assert not is_lost(CUT, RUN, lives=(replace(STOPPED, started_at=103.2),))

    def test_the_end_of_an_answer_that_its_caller_left(self) -> None:
        assert not is_lost(replace(CUT, left=True), RUN)

    def test_a_request_of_which_a_half_was_never_sent(self) -> None:
        assert not is_lost(replace(CUT, sent_whole=False), RUN)

    @pytest.mark.parametrize(
        "ended_at, lost", [(99.99, False), (100.0, True), (109.0, True), (109.1, False)]
    )
    def test_from_sigterm_until_a_second_after_the_grace_time(
        self, ended_at: float, lost: bool
    ) -> None:
        sent_at = min(ended_at - 1.0, 107.0)
        attempt = replace(CUT, sent_at=sent_at, ended_at=ended_at)
        assert is_lost(attempt, run(sent_at, sent_at + 0.1)) is lost

    def test_a_vm_that_is_killed_at_the_end_of_its_grace_time(self) -> None:
        end = replace(STOPPED, ended_at=108.0, exit_code=-9, overstayed=True)
        assert is_lost(replace(CUT, ended_at=108.0), run(103.1, 108.0), lives=(end,))
        killed = replace(end, killed_at=108.0, overstayed=False)
        attempt = replace(CUT, ended_at=108.0)
        assert not is_lost(attempt, run(103.1, 108.0), lives=(killed,))


class TestPassedOn:
    """What was passed on is lost at once, else later than the slack."""

    @pytest.mark.parametrize("after_s, lost", [(0.24, False), (0.26, True)])
    def test_the_slack_and_what_the_caller_noted_late(
        self, after_s: float, lost: bool
    ) -> None:
        attempt = replace(UNSENT, ended_at=UNSENT.sent_at + after_s)
        assert is_lost(attempt) is lost

    def test_the_slack_begins_at_the_last_byte(self) -> None:
        begun = replace(UNSENT, begun_at=102.7)
        assert not is_lost(replace(begun, ended_at=UNSENT.sent_at + 0.1))

    def test_a_run_has_no_slack(self) -> None:
        crossed = replace(UNSENT, ended_at=UNSENT.sent_at + 0.1)
        assert is_lost(crossed, run(103.1, 103.2))

    def test_a_request_that_endpoints_rejected_was_passed_on(self) -> None:
        crossed = replace(UNSENT, ended_at=UNSENT.sent_at + 0.1)
        signals = SignalRecord()
        signals.arrivals = [Arrival("vm", 103.1, "r1")]
        assert is_lost(crossed, passed_on_ids=passed_on([signals]))
        assert not is_lost(crossed, passed_on_ids={"r2"})


class TestDeadline:
    """The deadline was reached."""

    @pytest.mark.parametrize("lasted_s, lost", [(9.94, True), (9.96, False)])
    def test_it_ends_what_it_reaches(self, lasted_s: float, lost: bool) -> None:
        attempt = replace(CUT, sent_at=CUT.ended_at - lasted_s)
        early = run(97.4, 103.0, "ok")
        assert is_lost(attempt, early) is lost

    def test_it_begins_with_the_first_byte(self) -> None:
        attempt = replace(CUT, sent_at=97.7, begun_at=97.3)
        assert not is_lost(attempt, run(97.7, 103.0, "ok"))


class TestBrokenOff:
    """The endpoint broke off."""

    @pytest.mark.parametrize("how", ["cut", "crashed"])
    def test_it_ends_the_answer(self, how: str) -> None:
        assert not is_lost(CUT, run(103.1, 104.0, how))

    def test_it_was_not_the_last_one(self) -> None:
        assert is_lost(CUT, run(103.1, 104.0, "cut"), run(104.1, 107.3))

    @pytest.mark.parametrize("how", ["cancelled", "ok", "running"])
    def test_it_did_not(self, how: str) -> None:
        assert is_lost(CUT, run(103.1, 104.0, how))


class TestStillAtWork:
    """The endpoint was at work in the last sixth on what was sent within 3 s."""

    @pytest.mark.parametrize("sent_s, lost", [(3.0, False), (3.01, True)])
    def test_the_last_byte_was_sent_in_time(self, sent_s: float, lost: bool) -> None:
        sent_at = 100.0 + sent_s
        attempt = replace(CUT, sent_at=sent_at, begun_at=sent_at - 0.3)
        assert is_lost(attempt, run(sent_at, 107.3)) is lost

    @pytest.mark.parametrize(
        "cut_at, lost", [(106.66, True), (106.67, False), (107.9, False)]
    )
    def test_the_cut_comes_in_the_last_sixth(self, cut_at: float, lost: bool) -> None:
        attempt = replace(IN_TIME, ended_at=cut_at)
        assert is_lost(attempt, run(102.0, cut_at)) is lost
        assert is_lost(attempt, run(102.0, None, "running")) is lost

    @pytest.mark.parametrize("ended", ["ok", "cancelled"])
    @pytest.mark.parametrize("run_end, lost", [(106.66, True), (106.67, False)])
    def test_the_run_reaches_the_last_sixth(
        self, ended: str, run_end: float, lost: bool
    ) -> None:
        attempt = replace(IN_TIME, ended_at=106.68)
        assert is_lost(attempt, run(102.0, run_end, ended)) is lost

    @pytest.mark.parametrize("run_end, lost", [(107.24, True), (107.26, False)])
    def test_the_run_goes_on_until_the_cut(self, run_end: float, lost: bool) -> None:
        assert is_lost(IN_TIME, run(102.0, run_end, "ok")) is lost

    def test_a_run_that_never_began_excuses_nothing(self) -> None:
        assert is_lost(IN_TIME)

    def test_an_earlier_run_that_goes_on_excuses_nothing(self) -> None:
        """Guards against an excuse by a run that the answer was no longer of."""
        assert is_lost(IN_TIME, run(102.0, None), run(103.0, 105.0, "ok"))

    def test_another_run_that_had_ended_excuses_nothing(self) -> None:
        assert is_lost(IN_TIME, run(102.0, 103.0, "ok"), run(103.0, 105.0, "ok"))
        assert not is_lost(IN_TIME, run(102.0, 103.0), run(103.0, 107.3))


class TestDisruption:
    """Nothing unplanned from the stable time before the request to its end."""

    @pytest.mark.parametrize(
        "span, lost",
        [
            ((99.0, 100.09), True),
            ((99.0, 100.11), False),
            ((107.29, 109.0), False),
            ((107.31, 109.0), True),
        ],
    )
    def test_when_it_counts(self, span: tuple[float, float], lost: bool) -> None:
        paused = FaultSpan("paused", "another", *span)
        assert is_lost(CUT, RUN, faults=(paused,)) is lost

    @pytest.mark.parametrize("name", [BUSY, COPIES])
    def test_what_excuses_nothing(self, name: str) -> None:
        assert is_lost(CUT, RUN, faults=(FaultSpan(name, "vm", 102.0, 102.3),))

    @pytest.mark.parametrize("killed_at, lost", [(100.0, True), (100.2, False)])
    def test_a_kill_of_any_vm(self, killed_at: float, lost: bool) -> None:
        killed = Life("another", 0.0, True, None, killed_at, killed_at, -9)
        assert is_lost(CUT, RUN, lives=(STOPPED, killed)) is lost

    def test_planned_stops_of_others_excuse_nothing(self) -> None:
        other = replace(STOPPED, vm="another", stopped_at=102.0, ended_at=109.5)
        assert is_lost(CUT, RUN, lives=(STOPPED, other))
        overstayed = replace(other, ended_at=102.0 + GRACE_S, overstayed=True)
        assert is_lost(CUT, RUN, lives=(STOPPED, overstayed))


class TestStreams:
    """The summary of what callers wanted and got."""

    @pytest.mark.parametrize(
        "changes, outcome",
        [
            ({"whole": True}, "served"),
            ({}, "cut"),
            ({"status": 503, "whole": True}, "refused"),
            ({"status": 502, "whole": True}, "failed"),
            ({"status": 0}, "failed"),
        ],
    )
    def test_the_last_try_counts(self, changes: dict[str, Any], outcome: str) -> None:
        refused = replace(CUT, status=503, whole=True)
        tries = [refused, replace(CUT, **changes)]
        stream = Stream(103.0, LOAD, has_ended=True, tries=tries)
        assert stream.outcome == outcome

    def test_the_wait_for_the_first_event_includes_the_tries_before(self) -> None:
        tries = [replace(CUT, status=503), replace(CUT, whole=True, first_at=105.5)]
        streams = [Stream(103.0, LOAD, True, tries), Stream(103.0, LOAD)]
        text = describe_streams(streams, [STOPPED])
        assert text.endswith("{'refused': 1, 'served': 1}")
        assert "'served': 1" in text and "'under way': 1" in text
        assert "1 refusals, first event after 2.50 s in the median" in text


class TestOverstay:
    """A VM that is killed at the end of its grace time broke the promise of a stop."""

    def broken(self, *faults: FaultSpan, has_stopped: bool = False) -> list[str]:
        end = replace(STOPPED, ended_at=108.0, exit_code=-9, overstayed=True)
        end.has_stopped = has_stopped
        found = find_violations(Evidence([], [], [end], faults))
        return [violation.promise for violation in found]

    def test_it_is_found(self) -> None:
        assert self.broken() == ["planned stop"]

    def test_not_if_its_stop_was_done(self) -> None:
        """Guards against alarms for a process that a busy machine ends slowly."""
        assert self.broken(has_stopped=True) == []

    @pytest.mark.parametrize(
        "name, paused_s, broken",
        [
            ("paused", 0.4, True),
            ("paused", 0.6, False),
            (BUSY, 0.4, True),
            (COPIES, 0.6, True),
        ],
    )
    def test_not_if_the_process_stood_still(
        self, name: str, paused_s: float, broken: bool
    ) -> None:
        span = FaultSpan(name, "vm", 102.0, 102.0 + paused_s)
        assert bool(self.broken(span)) is broken


class TestLoopDelay:
    """How late callers may have noted the end of a connection."""

    def test_a_loop_that_was_held_up(self) -> None:
        async def test() -> tuple[float, float]:
            delay = LoopDelay()
            task = asyncio.create_task(delay.run())
            await asyncio.sleep(0.05)
            before_s = delay.recent_s()
            time.sleep(0.05)
            during_s = delay.recent_s()
            time.sleep(0.2)
            await asyncio.sleep(0.02)
            task.cancel()
            assert delay.recent_s() == MOST_S
            return before_s, during_s

        before_s, during_s = asyncio.run(test())
        assert SURE_S <= before_s < during_s < MOST_S


class TestStreamsOfStandIns:
    """Streams are as long as asked, slow down with the batch, and note their end."""

    def play(
        self,
        directory: Path,
        steps: Callable[[SoakSite, Callable[[Load], Awaitable[Attempt]]], Any],
    ) -> None:
        """Run steps that send requests to one engine, without an entry VM."""

        async def test() -> None:
            async with running_site(directory, vms=0, runners=1, services=0) as site:
                (runner,) = site.runners
                for adapter in ADAPTERS:
                    runner.preload(adapter)
                runner.faults.event_s = 0.005
                vm = VMProcess("vm", {}, Proxy(("", 0)), directory)
                numbers = itertools.count()

                async def send(load: Load) -> Attempt:
                    caller = Caller([], [], numbers, random.Random(1), site.keys)
                    connection = await Connection.open(*runner.address)
                    try:
                        return await caller.send_on(connection, Kind.CHAT, vm, load)
                    finally:
                        connection.close()

                await steps(site, send)

        asyncio.run(test())

    def test_their_length(self, tmp_path: Path) -> None:
        async def steps(site: SoakSite, send: Any) -> None:
            for events in (1, 5, 40):
                attempt = await send(Load(events=events))
                assert attempt.whole and attempt.last_event_id == events
                run = site.runners[0].runs[-1]
                assert (run.ended, run.events) == ("ok", events)
                assert attempt.sent_at <= run.started_at <= run.ended_at
                assert run.ended_at <= attempt.ended_at

        self.play(tmp_path, steps)

    def test_their_pace(self, tmp_path: Path) -> None:
        async def steps(site: SoakSite, send: Any) -> None:
            engine = site.runners[0]
            engine.faults.slower_by_run_s = 0.005
            pause_s, pauses = engine._pause_s, list[float]()

            def noted_pause_s() -> float:
                pauses.append(pause_s())
                return pauses[-1]

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(engine, "_pause_s", noted_pause_s)
                load = Load(events=20)
                alone = await send(load)
                assert set(pauses) == {engine.faults.event_s}
                beside = await asyncio.gather(*(send(load) for _ in range(5)))
            assert max(pauses) == pytest.approx(engine.faults.event_s + 4 * 0.005)
            assert alone.lasted_s >= 20 * engine.faults.event_s
            assert beside[0].lasted_s >= 20 * engine.faults.event_s + 10 * 0.02

        self.play(tmp_path, steps)

    def test_a_run_whose_connection_ends(self, tmp_path: Path) -> None:
        async def steps(site: SoakSite, send: Any) -> None:
            task = asyncio.create_task(send(Load(events=1000)))
            await asyncio.sleep(0.2)
            (run,) = site.runners[0].runs
            assert (run.ended, run.ended_at) == ("running", None)
            task.cancel()
            await asyncio.sleep(0.1)
            assert run.ended == "cancelled"
            assert run.ended_at is not None and run.ended_at > run.started_at + 0.1

        self.play(tmp_path, steps)

    def test_a_body_in_two_halves(self, tmp_path: Path) -> None:
        async def steps(site: SoakSite, send: Any) -> None:
            attempt = await send(Load(half_s=0.2))
            assert attempt.whole and attempt.sent_whole
            assert attempt.begun_at + 0.2 <= attempt.sent_at
            run = site.runners[0].runs[-1]
            assert run.started_at >= attempt.begun_at + 0.2
            assert run.body == f"hello {attempt.request_id}".encode()
            proxy = site.proxy_by_endpoint[site.runners[0].endpoint_id]
            while proxy._writers:  # of the request before
                await asyncio.sleep(0.01)
            sending = asyncio.create_task(send(Load(half_s=1.0)))
            while not proxy._writers:
                await asyncio.sleep(0.01)
            proxy.reset()
            assert not (await sending).sent_whole

        self.play(tmp_path, steps)
