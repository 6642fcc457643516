"""Interface of the metadata store that the routed interface uses."""

from dataclasses import dataclass
from typing import Protocol

from bamboovale.store.position import Position


class StoreError(Exception):
    """The call failed; ``status`` is None if there was no answer."""

    def __init__(self, message: str, status: int | None = None) -> None:
        super().__init__(message)
        self.status = status


class NoAnswerError(StoreError):
    """The call timed out or was cancelled without an answer."""


class HistoryLostError(StoreError):
    """The requested records are not stored, any more or since the store has returned.

    Read the newest ones instead.
    """


@dataclass(frozen=True)
class KeyedRecord:
    """The newest record of a key; ``value`` is None if the key was deleted.

    ``from_copy`` is whether it may be older than what was read before, as the store has
    just returned from an older copy.
    """

    key: str
    value: bytes | None
    position: int
    from_copy: bool = False


@dataclass(frozen=True)
class Snapshot:
    """The newest record of each key; later records start at ``end``."""

    records: tuple[KeyedRecord, ...]
    end: Position


@dataclass(frozen=True)
class Part:
    """Records of a topic in order; later ones start at ``following``.

    ``is_last`` is whether the topic ended there when the store answered: an answer
    holds a bounded part, and may have been cut short.
    """

    records: tuple[KeyedRecord, ...]
    following: Position
    is_last: bool = True


@dataclass(frozen=True)
class Partition:
    """One partition of a topic."""

    topic: str
    number: int


@dataclass(frozen=True)
class Membership:
    """The partitions of a group member; ``generation`` rises with each change.

    It counts within an era of the store.
    """

    generation: int
    partitions: tuple[Partition, ...]
    era: int = 0


class MetadataStore(Protocol):
    """A store of keyed topics and groups; every method raises StoreError."""

    async def newest(self, topic: str) -> Snapshot:
        """Return the newest record of each key."""

    async def read(self, topic: str, position: Position, wait_s: float) -> Part:
        """Return records from a position on."""

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write the newest record of a key."""

    async def join(
        self,
        group: str,
        member: str,
        topics: list[str],
        ttl_s: float,
        generation: int,
        timeout_s: float,
    ) -> Membership:
        """Join a group or stay in it."""

    async def leave(self, group: str, member: str) -> None:
        """Leave a group."""

    async def members(self, group: str) -> frozenset[str]:
        """Return the members of a group that hold a partition."""
