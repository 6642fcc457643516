"""Mutation check: the test of each promise must fail without the promise's guard.

Run with ``make guards``. Each guard is removed in a temporary copy of the sources,
where the named test must then fail; the worktree is not changed.
"""

import argparse
import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from bench.crash_guards import CRASH_GUARDS
from bench.crowd_guards import CROWD_GUARDS
from bench.customer_guards import CUSTOMER_GUARDS
from bench.cut_guards import CUT_GUARDS
from bench.endless_guards import ENDLESS_GUARDS
from bench.guard import Change, Guard
from bench.http1_guards import HTTP1_GUARDS
from bench.left_guards import LEFT_GUARDS
from bench.odd_guards import ODD_GUARDS
from bench.order_guards import ORDER_GUARDS
from bench.retry_guards import PATH_GUARDS, RETRY_GUARDS
from bench.signal_guards import SIGNAL_GUARDS
from bench.stop_guards import STOP_GUARDS
from bench.store_guards import STORE_GUARDS
from bench.stream_guards import STREAM_GUARDS
from bench.violations import Promise

ROOT = Path(__file__).resolve().parent.parent
COPIED = ("bamboovale", "bench", "tests", "pyproject.toml")
TEST_TIMEOUT_S = 150.0
PARALLEL_RUNS = 2
CHECKER_FAILURE = re.compile(r"Promise\.([A-Z_]+)")
TEST_FAILURE = re.compile(r"^E +(assert .*|\w+Error.*|Failed.*)$", re.MULTILINE)


GUARDS = (
    Guard(
        "a VM with a stale catalogue refuses; peers forward records",
        Promise.RIGHT_VERSION,
        "tests/test_promises_engines.py::TestVersions::"
        "test_an_entry_vm_cut_from_everything_stops_serving_old_versions",
        (
            Change(
                "bamboovale/entry/readiness.py",
                "    if inputs.log_silent_s <= STALE_AFTER_S",
                "    return True\n    if inputs.log_silent_s <= STALE_AFTER_S",
            ),
            Change(
                "bamboovale/catalogue/actor.py",
                "        if message.first_offset > self._catalogue.next_offset:\n"
                "            return",
                "        return",
            ),
            Change(
                "bamboovale/catalogue/actor.py",
                "        if message.next_offset <= self._catalogue.next_offset:",
                "        if True:",
            ),
        ),
    ),
    Guard(
        "a permit pins its adapter; the engine's list is read before an eviction",
        Promise.NO_EVICTION,
        "tests/test_promises_engines.py::TestEviction::test_more_adapters_than_slots",
        (
            Change(
                "bamboovale/decisions/permits.py",
                "        return self._pins[lora_name] > 0",
                "        return False",
            ),
            Change(
                "bamboovale/engines/orders.py",
                "        return lora_name not in view.running_by_request_id.values()",
                "        return True",
            ),
        ),
    ),
    Guard(
        "an answer must name the attempt and version of its request",
        Promise.OWN_ANSWER,
        "tests/test_promises_answers.py::TestAnswers::"
        "test_answers_that_engines_mix_up_reach_nobody",
        (
            Change(
                "bamboovale/entry/engine_run.py",
                "        if named != (target.attempt_id, target.lora_name):",
                "        if target is None:",
            ),
        ),
    ),
    Guard(
        "a stream is whole only with its end marker",
        Promise.OWN_ANSWER,
        "tests/test_promises_answers.py::TestAnswers::"
        "test_a_stream_survives_a_break_on_the_way",
        (
            Change(
                "bamboovale/entry/engine_run.py",
                "        raise RunFailedError(\n"
                "            RunFailure.BROKEN, "
                '"the stream ended without its end marker"\n'
                "        )",
                "        return",
            ),
        ),
    ),
    Guard(
        "a call that was sent is never reported as not run",
        Promise.NOT_RUN,
        "tests/test_promises_answers.py::TestNotRun::test_a_service_that_drops_calls",
        (
            Change(
                "bamboovale/entry/service_calls.py",
                "                not_run=False,",
                "                not_run=True,",
            ),
        ),
    ),
    Guard(
        "the first claim of a key in log order wins",
        Promise.AT_MOST_ONCE,
        "tests/test_promises_at_most_once.py::TestAtMostOnce::"
        "test_two_entry_vms_get_one_key_at_once",
        (
            Change(
                "bamboovale/entry/idempotency_keys.py",
                "        if outcome.verdict is Verdict.WON:",
                "        if outcome.verdict:",
            ),
        ),
    ),
    Guard(
        "a leaving engine gets no permits and its queue moves to other engines",
        Promise.LEAVING,
        "tests/test_promises_engines.py::TestLeaving::"
        "test_a_leaving_engine_with_a_queue",
        (
            Change(
                "bamboovale/membership/view.py",
                "        return vm is None or vm.state is VMState.LEAVING",
                "        return vm is None",
            ),
            Change(
                "bamboovale/entry/decision_facade.py",
                'if vm.state == "live"]',
                "]",
            ),
            Change(
                "bamboovale/membership/view.py",
                "            if vm.pool == pool and vm.state is VMState.LIVE",
                "            if vm.pool == pool",
            ),
        ),
    ),
    Guard(
        "a stopping VM waits for its running requests",
        Promise.PLANNED_STOP,
        "tests/test_promises_entries.py::TestPlannedStop::"
        "test_a_long_stream_outlives_the_stop",
        (
            Change(
                "bamboovale/entry/vm.py",
                "        while self._caller_app.running and",
                "        while False and",
            ),
        ),
    ),
    Guard(
        "an edit based on a replaced revision is a conflict",
        Promise.EDITS,
        "tests/test_promises_entries.py::TestEdits::test_operators_race",
        (
            Change(
                "bamboovale/catalogue/rules.py",
                "        if change.base_revision is None:",
                "        if change:",
            ),
        ),
    ),
    Guard(
        "a VM without a lease table sends requests to the source of an engine's hints",
        Promise.ANSWERED,
        "tests/test_promises_entries.py::TestEdits::"
        "test_an_entry_vm_starts_during_an_outage_of_the_log",
        (
            Change(
                "bamboovale/entry/holder_router.py",
                "        return None if received is None else received.from_vm",
                "        return None",
            ),
        ),
    ),
)


