"""Claims of keyed non-idempotent requests, folded from the log.

The first claim for a customer's key in the order of the log wins, whoever wrote it
and whenever its writer learns of it; only the winner's writer may send, once. So a
pause, a lost append answer or two entry VMs cannot run a request twice.

A key is remembered for the horizon after the last claim that named it, by the log
service's own time stamps, which are the same for every reader. Horizon and size are
the same on every entry VM: two tables that forget differently could each let an
attempt win, so a change of either goes with a new stream. A reader that has
read less than a whole horizon of the stream cannot know whether a key it never saw
was claimed before: the verdict is then UNKNOWN, and nothing is sent.
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

# Callers and people at a counter repeat within minutes. The log must keep claims for
# longer, or a starting VM cannot judge new keys.
DEFAULT_HORIZON_S = 3000.0
# A full table refuses new keys instead of forgetting old ones: forgetting one early
# would let its repeat run a second time.
DEFAULT_MAX_CLAIMS = 60_000
# One customer cannot fill the table for all others. Half, because a deployment may
# have one customer with nearly all the keys.
MAX_SHARE_OF_CUSTOMER = 0.5
# A key that is claimed and released over and over keeps this many attempt ids. Were a
# copy of an older claim to arrive later still, it would win and never be sent: the key
# stays blocked for a horizon, and nothing runs twice.
MAX_GIVEN_UP = 8
BODY_DIGEST_BYTES = 7


class ClaimGapError(Exception):
    """Records between ``next_offset`` and ``offset`` were not read."""

    def __init__(self, next_offset: int, offset: int) -> None:
        super().__init__(f"expected offset {next_offset}, read {offset}")
        self.next_offset = next_offset
        self.offset = offset


class Verdict(StrEnum):
    """What a claim came to.

    Only the writer of a WON claim may send. An attempt wins once: later copies of
    its claim are REPEATED. LOST, BODY_DIFFERS, TABLE_FULL and GIVEN_UP were not run
    by this attempt; after UNKNOWN its writer releases it unsent.
    """

    WON = "won"
    REPEATED = "repeated"
    LOST = "lost"
    BODY_DIFFERS = "body_differs"
    TABLE_FULL = "table_full"
    GIVEN_UP = "given_up"
    UNKNOWN = "unknown"


class KeyState(StrEnum):
    """What is known about a key."""

    FREE = "free"
    CLAIMED = "claimed"
    ANSWERED = "answered"
    BODY_DIFFERS = "body_differs"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class KeyInfo:
    """A key's state and, if it is claimed, whose attempt holds it."""

    state: KeyState
    node: str = ""
    incarnation: str = ""
    attempt_id: str = ""
    status: int | None = None


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """The verdict on one claim; for LOST, ``holder`` says whose attempt won."""

    claim: Claim
    verdict: Verdict
    holder: KeyInfo


@dataclass(slots=True)
class _KeyRecord:
    """What is kept of a key. ``attempt_id`` is None while nobody holds it."""

    owner: str
    expires_at: float = 0.0
    body_digest: int = 0
    node: str = ""
    incarnation: str = ""
    attempt_id: str | None = None
    status: int | None = None
    # Released attempts never win again, should a late copy of their claim arrive.
    given_up: tuple[str, ...] = ()
    # First seen while the table was incomplete: an earlier claim may have won.
    unsure: bool = False


class ClaimTable:
    """Who may send which key; owned by the one task that reads the stream."""

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
        # Log time from which the table has seen every record; None: from the start;
        # infinite until the first record after a gap.
        self._complete_from: float | None = None
        # In the order of expiry, because a touched key moves to the end.
        self._record_by_digest: dict[bytes, _KeyRecord] = {}
        self._count_by_owner: Counter[str] = Counter()

    @classmethod
    def after_gap(
        cls,
        first: int,
        horizon_s: float = DEFAULT_HORIZON_S,
        max_claims: int = DEFAULT_MAX_CLAIMS,
    ) -> "ClaimTable":
        """Return a table for a reader that starts at the oldest kept offset.

        Keys it has not seen are UNKNOWN until it has read a whole horizon. The log's
        time is known from records alone, so on a quiet stream its owner appends an
        empty group now and then while the table is not complete.
        """
        table = cls(horizon_s=horizon_s, max_claims=max_claims)
        table.next_offset = first
        table._complete_from = math.inf
        return table

    def __len__(self) -> int:
        return len(self._record_by_digest)

    @property
    def is_complete(self) -> bool:
        """Return whether a key that is not in the table is known to be free."""
        if self._complete_from is None:
            return True
        return self._now - self._complete_from >= self.horizon_s

    def apply(self, offset: int, value: Any, log_time: float) -> list[ClaimOutcome]:
        """Fold one record with the log's time stamp; return verdicts on its claims.

        A record read again changes nothing. Raises :class:`ClaimGapError` if records
        are missing before this one; the reader then starts with ``after_gap``.
        """
        if offset < self.next_offset:
            return []
        if offset > self.next_offset:
            raise ClaimGapError(self.next_offset, offset)
        self.next_offset = offset + 1
        # The log's clock may be set back; the horizon never shrinks for that.
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
        """Return what is known of a key, before a claim is written."""
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
                self._note_full()
                return ClaimOutcome(
                    claim,
                    Verdict.TABLE_FULL,
                    KeyInfo(KeyState.FREE),
                )
            record = self._new_record(claim.owner)
        self._touch(digest, record)
        verdict = self._judge(claim, record)
        return ClaimOutcome(claim, verdict, _key_info(record, claim.body_hash))

    def _judge(self, claim: Claim, record: _KeyRecord) -> Verdict:
        if record.unsure:
            return Verdict.UNKNOWN
        if claim.attempt_id in record.given_up:
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
            # The append of the claim may still be under way and land after this; it
            # must not win for an attempt that is never sent.
            record = self._new_record(released.owner)
            self._touch(digest, record)
        if record is None or record.status is not None:
            return
        if released.attempt_id not in record.given_up:
            kept = record.given_up[1 - MAX_GIVEN_UP :]
            record.given_up = (*kept, released.attempt_id)
        # An incomplete table may take a loser for the winner. Its release must not
        # free a key that the true winner may have sent.
        if record.attempt_id == released.attempt_id and not record.unsure:
            record.attempt_id = None

    def _new_record(self, owner: str) -> _KeyRecord:
        self._count_by_owner[owner] += 1
        return _KeyRecord(owner=intern(owner), unsure=not self.is_complete)

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

    def _note_full(self) -> None:
        # After a gap this table may hold keys that others refused, and so be full
        # where theirs are not. The key it refuses now may be claimed for them: from
        # here on it has not seen everything.
        if self._complete_from is not None:
            self._complete_from = self._now

    def _touch(self, digest: bytes, record: _KeyRecord) -> None:
        # Every claim extends the memory of its key. So whether a key is remembered
        # depends on the last horizon alone, and a reader that has read that much
        # remembers every key that others do.
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
    """Return a short form of a body's hash: memory at many thousand claims."""
    digest = blake2b(body_hash.encode(), digest_size=BODY_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def _key_info(record: _KeyRecord, body_hash: str) -> KeyInfo:
    if record.unsure:
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
