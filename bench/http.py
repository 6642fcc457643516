"""JSON over HTTP for the bench, with one connection per call."""

import json
import time
from typing import Any

import urllib3
from urllib3.exceptions import NewConnectionError, ProtocolError

CALL_TIMEOUT_S = 10.0
# A stand-in that restarts after a crash refuses connections for a while.
RESTART_TIMEOUT_S = 15.0
RESTART_POLL_S = 0.1


def call_json(
    method: str,
    url: str,
    value: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> tuple[int, Any]:
    """Return the status and the parsed body, None if it is not JSON.

    Raises urllib3's HTTPError on network errors.
    """
    with urllib3.PoolManager(retries=False) as http:
        response = http.request(
            method,
            url,
            body=None if value is None else json.dumps(value),
            headers={"Content-Type": "application/json", **(headers or {})},
            timeout=timeout_s,
            redirect=False,
        )
        try:
            return response.status, json.loads(response.data or b"null")
        except ValueError:
            return response.status, None


def call_restarting(method: str, url: str, value: Any = None) -> tuple[int, Any]:
    """Call a stand-in that may be restarting or dropping calls; retry until it answers.

    The bench only makes idempotent calls to stand-ins, so that each may be retried.
    """
    deadline = time.monotonic() + RESTART_TIMEOUT_S
    while True:
        try:
            return call_json(method, url, value, timeout_s=RESTART_TIMEOUT_S)
        except (NewConnectionError, ProtocolError):
            if time.monotonic() > deadline:
                raise
            time.sleep(RESTART_POLL_S)
