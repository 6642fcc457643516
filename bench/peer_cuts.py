"""Cuts the links between entry VMs, one way or both, with relays before their ports.

A relay in front of each entry VM's peer port knows the source of a link. Bytes that
an entry VM cannot send are dropped at its peers' relays on links that it opened, and
at its own relay on links that its peers opened.
"""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from bench.members import EntryVM, StandIn


class CutWay(StrEnum):
    """Direction in which an entry VM is cut from all its peers."""

    SENDS_NOTHING = "sends nothing"
    HEARS_NOTHING = "hears nothing"
    BOTH = "both ways"


CUTS_SENDING = frozenset({CutWay.SENDS_NOTHING, CutWay.BOTH})
CUTS_RECEIVING = frozenset({CutWay.HEARS_NOTHING, CutWay.BOTH})


@dataclass
class PeerCuts:
    """The active cuts, from which the rules of all relays are derived."""

    relay_by_entry_id: dict[str, StandIn] = field(default_factory=dict)
    way_by_entry_id: dict[str, CutWay] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def change(
        self,
        entry_id: str,
        way: CutWay | None,
        entry_by_id: Mapping[str, EntryVM],
    ) -> None:
        """Cut an entry VM from its peers; None restores its links."""
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
        """Return the rules of the relay in front of this entry VM."""
        others = [entry for entry in entries if entry.id != entry_id]
        own = self.way_by_entry_id.get(entry_id)
        to_target = [
            entry.address
            for entry in others
            if own in CUTS_RECEIVING or self._way(entry) in CUTS_SENDING
        ]
        to_source = [
            entry.address
            for entry in others
            if own in CUTS_SENDING or self._way(entry) in CUTS_RECEIVING
        ]
        return {
            "drop_to_target": to_target or None,
            "drop_to_source": to_source or None,
        }

    def _way(self, entry: EntryVM) -> CutWay | None:
        return self.way_by_entry_id.get(entry.id)
