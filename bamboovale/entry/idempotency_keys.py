"""Requests with an ``Idempotency-Key``: each key is run at most once."""

import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from typing import Any

import pykka

from bamboovale.actors import tell
from bamboovale.claims.actor import ClaimEnded, ClaimRequested
from bamboovale.claims.answers import (
    MAX_BODY_BYTES,
    AnswerState,
    AnswerStore,
    StoredAnswer,
)
from bamboovale.claims.fold import ClaimOutcome, KeyInfo, Verdict
from bamboovale.claims.records import Answered, Claim, Released
from bamboovale.entry.caller_answer import (
    AnswerOutcome,
    CallerAnswer,
    ChunksWithCleanup,
)
from bamboovale.entry.caller_request import CallerRequest
from bamboovale.environment import Environment
from bamboovale.errors import ErrorCode, Refusal

CLAIM_WAIT_S = 2.0
"""Time for a claim to be read back from the log before the request is refused."""

POLL_S = 0.2
MAX_ANSWER_WAIT_S = 10.0
"""How long a repeated request waits for the answer of the running attempt."""

FindAnswer = Callable[[str, str], StoredAnswer]


class IdempotencyKeyHandler:
    """Claims the key, runs the request and keeps the answer for repeated requests."""

    def __init__(
        self,
        environment: Environment,
        claims: pykka.ActorRef,
        answers: AnswerStore,
        find_answer: FindAnswer,
        log_reachable: Callable[[], bool],
    ) -> None:
        self._environment = environment
        self._claims = claims
        self._answers = answers
        self._find_answer = find_answer
        self._log_reachable = log_reachable

    def answer(
        self,
        request: CallerRequest,
        attempt_id: str,
        owner: str,
        run: Callable[[], CallerAnswer],
    ) -> CallerAnswer:
        """Run the request if its claim wins, else answer for the existing claim."""
        claim = self._make_claim(request, attempt_id, owner)
        self._answers.begin(attempt_id)
        # With the log unreachable, the claim would only time out.
        outcome = self._claim(claim, request) if self._log_reachable() else None
        if outcome is None:
            return self._refuse(
                request,
                ErrorCode.LOG_UNAVAILABLE,
                "the key could not be claimed on the log",
                retry_after_s=2.0,
            )
        if outcome.verdict is Verdict.WON:
            return self._run(request, claim, run)
        return self._answer_lost_claim(request, outcome)

    def _make_claim(
        self,
        request: CallerRequest,
        attempt_id: str,
        owner: str,
    ) -> Claim:
        assert request.key is not None
        return Claim(
            key=request.key,
            owner=owner,
            body_hash=request.body_hash,
            node=self._environment.settings.id,
            incarnation=self._environment.incarnation,
            attempt_id=attempt_id,
            at=self._environment.wall_clock(),
        )

    def _claim(self, claim: Claim, request: CallerRequest) -> ClaimOutcome | None:
        """Wait until the claim is read back; None if it was not and is discarded."""
        now = self._environment.now()
        wait_s = min(CLAIM_WAIT_S, request.deadline_s or CLAIM_WAIT_S)
        future: Future[ClaimOutcome | None] = Future()
        tell(self._claims, ClaimRequested(claim, now + wait_s, future))
        return future.result()

    def _run(
        self,
        request: CallerRequest,
        claim: Claim,
        run: Callable[[], CallerAnswer],
    ) -> CallerAnswer:
        try:
            answer = run()
        except BaseException:
            self._record_outcome(claim, StoredAnswer(AnswerState.UNKNOWN))
            raise
        copy = _ChunkCopy(answer)

        def record_outcome() -> None:
            self._record_outcome(claim, copy.stored())

        chunks = ChunksWithCleanup(copy, record_outcome)
        return CallerAnswer(answer.status, answer.headers, chunks, answer.outcome)

    def _record_outcome(self, claim: Claim, stored: StoredAnswer) -> None:
        self._answers.end(claim.attempt_id, stored)
        item: Answered | Released
        if stored.state is AnswerState.NOT_RUN:
            item = Released(claim.key, claim.owner, claim.attempt_id)
        elif stored.state is AnswerState.ANSWERED:
            item = Answered(claim.key, claim.owner, claim.attempt_id, stored.status)
        else:
            return  # the key stays claimed: it is unknown whether the request ran
        tell(self._claims, ClaimEnded(item))

    def _answer_lost_claim(
        self,
        request: CallerRequest,
        outcome: ClaimOutcome,
    ) -> CallerAnswer:
        verdict = outcome.verdict
        if verdict is Verdict.BODY_DIFFERS:
            return self._refuse(
                request,
                ErrorCode.KEY_REUSED,
                "the key was used with another request",
                retry_after_s=None,
            )
        if verdict is Verdict.TABLE_FULL:
            return self._refuse(
                request,
                ErrorCode.OVERLOADED,
                "too many keys are remembered",
                retry_after_s=60.0,
            )
        if verdict is Verdict.LOST:
            return self._answer_repeat(request, outcome.holder)
        return self._refuse_as_unknown(
            request, "nobody can tell whether this key ran before"
        )

    def _answer_repeat(self, request: CallerRequest, holder: KeyInfo) -> CallerAnswer:
        """Wait for the first attempt's answer and return it to a repeated request."""
        wait_s = min(MAX_ANSWER_WAIT_S, request.deadline_s or MAX_ANSWER_WAIT_S)
        give_up_at = self._environment.now() + wait_s
        while True:
            stored = self._find_answer(holder.node, holder.attempt_id)
            if stored.state is AnswerState.ANSWERED:
                headers = [
                    *_without(stored.headers, "content-length", "x-request-id"),
                    ("X-Request-Id", request.request_id),
                    ("X-Repeated-Answer", "1"),
                ]
                return CallerAnswer.complete(stored.status, headers, stored.body)
            if stored.state is AnswerState.NOT_RUN:
                return self._refuse(
                    request,
                    ErrorCode.OVERLOADED,
                    "the first attempt with this key was not run; send it again",
                    retry_after_s=0.5,
                )
            if stored.state is AnswerState.UNKNOWN:
                return self._refuse_as_unknown(
                    request, "the first attempt's answer is not known"
                )
            if self._environment.now() >= give_up_at:
                return self._refuse_as_unknown(request, "the first attempt still runs")
            time.sleep(POLL_S)

    def _refuse_as_unknown(self, request: CallerRequest, message: str) -> CallerAnswer:
        refusal = Refusal(ErrorCode.OUTCOME_UNKNOWN, message, not_run=False)
        return CallerAnswer.refusal(refusal, request.request_id)

    def _refuse(
        self,
        request: CallerRequest,
        code: ErrorCode,
        message: str,
        retry_after_s: float | None,
    ) -> CallerAnswer:
        refusal = Refusal(code, message, not_run=True, retry_after_s=retry_after_s)
        return CallerAnswer.refusal(refusal, request.request_id)


