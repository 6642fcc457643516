"""Calls to stand-ins, as the tests make them."""

import json
import time
from collections.abc import Callable
from typing import Any

import urllib3


class StandInClient:
    """Calls one stand-in; nothing is sent twice."""

    def __init__(self, url: str, source: str = "127.0.0.1") -> None:
        self.url = url
        self._pool = urllib3.PoolManager(retries=False, source_address=(source, 0))

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout: float = 10.0,
        **headers: str,
    ) -> tuple[int, Any]:
        """Return the status and the JSON (or, of a stream, the text) of an answer."""
        response = self._pool.request(
            method,
            self.url + path,
            body=None if body is None else json.dumps(body),
            headers={name.replace("_", "-"): text for name, text in headers.items()},
            timeout=timeout,
        )
        if response.headers["Content-Type"] == "application/json":
            return response.status, response.json()
        return response.status, response.data.decode()

    def open(self, path: str, body: Any, **headers: str) -> urllib3.BaseHTTPResponse:
        """Start a request and return its answer unread."""
        return self._pool.request(
            "POST",
            self.url + path,
            body=json.dumps(body),
            headers={name.replace("_", "-"): text for name, text in headers.items()},
            preload_content=False,
            timeout=10.0,
        )

    def set_faults(self, **faults: Any) -> None:
        """Switch faults."""
        status, answer = self.call("POST", "/faults", faults)
        assert status == 200, answer

    def events(self, event: str) -> list[dict[str, Any]]:
        """Return the recorded events of one kind."""
        _, events = self.call("GET", "/history")
        return [entry for entry in events if entry["event"] == event]


def wait_until(condition: Callable[[], Any], timeout: float = 5.0) -> None:
    """Wait until a condition holds, or fail."""
    deadline = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < deadline, "the condition did not come to hold"
        time.sleep(0.01)
