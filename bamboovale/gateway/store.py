"""What the routed interface needs of a metadata store, and what it answers."""

from dataclasses import dataclass
from typing import Protocol


class StoreError(Exception):
    """The call failed; ``status`` is None when no answer came."""

    def __init__(self, message: str, status: int | None = None) -> None:
        super().__init__(message)
        self.status = status


class NoAnswerError(StoreError):
    """No answer came in the time that the call had, or was waited for no longer."""


class HistoryLostError(StoreError):
    """The records asked for are no longer kept: read the newest ones instead."""


@dataclass(frozen=True)
class KeyedRecord:
    """The newest record of a key; ``value`` None means that the key was dropped."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True)
class Snapshot:
    """The newest record of each key; later records begin at ``end``."""

    records: tuple[KeyedRecord, ...]
    end: int


@dataclass(frozen=True)
class Partition:
    """One partition of a topic."""

    topic: str
    number: int


@dataclass(frozen=True)
class Membership:
    """What a group member holds; ``generation`` rises with each change."""

    generation: int
    partitions: tuple[Partition, ...]


class MetadataStore(Protocol):
    """A store of keyed topics and groups; every method raises StoreError."""

    async def newest(self, topic: str) -> Snapshot:
        """Return the newest record of each key."""

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
    ) -> tuple[tuple[KeyedRecord, ...], int]:
        """Return records from an offset on and the next offset."""

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
