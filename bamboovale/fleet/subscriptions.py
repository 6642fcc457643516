"""Subscriptions of entry VMs to the engine statuses that owners publish.

Engine load changes with every request, and sending it from every owner to every VM
would cost messages quadratic in the size of the fleet. A VM that carries requests
subscribes to each owner and renews its subscriptions; others receive nothing.
"""

SUBSCRIPTION_TTL_S = 5.0
"""A subscription that is not renewed for this long expires."""
RENEWAL_INTERVAL_S = 2.0
"""Short enough that one lost renewal does not end a subscription."""
INACTIVE_AFTER_S = 10.0
"""A VM without requests for this long stops renewing its subscriptions."""
STATUS_INTERVAL_S = 0.3
STATUSES_PER_S = 60.0
"""Limit for one owner; the interval grows with the number of subscribers."""
LOADS_INTERVAL_S = 0.1
"""Subscribers that know the load only from longer ago overload an engine that was
idle then."""
LOADS_PER_S = 200.0
"""Limit for one owner, as ``STATUSES_PER_S``."""


class Subscriptions:
    """The VMs that subscribe to this owner's engines; no sockets, no clock."""

    def __init__(self) -> None:
        self._renewed_at: dict[str, float] = {}

    def renew(self, vm_id: str, now: float) -> bool:
        """Add or renew a VM's subscription; True if it had none or it had expired."""
        before = self._renewed_at.get(vm_id)
        self._renewed_at[vm_id] = now
        return before is None or now - before > SUBSCRIPTION_TTL_S

    def subscribers(self, now: float) -> list[str]:
        """Return the subscribed VMs and remove expired subscriptions."""
        for vm_id, renewed_at in list(self._renewed_at.items()):
            if now - renewed_at > SUBSCRIPTION_TTL_S:
                del self._renewed_at[vm_id]
        return list(self._renewed_at)

    def status_interval_s(self) -> float:
        """Return the time between two full engine statuses."""
        return max(STATUS_INTERVAL_S, len(self._renewed_at) / STATUSES_PER_S)

    def loads_interval_s(self) -> float:
        """Return the time between two messages with the load of engines."""
        return max(LOADS_INTERVAL_S, len(self._renewed_at) / LOADS_PER_S)


class Subscriber:
    """This VM's subscriptions to owners of engines; no sockets, no clock."""

    def __init__(self) -> None:
        self._last_request_at = -INACTIVE_AFTER_S
        self._renewed_at: dict[str, float] = {}

    def note_request(self, now: float) -> bool:
        """Note that a request needs an engine; True if this VM was inactive."""
        was_idle = not self.is_active(now)
        self._last_request_at = now
        return was_idle

    def note_renewal(self, owner: str, now: float) -> None:
        """Note a message that the owner treats as a renewal."""
        self._renewed_at[owner] = now

    def is_active(self, now: float) -> bool:
        """Return whether this VM has had a request recently."""
        return now - self._last_request_at < INACTIVE_AFTER_S

    def due_renewals(self, owners: set[str], now: float) -> list[str]:
        """Return the owners to send a renewal to, and note them as renewed."""
        for owner in self._renewed_at.keys() - owners:
            del self._renewed_at[owner]
        due = [
            o
            for o in owners
            if now - self._renewed_at.get(o, -RENEWAL_INTERVAL_S) >= RENEWAL_INTERVAL_S
        ]
        for owner in due:
            self._renewed_at[owner] = now
        return due
