"""Measure what parts of an entry VM cost in a large fleet, in microseconds each.

Run with ``python -m bench.vm_speed``, or with the names of some parts. The sizes are
those of ``VMS`` entry VMs before ``ENGINES`` engines. Each figure is the least
processor time of several rounds, as other processes disturb single ones.
"""

import argparse
import itertools
import random
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future
from dataclasses import replace
from functools import partial
from typing import Any

from bamboovale.decisions.engine_choice import EngineChooser
from bamboovale.fleet.messages import Gossip, Member
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.fleet import Fleet
from bamboovale.gateway.messages import (
    EngineLoad,
    EngineLoads,
    EngineStatus,
    EngineStatuses,
)
from bamboovale.gateway.model import EndpointRecord
from bamboovale.peers.frames import FrameKind, decode_frame, encode_frame

VMS = 89
ENGINES = 45
OWNERS = 10
LOADED_ADAPTERS = 8
ROUNDS = 7
ROUND_S = 0.05

Step = Callable[[], Any]


def microseconds(step: Step) -> float:
    """Return the processor time of one step, the least of several rounds."""
    best = float("inf")
    for _ in range(ROUNDS):
        count = 0
        started_at = time.process_time()
        while (spent_s := time.process_time() - started_at) < ROUND_S:
            step()
            count += 1
        best = min(best, spent_s / count)
    return best * 1e6


def member(number: int, revision: int = 2) -> Member:
    """Return the record of an entry VM; the first ``OWNERS`` own all engines."""
    owned = tuple(
        (f"engine-{engine}@1785085360273", 2_600_468_480 + number)
        for engine in range(number, ENGINES, OWNERS)
        if number < OWNERS
    )
    return Member(
        vm_id=f"edge-{'abcd'[number % 4]}-{number}",
        start=1_785_085_357_002,
        revision=revision,
        address=f"10.0.0.{number}",
        peers_port=7060,
        callers_port=8380,
        failure_domain=f"domain-{number % 4}",
        serving=True,
        owned=owned,
        cores=0.516,
        partitions=((number, 7),) if owned else (),
    )


def gossip(members: Sequence[Member]) -> Gossip:
    """Return a message with the records of some VMs."""
    return Gossip(
        digest=2**50 + 7,
        store_count=1234,
        config_version=12,
        first_offset=800,
        next_offset=812,
        watches=True,
        members=tuple(members),
        settled_count=120,
        stamp=2**47 + 5,
        echoes=((2**47 + 1, 310), (2**47 + 2, 44)),
        view_age_ms=812,
    )


def statuses(owner: int) -> tuple[EngineStatus, ...]:
    """Return the status of an owner's engines."""
    rng = random.Random(owner)
    return tuple(
        EngineStatus(
            engine_id=engine_id,
            fence=fence,
            loaded=tuple(
                ("model-7b", f"a{rng.randrange(10_000)}", 1)
                for _ in range(LOADED_ADAPTERS)
            ),
            coming=(),
            models=("model-7b",),
            active=rng.randrange(12),
            places=12,
            queued=0,
            backlog_s=0.112,
            open_slots=0,
            kept=64,
            s_per_token=3.1e-05,
            load_s=0.288,
            cached_load_s=0.04,
            s_per_output_token=0.006,
            run_s=0.31,
        )
        for engine_id, fence in member(owner).owned
    )


def loads(owner: int, active: int = 5) -> tuple[EngineLoad, ...]:
    """Return the load of an owner's engines."""
    return tuple(
        EngineLoad(status.engine_id, active, 1, 0.112, 0) for status in statuses(owner)
    )


def full_fleet() -> Fleet:
    """Return the fleet as the last VM knows it, with all statuses."""
    fleet = Fleet(member(VMS - 1))
    for number in range(VMS - 1):
        fleet.membership.apply(member(number), 0.0)
    for owner in range(OWNERS):
        fleet.on_statuses(member(owner).vm_id, statuses(owner), 0.0)
    return fleet


