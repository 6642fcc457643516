"""Connections of an entry VM to endpoints."""

import time
from collections.abc import Iterator

import pytest

from bamboovale.entry.endpoint_connections import (
    EndpointConnections,
    ExchangeFailedError,
)
from bamboovale.http_client import CONNECT_TIMEOUT_S
from bamboovale.standins import service
from bamboovale.standins.server import parse_address, running


class TestReadTimeout:
    """How long an answer is awaited.

    Story: a caller asks for a whole answer of some hundred tokens. The engine takes
    two seconds for it. The entry VM gave up after one, ran the request on the engine
    again, and told the caller after three runs that its answer was lost. urllib3 had
    put the connect timeout back on the socket when the request was sent.
    """

    @pytest.fixture
    def address(self) -> Iterator[tuple[str, int]]:
        latency_ms = 1000 * (CONNECT_TIMEOUT_S + 0.2)
        server = service.create_server("127.0.0.1:0", "m1", latency_ms)
        with running(server) as url:
            yield parse_address(url.removeprefix("http://"))

    @pytest.mark.parametrize("requests", [1, 2], ids=["new", "kept"])
    def test_an_answer_may_take_longer_than_connecting(
        self, address: tuple[str, int], requests: int
    ) -> None:
        connections = EndpointConnections("127.0.0.1")
        for _ in range(requests):
            exchange = connections.open(address, read_timeout_s=10.0)
            response = exchange.send("GET", "/", b"", {})
            assert (response.status, len(response.read()) > 0) == (200, True)
            connections.release(address, exchange)
        connections.close()

    def test_an_answer_is_not_awaited_for_longer(
        self, address: tuple[str, int]
    ) -> None:
        exchange = EndpointConnections("127.0.0.1").open(address, read_timeout_s=0.3)
        started = time.monotonic()
        with pytest.raises(ExchangeFailedError):
            exchange.send("GET", "/", b"", {})
        assert time.monotonic() - started < CONNECT_TIMEOUT_S
