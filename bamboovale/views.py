"""What the tasks of an entry VM publish for the threads that serve callers.

Each view has one owner, a task that replaces it whole; everybody else only reads. The
caller threads thus need no lock and no message to resolve an entry or pick an engine.
"""

import time
from collections.abc import Callable
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

    ``lease_by_engine`` is what the log and the peers' hints say. Whether this VM may
    vouch for what it knows (``serving``) and whether the log is down for everybody are
    judged now and then (``entry/readiness.py``) and hold until a moment on the clock
    ``now``: a VM that was paused would otherwise serve an old version, by a judgement
    from before the pause, until its task gets round to the next one.
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
        """Tell whether this VM may take requests."""
        return self.now() < self.serving_until

    @property
    def log_down_for_all(self) -> bool:
        """Tell whether nobody in reach reaches the log."""
        return self.now() < self.log_down_until

    def holder_of(self, engine: str) -> str | None:
        """Return the VM that holds an engine's lease, as far as is known."""
        lease = self.lease_by_engine.get(engine)
        return None if lease is None else lease.holder
