"""Entry VMs as processes with low limits, and crowds of clients that press them."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from bamboovale.http1.request import Request
from bamboovale.http1.responder import Responder
from bamboovale.standins.platform_endpoints import PlatformEndpoint, Run
from bamboovale.standins.platform_runner import PlatformRunner
from bamboovale.standins.platform_store import PlatformStore
from bench.routed import HOST, MODEL, CallerAnswer, call, configuration, node_document
from bench.soak_proxy import CutKind, Proxy
from bench.soak_site import VMProcess, is_ready
from tests.endless_answers import EndlessAnswers, EndlessCalls

MIB = 1024 * 1024
MEMORY_MB = 160
"""Memory of a VM's machine."""
MAX_FDS = 400
"""Descriptors of a VM's machine, of which 200 are for files."""
LOW_MEMORY_MB = 120
MANY_FDS = 4100
"""A machine whose memory, not its descriptors, bounds a crowd that connects."""
BODY_BYTES = 4 * MIB
HEAD_BYTES = 16 * 1024
LONG_ANSWER_BYTES = 6 * MIB
EVENT_BYTES = 128 * 1024
CLIENTS = 64
"""A crowd that sends or asks for much."""
CONNECTIONS = 600
"""A crowd that only connects."""
PRESS_S = 8.0
"""How long a crowd goes on after its last client began."""
READY_S = 30.0
ANSWER_TRIES = 120
TRY_PAUSE_S = 0.5
PIECE_PAUSE_S = 0.5
SAMPLE_S = 0.05
LISTENING = "0A"
RECEIVE_BUFFER_BYTES = 4096
"""Of a client that reads slowly: what it has not read waits at the VM."""

Address = tuple[str, int]
Client = Callable[[], Coroutine[Any, Any, None]]


class Store(EndlessCalls, PlatformStore):
    """A store whose answers may have no end."""


class LongAnswers(EndlessAnswers, PlatformEndpoint):
    """A plain endpoint with long answers to requests that ask for one."""

    async def _answer(self, request: Request, responder: Responder, run: Run) -> None:
        if b"x-long" not in dict(request.headers):
            await super()._answer(request, responder, run)
            return
        run.end("ok")
        headers = self._answer_headers(run, responder)
        size = int(dict(request.headers).get(b"x-long-bytes", LONG_ANSWER_BYTES))
        responder.answer(200, headers, b"a" * size)


