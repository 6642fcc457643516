"""The permits of one engine: who may use a place, and which adapters are pinned.

Load pattern: entry VMs that die, fall silent or cut a stream while the engine still
runs the request. Without care its place is given twice, or its adapter is evicted
under it. A permit that did not end cleanly therefore *lingers*: it keeps its place
and pin until a later look at the engine no longer lists the request.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bamboovale.decisions.work import EngineView, Permit

REMEMBER_RELEASED_S = 10.0
"""Longer than any read of the engine's state takes; older reads are given up."""


@dataclass(frozen=True)
class Lingering:
    """A permit whose request may still run; earlier looks prove nothing."""

    permit: Permit
    not_before: float


class PermitBook:
    """Permits, lingering permits and runs that this holder did not permit."""

    def __init__(self) -> None:
        self.permit_by_id: dict[str, Permit] = {}
        self._held_since_by_id: dict[str, float] = {}
        self.lingering_by_id: dict[str, Lingering] = {}
        self.foreign_by_request_id: dict[str, str] = {}
        self._released_at_by_request_id: dict[str, float] = {}
        self._pins: Counter[str] = Counter()

    @property
    def used_places(self) -> int:
        """Return the places taken or possibly taken."""
        return (
            len(self.permit_by_id)
            + len(self.lingering_by_id)
            + len(self.foreign_by_request_id)
        )

    def is_pinned(self, lora_name: str) -> bool:
        """Say whether a request that uses the adapter runs or may run."""
        return self._pins[lora_name] > 0

    def holds(self, permit_id: str) -> bool:
        """Say whether the permit's request runs or may run."""
        return permit_id in self.permit_by_id or permit_id in self.lingering_by_id

    def seconds_held(self, permit_id: str, now: float) -> float:
        """Return how long a permit has been held here."""
        return now - self._held_since_by_id.get(permit_id, now)

    def add(self, permit: Permit, now: float) -> None:
        """Keep a permit given by this holder or adopted from its predecessor."""
        if permit.permit_id in self.permit_by_id:
            return
        lingering = self.lingering_by_id.pop(permit.permit_id, None)
        if lingering is None:
            self._pins[permit.lora_name] += 1
        self.permit_by_id[permit.permit_id] = permit
        self._held_since_by_id[permit.permit_id] = now
        self._drop_foreign(permit.request_id)

    def release(self, permit_id: str, now: float) -> Permit | None:
        """End a permit whose request is over; None if it is not known."""
        permit = self.permit_by_id.pop(permit_id, None)
        if permit is None:
            return None
        self._held_since_by_id.pop(permit_id, None)
        self._unpin(permit.lora_name)
        self._released_at_by_request_id[permit.request_id] = now
        return permit

    def linger(self, permit_id: str, not_before: float) -> Permit | None:
        """Keep place and pin until the engine is seen without the request."""
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
        """End permits whose release was lost with its message.

        The engine does not list the request, nothing waits inside the engine, and
        the time in which it could still have been sent has passed: the run is over.
        Without this a lost message would take a place and a pin for ever.
        """
        if view.waiting:
            return
        for permit_id, since in list(self._held_since_by_id.items()):
            request_id = self.permit_by_id[permit_id].request_id
            if since < sent_before and request_id not in view.running_by_request_id:
                self.linger(permit_id, not_before=sent_before)

    def drop_other_boots(self, boot_id: str) -> None:
        """Drop permits that were adopted before the engine's boot was known."""
        for permit in list(self.permit_by_id.values()):
            if permit.boot_id != boot_id:
                self.release(permit.permit_id, 0.0)

    def apply_view(self, view: EngineView, read_at: float) -> None:
        """Compare with what the engine runs."""
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
        self._forget_released(read_at)

    def clear(self) -> None:
        """Forget all: the engine restarted, so nothing of the old boot runs."""
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
            seen_over = lingering.permit.request_id not in view.running_by_request_id
            if seen_over and read_at >= lingering.not_before:
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

    def _forget_released(self, read_at: float) -> None:
        for request_id, at in list(self._released_at_by_request_id.items()):
            if at < read_at - REMEMBER_RELEASED_S:
                del self._released_at_by_request_id[request_id]
