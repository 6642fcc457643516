"""Which endpoints this VM reaches, by its own connections to them.

A VM may lose its paths to some or all endpoints while callers, the store and other VMs
reach it and the endpoints. One failed connection may be a lost packet: the endpoint is
then in doubt, and no request opens another connection. A second one in a row, or the
loss of all endpoints at once, shows that it is out of reach.

An endpoint out of reach is tried again by connections that carry no request. Once one
is made, requests go there one at a time until the first is answered. What is believed
ends with its evidence.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

FAILURES_NEEDED = 2
"""Failed connections in a row that put one endpoint out of reach."""
CUT_NEEDED = 2
"""Endpoints in doubt or out of reach that show that the VM is cut off from all."""
CUT_AFTER_S = 0.5
"""How long no endpoint has been reached when the VM is cut off from all."""
EVIDENCE_S = 4.0
"""Age of the last failed connection after which the VM counts as in touch."""
TRIAL_PAUSE_S = 1.0
MAX_TRIAL_PAUSE_S = 4.0
"""Pause between trials of one endpoint, doubled where a path fails again at once."""
USE_PAUSE_S = 1.0
"""Pause between requests on a path that no answer has confirmed."""
RELAPSE_S = 5.0
"""A path that fails so soon after it was restored fails again at once."""


class PathUse(Enum):
    """What a request to an endpoint may use."""

    ANY = auto()
    """Any connection of this VM."""
    OPEN_CONNECTION = auto()
    """A connection that is open already, else another VM."""
    OTHER_VM = auto()


@dataclass
class _Path:
    """One endpoint whose last connection failed.

    ``is_connected`` is whether one was made since, ``used_at`` when a request was last
    sent on it.
    """

    failures: int
    failed_at: float
    pause_s: float
    trial_at: float
    is_connected: bool = False
    used_at: float = -math.inf

    def take_use(self, now: float) -> bool:
        """Return whether a request may try a restored path now, and count it."""
        if now - self.used_at < USE_PAUSE_S:
            return False
        self.used_at = now
        return True


class EndpointPaths:
    """The endpoints that are not reached, by id; no clock."""

    def __init__(self, started_at: float) -> None:
        self._path_by_id: dict[str, _Path] = {}
        self._restored: dict[str, tuple[float, float]] = {}
        self._reached_at = started_at

    def on_connected(self, endpoint_id: str) -> None:
        """Apply a new connection."""
        path = self._path_by_id.get(endpoint_id)
        if path is not None:
            path.is_connected = True

    def on_answer(self, endpoint_id: str, now: float) -> bool:
        """Apply an answer on a connection of this VM; return whether it ends a doubt.

        One on a connection that was open before the endpoint was lost shows nothing of
        new ones.
        """
        self._reached_at = now
        path = self._path_by_id.get(endpoint_id)
        if path is None or not path.is_connected:
            return False
        del self._path_by_id[endpoint_id]
        self._restored[endpoint_id] = (now, path.pause_s)
        return True

    def on_failed(self, endpoint_id: str, now: float) -> bool:
        """Apply a connection that failed; return whether it is the first."""
        path = self._path_by_id.get(endpoint_id)
        if path is not None:
            path.failures += 1
            path.failed_at = now
            path.is_connected, path.used_at = False, -math.inf
            return False
        pause_s = TRIAL_PAUSE_S
        restored_at, last_pause_s = self._restored.pop(endpoint_id, (None, 0.0))
        if restored_at is not None and now - restored_at < RELAPSE_S:
            pause_s = min(MAX_TRIAL_PAUSE_S, 2.0 * last_pause_s)
        # The first trial is due at once: it tells a lost packet from a lost path.
        self._path_by_id[endpoint_id] = _Path(1, now, pause_s, now)
        return True

    def forget(self, endpoint_id: str) -> None:
        """Drop an endpoint that is gone."""
        self._path_by_id.pop(endpoint_id, None)
        self._restored.pop(endpoint_id, None)

    def is_in_doubt(self, endpoint_id: str) -> bool:
        """Return whether a connection failed, and no request was answered since."""
        return endpoint_id in self._path_by_id

    def is_out_of_reach(self, endpoint_id: str, now: float) -> bool:
        """Return whether requests cannot be sent to an endpoint from here."""
        path = self._path_by_id.get(endpoint_id)
        if path is None:
            return self.is_cut(now)
        is_lost = path.failures >= FAILURES_NEEDED or self.is_cut(now)
        return is_lost and not path.is_connected

    def choose(self, endpoint_id: str, now: float) -> PathUse:
        """Return what a request may use; counts the use of a restored path."""
        path = self._path_by_id.get(endpoint_id)
        if path is None:
            return PathUse.OTHER_VM if self.is_cut(now) else PathUse.ANY
        if path.is_connected:
            return PathUse.ANY if path.take_use(now) else PathUse.OTHER_VM
        is_lost = self.is_out_of_reach(endpoint_id, now)
        return PathUse.OTHER_VM if is_lost else PathUse.OPEN_CONNECTION

    def is_cut(self, now: float) -> bool:
        """Return whether this VM reaches no endpoint, while it has tried several."""
        failed_at = [
            path.failed_at
            for path in self._path_by_id.values()
            if path.failed_at > self._reached_at and not path.is_connected
        ]
        if len(failed_at) < CUT_NEEDED:
            return False
        is_long = max(failed_at) - self._reached_at >= CUT_AFTER_S
        return is_long and now - max(failed_at) < EVIDENCE_S

    def is_reaching_none(self, now: float) -> bool:
        """Return whether some connection failed and nothing was reached for a while."""
        return bool(self._path_by_id) and now - self._reached_at >= CUT_AFTER_S

    def take_trial(self, endpoint_id: str, now: float) -> bool:
        """Return whether to try an endpoint's path now, and count the trial."""
        path = self._path_by_id.get(endpoint_id)
        if path is None or path.is_connected or now < path.trial_at:
            return False
        path.trial_at = now + path.pause_s
        return True

    def in_doubt_ids(self) -> Collection[str]:
        """Return the endpoints whose last connection failed."""
        return self._path_by_id.keys()

    def dump(self, now: float) -> dict[str, Any]:
        """Return the failed connections by endpoint, with ages in seconds."""
        return {
            "cut": self.is_cut(now),
            "reached_s_ago": round(now - self._reached_at, 2),
            "failures": {
                endpoint_id: {
                    "in_a_row": path.failures,
                    "failed_s_ago": round(now - path.failed_at, 2),
                }
                for endpoint_id, path in self._path_by_id.items()
            },
        }
