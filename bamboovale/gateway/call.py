"""A caller's request while it is handled, and the errors that can end it."""

from dataclasses import dataclass, field
from functools import cached_property
from typing import Any, Protocol

import h11

from bamboovale.crashes.subjects import fingerprint, subjects_of
from bamboovale.gateway.customers import Customer
from bamboovale.gateway.model import AnswerFacts, CallFacts, CallKind, Route
from bamboovale.http1.connection import Headers, ResponseHead
from bamboovale.http1.request import Request
from bamboovale.http1.responder import Responder


class CallCodec(Protocol):
    """Encodes and decodes requests and answers in the wire format."""

    def decode_call(self, request: Request) -> CallFacts:
        """Read a caller's headers; raises BadRequest."""

    def name_customer(self, facts: CallFacts, customer: str | None) -> CallFacts:
        """Return the facts without the caller's key and with its customer's name."""

    def encode_call(
        self,
        request: Request,
        facts: CallFacts,
        *,
        registered_id: str,
        left_s: float,
        version: int | None = None,
        urgency: int | None = None,
        resume_after: str | None = None,
    ) -> h11.Request:
        """Return the request for an endpoint."""

    def decode_answer(self, head: ResponseHead) -> AnswerFacts:
        """Read the head of an answer."""

    def encode_refusal(
        self,
        retry_after_s: float | None,
        request_id: str | None,
        *,
        needs_key: bool = False,
    ) -> Headers:
        """Return the headers of an answer that the entry VM itself gives.

        ``needs_key`` asks the caller for a valid key.
        """


class CallRefused(Exception):  # noqa: N818 - reads as what happened
    """The request did not run and will not run.

    ``retry_after_s`` is when the caller may retry, None if that would be in vain.
    """

    def __init__(self, reason: str, retry_after_s: float | None) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class CallerLeft(Exception):  # noqa: N818 - reads as what happened
    """The caller closed its connection: nothing more is to be done for it."""


class KeyRejected(Exception):  # noqa: N818 - reads as what happened
    """The route needs a key, and the caller has none that is known. It did not run."""


class QuotaExceeded(CallRefused):
    """The customer is over its quota; the request did not run."""

    def __init__(self, customer: str, cost: float, retry_after_s: float) -> None:
        super().__init__(f"{customer} is over its quota", retry_after_s)
        self.customer = customer
        self.cost = cost
        self.retry_after_s: float = retry_after_s


class CallFailed(Exception):  # noqa: N818 - reads as what happened
    """The request may have run; its answer is lost."""


@dataclass
class Call:
    """A request with its route; timestamps are those of the event loop.

    ``deadline`` is when the caller or the route stops waiting. ``notes`` collects the
    fields of the request's log line. ``sent_at`` is when the first attempt began;
    ``is_answer_whole`` is whether an endpoint's answer was read to its end.
    """

    request: Request
    facts: CallFacts
    route: Route
    service: str
    responder: Responder
    deadline: float
    customer: Customer | None = None
    notes: dict[str, Any] = field(default_factory=dict)
    attempts: int = 0
    sent_at: float | None = None
    is_answer_whole: bool = False

    @cached_property
    def fingerprint(self) -> str:
        """Return a digest that is equal for all attempts at the same request."""
        return fingerprint(self.facts.host, self.request.target, self.request.body)

    @property
    def shared_parts(self) -> tuple[tuple[str, int], ...]:
        """Return the parts of the prompt that other requests may share."""
        work = self.facts.work
        return () if work is None else work.prompt_parts[:-1]

    @cached_property
    def subjects(self) -> tuple[str, ...]:
        """Return what of the request may crash endpoints: itself, and its parts."""
        return subjects_of(self.fingerprint, (part for part, _ in self.shared_parts))

    @property
    def priority(self) -> int:
        """Return the customer's priority, else the route's; 0 is the most urgent."""
        if self.customer is None or self.customer.priority is None:
            return self.route.priority
        return self.customer.priority

    @property
    def customer_name(self) -> str | None:
        """Return the customer's name, None for a caller without a key."""
        return None if self.customer is None else self.customer.name

    @property
    def must_run_once(self) -> bool:
        """Return whether the request may run once at most."""
        return self.route.kind is not CallKind.SAFE and not self.route.resumable

    @property
    def is_resumption(self) -> bool:
        """Return whether the caller goes on with a stream of an earlier attempt."""
        return self.route.resumable and self.facts.resume_after is not None

    @property
    def goal_at(self) -> float:
        """Return the time until which an answer has its full value."""
        return self.request.received_at + self.route.goal_s

    def check_caller(self) -> None:
        """Raise CallerLeft if the caller has closed its connection."""
        if self.responder.has_caller_left():
            raise CallerLeft

    def left_s(self, now: float) -> float:
        """Return the seconds left until the deadline, at least 0."""
        return max(0.0, self.deadline - now)

    def answer(self, facts: AnswerFacts, body: bytes) -> None:
        """Forward the whole answer of an endpoint that ran the request.

        Raises CallFailed if its status would tell the caller that the request did not
        run, and that it may be sent again.
        """
        if facts.reads_not_run and self.must_run_once:
            raise CallFailed(
                f"the endpoint answered {facts.status} and may have run it"
            )
        self.is_answer_whole = True
        self.notes["status"] = facts.status
        self.responder.answer(facts.status, facts.headers, body)

    def note_attempt(self, started_at: float, **fields: Any) -> dict[str, Any]:
        """Add an attempt to the log line; returns its fields for later additions.

        ``at_s`` is when it began, in seconds after the request was read.
        """
        self.attempts += 1
        self.sent_at = started_at if self.sent_at is None else self.sent_at
        at_s = round(started_at - self.request.received_at, 4)
        fields = {"at_s": at_s, **fields}
        self.notes.setdefault("attempts", []).append(fields)
        return fields

    def note_exchange(self, via: str | None, *, is_reused: bool, skipped: int) -> None:
        """Add to the last attempt how it was sent.

        ``via`` is the VM that sent it, None for this one; ``is_reused`` whether its
        connection had carried another request; ``skipped`` the number of answers to
        other requests that came instead of its own.
        """
        note = self.notes["attempts"][-1]
        if via is not None:
            note["via"] = via
        if is_reused:
            note["kept"] = True
        if skipped:
            note["skipped"] = skipped
