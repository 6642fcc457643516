"""Operators of a bench run: publish, edit and read back catalogue entries."""

import itertools
import time
from collections.abc import Iterable
from typing import Any

from urllib3.exceptions import HTTPError

from bench.cluster import Cluster
from bench.history import Edit, StateRead
from bench.members import BASE_MODEL, ENGINE_POOL, SERVICE_POOL, EntryVM
from bench.processes import poll_until_timeout

ADAPTERS = (
    "lesson-summaries",
    "practice-sets",
    "pupil-files",
    "listing-copy",
    "lot-comparisons",
    "menu-fits",
)
SERVICES = ("bookings", "slots")
LOAD_SECONDS = 0.3
FIRST_VERSION = "1"
AUTHOR = "operator-1"
EVERYWHERE_TIMEOUT_S = 20.0
BAD_REQUEST = 400
CONFLICT = 412


def build_adapter(name: str, version: str = FIRST_VERSION) -> dict[str, Any]:
    """Return the catalogue entry of an adapter."""
    return {
        "kind": "adapter",
        "name": name,
        "adapter": name,
        "version": version,
        "source": f"{name}/{version}",
        "base_model": BASE_MODEL,
        "pool": ENGINE_POOL,
        "owner": f"owner-of-{name}",
        "class": "interactive",
        "limits": {"requests_per_s": 10_000, "concurrency": 1_000},
    }


def build_catalogue(adapters: Iterable[str] = ADAPTERS) -> list[dict[str, Any]]:
    """Return the initial entries of a bench run."""
    pool = {
        "kind": "pool",
        "name": ENGINE_POOL,
        "base_model": BASE_MODEL,
        "checks_fencing": False,
        "load_seconds": LOAD_SECONDS,
    }
    services = [
        {
            "kind": "service",
            "name": name,
            "pool": SERVICE_POOL,
            "owner": f"owner-of-{name}",
            "limits": {"requests_per_s": 10_000, "concurrency": 1_000},
        }
        for name in SERVICES
    ]
    return [pool, *(build_adapter(name) for name in adapters), *services]


class Operator:
    """Edits the catalogue of a cluster and records every edit with its outcome."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._numbers = itertools.count(1)

    def publish(self, entries: list[dict[str, Any]]) -> None:
        """Publish entries with the command line, as one edit; raises RuntimeError."""
        path = self._cluster.write_catalogue(entries)
        sent_at = time.time()
        done = self._cluster.run_catalogue("apply", str(path))
        if done.returncode != 0:
            raise RuntimeError(f"catalogue apply failed: {done.stdout}{done.stderr}")
        revision = self.read_revision(self._cluster.live_entries()[0])
        self._record(entries, sent_at, accepted=True, revision=revision)

    def set_version(
        self,
        name: str,
        version: str,
        through: EntryVM | None = None,
        if_match: int | None = None,
    ) -> bool | None:
        """Change an adapter's version; return whether it was accepted, if known."""
        entry = build_adapter(name, version)
        entry_vm = through or self._cluster.live_entries()[0]
        sent_at = time.time()
        headers = {"X-Author": AUTHOR}
        if if_match is not None:
            headers["If-Match"] = f'"{if_match}"'
        try:
            status, answer = entry_vm.ask_admin(
                "PUT",
                f"/admin/v1/entries/adapter/{name}",
                entry,
                headers,
            )
        except HTTPError:
            status, answer = 0, None
        accepted = _is_accepted(status, answer)
        revision = int((answer or {}).get("revision", -1)) if accepted else -1
        self._record([entry], sent_at, accepted=accepted, revision=revision)
        return accepted

    def read_entry_revision(self, name: str) -> int:
        """Return the revision of an adapter's entry, for If-Match."""
        entry_vm = self._cluster.live_entries()[0]
        status, answer = entry_vm.ask_admin("GET", f"/admin/v1/entries/adapter/{name}")
        if status != 200:
            raise RuntimeError(f"cannot read entry {name}: {status} {answer}")
        return int(answer["revision"])

    def read_revision(self, entry: EntryVM) -> int:
        """Return the catalogue revision that an entry VM holds."""
        status, answer = entry.ask_admin("GET", "/admin/v1/revision")
        if status != 200:
            raise RuntimeError(f"{entry.id} returned no revision: {status} {answer}")
        return int(answer["revision"])

    def read_holders(self) -> dict[str, str]:
        """Return the entry VM that holds each engine's lease, by engine."""
        _, state = self._cluster.live_entries()[0].ask_admin("GET", "/admin/v1/state")
        holders = state["leases"]["holder_by_engine"]
        return {engine: vm for engine, vm in holders.items() if engine[0] != "@"}

    def read_state(self, entry: EntryVM, *, final: bool = False) -> StateRead | None:
        """Record an entry VM's catalogue; return None if it changed meanwhile.

        The recorded time is the start of the read: later edits are not yet due.
        """
        at = time.time()
        try:
            before = self.read_revision(entry)
            status, answer = entry.ask_admin("GET", "/admin/v1/entries?kind=adapter")
            if status != 200 or self.read_revision(entry) != before:
                return None
        except (HTTPError, RuntimeError):
            return None
        held = {
            row["name"]: f"{row['adapter']}@{row['version']}"
            for row in answer["entries"]
        }
        read = StateRead(at, entry.id, entry.incarnation, before, held, final)
        self._cluster.recorder.record(read)
        return read

    def wait_until_everywhere(
        self,
        revision: int,
        timeout_s: float = EVERYWHERE_TIMEOUT_S,
    ) -> float:
        """Wait until all live entry VMs hold a revision; return the seconds it took."""
        for waited in poll_until_timeout(
            timeout_s, f"revision {revision} is not on all entry VMs"
        ):
            entries = self._cluster.live_entries()
            if all(self.read_revision(entry) >= revision for entry in entries):
                return waited
        raise AssertionError("unreachable")

    def _record(
        self,
        entries: Iterable[dict[str, Any]],
        sent_at: float,
        *,
        accepted: bool | None,
        revision: int,
    ) -> None:
        at = time.time()
        edit_id = f"edit-{next(self._numbers)}"
        for entry in entries:
            if entry["kind"] == "adapter":
                edit = Edit(
                    at,
                    sent_at=sent_at,
                    entry=entry["name"],
                    lora_name=f"{entry['adapter']}@{entry['version']}",
                    accepted=accepted,
                    revision=revision,
                    edit_id=edit_id,
                )
                self._cluster.recorder.record(edit)


def _is_accepted(status: int, answer: Any) -> bool | None:
    """Tell whether an edit was accepted; None if unknown."""
    if 200 <= status < 300:
        return True
    error = (answer or {}).get("error", {}) if isinstance(answer, dict) else {}
    if status == BAD_REQUEST:
        raise ValueError(f"invalid catalogue edit: {answer}")
    if status == CONFLICT or error.get("not_run"):
        return False
    return None