def run_without(guard: Guard) -> str:
    """Run the guard's test without the guard; return the failure, or ''."""
    with tempfile.TemporaryDirectory(prefix="bamboovale-guard-") as name:
        directory = Path(name)
        for item in COPIED:
            source = ROOT / item
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, directory / item)
        for change in guard.changes:
            _apply(directory / change.path, change)
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", guard.test],
            cwd=directory,
            capture_output=True,
            text=True,
            timeout=TEST_TIMEOUT_S,
            check=False,
        )
    if done.returncode == 0:
        return ""
    if done.returncode != 1:
        raise RuntimeError(f"{guard.name}: pytest exited {done.returncode}")
    broken = set(CHECKER_FAILURE.findall(done.stdout)) & set(Promise.__members__)
    if broken:
        return "broken: " + ", ".join(sorted(broken))
    found = TEST_FAILURE.search(done.stdout)
    return found.group(1)[:100] if found else "the test failed"


def _apply(path: Path, change: Change) -> None:
    text = path.read_text()
    if text.count(change.text) < 1:
        raise RuntimeError(f"{change.path} does not contain {change.text.strip()!r}")
    path.write_text(text.replace(change.text, change.replacement, 1))


def describe(guard: Guard) -> tuple[bool, str]:
    """Try one guard; return whether its test failed, and a line for the report."""
    try:
        failure = run_without(guard)
    except (RuntimeError, subprocess.TimeoutExpired) as error:
        return False, f"NOT TRIED {guard.promise.name}: {guard.name}: {error}"
    verdict = f"fails without: {failure}" if failure else "PASSES WITHOUT"
    return bool(failure), f"{guard.promise.name}: {guard.name}: {verdict}"


def main(arguments: Sequence[str] | None = None) -> int:
    """Try the guards of the named promises, by default all; return the exit code."""
    parser = argparse.ArgumentParser(prog="guards", description=__doc__)
    parser.add_argument("promises", nargs="*", help="names such as EDITS")
    options = parser.parse_args(arguments)
    selected = [
        guard
        for guard in (
            *GUARDS,
            *CUSTOMER_GUARDS,
            *CRASH_GUARDS,
            *SIGNAL_GUARDS,
            *RETRY_GUARDS,
            *STORE_GUARDS,
            *CROWD_GUARDS,
            *ENDLESS_GUARDS,
            *LEFT_GUARDS,
            *STREAM_GUARDS,
            *PATH_GUARDS,
            *ORDER_GUARDS,
            *HTTP1_GUARDS,
            *CUT_GUARDS,
            *ODD_GUARDS,
            *STOP_GUARDS,
        )
        if not options.promises or guard.promise.name in options.promises
    ]
    all_failed = True
    with ThreadPoolExecutor(PARALLEL_RUNS) as threads:
        for failed, line in threads.map(describe, selected):
            all_failed = all_failed and failed
            print(line, flush=True)
    return 0 if all_failed else 1


if __name__ == "__main__":
    sys.exit(main())
