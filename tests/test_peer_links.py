"""Links between entry VMs: two nodes in one process, with faults."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import cbor2
import pytest
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from bamboovale.metrics import Metrics
from bamboovale.peers import incoming
from bamboovale.peers.channel import FRAMES_A_TURN, QUEUE_LIMIT, Channel
from bamboovale.peers.codec import message
from bamboovale.peers.keepalive import (
    IDLE_PING_INTERVAL_S,
    PING_INTERVAL_S,
    PING_TIMEOUT_S,
    Keepalive,
    KeepaliveAction,
)
from bamboovale.peers.links import PeerLinks
from bamboovale.peers.outgoing import (
    OutboundMessage,
    OutgoingLink,
    PeerLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from bench.processes import find_free_ports

KEY = "a key of the tests"

# Pings detect a silent peer within two seconds; the rest allows for a busy machine.
SILENCE_DETECTED_WITHIN_S = 3.0


@message("test_ask")
@dataclass(frozen=True)
class Query:
    """The request and notice that the tests send."""

    text: str


@message("test_answer")
@dataclass(frozen=True)
class Answer:
    """The reply that the tests send."""

    text: str


def eventually(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    give_up_at = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < give_up_at, "did not happen in time"
        time.sleep(0.01)


class Node:
    """One entry VM's links with handlers that record and echo."""

    def __init__(self, name: str, ports: dict[str, int], key: str = KEY) -> None:
        self.notices: list[tuple[str, Any]] = []
        self.requests: list[tuple[str, Any]] = []
        self.metrics = Metrics()
        self.name = name
        self.links = PeerLinks(
            name,
            "127.0.0.1",
            ports[name],
            key,
            lambda vm_id: ("127.0.0.1", ports[vm_id]) if vm_id in ports else None,
            self.metrics,
        )

    def on_request(
        self, sender: str, query: Query, reply: Callable[[Any], None]
    ) -> None:
        self.requests.append((sender, query))
        if query.text == "fail":
            raise RuntimeError("requested by the test")
        if query.text == "late":
            threading.Timer(0.1, reply, [Answer("late")]).start()
        elif query.text != "ignore":
            reply(Answer(query.text * 2))

    def on_notice(self, sender: str, notice: Any) -> None:
        self.notices.append((sender, notice))

    def start(self) -> "Node":
        self.links.start(self.on_request, self.on_notice)
        return self

    def request(self, vm_id: str, text: str, timeout_s: float = 5.0) -> Any:
        return self.links.request(vm_id, Query(text), timeout_s).result(10)

    def count(self, name: str) -> float:
        value = self.metrics.registry.get_sample_value(f"bamboovale_{name}")
        return value or 0.0


@contextlib.contextmanager
def running(*nodes: Node) -> Iterator[None]:
    try:
        for node in nodes:
            node.start()
        yield
    finally:
        for node in nodes:
            node.links.stop()


@pytest.fixture
def ports() -> dict[str, int]:
    return dict(zip("ab", find_free_ports("127.0.0.1", 2), strict=True))


@pytest.fixture
def pair(ports: dict[str, int]) -> Iterator[tuple[Node, Node]]:
    nodes = Node("a", ports), Node("b", ports)
    with running(*nodes):
        yield nodes


class Relay:
    """Relays bytes between two nodes; drops a direction or pauses on request."""

    def __init__(self, target: int) -> None:
        self.drop_to_target = False
        self.drop_from_target = False
        self.paused = False
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._sockets: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            far = socket.create_connection(("127.0.0.1", self._target))
            self._sockets += [near, far]
            self._pass(near, far, lambda: self.drop_to_target)
            self._pass(far, near, lambda: self.drop_from_target)

    def _pass(
        self,
        source: socket.socket,
        sink: socket.socket,
        dropped: Callable[[], bool],
    ) -> None:
        def run() -> None:
            with contextlib.suppress(OSError):
                while data := source.recv(4096):
                    while self.paused:
                        time.sleep(0.01)
                    if not dropped():
                        sink.sendall(data)
                sink.shutdown(socket.SHUT_WR)

        threading.Thread(target=run, daemon=True).start()

    def close(self) -> None:
        self.paused = False
        self._listener.close()
        for item in self._sockets:
            item.close()


@pytest.fixture
def relayed(ports: dict[str, int]) -> Iterator[tuple[Node, Node, Relay]]:
    """Yield nodes a and b, and the relay through which a connects to b."""
    relay = Relay(ports["b"])
    nodes = Node("a", ports | {"b": relay.port}), Node("b", ports)
    with running(*nodes):
        yield *nodes, relay
    relay.close()


