"""One play: entry VMs choose and ask, owners decide, engines run, callers judge.

The decisions are the real ones, unchanged; only what they act on is a model. Entry VMs
know the engines by words that are some tenths of a second old, as in operation.
"""

import itertools
import math
import random
from collections import Counter
from collections.abc import Generator
from dataclasses import dataclass, field, fields, replace
from typing import Any

import simpy

from bamboovale.decisions.engine_choice import EngineChooser, EngineView
from bamboovale.decisions.mechanisms import ALL_ON, Mechanisms
from bamboovale.decisions.place_work import EngineOutlook, Grant, PlaceAsk, Refuse
from bamboovale.emulator.engine import EngineModel, EngineRun, SharedStore
from bamboovale.emulator.outcomes import Outcome, Result
from bamboovale.emulator.owner import MODEL, EmulatedOwner
from bamboovale.emulator.scenario import Fault, RequestKind, Scenario, Tokens

MOST_TRIES = 4
RUN_LEAST_S = 0.4
GAP_LEAST_S = 2.0
GAP_GOALS = 4.0
GAP_PAUSES = 8.0
"""As entry VMs of the routed interface do."""
HELD_UP_LEAST = 2
HELD_UP_SHARE = 0.2
"""As owners of the routed interface take a pool for held up."""
AFTER_S = 20.0
"""Played on after the last request, so that streams can end."""


@dataclass
class EmulatedEntry:
    """An entry VM: what it was told, and what it has sent since."""

    chooser: EngineChooser
    outlook_by_engine: dict[str, EngineOutlook] = field(default_factory=dict)
    tokens_by_engine: Counter[str] = field(default_factory=Counter)
    loads_by_engine: Counter[str] = field(default_factory=Counter)

    def views(self, live: set[str]) -> dict[str, EngineView]:
        """Return what it believes of the engines that live."""
        return {
            name: EngineView(
                name,
                outlook,
                "owner",
                self.tokens_by_engine[name],
                self.loads_by_engine[name],
            )
            for name, outlook in self.outlook_by_engine.items()
            if name in live
        }

    def hear(self, name: str, outlook: EngineOutlook, *, whole: bool) -> None:
        """Take an owner's word; only a ``whole`` one tells which adapters are there."""
        known = self.outlook_by_engine.get(name)
        if known is not None and not whole:
            outlook = replace(outlook, loaded=known.loaded, coming=known.coming)
        self.outlook_by_engine[name] = outlook
        self.tokens_by_engine[name] = 0
        self.loads_by_engine[name] = 0