class LongStreams(EndlessAnswers, PlatformRunner):
    """An engine whose streams have long events."""

    async def _stream(self, request: Request, responder: Responder, run: Run) -> None:
        if b"x-long" not in dict(request.headers):
            await super()._stream(request, responder, run)
            return
        headers = [(b"transfer-encoding", b"chunked")]
        headers.append((b"content-type", b"text/event-stream"))
        responder.start(200, [*self._answer_headers(run, responder), *headers])
        for number in range(1, LONG_ANSWER_BYTES // EVENT_BYTES + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"a" * EVENT_BYTES)
            await responder.write(event)
        run.end("ok")
        responder.finish()


@dataclass
class Usage:
    """The most that a process held; bytes with what the kernel holds of its sockets."""

    memory_bytes: int = 0
    descriptors: int = 0

    def sample(self, vm: VMProcess) -> None:
        """Take what the process holds now, if it runs."""
        assert vm.process is not None
        with contextlib.suppress(OSError):
            pid = vm.process.pid
            status = (Path("/proc") / str(pid) / "status").read_text()
            links = _links(pid)
            held = _resident_bytes(status) + _queued_bytes(links)
            self.memory_bytes = max(self.memory_bytes, held)
            self.descriptors = max(self.descriptors, len(links))


def _resident_bytes(status: str) -> int:
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


def _link(entry: Path) -> str:
    """Return what a descriptor is, empty if it was closed meanwhile."""
    with contextlib.suppress(OSError):
        return str(entry.readlink())
    return ""


def _links(pid: int) -> list[str]:
    """Return what a process's descriptors are."""
    return [_link(entry) for entry in (Path("/proc") / str(pid) / "fd").iterdir()]


def _connections(links: list[str]) -> Iterator[list[str]]:
    """Yield the fields of a process's TCP sockets, as the kernel lists them."""
    inodes = {link[8:-1] for link in links if link.startswith("socket:[")}
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[9] in inodes:
            yield fields


def _queued_bytes(links: list[str]) -> int:
    """Return the bytes that wait in the kernel on a process's TCP connections."""
    queued = 0
    for fields in _connections(links):
        if fields[3] != LISTENING:
            sent, received = fields[4].split(":")
            queued += int(sent, 16) + int(received, 16)
    return queued


@dataclass
class HostileSite:
    """Stand-ins, entry VMs and what each of these used most, by its name."""

    store: Store
    runner: LongStreams
    vms: list[VMProcess] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)
    usage_by_vm: dict[str, Usage] = field(default_factory=dict)

    def address_of(self, vm: VMProcess, door: str) -> Address:
        """Return where a VM listens for callers, peers or another purpose."""
        ip = vm.document["ip"]
        if door == "peers":
            return ip, vm.document["port-range"][0]
        if door == "monitoring":
            return ip, _unnamed_port(vm)
        return ip, int(vm.document["listen"][door].split(":")[1])

    def cut_from_endpoints(self, vm: VMProcess) -> None:
        """Cut a VM off from all endpoints; the others go on reaching them."""
        for proxy in self.proxies:
            proxy.cut([vm.document["ip"]], CutKind.RESET)

    async def sample_forever(self) -> None:
        """Note what the processes use."""
        while True:
            for vm in self.vms:
                self.usage_by_vm.setdefault(vm.name, Usage()).sample(vm)
            await asyncio.sleep(SAMPLE_S)

    def check_bounds(self, *, ended: VMProcess | None = None) -> None:
        """Check that the processes live, and held no more than their machines have.

        ``ended`` is one that was stopped.
        """
        for vm in self.vms:
            if vm is ended:
                assert vm.lives[-1].exit_code == 0
            else:
                assert vm.is_running
            usage, limits = self.usage_by_vm[vm.name], vm.document["limits"]
            assert usage.memory_bytes <= limits["memory-mb"] * MIB, usage
            assert usage.descriptors <= limits["max-fds"], usage

    async def check_serves(self, vm: VMProcess) -> None:
        """Check that an ordinary request of each kind is answered, if need be later."""
        await _answered(vm, "/check/1", None)
        await _answered(vm, "/chat/1", "a1")


async def _answered(vm: VMProcess, path: str, adapter: str | None) -> None:
    last: object = None
    for _ in range(ANSWER_TRIES):
        assert vm.is_running
        with contextlib.suppress(Exception):
            last = await _one(vm, path, adapter)
            if last.status == 200 and last.whole:
                return
        await asyncio.sleep(TRY_PAUSE_S)
    raise AssertionError(f"no answer on {path}; the last one: {last}")


async def _one(vm: VMProcess, path: str, adapter: str | None) -> CallerAnswer:
    async with asyncio.timeout(10.0):
        return await call(vm.callers, path, adapter=adapter)


def _unnamed_port(vm: VMProcess) -> int:
    """Return the port at which a VM listens that its settings do not name.

    Its address may be that of a VM of another test.
    """
    assert vm.process is not None
    named = {int(text.split(":")[1]) for text in vm.document["listen"].values()}
    named |= set(vm.document["port-range"])
    for fields in _connections(_links(vm.process.pid)):
        port = int(fields[1].split(":")[1], 16)
        if fields[3] == LISTENING and port not in named:
            return port
    raise AssertionError("no such port")


@asynccontextmanager
async def running_site(
    directory: Path,
    vms: int = 1,
    memory_mb: int = MEMORY_MB,
    max_fds: int = MAX_FDS,
) -> AsyncIterator[HostileSite]:
    """Run a small deployment with low limits; all its processes end with the block."""
    limits = {"memory-mb": memory_mb, "max-fds": max_fds}
    store = Store()
    runner = LongStreams(store, "runner-0", "llm", model=MODEL)
    runner.preload("a1")
    site = HostileSite(store, runner)
    address = await store.listen("127.0.0.1")
    await store.put("keyed.op", "config", _configuration())
    service = LongAnswers(store, "service-0", "app")
    service.slots = 2 * CLIENTS
    sampling = asyncio.create_task(site.sample_forever())
    try:
        for endpoint in (runner, service):
            await _start_behind_proxy(site, endpoint)
        for number in range(vms):
            await _start_vm(site, number, address, directory, limits)
        async with asyncio.timeout(READY_S):
            for vm in site.vms:
                while not await is_ready(vm):
                    await asyncio.sleep(0.1)
        await site.check_serves(site.vms[0])
        yield site
    finally:
        sampling.cancel()
        for vm in site.vms:
            await vm.kill()
            vm.store.close()
        for proxy in site.proxies:
            proxy.close()
        runner.end()
        service.end()
        store.close()


