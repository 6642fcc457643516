"""A small cluster with a catalogue and callers, for tests of individual promises."""

import itertools
import random
import tempfile
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

from bench.callers import Caller, Load, LoadConfig, running_load
from bench.cluster import Cluster, ClusterConfig, running_cluster
from bench.collection import collect_history
from bench.entry_list import EntryList
from bench.history import History, Outcome
from bench.jobs import Job, JobKind
from bench.operators import ADAPTERS, SERVICES, Operator, build_catalogue
from bench.processes import poll_until_timeout
from bench.verdict import Verdict
from bench.violations import Bounds

SMALL = ClusterConfig(
    engines=2,
    services=1,
    entries=3,
    entry_options=("--entries-ttl-s=1", "--drain-timeout-s=20"),
    engine_options=("--max-loras", "2", "--max-num-seqs", "4", "--step-ms", "15"),
    weights_options=("--load-seconds", "0.2"),
)
CALLER_THREADS = 32
CONDITION_TIMEOUT_S = 15.0


@dataclass
class FixedEntry:
    """An entry list with one entry VM that is never dropped."""

    address: str

    def choose(self) -> str:
        """Return the one address."""
        return self.address

    def drop(self, address: str) -> None:
        """Do nothing: the address stays in use."""

    def add_seed(self, address: str) -> None:
        """Do nothing: there is only one address."""


@dataclass
class Scenario:
    """A ready cluster, with an operator, callers and jobs for a test."""

    cluster: Cluster
    operator: Operator
    threads: ThreadPoolExecutor
    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    @property
    def addresses(self) -> list[str]:
        """Return the callers' addresses of the live entry VMs."""
        return [entry.callers_address for entry in self.cluster.live_entries()]

    def caller(self, at: str = "", name: str = "agency-1") -> Caller:
        """Return a caller, which only uses the entry VM ``at`` if that is given."""
        source = random.Random(name)
        if at:
            entry = self.cluster.entry_by_id[at]
            return Caller(
                name,
                FixedEntry(entry.callers_address),
                self.cluster.recorder,
                source,
            )
        entries = EntryList(self.addresses, source)
        return Caller(name, entries, self.cluster.recorder, source)

    def job(
        self,
        kind: JobKind,
        entry: str = "",
        max_tokens: int = 8,
        text: str = "",
    ) -> Job:
        """Return a job with a unique id."""
        default = SERVICES[0] if kind.value.endswith("call") else ADAPTERS[0]
        return Job(
            f"job{next(self.numbers)}",
            kind,
            entry or default,
            max_tokens=max_tokens,
            text=text,
        )

    def begin(self, caller: Caller, job: Job) -> "Future[Outcome]":
        """Let a caller finish a job in the background."""
        return self.threads.submit(caller.finish, job)

    @contextmanager
    def load(self, config: LoadConfig | None = None) -> Iterator[Load]:
        """Run a mixed load on all entry VMs for the block."""
        chosen = config or LoadConfig(ADAPTERS, SERVICES, callers=6)
        with running_load(
            chosen,
            self.addresses,
            self.cluster.recorder,
            self.numbers,
        ) as load:
            yield load

    def history(self) -> History:
        """Return the history so far."""
        return collect_history(self.cluster)

    def run_end(self, job: Job) -> str:
        """Return why a job's last run at an engine ended, empty while it runs."""
        ends = [
            run.ended.reason if run.ended else ""
            for run in self.history().runs
            if run.started.request_id.startswith(f"{job.id}t")
        ]
        return ends[-1] if ends else ""

    def evaluate(self, bounds: Bounds | None = None) -> Verdict:
        """Read the end state of every live entry VM and check the history."""
        for entry in self.cluster.live_entries():
            self.operator.read_state(entry, final=True)
        return Verdict.from_history(self.history(), bounds)


@contextmanager
def running_scenario(
    config: ClusterConfig = SMALL,
    **changes: object,
) -> Iterator[Scenario]:
    """Run a cluster with a published catalogue; ``changes`` replace config fields."""
    chosen = replace(config, **changes)  # type: ignore[arg-type]
    with (
        tempfile.TemporaryDirectory(prefix="bamboovale-scenario-") as directory,
        running_cluster(chosen, Path(directory)) as cluster,
        ThreadPoolExecutor(CALLER_THREADS) as threads,
    ):
        operator = Operator(cluster)
        operator.publish(build_catalogue())
        first = cluster.live_entries()[0]
        operator.wait_until_everywhere(operator.read_revision(first))
        yield Scenario(cluster, operator, threads)


def wait_until(condition: Callable[[], bool], message: str) -> float:
    """Wait for a condition; return the seconds it took. Raises StartError."""
    for waited in poll_until_timeout(CONDITION_TIMEOUT_S, message):
        if condition():
            return waited
    raise AssertionError("unreachable")
