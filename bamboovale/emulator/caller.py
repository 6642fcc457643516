"""Emulated callers' requests and the entry VMs that route them."""

from collections import Counter
from collections.abc import Generator
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

import simpy

from bamboovale.decisions.engine_choice import EngineCandidate, EngineChooser
from bamboovale.decisions.place_work import EngineSnapshot, Grant, QueuedRequest, Refuse
from bamboovale.decisions.pool_speed import PoolSpeed
from bamboovale.emulator.engine import EngineRun
from bamboovale.emulator.outcomes import Outcome
from bamboovale.emulator.owner import MODEL, EmulatedOwner
from bamboovale.emulator.scenario import RequestKind

MAX_ATTEMPTS = 4
MIN_RUN_S = 0.4
MIN_PATIENCE_S = 2.0
PATIENCE_GOALS = 4.0
PATIENCE_PAUSES = 8.0
"""Same values as in ``bamboovale.gateway.model_calls`` and ``place_search``."""


class SimulationView(Protocol):
    """The part of the simulation that a request uses."""

    env: simpy.Environment

    @property
    def hop_s(self) -> float:
        """Return the one-way latency between two VMs."""

    def next_number(self) -> int:
        """Return a number that is unique within the simulation."""

    def version_of(self, adapter: str) -> int:
        """Return the newest version of an adapter."""

    def owner(self, name: str) -> EmulatedOwner | None:
        """Return the engine's owner, None while the engine is down."""

    def live_engines(self) -> set[str]:
        """Return the names of the engines that are up."""


@dataclass
class EmulatedEntry:
    """Entry VM: the last engine statuses and what it has sent to engines since."""

    chooser: EngineChooser
    snapshot_by_engine: dict[str, EngineSnapshot] = field(default_factory=dict)
    tokens_by_engine: Counter[str] = field(default_factory=Counter)
    loads_by_engine: Counter[str] = field(default_factory=Counter)
    requests_by_engine: Counter[str] = field(default_factory=Counter)

    def views(self, live: set[str]) -> dict[str, EngineCandidate]:
        """Return the candidates among the ``live`` engines by name."""
        pool = PoolSpeed.from_engines(self.snapshot_by_engine.values())
        return {
            name: EngineCandidate(
                name,
                snapshot,
                "owner",
                self.tokens_by_engine[name],
                self.loads_by_engine[name],
                own_requests=self.requests_by_engine[name],
                pool=pool,
            )
            for name, snapshot in self.snapshot_by_engine.items()
            if name in live
        }

    def on_status(self, name: str, snapshot: EngineSnapshot, *, whole: bool) -> None:
        """Apply an engine status; only a ``whole`` one has the adapters and speeds."""
        known = self.snapshot_by_engine.get(name)
        if known is not None and not whole:
            snapshot = replace(
                snapshot,
                loaded=known.loaded,
                coming=known.coming,
                s_per_output_token=known.s_per_output_token,
                run_s=known.run_s,
            )
        self.snapshot_by_engine[name] = snapshot
        self.tokens_by_engine[name] = 0
        self.loads_by_engine[name] = 0
        self.requests_by_engine[name] = 0


