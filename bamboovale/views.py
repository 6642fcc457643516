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


@dataclass
class Views:
    """The latest published views.

    ``holder_by_engine`` names the lease holder of each engine; ``serving`` is False
    while this VM may not vouch for what it knows (see ``entry/readiness.py``).
    """

    catalogue: CatalogueView | None = None
    membership: Membership = field(default_factory=Membership)
    holder_by_engine: dict[str, str] = field(default_factory=dict)
    incarnation_by_vm: dict[str, str] = field(default_factory=dict)
    hint_by_engine: dict[str, ReceivedHint] = field(default_factory=dict)
    log_reachable: bool = False
    serving: bool = False
    draining: bool = False
