"""What goes into and comes out of the decisions of one engine's lease holder.

Events are method calls on :class:`EngineDispatch`; what it decides comes back as
a list of the frozen actions below, which the holder carries out.
"""

from dataclasses import dataclass, field

from bamboovale.errors import Refusal
from bamboovale.models import AdapterVersion, WorkClass


@dataclass(frozen=True)
class WorkItem:
    """One model request that asks for a place on an engine.

    ``latest_start`` is the moment after which the answer is of no use; the
    decision refuses the request as soon as it sees that this cannot be met.
    ``exclusive`` marks a suspect of an endpoint crash, which runs alone.
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

    An entry VM repeats its ask while it waits; ``ask_number`` is the last one the
    holder had seen. ``send_within_s`` counts from the moment the entry VM sent
    that ask, on its own monotonic clock: a permit later than that is discarded
    unsent, also by an entry VM that was paused and does not know it.
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
    """The engine's own exact answer about its state.

    ``read_at`` is the holder's clock before the question was sent; what the holder
    learned later than that wins over the view. None means "just now".
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
    """Give the request its permit."""

    permit: Permit


@dataclass(frozen=True)
class Refuse:
    """Give the request its final answer, or send it to another engine."""

    request_id: str
    entry_vm: str
    refusal: Refusal


@dataclass(frozen=True)
class RequestLoadGrant:
    """Ask the load scheduler for a turn at the weight store.

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
    """Tell the load scheduler that a turn is not needed any more."""

    lora_name: str


Action = Grant | Refuse | RequestLoadGrant | ReturnLoadGrant | Load | Unload


@dataclass(frozen=True)
class EngineHint:
    """What a lease holder tells the entry VMs about its engine, now and then.

    A hint may be seconds old. A wrong one costs a wait or a refusal that sends the
    request to the next engine, never a wrong answer. ``load_seconds`` is what a load
    takes with its turn, ``open_slots`` are slots that one more adapter could take
    (below zero: adapters already wait for one), and ``slot_wait_s`` is the time until
    one more opens.
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
