"""Errors returned to callers and operators.

The body of every error response is
``{"error": {"code", "message", "not_run", "retry_after_s", "request_id"}}``.
The list of codes is closed; ``docs/CALLERS.md`` explains each.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class ErrorCode(StrEnum):
    """The closed list of error codes."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    TOO_LARGE = "too_large"
    CONFLICT = "conflict"
    KEY_REUSED = "idempotency_key_reused"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline_cannot_be_met"
    NO_ENDPOINT = "no_endpoint"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    LOG_UNAVAILABLE = "log_unavailable"
    REQUEST_CRASHES_ENDPOINTS = "request_crashes_endpoints"
    ENDPOINT_ERROR = "endpoint_error"
    OUTCOME_UNKNOWN = "outcome_unknown"


HTTP_STATUS_BY_CODE: dict[ErrorCode, int] = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.METHOD_NOT_ALLOWED: 405,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.CONFLICT: 412,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.DEADLINE: 503,
    ErrorCode.NO_ENDPOINT: 503,
    ErrorCode.DRAINING: 503,
    ErrorCode.NOT_READY: 503,
    ErrorCode.LOG_UNAVAILABLE: 503,
    ErrorCode.REQUEST_CRASHES_ENDPOINTS: 422,
    ErrorCode.ENDPOINT_ERROR: 502,
    ErrorCode.OUTCOME_UNKNOWN: 504,
}


@dataclass(frozen=True)
class Refusal:
    """An error response.

    ``not_run`` is true only if certainly no endpoint ran the request.
    ``retry_after_s`` is None if a retry cannot help.
    """

    code: ErrorCode
    message: str
    not_run: bool
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status of this refusal."""
        return HTTP_STATUS_BY_CODE[self.code]

    def to_json(self, request_id: str) -> dict[str, Any]:
        """Return the JSON body sent to the caller."""
        return {
            "error": {
                "code": self.code.value,
                "message": self.message,
                "not_run": self.not_run,
                "retry_after_s": self.retry_after_s,
                "request_id": request_id,
            }
        }


@dataclass(frozen=True)
class Finding:
    """One error in input, with its location (such as ``limits.concurrency``)."""

    place: str
    message: str


MAX_ERROR_CHARS = 300
"""Bounds an error in a log line: it may quote an input of any size."""


def shorten(text: str, chars: int) -> str:
    """Return a text of a bounded length."""
    return text if len(text) <= chars else f"{text[:chars]}..."


def describe(error: Exception) -> str:
    """Return the type and text of an error, in a bounded length.

    The text is left out if it cannot be made, as of a number with too many digits.
    """
    try:
        text = str(error)
    except Exception:
        text = "(no text)"
    return shorten(f"{type(error).__name__}: {text}", MAX_ERROR_CHARS)
