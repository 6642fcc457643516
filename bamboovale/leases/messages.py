"""Messages to the keeper of the leases, and names on the lease stream."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.leases.own_leases import HeldLease
from bamboovale.log_service.log_client import RecordBatch

LEASE_STREAM = "leases"
WEIGHT_STORE = "@weight-store"
"""The lease of the load scheduler, beside those named after runners."""


@dataclass(frozen=True)
class LeaseBatchRead:
    """Records of the lease stream, with the moment of reading."""

    batch: RecordBatch
    read_at: float


@dataclass(frozen=True)
class HandOverAll:
    """A planned stop: release every lease to the next in rank."""


@dataclass(frozen=True)
class RenewalEnded:
    """An append of a renewal ended, one way or the other."""


@dataclass(frozen=True)
class ReleaseFailed:
    """A release of ours had no answer, or (``refused``) surely is not on the log."""

    held: HeldLease
    refused: bool


@dataclass(frozen=True)
class DumpLeases:
    """Ask for the state as JSON."""


def node_name(vm_id: str, incarnation: str) -> str:
    """Return the name of one incarnation of an entry VM on the lease stream."""
    return f"{vm_id}/{incarnation}"


def vm_of_node(node: str | None) -> str | None:
    """Return the VM of a node name."""
    return None if node is None else node.rpartition("/")[0]


@dataclass(frozen=True)
class LeaseCallbacks:
    """What the keeper tells the rest of the VM, from its own thread.

    ``on_held(engine, fencing, valid)``: ``valid`` may be asked from any thread.
    ``on_valid(engine)``: the lease came into force, after a hand-over or a lapse.
    """

    on_held: Callable[[str, int, Callable[[], bool]], None]
    on_lost: Callable[[str], None]
    on_valid: Callable[[str], None]