class Play:
    """One play of a scenario with one seed; ``run`` returns what callers got."""

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
        self._crowd = 1.0
        self._shifted = 0
        self._lost_orders = 0.0
        self._store = SharedStore(self._deployment.loads_at_full_speed)
        self._weights = self._popularity()
        self._engine_by_name: dict[str, EngineModel] = {}
        self._owner_by_name: dict[str, EmulatedOwner] = {}
        self._build_engines()
        self._entries = [
            EmulatedEntry(EngineChooser(mechanisms))
            for _ in range(self._deployment.entry_vms)
        ]

    def run(self) -> Result:
        """Play to the end."""
        for kind in self._scenario.kinds:
            self.env.process(self._arrivals(kind))
        for fault in self._scenario.faults:
            self.env.process(self._fault(fault))
        for number, entry in enumerate(self._entries):
            self.env.process(self._tell_forever(entry, number))
        self.env.run(self._scenario.seconds + AFTER_S)
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
                self._own(name)

    def _own(self, name: str) -> None:
        owner = EmulatedOwner(
            self.env,
            name,
            self._engine_by_name[name],
            self._deployment,
            self._mechanisms,
            self._rng,
        )
        owner.lost_orders_share = self._lost_orders
        self._owner_by_name[name] = owner

    def _popularity(self) -> list[float]:
        skew = self._deployment.skew
        weights = ((n + 1) ** -skew for n in range(self._deployment.adapters))
        return list(itertools.accumulate(weights))

    # Words on load.

    def _tell_forever(
        self,
        entry: EmulatedEntry,
        number: int,
    ) -> Generator[Any, Any, None]:
        interval_s = self._deployment.load_word_s
        yield self.env.timeout(interval_s * number / len(self._entries))
        whole_every = max(1, round(self._deployment.status_s / interval_s))
        for turn in itertools.count():
            self._note_held_up()
            for name, owner in self._owner_by_name.items():
                outlook = owner.places.outlook(self.env.now)
                entry.hear(name, outlook, whole=turn % whole_every == 0)
            entry.chooser.held_lately.see(entry.views(set(self._owner_by_name)))
            yield self.env.timeout(interval_s)

    def _note_held_up(self) -> None:
        owners = self._owner_by_name.values()
        held_up = sum(owner.places.pacing.evidence.is_held_up() for owner in owners)
        many = held_up >= max(HELD_UP_LEAST, HELD_UP_SHARE * len(owners))
        for owner in owners:
            owner.places.pacing.pool_held_up = many

    # Callers.

    def _arrivals(self, kind: RequestKind) -> Generator[Any, Any, None]:
        clump = self._scenario.clump
        while True:
            per_s = kind.per_s * self._crowd / clump
            yield self.env.timeout(self._rng.expovariate(per_s))
            if self.env.now >= self._scenario.seconds:
                return
            for _ in range(self._clump_size()):
                self.env.process(self._request(kind))

    def _clump_size(self) -> int:
        """Draw how many come together: a geometric number around the mean."""
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
        adapter = f"a{(rank + self._shifted) % self._deployment.adapters}"
        prompt = self._draw(kind.prompt) + kind.shared_tokens
        request = _Request(self, outcome, adapter, prompt, self._draw(kind.output))
        yield from request.run(self._rng.choice(self._entries))
        if not outcome.refused:
            return
        # Refused once, a caller comes back when it was told to.
        yield self.env.timeout(request.retry_after_s)
        if self.env.now < outcome.asked_at + kind.deadline_s:
            outcome.refused = False
            yield from request.run(self._rng.choice(self._entries))

    def _draw(self, tokens: Tokens) -> int:
        if not tokens.spread:
            return min(tokens.most, round(tokens.mean))
        middle = math.log(tokens.mean) - tokens.spread**2 / 2
        drawn = self._rng.lognormvariate(middle, tokens.spread)
        return max(1, min(tokens.most, round(drawn)))

    # Faults.

    def _fault(self, fault: Fault) -> Generator[Any, Any, None]:
        yield self.env.timeout(fault.at)
        names = sorted(self._engine_by_name)
        count = max(1, round(fault.share * len(names)))
        chosen = self._rng.sample(names, count)
        self._begin(fault, chosen)
        yield self.env.timeout(fault.for_s)
        self._end(fault, chosen)

    def _begin(self, fault: Fault, chosen: list[str]) -> None:
        if fault.kind == "crowd":
            self._crowd *= fault.x
        elif fault.kind == "shift":
            self._shifted += round(fault.x)
        elif fault.kind == "lost_orders":
            self._set_lost_orders(fault.share)
        elif fault.kind == "slow":
            for name in chosen:
                self._engine_by_name[name].slowness *= fault.x
        elif fault.kind == "crash":
            for name in chosen:
                self._crash(name)

    def _end(self, fault: Fault, chosen: list[str]) -> None:
        if fault.kind == "crowd":
            self._crowd /= fault.x
        elif fault.kind == "lost_orders":
            self._set_lost_orders(0.0)
        elif fault.kind == "slow":
            for name in chosen:
                self._engine_by_name[name].slowness /= fault.x
        elif fault.kind == "crash":
            for name in chosen:
                self._own(name)

    def _set_lost_orders(self, share: float) -> None:
        self._lost_orders = share
        for owner in self._owner_by_name.values():
            owner.lost_orders_share = share

    def _crash(self, name: str) -> None:
        owner = self._owner_by_name.pop(name, None)
        if owner is None:
            return
        for entry in self._entries:
            entry.outlook_by_engine.pop(name, None)
        for run in self._engine_by_name[name].crash():
            run.on_lost()
        owner.stop()

    def next_number(self) -> int:
        """Return a number that no other ask has."""
        return next(self._numbers)

    def owner(self, name: str) -> EmulatedOwner | None:
        """Return an engine's owner while the engine lives."""
        return self._owner_by_name.get(name)

    @property
    def hop_s(self) -> float:
        """Return the time from one VM to another, one way."""
        return self._deployment.hop_s

    def live_engines(self) -> set[str]:
        """Return the engines that live."""
        return set(self._owner_by_name)


