"""From when a VM counts a planned stop."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable

import pytest

from bamboovale.event_loop import loop_factory
from bamboovale.gateway.stop_clock import WATCH_INTERVAL_S, StopClock
from tests.gateway_site import run, running_site

LATE_S = 0.6
SLACK_S = 0.3
"""More than the clock's interval, for timers on a busy machine."""
LOOPS = [asyncio.new_event_loop, loop_factory()]

WATCHED_PROCESS = """
import asyncio, signal, time
from bamboovale import event_loop
from bamboovale.gateway.stop_clock import StopClock

async def main():
    clock = StopClock(time.monotonic)
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    told = []
    def on_signal():
        told.append(clock.unasked_until)
        asked.set()
    loop.add_signal_handler(signal.SIGTERM, on_signal)
    task = loop.create_task(clock.watch())
    await asyncio.sleep(0.5)
    print("ready", flush=True)
    await asked.wait()
    print(told[0], flush=True)

event_loop.run(main())
"""


class TestStopClock:
    """The last time before which no signal can have come."""

    @pytest.mark.parametrize("make_loop", LOOPS)
    @pytest.mark.parametrize("due_at_once", [False, True])
    def test_a_loop_that_is_late_dates_the_signal_no_later(
        self, make_loop: Callable[[], asyncio.AbstractEventLoop], *, due_at_once: bool
    ) -> None:
        """Guards against a late timer that runs before the signal's handler."""

        async def test() -> None:
            clock = StopClock(time.monotonic)
            loop = asyncio.get_running_loop()
            dated = loop.create_future()
            loop.add_signal_handler(
                signal.SIGUSR1, lambda: dated.set_result(clock.unasked_until)
            )
            sent = []

            def send_and_block() -> None:
                sent.append(time.monotonic())
                os.kill(os.getpid(), signal.SIGUSR1)
                time.sleep(LATE_S)

            turns: list[float] = []

            async def note_turns() -> None:
                while True:
                    turns.append(time.monotonic())
                    await asyncio.sleep(WATCH_INTERVAL_S)

            watch = loop.create_task(clock.watch())
            other = loop.create_task(note_turns())
            await asyncio.sleep(3.3 * WATCH_INTERVAL_S)
            if due_at_once:
                # Both timers are late then, and the watch's comes first.
                loop.call_later(1.5 * WATCH_INTERVAL_S, send_and_block)
                time.sleep(2 * WATCH_INTERVAL_S)
            else:
                send_and_block()
            dated_at = await dated
            # A task with the watch's pauses had its last turns when the watch had its.
            earliest = [at for at in turns if at <= sent[0]][-2]
            assert min(earliest, sent[0] - WATCH_INTERVAL_S) - SLACK_S < dated_at
            assert dated_at <= sent[0]
            watch.cancel()
            other.cancel()

        with asyncio.Runner(loop_factory=make_loop) as runner:
            runner.run(test())

    def test_a_suspension_dates_the_signal_no_later(self) -> None:
        """Guards against a process that counts from the end of its suspension."""
        with subprocess.Popen(
            [sys.executable, "-c", WATCHED_PROCESS], stdout=subprocess.PIPE, text=True
        ) as process:
            assert process.stdout is not None
            assert process.stdout.readline() == "ready\n"
            process.send_signal(signal.SIGSTOP)
            suspended_at = time.monotonic()
            process.send_signal(signal.SIGTERM)
            sent_at = time.monotonic()
            time.sleep(LATE_S)
            process.send_signal(signal.SIGCONT)
            dated_at = float(process.stdout.readline())
            assert suspended_at - SLACK_S < dated_at <= sent_at


class TestStopOfALateVM:
    """A VM whose loop is late as it is told to stop."""

    def test_it_ends_by_the_clock_of_the_platform(self) -> None:
        """Guards against requests taken on, and an exit, later than the VM believes."""

        async def test() -> None:
            async with running_site(bounds={"grace-s": 3}) as site:
                [stopping] = site.vms
                loop = asyncio.get_running_loop()
                loop.add_signal_handler(signal.SIGUSR1, stopping.vm.stop)
                await asyncio.sleep(3.3 * WATCH_INTERVAL_S)
                sent_at = time.monotonic()
                os.kill(os.getpid(), signal.SIGUSR1)
                time.sleep(LATE_S)
                await stopping.task
                [line] = stopping.journal.of("stopping")
                assert line["since_stop_s"] >= LATE_S
                stop = stopping.vm.state.planned_stop
                assert stop is not None
                assert stop.started_at <= sent_at
                assert time.monotonic() - sent_at < 3.0

        run(test())
