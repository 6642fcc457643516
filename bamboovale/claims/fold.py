"""Claims of idempotency keys as a deterministic fold of the claim stream.

The first claim of a customer's key in log order wins, and only its writer may send
the request, once. So a pause, a lost append response or two entry VMs cannot run a
request twice.

A key is remembered for the horizon after its last claim, by the log service's
timestamps, which are the same for every reader. Horizon and table size must be the
same on every entry VM, or two attempts could win; changing either requires a new
stream. A reader that has read less than a whole horizon cannot know whether an unseen
key was claimed before: the verdict is then UNKNOWN, and nothing is sent.
"""

import math
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from sys import intern
from typing import Any

from bamboovale.claims.records import (
    Answered,
    Claim,
    Released,
    key_digest,
    parse_items,
)

# Longer than callers retry, shorter than the log's retention: otherwise a starting VM
# could not decide on new keys.
DEFAULT_HORIZON_S = 3000.0
# A full table refuses new keys: dropping old ones early would let a retry run a
# request twice.
DEFAULT_MAX_CLAIMS = 60_000
# One customer cannot fill the table for all others.
MAX_SHARE_OF_CUSTOMER = 0.5
# Released attempt ids remembered per key. A delayed copy of a claim whose id is no
# longer remembered wins but is never sent: its key is blocked for a horizon, and
# nothing runs twice.
MAX_RELEASED_ATTEMPTS = 8
BODY_DIGEST_BYTES = 7


class ClaimGapError(Exception):
    """Records between ``next_offset`` and ``offset`` were not read."""

    def __init__(self, next_offset: int, offset: int) -> None:
        super().__init__(f"expected offset {next_offset}, read {offset}")
        self.next_offset = next_offset
        self.offset = offset


class Verdict(StrEnum):
    """Result of a claim.

    Only the writer of a WON claim may send the request. Later copies of a claim that
    won are REPEATED. After LOST, BODY_DIFFERS, TABLE_FULL and GIVEN_UP this attempt
    did not run; after UNKNOWN its writer releases it without sending.
    """

    WON = "won"
    REPEATED = "repeated"
    LOST = "lost"
    BODY_DIFFERS = "body_differs"
    TABLE_FULL = "table_full"
    GIVEN_UP = "given_up"
    UNKNOWN = "unknown"


class KeyState(StrEnum):
    """State of an idempotency key."""

    FREE = "free"
    CLAIMED = "claimed"
    ANSWERED = "answered"
    BODY_DIFFERS = "body_differs"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class KeyInfo:
    """A key's state and, if it is claimed, the attempt that holds it."""

    state: KeyState
    node: str = ""
    incarnation: str = ""
    attempt_id: str = ""
    status: int | None = None


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """The verdict on one claim; for LOST, ``holder`` is the attempt that won."""

    claim: Claim
    verdict: Verdict
    holder: KeyInfo


@dataclass(slots=True)
class _KeyRecord:
    """State of one key; ``attempt_id`` is None while no attempt holds it."""

    owner: str
    expires_at: float = 0.0
    body_digest: int = 0
    node: str = ""
    incarnation: str = ""
    attempt_id: str | None = None
    status: int | None = None
    # Delayed copies of the claims of released attempts must not win.
    released_attempts: tuple[str, ...] = ()
    # First seen while the table was incomplete: an earlier claim may have won.
    is_uncertain: bool = False


