"""Requests with an idempotency key: one run, and the same answer for repeats."""

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


class FakeClaims(pykka.ThreadingActor):
    """Answers every claim with the verdict that the test set."""

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


class KeyedRequests:
    """An idempotency key handler with fake claims."""

    def __init__(
        self,
        verdict: Verdict = Verdict.WON,
        state: KeyState = KeyState.CLAIMED,
        stored: StoredAnswer | None = None,
        log_reachable: bool = True,
    ) -> None:
        self.runs = 0
        self.answers = AnswerStore()
        self.claims = FakeClaims.start(verdict, state)
        self.handler = IdempotencyKeyHandler(
            Environment(
                Settings(id="e1", failure_domain="muc-a"),
                Metrics(),
                logging.getLogger("test"),
            ),
            self.claims,
            self.answers,
            lambda vm_id, attempt_id: stored or StoredAnswer(AnswerState.UNKNOWN),
            lambda: log_reachable,
        )

    def answer(self, result: CallerAnswer | None = None) -> CallerAnswer:
        def run() -> CallerAnswer:
            self.runs += 1
            return result or CallerAnswer.complete(201, [("X-Own", "1")], b"booked")

        return self.handler.answer(request(), "r.1", "lernwerk", run)

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
    """The request that wins the key runs, and its outcome is recorded on the log."""

    def test_an_answer_is_kept_and_recorded(self) -> None:
        requests = KeyedRequests()
        assert b"".join(requests.answer().chunks) == b"booked"
        assert requests.answers.find("r.1").body == b"booked"
        assert requests.ended() == [Answered("k1", "lernwerk", "r.1", 201)]

    def test_a_request_that_was_not_run_frees_its_key(self) -> None:
        refusal = Refusal(ErrorCode.NO_ENDPOINT, "none", not_run=True)
        requests = KeyedRequests()
        list(requests.answer(CallerAnswer.refusal(refusal, "r")).chunks)
        assert requests.ended() == [Released("k1", "lernwerk", "r.1")]

    def test_an_unknown_outcome_keeps_the_key_claimed(self) -> None:
        """Guards against a second run by a repeat if the first may have run."""
        refusal = Refusal(ErrorCode.OUTCOME_UNKNOWN, "lost", not_run=False)
        requests = KeyedRequests()
        list(requests.answer(CallerAnswer.refusal(refusal, "r")).chunks)
        assert requests.ended() == []
        assert requests.answers.find("r.1").state is AnswerState.UNKNOWN

    def test_a_disconnect_before_the_first_byte_settles_the_key(self) -> None:
        """Guards against a key that stays claimed as running after a disconnect.

        The server closes the answer without reading it.
        """
        requests = KeyedRequests()
        requests.answer().chunks.close()  # type: ignore[attr-defined]
        assert len(requests.ended()) == 1

    def test_a_broken_stream_is_unknown(self) -> None:
        def chunks() -> Any:
            yield b"half"
            raise ConnectionError

        requests = KeyedRequests()
        answer = requests.answer(CallerAnswer(200, [], chunks(), AnswerOutcome()))
        with pytest.raises(ConnectionError):
            list(answer.chunks)
        assert requests.answers.find("r.1").state is AnswerState.UNKNOWN


class TestRepeat:
    """A repeat never runs; it gets the first answer or a refusal."""

    def test_it_gets_the_first_answer_under_its_own_id(self) -> None:
        stored = StoredAnswer(
            AnswerState.ANSWERED,
            201,
            (("X-Request-Id", "first"), ("Content-Length", "6")),
            b"booked",
        )
        requests = KeyedRequests(Verdict.LOST, KeyState.ANSWERED, stored)
        answer = requests.answer()
        assert (answer.status, b"".join(answer.chunks)) == (201, b"booked")
        assert ("X-Request-Id", "r") in answer.headers
        assert requests.runs == 0

    @pytest.mark.parametrize(
        ("verdict", "stored", "code", "not_run"),
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
    def test_refusals_of_repeats(
        self,
        verdict: Verdict,
        stored: StoredAnswer | None,
        code: ErrorCode,
        not_run: bool,
    ) -> None:
        requests = KeyedRequests(verdict, stored=stored)
        answer = requests.answer()
        assert code_of(answer) == code.value
        assert (answer.outcome.state is AnswerState.NOT_RUN) is not_run
        assert requests.runs == 0


class TestLogOutage:
    """During a log outage, requests with a key are refused at once.

    Guards against a thread that waits for a claim which cannot succeed.
    """

    def test_it_is_refused_at_once_and_not_run(self) -> None:
        requests = KeyedRequests(log_reachable=False)
        started_at = time.monotonic()
        answer = requests.answer()
        assert time.monotonic() - started_at < 0.5
        assert code_of(answer) == ErrorCode.LOG_UNAVAILABLE.value
        assert answer.outcome.state is AnswerState.NOT_RUN
        assert requests.runs == 0
