"""Completion responses of an engine: unary, streamed, and with injected faults."""

import json
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from bamboovale.standins.faults import Faults
from bamboovale.standins.messages import Answer, DroppedConnectionError, Request
from bamboovale.standins.runs import Batch, Run, RunState
from bamboovale.standins.tokens import AnswerTokens

# How often a waiting thread checks whether its caller has disconnected.
POLL_INTERVAL_S = 0.25
ANSWER_FAULTS = ("drop_answers", "truncate_answers", "wrong_answers")


@dataclass(frozen=True)
class AnswerFaults:
    """Faults of one answer; the run itself is not affected."""

    drop: bool
    truncate: bool
    wrong: bool

    @classmethod
    def from_faults(cls, faults: Faults) -> "AnswerFaults":
        """Determine which faults hit the next answer."""
        return cls(*(faults.occurs(name) for name in ANSWER_FAULTS))


class RunReader:
    """One caller that reads a run; a run without readers is cancelled."""

    def __init__(
        self,
        batch: Batch,
        run: Run,
        request: Request,
        faults: AnswerFaults,
    ) -> None:
        self._batch = batch
        self._run = run
        self._request = request
        self._faults = faults
        self._id = "another-request" if faults.wrong else run.request_id
        self._tokens = run.tokens
        if faults.wrong:
            self._tokens = AnswerTokens(run.model, f"another than {run.prompt}")

    def answer(self, stream: bool, offset: int = 0) -> Answer:
        """Wait for the run and return its answer; a stream starts with the run.

        The headers of a stream are sent only once the run has started, so that a run
        whose adapter was unloaded while it waited is still refused as not run.
        """
        if not stream:
            with self._reading():
                self._wait(self._run.ended)
            return self._whole_answer()
        try:
            self._wait(self._run.started)
            refusal = self._refusal()
        except BaseException:
            self._batch.remove_reader(self._run)
            raise
        if refusal is not None:
            self._batch.remove_reader(self._run)
            return refusal
        headers = {
            "Content-Type": "text/event-stream",
            "X-Request-Id": self._id,
        }
        return Answer(200, headers=headers, chunks=self._stream(offset))

    @contextmanager
    def _reading(self) -> Iterator[None]:
        try:
            yield
        finally:
            self._batch.remove_reader(self._run)

    def _wait(self, event: Any) -> None:
        while not event.wait(POLL_INTERVAL_S):
            self._request.check_open()

    def _refusal(self) -> Answer | None:
        if self._run.state is RunState.CRASHED:
            raise DroppedConnectionError
        if self._run.state is RunState.NOT_RUN:
            return Answer.error(404, "model_not_found", f"no model {self._run.model}")
        if self._run.state is RunState.EVICTED:
            return Answer.error(500, "adapter_evicted", "unloaded while it ran")
        if self._run.state is RunState.CANCELLED:
            return Answer.error(400, "aborted", "the run was aborted")
        return None

    def _whole_answer(self) -> Answer:
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        if self._faults.drop:
            raise DroppedConnectionError
        count = self._run.produced
        text = self._tokens.text(count // 2 if self._faults.truncate else count)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self._run.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        body = self._envelope() | {"choices": [choice], "usage": self._usage()}
        return Answer(body=body, headers={"X-Request-Id": self._id})

    def _stream(self, offset: int) -> Iterator[bytes]:
        with self._reading():
            sent = offset
            while sent < self._run.max_tokens:
                ready = self._wait_for_tokens(sent)
                if self._ends_early(ready):
                    return
                yield b"".join(self._event(index) for index in range(sent, ready))
                sent = ready
            if self._faults.drop:
                raise DroppedConnectionError
            yield b"data: [DONE]\n\n"

    def _wait_for_tokens(self, sent: int) -> int:
        """Wait for more than ``sent`` tokens; return how many have been generated."""
        run = self._run
        while True:
            with self._batch.lock:
                if run.produced <= sent and not run.ended.is_set():
                    self._batch.stepped.wait(POLL_INTERVAL_S)
                produced = run.produced
                ended = run.ended.is_set()
            self._request.check_open()
            if produced > sent:
                return produced
            if ended:
                # Crashed, evicted or aborted: the stream ends without its end marker.
                raise DroppedConnectionError

    def _ends_early(self, ready: int) -> bool:
        return self._faults.truncate and ready > self._run.max_tokens // 2

    def _event(self, index: int) -> bytes:
        token = self._tokens.token(index)
        last = index + 1 == self._run.max_tokens
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": "length" if last else None,
        }
        if self._run.chat:
            choice["delta"] = {"content": token}
        else:
            choice["text"] = token
        body = self._envelope() | {"choices": [choice]}
        if last:
            body["usage"] = self._usage()
        return b"data: " + json.dumps(body).encode() + b"\n\n"

    def _envelope(self) -> dict[str, Any]:
        kind = "chat.completion" if self._run.chat else "text_completion"
        return {
            "id": self._id,
            "object": kind,
            "created": int(time.time()),
            "model": self._run.model,
        }

    def _usage(self) -> dict[str, int]:
        prompt = self._run.prompt_tokens
        produced = self._run.produced
        return {
            "prompt_tokens": prompt,
            "completion_tokens": produced,
            "total_tokens": prompt + produced,
        }
