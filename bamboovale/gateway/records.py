"""Records of the operator and the endpoints, from the store or from other VMs."""

import asyncio
import random
from collections.abc import Callable

from bamboovale.decoding import BadRecordError
from bamboovale.fleet.messages import AdapterNews
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.model import RoutingTable
from bamboovale.gateway.ownership import lease_clock
from bamboovale.gateway.translation import Translation
from bamboovale.gateway.vm_state import VMState
from bamboovale.store.follower import RETRY_S, TopicFollower
from bamboovale.store.interface import KeyedRecord, MetadataStore

CONFIG_PAUSE_S = 0.02
"""Pause between two reads of the operator's topic."""
ENDPOINTS_LONG_POLL_S = 1.0
"""How long a read of the endpoints' topic waits for a change: less than a heartbeat
interval, so that a read without an answer shows an unreachable store."""
ENDPOINTS_PAUSE_S = 0.6
"""Pause between reads of the endpoints' topic, which changes with every heartbeat. A
leaving endpoint must get no new work two seconds after its record says so."""
POLL_MARGIN_S = 0.01
"""Added to a read that is to end when the store is settled."""
READERS = 4
"""VMs that read the endpoints' topic in a larger fleet, as every read is a priced
call."""
STALE_AFTER_S = 4.0
"""Time without progress after which a VM reads for itself. Progress spreads by gossip,
which takes several steps in a large fleet."""
READ_ANEW_S = 0.6
"""Time over which the VMs of a large fleet read the endpoints anew after the store has
returned from an older copy: their calls have a common limit."""
LARGE_FLEET_RETRY_S = 2.0
"""Delay between retries of one VM in a larger fleet while the store fails: VMs that
reach it pass on what they read."""