def _configuration() -> dict[str, Any]:
    document = configuration()
    for item in document["routes"]:
        item["timeout-ms"] = 60_000
        item["goal-ms"] = 20_000
    document["services"][0]["engine"]["slots"] = 2 * CLIENTS
    document["limits"] = {
        "max-header-bytes": HEAD_BYTES,
        "max-body-bytes": BODY_BYTES,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15_000,
    }
    return document


async def _start_behind_proxy(site: HostileSite, endpoint: PlatformEndpoint) -> None:
    await endpoint.start()
    proxy = Proxy(endpoint.address)
    await proxy.start()
    site.proxies.append(proxy)
    endpoint.address = proxy.address
    await endpoint.register("ready")


async def _start_vm(
    site: HostileSite,
    number: int,
    store: Address,
    directory: Path,
    limits: dict[str, int],
) -> None:
    proxy = Proxy(store)
    await proxy.start()
    name = f"entry-{number}"
    document = node_document(proxy.address, name, f"127.0.0.{number + 2}")
    document["limits"] = limits
    document["bounds"]["grace-s"] = 8
    vm = VMProcess(name, document, proxy, directory)
    site.vms.append(vm)
    await vm.start()


@asynccontextmanager
async def pressing(client: Client, count: int) -> AsyncIterator[None]:
    """Have a crowd press for a time, and go on until the end of the block."""
    tasks = [asyncio.create_task(_without_errors(client)) for _ in range(count)]
    try:
        await asyncio.sleep(PRESS_S)
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _without_errors(client: Client) -> None:
    """Run a client; that it is refused, cut or not let in is allowed."""
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        await client()


@contextmanager
def _slow_socket() -> Iterator[socket.socket]:
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        yield connection


async def send_all(
    address: Address, head: bytes, pieces: Iterator[bytes] | None = None
) -> None:
    """Send a request and its body, whatever the answer is; then stay connected."""
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)
        await loop.sock_connect(connection, address)
        await loop.sock_sendall(connection, head)
        for piece in pieces or ():
            await loop.sock_sendall(connection, piece)
        await _wait_for_end(connection)


async def send_slowly(address: Address, *pieces: bytes) -> None:
    """Send pieces of a request with pauses; then stay connected."""
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)
        await loop.sock_connect(connection, address)
        for piece in pieces:
            await loop.sock_sendall(connection, piece)
            await asyncio.sleep(PIECE_PAUSE_S)
        await _wait_for_end(connection)


async def _wait_for_end(connection: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    while await loop.sock_recv(connection, 65536):
        pass


async def read_slowly(address: Address, request: bytes) -> None:
    """Send requests, then read a few bytes at a time."""
    loop = asyncio.get_running_loop()
    with _slow_socket() as connection:
        await loop.sock_connect(connection, address)
        await loop.sock_sendall(connection, request)
        while await loop.sock_recv(connection, 256):
            await asyncio.sleep(0.1)


async def again_and_again(client: Client) -> None:
    """Run a client anew whenever it was refused or cut."""
    while True:
        await _without_errors(client)
        await asyncio.sleep(0.2)


async def ask_on(address: Address, requests: Iterator[bytes]) -> None:
    """Send requests on one connection, each once the one before is answered."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        for data in requests:
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            await _read_body(reader, head.lower())
    finally:
        writer.close()


async def _read_body(reader: asyncio.StreamReader, head: bytes) -> None:
    if b"transfer-encoding: chunked" in head:
        await reader.readuntil(b"0\r\n\r\n")
        return
    length = head.partition(b"content-length:")[2].partition(b"\r\n")[0]
    await reader.readexactly(int(length or b"0"))


def request(path: str, number: int, *fields: str, method: str = "POST") -> bytes:
    """Return the head of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: hostile{number}",
        "X-Deadline-Ms: 50000",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
