"""One try of a job: sends it to one entry VM and reads the response."""

import hashlib
import json
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from bench.history import Outcome, Received
from bench.jobs import MODEL_KINDS, STREAMED_KINDS, Job, JobKind

CONNECT_TIMEOUT_S = 2.0
END_OF_STREAM = "[DONE]"
EVENT_PREFIX = "data: "
EVENTS_BEFORE_HANG_UP = 2


@dataclass(frozen=True)
class Answer:
    """The outcome of a try, with the retry delay that the entry VM advised."""

    received: Received
    retry_after_s: float | None = None


def send_try(job: Job, request_id: str, address: str, timeout_s: float) -> Answer:
    """Send a job once to ``address`` (HOST:PORT) on a new connection."""
    host, _, port = address.rpartition(":")
    with urllib3.HTTPConnectionPool(
        host,
        int(port),
        maxsize=1,
        retries=False,
        timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
    ) as pool:
        try:
            response = pool.urlopen(
                job.method,
                job.path,
                body=job.body() or None,
                headers=job.headers(request_id),
                redirect=False,
                preload_content=False,
            )
            return _read_answer(job, request_id, response)
        except (NewConnectionError, ConnectTimeoutError) as error:
            return _ended(request_id, Outcome.UNREACHED, type(error).__name__)
        except (HTTPError, OSError) as error:
            return _ended(request_id, Outcome.BROKEN, type(error).__name__)


def _ended(request_id: str, outcome: Outcome, code: str) -> Answer:
    return Answer(Received(time.time(), request_id, outcome, code=code))


def _read_answer(
    job: Job,
    request_id: str,
    response: urllib3.BaseHTTPResponse,
) -> Answer:
    if response.status != 200:
        return _read_refusal(job, request_id, response)
    if job.kind is JobKind.HANG_UP:
        events = _read_events(response)
        for _, _ in zip(range(EVENTS_BEFORE_HANG_UP), events, strict=False):
            pass
        response.close()
        return _ended(request_id, Outcome.HUNG_UP, "")
    if job.kind in STREAMED_KINDS:
        return _read_stream(job, request_id, response)
    answer = _parse(response.read())
    if job.kind not in MODEL_KINDS:
        defect = job.find_call_defect(answer)
        return _answered(job, request_id, response, "", defect, answer.get("run_id"))
    choice = (answer.get("choices") or [{}])[0]
    text = choice.get("text") or choice.get("message", {}).get("content", "")
    ran = str(answer.get("model"))
    return _answered(job, request_id, response, ran, job.find_defect(ran, text), text)


def _read_stream(
    job: Job,
    request_id: str,
    response: urllib3.BaseHTTPResponse,
) -> Answer:
    """Read a stream; without its end marker it counts as broken."""
    text = ""
    ran = response.headers.get("X-Adapter", "")
    for event in _read_events(response):
        if event == END_OF_STREAM:
            defect = job.find_defect(ran, text)
            return _answered(job, request_id, response, ran, defect, text)
        piece = _parse(event.encode())
        if "error" in piece:
            return _refusal(request_id, 200, piece)
        choice = (piece.get("choices") or [{}])[0]
        text += choice.get("text") or choice.get("delta", {}).get("content", "")
    return _ended(request_id, Outcome.BROKEN, "stream without end marker")


def _read_events(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    rest = b""
    for chunk in response.stream(amt=4096):
        *events, rest = (rest + chunk).split(b"\n\n")
        for event in events:
            text = event.decode(errors="replace").strip()
            if text.startswith(EVENT_PREFIX):
                yield text.removeprefix(EVENT_PREFIX)


def _answered(
    job: Job,
    request_id: str,
    response: urllib3.BaseHTTPResponse,
    ran: str,
    defect: str,
    content: Any,
) -> Answer:
    named = response.headers.get("X-Adapter", "")
    if not defect and job.kind in MODEL_KINDS and named != ran:
        defect = f"the header names {named}, the body {ran}"
    revision = response.headers.get("X-Catalogue-Revision", "")
    received = Received(
        time.time(),
        request_id,
        Outcome.ANSWERED,
        lora_name=ran,
        revision=int(revision) if revision.isdecimal() else -1,
        defect=defect,
        digest=hashlib.sha256(str(content).encode()).hexdigest()[:16],
    )
    return Answer(received)


def _read_refusal(
    job: Job,
    request_id: str,
    response: urllib3.BaseHTTPResponse,
) -> Answer:
    """Read an error response, of the entry VM or of a plain service."""
    body = _parse(response.read())
    typed = "not_run" in (body.get("error") or {})
    if not typed and job.kind not in MODEL_KINDS and "X-Endpoint" in response.headers:
        return _ended(request_id, Outcome.ANSWERED, f"service_{response.status}")
    answer = _refusal(request_id, response.status, body)
    header = response.headers.get("Retry-After", "")
    if answer.retry_after_s is None and header.isdecimal():
        return Answer(answer.received, float(header))
    return answer


def _refusal(request_id: str, status: int, body: dict[str, Any]) -> Answer:
    """Return the answer for an error body; ``untyped_*`` if it has no typed error."""
    error = body.get("error")
    if not isinstance(error, dict) or "not_run" not in error:
        return _ended(request_id, Outcome.UNKNOWN, f"untyped_{status}")
    outcome = Outcome.NOT_RUN if error["not_run"] else Outcome.UNKNOWN
    answer = _ended(request_id, outcome, str(error.get("code", "")))
    return Answer(answer.received, error.get("retry_after_s"))


def _parse(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
