"""Whether an entry VM may serve with the catalogue it has.

If the log does not answer, either it is down for all VMs, and the last known catalogue
cannot change; or it is unreachable only from this VM, which may miss an edit. Without
the distinction, a log outage stops all service or a partitioned VM serves old versions.

Peers report whether they reach the log and how far they have read it. A VM that reaches
neither the log nor a peer stops serving.
"""

from dataclasses import dataclass

STALE_AFTER_S = 5.0
"""Bounds how long a partitioned VM serves an old version; covers a lost poll and its
back-off."""


@dataclass(frozen=True)
class PeerReport:
    """A reachable peer's report on its reading of the log."""

    log_reachable: bool
    catalogue_next_offset: int


@dataclass(frozen=True)
class ReadinessInputs:
    """State of this VM; ``log_silent_s`` is the time since the log last answered."""

    catalogue_complete: bool
    vm_list_read: bool
    log_silent_s: float
    catalogue_next_offset: int
    other_entry_vms: int
    peers: tuple[PeerReport, ...]


def may_serve(inputs: ReadinessInputs) -> bool:
    """Return whether this VM may serve requests."""
    if not inputs.catalogue_complete or not inputs.vm_list_read:
        return False
    if inputs.log_silent_s <= STALE_AFTER_S or inputs.other_entry_vms == 0:
        return True
    if not inputs.peers:
        return False
    newest = max(peer.catalogue_next_offset for peer in inputs.peers)
    return inputs.catalogue_next_offset >= newest


def log_is_down(inputs: ReadinessInputs) -> bool:
    """Return whether a log that does not answer here is down for all VMs.

    Without a reachable peer, the log may be unreachable only from here.
    """
    if inputs.other_entry_vms == 0:
        return True
    return bool(inputs.peers) and not any(peer.log_reachable for peer in inputs.peers)
