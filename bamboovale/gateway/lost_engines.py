"""Gives engines away that this VM does not reach, and another VM does.

Answers the load of an engine whose owner alone has lost its path to it: it would load
nothing, although other VMs reach it. The owner asks one VM at a time; each tries a new
connection of its own, so that an engine that is down moves no lease.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from bamboovale.gateway.endpoint_client import EndpointClient
from bamboovale.gateway.engines import Engines, Links
from bamboovale.gateway.messages import ReachQuery, ReachReply
from bamboovale.gateway.model import EndpointRecord
from bamboovale.gateway.ownership import GROUP, Ownership
from bamboovale.gateway.vm_state import VMState
from bamboovale.http1.connection import CONNECT_TIMEOUT_S
from bamboovale.peers.loop_calls import await_on_loop
from bamboovale.peers.outgoing import (
    PeerLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from bamboovale.store.interface import MetadataStore, StoreError

CHECK_INTERVAL_S = 0.2
LOST_AFTER_S = 0.4
"""How long an engine is out of reach before another VM is asked."""
ANSWER_TIMEOUT_S = CONNECT_TIMEOUT_S + 0.2
MAX_ASK_PAUSE_S = 0.6
"""Longest pause between two questions; random, as two owners that ask each other at the
same time both get no help."""
RETURN_AFTER_S = 3.0
"""How long all engines given away are reached again before this VM may own engines."""
ORPHANED_AFTER_S = 3.0
"""How long an engine that was given away has no live owner before this VM may own
engines again."""
MIN_OWNERS_SHARE = 0.5
"""Share of the VMs that may own engines that goes on owning some. Bounds the moves of
leases where the paths between two failure domains are lost."""
REASON = "engines out of reach"

Reply = Callable[[ReachReply], None]
OnReachQuery = Callable[[ReachQuery, Reply], None]


class LostEngines:
    """Watches whether this VM reaches the engines that it owns, forever."""

    def __init__(
        self,
        state: VMState,
        engines: Engines,
        client: EndpointClient,
        ownership: Ownership,
        store: MetadataStore,
        links: Links,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._engines = engines
        self._client = client
        self._ownership = ownership
        self._store = store
        self._links = links
        self._rng = rng
        self._lost_since: dict[str, float] = {}
        self._given_away: frozenset[str] = frozenset()
        self._reached_since: float | None = None
        self._owned_at = 0.0
        self._is_asking = False
        self._answers: set[asyncio.Task[None]] = set()

    async def watch(self) -> None:
        """Give engines away, and own engines again; the store may never answer."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._given_away:
                await self._return_if_possible()
            else:
                await self._give_away_if_lost()

    def on_query(self, query: ReachQuery, reply: Reply) -> None:
        """Tell another VM whether this one reaches an engine, after it has tried."""
        task = asyncio.get_running_loop().create_task(self._answer(query, reply))
        self._answers.add(task)
        task.add_done_callback(self._answers.discard)

    async def _answer(self, query: ReachQuery, reply: Reply) -> None:
        record = self._record(query.engine_id)
        may_own = not self._is_asking and not self._given_away
        reached = may_own and record is not None and await self._client.reaches(record)
        reply(ReachReply(query.engine_id, reached))

    async def _give_away_if_lost(self) -> None:
        lost = self._lost_engines()
        if not lost:
            return
        engine_id = self._rng.choice(sorted(lost))
        self._is_asking = True
        try:
            helper = await self._helper(engine_id)
            if (
                helper is None
                or not await self._leaves_enough_owners()
                or await self._is_back(engine_id)
            ):
                await asyncio.sleep(self._rng.uniform(0.0, MAX_ASK_PAUSE_S))
                return
            self._given_away = lost
        finally:
            self._is_asking = False
        self._reached_since, self._owned_at = None, self._state.now()
        self._state.journal.write(
            "engines_out_of_reach", engines=sorted(lost), reached_by=helper
        )
        await self._ownership.set_suspended(True, REASON)

    def _lost_engines(self) -> frozenset[str]:
        """Return the owned engines that were out of reach for long enough.

        There are none while this VM reaches no endpoint: others take all its engines.
        """
        now, paths = self._state.now(), self._state.path_watch.paths
        if paths.is_cut(now):
            self._lost_since.clear()
            return frozenset()
        self._lost_since = {
            engine_id: self._lost_since.get(engine_id, now)
            for engine_id in self._engines.owner_by_engine
            if paths.is_out_of_reach(engine_id, now)
        }
        return frozenset(
            engine_id
            for engine_id, since in self._lost_since.items()
            if now - since >= LOST_AFTER_S
        )

    async def _helper(self, engine_id: str) -> str | None:
        """Ask a VM that may own engines; return it if it reaches the engine."""
        candidates = set(self._state.fleet.owner_candidates())
        asked = [
            member.vm_id
            for member in self._state.fleet.serving()
            if member.vm_id in candidates and not member.cut
        ]
        if not asked:
            return None
        vm_id = self._rng.choice(asked)
        query = ReachQuery(engine_id)
        try:
            answer: Any = await await_on_loop(
                self._links.request(vm_id, query, ANSWER_TIMEOUT_S)
            )
        except (PeerUnreachableError, PeerLostError, PeerTimeoutError):
            return None
        is_reached = isinstance(answer, ReachReply) and answer.reached
        return vm_id if is_reached else None

    async def _leaves_enough_owners(self) -> bool:
        """Return whether enough VMs own engines without this one."""
        try:
            owners = await self._store.members(GROUP)
        except StoreError as error:
            self._state.journal.write("members_unknown", error=str(error))
            return False
        may_own = len(self._state.fleet.owner_candidates())
        most = min(may_own, self._state.node.store_limits.partitions)
        others = owners - {self._state.node.name}
        return bool(others) and len(others) >= MIN_OWNERS_SHARE * most

    async def _is_back(self, engine_id: str) -> bool:
        """Return whether an engine is gone or reached again, after another trial.

        Guards against an engine that has just started again: others find it first.
        """
        record = self._record(engine_id)
        return record is None or await self._client.reaches(record)

    async def _return_if_possible(self) -> None:
        now = self._state.now()
        records = [
            record
            for engine_id in self._given_away
            if (record := self._record(engine_id)) is not None
        ]
        for record in records:
            self._client.try_path(record)
        if any(self._is_lost(record, now) for record in records):
            self._reached_since = None
        elif self._reached_since is None:
            self._reached_since = now
        if all(self._engines.owner_name(record.endpoint_id) for record in records):
            self._owned_at = now
        is_reached = (
            self._reached_since is not None
            and now - self._reached_since >= RETURN_AFTER_S
        )
        if is_reached or now - self._owned_at >= ORPHANED_AFTER_S:
            self._given_away = frozenset()
            self._lost_since.clear()
            await self._ownership.set_suspended(False, REASON)

    def _is_lost(self, record: EndpointRecord, now: float) -> bool:
        return self._state.path_watch.paths.is_out_of_reach(record.endpoint_id, now)

    def _record(self, engine_id: str) -> EndpointRecord | None:
        return self._state.endpoints.record_by_id.get(engine_id)
