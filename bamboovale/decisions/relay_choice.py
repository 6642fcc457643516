"""Chooses the VM that sends a request to an endpoint which this VM does not reach.

The load is that of a whole failure domain that loses its paths at once: the VMs that
are left share it by what each has under way for this one, near ones first, and one that
could not help is passed over for a while.
"""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

PASSED_OVER_S = 1.0
"""How long a VM that could not help is passed over."""
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
        self._passed_over_until: dict[tuple[str, str | None], float] = {}

    def choose(
        self, helpers: Iterable[Helper], endpoint_id: str, now: float
    ) -> str | None:
        """Return the VM to ask, None if none is left; ``on_end`` ends its part."""
        self._drop_old(now)
        fit = [item for item in helpers if self._is_fit(item.vm_id, endpoint_id)]
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
        self._passed_over_until[vm_id, endpoint_id] = now + PASSED_OVER_S

    def _is_fit(self, vm_id: str, endpoint_id: str) -> bool:
        return not {(vm_id, endpoint_id), (vm_id, None)} & (
            self._passed_over_until.keys()
        )

    def _drop_old(self, now: float) -> None:
        for key, until in list(self._passed_over_until.items()):
            if until <= now:
                del self._passed_over_until[key]
