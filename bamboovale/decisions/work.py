"""Inputs and outputs of the decisions of one engine's lease holder.

Events are method calls on :class:`EngineDispatch`; each returns a list of the frozen
actions below, which the holder carries out.
"""

from dataclasses import dataclass, field

from bamboovale.errors import Refusal
from bamboovale.models import AdapterVersion, WorkClass


@dataclass(frozen=True)
class WorkItem:
    """A model request that waits for a place on an engine.

    ``latest_start`` is the time after which an answer is useless; the request is
    refused as soon as it cannot start by then. ``exclusive`` marks a crash suspect,
    which runs alone.
    """

    request_id: str
    entry_vm: str
    target: AdapterVersion
    source: str
    work_class: WorkClass
    customer: str
    arrived_at: float
    latest_start: float
    max_tokens: int = 256
    size_bytes: int = 0
    fingerprint: str = ""
    exclusive: bool = False


@dataclass(frozen=True)
class Permit:
    """A place on an engine and a pin on its adapter, until it is released.

    An entry VM repeats its request while it waits; ``ask_number`` is the last one that
    the holder received. ``send_within_s`` counts from when the entry VM sent that
    request, on its own monotonic clock: a later permit is discarded unsent, even by an
    entry VM that was suspended.
    """

    permit_id: str
    request_id: str
    entry_vm: str
    engine_id: str
    boot_id: str
    lora_name: str
    fencing: int
    send_within_s: float
    priority: int = 0
    ask_number: int = 0


@dataclass(frozen=True)
class EngineView:
    """The engine's own report of its exact state.

    ``read_at`` is the time on the holder's clock before the report was requested;
    events after it take precedence over the view. None means the current time.
    """

    boot_id: str
    base_model: str
    max_num_seqs: int
    max_loras: int
    loaded: frozenset[str]
    running_by_request_id: dict[str, str] = field(default_factory=dict)
    waiting: int = 0
    read_at: float | None = None


@dataclass(frozen=True)
class Grant:
    """Send the request its permit."""

    permit: Permit


@dataclass(frozen=True)
class Refuse:
    """Refuse the request, or send it to another engine."""

    request_id: str
    entry_vm: str
    refusal: Refusal


@dataclass(frozen=True)
class RequestLoadGrant:
    """Request a load grant from the load scheduler.

    ``weight`` grows with the work that waits for the adapter.
    """

    lora_name: str
    weight: float


@dataclass(frozen=True)
class Load:
    """Order the engine to load an adapter version."""

    lora_name: str
    source: str


@dataclass(frozen=True)
class Unload:
    """Order the engine to evict an adapter version."""

    lora_name: str


@dataclass(frozen=True)
class ReturnLoadGrant:
    """Return an unused load grant to the load scheduler."""

    lora_name: str


Action = Grant | Refuse | RequestLoadGrant | ReturnLoadGrant | Load | Unload


@dataclass(frozen=True)
class EngineHint:
    """Routing hint that a lease holder sends to entry VMs at intervals.

    A hint may be seconds old; a wrong one costs a wait or a refusal that sends the
    request to the next engine. ``load_seconds`` includes the wait for a load grant.
    ``open_slots`` are the slots for one more adapter, negative if adapters already wait
    for one. ``slot_wait_s`` is the time until one more slot becomes free.
    """

    engine_id: str
    base_model: str
    fencing: int
    loaded: tuple[str, ...]
    loading: tuple[str, ...]
    free_places: int
    max_num_seqs: int
    queued: int
    predicted_wait_s: float
    load_seconds: float
    open_slots: int = 0
    slot_wait_s: float = 0.0