class CallerRequest:
    """One request of a caller, with its attempts at several engines."""

    def __init__(
        self,
        simulation: SimulationView,
        outcome: Outcome,
        adapter: str,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        self.retry_after_s = 0.3
        self._simulation = simulation
        self._env = simulation.env
        self._outcome = outcome
        self._kind = outcome.kind
        self._key = (MODEL, adapter)
        self._prompt_tokens = prompt_tokens
        self._output_tokens = output_tokens

    def run(self, entry: EmulatedEntry) -> Generator[Any, Any, None]:
        """Try engines until one has served the request or all attempts failed."""
        asked_at = self._env.now
        for _ in range(MAX_ATTEMPTS):
            views = entry.views(self._simulation.live_engines())
            tokens = self._prompt_tokens
            version = self._version
            name = entry.chooser.choose(self._key, version, views, prompt_tokens=tokens)
            if name is None:
                break
            entry.tokens_by_engine[name] += self._prompt_tokens
            entry.requests_by_engine[name] += 1
            entry.loads_by_engine[name] += not views[name].holds(self._key, version)
            decision = yield from self._request_place(name, asked_at)
            if isinstance(decision, Refuse):
                self.retry_after_s = decision.retry_after_s
                break
            if decision is None:
                continue
            accepted = yield from self._stream(name, decision)
            if accepted:
                return
        self._outcome.refused = self._outcome.first_s is None

    @property
    def _version(self) -> int:
        return self._simulation.version_of(self._key[1])

    def _request_place(
        self,
        name: str,
        asked_at: float,
    ) -> Generator[Any, Any, Grant | Refuse | None]:
        owner = self._simulation.owner(name)
        if owner is None:
            return None
        yield self._env.timeout(self._simulation.hop_s)
        answered = self._env.event()
        owner.request_place(self._queued_request(asked_at), answered.succeed)
        decision = yield answered
        yield self._env.timeout(self._simulation.hop_s)
        return decision

    def _queued_request(self, asked_at: float) -> QueuedRequest:
        kind = self._kind
        patience_s = max(
            MIN_PATIENCE_S, PATIENCE_GOALS * kind.goal_s, PATIENCE_PAUSES * kind.pause_s
        )
        gives_up_at = min(
            asked_at + patience_s, self._outcome.asked_at + kind.deadline_s
        )
        return QueuedRequest(
            ask_id=f"r{self._simulation.next_number()}.0",
            entry_vm="entry",
            model=MODEL,
            adapter=self._key[1],
            version=self._version,
            prompt_tokens=self._prompt_tokens,
            output_tokens=self._output_tokens,
            rank=kind.rank,
            goal_at=self._outcome.asked_at + kind.goal_s,
            latest_start=gives_up_at - MIN_RUN_S,
            pause_s=kind.pause_s,
        )

    def _stream(self, name: str, grant: Grant) -> Generator[Any, Any, bool]:
        """Stream from the engine; return False if it refused the run."""
        owner = self._simulation.owner(name)
        if owner is None:
            return False
        yield self._env.timeout(self._simulation.hop_s)
        ended = self._env.event()
        listener = StreamListener(
            self._outcome, owner, grant.request.ask_id, self._kind
        )
        run = EngineRun(
            run_id=grant.request.ask_id,
            adapter=self._key,
            prompt_tokens=self._prompt_tokens,
            output_tokens=self._output_tokens,
            on_event=listener.on_event,
            on_end=lambda now: ended.succeed(True),
            on_lost=lambda: ended.succeed(False),
            parts=(("shared", self._kind.shared_tokens),),
        )
        if not owner.engine.start(run, grant.version):
            owner.on_run_refused(grant.request.ask_id)
            return False
        left_s = self._outcome.asked_at + self._kind.deadline_s - self._env.now
        yield ended | self._env.timeout(max(0.0, left_s))
        self._outcome.complete = bool(ended.triggered and ended.value)
        if not ended.triggered:
            owner.engine.cancel(run.run_id)
        current = self._simulation.owner(name) or owner
        current.release(grant.request.ask_id, aborted=not self._outcome.complete)
        return True


class StreamListener:
    """Records the events of one stream and reports its stalls to the engine's owner."""

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
        """Record one event."""
        outcome = self._outcome
        if self._last_at is None:
            outcome.first_s = now - outcome.asked_at
            self._owner.on_started(self._ask_id)
        else:
            pause_s = now - self._last_at
            if pause_s > self._kind.pause_s >= outcome.longest_pause_s:
                self._owner.on_stall(self._ask_id, pause_s)
            outcome.longest_pause_s = max(outcome.longest_pause_s, pause_s)
        self._last_at = now
