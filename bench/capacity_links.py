"""Measure memory and CPU time of the peer links between entry VMs.

One process, the hub, holds links to and from many nodes, which share a few helper
processes. The messages are as large as permit requests and permits.
"""

import multiprocessing
import os
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from multiprocessing.connection import Connection
from typing import Any

from bamboovale.metrics import Metrics
from bamboovale.peers.codec import encode, message
from bamboovale.peers.links import PeerLinks
from bench.processes import find_free_ports
from bench.slopes import KIB, Usage, print_slope

LINK_COUNTS = (0, 40, 80, 160, 320)
MESSAGE_RATES = (0, 100, 200, 400, 800)
NODES_PER_PROCESS = 40
READING_S = 3.0
KEY = "a key for measuring only"
HUB = "hub"


@message("bench_ask")
@dataclass(frozen=True)
class BenchRequest:
    """A request as large as a permit request."""

    request_id: str
    adapter: str
    customer: str
    deadline_s: float


@message("bench_answer")
@dataclass(frozen=True)
class BenchReply:
    """A reply as large as a permit."""

    permit_id: str
    request_id: str
    engine_id: str
    lora_name: str
    fencing: int


REQUEST = BenchRequest("0123456789abcdef", "summaries-0123", "agency-0123", 12.5)
REPLY = BenchReply(
    "0123456789abcdef",
    "0123456789abcdef",
    "tutor-llm-1",
    "summaries-0123@7",
    12345,
)


def _start_links(name: str, port_by_name: dict[str, int]) -> PeerLinks:
    links = PeerLinks(
        name,
        "127.0.0.1",
        port_by_name[name],
        KEY,
        lambda vm_id: ("127.0.0.1", port_by_name[vm_id]),
        Metrics(),
    )
    links.start(_on_request, lambda sender, notice: None)
    return links


def _on_request(sender: str, request: Any, reply: Callable[[Any], None]) -> None:
    del sender, request
    reply(REPLY)


def _run_nodes(names: list[str], port_by_name: dict[str, int], end: Connection) -> None:
    """Run nodes in a helper process; link each to the hub on command."""
    links_by_name = {name: _start_links(name, port_by_name) for name in names}
    end.send("ready")
    for name in iter(end.recv, None):
        links_by_name[name].request(HUB, REQUEST, 5).result()
        end.send("linked")
    for links in links_by_name.values():
        links.stop()


def _run_hub(names: list[str], port_by_name: dict[str, int], end: Connection) -> None:
    """Run the hub: link to nodes or send at a rate, on command."""
    links = _start_links(HUB, port_by_name)
    end.send(os.getpid())
    sender = _Sender(links)
    for command, value in iter(end.recv, None):
        if command == "link":
            links.request(value, REQUEST, 5).result()
        else:
            sender.send_at_rate(value, names)
        end.send("done")
    links.stop()


class _Sender:
    """Sends requests at a steady rate from a thread of its own."""

    def __init__(self, links: PeerLinks) -> None:
        self._links = links
        self._stop = threading.Event()

    def send_at_rate(self, rate_per_s: float, names: list[str]) -> None:
        """Set the rate, in requests per second; 0 stops sending."""
        self._stop.set()
        if rate_per_s:
            self._stop = threading.Event()
            arguments = (rate_per_s, names, self._stop)
            threading.Thread(target=self._run, args=arguments, daemon=True).start()

    def _run(
        self,
        rate_per_s: float,
        names: list[str],
        stop: threading.Event,
    ) -> None:
        number = 0
        while not stop.wait(1 / rate_per_s):
            self._links.request(names[number % len(names)], REQUEST, 5)
            number += 1


def measure_links() -> dict[str, float]:
    """Print the slopes of links and messages; return them by name."""
    names = [f"entry-{number:03}" for number in range(max(LINK_COUNTS))]
    ports = find_free_ports("127.0.0.1", len(names) + 1)
    port_by_name = dict(zip([HUB, *names], ports, strict=True))
    context = multiprocessing.get_context("spawn")
    groups = [
        names[first : first + NODES_PER_PROCESS]
        for first in range(0, len(names), NODES_PER_PROCESS)
    ]
    ends: dict[str, Connection] = {}
    processes = []

    def start(target: Any, group: list[str]) -> Connection:
        near, far = context.Pipe()
        process = context.Process(target=target, args=(group, port_by_name, far))
        process.start()
        processes.append(process)
        return near

    for group in groups:
        end = start(_run_nodes, group)
        ends.update(dict.fromkeys(group, end))
        end.recv()
    hub = start(_run_hub, names[:8])
    try:
        return _read_slopes(hub, ends, names)
    finally:
        for end in {hub, *ends.values()}:
            end.send(None)
        for process in processes:
            process.join(20)


def _read_slopes(
    hub: Connection,
    ends: dict[str, Connection],
    names: list[str],
) -> dict[str, float]:
    pid = hub.recv()
    memory, idle, opening = [], [], []
    linked = 0
    before_links = Usage.of_process(pid)
    for count in LINK_COUNTS:
        for name in names[linked:count]:
            ends[name].send(name)
            ends[name].recv()
            hub.send(("link", name))
            hub.recv()
        linked = count
        opened = Usage.of_process(pid)
        opening.append((count, (opened.cpu_s - before_links.cpu_s) * 1000))
        usage, cores = _read(pid)
        memory.append((count, usage.resident_bytes / KIB))
        idle.append((count, cores * 100))
        # Exclude the CPU time of the idle measurement from the cost of opening links.
        spent_s = Usage.of_process(pid).cpu_s - opened.cpu_s
        before_links = replace(before_links, cpu_s=before_links.cpu_s + spent_s)
    busy = []
    for rate in MESSAGE_RATES:
        hub.send(("rate", rate))
        hub.recv()
        _, cores = _read(pid)
        busy.append((rate, cores * 100))
    print(f"request {len(encode(REQUEST))} bytes, reply {len(encode(REPLY))} bytes")
    peer = "peer linked both ways"
    lines = {
        "link_kib": print_slope("links, resident memory", memory, peer, "KiB"),
        "open_cpu": print_slope("links, opening", opening, peer, "ms of a core"),
        "link_cpu": print_slope("links, idle (pings)", idle, peer, "% of a core"),
        "request_cpu": print_slope(
            f"requests sent by the hub at {linked} links",
            busy,
            "request a second",
            "% of a core",
        ),
    }
    return {name: line.slope for name, line in lines.items()}


def _read(pid: int) -> tuple[Usage, float]:
    time.sleep(0.5)
    before = Usage.of_process(pid)
    time.sleep(READING_S)
    after = Usage.of_process(pid)
    return after, after.cores_since(before)


if __name__ == "__main__":
    measure_links()
