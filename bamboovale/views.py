"""Views that the actors of an entry VM publish for the threads that serve callers.

Each view is replaced as a whole by the one actor that owns it. Readers therefore need
no lock to resolve an entry or select an engine.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboovale.catalogue.fold import CatalogueView
from bamboovale.decisions.work import EngineHint
from bamboovale.membership.view import Membership


@dataclass(frozen=True)
class ReceivedHint:
    """A routing hint with its sender and the time of its arrival."""

    hint: EngineHint
    from_vm: str
    received_at: float


@dataclass(frozen=True)
class KnownLease:
    """The VM that holds an engine's lease, and its fencing number."""

    holder: str
    fencing: int


@dataclass
class Views:
    """The latest published views.

    ``lease_by_engine`` is taken from the log and from peers' hints. ``serving`` (this
    VM's view is current enough to serve) and ``log_down_for_all`` are evaluated
    periodically in ``entry/readiness.py`` and expire at a time on the clock ``now``.
    Guards against a VM that was paused serving from an outdated view.
    """

    catalogue: CatalogueView | None = None
    membership: Membership = field(default_factory=Membership)
    lease_by_engine: dict[str, KnownLease] = field(default_factory=dict)
    incarnation_by_vm: dict[str, str] = field(default_factory=dict)
    hint_by_engine: dict[str, ReceivedHint] = field(default_factory=dict)
    serving_until: float = float("-inf")
    log_down_until: float = float("-inf")
    draining: bool = False
    now: Callable[[], float] = time.monotonic

    @property
    def serving(self) -> bool:
        """Return whether this VM may accept requests."""
        return self.now() < self.serving_until

    @property
    def log_down_for_all(self) -> bool:
        """Return whether no reachable VM can reach the log."""
        return self.now() < self.log_down_until

    def holder_of(self, engine: str) -> str | None:
        """Return the VM known to hold an engine's lease, None if unknown."""
        lease = self.lease_by_engine.get(engine)
        return None if lease is None else lease.holder
