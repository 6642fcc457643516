"""Requests and replies of the administration API on top of WSGI."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

from result import Err, Ok, Result

from bamboovale.errors import ErrorCode, Finding, Refusal

JSON = "application/json"
MAX_QUERY_CHARACTERS = 4096


@dataclass(frozen=True)
class Reply:
    """A status, headers and a body, which may be generated in chunks."""

    status: int
    body: Iterable[bytes] = ()
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = JSON

    @classmethod
    def of_json(
        cls,
        data: Any,
        status: int = 200,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> "Reply":
        """Return a reply with a JSON body."""
        body = json.dumps(data).encode()
        length = ("Content-Length", str(len(body)))
        return cls(status, (body,), (*headers, length))

    @classmethod
    def of_refusal(
        cls,
        refusal: Refusal,
        request_id: str = "",
        extra: dict[str, Any] | None = None,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> "Reply":
        """Return the reply for a refusal; ``extra`` is added to the error object."""
        data = refusal.to_json(request_id)
        data["error"].update(extra or {})
        if refusal.retry_after_s is not None:
            seconds = max(1, round(refusal.retry_after_s))
            headers = (*headers, ("Retry-After", str(seconds)))
        return cls.of_json(data, refusal.status, headers)

    @property
    def status_line(self) -> str:
        """Return the status line for WSGI."""
        return f"{self.status} {HTTPStatus(self.status).phrase}"


class Request:
    """One request, read from a WSGI environment."""

    def __init__(self, environ: dict[str, Any]) -> None:
        self._environ = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ.get("PATH_INFO", "")
        self.peer: str = environ.get("REMOTE_ADDR", "")
        query = environ.get("QUERY_STRING", "")[:MAX_QUERY_CHARACTERS]
        self.query: dict[str, str] = dict(parse_qsl(query))

    def header(self, name: str) -> str:
        """Return a header as UTF-8 text, empty if absent."""
        raw = self._environ.get("HTTP_" + name.upper().replace("-", "_"), "")
        return raw.encode("latin-1", "replace").decode("utf-8", "replace").strip()

    def json(self, max_bytes: int) -> Result[Any, Refusal]:
        """Read and parse a JSON body of at most ``max_bytes``."""
        length_text = self._environ.get("CONTENT_LENGTH") or ""
        if not length_text.isascii() or not length_text.isdigit():
            return Err(bad_request("a Content-Length is needed"))
        length = int(length_text[:20])
        if length > max_bytes:
            return Err(
                Refusal(
                    ErrorCode.TOO_LARGE,
                    f"a body may have {max_bytes} bytes here",
                    not_run=True,
                )
            )
        body = self._environ["wsgi.input"].read(length)
        if len(body) != length:
            return Err(bad_request("the body was cut short"))
        try:
            return Ok(json.loads(body, object_pairs_hook=_unique_object))
        except (ValueError, RecursionError) as error:
            return Err(bad_request(f"the body is not JSON: {error}"))


def bad_request(message: str) -> Refusal:
    """Return the refusal of malformed input."""
    return Refusal(ErrorCode.BAD_REQUEST, message, not_run=True)


def reply_findings(findings: Sequence[Finding]) -> Reply:
    """Return the refusal of invalid input with all findings."""
    return Reply.of_refusal(
        bad_request(f"{len(findings)} findings"),
        extra={"findings": findings_to_json(findings)},
    )


def findings_to_json(findings: Sequence[Finding]) -> list[dict[str, str]]:
    """Return findings as JSON values."""
    return [{"place": item.place, "message": item.message} for item in findings]


def _unique_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # Guards against a field given twice, of which parsers use either value.
    data = dict(pairs)
    if len(data) != len(pairs):
        raise ValueError("an object names a field twice")
    return data
