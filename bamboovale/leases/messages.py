"""Messages to the lease actor, and names on the lease stream."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.leases.own_leases import HeldLease
from bamboovale.log_service.log_client import RecordBatch

LEASE_STREAM = "leases"
WEIGHT_STORE = "@weight-store"
"""Name of the load scheduler's lease; the others are named after runners."""


@dataclass(frozen=True)
class LeaseBatchRead:
    """Records of the lease stream and when they were read (monotonic seconds)."""

    batch: RecordBatch
    read_at: float


@dataclass(frozen=True)
class HandOverAll:
    """Planned stop: release every lease to the VM next in rank."""


@dataclass(frozen=True)
class RenewalEnded:
    """An append of a renewal ended, successfully or not."""


@dataclass(frozen=True)
class ReleaseFailed:
    """An own release failed; if ``refused``, it is certainly not on the log."""

    held: HeldLease
    refused: bool


@dataclass(frozen=True)
class DumpLeases:
    """Request the state dump of the actor as JSON."""


def node_name(vm_id: str, incarnation: str) -> str:
    """Return the name of one incarnation of an entry VM on the lease stream."""
    return f"{vm_id}/{incarnation}"


def vm_of_node(node: str | None) -> str | None:
    """Return the VM of a node name."""
    return None if node is None else node.rpartition("/")[0]


@dataclass(frozen=True)
class LeaseCallbacks:
    """Callbacks of the lease actor, called on its thread.

    ``on_held(engine, fencing, valid)``: ``valid`` may be called from any thread.
    ``on_valid(engine)``: the lease became valid, after a hand-over or an expiry.
    """

    on_held: Callable[[str, int, Callable[[], bool]], None]
    on_lost: Callable[[str], None]
    on_valid: Callable[[str], None]
