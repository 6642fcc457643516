"""Parsing and validation of callers' HTTP requests."""

import hashlib
import os
import re
import socket
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from bamboovale.entry.request_gate import bounded_read
from bamboovale.errors import ErrorCode, Refusal

MAX_KEY_LENGTH = 255
MAX_DEADLINE_MS = 24 * 3600 * 1000
_REQUEST_ID = re.compile(r"[A-Za-z0-9_.:\-]{1,128}")
_KEY = re.compile(r"[\x21-\x7e]{1,255}")


@dataclass(frozen=True)
class CallerRequest:
    """One request and its parsed headers.

    ``deadline_s`` is a duration from ``arrived_at``; None if the caller set none.
    ``idempotent`` is None if the caller did not set the header.
    """

    request_id: str
    method: str
    path: str
    query: str
    header_by_name: dict[str, str]
    body: bytes
    caller: str
    arrived_at: float
    key: str | None = None
    idempotent: bool | None = None
    deadline_s: float | None = None
    connection: socket.socket | None = field(default=None, compare=False)

    @property
    def body_hash(self) -> str:
        """Return the hash that detects a key reused for a different request."""
        digest = hashlib.blake2b(self.body, digest_size=16)
        digest.update(f"{self.method} {self.path}?{self.query}".encode())
        return digest.hexdigest()

    def fingerprint(self, target: str) -> str:
        """Return a hash of caller, target and body, the same for a repeated request."""
        digest = hashlib.blake2b(self.body, digest_size=12)
        digest.update(f"{self.caller} {target}".encode())
        return digest.hexdigest()


def read_request(
    environ: dict[str, Any],
    max_body_bytes: int,
    now: float,
) -> Result[CallerRequest, Refusal]:
    """Parse and validate one request; the body is read up to ``max_body_bytes``."""
    headers = _headers(environ)
    request_id = headers.get("x-request-id", "")
    if not request_id:
        request_id = f"req-{os.urandom(8).hex()}"
    elif not _REQUEST_ID.fullmatch(request_id):
        return _bad_request("X-Request-Id: 1 to 128 letters, digits or any of _.:-")
    key = headers.get("idempotency-key")
    if key is not None and not _KEY.fullmatch(key):
        return _bad_request(
            f"Idempotency-Key: 1 to {MAX_KEY_LENGTH} printable characters"
        )
    idempotent = {None: None, "true": True, "false": False}.get(
        headers.get("x-idempotent"),
        "invalid",
    )
    if idempotent == "invalid":
        return _bad_request("X-Idempotent: true or false")
    deadline = _read_deadline(headers.get("x-deadline-ms"))
    if isinstance(deadline, Err):
        return deadline
    body = _read_body(environ, max_body_bytes)
    if isinstance(body, Err):
        return body
    return Ok(
        CallerRequest(
            request_id=request_id,
            method=environ["REQUEST_METHOD"],
            path=environ.get("PATH_INFO", "/"),
            query=environ.get("QUERY_STRING", ""),
            header_by_name=headers,
            body=body.ok_value,
            caller=headers.get("x-caller", "") or environ.get("REMOTE_ADDR", ""),
            arrived_at=now,
            key=key,
            idempotent=False if key is not None else idempotent,  # type: ignore[arg-type]
            deadline_s=deadline.ok_value,
            connection=environ.get("bamboovale.socket"),
        )
    )


def _headers(environ: dict[str, Any]) -> dict[str, str]:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    for name in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        if environ.get(name):
            headers[name.replace("_", "-").lower()] = environ[name]
    return headers


def _read_deadline(text: str | None) -> Result[float | None, Refusal]:
    if text is None:
        return Ok(None)
    # int() raises ValueError for thousands of digits, hence the check of the length.
    is_number = text.isdecimal() and len(text) <= len(str(MAX_DEADLINE_MS))
    if not is_number or not 0 < int(text) <= MAX_DEADLINE_MS:
        return _bad_request(
            f"X-Deadline-Ms: a whole number from 1 to {MAX_DEADLINE_MS}"
        )
    return Ok(int(text) / 1000)


def _read_body(environ: dict[str, Any], limit: int) -> Result[bytes, Refusal]:
    """Read the body, up to the limit."""
    stream = environ["wsgi.input"]
    try:
        length = int(environ.get("CONTENT_LENGTH") or -1)
        if length > limit:
            return _too_large(limit)
        if length >= 0:
            with bounded_read(environ, length):
                body = stream.read(length)
            if len(body) < length:
                return _bad_request("the body ended early")
            return Ok(body)
        if "chunked" not in environ.get("HTTP_TRANSFER_ENCODING", "").lower():
            return Ok(b"")
        with bounded_read(environ, limit):
            body = stream.read(limit + 1)
    except Exception as error:  # cheroot raises several kinds for a broken body
        return _bad_request(f"the body could not be read: {type(error).__name__}")
    return Ok(body) if len(body) <= limit else _too_large(limit)


def _bad_request(message: str) -> Err[Refusal]:
    return Err(Refusal(ErrorCode.BAD_REQUEST, message, not_run=True))


def _too_large(limit: int) -> Err[Refusal]:
    return Err(
        Refusal(ErrorCode.TOO_LARGE, f"the body exceeds {limit} bytes", not_run=True)
    )
