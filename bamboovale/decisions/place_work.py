"""Requests for places at an engine, what is decided on them, and what engines hold."""

from dataclasses import dataclass
from enum import Enum, auto

AdapterKey = tuple[str, str]


@dataclass(frozen=True)
class QueuedRequest:
    """A request that wants a place; times are seconds on the owner's clock.

    ``rank`` orders by urgency, 0 first. ``latest_start`` is when a start would be too
    late for the caller. ``adapter`` None asks for the base model itself. ``pause_s`` is
    the longest good pause between the events of its answer.
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

    @property
    def key(self) -> AdapterKey | None:
        """Return the adapter's key, None for the base model."""
        return None if self.adapter is None else (self.model, self.adapter)

    @property
    def request_id(self) -> str:
        """Return the request's id, which the engine knows; an ask has a number more."""
        return self.ask_id.rpartition(".")[0]

    @property
    def tokens(self) -> int:
        """Return the most token memory that the request may take."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True)
class Grant:
    """The request may be sent; the engine holds this version.

    ``confirmed`` is False while no report has shown the adapter's load to be complete.
    ``paced_s`` is for how long only the pauses of other streams kept it waiting.
    """

    request: QueuedRequest
    version: int
    confirmed: bool = True
    paced_s: float = 0.0


class RefusalReason(Enum):
    """Why a place is not given."""

    LATE = auto()
    FULL = auto()
    CANNOT_LOAD = auto()


@dataclass(frozen=True)
class Refuse:
    """The request was not sent; it may come back after ``retry_after_s``."""

    request: QueuedRequest
    reason: RefusalReason
    retry_after_s: float


@dataclass(frozen=True)
class OrderLoad:
    """Ask the engine to load an adapter, or to replace it with another version."""

    model: str
    adapter: str | None
    version: int


@dataclass(frozen=True)
class OrderUnload:
    """Ask the engine to drop an adapter or a model."""

    model: str
    adapter: str | None


Action = Grant | Refuse | OrderLoad | OrderUnload


@dataclass(frozen=True)
class ReportedState:
    """What the engine reports: what it holds and loads, and the requests it runs."""

    version_by_model: dict[str, int]
    version_by_adapter: dict[AdapterKey, int]
    loading: frozenset[AdapterKey]
    active: int
    read_at: float
    running: frozenset[str] = frozenset()


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
    """What entry VMs choose an engine by.

    ``backlog_s`` is how long a new prompt waits for those sent and queued before it, or
    by how much first events come late. ``open_slots`` are the slots that one more
    adapter could have now, less the adapters that wait for one: negative while there
    are more of these. ``kept`` is how many adapters, the latest ones, the engine is
    taken to keep in its own memory. ``s_per_token`` is how long it reads a token of a
    prompt, ``held_up`` whether reading has held its streams up of late.
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