class ClaimTable:
    """The claim of each key; owned by the actor that reads the stream."""

    def __init__(
        self,
        horizon_s: float = DEFAULT_HORIZON_S,
        max_claims: int = DEFAULT_MAX_CLAIMS,
    ) -> None:
        self.next_offset = 0
        self.horizon_s = horizon_s
        self.unreadable_items = 0
        self._max_claims = max_claims
        self._now = 0.0
        # Log time from which every record was read; None: from the stream's start;
        # infinite until the first record after a gap.
        self._complete_from: float | None = None
        # Ordered by expiry, because a renewed key moves to the end.
        self._record_by_digest: dict[bytes, _KeyRecord] = {}
        self._count_by_owner: Counter[str] = Counter()

    @classmethod
    def after_gap(
        cls,
        first: int,
        horizon_s: float = DEFAULT_HORIZON_S,
        max_claims: int = DEFAULT_MAX_CLAIMS,
    ) -> "ClaimTable":
        """Return a table for a reader that starts at the oldest retained offset.

        Unseen keys are UNKNOWN until it has read a whole horizon. The log's time is
        known only from records, so on an idle stream empty records are appended.
        """
        table = cls(horizon_s=horizon_s, max_claims=max_claims)
        table.next_offset = first
        table._complete_from = math.inf
        return table

    def __len__(self) -> int:
        return len(self._record_by_digest)

    @property
    def is_complete(self) -> bool:
        """Return whether a key that is not in the table is free."""
        if self._complete_from is None:
            return True
        return self._now - self._complete_from >= self.horizon_s

    def apply(self, offset: int, value: Any, log_time: float) -> list[ClaimOutcome]:
        """Apply one record with its log timestamp; return the outcomes of its claims.

        Records that were applied before have no effect. Raises
        :class:`ClaimGapError` if records are missing before this one; the reader
        then continues with ``after_gap``.
        """
        if offset < self.next_offset:
            return []
        if offset > self.next_offset:
            raise ClaimGapError(self.next_offset, offset)
        self.next_offset = offset + 1
        # Guards against keys that expire early because the log's clock was set back.
        self._now = max(self._now, log_time)
        if self._complete_from == math.inf:
            self._complete_from = self._now
        self._expire()
        outcomes = []
        for item in parse_items(value):
            if isinstance(item, Claim):
                outcomes.append(self._claim(item))
            elif isinstance(item, Released):
                self._release(item)
            elif isinstance(item, Answered):
                self._answer(item)
            else:
                self.unreadable_items += 1
        return outcomes

    def lookup(self, owner: str, key: str, body_hash: str) -> KeyInfo:
        """Return the state of a key."""
        record = self._record_by_digest.get(key_digest(owner, key))
        if record is None:
            state = KeyState.FREE if self.is_complete else KeyState.UNKNOWN
            return KeyInfo(state)
        return _key_info(record, body_hash)

    def _claim(self, claim: Claim) -> ClaimOutcome:
        digest = key_digest(claim.owner, claim.key)
        record = self._record_by_digest.get(digest)
        if record is None:
            if self._is_full(claim.owner):
                self._mark_incomplete()
                return ClaimOutcome(
                    claim,
                    Verdict.TABLE_FULL,
                    KeyInfo(KeyState.FREE),
                )
            record = self._new_record(claim.owner)
        self._renew(digest, record)
        verdict = self._evaluate(claim, record)
        return ClaimOutcome(claim, verdict, _key_info(record, claim.body_hash))

    def _evaluate(self, claim: Claim, record: _KeyRecord) -> Verdict:
        if record.is_uncertain:
            return Verdict.UNKNOWN
        if claim.attempt_id in record.released_attempts:
            return Verdict.GIVEN_UP
        if record.attempt_id is None:
            record.body_digest = _body_digest(claim.body_hash)
            record.node = intern(claim.node)
            record.incarnation = intern(claim.incarnation)
            record.attempt_id = claim.attempt_id
            return Verdict.WON
        if record.attempt_id == claim.attempt_id:
            return Verdict.REPEATED
        if record.body_digest != _body_digest(claim.body_hash):
            return Verdict.BODY_DIFFERS
        return Verdict.LOST

    def _release(self, released: Released) -> None:
        digest = key_digest(released.owner, released.key)
        record = self._record_by_digest.get(digest)
        if record is None and not self._is_full(released.owner):
            # The claim may still be in flight and be appended after its release; it
            # must not win, because the attempt is never sent.
            record = self._new_record(released.owner)
            self._renew(digest, record)
        if record is None or record.status is not None:
            return
        if released.attempt_id not in record.released_attempts:
            kept = record.released_attempts[1 - MAX_RELEASED_ATTEMPTS :]
            record.released_attempts = (*kept, released.attempt_id)
        # An incomplete table may treat a losing attempt as the winner. Its release
        # must not free a key whose actual winner may have sent the request.
        if record.attempt_id == released.attempt_id and not record.is_uncertain:
            record.attempt_id = None

    def _new_record(self, owner: str) -> _KeyRecord:
        self._count_by_owner[owner] += 1
        return _KeyRecord(owner=intern(owner), is_uncertain=not self.is_complete)

    def _answer(self, answered: Answered) -> None:
        record = self._record_by_digest.get(key_digest(answered.owner, answered.key))
        if record is not None and record.attempt_id == answered.attempt_id:
            record.status = answered.status

    def _is_full(self, owner: str) -> bool:
        share = self._max_claims * MAX_SHARE_OF_CUSTOMER
        return (
            len(self._record_by_digest) >= self._max_claims
            or self._count_by_owner[owner] >= share
        )

    def _mark_incomplete(self) -> None:
        # After a gap this table may hold keys that other tables refused, and be full
        # while they are not. They may accept the claim that it refuses now, so from
        # here on it is incomplete.
        if self._complete_from is not None:
            self._complete_from = self._now

    def _renew(self, digest: bytes, record: _KeyRecord) -> None:
        # Every claim renews its key, so that whether a key is remembered depends only
        # on the last horizon, and every reader that has read that much agrees.
        record.expires_at = self._now + self.horizon_s
        self._record_by_digest.pop(digest, None)
        self._record_by_digest[digest] = record

    def _expire(self) -> None:
        while self._record_by_digest:
            digest = next(iter(self._record_by_digest))
            record = self._record_by_digest[digest]
            if record.expires_at > self._now:
                return
            del self._record_by_digest[digest]
            self._count_by_owner[record.owner] -= 1
            if not self._count_by_owner[record.owner]:
                del self._count_by_owner[record.owner]


def _body_digest(body_hash: str) -> int:
    """Return a body's hash shortened to an integer, to save memory."""
    digest = blake2b(body_hash.encode(), digest_size=BODY_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def _key_info(record: _KeyRecord, body_hash: str) -> KeyInfo:
    if record.is_uncertain:
        return KeyInfo(KeyState.UNKNOWN)
    if record.attempt_id is None:
        return KeyInfo(KeyState.FREE)
    if record.body_digest != _body_digest(body_hash):
        state = KeyState.BODY_DIFFERS
    elif record.status is None:
        state = KeyState.CLAIMED
    else:
        state = KeyState.ANSWERED
    return KeyInfo(
        state=state,
        node=record.node,
        incarnation=record.incarnation,
        attempt_id=record.attempt_id,
        status=record.status,
    )