class TestKeepalive:
    """When to ping a peer and when it is silent."""

    def check(
        self, keepalive: Keepalive, now: float, lag_s: float = 0
    ) -> KeepaliveAction:
        return keepalive.check(now, awaiting_reply=True, lag_s=lag_s)

    def test_pings_are_more_frequent_while_a_request_is_in_flight(self) -> None:
        keepalive = Keepalive(0.0)
        idle = {"awaiting_reply": False, "lag_s": 0.0}
        assert keepalive.check(PING_INTERVAL_S, **idle) is KeepaliveAction.NOTHING
        assert keepalive.check(IDLE_PING_INTERVAL_S, **idle) is KeepaliveAction.PING
        keepalive.note_received(IDLE_PING_INTERVAL_S + 0.1)
        soon = IDLE_PING_INTERVAL_S + PING_INTERVAL_S
        assert self.check(keepalive, soon) is KeepaliveAction.PING
        assert keepalive.round_trip_s == pytest.approx(0.1)

    def test_an_unanswered_ping_means_silence(self) -> None:
        keepalive = Keepalive(0.0)
        assert self.check(keepalive, 1.0) is KeepaliveAction.PING
        assert self.check(keepalive, 1.0 + PING_TIMEOUT_S) is KeepaliveAction.NOTHING
        assert self.check(keepalive, 1.1 + PING_TIMEOUT_S) is KeepaliveAction.SILENT

    def test_a_pause_of_our_process_does_not_count_as_silence(self) -> None:
        """Our process freezes for five seconds after a ping.

        Guards against aborting every link, which leaves requests with unknown outcome.
        """
        keepalive = Keepalive(0.0)
        assert self.check(keepalive, 1.0) is KeepaliveAction.PING
        assert self.check(keepalive, 6.25, lag_s=5.0) is KeepaliveAction.NOTHING
        assert self.check(keepalive, 7.5) is KeepaliveAction.SILENT


class _SlowChannel:
    """A channel whose first message waits for room."""

    close_cause = "closed"

    def __init__(self) -> None:
        self.has_room = asyncio.Event()
        self.clear = False
        self.sent: list[bytes] = []

    def is_clear(self) -> bool:
        return self.clear

    def send_now(self, data: bytes) -> None:
        self.sent.append(data)

    async def send(self, data: bytes) -> None:
        self.sent.append(data)
        await self.has_room.wait()

    async def receive(self) -> bytes:
        await asyncio.Event().wait()
        return b""

    def abort(self, cause: str) -> None:
        """Do nothing."""


async def _sent_while_one_waits() -> list[bytes]:
    channel = _SlowChannel()

    async def open_channel() -> Any:
        return channel

    link = OutgoingLink(open_channel, Metrics(), lambda message: None)
    for data in (b"1", b"2"):
        link.submit(OutboundMessage(0, data), None)
        await asyncio.sleep(0.01)
    channel.clear = True
    link.submit(OutboundMessage(0, b"3"), None)
    channel.has_room.set()
    await asyncio.sleep(0.01)
    await link.close()
    return channel.sent


class TestMessages:
    """Requests, replies and notices between two healthy nodes."""

    def test_a_request_gets_its_reply_and_carries_its_sender(self, pair) -> None:
        a, b = pair
        assert a.request("b", "x") == Answer("xx")
        assert b.request("a", "y") == Answer("yy")
        assert b.requests == [("a", Query("x"))]

    def test_replies_from_other_threads_reach_the_right_request(self, pair) -> None:
        a, _ = pair
        late = a.links.request("b", Query("late"), 5)
        futures = [a.links.request("b", Query(str(n)), 5) for n in range(200)]
        answers = [future.result(5).text for future in futures]
        assert answers == [str(n) * 2 for n in range(200)]
        assert late.result(5) == Answer("late")

    def test_a_notice_arrives_once(self, pair) -> None:
        a, b = pair
        a.links.notify("b", Query("first"))
        a.links.notify_all(["unknown", "b"], Query("second"))
        expected = [("a", Query("first")), ("a", Query("second"))]
        eventually(lambda: b.notices == expected)

    def test_a_message_does_not_overtake_those_that_wait(self) -> None:
        """Guards against a cancellation that arrives before its request."""
        assert asyncio.run(_sent_while_one_waits()) == [b"1", b"2", b"3"]

    def test_an_exception_of_a_handler_is_reported_at_once(self, pair) -> None:
        a, _ = pair
        with pytest.raises(PeerLostError, match="RuntimeError"):
            a.request("b", "fail")
        assert a.request("b", "x") == Answer("xx")

    def test_a_large_message_arrives(self, pair) -> None:
        a, _ = pair
        assert len(a.request("b", "x" * 1_000_000).text) == 2_000_000

    def test_link_states(self, pair) -> None:
        a, b = pair
        a.request("b", "x")
        assert a.links.link_states()["b"].outgoing == "open"
        assert b.links.link_states()["a"].incoming == 1


