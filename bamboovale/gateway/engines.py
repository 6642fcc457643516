"""Place requests of this entry VM to the owners of engines."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any, Protocol

from bamboovale.decisions.engine_choice import EngineCandidate
from bamboovale.decisions.planned_stop import EngineSpeed
from bamboovale.decisions.run_meter import RunMeter
from bamboovale.gateway.engine_candidates import EngineCandidates
from bamboovale.gateway.engine_owner import EngineOwner
from bamboovale.gateway.fleet import Fleet, OwnedEngine
from bamboovale.gateway.messages import (
    PlaceCancel,
    PlaceHeld,
    PlacePaused,
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
    PlaceStarted,
)
from bamboovale.gateway.model import EndpointRecord
from bamboovale.peers.loop_calls import await_on_loop
from bamboovale.peers.outgoing import (
    PeerLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)

OWNER_CHECK_INTERVAL_S = 0.25
"""Interval at which a pending request checks that the owner is alive."""


class OwnerUnavailable(Exception):  # noqa: N818 - reads as what happened
    """The engine has no live owner, or its owner did not answer or has changed."""


class PlaceTooLate(Exception):  # noqa: N818 - reads as what happened
    """A place would be of no use any more."""


class Links(Protocol):
    """Sends messages to other entry VMs."""

    def request(self, vm_id: str, message: Any, timeout_s: float) -> "Future[Any]":
        """Send a request; the future is completed with the reply or an error."""

    def notify(self, vm_id: str, message: Any) -> None:
        """Send a notice."""

    def notify_all(self, vm_ids: Iterable[str], message: Any) -> None:
        """Send one notice to several VMs."""


@dataclass(frozen=True)
class GrantedPlace:
    """A place that an owner granted, which this VM must release."""

    engine_id: str
    ask_id: str
    owner: str
    version: int
    confirmed: bool = True


@dataclass
class Engines:
    """Known state of the engines by id, and messages to their owners.

    Owners in this VM (``owner_by_engine``) are called directly.
    """

    own_id: str
    fleet: Fleet
    links: Links
    now: Callable[[], float]
    owner_by_engine: dict[str, EngineOwner] = field(default_factory=dict)
    limit_per_s: Callable[[str], float | None] = lambda engine_id: None
    on_engine_needed: Callable[[], None] = lambda: None
    _candidates: EngineCandidates = field(init=False)
    _own_runs_by_model: dict[str, RunMeter] = field(default_factory=dict)
    _held_by_id: dict[str, PlaceHeld] = field(default_factory=dict)
    _owner_by_held: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start without any known engine."""
        self._candidates = EngineCandidates(self.now, self.limit_per_s, self._owner_of)

    def candidates(self, records: list[EndpointRecord]) -> dict[str, EngineCandidate]:
        """Return each reachable engine by id, for the choice of an engine."""
        self.on_engine_needed()
        return self._candidates.build(records, self.fleet.engines())

    def note_sent(self, candidate: EngineCandidate, request: PlaceRequest) -> None:
        """Count a request that the owner's last status does not contain yet."""
        self._candidates.note_sent(candidate, request)

    def speed(self, record: EndpointRecord, model: str) -> EngineSpeed:
        """Return an engine's speed by its owner, by this VM's own runs or its pool.

        A new owner may not know it yet. Own runs are an estimate: those under way when
        more callers come are slower.
        """
        owned = self.fleet.engine(record.endpoint_id)
        status = None if owned is None else owned.published
        own, now = self._own_runs(model).speed, self.now()
        if status is not None and status.run_s > 0.0:
            return EngineSpeed(
                status.s_per_token, status.s_per_output_token, status.run_s
            )
        if own.run_s(now) > 0.0:
            return EngineSpeed(0.0, own.mean_s_per_token(now), own.run_s(now))
        pool = self._candidates.pool_speed(record.service)
        return EngineSpeed(0.0, pool.s_per_output_token, pool.run_s)

    def _own_runs(self, model: str) -> RunMeter:
        return self._own_runs_by_model.setdefault(model, RunMeter())

    async def request_place(
        self,
        engine_id: str,
        request: PlaceRequest,
        is_too_late: Callable[[], bool] = lambda: False,
    ) -> PlaceReply:
        """Request a place from the engine's owner.

        Raises OwnerUnavailable, and PlaceTooLate once ``is_too_late``.
        """
        owner = self._owner_of(engine_id, self.fleet.engine(engine_id))
        if owner is None:
            raise OwnerUnavailable("the engine has no live owner")
        future = self._send_request(owner, request)
        # If the caller disconnects, the future remains without a consumer.
        future.add_done_callback(_ignore_result)
        try:
            reply = await self._wait_for(future, owner, engine_id, is_too_late)
        except BaseException:
            self._cancel(owner, engine_id, request.ask_id)
            raise
        if reply.not_owner:
            raise OwnerUnavailable("the VM no longer owns the engine")
        return reply

    def notify_started(self, place: GrantedPlace) -> None:
        """Notify the owner that the first event was received."""
        held = self._held_by_id.get(place.ask_id)
        if held is not None:
            self._own_runs(held.model).on_started(place.ask_id, self.now())
        local = self.owner_by_engine.get(place.engine_id)
        if place.owner != self.own_id:
            notice = PlaceStarted(place.engine_id, place.ask_id)
            self.links.notify(place.owner, notice)
        elif local is not None:
            local.on_started(place.ask_id)

    def notify_paused(self, place: GrantedPlace, pause_s: float) -> None:
        """Notify the owner of a long pause of the stream."""
        local = self.owner_by_engine.get(place.engine_id)
        if place.owner != self.own_id:
            notice = PlacePaused(place.engine_id, place.ask_id, round(pause_s, 4))
            self.links.notify(place.owner, notice)
        elif local is not None:
            local.on_paused(place.ask_id, pause_s)

    def track_run(self, place: GrantedPlace, request: PlaceRequest) -> None:
        """Record a run that starts, to notify a later owner of its engine."""
        self._held_by_id[place.ask_id] = PlaceHeld(
            engine_id=place.engine_id,
            ask_id=place.ask_id,
            model=request.model,
            adapter=request.adapter,
            version=place.version,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            pause_s=request.pause_s,
            start=request.start,
        )
        self._owner_by_held[place.ask_id] = place.owner
        self._own_runs(request.model).on_granted(place.ask_id, self.now())

    def notify_new_owners(self) -> None:
        """Notify new owners of engines of this VM's runs in flight there.

        Guards against a new owner that evicts an adapter in use: the engine would wait
        for the run and refuse all other orders.
        """
        for ask_id, held in self._held_by_id.items():
            owned = self.fleet.engine(held.engine_id)
            owner = self._owner_of(held.engine_id, owned)
            if owner is None or owner == self._owner_by_held[ask_id]:
                continue
            self._owner_by_held[ask_id] = owner
            if owner == self.own_id:
                self.owner_by_engine[held.engine_id].on_held(self.own_id, held)
            else:
                self.links.notify(owner, held)

    def release(
        self,
        place: GrantedPlace,
        *,
        refused: bool = False,
        not_held: bool = False,
        aborted: bool = False,
    ) -> None:
        """Notify the owner that a run is over."""
        held = self._held_by_id.pop(place.ask_id, None)
        if held is not None:
            runs = self._own_runs(held.model)
            if not (refused or not_held or aborted):
                runs.on_ended(place.ask_id, max(1, held.output_tokens), self.now())
            runs.on_gone(place.ask_id, self.now())
        owner = self._owner_by_held.pop(place.ask_id, place.owner)
        notice = PlaceRelease(
            place.engine_id,
            place.ask_id,
            refused,
            not_held,
            aborted,
        )
        local = self.owner_by_engine.get(place.engine_id)
        if owner != self.own_id:
            self.links.notify(owner, notice)
        elif local is not None:
            local.release(notice)

    def owner_name(self, engine_id: str) -> str | None:
        """Return the live owner of an engine, or None."""
        return self._owner_of(engine_id, self.fleet.engine(engine_id))

    def _send_request(
        self,
        owner: str,
        request: PlaceRequest,
    ) -> "asyncio.Future[PlaceReply]":
        if owner != self.own_id:
            timeout_s = request.starts_within_s + OWNER_CHECK_INTERVAL_S
            return await_on_loop(
                self.links.request(owner, request, timeout_s),
            )
        future: asyncio.Future[PlaceReply]
        future = asyncio.get_running_loop().create_future()

        def reply(answer: PlaceReply) -> None:
            if not future.done():
                future.set_result(answer)

        self.owner_by_engine[request.engine_id].request_place(owner, request, reply)
        return future

    async def _wait_for(
        self,
        future: "asyncio.Future[PlaceReply]",
        owner: str,
        engine_id: str,
        is_too_late: Callable[[], bool],
    ) -> PlaceReply:
        """Wait for the reply while the engine's owner is alive.

        Guards against waiting for an owner that is frozen or unreachable.
        """
        while True:
            done, _ = await asyncio.wait({future}, timeout=OWNER_CHECK_INTERVAL_S)
            if done:
                break
            if self._owner_of(engine_id, self.fleet.engine(engine_id)) != owner:
                future.cancel()
                raise OwnerUnavailable("the owner is unreachable or was replaced")
            if is_too_late():
                raise PlaceTooLate
        try:
            return future.result()
        except (PeerUnreachableError, PeerLostError, PeerTimeoutError) as error:
            raise OwnerUnavailable(str(error)) from error

    def _cancel(self, owner: str, engine_id: str, ask_id: str) -> None:
        if owner != self.own_id:
            self.links.notify(owner, PlaceCancel(engine_id, ask_id))
            return
        with contextlib.suppress(KeyError):
            self.owner_by_engine[engine_id].cancel(ask_id)

    def _owner_of(self, engine_id: str, owned: OwnedEngine | None) -> str | None:
        """Return the live owner of an engine, None without one."""
        if engine_id in self.owner_by_engine:
            return self.own_id
        return self._live_owner(owned)

    def _live_owner(self, owned: OwnedEngine | None) -> str | None:
        """Return the owner of an engine that is not owned here, None without one."""
        if owned is None or owned.released or owned.owner == self.own_id:
            return None
        return owned.owner if self.fleet.is_live(owned.owner) else None


def _ignore_result(future: "asyncio.Future[PlaceReply]") -> None:
    if not future.cancelled():
        future.exception()