class _Request:
    """One request of a caller on its way."""

    def __init__(
        self,
        play: Play,
        outcome: Outcome,
        adapter: str,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        self.retry_after_s = 0.3
        self._play = play
        self._env = play.env
        self._outcome = outcome
        self._kind = outcome.kind
        self._key = (MODEL, adapter)
        self._prompt_tokens = prompt_tokens
        self._output_tokens = output_tokens

    def run(self, entry: EmulatedEntry) -> Generator[Any, Any, None]:
        """Try to be served."""
        asked_at = self._env.now
        for _ in range(MOST_TRIES):
            views = entry.views(self._play.live_engines())
            tokens = self._prompt_tokens
            name = entry.chooser.choose(self._key, 1, views, prompt_tokens=tokens)
            if name is None:
                break
            entry.tokens_by_engine[name] += self._prompt_tokens
            entry.loads_by_engine[name] += not views[name].holds(self._key, 1)
            decision = yield from self._ask(name, asked_at)
            if isinstance(decision, Refuse):
                self.retry_after_s = decision.retry_after_s
                break
            if decision is None:
                continue
            taken = yield from self._stream(name, decision)
            if taken:
                return
        self._outcome.refused = self._outcome.first_s is None

    def _ask(
        self,
        name: str,
        asked_at: float,
    ) -> Generator[Any, Any, Grant | Refuse | None]:
        owner = self._play.owner(name)
        if owner is None:
            return None
        yield self._env.timeout(self._play.hop_s)
        answered = self._env.event()
        owner.ask(self._place_ask(asked_at), answered.succeed)
        decision = yield answered
        yield self._env.timeout(self._play.hop_s)
        return decision

    def _place_ask(self, asked_at: float) -> PlaceAsk:
        kind = self._kind
        gap_s = max(GAP_LEAST_S, GAP_GOALS * kind.goal_s, GAP_PAUSES * kind.pause_s)
        gives_up_at = min(asked_at + gap_s, self._outcome.asked_at + kind.deadline_s)
        return PlaceAsk(
            ask_id=f"r{self._play.next_number()}.0",
            entry_vm="entry",
            model=MODEL,
            adapter=self._key[1],
            version=1,
            prompt_tokens=self._prompt_tokens,
            output_tokens=self._output_tokens,
            rank=0,
            goal_at=self._outcome.asked_at + kind.goal_s,
            latest_start=gives_up_at - RUN_LEAST_S,
            pause_s=kind.pause_s,
        )

    def _stream(self, name: str, grant: Grant) -> Generator[Any, Any, bool]:
        """Run at the engine; False if it refused."""
        owner = self._play.owner(name)
        if owner is None:
            return False
        yield self._env.timeout(self._play.hop_s)
        ended = self._env.event()
        listener = _Listener(self._outcome, owner, grant.ask.ask_id, self._kind)
        run = EngineRun(
            run_id=grant.ask.ask_id,
            adapter=self._key,
            prompt_tokens=self._prompt_tokens,
            output_tokens=self._output_tokens,
            on_event=listener.on_event,
            on_end=lambda now: ended.succeed(True),
            on_lost=lambda: ended.succeed(False),
            parts=(("shared", self._kind.shared_tokens),),
        )
        if not owner.engine.begin(run, grant.version):
            owner.refused_run(grant.ask.ask_id)
            return False
        left_s = self._outcome.asked_at + self._kind.deadline_s - self._env.now
        yield ended | self._env.timeout(max(0.0, left_s))
        self._outcome.complete = bool(ended.triggered and ended.value)
        if not ended.triggered:
            owner.engine.cancel(run.run_id)
        owner.release(grant.ask.ask_id)
        return True


class _Listener:
    """Follows the events of one stream for its caller and its engine's owner."""

    def __init__(
        self,
        outcome: Outcome,
        owner: EmulatedOwner,
        ask_id: str,
        kind: RequestKind,
    ) -> None:
        self._outcome = outcome
        self._owner = owner
        self._ask_id = ask_id
        self._kind = kind
        self._last_at: float | None = None

    def on_event(self, now: float) -> None:
        """Take one event."""
        outcome = self._outcome
        if self._last_at is None:
            outcome.first_s = now - outcome.asked_at
            self._owner.started(self._ask_id)
        else:
            pause_s = now - self._last_at
            if pause_s > self._kind.pause_s >= outcome.longest_pause_s:
                self._owner.paused(self._ask_id, pause_s)
            outcome.longest_pause_s = max(outcome.longest_pause_s, pause_s)
        self._last_at = now
