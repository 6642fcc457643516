"""Slopes of the links between entry VMs: memory, processor time and bytes.

One process, the hub, holds links to and from many nodes, which run in a few helper
processes. The messages are those of the product, or of their size.
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
class BenchAsk:
    """A request of the size of a permit request."""

    request_id: str
    adapter: str
    customer: str
    deadline_s: float


@message("bench_answer")
@dataclass(frozen=True)
class BenchAnswer:
    """A reply of the size of a permit."""

    permit_id: str
    request_id: str
    engine_id: str
    lora_name: str
    fencing: int


ASK = BenchAsk("0123456789abcdef", "summaries-0123", "agency-0123", 12.5)
ANSWER = BenchAnswer(
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
    links.start(_answer, lambda sender, notice: None)
    return links


def _answer(sender: str, ask: Any, reply: Callable[[Any], None]) -> None:
    del sender, ask
    reply(ANSWER)


def _run_nodes(names: list[str], port_by_name: dict[str, int], end: Connection) -> None:
    """Run nodes in a helper process; link each to the hub when told to."""
    links_by_name = {name: _start_links(name, port_by_name) for name in names}
    end.send("ready")
    for name in iter(end.recv, None):
        links_by_name[name].request(HUB, ASK, 5).result()
        end.send("linked")
    for links in links_by_name.values():
        links.stop()


def _run_hub(names: list[str], port_by_name: dict[str, int], end: Connection) -> None:
    """Run the hub: link to nodes, or send at a rate, as told by the bench."""
    links = _start_links(HUB, port_by_name)
    end.send(os.getpid())
    sender = _Sender(links)
    for order, value in iter(end.recv, None):
        if order == "link":
            links.request(value, ASK, 5).result()
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
        """Replace the rate; 0 stops."""
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
            self._links.request(names[number % len(names)], ASK, 5)
            number += 1


def measure_links() -> dict[str, float]:
    """Print the slopes of links and of messages; return them by name."""
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
    began = Usage.of_process(pid)
    for count in LINK_COUNTS:
        for name in names[linked:count]:
            ends[name].send(name)
            ends[name].recv()
            hub.send(("link", name))
            hub.recv()
        linked = count
        opened = Usage.of_process(pid)
        opening.append((count, (opened.cpu_s - began.cpu_s) * 1000))
        usage, cores = _read(pid)
        memory.append((count, usage.resident_bytes / KIB))
        idle.append((count, cores * 100))
        # Time spent idle meanwhile is not part of the opening.
        spent_s = Usage.of_process(pid).cpu_s - opened.cpu_s
        began = replace(began, cpu_s=began.cpu_s + spent_s)
    busy = []
    for rate in MESSAGE_RATES:
        hub.send(("rate", rate))
        hub.recv()
        _, cores = _read(pid)
        busy.append((rate, cores * 100))
    print(f"request {len(encode(ASK))} bytes, reply {len(encode(ANSWER))} bytes")
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
