"""Tests of the stand-ins of a plain service and of the link relay."""

import hashlib
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import urllib3

from bamboovale.standins import service
from bamboovale.standins.relay import create_relay
from bamboovale.standins.server import running
from tests.standin_client import StandInClient

SOURCE = "127.0.0.12"


class TestService:
    """Every run is recorded, whether or not its caller gets the answer."""

    @pytest.fixture
    def client(self) -> Iterator[StandInClient]:
        with running(service.create_server("127.0.0.1:0", "m1", latency_ms=0)) as url:
            yield StandInClient(url)

    def test_echoes_and_records(self, client: StandInClient) -> None:
        headers = {"X_Request_Id": "q1", "Idempotency_Key": "k1"}
        status, echo = client.call("PUT", "/book/7?x=1", {"a": 1}, **headers)
        assert status == 200
        (run,) = client.events("run")
        for described in (echo, run):
            assert described["request_id"] == "q1"
            assert described["key"] == "k1"
            assert (described["method"], described["path"]) == ("PUT", "/book/7")
            digest = hashlib.sha256(b'{"a": 1}').hexdigest()
            assert described["body_sha256"] == digest

    def test_a_run_with_a_dropped_answer_is_recorded(
        self, client: StandInClient
    ) -> None:
        client.set_faults(drop_after_run=1, drop_before_run=None)
        with pytest.raises(urllib3.exceptions.ProtocolError):
            client.call("POST", "/book")
        assert len(client.events("run")) == 1

    def test_a_hanging_run_is_recorded(self, client: StandInClient) -> None:
        client.set_faults(hang=1)
        with pytest.raises(urllib3.exceptions.ReadTimeoutError):
            client.call("POST", "/book", timeout=0.2)
        assert len(client.events("run")) == 1

    def test_errors_are_recorded_as_runs_and_refusals_are_not(
        self, client: StandInClient
    ) -> None:
        client.set_faults(error_share=1)
        assert client.call("POST", "/book")[0] == 500
        client.set_faults(error_share=None, refuse_share=1)
        assert client.call("POST", "/book")[0] == 503
        assert [run["outcome"] for run in client.events("run")] == ["error"]


class Echo:
    """A TCP server that echoes the bytes it receives."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.sources: list[str] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            connection, (source, _) = self._listener.accept()
            self.sources.append(source)
            threading.Thread(target=self._echo, args=(connection,), daemon=True).start()

    def _echo(self, connection: socket.socket) -> None:
        with connection:
            try:
                while data := connection.recv(1024):
                    connection.sendall(data)
            except OSError:
                return


class TestRelay:
    """Link faults by source address and direction."""

    @pytest.fixture
    def echo(self) -> Echo:
        return Echo()

    @pytest.fixture
    def rules(self, echo: Echo) -> Iterator[StandInClient]:
        relay, server = create_relay("127.0.0.1:0", echo.address, "127.0.0.1:0")
        self.relay_address = relay.start()
        with running(server) as url:
            yield StandInClient(url)

    @contextmanager
    def connection(self, source: str = SOURCE) -> Iterator[socket.socket]:
        host, port = self.relay_address.split(":")
        made = socket.create_connection((host, int(port)), 5, (source, 0))
        with made:
            yield made

    def test_forwards_bytes_and_keeps_the_source_address(
        self, rules: StandInClient, echo: Echo
    ) -> None:
        with self.connection() as link:
            link.sendall(b"hello")
            assert link.recv(10) == b"hello"
        assert echo.sources == [SOURCE]

    @pytest.mark.parametrize("rule", ["hold_to_target", "hold_to_source"])
    def test_held_bytes_arrive_after_the_rule_is_removed(
        self, rules: StandInClient, rule: str
    ) -> None:
        rules.set_faults(**{rule: [SOURCE]})
        with self.connection() as link, self.connection("127.0.0.13") as other:
            for end in (link, other):
                end.sendall(b"hello")
            assert other.recv(10) == b"hello"
            link.settimeout(0.2)
            with pytest.raises(TimeoutError):
                link.recv(10)
            rules.set_faults(**{rule: None})
            link.settimeout(5)
            assert link.recv(10) == b"hello"

    @pytest.mark.parametrize("rule", ["drop_to_target", "drop_to_source"])
    def test_a_link_that_lost_bytes_is_reset(
        self, rules: StandInClient, rule: str
    ) -> None:
        with self.connection() as link:
            rules.set_faults(**{rule: [SOURCE]})
            link.sendall(b"lost")
            link.settimeout(0.2)
            with pytest.raises(TimeoutError):
                link.recv(10)
            rules.set_faults(**{rule: None})
            link.settimeout(5)
            with pytest.raises(ConnectionResetError):
                link.recv(10)

    def test_refuse_resets_old_and_new_links(self, rules: StandInClient) -> None:
        with self.connection() as link:
            link.sendall(b"hello")
            assert link.recv(10) == b"hello"
            rules.set_faults(refuse=[SOURCE])
            with pytest.raises(ConnectionResetError):
                link.recv(10)
        # The reset may arrive during or after the connect.
        with pytest.raises(ConnectionResetError), self.connection() as link:
            link.recv(10)
        assert len(rules.events("connected")) == 1
