"""What this entry VM knows of the engines, and asking their owners for places."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any, Protocol

from bamboovale.decisions.engine_choice import EngineCandidate
from bamboovale.decisions.place_work import AdapterKey, EngineSnapshot
from bamboovale.decisions.prefill_speed import GUESS_S_PER_TOKEN
from bamboovale.gateway.engine_owner import EngineOwner
from bamboovale.gateway.fleet import Fleet
from bamboovale.gateway.messages import (
    EngineStatus,
    PlaceCancel,
    PlaceHeld,
    PlacePaused,
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
    PlaceStarted,
)
from bamboovale.gateway.model import EndpointRecord
from bamboovale.peers.outgoing import (
    PeerLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)

AdapterVersions = tuple[tuple[str, str, int], ...]
"""Adapters as owners tell them: model, adapter, version."""
FORGET_FROM = 2
"""Times the engines that there are: each start of an engine has an id of its own."""
LOOK_S = 0.25
"""How often a waiting request looks whether the owner still lives."""


class OwnerSilent(Exception):  # noqa: N818 - reads as what happened
    """The engine's owner did not answer, or owns it no more."""


class Links(Protocol):
    """Messages to other entry VMs."""

    def request(self, vm_id: str, message: Any, timeout_s: float) -> "Future[Any]":
        """Send a request."""

    def notify(self, vm_id: str, message: Any) -> None:
        """Send a notice."""

    def notify_all(self, vm_ids: Iterable[str], message: Any) -> None:
        """Send one notice to several VMs."""


@dataclass
class _Sent:
    """What was sent to an engine since its owner was last heard."""

    heard_at: float = 0.0
    tokens: int = 0
    loads: int = 0


@dataclass(frozen=True)
class _Loaded:
    """What an owner said is loaded and coming, kept as maps until it says otherwise."""

    told: tuple[AdapterVersions, AdapterVersions]
    loaded: dict[AdapterKey, int]
    coming: dict[AdapterKey, int]


@dataclass(frozen=True)
class HeldPlace:
    """A place that was granted; to be released by the same VM."""

    engine_id: str
    ask_id: str
    owner: str
    version: int
    confirmed: bool = True