class _ChunkCopy:
    """Forwards an answer's chunks and keeps a bounded copy for repeated requests."""

    def __init__(self, answer: CallerAnswer) -> None:
        self._answer = answer
        self._chunks = iter(answer.chunks)
        self._stored = bytearray()
        self._complete = True

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        chunk = next(self._chunks)
        if self._complete and len(self._stored) + len(chunk) <= MAX_BODY_BYTES:
            self._stored += chunk
        else:
            self._complete = False
        return chunk

    def close(self) -> None:
        """Close the wrapped chunks, which sets the final outcome."""
        close_chunks = getattr(self._chunks, "close", None)
        if close_chunks is not None:
            close_chunks()

    def stored(self) -> StoredAnswer:
        """Return the answer to keep for repeated requests."""
        answer = self._answer
        state = _final_state(answer.outcome)
        if state is AnswerState.ANSWERED and not self._complete:
            state = AnswerState.UNKNOWN
        headers = tuple(answer.headers)
        return StoredAnswer(state, answer.status, headers, bytes(self._stored))


def _final_state(outcome: AnswerOutcome) -> AnswerState:
    """Return the final state; an attempt aborted while running is unknown."""
    if outcome.state is AnswerState.RUNNING:
        return AnswerState.UNKNOWN
    return outcome.state


def _without(headers: Any, *names: str) -> list[tuple[str, str]]:
    return [pair for pair in headers if pair[0].lower() not in names]
