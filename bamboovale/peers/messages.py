"""What entry VMs say to one another."""

from dataclasses import dataclass
from typing import Any

from bamboovale.decisions.work import EngineHint, Permit
from bamboovale.errors import ErrorCode
from bamboovale.peers.codec import message


@message("permit_ask")
@dataclass(frozen=True)
class PermitRequest:
    """Ask the lease holder of an engine for a place.

    Repeated with a higher ``ask_number`` while the entry VM waits. Times are
    durations: ``starts_within_s`` is what is left of the request's wait.
    """

    engine_id: str
    request_id: str
    ask_number: int
    adapter: str
    version: str
    source: str
    work_class: str
    customer: str
    starts_within_s: float
    max_tokens: int
    size_bytes: int
    fingerprint: str
    exclusive: bool


@message("permit_reply")
@dataclass(frozen=True)
class PermitReply:
    """The holder's decision: a permit, or a refusal (``code`` is an error code).

    ``elsewhere`` tells that another engine may still serve the request: the holder
    has lost the lease, or the engine is leaving.
    """

    request_id: str
    permit: Permit | None = None
    code: ErrorCode | None = None
    reason: str = ""
    retry_after_s: float | None = None
    elsewhere: bool = False


@message("permit_cancel")
@dataclass(frozen=True)
class PermitCancel:
    """The entry VM gave up: drop the request, or free its permit unused."""

    engine_id: str
    request_id: str


@message("permit_release")
@dataclass(frozen=True)
class PermitRelease:
    """The run is over, or the permit will never be used.

    ``refused`` tells that the engine did not know the adapter.
    """

    engine_id: str
    permit_id: str
    refused: bool = False


@message("permits_query")
@dataclass(frozen=True)
class PermitsQuery:
    """A new holder asks which permits on its engine an entry VM still holds."""

    engine_id: str


@message("permits_held")
@dataclass(frozen=True)
class PermitsHeld:
    """The answer to :class:`PermitsQuery`."""

    engine_id: str
    permits: tuple[Permit, ...]


@message("status")
@dataclass(frozen=True)
class StatusNotice:
    """What an entry VM tells its peers every hint interval.

    ``log_reachable`` is what tells a log that is down from a VM that is cut off;
    ``serving`` tells whether callers may be sent there.
    """

    incarnation: str
    draining: bool
    serving: bool
    log_reachable: bool
    catalogue_revision: int
    catalogue_next_offset: int
    hints: tuple[EngineHint, ...]


@message("records")
@dataclass(frozen=True)
class RecordsNotice:
    """Log records passed on, so that one VM's slow log does not delay it."""

    stream: str
    first_offset: int
    values: tuple[Any, ...]


@message("catalogue_query")
@dataclass(frozen=True)
class CatalogueQuery:
    """A starting VM asks a peer for a whole catalogue."""


@message("catalogue_answer")
@dataclass(frozen=True)
class CatalogueAnswer:
    """A whole catalogue, as a snapshot, or None from a VM that has none."""

    snapshot: Any


@message("revision_query")
@dataclass(frozen=True)
class RevisionQuery:
    """Ask for the catalogue revision in force at a peer."""


@message("revision_answer")
@dataclass(frozen=True)
class RevisionAnswer:
    """The catalogue revision in force."""

    revision: int


@message("load_turn_ask")
@dataclass(frozen=True)
class LoadGrantRequest:
    """Ask the load scheduler for a turn at the weight store; repeated while wanted."""

    engine_id: str
    lora_name: str
    weight: float


@message("load_turn_given")
@dataclass(frozen=True)
class LoadGrantReply:
    """A turn of one scheduler; ``scheduler`` and ``number`` together name it."""

    engine_id: str
    lora_name: str
    scheduler: str
    number: int


@message("load_turn_ended")
@dataclass(frozen=True)
class LoadGrantRelease:
    """The turn is over; unless ``used``, the store served nothing for it."""

    scheduler: str
    number: int
    used: bool
    loaded: bool


@message("answer_query")
@dataclass(frozen=True)
class AnswerQuery:
    """Ask the VM that ran a keyed attempt for its answer."""

    attempt_id: str


@message("answer_kept")
@dataclass(frozen=True)
class AnswerKept:
    """What that VM knows; ``state`` is a value of ``claims.answers.AnswerState``."""

    attempt_id: str
    state: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@message("crash_seen")
@dataclass(frozen=True)
class CrashSeen:
    """A request that was running when its endpoint crashed (``decisions.suspects``)."""

    fingerprint: str
    endpoint_id: str
    boot_id: str
    alone: bool
