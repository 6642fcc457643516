"""Which VMs an owner tells of its engines, and how often.

Load pattern: hundreds of entry VMs choose among hundreds of engines whose load changes
with every request. Told to all, it costs messages with the number of VMs times that of
owners, most of them to VMs that carry no request. A VM that carries some asks each
owner now and then; whoever has stopped asking is told nothing.
"""

LAPSE_S = 5.0
"""A VM that has not asked for so long carries no requests any more."""
RENEW_S = 2.0
"""Between two asks of one VM, so that one that is lost ends nothing."""
IDLE_S = 10.0
"""A VM that carried no request for so long stops asking."""
STATUS_INTERVAL_S = 0.3
STATUSES_PER_S = 60.0
"""Most that one owner sends; with more listeners each is told less often."""
LOADS_INTERVAL_S = 0.1
"""Between two words on how busy engines are: VMs choose by it, and told less often
they send several loads too many to the engine that looked idle."""
LOADS_PER_S = 200.0


class Subscriptions:
    """The VMs that have asked of late; no sockets, no clock."""

    def __init__(self) -> None:
        self._asked_at: dict[str, float] = {}

    def renew(self, vm_id: str, now: float) -> bool:
        """Note that a VM asks; True if it was not told anything of late."""
        before = self._asked_at.get(vm_id)
        self._asked_at[vm_id] = now
        return before is None or now - before > LAPSE_S

    def subscribers(self, now: float) -> list[str]:
        """Return whom to tell."""
        for vm_id, asked_at in list(self._asked_at.items()):
            if now - asked_at > LAPSE_S:
                del self._asked_at[vm_id]
        return list(self._asked_at)

    def status_interval_s(self) -> float:
        """Return the time between two full statuses."""
        return max(STATUS_INTERVAL_S, len(self._asked_at) / STATUSES_PER_S)

    def loads_interval_s(self) -> float:
        """Return the time between two words on how busy engines are."""
        return max(LOADS_INTERVAL_S, len(self._asked_at) / LOADS_PER_S)


class Subscriber:
    """Which owners this VM asks to be told of their engines; no sockets, no clock."""

    def __init__(self) -> None:
        self._needed_at = -IDLE_S
        self._asked_at: dict[str, float] = {}

    def note_request(self, now: float) -> bool:
        """Note that a request needs an engine; True if nothing was asked for before."""
        was_idle = not self.is_active(now)
        self._needed_at = now
        return was_idle

    def note_renewal(self, owner: str, now: float) -> None:
        """Note a message that the owner takes for asking."""
        self._asked_at[owner] = now

    def is_active(self, now: float) -> bool:
        """Tell whether this VM chooses engines."""
        return now - self._needed_at < IDLE_S

    def due_renewals(self, owners: set[str], now: float) -> list[str]:
        """Return the owners to ask now, and note that they are asked."""
        for owner in self._asked_at.keys() - owners:
            del self._asked_at[owner]
        due = [o for o in owners if now - self._asked_at.get(o, -RENEW_S) >= RENEW_S]
        for owner in due:
            self._asked_at[owner] = now
        return due
