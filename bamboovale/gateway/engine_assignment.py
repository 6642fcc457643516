"""Which engines this VM owns now, and standing in for owners that are lost."""

import asyncio

from bamboovale.decisions.place_work import EngineCapacity
from bamboovale.decisions.rendezvous import score
from bamboovale.decisions.stall_detector import is_pool_stalled
from bamboovale.gateway.engine_owner import EngineOwner
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.model import EndpointRecord
from bamboovale.gateway.owner_context import OwnerContext
from bamboovale.gateway.ownership import Ownership
from bamboovale.gateway.pool_notes import PoolNotes
from bamboovale.gateway.vm_state import VMState

NOTES_LOOK_S = 1.0
"""Between two looks whether a note on a pool has to be written anew."""
STORE_AWAY_S = 1.5
"""An outage of the store shorter than this ends before a lease does."""


class EngineAssignment:
    """Starts and stops owners' tasks as the store and the fleet ask for it."""

    def __init__(
        self,
        state: VMState,
        engines: Engines,
        ownership: Ownership,
        owner_context: OwnerContext,
        notes: PoolNotes,
    ) -> None:
        self._state = state
        self._engines = engines
        self._ownership = ownership
        self._owner_context = owner_context
        self._notes = notes

    def assign(self) -> bool:
        """Begin to own the engines that the store gives us, end to own others.

        Returns whether anything changed.
        """
        wanted = self._engines_to_own()
        owners = self._engines.owner_by_engine
        before = set(owners)
        for engine_id in list(owners):
            if engine_id not in wanted:
                owners.pop(engine_id).stop()
                self._state.journal.write("owner_stopped", engine=engine_id)
        for engine_id, capacity in wanted.items():
            record = self._state.endpoints.record_by_id[engine_id]
            if engine_id in owners:
                owners[engine_id].record = record
                continue
            owner = EngineOwner(record, capacity, self._owner_context)
            owners[engine_id] = owner
            self._assume(owner)
            for (model, adapter), version in self._state.version_by_adapter.items():
                if adapter is not None:
                    owner.note_version(model, adapter, version)
            owner.start()
            self._state.journal.write(
                "owner_started",
                engine=engine_id,
                generation=self._ownership.generation,
            )
        self._state.fleet.drop_engines(set(self._state.endpoints.record_by_id))
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

    def pool_held_up(self, service: str) -> bool:
        """Tell whether reading holds up the streams of a whole pool of engines."""
        records = self._state.endpoints.ready(service)
        engines = (self._state.fleet.engine(record.endpoint_id) for record in records)
        statuses = (owned.status for owned in engines if owned is not None)
        held_up = sum(status is not None and status.held_up for status in statuses)
        return is_pool_stalled(held_up, len(records))

    def held_up_by_service(self) -> dict[str, bool]:
        """Return for each pool of engines whether it is held up."""
        services = {record.service for record in self._state.model_engines()}
        return {service: self.pool_held_up(service) for service in services}

    async def write_notes_forever(self) -> None:
        """Keep in the store what has been learned of the pools of engines.

        Only owners do: they hear of one another's engines.
        """
        while True:
            await asyncio.sleep(NOTES_LOOK_S)
            if not self._engines.owner_by_engine:
                continue
            owners = self._state.fleet.owner_ids()
            held_up = self.held_up_by_service()
            await self._notes.write_changes(held_up, owners, self._state.now())

    def on_note(self, service: str) -> None:
        """Let owners that know nothing yet begin with what was noted of their pool."""
        for owner in self._engines.owner_by_engine.values():
            if owner.record.service == service:
                self._assume(owner)

    def _assume(self, owner: EngineOwner) -> None:
        service = owner.record.service
        if self.pool_held_up(service) or self._notes.held_up(service):
            owner.places.pacing.stall_detector.assume_stalled(self._state.now())

    def on_fenced(self, record: EndpointRecord, token: int) -> None:
        """Take an engine's word that another VM used a higher fencing number."""
        owned = self._state.fleet.engine(record.endpoint_id)
        seen = owned.fence if owned is not None else 0
        self._ownership.on_fenced(record.registered_id, max(seen, token))

    def stand_in_for_lost_owners(self, *, store_answers_others: bool) -> bool:
        """Own engines whose owner is gone while no VM reaches the store; True if any.

        Guards against a long outage in which VMs stop or die: the store cannot name
        new owners, and fewer and fewer engines could load anything.
        """
        if self._ownership.away_s() < STORE_AWAY_S or store_answers_others:
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
                self._ownership.stand_in(registered_id, above)
                changed = True
        return changed
