"""Chooses the VM that sends a request to an endpoint which this VM does not reach.

The load is that of a whole failure domain that loses its paths at once: the VMs that
are left share it by what each has under way for this one, near ones first, and one that
could not help is passed over for a while, shorter where there is no other.
"""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

PASSED_OVER_S = 1.0
"""How long a VM that could not help is passed over while others may."""
ASKED_AGAIN_S = 0.2
"""How long it is passed over where no other is left: its own paths may be back."""
DRAWN = 2
"""VMs drawn at random, of which the one with less under way is taken."""


@dataclass(frozen=True)
class Helper:
    """A live VM that may send requests for this one."""

    vm_id: str
    is_near: bool


class RelayChoice:
    """Chooses among helpers; no clock."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._under_way: Counter[str] = Counter()
        self._refused_at: dict[tuple[str, str | None], float] = {}

    def choose(
        self, helpers: Iterable[Helper], endpoint_id: str, now: float
    ) -> str | None:
        """Return the VM to ask, None if none is left; ``on_end`` ends its part."""
        self._drop_old(now)
        refused_at = {item: self._last_refusal(item, endpoint_id) for item in helpers}
        fit = [item for item, at in refused_at.items() if at is None]
        if not fit:
            fit = [
                item
                for item, at in refused_at.items()
                if at is not None and now - at >= ASKED_AGAIN_S
            ]
        near = [item for item in fit if item.is_near]
        among = near or fit
        if not among:
            return None
        drawn = self._rng.sample(among, min(DRAWN, len(among)))
        chosen = min(drawn, key=lambda item: self._under_way[item.vm_id])
        self._under_way[chosen.vm_id] += 1
        return chosen.vm_id

    def on_end(self, vm_id: str) -> None:
        """Count a request that a VM no longer has under way."""
        self._under_way[vm_id] -= 1
        if self._under_way[vm_id] <= 0:
            del self._under_way[vm_id]

    def on_refused(self, vm_id: str, endpoint_id: str | None, now: float) -> None:
        """Pass a VM over for an endpoint, or (None) for all, for a while."""
        self._refused_at[vm_id, endpoint_id] = now

    def _last_refusal(self, helper: Helper, endpoint_id: str) -> float | None:
        """Return when a VM last refused to help with this endpoint, or with any."""
        times = [
            self._refused_at[key]
            for key in ((helper.vm_id, endpoint_id), (helper.vm_id, None))
            if key in self._refused_at
        ]
        return max(times, default=None)

    def _drop_old(self, now: float) -> None:
        for key, at in list(self._refused_at.items()):
            if now - at >= PASSED_OVER_S:
                del self._refused_at[key]
