"""Measure the control-plane cost of an entry VM against the size of the deployment.

Run with ``make capacity``; ``docs/CAPACITY.md`` holds the results. All processes run
on one machine, so CPU time includes the effect of other load on it.
"""

import contextlib
import itertools
import json
import os
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException
from typing import Any

from bench.capacity_entries import (
    MeasuredCluster,
    Reading,
    adapter_entry,
    measured_cluster,
)
from bench.capacity_links import measure_links
from bench.http import call_json
from bench.slopes import KIB, print_slope

ENTRY_COUNTS = (3, 6, 12, 24, 36)
ENGINE_COUNTS = (4, 8, 16, 32)
ADAPTER_COUNTS = (0, 3000, 6000, 12_000, 17_000)
CHANGES_PER_S = (0, 1, 2, 4)
STREAMS = (0, 12, 24, 36, 48)
REQUESTS_PER_S = (0, 1, 2, 4, 8)

# Keeps one apply within the body size limit of the administration API.
ADAPTERS_PER_EDIT = 1000

DISCONNECT_S = 2.0

# A weight store fast enough that only the control plane delays loads.
QUICK_WEIGHTS = ("--loads-per-s", "100", "--full-speed", "16", "--load-seconds", "0.02")
QUICK_WEIGHTS_ENTRY = ("--weight-loads-per-s=100", "--weight-full-speed=16")

Points = list[tuple[float, Reading]]


def main() -> None:
    """Measure all slopes and print them."""
    started = time.monotonic()
    print(f"{os.cpu_count()} cores, load average {os.getloadavg()[0]:.1f} at the start")
    steps: list[Callable[[], Any]] = [
        measure_links,
        by_entry_vms,
        by_engines,
        by_adapters,
        by_changes,
        by_placement_changes,
        by_streams,
    ]
    for step in steps:
        print(f"\n## {step.__name__} (after {time.monotonic() - started:.0f} s)")
        step()
    print(
        f"\nload average {os.getloadavg()[0]:.1f}, {time.monotonic() - started:.0f} s"
    )


def by_entry_vms() -> None:
    """Measure idle entry VMs that all hold leases, by their number."""
    points: Points = []
    with measured_cluster(entries=ENTRY_COUNTS[0], engines=36) as measured:
        measured.publish(0, 100)
        for count in ENTRY_COUNTS:
            measured.add_entries(count)
            points.append((count, _read(measured, f"{count} entry VMs")))
    _print_slopes(points, "entry VM")


def by_engines() -> None:
    """Measure idle entry VMs by the number of engines."""
    points: Points = []
    for count in ENGINE_COUNTS:
        with measured_cluster(entries=6, engines=count) as measured:
            measured.publish(0, 100)
            points.append((count, _read(measured, f"{count} engines")))
    _print_slopes(points, "engine")


def by_adapters() -> None:
    """Measure idle entry VMs by the number of adapters in the catalogue."""
    points: Points = []
    start_kib: list[tuple[float, float]] = []
    start_bytes: list[tuple[float, float]] = []
    published = 0
    with measured_cluster(entries=3, engines=2) as measured:
        for number, count in enumerate(ADAPTER_COUNTS):
            started = time.monotonic()
            for first in range(published, count, ADAPTERS_PER_EDIT):
                measured.publish(first, min(count, first + ADAPTERS_PER_EDIT))
            took_s = time.monotonic() - started
            print(f"{count - published} more adapters in force after {took_s:.1f} s")
            published = count
            points.append((count, _read(measured, f"{count} adapters")))
            start = measured.start_one_more(4 + number)
            print(f"a new entry VM serves after {start.ready_s:.1f} s")
            start_kib.append((count, start.resident_kib))
            start_bytes.append((count, start.log_bytes / KIB))
    _print_slopes(points, "adapter")
    print_slope("memory of a VM that started with them", start_kib, "adapter", "KiB")
    print_slope("log bytes that its start read", start_bytes, "adapter", "KiB")


def by_changes() -> None:
    """Measure entry VMs by the rate at which an operator changes adapters."""
    points: Points = []
    delays: list[float] = []
    with measured_cluster(entries=3, engines=2) as measured:
        for first in range(0, 3000, ADAPTERS_PER_EDIT):
            measured.publish(first, first + ADAPTERS_PER_EDIT)
        versions = itertools.count(2)

        def change() -> None:
            number = next(versions)
            started = time.monotonic()
            entry = adapter_entry(number % 3000, str(number))
            path = f"/admin/v1/entries/adapter/{entry['name']}"
            vm = measured.cluster.live_entries()[0]
            headers = {"X-Author": "bench"}
            status, answer = vm.ask_admin("PUT", path, entry, headers)
            if status not in (200, 201):
                raise ValueError(f"PUT {path}: {status} {answer}")
            measured.wait_in_force(answer["revision"])
            delays.append(time.monotonic() - started)

        for rate in CHANGES_PER_S:
            with repeating(change, rate):
                points.append((rate, _read(measured, f"{rate} changes/s")))
    _print_slopes(points, "change a second")
    delays.sort()
    print(
        f"{len(delays)} changes in force everywhere after "
        f"{delays[len(delays) // 2]:.3f} s (median), {delays[-1]:.3f} s (longest)"
    )


