"""Admission, idempotency key and clean-up around the run of any request."""

import contextlib
import itertools
from collections.abc import Callable

from bamboovale.decisions.admission import Arrival, Limits
from bamboovale.entry.caller_answer import CallerAnswer, ChunksWithCleanup
from bamboovale.entry.caller_request import CallerRequest
from bamboovale.entry.decision_facade import DecisionFacade
from bamboovale.entry.idempotency_keys import IdempotencyKeyHandler
from bamboovale.environment import Environment


class RequestLifecycle:
    """Admits a request, claims its key if it has one, and releases both at its end."""

    def __init__(
        self,
        environment: Environment,
        decisions: DecisionFacade,
        keys: IdempotencyKeyHandler,
    ) -> None:
        self._incarnation = environment.incarnation[:6]
        self._decisions = decisions
        self._keys = keys
        self._attempt_numbers = itertools.count(1)

    def new_attempt_id(self, request: CallerRequest) -> str:
        """Return an attempt id that is unique across requests and restarts."""
        number = next(self._attempt_numbers)
        return f"{request.request_id}.{self._incarnation}{number:x}"

    def answer(
        self,
        request: CallerRequest,
        entry: str,
        owner: str,
        limits: Limits,
        run: Callable[[], CallerAnswer],
    ) -> CallerAnswer:
        """Admit and run a request; it counts as open until its answer has been sent."""
        attempt_id = self.new_attempt_id(request)
        refusal = self._decisions.admit(
            Arrival(
                request_id=attempt_id,
                customer=owner,
                entry=entry,
                limits=limits,
                size_bytes=len(request.body),
            )
        )
        if refusal is not None:
            return CallerAnswer.refusal(refusal, request.request_id)
        with contextlib.ExitStack() as stack:
            stack.callback(self._decisions.release, attempt_id)
            if request.key is None:
                answer = run()
            else:
                answer = self._keys.answer(request, attempt_id, owner, run)
            held = stack.pop_all()
        answer.chunks = ChunksWithCleanup(answer.chunks, held.close)
        return answer
