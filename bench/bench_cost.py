"""Measure the overhead of an entry VM: CPU time, latency, memory and threads.

Run with ``make bench-cost``. One entry VM, one engine and one plain service run as
separate processes. Requests through the entry VM and requests sent straight to the
endpoint alternate in the same run.
"""

import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import urllib3

from bamboovale.models import WorkClass
from bench.bench_callers import Ending, Received, TraceOrder, send_trace
from bench.bench_commit import read_commit
from bench.bench_deployment import LIMITS
from bench.cluster import Cluster, ClusterConfig, running_cluster
from bench.http import call_json
from bench.measures import percentile
from bench.members import ADMIN_TOKEN, BASE_MODEL, ENGINE_POOL, SERVICE_POOL, EntryVM
from bench.profiles import Arrival
from bench.slopes import KIB, Line, Usage, print_slope

ADAPTER = "adapter-0"
STEP_MS = 20
ROUNDS = 3
LATENCY_REQUESTS = 40
LATENCY_PAUSE_S = 0.06
CALLS = 200
TOKEN_COUNTS = (1, 20, 50, 100)
CPU_REQUESTS = 80
CPU_REQUESTS_PER_S = 10.0
IDLE_S = 5.0
STREAM_COUNTS = (0, 16, 32, 64, 96)
STREAM_S = 5.0
READING_AFTER_S = 4.0
CONFIG = ClusterConfig(
    engines=1,
    services=1,
    entries=1,
    entry_options=("--caller-threads=128",),
    engine_options=("--max-num-seqs=128", f"--step-ms={STEP_MS}"),
    service_options=("--latency-ms=0",),
    weights_options=("--load-seconds", "0.1"),
)


def evenly_spaced(count: int, pause_s: float, tokens: int) -> tuple[Arrival, ...]:
    """Return arrivals at equal intervals."""
    return tuple(
        Arrival(
            at=pause_s * number,
            adapter=ADAPTER,
            customer="customer-0",
            work_class=WorkClass.INTERACTIVE,
            tokens=tokens,
            max_wait_s=10.0,
        )
        for number in range(count)
    )


def send(
    label: str,
    address: str,
    arrivals: tuple[Arrival, ...],
    seconds: float,
) -> list[Received]:
    """Send arrivals to one address; raise ValueError if any request failed."""
    received = send_trace(
        TraceOrder(label, (address,), arrivals, time.time() + 0.1, seconds)
    )
    bad = [r for r in received if r.ending not in (Ending.WHOLE, Ending.FLOWING)]
    if bad:
        raise ValueError(f"{label}: {len(bad)} failed, first: {bad[0]}")
    return received


