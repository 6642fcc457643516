"""Block-based prefix cache of an engine and the events it publishes."""

import hashlib
import time
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

from bamboovale.standins.tokens import CHARACTERS_PER_TOKEN

TOKENS_PER_BLOCK = 16
CHARACTERS_PER_BLOCK = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN
# Older events are dropped: a slow reader sees a gap in the sequence numbers.
EVENTS_KEPT = 1000


@dataclass(frozen=True)
class CacheEvent:
    """Blocks added to (``stored``) or evicted from (``removed``) the cache."""

    seq: int
    time: float
    kind: str
    model: str
    blocks: tuple[str, ...]

    def to_json(self) -> dict[str, Any]:
        """Return the published form of the event."""
        return {
            "seq": self.seq,
            "event": self.kind,
            "model": self.model,
            "blocks": list(self.blocks),
        }


def block_hashes(model: str, prompt: str) -> list[str]:
    """Return the hashes of a prompt's full blocks, each chained to its predecessor."""
    hashes = []
    state = hashlib.blake2b(model.encode(), digest_size=8)
    whole = len(prompt) - len(prompt) % CHARACTERS_PER_BLOCK
    for start in range(0, whole, CHARACTERS_PER_BLOCK):
        state.update(prompt[start : start + CHARACTERS_PER_BLOCK].encode())
        hashes.append(state.copy().hexdigest())
    return hashes


class PrefixCache:
    """A cache of prompt blocks with least-recently-used eviction."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._model_by_block: OrderedDict[str, str] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self._next_seq = 0

    def admit(self, model: str, prompt: str) -> int:
        """Store a prompt's blocks; return how many tokens were already cached."""
        if not self._capacity:
            return 0
        blocks = block_hashes(model, prompt)
        cached = 0
        for block in blocks:
            if block not in self._model_by_block:
                break
            cached += 1
        stored = tuple(block for block in blocks if block not in self._model_by_block)
        for block in blocks:
            self._model_by_block[block] = model
            self._model_by_block.move_to_end(block)
        if stored:
            self._publish("stored", model, stored)
        self._evict()
        return cached * TOKENS_PER_BLOCK

    def _evict(self) -> None:
        while len(self._model_by_block) > self._capacity:
            block, model = self._model_by_block.popitem(last=False)
            self._publish("removed", model, (block,))

    def _publish(self, kind: str, model: str, blocks: tuple[str, ...]) -> None:
        event = CacheEvent(self._next_seq, time.monotonic(), kind, model, blocks)
        self._events.append(event)
        self._next_seq += 1

    def events(self, start: int, before: float) -> list[CacheEvent]:
        """Return retained events from ``start`` on, up to monotonic time ``before``."""
        return [
            event
            for event in self._events
            if event.seq >= start and event.time <= before
        ]
