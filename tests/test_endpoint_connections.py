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
    """The read timeout applies to answers, not the connect timeout.

    Guards against urllib3 resetting the connect timeout when a request is sent.
    """

    @pytest.fixture
    def address(self) -> Iterator[tuple[str, int]]:
        latency_ms = 1000 * (CONNECT_TIMEOUT_S + 0.2)
        server = service.create_server("127.0.0.1:0", "m1", latency_ms)
        with running(server) as url:
            yield parse_address(url.removeprefix("http://"))

    @pytest.mark.parametrize("requests", [1, 2], ids=["new", "reused"])
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

    def test_an_answer_after_the_read_timeout_fails(
        self, address: tuple[str, int]
    ) -> None:
        exchange = EndpointConnections("127.0.0.1").open(address, read_timeout_s=0.3)
        started = time.monotonic()
        with pytest.raises(ExchangeFailedError):
            exchange.send("GET", "/", b"", {})
        assert time.monotonic() - started < CONNECT_TIMEOUT_S
