"""Requests of a mixed load, and the checks of their answers."""

import hashlib
import json
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from bamboovale.standins.tokens import AnswerTokens, prompt_of_messages

CHARACTERS_PER_TOKEN = 7  # in answers of the engine stand-in


class JobKind(StrEnum):
    """The kinds of request in a mixed load."""

    STREAM = "stream"
    COMPLETION = "completion"
    CHAT = "chat"
    KEYED_COMPLETION = "keyed_completion"
    CALL = "call"
    KEYED_CALL = "keyed_call"
    MARKED_CALL = "marked_call"  # marked non-idempotent, without a key
    HANG_UP = "hang_up"  # a stream whose caller disconnects


MODEL_KINDS = frozenset(
    {
        JobKind.STREAM,
        JobKind.COMPLETION,
        JobKind.CHAT,
        JobKind.KEYED_COMPLETION,
        JobKind.HANG_UP,
    }
)
KEYED_KINDS = frozenset({JobKind.KEYED_COMPLETION, JobKind.KEYED_CALL})
STREAMED_KINDS = frozenset({JobKind.STREAM, JobKind.HANG_UP})
NON_IDEMPOTENT_KINDS = KEYED_KINDS | {JobKind.MARKED_CALL}


@dataclass(frozen=True)
class Job:
    """One request of a caller, over all its tries; ``id`` is unique in the run."""

    id: str
    kind: JobKind
    entry: str
    caller: str = "agency-1"
    max_tokens: int = 8
    text: str = ""

    @property
    def key(self) -> str:
        """Return the Idempotency-Key of all tries, or an empty string without one."""
        return f"key-{self.id}" if self.kind in KEYED_KINDS else ""

    @property
    def idempotent(self) -> bool:
        """Return whether the job may run more than once."""
        return self.kind not in NON_IDEMPOTENT_KINDS

    @property
    def prompt(self) -> str:
        """Return the prompt that the engine receives."""
        if self.kind is JobKind.CHAT:
            return prompt_of_messages(self._messages())
        return self._own_text()

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return "GET" if self.kind is JobKind.CALL else "POST"

    @property
    def path(self) -> str:
        """Return the path on an entry VM."""
        if self.kind is JobKind.CHAT:
            return "/v1/chat/completions"
        if self.kind in MODEL_KINDS:
            return "/v1/completions"
        return f"/services/{self.entry}/slots/{self.id}"

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of one try."""
        headers = {
            "X-Request-Id": request_id,
            "X-Caller": self.caller,
            "Content-Type": "application/json",
        }
        if self.key:
            headers["Idempotency-Key"] = self.key
        elif not self.idempotent:
            headers["X-Idempotent"] = "false"
        return headers

    def body(self) -> bytes:
        """Return the request body, which is the same for every try."""
        if self.kind is JobKind.CALL:
            return b""
        if self.kind not in MODEL_KINDS:
            return json.dumps({"confirm": self._own_text()}).encode()
        body: dict[str, Any] = {"model": self.entry, "max_tokens": self.max_tokens}
        if self.kind is JobKind.CHAT:
            body["messages"] = self._messages()
        else:
            body["prompt"] = self.prompt
        if self.kind in STREAMED_KINDS:
            body["stream"] = True
        return json.dumps(body).encode()

    def expected_text(self, lora_name: str) -> str:
        """Return the correct answer of an adapter version."""
        return AnswerTokens(lora_name, self.prompt).text(self.max_tokens)

    def find_defect(self, lora_name: str, text: str) -> str:
        """Return how a model's answer differs from the expected one, if it does."""
        expected = self.expected_text(lora_name)
        if text == expected:
            return ""
        if expected.startswith(text):
            tokens = len(text) // CHARACTERS_PER_TOKEN
            return f"cut short: {tokens} of {self.max_tokens} tokens"
        return f"foreign text {text[:40]!r}, expected {expected[:40]!r}"

    def find_call_defect(self, answer: dict[str, Any]) -> str:
        """Return how a service's echo does not match this job, or an empty string."""
        expected = hashlib.sha256(self.body()).hexdigest()
        if answer.get("body_sha256") != expected:
            return "the service saw another body"
        if not str(answer.get("request_id", "")).startswith(f"{self.id}t"):
            return f"the answer to request {answer.get('request_id')}"
        return ""

    def _own_text(self) -> str:
        return f"{self.id} {self.text}".strip()

    def _messages(self) -> list[dict[str, str]]:
        return [{"role": "user", "content": self._own_text()}]
