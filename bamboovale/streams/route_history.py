"""Which services each route led to lately, as a stream may have begun at any of them.

Times are those of a clock that also counts while the VM is paused.
"""

from collections.abc import Iterable, Mapping

MAX_AGE_S = 300.0
"""What ended longer ago is dropped."""

ServicesByRoute = Mapping[str, frozenset[str]]


class RouteHistory:
    """The services of each route, and when those that it has left were replaced."""

    def __init__(self) -> None:
        self._services_by_route: ServicesByRoute = {}
        self._changes: list[tuple[float, str, frozenset[str]]] = []

    def on_routes(self, services_by_route: ServicesByRoute, now: float) -> None:
        """Apply a newer configuration."""
        changes = [change for change in self._changes if now - change[0] <= MAX_AGE_S]
        for route, before in self._services_by_route.items():
            if services_by_route.get(route) != before:
                changes.append((now, route, before))
        self._changes = changes
        self._services_by_route = services_by_route

    def with_changed(
        self, services: Iterable[str], within_s: float, now: float
    ) -> frozenset[str]:
        """Return services with those that a route exchanged them for lately."""
        asked = found = frozenset(services)
        for services_of_route in self._changed_since(now - within_s):
            if not services_of_route.isdisjoint(asked):
                found |= services_of_route
        return found

    def _changed_since(self, since: float) -> Iterable[frozenset[str]]:
        """Return all services of each route that has changed since a moment."""
        led_to: dict[str, frozenset[str]] = {}
        for at, route, before in self._changes:
            if at >= since:
                now = self._services_by_route.get(route, frozenset())
                led_to[route] = led_to.get(route, now) | before
        return led_to.values()
