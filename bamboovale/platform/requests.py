"""Decoding and encoding of the headers of requests and answers."""

from dataclasses import replace

import h11

from bamboovale.gateway.model import AnswerFacts, CallFacts, ModelWork
from bamboovale.http1.connection import Headers, ResponseHead
from bamboovale.http1.request import BadRequest, Request
from bamboovale.platform import customers, names
from bamboovale.platform.customers import decode_key
from bamboovale.platform.signals import decode_retry_after, decode_signals
from bamboovale.request_ids import MAX_KEPT_CHARS

MAX_DEADLINE_S = 3600.0
MAX_PROMPT_PARTS = 65
"""Parts of a prompt that are looked at, with the request's own; prompts have a few."""


def decode_call(request: Request) -> CallFacts:
    """Decode a caller's headers; raises BadRequest for malformed values."""
    request_id = request.get(names.REQUEST_ID)
    if request_id is None:
        raise BadRequest(400, "a request id is required")
    host = request.get(b"host") or b""
    resume_after = request.get(names.LAST_EVENT_ID)
    try:
        tokens = _decode_tokens(request.get(names.TOKEN_COUNT))
    except ValueError as error:
        raise BadRequest(400, "malformed token counts") from error
    return CallFacts(
        request_id=request_id.decode("latin-1"),
        host=host.decode("latin-1"),
        deadline_s=_decode_deadline(request.get(names.DEADLINE)),
        work=_decode_work(request, tokens or (0, 0)),
        forward=_forwarded(request.headers),
        resume_after=None if resume_after is None else resume_after.decode("latin-1"),
        resumes=_decode_resumes(request.headers),
        tokens=None if tokens is None else sum(tokens),
        key=decode_key(request.headers),
    )


def name_customer(facts: CallFacts, customer: str | None) -> CallFacts:
    """Return the facts of a call that is forwarded without its key."""
    return replace(
        facts,
        forward=customers.name_customer(facts.forward, facts.key, customer),
    )


def _decode_deadline(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError as error:
        raise BadRequest(400, "the deadline is no number") from error
    return min(max(milliseconds / 1000, 0.0), MAX_DEADLINE_S)


def _decode_resumes(headers: Headers) -> str | None:
    """Return the attempt that began a stream, None unless exactly one is named."""
    values = {value.strip() for name, value in headers if name == names.RESUMES}
    if len(values) != 1:
        return None
    value = values.pop()
    if not 0 < len(value) <= MAX_KEPT_CHARS:
        return None
    is_id = all(0x20 < byte < 0x7F and byte != ord(",") for byte in value)
    return value.decode("ascii") if is_id else None


def _decode_work(request: Request, tokens: tuple[int, int]) -> ModelWork | None:
    name = request.get(names.MODEL)
    if name is None:
        return None
    model, _, adapter = name.decode("latin-1").partition("/")
    try:
        parts = _decode_parts(request.get(names.PROMPT_PREFIX))
    except ValueError as error:
        raise BadRequest(400, "malformed prompt parts") from error
    return ModelWork(
        model=model,
        adapter=adapter or None,
        prompt_tokens=tokens[0],
        output_tokens=tokens[1],
        prompt_parts=parts,
    )


def _decode_tokens(value: bytes | None) -> tuple[int, int] | None:
    if value is None:
        return None
    tokens_in, _, tokens_out = value.partition(b",")
    return max(0, int(tokens_in)), max(0, int(tokens_out or b"0"))


def _decode_parts(value: bytes | None) -> tuple[tuple[str, int], ...]:
    if not value:
        return ()
    parts: list[tuple[str, int]] = []
    for item in value.decode("latin-1").split(","):
        part_id, _, tokens = item.strip().partition(":")
        part = part_id, int(tokens)
        if len(parts) < MAX_PROMPT_PARTS:
            parts.append(part)
    return tuple(parts)


def _forwarded(headers: Headers) -> Headers:
    """Drop hop-by-hop headers and those that callers may not set."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    keep = names.HOP_BY_HOP | names.CALLER_MAY_NOT_SET | named
    return [(name, value) for name, value in headers if name not in keep]


def encode_call(
    request: Request,
    facts: CallFacts,
    *,
    registered_id: str,
    left_s: float,
    version: int | None = None,
    urgency: int | None = None,
    resume_after: str | None = None,
) -> h11.Request:
    """Return the request for an endpoint.

    ``left_s`` is the time left until the caller's deadline.
    """
    headers = list(facts.forward)
    headers.append((names.DEADLINE, str(max(1, int(left_s * 1000))).encode()))
    headers.append((names.EXPECT_INSTANCE, registered_id.encode("latin-1")))
    if version is not None:
        headers.append((names.EXPECT_VERSION, str(version).encode()))
    if urgency is not None:
        headers.append((names.URGENCY, str(urgency).encode()))
    if resume_after is not None:
        headers.append((names.LAST_EVENT_ID, resume_after.encode("latin-1")))
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        headers.append((names.CONTENT_LENGTH, str(len(request.body)).encode()))
    return h11.Request(
        method=request.method,
        target=request.target.encode("latin-1"),
        headers=headers,
    )


def decode_answer(head: ResponseHead) -> AnswerFacts:
    """Decode the head of an endpoint's answer."""
    request_id = head.get(names.REQUEST_ID)
    wrong_endpoint = head.status == names.WRONG_INSTANCE_STATUS
    headers = [pair for pair in head.headers if pair[0] not in names.HOP_BY_HOP]
    return AnswerFacts(
        status=head.status,
        request_id=None if request_id is None else request_id.decode("latin-1"),
        signed=head.get(names.SERVER_STAMP) is not None,
        not_run=head.get(names.NOT_EXECUTED) is not None or wrong_endpoint,
        reads_not_run=head.status in names.NOT_RUN_STATUSES,
        wrong_endpoint=wrong_endpoint,
        retry_after_s=decode_retry_after(head.headers, []),
        headers=headers,
        signals=decode_signals(head),
    )


def encode_refusal(
    retry_after_s: float | None,
    request_id: str | None,
    *,
    needs_key: bool = False,
) -> Headers:
    """Return the headers of a refusal that the entry VM itself sends."""
    headers: Headers = [(b"content-type", b"text/plain")]
    if needs_key:
        headers.append((names.CHALLENGE, names.KEY_SCHEME.capitalize()))
    if request_id is not None:
        headers.append((names.REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((names.RETRY_AFTER, f"{retry_after_s:.2f}".encode()))
    return headers
