"""Which engines this VM owns, and takeover of engines whose owner was lost."""

import asyncio

from bamboovale.decisions.place_work import EngineCapacity
from bamboovale.decisions.rendezvous import score
from bamboovale.decisions.stall_detector import is_pool_stalled
from bamboovale.gateway.engine_owner import EngineOwner
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.known_load_times import KnownLoadTimes
from bamboovale.gateway.model import EndpointRecord
from bamboovale.gateway.owner_context import OwnerContext
from bamboovale.gateway.ownership import Ownership
from bamboovale.gateway.vm_state import VMState
from bamboovale.store.stall_records import StallRecords

STALL_CHECK_INTERVAL_S = 1.0
"""Interval of checks whether a stall record must be written."""
MIN_STORE_OUTAGE_S = 1.5
"""A shorter store outage ends before any lease expires."""


class EngineAssignment:
    """Starts and stops engine owners as the store assigns engines."""

    def __init__(
        self,
        state: VMState,
        engines: Engines,
        ownership: Ownership,
        owner_context: OwnerContext,
        stall_records: StallRecords,
        load_times: KnownLoadTimes,
    ) -> None:
        self._state = state
        self._engines = engines
        self._ownership = ownership
        self._owner_context = owner_context
        self._stall_records = stall_records
        self._load_times = load_times

    def assign(self) -> bool:
        """Own the engines that the store assigns to this VM and release the others.

        Returns whether anything changed.
        """
        wanted = self._engines_to_own()
        owners = self._engines.owner_by_engine
        before = set(owners)
        for engine_id in list(owners):
            if engine_id not in wanted:
                owner = owners.pop(engine_id)
                owner.stop()
                self._load_times.remember(owner.record, owner.status())
                self._state.journal.write("owner_stopped", engine=engine_id)
        for engine_id, capacity in wanted.items():
            record = self._state.endpoints.record_by_id[engine_id]
            if engine_id in owners:
                owners[engine_id].record = record
                continue
            owner = EngineOwner(record, capacity, self._owner_context)
            owners[engine_id] = owner
            self._apply_known_stall(owner)
            owned = self._state.fleet.engine(engine_id)
            owner.seed_run_speed(owned.status if owned is not None else None)
            for (model, adapter), version in self._state.version_by_adapter.items():
                if adapter is not None:
                    owner.note_version(model, adapter, version)
            owner.start()
            self._state.journal.write(
                "owner_started",
                engine=engine_id,
                generation=self._ownership.generation,
            )
        self._state.fleet.retain_engines(set(self._state.endpoints.record_by_id))
        return owners.keys() != before

    def _engines_to_own(self) -> dict[str, EngineCapacity]:
        if self._state.table is None or self._state.stopping:
            return {}
        wanted = {}
        for record in self._state.model_engines():
            pool = self._state.table.service_by_name[record.service].engines
            if pool is not None and self._ownership.holds(record.registered_id):
                wanted[record.endpoint_id] = EngineCapacity(
                    places=pool.slots,
                    kv_tokens=pool.kv_tokens,
                    adapter_slots=pool.adapter_slots,
                    models=tuple(pool.model_by_name),
                )
        return wanted

    def pool_stalled(self, service: str) -> bool:
        """Return whether prompt processing stalls the streams of a whole pool."""
        held_up = self._state.fleet.held_up_ids()
        if not held_up:
            return False
        records = self._state.endpoints.ready(service)
        stalled = sum(record.endpoint_id in held_up for record in records)
        return is_pool_stalled(stalled, len(records))

    def stalled_by_service(self) -> dict[str, bool]:
        """Return by service whether its pool of engines is stalled."""
        services = {record.service for record in self._state.model_engines()}
        return {service: self.pool_stalled(service) for service in services}

    async def write_stall_records_forever(self) -> None:
        """Write to the store which pools are stalled, forever.

        Only engine owners do: they receive the status of one another's engines.
        """
        while True:
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            if not self._engines.owner_by_engine:
                continue
            owners = self._state.fleet.owner_ids()
            stalled = self.stalled_by_service()
            await self._stall_records.write_changes(stalled, owners, self._state.now())

    def on_stall_record(self, service: str) -> None:
        """Apply the stall record of a service to the owners of its engines."""
        for owner in self._engines.owner_by_engine.values():
            if owner.record.service == service:
                self._apply_known_stall(owner)

    def _apply_known_stall(self, owner: EngineOwner) -> None:
        service = owner.record.service
        if self.pool_stalled(service) or self._stall_records.is_stalled(service):
            owner.places.pacing.stall_detector.assume_stalled(self._state.now())

    def on_fenced(self, record: EndpointRecord, token: int) -> None:
        """Handle an engine's answer that another VM used a higher fencing number."""
        owned = self._state.fleet.engine(record.endpoint_id)
        seen = owned.fence if owned is not None else 0
        self._ownership.on_fenced(record.registered_id, max(seen, token))

    def take_over_lost_engines(self, *, store_answers_others: bool) -> bool:
        """Take over engines without a live owner while no VM reaches the store.

        Returns whether any engine was taken over. Guards against engines that cannot
        load adapters because their owner died in a store outage.
        """
        if (
            self._ownership.store_unreachable_s() < MIN_STORE_OUTAGE_S
            or store_answers_others
        ):
            return False
        if not self._state.serving():
            return False
        candidates = self._state.fleet.owner_candidates()
        changed = False
        for record in self._state.model_engines():
            engine_id = record.endpoint_id
            registered_id = record.registered_id
            if self._ownership.holds(registered_id) or self._engines.owner_name(
                engine_id
            ):
                continue
            first = max(candidates, key=lambda vm_id: score(engine_id, vm_id))
            if first == self._state.node.name:
                owned = self._state.fleet.engine(engine_id)
                granted = self._ownership.fence(registered_id)
                above = max(granted, owned.fence if owned is not None else 0)
                self._ownership.take_over(registered_id, above)
                changed = True
        return changed
