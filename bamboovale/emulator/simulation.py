"""Discrete-event simulation of entry VMs, engine owners, engines and callers.

The decisions are the real ones; the engines, the network and the callers are models.
As in production, entry VMs choose engines by engine statuses that may be out of date.
"""

import itertools
import math
import random
from collections import Counter
from collections.abc import Generator
from dataclasses import fields
from typing import Any

import simpy

from bamboovale.decisions.engine_choice import EngineChooser
from bamboovale.decisions.mechanisms import ALL_ON, Mechanisms
from bamboovale.decisions.stall_detector import is_pool_stalled
from bamboovale.emulator.caller import CallerRequest, EmulatedEntry
from bamboovale.emulator.engine import EngineModel, SharedStore
from bamboovale.emulator.outcomes import Outcome, Result
from bamboovale.emulator.owner import EmulatedOwner
from bamboovale.emulator.scenario import Fault, RequestKind, Scenario, Tokens

DRAIN_S = 20.0
"""Simulated time after the last arrival, so that streams can end."""


class Simulation:
    """One run of a scenario with one seed."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        mechanisms: Mechanisms = ALL_ON,
    ) -> None:
        self.env = simpy.Environment()
        self.result = Result()
        self._scenario = scenario
        self._deployment = scenario.deployment
        self._mechanisms = mechanisms
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._arrival_factor = 1.0
        self._version_by_adapter: Counter[str] = Counter()
        self._popularity_shift = 0
        self._lost_orders_share = 0.0
        self._store = SharedStore(self._deployment.loads_at_full_speed)
        self._weights = self._cumulative_weights()
        self._engine_by_name: dict[str, EngineModel] = {}
        self._owner_by_name: dict[str, EmulatedOwner] = {}
        self._build_engines()
        self._entries = [
            EmulatedEntry(EngineChooser(mechanisms, random.Random(f"{seed}/{n}")))
            for n in range(self._deployment.entry_vms)
        ]

    def run(self) -> Result:
        """Run to the end; return the outcomes of all requests."""
        for kind in self._scenario.kinds:
            self.env.process(self._arrivals(kind))
        for fault in self._scenario.faults:
            self.env.process(self._run_fault(fault))
        if self._deployment.same_statuses:
            self.env.process(self._publish_status_forever(self._entries, 0.0))
        else:
            for number, entry in enumerate(self._entries):
                phase = number / len(self._entries)
                self.env.process(self._publish_status_forever([entry], phase))
        self.env.run(self._scenario.seconds + DRAIN_S)
        for engine in self._engine_by_name.values():
            for item in fields(engine.counts):
                self.result.counts[item.name] += getattr(engine.counts, item.name)
        return self.result

    # Construction.

    def _build_engines(self) -> None:
        number = 0
        for group in self._deployment.engines:
            for _ in range(group.count):
                name = f"e{number}"
                number += 1
                model = EngineModel(self.env, group.figures, self._store)
                self._engine_by_name[name] = model
                self._add_owner(name)

    def _add_owner(self, name: str) -> None:
        owner = EmulatedOwner(
            self.env,
            name,
            self._engine_by_name[name],
            self._deployment,
            self._mechanisms,
            self._rng,
        )
        owner.lost_orders_share = self._lost_orders_share
        self._owner_by_name[name] = owner

    def _cumulative_weights(self) -> list[float]:
        skew = self._deployment.skew
        weights = ((n + 1) ** -skew for n in range(self._deployment.adapters))
        return list(itertools.accumulate(weights))

    # Engine status.

    def _publish_status_forever(
        self,
        entries: list[EmulatedEntry],
        phase: float,
    ) -> Generator[Any, Any, None]:
        interval_s = self._deployment.load_word_s
        yield self.env.timeout(interval_s * phase)
        whole_every = max(1, round(self._deployment.status_s / interval_s))
        for tick in itertools.count():
            self._update_pool_stalled()
            for name, owner in self._owner_by_name.items():
                snapshot = owner.places.snapshot(self.env.now)
                for entry in entries:
                    entry.on_status(name, snapshot, whole=tick % whole_every == 0)
            live = set(self._owner_by_name)
            for entry in entries:
                entry.chooser.recently_held.update(entry.views(live))
            yield self.env.timeout(interval_s)

    def _update_pool_stalled(self) -> None:
        owners = self._owner_by_name.values()
        stalled = sum(
            owner.places.pacing.stall_detector.is_stalled() for owner in owners
        )
        pool_stalled = is_pool_stalled(stalled, len(owners))
        for owner in owners:
            owner.places.pacing.pool_stalled = pool_stalled

    # Callers.

    def _arrivals(self, kind: RequestKind) -> Generator[Any, Any, None]:
        clump = self._scenario.clump
        while True:
            per_s = kind.per_s * self._arrival_factor / clump
            yield self.env.timeout(self._rng.expovariate(per_s))
            if self.env.now >= self._scenario.seconds:
                return
            for _ in range(self._clump_size()):
                self.env.process(self._request(kind))

    def _clump_size(self) -> int:
        """Draw the size of a group of arrivals, geometric with mean ``clump``."""
        size = 1
        while self._rng.random() < 1.0 - 1.0 / self._scenario.clump:
            size += 1
        return size

    def _request(self, kind: RequestKind) -> Generator[Any, Any, None]:
        outcome = Outcome(kind, self.env.now)
        self.result.outcomes.append(outcome)
        rank = self._rng.choices(
            range(len(self._weights)),
            cum_weights=self._weights,
        )[0]
        adapter = self._adapter(rank)
        prompt = self._draw(kind.prompt) + kind.shared_tokens
        request = CallerRequest(self, outcome, adapter, prompt, self._draw(kind.output))
        yield from request.run(self._rng.choice(self._entries))
        if not outcome.refused:
            return
        # A refused caller retries once, after the delay stated in the refusal.
        yield self.env.timeout(request.retry_after_s)
        if self.env.now < outcome.asked_at + kind.deadline_s:
            outcome.refused = False
            yield from request.run(self._rng.choice(self._entries))

    def _adapter(self, rank: int) -> str:
        return f"a{(rank + self._popularity_shift) % self._deployment.adapters}"

    def _draw(self, tokens: Tokens) -> int:
        if not tokens.spread:
            return min(tokens.most, round(tokens.mean))
        log_mean = math.log(tokens.mean) - tokens.spread**2 / 2
        drawn = self._rng.lognormvariate(log_mean, tokens.spread)
        return max(1, min(tokens.most, round(drawn)))

    # Faults.

    def _run_fault(self, fault: Fault) -> Generator[Any, Any, None]:
        yield self.env.timeout(fault.at)
        names = sorted(self._engine_by_name)
        count = max(1, round(fault.share * len(names)))
        chosen = self._rng.sample(names, count)
        self._start_fault(fault, chosen)
        yield self.env.timeout(fault.for_s)
        self._end_fault(fault, chosen)

    def _start_fault(self, fault: Fault, chosen: list[str]) -> None:
        if fault.kind == "crowd":
            self._arrival_factor *= fault.x
        elif fault.kind == "shift":
            self._popularity_shift += round(fault.x)
        elif fault.kind == "lost_orders":
            self._set_lost_orders(fault.share)
        elif fault.kind == "new_version":
            self._version_by_adapter[self._adapter(round(fault.x))] += 1
        elif fault.kind == "slow":
            for name in chosen:
                self._engine_by_name[name].slowness *= fault.x
        elif fault.kind == "crash":
            for name in chosen:
                self._crash(name)
        elif fault.kind == "owner_lost":
            for name in chosen:
                self._replace_owner(name)

    def _end_fault(self, fault: Fault, chosen: list[str]) -> None:
        if fault.kind == "crowd":
            self._arrival_factor /= fault.x
        elif fault.kind == "lost_orders":
            self._set_lost_orders(0.0)
        elif fault.kind == "slow":
            for name in chosen:
                self._engine_by_name[name].slowness /= fault.x
        elif fault.kind == "crash":
            for name in chosen:
                self._add_owner(name)

    def _set_lost_orders(self, share: float) -> None:
        self._lost_orders_share = share
        for owner in self._owner_by_name.values():
            owner.lost_orders_share = share

    def _crash(self, name: str) -> None:
        owner = self._owner_by_name.pop(name, None)
        if owner is None:
            return
        for entry in self._entries:
            entry.snapshot_by_engine.pop(name, None)
        for run in self._engine_by_name[name].crash():
            run.on_lost()
        owner.stop()

    def _replace_owner(self, name: str) -> None:
        previous = self._owner_by_name[name]
        known = self._entries[0].snapshot_by_engine[name]
        self._add_owner(name)
        self._owner_by_name[name].take_over(previous, known)
        previous.stop()

    def next_number(self) -> int:
        """Return a number that is unique within the simulation."""
        return next(self._numbers)

    def version_of(self, adapter: str) -> int:
        """Return the newest version of an adapter."""
        return 1 + self._version_by_adapter[adapter]

    def owner(self, name: str) -> EmulatedOwner | None:
        """Return the engine's owner, None while the engine is down."""
        return self._owner_by_name.get(name)

    @property
    def hop_s(self) -> float:
        """Return the one-way latency between two VMs."""
        return self._deployment.hop_s

    def live_engines(self) -> set[str]:
        """Return the names of the engines that are up."""
        return set(self._owner_by_name)
