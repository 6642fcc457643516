"""Which software versions of each service may have begun a stream lately."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

MAX_AGE_S = 300.0
"""Versions that ended longer ago are dropped."""

ServiceVersion = tuple[str, str]
"""A service and a version of its software."""


@dataclass(frozen=True)
class VersionsSeen:
    """The versions of some services that served within a time, as one VM knows.

    ``is_complete`` is whether it would know of every one.
    """

    versions: frozenset[str]
    is_complete: bool

    def merge(self, other: "VersionsSeen") -> "VersionsSeen":
        """Return what two VMs know together."""
        return VersionsSeen(
            self.versions | other.versions, self.is_complete or other.is_complete
        )

    def only_version(self) -> str | None:
        """Return the version that alone can have begun a stream, None if unsure."""
        if not self.is_complete or len(self.versions) != 1:
            return None
        return next(iter(self.versions))


class VersionHistory:
    """When each version of each service last served, by the endpoints' records.

    ``is_first_start`` is whether no process of the fleet ran before, so that no version
    served earlier.
    """

    def __init__(self, *, is_first_start: bool = False) -> None:
        self._before_first_read = -math.inf if is_first_start else math.inf
        self._complete_since = math.inf
        self._last_seen: dict[ServiceVersion, float] = {}
        self._serving: frozenset[ServiceVersion] = frozenset()

    @property
    def serving(self) -> frozenset[ServiceVersion]:
        """Return the versions that serve now."""
        return self._serving

    def observe(self, serving: Iterable[ServiceVersion], now: float) -> None:
        """Apply the versions that serve now."""
        present = frozenset(serving)
        for version in present | self._serving:
            self._last_seen[version] = now
        self._serving = present
        for version, seen_at in list(self._last_seen.items()):
            if now - seen_at > MAX_AGE_S:
                del self._last_seen[version]

    def on_snapshot(self, now: float) -> None:
        """Apply that records from before now may have been missed."""
        self._complete_since = min(now, self._before_first_read)
        self._before_first_read = math.inf

    def seen(
        self, services: Iterable[str], within_s: float, now: float, *, is_current: bool
    ) -> VersionsSeen:
        """Return the versions of services that served within a time until now.

        ``is_current`` is whether the records are up to date.
        """
        wanted = frozenset(services)
        versions = frozenset(
            version
            for (service, version), seen_at in self._last_seen.items()
            if service in wanted
            and (now - seen_at <= within_s or (service, version) in self._serving)
        )
        covers = now - self._complete_since >= within_s
        return VersionsSeen(versions, is_complete=is_current and covers)
