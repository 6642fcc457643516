"""HTTP client for the platform's services and for orders to engines.

Retries and redirects of the library are off, since they would break "at most once".
"""

import json
import threading
from typing import Any

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from bamboovale.http_responses import ConnectionPool

CONNECT_TIMEOUT_S = 1.0
"""Allows for one retransmitted SYN."""

POOL_SIZE = 64
"""Idle connections kept for each address."""


class HttpClient:
    """Connection pools by address; connects from a fixed source address."""

    def __init__(self, source_address: str) -> None:
        self._source = (source_address, 0)
        self._pool_by_address: dict[tuple[str, int], ConnectionPool] = {}
        self._lock = threading.Lock()

    def pool(self, host: str, port: int) -> ConnectionPool:
        """Return the pool of an address, created on first use."""
        with self._lock:
            pool = self._pool_by_address.get((host, port))
            if pool is None:
                pool = ConnectionPool(
                    host,
                    port,
                    maxsize=POOL_SIZE,
                    block=False,
                    retries=False,
                    source_address=self._source,
                )
                self._pool_by_address[(host, port)] = pool
            return pool

    def request(
        self,
        method: str,
        host: str,
        port: int,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        read_timeout_s: float,
        stream: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request without retries; raises urllib3's HTTPError."""
        return self.pool(host, port).urlopen(
            method,
            path,
            body=body,
            headers=headers or {},
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
            preload_content=not stream,
        )

    def request_json(
        self,
        method: str,
        host: str,
        port: int,
        path: str,
        *,
        value: Any = None,
        headers: dict[str, str] | None = None,
        read_timeout_s: float,
    ) -> tuple[int, Any]:
        """Send and receive JSON; return the status and the parsed body."""
        body = None if value is None else json.dumps(value).encode()
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        response = self.request(
            method,
            host,
            port,
            path,
            body=body,
            headers=all_headers,
            read_timeout_s=read_timeout_s,
        )
        try:
            return response.status, json.loads(response.data or b"null")
        except ValueError as error:
            raise HTTPError(f"answer is not JSON: {error}") from error

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            for pool in self._pool_by_address.values():
                pool.close()
            self._pool_by_address.clear()


def never_connected(error: Exception) -> bool:
    """Return whether the error proves that no byte of the request was sent."""
    return isinstance(error, NewConnectionError | ConnectTimeoutError)
