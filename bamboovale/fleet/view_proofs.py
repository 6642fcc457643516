"""Round trips over gossip by which VMs pass on how fresh their view is.

A VM cannot tell the delay of a message that it receives: bytes that a broken link held
back look new when they arrive. So every message carries a stamp of its sender, and
repeats the last stamp of the receiver with the time for which it was held. A proof in
the answer to a stamp is dated from when that stamp was sent, plus the held time: never
later than it was true, however long the messages took.
"""

import math
import random
from collections.abc import Callable, Iterable

from bamboovale.decisions.view_freshness import ViewFreshness

MAX_ROUND_TRIP_S = 10.0
"""Time after which a stamp is forgotten."""
STAMP_BITS = 48
NO_PROOF = -1

Echo = tuple[int, int]
"""A stamp of the receiver, and the milliseconds for which it was held."""


class ViewProofs:
    """Stamps and proofs of one VM; no sockets.

    ``clock`` returns seconds that also pass while the machine is suspended.
    """

    def __init__(
        self,
        freshness: ViewFreshness,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._freshness = freshness
        self._clock = clock
        self._next_stamp = rng.getrandbits(STAMP_BITS) + 1
        self._sent_at_by_stamp: dict[int, float] = {}
        self._received: dict[str, tuple[int, float]] = {}

    @property
    def is_needed(self) -> bool:
        """Return whether VMs rely on one another's proofs."""
        return self._freshness.is_shared

    def new_stamp(self) -> int:
        """Return the stamp of a message that is sent now."""
        now = self._clock()
        for stamp, sent_at in list(self._sent_at_by_stamp.items()):
            if now - sent_at <= MAX_ROUND_TRIP_S:
                break
            del self._sent_at_by_stamp[stamp]
        self._next_stamp += 1
        self._sent_at_by_stamp[self._next_stamp] = now
        return self._next_stamp

    def age_ms(self) -> int:
        """Return the age of our newest proof, rounded up; ``NO_PROOF`` without one."""
        age_s = self._freshness.age_s(self._clock())
        return math.ceil(age_s * 1000) if math.isfinite(age_s) else NO_PROOF

    def echoes(self, vm_ids: Iterable[str]) -> tuple[Echo, ...]:
        """Return the last stamps of some VMs with the time that we held them."""
        now = self._clock()
        echoes = []
        for vm_id in vm_ids:
            received = self._received.get(vm_id)
            if received is not None and now - received[1] <= MAX_ROUND_TRIP_S:
                echoes.append((received[0], int((now - received[1]) * 1000)))
        return tuple(echoes)

    def on_stamp(self, vm_id: str, stamp: int) -> None:
        """Keep the last stamp of a VM."""
        if stamp:
            self._received[vm_id] = (stamp, self._clock())

    def on_echoes(self, vm_id: str, echoes: Iterable[Echo], age_ms: int) -> None:
        """Apply a VM's proof of a view that is not newer than ours.

        Stamps that are not ours are meant for other receivers of the message.
        """
        if age_ms == NO_PROOF:
            return
        for stamp, held_ms in echoes:
            sent_at = self._sent_at_by_stamp.get(stamp)
            if sent_at is not None:
                proven_at = sent_at + (held_ms - age_ms) / 1000
                self._freshness.on_proof(min(proven_at, self._clock()), vm_id)

    def retain(self, vm_ids: Iterable[str]) -> None:
        """Forget the stamps of all other VMs."""
        kept = set(vm_ids)
        for vm_id in self._received.keys() - kept:
            del self._received[vm_id]
