"""Interface of the metadata store that the routed interface uses."""

from dataclasses import dataclass
from typing import Protocol


class StoreError(Exception):
    """The call failed; ``status`` is None if there was no answer."""

    def __init__(self, message: str, status: int | None = None) -> None:
        super().__init__(message)
        self.status = status


class NoAnswerError(StoreError):
    """The call timed out or was cancelled without an answer."""


class HistoryLostError(StoreError):
    """The requested records are no longer stored; read the newest ones instead."""


@dataclass(frozen=True)
class KeyedRecord:
    """The newest record of a key; ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True)
class Snapshot:
    """The newest record of each key; later records start at offset ``end``."""

    records: tuple[KeyedRecord, ...]
    end: int


@dataclass(frozen=True)
class Partition:
    """One partition of a topic."""

    topic: str
    number: int


@dataclass(frozen=True)
class Membership:
    """The partitions of a group member; ``generation`` rises with each change."""

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
