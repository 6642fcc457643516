"""Measure memory and CPU time of the catalogue against its number of entries.

Run with ``python -m bench.catalogue_slope``; it prints Markdown rows for
``docs/CAPACITY.md``. Each size runs in its own process, so that memory freed by one
size does not affect the next. Generated names compress better than real ones, so the
last column gives the uncompressed size.
"""

import resource
import subprocess
import sys
import time
from hashlib import blake2b
from pathlib import Path
from typing import Any

from bamboovale.catalogue.fold import Catalogue
from bamboovale.catalogue.snapshots import read_snapshot, write_snapshot
from bamboovale.rows import unpack_rows

ADAPTERS = (1_000, 3_000, 9_000, 17_000)
EDITS = (70, 140, 280, 560)
BASE_MODELS = 5
CUSTOMERS = 3_000
MEGABYTE = 1e6
HEADER = (
    "| adapters | fold, s | edits, ms each | state, MB | write snapshot, s | "
    "read snapshot, s | peak, MB | snapshot, MB | rows, MB |"
)


def pool_edit() -> dict[str, Any]:
    """Return an edit that sets one pool per base model."""
    pools = [
        {"kind": "pool", "name": f"pool-{number}", "base_model": f"base-{number}"}
        for number in range(BASE_MODELS)
    ]
    return _edit("edit-pools", pools)


def adapter_edit(number: int, version: int) -> dict[str, Any]:
    """Return an edit that sets one adapter with an incompressible source."""
    noise = blake2b(f"{number}/{version}".encode(), digest_size=20).hexdigest()
    adapter = {
        "kind": "adapter",
        "name": f"agency-{number:05d}-{noise[:6]}",
        "version": str(version),
        "source": f"adapters/{noise}",
        "base_model": f"base-{number % BASE_MODELS}",
        "pool": f"pool-{number % BASE_MODELS}",
        "owner": f"customer-{number % CUSTOMERS}",
    }
    return _edit(f"edit-{number:06d}-{version}", [adapter])


def measure_size(adapters: int, edits: int) -> str:
    """Measure a catalogue of ``adapters`` and further ``edits``; return a table row."""
    before = _resident_mb()
    catalogue = Catalogue.empty()
    catalogue.apply(0, pool_edit())
    started = time.process_time()
    for number in range(adapters):
        catalogue.apply(number + 1, adapter_edit(number, 1))
    fold_s = time.process_time() - started
    started = time.process_time()
    for number in range(edits):
        # As in production, each edit follows a read of the current view.
        catalogue.view()
        offset = catalogue.next_offset
        catalogue.apply(offset, adapter_edit(number % adapters, 2 + number))
    edit_ms = (time.process_time() - started) * 1000 / max(1, edits)
    state_mb = _resident_mb() - before
    started = time.process_time()
    value = write_snapshot(catalogue)
    write_s = time.process_time() - started
    started = time.process_time()
    restored = read_snapshot(value)
    read_s = time.process_time() - started
    if restored.revision != catalogue.revision or restored.digest != catalogue.digest:
        raise AssertionError("the snapshot does not restore the same state")
    rows_mb = sum(len(str(row)) for row in unpack_rows(value["data"])) / MEGABYTE
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return (
        f"| {adapters:,} + {edits} | {fold_s:.2f} | {edit_ms:.2f} | {state_mb:.1f} | "
        f"{write_s:.2f} | {read_s:.2f} | {peak_mb:.0f} | "
        f"{len(value['data']) / MEGABYTE:.2f} | {rows_mb:.1f} |"
    )


def main() -> None:
    """Print the table, or one row if adapters and edits are given as arguments."""
    if len(sys.argv) == 3:
        print(measure_size(int(sys.argv[1]), int(sys.argv[2])))
        return
    print(HEADER)
    print("|" + "---|" * (HEADER.count("|") - 1))
    sizes = [(adapters, 280) for adapters in ADAPTERS]
    sizes += [(ADAPTERS[-1], edits) for edits in EDITS if edits != 280]
    for adapters, edits in sizes:
        command = [sys.executable, "-m", "bench.catalogue_slope"]
        done = subprocess.run(
            [*command, str(adapters), str(edits)],
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parent.parent,
        )
        print(done.stdout.strip(), flush=True)


def _edit(edit_id: str, entries: list[dict[str, Any]]) -> dict[str, Any]:
    changes = [
        {
            "action": "set",
            "kind": entry["kind"],
            "name": entry["name"],
            "entry": entry,
            "base_revision": None,
        }
        for entry in entries
    ]
    return {
        "type": "edit",
        "edit_id": edit_id,
        "author": "operator",
        "made_at": 1.0,
        "changes": changes,
    }


def _resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / MEGABYTE


if __name__ == "__main__":
    main()
