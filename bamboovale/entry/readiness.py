"""Whether an entry VM may vouch for what it knows.

Load pattern: the log is silent. Either it is down for everybody, and the last known
catalogue is still in force, because nobody can change it; or this VM alone is cut off
from it, and an edit may be in force elsewhere that this VM has not seen. Without the
distinction a log outage stops all service, or a cut-off VM answers with old versions.

Peers tell the two apart: they say whether the log answers them, and how far they have
read. A VM cut off from the log and from all peers cannot know and stops serving.
"""

from dataclasses import dataclass

STALE_AFTER_S = 5.0
"""The bound on serving an old version while cut off. A change is in force everywhere
within seconds otherwise; shorter, one lost poll and its back-off would stop service."""


@dataclass(frozen=True)
class PeerReport:
    """What one reachable peer says of its own log reading."""

    log_reachable: bool
    catalogue_next_offset: int


@dataclass(frozen=True)
class ReadinessInputs:
    """What is known here; ``log_silent_s`` since the log last answered this VM."""

    catalogue_complete: bool
    vm_list_read: bool
    log_silent_s: float
    catalogue_next_offset: int
    other_entry_vms: int
    peers: tuple[PeerReport, ...]


def may_serve(inputs: ReadinessInputs) -> bool:
    """Tell whether this VM may take requests."""
    if not inputs.catalogue_complete or not inputs.vm_list_read:
        return False
    if inputs.log_silent_s <= STALE_AFTER_S or inputs.other_entry_vms == 0:
        return True
    if not inputs.peers:
        return False
    newest = max(peer.catalogue_next_offset for peer in inputs.peers)
    return inputs.catalogue_next_offset >= newest


def log_is_down(inputs: ReadinessInputs) -> bool:
    """Tell whether a log that does not answer here is down for everybody.

    With no peer in reach the silence may be this VM's alone.
    """
    if inputs.other_entry_vms == 0:
        return True
    return bool(inputs.peers) and not any(peer.log_reachable for peer in inputs.peers)