def message_steps() -> dict[str, Step]:
    """Return steps that encode and decode messages between VMs."""
    message_by_name: dict[str, Any] = {
        "heartbeat": gossip([]),
        "gossip of one owner": gossip([member(0)]),
        "gossip of 88 VMs": gossip([member(number) for number in range(VMS - 1)]),
        "loads of one owner": EngineLoads(loads(0)),
        "statuses of one owner": EngineStatuses(statuses(0)),
    }
    steps: dict[str, Step] = {}
    for name, message in message_by_name.items():
        frame = encode_frame(FrameKind.NOTICE, 0, message)
        steps[f"encode {name}"] = partial(encode_frame, FrameKind.NOTICE, 0, message)
        steps[f"decode {name}"] = partial(decode_frame, frame)
    return steps


def fleet_steps() -> dict[str, Step]:
    """Return steps that apply what other VMs tell."""
    fleet = full_fleet()
    owner_id = member(0).vm_id
    owner_statuses, owner_loads = statuses(0), loads(0)
    plain = member(VMS - 2)

    def change_member() -> None:
        known = fleet.membership.member(plain.vm_id) or plain
        changed = replace(known, revision=known.revision + 1)
        fleet.membership.apply(changed, 0.0)
        fleet.live()

    return {
        "apply loads of one owner": lambda: fleet.on_loads(owner_id, owner_loads, 1.0),
        "apply statuses of one owner": lambda: fleet.on_statuses(
            owner_id, owner_statuses, 1.0
        ),
        "apply a changed record of a VM": change_member,
        "engines held up": fleet.held_up_ids,
    }


def choice_steps() -> dict[str, Step]:
    """Return steps that choose an engine for a request, between two messages."""
    fleet = full_fleet()
    engines = Engines(fleet.membership.own.vm_id, fleet, _NoLinks(), time.monotonic)
    records = [engine_record(s.engine_id) for n in range(OWNERS) for s in statuses(n)]
    chooser = EngineChooser()
    adapters = itertools.cycle(f"a{number}" for number in range(500))

    owner_id, owner_loads = member(0).vm_id, loads(0)

    def choose() -> None:
        candidates = engines.candidates(records)
        chooser.recently_held.update(candidates)
        chooser.choose(("model-7b", next(adapters)), 1, candidates, (), 646)

    def choose_after_loads() -> None:
        fleet.on_loads(owner_id, owner_loads, time.monotonic())
        choose()

    candidates = engines.candidates(records)
    loaded = itertools.cycle(
        (model, adapter)
        for number in range(OWNERS)
        for status in statuses(number)
        for model, adapter, _ in status.loaded
    )
    return {
        "candidates": lambda: engines.candidates(records),
        "choose": lambda: chooser.choose(
            ("model-7b", next(adapters)), 1, candidates, (), 646
        ),
        "choose for loaded adapters": lambda: chooser.choose(
            next(loaded), 1, candidates, (), 646
        ),
        "candidates and choose": choose,
        "the same after loads of one owner": choose_after_loads,
    }


class _NoLinks:
    """Links that send nothing."""

    def request(self, vm_id: str, message: Any, timeout_s: float) -> "Future[Any]":
        """Return a future that is never completed."""
        return Future()

    def notify(self, vm_id: str, message: Any) -> None:
        """Drop a notice."""

    def notify_all(self, vm_ids: Iterable[str], message: Any) -> None:
        """Drop a notice."""


def engine_record(engine_id: str) -> EndpointRecord:
    """Return the record of a model engine."""
    registered_id, _, started_ms = engine_id.partition("@")
    return EndpointRecord(
        registered_id=registered_id,
        service="llm",
        address=("10.0.1.1", 8000),
        failure_domain="domain-0",
        ready=True,
        slots=12,
        started_ms=int(started_ms),
    )


PARTS: dict[str, Callable[[], dict[str, Step]]] = {
    "messages": message_steps,
    "fleet": fleet_steps,
    "choice": choice_steps,
}


def main() -> int:
    """Print the figures of all parts, or of those that are named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", help=", ".join(PARTS))
    for part in parser.parse_args().parts or PARTS:
        for name, step in PARTS[part]().items():
            print(f"{microseconds(step):9.1f} us  {name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
