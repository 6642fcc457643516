"""How many requests this VM may have under way at endpoints that are brittle.

A brittle endpoint falls over if it must turn more requests away in a second than the
number it names, over all VMs. The load is that of bursts at a pool whose endpoints let
few requests wait: each VM keeps to its part of the endpoint's slots, has fewer under
way after a rejection, and then sends nothing for so long that all VMs together cause
half of the rejections that the endpoint bears. What does not fit is refused here.
"""

import math
from dataclasses import dataclass

USED_SHARE = 0.5
"""Part of the rejections that an endpoint bears which VMs may cause together."""
MAX_PAUSE_S = 3.0
DECREASE = 0.5
INCREASE_PER_S = 0.25
"""Change of the requests that may be under way, after a rejection and with time."""


@dataclass
class _Brittle:
    """One endpoint that names how many rejections a second it bears."""

    per_s: float
    named_at: float
    paused_until: float = 0.0
    most: float = math.inf
    changed_at: float = 0.0


class BrittleEndpoints:
    """The endpoints that say that they are brittle, by id; no clock."""

    def __init__(self) -> None:
        self._brittle_by_id: dict[str, _Brittle] = {}

    def on_answer(
        self, endpoint_id: str, per_s: float | None, sent_at: float, now: float
    ) -> bool:
        """Apply an answer; return whether it begins or ends the time."""
        known = self._brittle_by_id.get(endpoint_id)
        if per_s is None:
            if known is None or sent_at <= known.named_at:
                return False
            del self._brittle_by_id[endpoint_id]
            return True
        if known is not None:
            known.per_s, known.named_at = per_s, now
            return False
        self._brittle_by_id[endpoint_id] = _Brittle(per_s, now)
        return True

    def on_rejected(
        self, endpoint_id: str, under_way: int, senders: int, now: float
    ) -> None:
        """Apply a rejection for want of room with so many of this VM under way."""
        brittle = self._brittle_by_id.get(endpoint_id)
        if brittle is None:
            return
        brittle.most = max(1.0, DECREASE * min(brittle.most, under_way))
        brittle.changed_at = now
        allowed_per_s = USED_SHARE * brittle.per_s
        pause_s = senders / allowed_per_s if allowed_per_s else math.inf
        brittle.paused_until = now + min(MAX_PAUSE_S, pause_s)

    def wait_s(self, endpoint_id: str, now: float) -> float:
        """Return the seconds until this VM may send to an endpoint again."""
        brittle = self._brittle_by_id.get(endpoint_id)
        return 0.0 if brittle is None else max(0.0, brittle.paused_until - now)

    def most_under_way(
        self, endpoint_id: str, slots: int, senders: int, now: float
    ) -> int | None:
        """Return how many requests of this VM may be under way, None if any number.

        ``slots`` are those of the endpoint, ``senders`` the VMs that send to it.
        """
        brittle = self._brittle_by_id.get(endpoint_id)
        if brittle is None:
            return None
        part = max(1.0, slots / max(1, senders))
        if math.isfinite(brittle.most):
            brittle.most += INCREASE_PER_S * max(0.0, now - brittle.changed_at)
            brittle.changed_at = now
        return int(min(part, brittle.most))

    def brittle_ids(self) -> set[str]:
        """Return the endpoints that say that they are brittle."""
        return set(self._brittle_by_id)

    def forget(self, endpoint_id: str) -> None:
        """Drop an endpoint that is gone."""
        self._brittle_by_id.pop(endpoint_id, None)

    def dump(self, now: float) -> dict[str, dict[str, float | None]]:
        """Return by endpoint what it bears, and for how long nothing is sent there."""
        return {
            endpoint_id: {
                "bears_per_s": brittle.per_s,
                "named_s_ago": round(now - brittle.named_at, 2),
                "most": round(brittle.most, 2) if math.isfinite(brittle.most) else None,
                "pause_s": round(self.wait_s(endpoint_id, now), 2),
            }
            for endpoint_id, brittle in self._brittle_by_id.items()
        }
