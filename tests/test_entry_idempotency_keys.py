"""Keyed requests: one run, the same answer for repeats, honest refusals."""

import logging
import time
from typing import Any

import pykka
import pytest

from bamboovale.claims.actor import ClaimEnded, ClaimRequested
from bamboovale.claims.answers import AnswerState, AnswerStore, StoredAnswer
from bamboovale.claims.fold import ClaimOutcome, KeyInfo, KeyState, Verdict
from bamboovale.claims.records import Answered, Released
from bamboovale.entry.caller_answer import AnswerOutcome, CallerAnswer
from bamboovale.entry.caller_request import CallerRequest
from bamboovale.entry.idempotency_keys import IdempotencyKeyHandler
from bamboovale.environment import Environment
from bamboovale.errors import ErrorCode, Refusal
from bamboovale.metrics import Metrics
from bamboovale.settings import Settings


class PlayedClaims(pykka.ThreadingActor):
    """Gives every claim the verdict that the test set."""

    def __init__(self, verdict: Verdict, state: KeyState) -> None:
        super().__init__()
        self._verdict = verdict
        self._state = state
        self.ended: list[Any] = []

    def on_receive(self, message: Any) -> Any:
        if isinstance(message, ClaimRequested):
            holder = KeyInfo(self._state, node="e9", attempt_id="first")
            outcome = ClaimOutcome(message.claim, self._verdict, holder)
            message.future.set_result(outcome)
        elif isinstance(message, ClaimEnded):
            self.ended.append(message.item)
        else:
            return list(self.ended)
        return None


class Keyed:
    """Keyed requests over played claims."""

    def __init__(
        self,
        verdict: Verdict = Verdict.WON,
        state: KeyState = KeyState.CLAIMED,
        kept: StoredAnswer | None = None,
        log_reachable: bool = True,
    ) -> None:
        self.runs = 0
        self.answers = AnswerStore()
        self.claims = PlayedClaims.start(verdict, state)
        self.keyed = IdempotencyKeyHandler(
            Environment(
                Settings(id="e1", failure_domain="muc-a"),
                Metrics(),
                logging.getLogger("test"),
            ),
            self.claims,
            self.answers,
            lambda vm_id, attempt_id: kept or StoredAnswer(AnswerState.UNKNOWN),
            lambda: log_reachable,
        )

    def answer(self, result: CallerAnswer | None = None) -> CallerAnswer:
        def run() -> CallerAnswer:
            self.runs += 1
            return result or CallerAnswer.complete(201, [("X-Own", "1")], b"booked")

        return self.keyed.answer(request(), "r.1", "lernwerk", run)

    def ended(self) -> list[Any]:
        return self.claims.ask("read")


@pytest.fixture(autouse=True)
def stop_actors() -> Any:
    yield
    pykka.ActorRegistry.stop_all()


def request() -> CallerRequest:
    return CallerRequest(
        request_id="r",
        method="POST",
        path="/services/market/book",
        query="",
        header_by_name={},
        body=b"slot 4",
        caller="parent",
        arrived_at=0.0,
        key="k1",
    )


def code_of(answer: CallerAnswer) -> str:
    return answer.outcome.code


class TestWinner:
    """The winner of the key runs, and says on the log how it ended."""

    def test_an_answer_is_kept_and_recorded(self) -> None:
        keyed = Keyed()
        assert b"".join(keyed.answer().chunks) == b"booked"
        assert keyed.answers.find("r.1").body == b"booked"
        assert keyed.ended() == [Answered("k1", "lernwerk", "r.1", 201)]

    def test_a_request_that_was_not_run_frees_its_key(self) -> None:
        refusal = Refusal(ErrorCode.NO_ENDPOINT, "none", not_run=True)
        keyed = Keyed()
        list(keyed.answer(CallerAnswer.refusal(refusal, "r")).chunks)
        assert keyed.ended() == [Released("k1", "lernwerk", "r.1")]

    def test_an_unknown_outcome_keeps_the_key_claimed(self) -> None:
        """The booking may exist: freeing its key would let a repeat book twice."""
        refusal = Refusal(ErrorCode.OUTCOME_UNKNOWN, "lost", not_run=False)
        keyed = Keyed()
        list(keyed.answer(CallerAnswer.refusal(refusal, "r")).chunks)
        assert keyed.ended() == []
        assert keyed.answers.find("r.1").state is AnswerState.UNKNOWN

    def test_a_caller_gone_before_the_first_byte_still_settles_the_key(self) -> None:
        """The server closes the answer unread; its end must be acted on all the same.

        The booking ran. Without it the key would look as if it still ran, and each
        repeat would wait in vain.
        """
        keyed = Keyed()
        keyed.answer().chunks.close()  # type: ignore[attr-defined]
        assert len(keyed.ended()) == 1

    def test_a_stream_broken_off_is_unknown(self) -> None:
        def chunks() -> Any:
            yield b"half"
            raise ConnectionError

        keyed = Keyed()
        answer = keyed.answer(CallerAnswer(200, [], chunks(), AnswerOutcome()))
        with pytest.raises(ConnectionError):
            list(answer.chunks)
        assert keyed.answers.find("r.1").state is AnswerState.UNKNOWN


class TestRepeat:
    """A repeat never runs; it gets the first answer or an honest word."""

    def test_it_gets_the_first_answer_under_its_own_id(self) -> None:
        kept = StoredAnswer(
            AnswerState.ANSWERED,
            201,
            (("X-Request-Id", "first"), ("Content-Length", "6")),
            b"booked",
        )
        keyed = Keyed(Verdict.LOST, KeyState.ANSWERED, kept)
        answer = keyed.answer()
        assert (answer.status, b"".join(answer.chunks)) == (201, b"booked")
        assert ("X-Request-Id", "r") in answer.headers
        assert keyed.runs == 0

    @pytest.mark.parametrize(
        ("verdict", "kept", "code", "not_run"),
        [
            (Verdict.LOST, None, ErrorCode.OUTCOME_UNKNOWN, False),
            (Verdict.UNKNOWN, None, ErrorCode.OUTCOME_UNKNOWN, False),
            (Verdict.BODY_DIFFERS, None, ErrorCode.KEY_REUSED, True),
            (Verdict.TABLE_FULL, None, ErrorCode.OVERLOADED, True),
            (
                Verdict.LOST,
                StoredAnswer(AnswerState.NOT_RUN),
                ErrorCode.OVERLOADED,
                True,
            ),
        ],
    )
    def test_what_else_it_may_hear(
        self,
        verdict: Verdict,
        kept: StoredAnswer | None,
        code: ErrorCode,
        not_run: bool,
    ) -> None:
        keyed = Keyed(verdict, kept=kept)
        answer = keyed.answer()
        assert code_of(answer) == code.value
        assert (answer.outcome.state is AnswerState.NOT_RUN) is not_run
        assert keyed.runs == 0


class TestLogOutage:
    """Without the log a key cannot be claimed: the caller hears so at once.

    A parent confirms a slot while the log is down. Waiting two seconds for a claim
    that cannot come would hold the thread and the parent for nothing.
    """

    def test_it_is_refused_at_once_and_not_run(self) -> None:
        keyed = Keyed(log_reachable=False)
        begun = time.monotonic()
        answer = keyed.answer()
        assert time.monotonic() - begun < 0.5
        assert code_of(answer) == ErrorCode.LOG_UNAVAILABLE.value
        assert answer.outcome.state is AnswerState.NOT_RUN
        assert keyed.runs == 0