class _FullConnection:
    """A connection on which the next frame is always here."""

    async def recv(self) -> bytes:
        """Return a frame at once."""
        return b"frame"


class TestManyFrames:
    """A peer that sends more than its frames are handled."""

    def test_others_go_on_between_them(self) -> None:
        """Guards against one link that holds up all other work of a VM."""

        async def test() -> None:
            channel = Channel(_FullConnection(), Metrics())
            received = 0

            async def receive() -> None:
                nonlocal received
                while True:
                    await channel.receive()
                    received += 1

            task = asyncio.create_task(receive())
            received_by_pass = []
            for _ in range(10):
                await asyncio.sleep(0)
                received_by_pass.append(received)
            task.cancel()
            steps = map(int.__sub__, received_by_pass[1:], received_by_pass)
            assert set(steps) == {FRAMES_A_TURN}

        asyncio.run(asyncio.wait_for(test(), 10.0))


class TestUnreachable:
    """Messages that were not sent, so that they can be retried elsewhere."""

    def test_an_unknown_peer(self, pair) -> None:
        with pytest.raises(PeerUnreachableError, match="not known"):
            pair[0].request("unknown", "x")

    def test_a_peer_that_does_not_listen_fails_fast(self, ports) -> None:
        a = Node("a", ports)
        with running(a):
            for _ in range(2):  # the second attempt is during back-off
                started_at = time.monotonic()
                with pytest.raises(PeerUnreachableError):
                    a.request("b", "x")
                assert time.monotonic() - started_at < 1

    def test_a_peer_that_connects_to_us_ends_its_back_off(self, ports) -> None:
        """Guards against messages to a restarted VM dropped during back-off."""
        a, b = Node("a", ports), Node("b", ports)
        with running(a):
            link = None
            while link is None or link.back_off_s < 0.4:
                with contextlib.suppress(PeerUnreachableError):
                    a.request("b", "x")
                link = a.links._link_by_vm_id["b"]
                time.sleep(0.01)
            with running(b):
                assert b.request("a", "x") == Answer("xx")
                assert a.request("b", "x") == Answer("xx")

    def test_stopped_links(self, pair) -> None:
        a, _ = pair
        a.links.stop()
        with pytest.raises(PeerUnreachableError):
            a.request("b", "x")

    def test_a_port_in_use_is_reported_at_start(self, pair, ports) -> None:
        with pytest.raises(OSError):
            Node("a", ports).start()


class TestAuthentication:
    """Links need the shared key and the expected VM id."""

    def test_a_wrong_key_is_refused_both_ways(self, ports) -> None:
        a, b = Node("a", ports), Node("b", ports, key="another key of the tests")
        with running(a, b):
            for near, far in ((a, "b"), (b, "a")):
                with pytest.raises(PeerUnreachableError):
                    near.request(far, "x")
            assert a.requests == b.requests == []

    def test_another_vm_at_the_address_is_refused(self, ports) -> None:
        """Guards against requests for a replaced VM that its successor accepts."""
        b = Node("b", ports)
        a = Node("a", ports | {"gone": ports["b"]})
        with running(a, b):
            with pytest.raises(PeerUnreachableError):
                a.request("gone", "x")
            assert b.requests == []

    def test_without_a_key_only_loopback_is_allowed(self, ports) -> None:
        a = Node("a", ports, key="")
        a.links._authenticator._address_of = lambda vm_id: ("192.0.2.1", 9)
        with running(a), pytest.raises(PeerUnreachableError, match="loopback"):
            a.request("b", "x")

    def test_a_reflected_proof_is_refused(self, pair, ports) -> None:
        """A client without the key sends the proof of the other side back."""
        b = pair[1]
        with connect(f"ws://127.0.0.1:{ports['b']}/", compression=None) as client:
            hello = {"type": "hello", "caller": "a", "called": "b", "nonce": b"n" * 16}
            client.send(cbor2.dumps(hello))
            challenge = cbor2.loads(client.recv())
            client.send(cbor2.dumps({"type": "proof", "proof": challenge["proof"]}))
            with pytest.raises(ConnectionClosed):
                client.recv(timeout=3)
        assert b.links.link_states() == {}


