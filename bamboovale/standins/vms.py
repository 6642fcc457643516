"""Stand-in of the platform's VM list; changes become visible after a lag."""

import os
import threading
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

from bamboovale.models import VMKind, VMState
from bamboovale.standins.faults import Faults
from bamboovale.standins.history import History
from bamboovale.standins.messages import Answer, Request
from bamboovale.standins.server import StandInServer

FAULTS = ("lag_s", "stale")
# Bounds the list history; older lists than the lag are not returned.
LISTS_KEPT = 10_000


@dataclass(frozen=True)
class VMList:
    """The list as of ``time`` (monotonic seconds)."""

    version: int
    time: float
    row_by_id: dict[str, dict[str, Any]]

    def to_json(self) -> dict[str, Any]:
        """Return the list as the VM list service answers it."""
        return {"version": self.version, "vms": list(self.row_by_id.values())}


def normalize_row(vm_id: str, row: dict[str, Any]) -> dict[str, Any]:
    """Fill in a row's defaults; raise ValueError for an unknown kind or state."""
    return {
        "id": vm_id,
        "kind": VMKind(row["kind"]).value,
        "address": str(row["address"]),
        "ports": {use: int(port) for use, port in row.get("ports", {}).items()},
        "failure_domain": row.get("failure_domain", ""),
        "region": row.get("region", ""),
        "pool": row.get("pool", ""),
        "state": VMState(row.get("state", VMState.LIVE)).value,
    }


class VMListStandIn:
    """The VM list and its history, answered with a lag or frozen."""

    def __init__(self, lag_s: float, faults: Faults, history: History) -> None:
        self._lag_s = lag_s
        # Makes the ETags of a restarted list differ from earlier ones.
        self._start_id = os.urandom(4).hex()
        self._faults = faults
        self._history = history
        self._lock = threading.Lock()
        self._lists = deque([VMList(0, 0.0, {})], maxlen=LISTS_KEPT)
        self._stale: VMList | None = None
        faults.add_listener(self._freeze)

    def answer(self, request: Request) -> Answer:
        """Return the list, or change a row."""
        if request.path == "/vms" and request.method == "GET":
            return self._show(request)
        prefix, _, vm_id = request.path.rpartition("/")
        if prefix != "/vms" or not vm_id:
            return Answer.error(404, "not_found")
        if request.method == "PUT":
            row = normalize_row(vm_id, request.json())
            return self._change(vm_id, row)
        if request.method == "DELETE":
            return self._change(vm_id, None)
        return Answer.error(405, "method_not_allowed")

    def _show(self, request: Request) -> Answer:
        """Return the list, or 304 if the caller has this version."""
        shown = self._shown()
        etag = f'"{self._start_id}-{shown.version}"'
        headers = {"ETag": etag}
        if request.headers.get("if-none-match") == etag:
            return Answer(304, body=b"", headers=headers)
        return Answer(body=shown.to_json(), headers=headers)

    def _change(self, vm_id: str, row: dict[str, Any] | None) -> Answer:
        with self._lock:
            newest = self._lists[-1]
            row_by_id = dict(newest.row_by_id)
            if row is None:
                row_by_id.pop(vm_id, None)
            else:
                row_by_id[vm_id] = row
            changed = VMList(newest.version + 1, time.monotonic(), row_by_id)
            self._lists.append(changed)
            self._history.record("change", id=vm_id, row=row, version=changed.version)
        return Answer(body={"version": changed.version})

    def _shown(self) -> VMList:
        with self._lock:
            return self._stale or self._as_of(time.monotonic() - self._lag())

    def _lag(self) -> float:
        return float(self._faults.get("lag_s", self._lag_s))

    def _as_of(self, moment: float) -> VMList:
        for candidate in reversed(self._lists):
            if candidate.time <= moment:
                return candidate
        return self._lists[0]

    def _freeze(self, changes: Any) -> None:
        if "stale" not in changes:
            return
        shown = self._shown()
        with self._lock:
            self._stale = shown if changes["stale"] else None


def create_server(listen: str, lag_s: float = 0.5) -> StandInServer:
    """Return a VM list that listens on ``listen`` once started."""
    faults = Faults(FAULTS)
    history = History()
    vms = VMListStandIn(lag_s, faults, history)
    return StandInServer(listen, vms.answer, faults, history)
