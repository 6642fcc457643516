"""Measure memory and CPU time of claim and lease tables against their sizes.

Run with ``python -m bench.records_slope``; it prints Markdown rows for
``docs/CAPACITY.md``. Each size runs in its own process.
"""

import json
import resource
import subprocess
import sys
import time
from pathlib import Path

from bamboovale.claims.fold import ClaimTable
from bamboovale.claims.records import Claim, encode_items
from bamboovale.leases.fold import LeaseTable
from bamboovale.leases.records import Renewal, Take

CLAIMS = (7_500, 15_000, 30_000, 60_000)
CLAIMS_PER_APPEND = 20
ENGINES = (75, 150, 300, 600)
ENGINES_PER_NODE = 2
RENEWALS = 2_000
MEGABYTE = 1e6


def measure_claims(count: int) -> str:
    """Measure a table of ``count`` claims; return a table row."""
    before = _resident_mb()
    table = ClaimTable()
    size = 0
    spent = 0.0
    for first in range(0, count, CLAIMS_PER_APPEND):
        items = [
            Claim(
                key=f"{number:08d}-7f3c-4b1a-9d20-0242ac120002",
                owner=f"customer-{number % 3000}",
                body_hash=f"{number:032x}",
                node=f"entry-{number % 9}",
                incarnation=f"{number % 9:016x}",
                attempt_id=f"{number:032x}",
            )
            for number in range(first, first + CLAIMS_PER_APPEND)
        ]
        text = json.dumps(encode_items(items))
        size += len(text)
        value = json.loads(text)
        started = time.process_time()
        table.apply(table.next_offset, value, 0.0)
        spent += time.process_time() - started
    state_mb = _resident_mb() - before
    return (
        f"| {count:,} claims | {spent * 1e6 / count:.1f} µs each | {state_mb:.1f} MB | "
        f"{size / count:.0f} bytes read each |"
    )


def measure_leases(engines: int) -> str:
    """Measure a table with a lease per engine; return a table row."""
    table = LeaseTable.empty()
    nodes = engines // ENGINES_PER_NODE
    for engine in range(engines):
        take = Take(f"r{engine}", f"entry-{engine % nodes}/1", f"e-{engine}", -1)
        table.apply(table.next_offset, take.to_json(), 0.0)
    size = 0
    spent = 0.0
    for number in range(RENEWALS):
        node = number % nodes
        fencing_by_engine = {
            f"e-{engine}": engine for engine in range(node, engines, nodes)
        }
        renewal = Renewal(f"{number:032x}", f"entry-{node}/1", fencing_by_engine)
        text = json.dumps(renewal.to_json())
        size += len(text)
        value = json.loads(text)
        started = time.process_time()
        table.apply(table.next_offset, value, 0.0)
        spent += time.process_time() - started
    snapshot_kb = len(json.dumps(table.snapshot("s"))) / 1000
    return (
        f"| {engines} leases, {nodes} nodes "
        f"| {spent * 1e6 / RENEWALS:.1f} µs a renewal "
        f"| {size / RENEWALS:.0f} bytes a renewal | snapshot {snapshot_kb:.1f} kB |"
    )


def main() -> None:
    """Print both tables, or one row if its name and size are given as arguments."""
    if len(sys.argv) == 3:
        measure = {"claims": measure_claims, "leases": measure_leases}[sys.argv[1]]
        print(measure(int(sys.argv[2])))
        return
    rows = [("claims", count) for count in CLAIMS]
    rows += [("leases", count) for count in ENGINES]
    for name, count in rows:
        done = subprocess.run(
            [sys.executable, "-m", "bench.records_slope", name, str(count)],
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parent.parent,
        )
        print(done.stdout.strip(), flush=True)


def _resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / MEGABYTE


if __name__ == "__main__":
    main()
