"""The permits of one engine: places in use and pinned adapters.

Guards against granting a place twice, or evicting an adapter in use, after an entry VM
died, became unreachable or broke a stream while the engine still runs the request. A
permit that did not end cleanly *lingers*: it keeps its place and pin until a later view
of the engine no longer lists the request.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bamboovale.decisions.work import EngineView, Permit

RELEASED_RETENTION_S = 10.0
"""Longer than any read of the engine's state takes."""


@dataclass(frozen=True)
class Lingering:
    """A permit whose request may still run; views read earlier prove nothing."""

    permit: Permit
    not_before: float


class PermitBook:
    """Permits, lingering permits and runs without a permit of this holder."""

    def __init__(self) -> None:
        self.permit_by_id: dict[str, Permit] = {}
        self._held_since_by_id: dict[str, float] = {}
        self.lingering_by_id: dict[str, Lingering] = {}
        self.foreign_by_request_id: dict[str, str] = {}
        self._released_at_by_request_id: dict[str, float] = {}
        self._pins: Counter[str] = Counter()

    @property
    def used_places(self) -> int:
        """Return the places that are or may be in use."""
        return (
            len(self.permit_by_id)
            + len(self.lingering_by_id)
            + len(self.foreign_by_request_id)
        )

    def is_pinned(self, lora_name: str) -> bool:
        """Return whether a request that uses the adapter runs or may run."""
        return self._pins[lora_name] > 0

    def holds(self, permit_id: str) -> bool:
        """Return whether the permit's request runs or may run."""
        return permit_id in self.permit_by_id or permit_id in self.lingering_by_id

    def seconds_held(self, permit_id: str, now: float) -> float:
        """Return how long a permit has been held here."""
        return now - self._held_since_by_id.get(permit_id, now)

    def add(self, permit: Permit, now: float) -> None:
        """Add a permit of this holder or one adopted from its predecessor."""
        if permit.permit_id in self.permit_by_id:
            return
        lingering = self.lingering_by_id.pop(permit.permit_id, None)
        if lingering is None:
            self._pins[permit.lora_name] += 1
        self.permit_by_id[permit.permit_id] = permit
        self._held_since_by_id[permit.permit_id] = now
        self._drop_foreign(permit.request_id)

    def release(self, permit_id: str, now: float) -> Permit | None:
        """Remove a permit whose request ended; return None if it is unknown."""
        permit = self.permit_by_id.pop(permit_id, None)
        if permit is None:
            return None
        self._held_since_by_id.pop(permit_id, None)
        self._unpin(permit.lora_name)
        self._released_at_by_request_id[permit.request_id] = now
        return permit

    def linger(self, permit_id: str, not_before: float) -> Permit | None:
        """Keep place and pin until a view shows that the request ended."""
        permit = self.permit_by_id.pop(permit_id, None)
        if permit is not None:
            self._held_since_by_id.pop(permit_id, None)
            self.lingering_by_id[permit_id] = Lingering(permit, not_before)
        return permit

    def linger_of(self, entry_vm: str, not_before: float) -> None:
        """Let all permits of an entry VM linger."""
        for permit in list(self.permit_by_id.values()):
            if permit.entry_vm == entry_vm:
                self.linger(permit.permit_id, not_before)

    def linger_unseen(self, view: EngineView, sent_before: float) -> None:
        """Let permits linger whose release message was lost.

        The run is over if the engine does not list the request, no request waits inside
        the engine, and the request can no longer be sent. Guards against a place and a
        pin that are never freed.
        """
        if view.waiting:
            return
        for permit_id, since in list(self._held_since_by_id.items()):
            request_id = self.permit_by_id[permit_id].request_id
            if since < sent_before and request_id not in view.running_by_request_id:
                self.linger(permit_id, not_before=sent_before)

    def drop_other_boots(self, boot_id: str) -> None:
        """Release permits that were adopted for another boot of the engine."""
        for permit in list(self.permit_by_id.values()):
            if permit.boot_id != boot_id:
                self.release(permit.permit_id, 0.0)

    def apply_view(self, view: EngineView, read_at: float) -> None:
        """Compare the permits with the runs that the engine lists."""
        self._end_lingering(view, read_at)
        known = self._known_request_ids()
        for request_id in list(self.foreign_by_request_id):
            self._drop_foreign(request_id)
        for request_id, lora_name in view.running_by_request_id.items():
            released_at = self._released_at_by_request_id.get(request_id)
            if request_id in known or (released_at and released_at > read_at):
                continue
            self.foreign_by_request_id[request_id] = lora_name
            self._pins[lora_name] += 1
        self._remove_old_released(read_at)

    def clear(self) -> None:
        """Remove all permits: after a restart no earlier request runs."""
        self.permit_by_id.clear()
        self._held_since_by_id.clear()
        self.lingering_by_id.clear()
        self.foreign_by_request_id.clear()
        self._pins.clear()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON."""
        return {
            "permits": len(self.permit_by_id),
            "lingering": sorted(self.lingering_by_id),
            "foreign": dict(self.foreign_by_request_id),
        }

    def _end_lingering(self, view: EngineView, read_at: float) -> None:
        for permit_id, lingering in list(self.lingering_by_id.items()):
            has_ended = lingering.permit.request_id not in view.running_by_request_id
            if has_ended and read_at >= lingering.not_before:
                del self.lingering_by_id[permit_id]
                self._unpin(lingering.permit.lora_name)

    def _known_request_ids(self) -> set[str]:
        permits: Iterable[Permit] = self.permit_by_id.values()
        known = {permit.request_id for permit in permits}
        known.update(
            lingering.permit.request_id for lingering in self.lingering_by_id.values()
        )
        return known

    def _drop_foreign(self, request_id: str) -> None:
        lora_name = self.foreign_by_request_id.pop(request_id, None)
        if lora_name is not None:
            self._unpin(lora_name)

    def _unpin(self, lora_name: str) -> None:
        self._pins[lora_name] -= 1
        if self._pins[lora_name] <= 0:
            del self._pins[lora_name]

    def _remove_old_released(self, read_at: float) -> None:
        for request_id, at in list(self._released_at_by_request_id.items()):
            if at < read_at - RELEASED_RETENTION_S:
                del self._released_at_by_request_id[request_id]