class TestUnauthenticatedClients:
    """Connections that do not complete a handshake."""

    def test_garbage_closes_its_own_connection_only(self, pair, ports) -> None:
        a, b = pair
        assert a.request("b", "x") == Answer("xx")
        with connect(f"ws://127.0.0.1:{ports['b']}/", compression=None) as client:
            client.send(b"\xff garbage")
            with pytest.raises(ConnectionClosed):
                client.recv(timeout=3)
        with socket.create_connection(("127.0.0.1", ports["b"])) as raw:
            raw.sendall(b"\x00garbage\r\n\r\n")
            raw.settimeout(3)
            with contextlib.suppress(ConnectionResetError):
                while raw.recv(1000):
                    pass
        eventually(lambda: b.count("peer_bad_messages_total") == 1)
        assert a.request("b", "x") == Answer("xx")

    def test_a_silent_client_is_disconnected(self, pair, ports) -> None:
        started_at = time.monotonic()
        with (
            connect(f"ws://127.0.0.1:{ports['b']}/", compression=None) as client,
            pytest.raises(ConnectionClosed),
        ):
            client.recv(timeout=5)
        assert time.monotonic() - started_at < 3


class TestBrokenLinks:
    """Peers that fail, freeze or read nothing."""

    def test_a_request_ends_when_its_peer_stops(self, pair) -> None:
        """Guards against a request that waits for its timeout after a stop."""
        a, b = pair
        future = a.links.request("b", Query("ignore"), 30)
        eventually(lambda: bool(b.requests))
        b.links.stop()
        with pytest.raises(PeerLostError):
            future.result(5)

    def test_a_restarted_peer_is_reachable_again(self, pair, ports) -> None:
        a, b = pair
        assert a.request("b", "x") == Answer("xx")
        b.links.stop()
        again = Node("b", ports)
        with running(again):

            def reached() -> bool:
                with contextlib.suppress(PeerUnreachableError, PeerLostError):
                    return a.request("b", "x") == Answer("xx")
                return False

            eventually(reached)

    @pytest.mark.parametrize("direction", ["drop_to_target", "drop_from_target"])
    def test_one_way_silence_is_detected(self, relayed, direction, monkeypatch) -> None:
        """One direction of a link is dropped, without a reset.

        Guards against requests that wait for their timeouts one after the other.
        """
        # Shortens the wait for the rare pings of an idle link.
        monkeypatch.setattr(incoming, "INCOMING_SILENCE_S", 1.5)
        a, b, relay = relayed
        assert a.request("b", "x") == Answer("xx")
        setattr(relay, direction, True)
        started_at = time.monotonic()
        with pytest.raises(PeerLostError):
            a.request("b", "ignore", timeout_s=30)
        assert time.monotonic() - started_at < SILENCE_DETECTED_WITHIN_S
        eventually(lambda: b.links.link_states().get("a") is None)

    def test_a_timeout_means_that_the_request_may_have_arrived(self, pair) -> None:
        a, b = pair
        with pytest.raises(PeerTimeoutError):
            a.request("b", "ignore", timeout_s=0.2)
        assert b.requests == [("a", Query("ignore"))]

    def test_a_slow_reader_does_not_block_callers_or_grow_the_queue(
        self, relayed
    ) -> None:
        """A peer stops reading while we send to it.

        Guards against blocked callers and unbounded memory: further messages fail as
        not sent, and the link is aborted.
        """
        a, _, relay = relayed
        assert a.request("b", "x") == Answer("xx")
        relay.paused = True
        started_at = time.monotonic()
        futures = [
            a.links.request("b", Query("y" * 50_000), 30)
            for _ in range(QUEUE_LIMIT * 2)
        ]
        assert time.monotonic() - started_at < 2
        errors = [future.exception(10) for future in futures]
        assert time.monotonic() - started_at < 10
        assert {type(error) for error in errors} <= {
            PeerUnreachableError,
            PeerLostError,
        }
        assert PeerUnreachableError in {type(error) for error in errors}
