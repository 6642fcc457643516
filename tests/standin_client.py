"""HTTP client and polling helper for tests of the stand-ins."""

import json
import time
from collections.abc import Callable
from typing import Any

import urllib3


class StandInClient:
    """HTTP client of one stand-in; does not retry."""

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
        """Return the status and the JSON body, or the text of a stream."""
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
        """Send a POST request and return its response with the body unread."""
        return self._pool.request(
            "POST",
            self.url + path,
            body=json.dumps(body),
            headers={name.replace("_", "-"): text for name, text in headers.items()},
            preload_content=False,
            timeout=10.0,
        )

    def set_faults(self, **faults: Any) -> None:
        """Set or clear faults; None clears one."""
        status, answer = self.call("POST", "/faults", faults)
        assert status == 200, answer

    def events(self, event: str) -> list[dict[str, Any]]:
        """Return the recorded history events of one kind."""
        _, events = self.call("GET", "/history")
        return [entry for entry in events if entry["event"] == event]


def wait_until(condition: Callable[[], Any], timeout: float = 5.0) -> None:
    """Poll until the condition holds; fail after ``timeout`` seconds."""
    deadline = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < deadline, "condition not met before the timeout"
        time.sleep(0.01)