def by_placement_changes() -> None:
    """Measure requests to a loaded adapter, then requests that each need a load."""
    for title, adapters in (("one loaded adapter", 1), ("adapters in turn", 400)):
        points: Points = []
        with measured_cluster(
            entries=3,
            engines=4,
            entry_options=QUICK_WEIGHTS_ENTRY,
            weights_options=QUICK_WEIGHTS,
        ) as measured:
            measured.publish(0, adapters)
            sender = RequestSender(measured, adapters)
            for rate in REQUESTS_PER_S:
                with repeating(sender.send, rate):
                    points.append((rate, _read(measured, f"{title}, {rate}/s")))
            print(f"answers by status: {dict(sender.answers)}")
        _print_slopes(points, f"request a second to {title}")


def by_streams() -> None:
    """Measure one entry VM by the number of streams that it forwards."""
    points: Points = []
    with measured_cluster(
        entries=1,
        engines=1,
        engine_options=("--max-num-seqs", "64", "--step-ms", "50"),
    ) as measured:
        measured.publish(0, 1)
        for count in STREAMS:
            with streaming(measured, count):
                points.append((count, _read(measured, f"{count} streams")))
    _print_slopes(points, "open stream")


@contextlib.contextmanager
def streaming(measured: MeasuredCluster, count: int) -> Iterator[None]:
    """Hold ``count`` streams open, then disconnect them."""
    (entry,) = measured.cluster.live_entries()
    host, _, port = entry.callers_address.partition(":")
    body = {
        "model": adapter_entry(0)["name"],
        "prompt": "a long story",
        "max_tokens": 400,
        "stream": True,
    }
    statuses: list[int] = []
    with contextlib.ExitStack() as stack:
        pool = stack.enter_context(ThreadPoolExecutor(max(1, count)))
        connections = [HTTPConnection(host, int(port)) for _ in range(count)]
        for connection in connections:
            stack.callback(connection.close)
            connection.request("POST", "/v1/completions", json.dumps(body))
            pool.submit(_read_all, connection, statuses)
        yield
        if statuses != [200] * count:
            print(f"not all {count} streams were open: {Counter(statuses)}")
        for connection in connections:
            if connection.sock is not None:
                connection.sock.shutdown(socket.SHUT_RDWR)
    time.sleep(DISCONNECT_S)  # until the entry VM has released their places


def _read_all(connection: HTTPConnection, statuses: list[int]) -> None:
    with contextlib.suppress(OSError, HTTPException):
        response = connection.getresponse()
        statuses.append(response.status)
        response.read()


class RequestSender:
    """Sends one-token requests, round-robin over entry VMs and adapters."""

    def __init__(self, measured: MeasuredCluster, adapters: int) -> None:
        self.answers: Counter[int] = Counter()
        self._adapters = adapters
        self._entries = measured.cluster.live_entries()
        self._numbers = itertools.count()

    def send(self) -> None:
        """Send one request and count its status."""
        number = next(self._numbers)
        vm = self._entries[number % len(self._entries)]
        body = {
            "model": adapter_entry(number % self._adapters)["name"],
            "prompt": f"prompt {number}",
            "max_tokens": 1,
        }
        url = f"http://{vm.callers_address}/v1/completions"
        status, _ = call_json("POST", url, body)
        self.answers[status] += 1


@contextlib.contextmanager
def repeating(action: Callable[[], None], rate_per_s: float) -> Iterator[None]:
    """Call a function at a steady rate from a thread pool."""
    stop = threading.Event()
    with ThreadPoolExecutor(16) as pool:

        def run() -> None:
            futures = []
            while not stop.wait(1 / rate_per_s):
                futures.append(pool.submit(action))
            for future in futures:
                future.result()

        running = pool.submit(run) if rate_per_s else None
        try:
            yield
        finally:
            stop.set()
            if running is not None:
                running.result()


def _read(measured: MeasuredCluster, title: str) -> Reading:
    reading = measured.read()
    print(f"{title}: {reading}", flush=True)
    return reading


def _print_slopes(points: Sequence[tuple[float, Reading]], per: str) -> None:
    """Print the slope of each resource that an entry VM uses."""
    columns: list[tuple[str, Callable[[Reading], float], str]] = [
        ("processor", lambda reading: reading.cpu_percent, "% of a core"),
        ("memory", lambda reading: reading.resident_kib, "KiB"),
        ("all bytes", lambda reading: reading.all_bytes / KIB, "KiB/s"),
        ("log bytes", lambda reading: reading.log_bytes / KIB, "KiB/s"),
        ("VM list bytes", lambda reading: reading.vms_bytes / KIB, "KiB/s"),
        ("engine bytes", lambda reading: reading.engine_bytes / KIB, "KiB/s"),
        ("peer bytes", lambda reading: reading.peer_bytes / KIB, "KiB/s"),
        ("peer messages", lambda reading: reading.peer_messages, "1/s"),
        ("appends", lambda reading: reading.appends, "1/s"),
    ]
    for title, value, unit in columns:
        print_slope(title, [(x, value(reading)) for x, reading in points], per, unit)


if __name__ == "__main__":
    main()