class CostBench:
    """Measures one entry VM."""

    def __init__(self, cluster: Cluster) -> None:
        self.entry: EntryVM = cluster.live_entries()[0]
        self._engine_url = cluster.standin_by_id["g1"].url
        self._service_url = cluster.standin_by_id["s1"].url

    def prepare(self) -> None:
        """Publish the catalogue and load the adapter for both request paths."""
        name = f"{ADAPTER}-{WorkClass.INTERACTIVE.value}"
        adapter = {
            "kind": "adapter",
            "name": name,
            "adapter": ADAPTER,
            "version": "1",
            "source": ADAPTER,
            "base_model": BASE_MODEL,
            "pool": ENGINE_POOL,
            "owner": "customer-0",
            "class": WorkClass.INTERACTIVE.value,
            "limits": {**LIMITS, "max_wait_s": 10.0},
        }
        pool = {"kind": "pool", "name": ENGINE_POOL, "base_model": BASE_MODEL}
        service = {
            "kind": "service",
            "name": "orders",
            "pool": SERVICE_POOL,
            "owner": "customer-0",
        }
        status, answer = call_json(
            "POST",
            f"{self.entry.admin_url}/admin/v1/apply",
            {"entries": [pool, adapter, service]},
            headers={"Authorization": f"Bearer {ADMIN_TOKEN}", "X-Author": "bench"},
        )
        if status != 200:
            raise ValueError(f"applying the catalogue failed: {status} {answer}")
        # Direct requests use the entry's name, so load the adapter under it as well.
        order = {"lora_name": name, "lora_path": ADAPTER}
        call_json("POST", f"{self._engine_url}/v1/load_lora_adapter", order)
        self._send_through("warm-up", evenly_spaced(10, 0.3, 2), 5.0)

    def _send_through(
        self, label: str, arrivals: tuple[Arrival, ...], seconds: float
    ) -> list[Received]:
        return send(label, self.entry.callers_address, arrivals, seconds)

    def measure_first_token(self) -> None:
        """Print the first-token wait, direct and through the entry VM."""
        arrivals = evenly_spaced(LATENCY_REQUESTS, LATENCY_PAUSE_S, 1)
        seconds = LATENCY_PAUSE_S * LATENCY_REQUESTS + 1.0
        engine = self._engine_url.removeprefix("http://")
        straight: list[float] = []
        through: list[float] = []
        for round_number in range(ROUNDS):
            straight += _waits(
                send(f"straight{round_number}", engine, arrivals, seconds)
            )
            through += _waits(
                self._send_through(f"through{round_number}", arrivals, seconds)
            )
        _print_comparison(f"first token, engine step {STEP_MS} ms", straight, through)

    def measure_calls(self) -> None:
        """Print the duration of service calls, direct and through the entry VM."""
        through_url = f"http://{self.entry.callers_address}/services/orders/stock"
        straight: list[float] = []
        through: list[float] = []
        with urllib3.PoolManager(retries=False) as http:
            for _ in range(CALLS):
                straight.append(_time_call(http, f"{self._service_url}/stock"))
                through.append(_time_call(http, through_url))
        _print_comparison("plain call, service takes 0 ms", straight, through)

    def measure_cpu(self) -> Line:
        """Print CPU time against answer length; the idle CPU time is subtracted."""
        idle_cores = self._idle_cores()
        print(f"idle entry VM: {100 * idle_cores:.2f} % of a core")
        points = []
        for tokens in TOKEN_COUNTS:
            arrivals = evenly_spaced(CPU_REQUESTS, 1 / CPU_REQUESTS_PER_S, tokens)
            seconds = CPU_REQUESTS / CPU_REQUESTS_PER_S + 4.0
            before = self._usage()
            self._send_through(f"cpu{tokens}", arrivals, seconds)
            after = self._usage()
            used_s = after.cpu_s - before.cpu_s - idle_cores * (after.at - before.at)
            points.append((float(tokens), 1000 * used_s / CPU_REQUESTS))
        return print_slope("processor time of a request", points, "token", "ms")

    def measure_streams(self) -> None:
        """Print memory and thread count against the number of open streams."""
        memory, threads = [], []
        for count in STREAM_COUNTS:
            usage = self._usage_with_streams(count)
            memory.append((float(count), usage.resident_bytes / KIB))
            threads.append((float(count), float(usage.threads)))
        print_slope("resident memory", memory, "open stream", "KiB")
        print_slope("threads", threads, "open stream", "threads")

    def _usage_with_streams(self, count: int) -> Usage:
        tokens = int(2 * STREAM_S * 1000 / STEP_MS)
        arrivals = evenly_spaced(count, 0.01, tokens)
        sender = threading.Thread(
            target=self._send_through,
            args=(f"open{count}", arrivals, STREAM_S),
        )
        sender.start()
        time.sleep(READING_AFTER_S)
        usage = self._usage()
        sender.join()
        return usage

    def _idle_cores(self) -> float:
        before = self._usage()
        time.sleep(IDLE_S)
        return self._usage().cores_since(before)

    def _usage(self) -> Usage:
        return Usage.of_process(self.entry.process.popen.pid)


def _waits(received: list[Received]) -> list[float]:
    return [item.wait_s for item in received]


def _time_call(http: urllib3.PoolManager, url: str) -> float:
    started = time.perf_counter()
    status = http.request("GET", url, redirect=False).status
    if status != 200:
        raise ValueError(f"GET {url} returned status {status}")
    return time.perf_counter() - started


def _print_comparison(title: str, straight: list[float], through: list[float]) -> None:
    print(f"{title}: straight and through the entry VM, {len(straight)} each")
    for share in (0.5, 0.95):
        one = 1000 * percentile(straight, share)
        other = 1000 * percentile(through, share)
        print(
            f"    p{100 * share:g}: {one:.2f} ms and {other:.2f} ms,"
            f" added {other - one:.2f} ms, ratio {other / one:.2f}"
        )


@contextmanager
def running_cost_bench() -> Iterator[CostBench]:
    """Run one entry VM with its endpoints until the context exits."""
    with (
        tempfile.TemporaryDirectory() as directory,
        running_cluster(CONFIG, Path(directory)) as cluster,
    ):
        bench = CostBench(cluster)
        bench.prepare()
        yield bench


def main() -> None:
    """Measure and print."""
    started = time.monotonic()
    print(f"cost of an entry VM, commit {read_commit()}")
    with running_cost_bench() as bench:
        bench.measure_first_token()
        bench.measure_calls()
        bench.measure_cpu()
        bench.measure_streams()
    print(f"took {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()
