"""What the tasks of an entry VM publish for the threads that serve callers.

Each view has one owner, a task that replaces it whole; everybody else only reads. The
caller threads thus need no lock and no message to resolve an entry or pick an engine.
"""

from dataclasses import dataclass, field

from bamboovale.catalogue.fold import CatalogueView
from bamboovale.decisions.work import EngineHint
from bamboovale.membership.view import Membership


@dataclass(frozen=True)
class ReceivedHint:
    """A hint with the moment it arrived here."""

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

    ``lease_by_engine`` is what the log and the peers' hints say; ``serving`` is False
    while this VM may not vouch for what it knows and ``log_down_for_all`` is True
    while nobody here reaches the log (see ``entry/readiness.py``).
    """

    catalogue: CatalogueView | None = None
    membership: Membership = field(default_factory=Membership)
    lease_by_engine: dict[str, KnownLease] = field(default_factory=dict)
    incarnation_by_vm: dict[str, str] = field(default_factory=dict)
    hint_by_engine: dict[str, ReceivedHint] = field(default_factory=dict)
    log_down_for_all: bool = False
    serving: bool = False
    draining: bool = False

    def holder_of(self, engine: str) -> str | None:
        """Return the VM that holds an engine's lease, as far as is known."""
        lease = self.lease_by_engine.get(engine)
        return None if lease is None else lease.holder
