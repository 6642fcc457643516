"""Measure the processor time of entry VMs as processes, without faults.

Run with ``python -m bench.vm_load``. Prints what a start costs, what a VM costs while
nothing is asked for, and what it costs under load: for the few VMs that callers use
and for the others. Other work on the machine raises the figures.
"""

import argparse
import asyncio
import itertools
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path
from statistics import mean

from bench.slopes import Usage
from bench.soak_callers import Attempt, Caller
from bench.soak_site import SoakSite, VMProcess, running_site

NAMED_SHARE = 0.2
"""Share of the VMs that callers use, as in a large fleet."""
MIN_NAMED = 3
SETTLE_S = 4.0
"""Time after the start until all owners are known, and then without requests."""
SERVICES = 2


async def usages(site: SoakSite) -> dict[str, Usage]:
    """Return the usage of each VM's process."""
    return {
        vm.name: Usage.of_process(vm.process.pid)
        for vm in site.vms
        if vm.process is not None
    }


def mean_cores(
    before: dict[str, Usage], after: dict[str, Usage], names: set[str]
) -> float:
    """Return the mean number of cores that some VMs used between two readings."""
    return mean(after[name].cores_since(before[name]) for name in names)


async def send_requests(
    site: SoakSite, named: list[VMProcess], callers: int, seconds: float
) -> list[Attempt]:
    """Send requests to the named VMs for some seconds; return the attempts."""
    attempts: list[Attempt] = []
    numbers = itertools.count()
    tasks = [
        asyncio.create_task(
            Caller(named, attempts, numbers, random.Random(n), site.keys).run()
        )
        for n in range(callers)
    ]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return attempts


async def measure(options: argparse.Namespace, directory: Path) -> None:
    """Run the deployment and print the figures."""
    async with running_site(directory, options.vms, options.runners, SERVICES) as site:
        started = await usages(site)
        await asyncio.sleep(SETTLE_S)
        settled = await usages(site)
        await asyncio.sleep(SETTLE_S)
        idle = await usages(site)
        named = site.vms[: max(MIN_NAMED, int(NAMED_SHARE * options.vms))]
        attempts = await send_requests(site, named, options.callers, options.seconds)
        loaded = await usages(site)
    names = {vm.name for vm in named}
    others = started.keys() - names
    start_s = mean(usage.cpu_s for usage in started.values())
    named_cores = mean_cores(idle, loaded, names)
    others_cores = mean_cores(idle, loaded, set(others))
    rate = len(attempts) / options.seconds
    per_request_s = len(names) * (named_cores - others_cores) / rate
    print(f"start until ready       {start_s:.3f} s")
    print(f"{SETTLE_S:.0f} s after             ", end="")
    print(f"{mean_cores(started, settled, set(started)):.4f} cores")
    print(f"without requests        {mean_cores(settled, idle, set(idle)):.4f} cores")
    print(f"VMs with callers        {named_cores:.4f} cores")
    print(f"other VMs               {others_cores:.4f} cores")
    print(f"a request, above others {per_request_s * 1000:.2f} ms")
    print(f"{rate:.1f} requests/s, {Counter(a.status for a in attempts)}")


def main() -> int:
    """Measure with the sizes of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=14)
    parser.add_argument("--runners", type=int, default=24)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=15.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="bamboovale-load-") as directory:
        asyncio.run(measure(options, Path(directory)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
