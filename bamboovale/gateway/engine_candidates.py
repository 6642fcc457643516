"""Candidate engines for this entry VM, from its owners' statuses and from records."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bamboovale.decisions.engine_choice import EngineCandidate
from bamboovale.decisions.place_work import AdapterKey, EngineSnapshot
from bamboovale.decisions.pool_speed import UNKNOWN_SPEED, PoolSpeed
from bamboovale.decisions.prefill_speed import INITIAL_S_PER_TOKEN
from bamboovale.gateway.fleet import OwnedEngine
from bamboovale.gateway.messages import EngineLoad, EngineStatus, PlaceRequest
from bamboovale.gateway.model import EndpointRecord

AdapterVersions = tuple[tuple[str, str, int], ...]
"""Adapters as owners publish them: model, adapter, version."""
POOL_SPEED_VALID_S = 0.3
"""How long the speed of a pool is used: after each change all candidates are built
anew."""
PRUNE_FACTOR = 2
"""State of former engines is dropped once entries exceed this multiple of the current
engines: each start of an engine has an id of its own."""


@dataclass
class _Sent:
    """Requests sent to an engine since its owner's last status."""

    last_seen: float = 0.0
    tokens: int = 0
    loads: int = 0
    requests: int = 0


@dataclass(frozen=True)
class _Loaded:
    """Published adapters of an engine as maps, cached until the owner's next change."""

    published: tuple[AdapterVersions, AdapterVersions]
    loaded: dict[AdapterKey, int]
    coming: dict[AdapterKey, int]


@dataclass(frozen=True)
class _CandidateState:
    """What a candidate consists of beside the engine's snapshot."""

    owner: str | None
    own_tokens: int = 0
    own_loads: int = 0
    own_requests: int = 0
    own_wait_s: float = 0.0
    pool: PoolSpeed = UNKNOWN_SPEED


@dataclass(frozen=True)
class _CachedCandidate:
    """A candidate, and what it was built from: an entry of the fleet, or a record."""

    source: EndpointRecord | OwnedEngine
    state: _CandidateState
    candidate: EngineCandidate


