"""Which services each path led to lately, as a stream may have begun at any of them.

A path is a host with a prefix, as requests are matched: routes may be renamed, or
replaced by one with a longer or a shorter prefix. Times are those of a clock that also
counts while the VM is paused.
"""

from collections.abc import Iterable, Mapping

MAX_AGE_S = 300.0
"""What ended longer ago is dropped."""

Path = tuple[str, str]
"""A host in lower case and a path prefix, which ends with a slash."""
Services = frozenset[str]
ServicesByPath = Mapping[Path, Services]


class RouteHistory:
    """The services of each path, and when those that it has left were replaced."""

    def __init__(self) -> None:
        self._services_by_path: ServicesByPath = {}
        self._changes: list[tuple[float, Path, Services]] = []

    def on_routes(self, services_by_path: ServicesByPath, now: float) -> None:
        """Apply a newer configuration."""
        changes = [change for change in self._changes if now - change[0] <= MAX_AGE_S]
        for path in self._services_by_path.keys() | services_by_path.keys():
            before = services_at(path, self._services_by_path)
            if before and services_at(path, services_by_path) != before:
                changes.append((now, path, before))
        self._changes = changes
        self._services_by_path = services_by_path

    def with_changed(
        self, services: Iterable[str], within_s: float, now: float
    ) -> Services:
        """Return services with those that a path exchanged them for lately."""
        asked = found = frozenset(services)
        for services_of_path in self._changed_since(now - within_s):
            if not services_of_path.isdisjoint(asked):
                found |= services_of_path
        return found

    def _changed_since(self, since: float) -> Iterable[Services]:
        """Return all services of each path that has changed since a moment."""
        led_to: dict[Path, Services] = {}
        for at, path, before in self._changes:
            if at >= since:
                now = services_at(path, self._services_by_path)
                led_to[path] = led_to.get(path, now) | before
        return led_to.values()


def services_at(path: Path, services_by_path: ServicesByPath) -> Services:
    """Return the services of the route with the longest prefix of a path."""
    host, prefix = path
    end = len(prefix)
    while (end := prefix.rfind("/", 0, end)) >= 0:
        services = services_by_path.get((host, prefix[: end + 1]))
        if services is not None:
            return services
    return frozenset()