@dataclass
class Engines:
    """Views of engines by id, and the way to their owners."""

    own_id: str
    fleet: Fleet
    links: Links
    now: Callable[[], float]
    owner_by_engine: dict[str, EngineOwner] = field(default_factory=dict)
    on_needed: Callable[[], None] = lambda: None
    _sent_by_id: dict[str, _Sent] = field(default_factory=dict)
    _loaded_by_id: dict[str, _Loaded] = field(default_factory=dict)
    _held_by_id: dict[str, PlaceHeld] = field(default_factory=dict)
    _owner_by_held: dict[str, str] = field(default_factory=dict)

    def views(self, records: list[EndpointRecord]) -> dict[str, EngineCandidate]:
        """Return what is known of each of the engines, for a request."""
        self.on_needed()
        self._forget_gone(records)
        return {
            record.endpoint_id: self._view(record)
            for record in records
            if self._answers(record.endpoint_id)
        }

    def _forget_gone(self, records: list[EndpointRecord]) -> None:
        """Drop what was kept of engines that are gone, once it is the larger part."""
        for kept in (self._sent_by_id, self._loaded_by_id):
            if len(kept) <= FORGET_FROM * max(1, len(records)):
                continue
            listed = {record.endpoint_id for record in records}
            for engine_id in kept.keys() - listed:
                del kept[engine_id]

    def note_sent(self, view: EngineCandidate, request: PlaceRequest) -> None:
        """Count what the owner's next word will show."""
        sent = self._sent_by_id.setdefault(request.engine_id, _Sent())
        sent.tokens += request.prompt_tokens
        key = None if request.adapter is None else (request.model, request.adapter)
        sent.loads += not view.holds(key, request.version)

    async def ask(self, engine_id: str, request: PlaceRequest) -> PlaceReply:
        """Ask the engine's owner for a place; raises OwnerSilent."""
        owner = self._owner_of(engine_id)
        if owner is None:
            raise OwnerSilent("no owner")
        future = self._send_ask(owner, request)
        # A caller who leaves leaves the future behind; its end is of no interest then.
        future.add_done_callback(_consume)
        try:
            reply = await self._wait_for(future, owner, engine_id)
        except BaseException:
            self._cancel(owner, engine_id, request.ask_id)
            raise
        if reply.not_owner:
            raise OwnerSilent("owned by another VM")
        return reply

    def started(self, place: HeldPlace) -> None:
        """Tell the owner that the first event has come."""
        local = self.owner_by_engine.get(place.engine_id)
        if place.owner != self.own_id:
            notice = PlaceStarted(place.engine_id, place.ask_id)
            self.links.notify(place.owner, notice)
        elif local is not None:
            local.started(place.ask_id)

    def paused(self, place: HeldPlace, pause_s: float) -> None:
        """Tell the owner that the stream has just paused for long."""
        local = self.owner_by_engine.get(place.engine_id)
        if place.owner != self.own_id:
            notice = PlacePaused(place.engine_id, place.ask_id, round(pause_s, 4))
            self.links.notify(place.owner, notice)
        elif local is not None:
            local.paused(place.ask_id, pause_s)

    def hold(self, place: HeldPlace, request: PlaceRequest) -> None:
        """Note a run that begins, for an owner that comes to own its engine later."""
        self._held_by_id[place.ask_id] = PlaceHeld(
            engine_id=place.engine_id,
            ask_id=place.ask_id,
            model=request.model,
            adapter=request.adapter,
            version=place.version,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            pause_s=request.pause_s,
        )
        self._owner_by_held[place.ask_id] = place.owner

    def tell_new_owners(self) -> None:
        """Tell engines' new owners which of our runs are under way there.

        Guards against an owner that evicts an adapter in use, because the last owner
        granted its place: the engine waits for the run and refuses all other orders.
        """
        for ask_id, held in self._held_by_id.items():
            owner = self._owner_of(held.engine_id)
            if owner is None or owner == self._owner_by_held[ask_id]:
                continue
            self._owner_by_held[ask_id] = owner
            if owner == self.own_id:
                self.owner_by_engine[held.engine_id].held(self.own_id, held)
            else:
                self.links.notify(owner, held)

    def release(
        self,
        place: HeldPlace,
        *,
        refused: bool = False,
        not_held: bool = False,
        aborted: bool = False,
    ) -> None:
        """Tell the owner that a run is over."""
        self._held_by_id.pop(place.ask_id, None)
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
        """Return the live owner of an engine."""
        return self._owner_of(engine_id)

    def _send_ask(
        self,
        owner: str,
        request: PlaceRequest,
    ) -> "asyncio.Future[PlaceReply]":
        if owner != self.own_id:
            timeout_s = request.starts_within_s + LOOK_S
            return asyncio.wrap_future(
                self.links.request(owner, request, timeout_s),
            )
        future: asyncio.Future[PlaceReply]
        future = asyncio.get_running_loop().create_future()

        def reply(answer: PlaceReply) -> None:
            if not future.done():
                future.set_result(answer)

        self.owner_by_engine[request.engine_id].ask(owner, request, reply)
        return future

    async def _wait_for(
        self,
        future: "asyncio.Future[PlaceReply]",
        owner: str,
        engine_id: str,
    ) -> PlaceReply:
        """Wait for the reply while its owner lives.

        Guards against an owner that is frozen or cut off: it never answers, while the
        engine itself is well and others could take over.
        """
        while True:
            done, _ = await asyncio.wait({future}, timeout=LOOK_S)
            if done:
                break
            if self._owner_of(engine_id) != owner:
                future.cancel()
                raise OwnerSilent("the owner fell silent")
        try:
            return future.result()
        except (PeerUnreachableError, PeerLostError, PeerTimeoutError) as error:
            raise OwnerSilent(str(error)) from error

    def _cancel(self, owner: str, engine_id: str, ask_id: str) -> None:
        if owner != self.own_id:
            self.links.notify(owner, PlaceCancel(engine_id, ask_id))
            return
        with contextlib.suppress(KeyError):
            self.owner_by_engine[engine_id].cancel(ask_id)

    def _owner_of(self, engine_id: str) -> str | None:
        if engine_id in self.owner_by_engine:
            return self.own_id
        owned = self.fleet.engine(engine_id)
        if owned is None or owned.given_up or owned.owner == self.own_id:
            return None
        return owned.owner if self.fleet.is_live(owned.owner) else None

    def _answers(self, engine_id: str) -> bool:
        owned = self.fleet.engine(engine_id)
        return owned is None or owned.status is None or owned.status.answers

    def _snapshot(self, status: EngineStatus) -> EngineSnapshot:
        told = (status.loaded, status.coming)
        known = self._loaded_by_id.get(status.engine_id)
        if known is None or known.told != told:
            known = _Loaded(told, _versions(status.loaded), _versions(status.coming))
            self._loaded_by_id[status.engine_id] = known
        return EngineSnapshot(
            loaded=known.loaded,
            coming=known.coming,
            models=status.models,
            active=status.active,
            places=status.places,
            queued=status.queued,
            backlog_s=status.backlog_s,
            open_slots=status.open_slots,
            kept=status.kept,
            s_per_token=status.s_per_token,
            held_up=status.held_up,
        )

    def _view(self, record: EndpointRecord) -> EngineCandidate:
        engine_id = record.endpoint_id
        owned = self.fleet.engine(engine_id)
        if owned is None or owned.status is None:
            owner = self._owner_of(engine_id)
            return EngineCandidate(
                engine_id, snapshot_of(record), owner, has_status=False
            )
        sent = self._sent_by_id.setdefault(engine_id, _Sent())
        if owned.heard_at > sent.heard_at:
            sent.heard_at = owned.heard_at
            sent.tokens = 0
            sent.loads = 0
        return EngineCandidate(
            engine_id,
            self._snapshot(owned.status),
            self._owner_of(engine_id),
            sent.tokens,
            sent.loads,
        )


def _versions(told: AdapterVersions) -> dict[AdapterKey, int]:
    return {(model, name): version for model, name, version in told}


def _consume(future: "asyncio.Future[PlaceReply]") -> None:
    if not future.cancelled():
        future.exception()


def snapshot_of(record: EndpointRecord) -> EngineSnapshot:
    """Return what an engine's own record tells while no owner has spoken."""
    return EngineSnapshot(
        loaded={
            (model.name, adapter): version
            for model in record.models
            for adapter, version in model.version_by_adapter.items()
        },
        coming={},
        models=tuple(model.name for model in record.models),
        active=0,
        places=record.slots,
        queued=0,
        backlog_s=0.0,
        open_slots=0,
        kept=0,
        s_per_token=GUESS_S_PER_TOKEN,
    )
