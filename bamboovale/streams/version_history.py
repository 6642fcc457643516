"""Which software versions of each service may have begun a stream lately.

Times are those of a clock that also counts while the VM is paused.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bamboovale.streams.route_history import MAX_AGE_S, RouteHistory

LATELY_S = 60.0
"""A version that ended longer ago has begun none of the streams that run."""

ServiceVersion = tuple[str, str | None]
"""A service and a version of its software, None while that is not known."""


@dataclass(frozen=True)
class VersionsSeen:
    """The versions of some services that served lately, as one VM knows.

    No other one served between ``since_s`` and ``until_s`` ago.
    """

    versions: frozenset[str | None]
    since_s: float
    until_s: float

    def join(self, earlier: "VersionsSeen") -> "VersionsSeen":
        """Return what two VMs know together, where ``earlier`` reaches back further."""
        is_joined = earlier.until_s < self.since_s < earlier.since_s
        since_s = earlier.since_s if is_joined else self.since_s
        return VersionsSeen(self.versions | earlier.versions, since_s, self.until_s)

    def single_version(self) -> str | None:
        """Return the version if one alone was seen, None otherwise."""
        return next(iter(self.versions)) if len(self.versions) == 1 else None

    def only_version(self, within_s: float, since_arrival_s: float) -> str | None:
        """Return the version that alone can have begun a stream, None if unsure.

        It began within ``within_s``, and before its caller came back.
        """
        covers = self.since_s >= within_s and self.until_s < since_arrival_s
        return self.single_version() if covers else None


class VersionHistory:
    """When each version of each service last served, by the endpoints' records.

    ``is_first_start`` is whether no process of the fleet ran before, so that no version
    served earlier.
    """

    def __init__(self, *, is_first_start: bool = False) -> None:
        self.routes = RouteHistory()
        self._before_first_read = -math.inf if is_first_start else math.inf
        self._complete_since = math.inf
        self._proven_at = -math.inf
        self._last_seen: dict[ServiceVersion, float] = {}
        self._version_by_endpoint: dict[str, ServiceVersion] = {}
        self._endpoints_by_version: Counter[ServiceVersion] = Counter()

    @property
    def endpoints_by_version(self) -> Mapping[ServiceVersion, int]:
        """Return how many endpoints serve with each version."""
        return self._endpoints_by_version

    def on_endpoint(
        self, endpoint_id: str, version: ServiceVersion | None, now: float
    ) -> None:
        """Apply that an endpoint serves with a version, or (None) is gone."""
        before = self._version_by_endpoint.pop(endpoint_id, None)
        if before is not None:
            self._last_seen[before] = now
            self._endpoints_by_version[before] -= 1
            if not self._endpoints_by_version[before]:
                del self._endpoints_by_version[before]
        if version is not None:
            self._version_by_endpoint[endpoint_id] = version
            self._endpoints_by_version[version] += 1
            self._last_seen[version] = now
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        for version, seen_at in list(self._last_seen.items()):
            is_serving = version in self._endpoints_by_version
            if now - seen_at > MAX_AGE_S and not is_serving:
                del self._last_seen[version]

    def on_snapshot(self, now: float) -> None:
        """Apply that records from before now may have been missed."""
        self._complete_since = min(now, self._before_first_read)
        self._before_first_read = math.inf

    def on_proof(self, proven_at: float) -> None:
        """Apply that all records up to a moment were read."""
        self._proven_at = max(self._proven_at, proven_at)

    def is_single(self, service: str, version: str, now: float) -> bool:
        """Return whether no other version of a service was seen lately.

        A VM that has just started may not have seen one that is gone.
        """
        return self.seen((service,), LATELY_S, now).versions <= {version}

    def seen(
        self, services: Iterable[str], within_s: float, now: float
    ) -> VersionsSeen:
        """Return the versions of services that served within a time until now.

        Those of services that their routes led to within that time count too.
        """
        wanted = self.routes.with_changed(services, within_s, now)
        versions = frozenset(
            version
            for (service, version), seen_at in self._last_seen.items()
            if service in wanted
            and (
                now - seen_at <= within_s
                or (service, version) in self._endpoints_by_version
            )
        )
        since_s = max(0.0, now - self._complete_since)
        return VersionsSeen(versions, since_s, max(0.0, now - self._proven_at))
