"""Requests, replies and notices between entry VMs."""

from dataclasses import dataclass
from typing import Any

from bamboovale.decisions.work import EngineHint, Permit
from bamboovale.errors import ErrorCode
from bamboovale.peers.codec import message


@message("permit_ask")
@dataclass(frozen=True)
class PermitRequest:
    """Request a place from the lease holder of an engine.

    Repeated with a higher ``ask_number`` while the entry VM waits. ``starts_within_s``
    is the time in seconds that the request may still wait.
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
    """The holder's decision: a permit, or a refusal with an error code.

    ``elsewhere`` means that another engine may serve the request, as the holder has
    lost the lease or the engine is leaving.
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
    """Cancels a request: it is dropped, or its unused permit released."""

    engine_id: str
    request_id: str


@message("permit_release")
@dataclass(frozen=True)
class PermitRelease:
    """Releases a permit after its run, or because it will not be used.

    ``refused`` means that the engine refused the run, as the adapter was not loaded.
    """

    engine_id: str
    permit_id: str
    refused: bool = False


@message("permits_query")
@dataclass(frozen=True)
class PermitsQuery:
    """A new holder's query for the permits that an entry VM holds on its engine."""

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
    """State of an entry VM, sent to its peers every hint interval.

    ``log_reachable`` distinguishes an outage of the log from a partitioned VM;
    ``serving`` tells whether the VM accepts callers.
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
    """Log records forwarded to peers, so that slow reads of the log delay no VM."""

    stream: str
    first_offset: int
    values: tuple[Any, ...]


@message("catalogue_query")
@dataclass(frozen=True)
class CatalogueQuery:
    """Request of a starting VM for a snapshot of the catalogue."""


@message("catalogue_answer")
@dataclass(frozen=True)
class CatalogueAnswer:
    """A snapshot of the catalogue, None if the peer has none."""

    snapshot: Any


@message("revision_query")
@dataclass(frozen=True)
class RevisionQuery:
    """Request for the catalogue revision that is in force at a peer."""


@message("revision_answer")
@dataclass(frozen=True)
class RevisionAnswer:
    """The catalogue revision in force."""

    revision: int


@message("load_turn_ask")
@dataclass(frozen=True)
class LoadGrantRequest:
    """Request to the load scheduler for a load grant; repeated while wanted."""

    engine_id: str
    lora_name: str
    weight: float


@message("load_turn_given")
@dataclass(frozen=True)
class LoadGrantReply:
    """A load grant; ``scheduler`` and ``number`` together identify it."""

    engine_id: str
    lora_name: str
    scheduler: str
    number: int


@message("load_turn_ended")
@dataclass(frozen=True)
class LoadGrantRelease:
    """Releases a load grant; unless ``used``, no weights were read under it."""

    scheduler: str
    number: int
    used: bool
    loaded: bool


@message("answer_query")
@dataclass(frozen=True)
class AnswerQuery:
    """Request for the answer of a keyed attempt, to the VM that ran it."""

    attempt_id: str


@message("answer_kept")
@dataclass(frozen=True)
class AnswerKept:
    """The stored answer; ``state`` is a value of ``claims.answers.AnswerState``."""

    attempt_id: str
    state: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@message("crash_seen")
@dataclass(frozen=True)
class CrashSeen:
    """A request that was running when its endpoint crashed (``crashes.suspects``)."""

    fingerprint: str
    endpoint_id: str
    boot_id: str
    alone: bool
