"""Requests for places at an engine, decisions on them, and the state of engines."""

from dataclasses import dataclass
from enum import Enum, auto

AdapterKey = tuple[str, str]


@dataclass(frozen=True)
class QueuedRequest:
    """A request for a place; times are seconds on the owner's clock.

    ``rank`` orders by urgency, 0 first. ``goal_at`` is the time by which the first
    event should come, ``latest_start`` the time after which a start is useless to the
    caller. ``adapter`` is None for the base model. ``pause_s`` is the longest allowed
    pause between the events of its answer. ``entry_start`` tells the processes of an
    entry VM apart; it rises with each start.
    """

    ask_id: str
    entry_vm: str
    model: str
    adapter: str | None
    version: int
    prompt_tokens: int
    output_tokens: int
    rank: int
    goal_at: float
    latest_start: float
    pause_s: float | None = None
    entry_start: int = 0

    @property
    def key(self) -> AdapterKey | None:
        """Return the adapter's key, None for the base model."""
        return None if self.adapter is None else (self.model, self.adapter)

    @property
    def request_id(self) -> str:
        """Return the request's id at the engine: ``ask_id`` without its number."""
        return self.ask_id.rpartition(".")[0]

    @property
    def tokens(self) -> int:
        """Return the most token memory that the request may take."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True)
class Grant:
    """The request may be sent; the engine holds this version.

    ``confirmed`` is False until a report shows the adapter as loaded. ``paced_s`` is
    how long only pacing kept the request waiting.
    """

    request: QueuedRequest
    version: int
    confirmed: bool = True
    paced_s: float = 0.0


class RefusalReason(Enum):
    """Why a place is refused."""

    LATE = auto()
    FULL = auto()
    CANNOT_LOAD = auto()
    LIMITED = auto()


@dataclass(frozen=True)
class Refuse:
    """The request is refused unsent; a retry may succeed after ``retry_after_s``."""

    request: QueuedRequest
    reason: RefusalReason
    retry_after_s: float


@dataclass(frozen=True)
class OrderLoad:
    """Order the engine to load an adapter, or to replace its version."""

    model: str
    adapter: str | None
    version: int


@dataclass(frozen=True)
class OrderUnload:
    """Order the engine to unload an adapter or a model."""

    model: str
    adapter: str | None


Action = Grant | Refuse | OrderLoad | OrderUnload


@dataclass(frozen=True)
class ReportedState:
    """State that an engine reports: loaded and loading adapters, and its runs.

    While ``busy`` with an order that waits for runs, the engine refuses others, and may
    drop an adapter that it still lists. ``missing_orders`` is how many orders that the
    engine is known to have accepted it does not show yet, None if that is unknown.
    """

    version_by_model: dict[str, int]
    version_by_adapter: dict[AdapterKey, int]
    loading: frozenset[AdapterKey]
    active: int
    read_at: float
    running: frozenset[str] = frozenset()
    missing_orders: int | None = None
    busy: bool = False


@dataclass(frozen=True)
class EngineCapacity:
    """Places, token memory and adapter slots of one engine.

    ``models`` are the base models of its pool.
    """

    places: int
    kv_tokens: int
    adapter_slots: int
    models: tuple[str, ...] = ()


@dataclass(frozen=True)
class EngineSnapshot:
    """State of an engine by which entry VMs choose one.

    ``backlog_s`` is how long a new prompt waits for earlier ones, or how late first
    events are. ``open_slots`` is the number of slots for one more adapter, less the
    adapters that wait for one; it may be negative. ``kept`` is how many recent adapters
    the engine is assumed to cache. ``s_per_token`` is the prefill time of a token.
    ``held_up`` is True if prefill has recently stalled its streams. ``load_s`` and
    ``cached_load_s`` are the time of a load from the weight store and from the engine's
    own cache, ``s_per_output_token`` and ``run_s`` the time of an output token and of a
    run at its current speed; each is 0 while unknown. ``free_slots`` is the number of
    slots that hold no adapter.
    """

    loaded: dict[AdapterKey, int]
    coming: dict[AdapterKey, int]
    models: tuple[str, ...]
    active: int
    places: int
    queued: int
    backlog_s: float
    open_slots: int
    kept: int
    s_per_token: float
    held_up: bool = False
    load_s: float = 0.0
    cached_load_s: float = 0.0
    s_per_output_token: float = 0.0
    run_s: float = 0.0
    free_slots: int = 0
