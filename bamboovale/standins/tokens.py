"""Deterministic tokens of the stand-ins' answers.

Token i depends only on (model, prompt, i), so that a test can compute the expected
answer and detect a truncated one or one that belongs to another request.
"""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any

CHARACTERS_PER_TOKEN = 4


class AnswerTokens:
    """The tokens that ``model`` generates for ``prompt``."""

    def __init__(self, model: str, prompt: str) -> None:
        self._seed = hashlib.blake2b(
            f"{model}\0{prompt}".encode(),
            digest_size=16,
        ).digest()

    def token(self, index: int) -> str:
        """Return token ``index``: six hexadecimal digits and a space."""
        numbered = self._seed + index.to_bytes(4, "big")
        return hashlib.blake2b(numbered, digest_size=3).hexdigest() + " "

    def text(self, count: int, start: int = 0) -> str:
        """Return tokens ``start`` to ``count`` (exclusive) as text."""
        return "".join(self.token(index) for index in range(start, count))


def answer_text(model: str, prompt: str, count: int) -> str:
    """Return the full answer text of ``count`` tokens."""
    return AnswerTokens(model, prompt).text(count)


def prompt_of_messages(messages: Iterable[Mapping[str, Any]]) -> str:
    """Join chat messages into one prompt; raise TypeError if one is not an object."""
    messages = list(messages)
    if not all(isinstance(message, dict) for message in messages):
        raise TypeError("each message must be a JSON object")
    return "\n".join(
        f"{message.get('role', '')}: {message.get('content', '')}"
        for message in messages
    )


def count_prompt_tokens(prompt: str) -> int:
    """Return the length of a prompt in tokens."""
    return max(1, -(-len(prompt) // CHARACTERS_PER_TOKEN))
