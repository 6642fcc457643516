"""Client of the administration API."""

import json
from dataclasses import dataclass
from typing import Any

import urllib3

from bamboovale.errors import ErrorCode
from bamboovale.http_responses import PoolManager
from bamboovale.status import ExitStatus

CONNECT_TIMEOUT_S = 2.0
# Longer than the server's own time limit for any call.
READ_TIMEOUT_S = 30.0
# Errors after which the next entry VM is tried. The edit id stays the same, so that
# an edit takes effect only once.
CODES_TO_TRY_ELSEWHERE = (
    ErrorCode.LOG_UNAVAILABLE,
    ErrorCode.OUTCOME_UNKNOWN,
    ErrorCode.NOT_READY,
    ErrorCode.DRAINING,
    ErrorCode.OVERLOADED,
)
STATUS_BY_CODE = {
    ErrorCode.CONFLICT: ExitStatus.CONFLICT,
    ErrorCode.BAD_REQUEST: ExitStatus.REJECTED,
    ErrorCode.KEY_REUSED: ExitStatus.REJECTED,
    ErrorCode.TOO_LARGE: ExitStatus.REJECTED,
    ErrorCode.OUTCOME_UNKNOWN: ExitStatus.TIMEOUT,
    ErrorCode.LOG_UNAVAILABLE: ExitStatus.UNAVAILABLE,
    ErrorCode.NOT_READY: ExitStatus.UNAVAILABLE,
    ErrorCode.DRAINING: ExitStatus.UNAVAILABLE,
    ErrorCode.OVERLOADED: ExitStatus.UNAVAILABLE,
}


@dataclass(frozen=True)
class Answer:
    """The response of the entry VM that was called last."""

    status: ExitStatus
    body: Any

    @property
    def error(self) -> dict[str, Any]:
        """Return the error object of the body, empty if it has none."""
        error = self.body.get("error") if isinstance(self.body, dict) else None
        return error if isinstance(error, dict) else {}

    def error_lines(self) -> list[str]:
        """Return the error as lines ``place: message``."""
        error = self.error
        lines = [
            f"{finding['place'] or 'input'}: {finding['message']}"
            for finding in error.get("findings", ())
        ]
        for conflict in error.get("conflicts", ()):
            current = conflict["current_revision"] or "none"
            lines.append(
                f"{conflict['kind']} {conflict['name']}: edited from revision "
                f"{conflict['base_revision']}, current revision is {current}"
            )
        if not lines:
            lines.append(f"{error.get('code', 'error')}: {error.get('message', '')}")
        if error.get("code") == ErrorCode.OUTCOME_UNKNOWN:
            edit_id = error.get("edit_id") or error.get("request_id", "")
            lines.append(f"repeat it with --edit-id {edit_id} to learn the outcome")
        if error.get("accepted_parts"):
            lines.append(
                f"{error['accepted_parts']} of {error['parts']} parts were accepted"
            )
        return lines


class AdministrationClient:
    """Calls entry VMs in turn until one gives a final response."""

    def __init__(self, urls: list[str], token: str, pool: PoolManager) -> None:
        self._urls = urls
        self._token = token
        self._pool = pool

    @classmethod
    def from_urls(cls, urls: list[str], token: str) -> "AdministrationClient":
        """Return a client without automatic retries and redirects."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        pool = PoolManager(retries=False, timeout=timeout)
        return cls([url.rstrip("/") for url in urls], token, pool)

    def call(
        self,
        method: str,
        path: str,
        data: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Call each URL in turn until one gives a final response."""
        sent = {name: text.encode() for name, text in (headers or {}).items()}
        if self._token:
            sent["Authorization"] = f"Bearer {self._token}".encode()
        body = None
        if data is not None:
            body = json.dumps(data).encode()
            sent["Content-Type"] = b"application/json"
        unknown: Answer | None = None
        answer = _unreachable("no administration URL is given")
        for url in self._urls:
            answer = self._call_one(method, url + path, body, sent)
            code = answer.error.get("code")
            if code == ErrorCode.OUTCOME_UNKNOWN:
                unknown = answer
            if answer.status == ExitStatus.SUCCESS or (
                code not in CODES_TO_TRY_ELSEWHERE
            ):
                return answer
        # One VM may have appended the edit, so an "unavailable" from a later one must
        # not hide the unknown outcome.
        return unknown or answer

    def _call_one(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, bytes],
    ) -> Answer:
        try:
            response = self._pool.request(
                method,
                url,
                body=body,
                headers=headers,  # type: ignore[arg-type]
                redirect=False,
            )
        except (urllib3.exceptions.NewConnectionError, ValueError) as error:
            return _unreachable(f"{url}: {error}")
        except urllib3.exceptions.ConnectTimeoutError as error:
            return _unreachable(f"{url}: {error}")
        except urllib3.exceptions.HTTPError as error:
            if method == "GET":
                return _unreachable(f"{url}: {error}")
            # The request may have reached the VM and appended an edit to the log.
            return _unknown(f"{url}: {error}", headers)
        return _read_answer(response.status, response.data)


def _read_answer(http_status: int, data: bytes) -> Answer:
    try:
        body = json.loads(data)
    except ValueError:
        body = {"error": {"code": "error", "message": f"HTTP status {http_status}"}}
    if 200 <= http_status < 300:
        return Answer(ExitStatus.SUCCESS, body)
    answer = Answer(ExitStatus.ERROR, body)
    code = answer.error.get("code")
    status = next(
        (status for known, status in STATUS_BY_CODE.items() if known == code),
        ExitStatus.ERROR,
    )
    return Answer(status, body)


def _unreachable(message: str) -> Answer:
    code = ErrorCode.NOT_READY.value
    error = {"code": code, "message": message}
    return Answer(ExitStatus.UNAVAILABLE, {"error": error})


def _unknown(message: str, headers: dict[str, bytes]) -> Answer:
    error = {
        "code": ErrorCode.OUTCOME_UNKNOWN.value,
        "message": message,
        "edit_id": headers.get("X-Edit-Id", b"").decode(),
    }
    return Answer(ExitStatus.TIMEOUT, {"error": error})
