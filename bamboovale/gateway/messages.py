"""What entry VMs say to one another about the routed interface."""

from dataclasses import dataclass

from bamboovale.peers.codec import message, row


@message("place_ask")
@dataclass(frozen=True)
class PlaceRequest:
    """Ask an engine's owner for a place; times are durations in seconds."""

    engine_id: str
    ask_id: str
    model: str
    adapter: str | None
    version: int
    prompt_tokens: int
    output_tokens: int
    rank: int
    goal_within_s: float
    starts_within_s: float
    pause_s: float | None = None


@message("place_reply")
@dataclass(frozen=True)
class PlaceReply:
    """The owner's decision: a version to expect, or why there is no place.

    ``not_owner`` tells that another VM owns the engine now. ``confirmed`` is False if
    the adapter is only expected to be loaded. ``paced_s`` is for how long only the
    pauses of other streams kept the request waiting.
    """

    ask_id: str
    version: int | None = None
    reason: str = ""
    retry_after_s: float = 0.0
    not_owner: bool = False
    confirmed: bool = True
    paced_s: float = 0.0


@message("place_cancel")
@dataclass(frozen=True)
class PlaceCancel:
    """The caller is gone, or another engine was chosen."""

    engine_id: str
    ask_id: str


@message("place_release")
@dataclass(frozen=True)
class PlaceRelease:
    """The run is over.

    ``refused`` if the engine did not run it, ``not_held`` if it lacked the adapter.
    ``aborted`` if we broke it off: the engine may work on it for a while.
    """

    engine_id: str
    ask_id: str
    refused: bool = False
    not_held: bool = False
    aborted: bool = False


@message("place_held")
@dataclass(frozen=True)
class PlaceHeld:
    """A run under way, told to an engine's new owner."""

    engine_id: str
    ask_id: str
    model: str
    adapter: str | None
    version: int
    prompt_tokens: int
    output_tokens: int
    pause_s: float | None = None


@message("place_started")
@dataclass(frozen=True)
class PlaceStarted:
    """The first event of the run has come."""

    engine_id: str
    ask_id: str


@message("place_paused")
@dataclass(frozen=True)
class PlacePaused:
    """The run's stream has just paused for longer than its route allows."""

    engine_id: str
    ask_id: str
    pause_s: float


@row
@dataclass(frozen=True)
class EngineStatus:
    """What an owner tells of one engine; adapters are (model, adapter, version).

    ``fence`` is the fencing number of its orders; ``answers`` is False while the engine
    refuses connections.
    """

    engine_id: str
    fence: int
    loaded: tuple[tuple[str, str, int], ...]
    coming: tuple[tuple[str, str, int], ...]
    models: tuple[str, ...]
    active: int
    places: int
    queued: int
    backlog_s: float
    open_slots: int
    kept: int
    s_per_token: float
    held_up: bool = False
    answers: bool = True


@row
@dataclass(frozen=True)
class EngineLoad:
    """How busy one engine is now: what changes with every request."""

    engine_id: str
    active: int
    queued: int
    backlog_s: float
    open_slots: int


@message("engine_loads")
@dataclass(frozen=True)
class EngineLoads:
    """What an owner tells of its engines between two statuses."""

    loads: tuple[EngineLoad, ...]


@message("engine_statuses")
@dataclass(frozen=True)
class EngineStatuses:
    """What an owner tells of all its engines, to VMs that asked of late."""

    statuses: tuple[EngineStatus, ...]


@message("statuses_wanted")
@dataclass(frozen=True)
class StatusSubscription:
    """Ask an owner to tell of its engines for the next seconds."""


@message("table_query")
@dataclass(frozen=True)
class TableQuery:
    """Ask a peer for its configuration."""


@message("table_answer")
@dataclass(frozen=True)
class TableAnswer:
    """A peer's configuration as the operator wrote it; None if it has none."""

    source: bytes | None
