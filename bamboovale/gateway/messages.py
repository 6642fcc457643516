"""Messages between entry VMs on the routed interface."""

from dataclasses import dataclass, field

from bamboovale.decisions.quota_reports import QuotaGrant, QuotaReport
from bamboovale.peers.codec import message, row


@message("place_ask")
@dataclass(frozen=True)
class PlaceRequest:
    """Request for a place, to an engine's owner; times are durations in seconds.

    ``start`` is that of the sender's membership record, which tells its processes
    apart.
    """

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
    start: int = 0


@message("place_reply")
@dataclass(frozen=True)
class PlaceReply:
    """The owner's decision: the version to expect, or why there is no place.

    ``not_owner`` is true if the VM does not own the engine or cannot use it.
    ``confirmed`` is false if the adapter is expected to be loaded but was not reported
    so. ``paced_s`` is how long the request was queued only to avoid stalls of other
    streams.
    """

    ask_id: str
    version: int | None = None
    reason: str = ""
    retry_after_s: float = 0.0
    not_owner: bool = False
    confirmed: bool = True
    paced_s: float = 0.0


@message("reach_query")
@dataclass(frozen=True)
class ReachQuery:
    """Asks whether the receiver can connect to an engine; gets a ``ReachReply``."""

    engine_id: str


@message("reach_reply")
@dataclass(frozen=True)
class ReachReply:
    """Whether the sender connected to an engine just now, and may own engines."""

    engine_id: str
    reached: bool


@message("place_cancel")
@dataclass(frozen=True)
class PlaceCancel:
    """Cancels a request: the caller disconnected, or another engine was chosen."""

    engine_id: str
    ask_id: str


@message("place_release")
@dataclass(frozen=True)
class PlaceRelease:
    """Releases a place whose run is over.

    ``refused`` is true if the engine did not run the request, ``not_held`` if it lacked
    the adapter, ``aborted`` if the sender aborted the run, on which the engine may
    still work for a while.
    """

    engine_id: str
    ask_id: str
    refused: bool = False
    not_held: bool = False
    aborted: bool = False


@message("place_held")
@dataclass(frozen=True)
class PlaceHeld:
    """A run in flight, sent to the new owner of its engine."""

    engine_id: str
    ask_id: str
    model: str
    adapter: str | None
    version: int
    prompt_tokens: int
    output_tokens: int
    pause_s: float | None = None
    start: int = 0


@message("place_started")
@dataclass(frozen=True)
class PlaceStarted:
    """The first event of the run was received."""

    engine_id: str
    ask_id: str


@message("place_paused")
@dataclass(frozen=True)
class PlacePaused:
    """The run's stream paused for longer than its route allows."""

    engine_id: str
    ask_id: str
    pause_s: float


@row
@dataclass(frozen=True)
class EngineStatus:
    """Status of one engine; adapters are (model, adapter, version).

    ``coming`` are adapters that are being loaded. ``fence`` is the fencing number of
    the owner's orders; ``answers`` is false while the engine refuses connections. The
    times from ``load_s`` on are 0 while unknown. ``free_slots`` hold no adapter.
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
    load_s: float = 0.0
    cached_load_s: float = 0.0
    s_per_output_token: float = 0.0
    run_s: float = 0.0
    free_slots: int = 0


@row
@dataclass(frozen=True)
class EngineLoad:
    """Load of one engine: the part of its status that changes with every request."""

    engine_id: str
    active: int
    queued: int
    backlog_s: float
    open_slots: int
    free_slots: int = 0


@message("engine_loads")
@dataclass(frozen=True)
class EngineLoads:
    """Loads of an owner's engines, sent between two statuses."""

    loads: tuple[EngineLoad, ...]


@message("engine_statuses")
@dataclass(frozen=True)
class EngineStatuses:
    """Status of all engines of an owner, sent to its subscribers."""

    statuses: tuple[EngineStatus, ...]


@message("statuses_wanted")
@dataclass(frozen=True)
class StatusSubscription:
    """Subscribes to an owner's engine status for the next seconds."""


row(QuotaReport)
row(QuotaGrant)


@message("quota_reports")
@dataclass(frozen=True)
class QuotaReports:
    """What the sender's process ``start`` admitted, to the VM with the accounts."""

    start: int
    reports: tuple[QuotaReport, ...]


@message("quota_grants")
@dataclass(frozen=True)
class QuotaGrants:
    """Replies to reports of the process ``start``."""

    start: int
    grants: tuple[QuotaGrant, ...]


@message("table_query")
@dataclass(frozen=True)
class TableQuery:
    """Request for a peer's configuration."""


@message("table_answer")
@dataclass(frozen=True)
class TableAnswer:
    """A peer's configuration as the operator wrote it; None if it has none."""

    source: bytes | None = field(repr=False)