class EngineCandidates:
    """Builds candidates and keeps them until the engine or its use changes.

    ``owner_of`` returns the live owner of an engine, given its id and its entry in the
    fleet, ``limit_per_s`` the most requests that it takes in a second.
    """

    def __init__(
        self,
        now: Callable[[], float],
        limit_per_s: Callable[[str], float | None],
        owner_of: Callable[[str, OwnedEngine | None], str | None],
    ) -> None:
        self._now = now
        self._limit_per_s = limit_per_s
        self._owner_of = owner_of
        self._sent_by_id: dict[str, _Sent] = {}
        self._loaded_by_id: dict[str, _Loaded] = {}
        self._candidate_by_id: dict[str, _CachedCandidate] = {}
        self._pool_by_service: dict[str, tuple[float, PoolSpeed]] = {}

    def build(
        self, records: list[EndpointRecord], owned_by_id: Mapping[str, OwnedEngine]
    ) -> dict[str, EngineCandidate]:
        """Return each reachable engine by id."""
        self._prune(records)
        pool = self._new_pool_speed(records, owned_by_id)
        candidate_by_id = {}
        for record in records:
            owned = owned_by_id.get(record.endpoint_id)
            status = None if owned is None else owned.published
            if status is None or status.answers:
                candidate = self._candidate(record, owned, pool)
                candidate_by_id[record.endpoint_id] = candidate
        return candidate_by_id

    def note_sent(self, candidate: EngineCandidate, request: PlaceRequest) -> None:
        """Count a request that the owner's last status does not contain yet."""
        sent = self._sent_by_id.setdefault(request.engine_id, _Sent())
        sent.requests += 1
        sent.tokens += request.prompt_tokens
        key = None if request.adapter is None else (request.model, request.adapter)
        sent.loads += not candidate.holds(key, request.version)

    def pool_speed(self, service: str) -> PoolSpeed:
        """Return the last known speed of a service's engines."""
        return self._pool_by_service.get(service, (0.0, UNKNOWN_SPEED))[1]

    def _new_pool_speed(
        self, records: list[EndpointRecord], owned_by_id: Mapping[str, OwnedEngine]
    ) -> PoolSpeed:
        """Return the speed of a pool, which is computed anew after a while."""
        if not records:
            return UNKNOWN_SPEED
        now, service = self._now(), records[0].service
        known = self._pool_by_service.get(service)
        if known is not None and now - known[0] < POOL_SPEED_VALID_S:
            return known[1]
        owned = (owned_by_id.get(record.endpoint_id) for record in records)
        pool = PoolSpeed.from_engines(
            engine.published for engine in owned if engine and engine.published
        )
        self._pool_by_service[service] = (now, pool)
        return pool

    def _prune(self, records: list[EndpointRecord]) -> None:
        """Drop state of engines that no longer exist, once it outweighs the rest."""
        for kept in (self._sent_by_id, self._loaded_by_id, self._candidate_by_id):
            if len(kept) <= PRUNE_FACTOR * max(1, len(records)):
                continue
            listed = {record.endpoint_id for record in records}
            for engine_id in kept.keys() - listed:
                del kept[engine_id]

    def _snapshot(
        self, status: EngineStatus, load: EngineLoad | EngineStatus
    ) -> EngineSnapshot:
        """Return the snapshot of an engine from its last status and newest load."""
        published = (status.loaded, status.coming)
        known = self._loaded_by_id.get(status.engine_id)
        if known is None or known.published != published:
            known = _Loaded(
                published, _versions(status.loaded), _versions(status.coming)
            )
            self._loaded_by_id[status.engine_id] = known
        return EngineSnapshot(
            loaded=known.loaded,
            coming=known.coming,
            models=status.models,
            active=load.active,
            places=status.places,
            queued=load.queued,
            backlog_s=load.backlog_s,
            open_slots=load.open_slots,
            kept=status.kept,
            s_per_token=status.s_per_token,
            held_up=status.held_up,
            load_s=status.load_s,
            cached_load_s=status.cached_load_s,
            s_per_output_token=status.s_per_output_token,
            run_s=status.run_s,
            free_slots=load.free_slots,
        )

    def _candidate(
        self, record: EndpointRecord, owned: OwnedEngine | None, pool: PoolSpeed
    ) -> EngineCandidate:
        """Return the candidate of an engine, the last one if nothing has changed."""
        engine_id = record.endpoint_id
        owner = self._owner_of(engine_id, owned)
        if owned is None or owned.published is None:
            return self._cached_candidate(engine_id, record, _CandidateState(owner))
        sent = self._sent_by_id.setdefault(engine_id, _Sent())
        if owned.last_seen > sent.last_seen:
            sent.last_seen = owned.last_seen
            sent.tokens = 0
            sent.loads = 0
            sent.requests = 0
        limit_per_s = self._limit_per_s(engine_id)
        own_wait_s = 0.0 if limit_per_s is None else sent.requests / limit_per_s
        state = _CandidateState(
            owner, sent.tokens, sent.loads, sent.requests, own_wait_s, pool
        )
        return self._cached_candidate(engine_id, owned, state)

    def _cached_candidate(
        self,
        engine_id: str,
        source: EndpointRecord | OwnedEngine,
        state: _CandidateState,
    ) -> EngineCandidate:
        """Return the last candidate if source and state are the same, else a new one.

        A snapshot is reused while only the state differs.
        """
        cached = self._candidate_by_id.get(engine_id)
        if cached is not None and cached.source is not source:
            cached = None
        if cached is not None and cached.state == state:
            return cached.candidate
        if cached is not None:
            snapshot = cached.candidate.snapshot
        elif isinstance(source, OwnedEngine):
            assert source.published is not None
            load = source.load or source.published
            snapshot = self._snapshot(source.published, load)
        else:
            snapshot = snapshot_from_record(source)
        candidate = EngineCandidate(
            engine_id,
            snapshot,
            state.owner,
            state.own_tokens,
            state.own_loads,
            has_status=isinstance(source, OwnedEngine),
            own_wait_s=state.own_wait_s,
            own_requests=state.own_requests,
            pool=state.pool,
        )
        self._candidate_by_id[engine_id] = _CachedCandidate(source, state, candidate)
        return candidate


def _versions(published: AdapterVersions) -> dict[AdapterKey, int]:
    return {(model, name): version for model, name, version in published}


def snapshot_from_record(record: EndpointRecord) -> EngineSnapshot:
    """Return the snapshot that an engine's own record gives, without a status."""
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
        s_per_token=INITIAL_S_PER_TOKEN,
    )
