"""Cuts of the links between entry VMs, one way and both, by relays before their ports.

A relay stands before each entry VM's port for peers and knows where a link comes
from. What an entry VM cannot send is dropped at its peers' relays on the way in, and
at its own relay on the way out.
"""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from bench.members import EntryVM, StandIn


class CutWay(StrEnum):
    """Which way an entry VM is cut from all its peers."""

    SENDS_NOTHING = "sends nothing"
    HEARS_NOTHING = "hears nothing"
    BOTH = "both ways"


CUTS_SENDING = frozenset({CutWay.SENDS_NOTHING, CutWay.BOTH})
CUTS_HEARING = frozenset({CutWay.HEARS_NOTHING, CutWay.BOTH})


@dataclass
class PeerCuts:
    """The cuts that are on; the rules of all relays follow from them."""

    relay_by_entry_id: dict[str, StandIn] = field(default_factory=dict)
    way_by_entry_id: dict[str, CutWay] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def change(
        self,
        entry_id: str,
        way: CutWay | None,
        entry_by_id: Mapping[str, EntryVM],
    ) -> None:
        """Cut an entry VM from its peers, or (None) link it again."""
        with self._lock:
            if way is None:
                self.way_by_entry_id.pop(entry_id, None)
            else:
                self.way_by_entry_id[entry_id] = way
            self._apply(entry_by_id)

    def _apply(self, entry_by_id: Mapping[str, EntryVM]) -> None:
        for entry_id, relay in self.relay_by_entry_id.items():
            if relay.process.is_running:
                relay.set_faults(**self._rules(entry_id, entry_by_id.values()))

    def _rules(self, entry_id: str, entries: Iterable[EntryVM]) -> dict[str, Any]:
        """Return the rules of the relay that links *to* this entry VM pass."""
        others = [entry for entry in entries if entry.id != entry_id]
        own = self.way_by_entry_id.get(entry_id)
        to_target = [
            entry.address
            for entry in others
            if own in CUTS_HEARING or self._way(entry) in CUTS_SENDING
        ]
        to_source = [
            entry.address
            for entry in others
            if own in CUTS_SENDING or self._way(entry) in CUTS_HEARING
        ]
        return {
            "drop_to_target": to_target or None,
            "drop_to_source": to_source or None,
        }

    def _way(self, entry: EntryVM) -> CutWay | None:
        return self.way_by_entry_id.get(entry.id)