class Records:
    """Keeps the configuration, versions and endpoints of one VM up to date.

    ``on_answer`` is called after each answer of the store to a read, with whether the
    store is settled (see ``StoreWatch``). ``config_poll_s`` returns how long a read of
    the operator's topic waits for a change, ``may_read_operator`` whether this VM
    should read it. ``on_version`` is called with each version that was read,
    ``on_heartbeat`` with the endpoint and the position of each of its records.
    """

    def __init__(
        self,
        state: VMState,
        translation: Translation,
        store: MetadataStore,
        engines: Engines,
        on_table: Callable[[], None],
        on_changed: Callable[[], None],
        on_answer: Callable[[bool], None],
        config_poll_s: Callable[[], float],
        may_read_operator: Callable[[], bool],
        on_version: Callable[[AdapterNews], None],
        on_heartbeat: Callable[[str, int], None],
    ) -> None:
        self._state = state
        self._translation = translation
        self._engines = engines
        self._on_table = on_table
        self._on_version = on_version
        self._on_heartbeat = on_heartbeat
        self.operator = TopicFollower(
            translation.operator_topic,
            store,
            state.journal,
            state.eras,
            on_record=self._on_operator_record,
            wait_s=config_poll_s,
            pause_s=lambda: CONFIG_PAUSE_S,
            retry_s=lambda: self._retry_s(),
            on_answer=lambda: on_answer(False),
            may_read=lambda progress_age_s: may_read_operator(),
            on_proof=lambda proven_at: state.view.on_proof(proven_at, "store"),
            now=state.now,
        )
        self.endpoints = TopicFollower(
            translation.endpoints_topic,
            store,
            state.journal,
            state.eras,
            on_record=self._on_endpoint_record,
            on_odd=lambda record: state.endpoints.on_unreadable_record(record.key),
            known_keys=state.endpoints.registered_ids,
            wait_s=self._endpoints_poll_s,
            pause_s=lambda: ENDPOINTS_PAUSE_S,
            retry_s=lambda: self._retry_s(),
            on_changed=on_changed,
            on_answer=lambda: on_answer(state.store_watch.on_read()),
            on_failure=state.store_watch.on_read_failed,
            on_snapshot=lambda: state.versions.on_snapshot(lease_clock()),
            on_proof=state.versions.on_proof,
            may_read=self._may_read_endpoints,
            now=state.now,
        )

        state.eras.listen(self._on_return)

    def _on_return(self) -> None:
        """Read the endpoints anew, VMs of a large fleet within a while of one another.

        The configuration and versions are read anew by the VMs that read them, and the
        others hear of them, as these only rise.
        """
        is_reader = self._is_reader()
        delay_s = 0.0 if is_reader else READ_ANEW_S * random.random()
        self.endpoints.read_anew(delay_s)
        self.operator.stop_read()

    def followers(self) -> tuple[TopicFollower, ...]:
        """Return the followers of all topics."""
        return (self.operator, self.endpoints)

    async def prove(self) -> bool:
        """Read all topics up to now; return whether the store answered in time."""
        proofs = [follower.prove() for follower in self.followers()]
        return all(await asyncio.gather(*proofs))

    def apply_table(self, table: RoutingTable, origin: str) -> None:
        """Apply a configuration, unless it is not newer than the current one."""
        before = self._state.table.version if self._state.table else None
        if before is not None and table.version <= before:
            return
        self._state.table = table
        self._state.versions.routes.on_routes(table.services_by_path(), lease_clock())
        self._state.journal.write(
            "config_in_force",
            version=table.version,
            before=before,
            origin=origin,
            routes=len(table.routes),
        )
        self._on_table()

    def _on_operator_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        change = self._translation.decode_operator_record(record.key, record.value)
        if change is None:
            return
        if isinstance(change, str):
            raise BadRecordError(change)
        if isinstance(change, RoutingTable):
            self.apply_table(change, origin="store")
        else:
            news = AdapterNews(change.model, change.adapter, change.version)
            self.apply_news(news)
            self._on_version(news)

    def apply_news(self, news: AdapterNews) -> None:
        """Apply a version of an adapter, unless it is not newer than the known one."""
        model, adapter, version = news.model, news.adapter, news.version
        key = (model, adapter)
        before = self._state.version_by_adapter.get(key, 1)
        if version <= before:
            return
        self._state.version_by_adapter[key] = version
        self._state.journal.write(
            "adapter_version", model=model, adapter=adapter, version=version
        )
        if adapter is not None:
            for owner in self._engines.owner_by_engine.values():
                owner.note_version(model, adapter, version)

    def _on_endpoint_record(self, record: KeyedRecord) -> bool:
        if record.value is None:
            return self._state.endpoints.on_record(
                record.key, None, record.position, from_copy=record.from_copy
            )
        decoded = self._translation.decode_endpoint_record(record.key, record.value)
        if isinstance(decoded, str):
            raise BadRecordError(decoded)
        self._on_heartbeat(decoded.endpoint_id, record.position)
        return self._state.endpoints.on_record(
            record.key, decoded, record.position, from_copy=record.from_copy
        )

    def _is_reader(self) -> bool:
        """Return whether this VM reads the endpoints' topic, also for other VMs."""
        fleet = self._state.fleet
        if not self._state.knows_fleet:
            return False
        if not fleet.is_large():
            return True
        return self._state.node.name in fleet.designated("readers", READERS)

    def _may_read_endpoints(self, progress_age_s: float) -> bool:
        """Return whether this VM should read the endpoints' topic now."""
        return progress_age_s > STALE_AFTER_S or self._is_reader()

    def _endpoints_poll_s(self) -> float:
        """Return how long the next read of the endpoints' topic may wait.

        Whether the store is settled is told with each answer: guards against endpoints
        that left and are known as expired for the length of one more read.
        """
        settles_in_s = self._state.store_watch.settles_in_s()
        if settles_in_s is None:
            return ENDPOINTS_LONG_POLL_S
        return min(ENDPOINTS_LONG_POLL_S, settles_in_s + POLL_MARGIN_S)

    def _retry_s(self) -> float:
        """Return the delay before the next retry while the store fails."""
        return (
            RETRY_S
            if self._is_reader()
            else LARGE_FLEET_RETRY_S * random.uniform(0.7, 1)
        )
