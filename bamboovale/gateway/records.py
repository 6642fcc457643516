"""What the operator and the endpoints wrote, from the store or from other VMs."""

import random
from collections.abc import Callable

from bamboovale.gateway.engines import Engines
from bamboovale.gateway.followers import RETRY_S, TopicFollower
from bamboovale.gateway.model import RoutingTable
from bamboovale.gateway.store import KeyedRecord, MetadataStore
from bamboovale.gateway.translation import Translation
from bamboovale.gateway.vm_state import VMState

CONFIG_WAIT_S = 20.0
"""How long a read of the operator's topic waits for a change: one call, no delay."""
CONFIG_PAUSE_S = 0.02
"""Between two reads of the operator's topic, when changes come in quick series."""
ENDPOINTS_WAIT_S = 1.0
"""How long a read of the endpoints' topic waits for a change: less than a heartbeat, so
that silence tells of a store that does not answer."""
ENDPOINTS_PAUSE_S = 0.6
"""Between reads of the endpoints' topic, which changes with every heartbeat. A leaving
endpoint must get no new work two seconds after it said so."""
ALL_READ_UP_TO = 12
"""VMs up to which each reads for itself: news takes no step then."""
READERS = 4
"""VMs that read the endpoints' topic in a larger fleet: every read is a priced call,
and the topic changes with each heartbeat."""
NEWS_STALE_S = 4.0
"""Without progress for so long a VM reads for itself. Progress goes from neighbour to
neighbour with the signs of life: some five steps in the largest fleet."""
RETRY_LARGE_S = 2.0
"""Between tries of one VM in a larger fleet while the store fails: those who reach it
pass on what they read."""


class Records:
    """Keeps the configuration, versions and endpoints of one VM up to date.

    ``on_answer`` is called with each answer of the store to a read, and told whether
    the store is settled: see ``StoreWatch``.
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
    ) -> None:
        self._state = state
        self._translation = translation
        self._engines = engines
        self._on_table = on_table
        self.operator = TopicFollower(
            translation.operator_topic,
            store,
            state.journal,
            on_record=self._on_operator_record,
            wait_s=CONFIG_WAIT_S,
            pause_s=lambda: CONFIG_PAUSE_S,
            retry_s=lambda: self._retry_s(),
            on_answer=lambda: on_answer(False),
            now=state.now,
        )
        self.endpoints = TopicFollower(
            translation.endpoints_topic,
            store,
            state.journal,
            on_record=self._on_endpoint_record,
            known_keys=state.endpoints.registered_ids,
            wait_s=ENDPOINTS_WAIT_S,
            pause_s=lambda: ENDPOINTS_PAUSE_S,
            retry_s=lambda: self._retry_s(),
            on_changed=on_changed,
            on_answer=lambda: on_answer(state.store_watch.on_read()),
            on_failure=state.store_watch.on_read_failed,
            may_read=self._may_read_endpoints,
            now=state.now,
        )

    def followers(self) -> tuple[TopicFollower, ...]:
        """Return the followers of all topics."""
        return (self.operator, self.endpoints)

    def apply_table(self, table: RoutingTable, origin: str) -> None:
        """Bring a configuration into force, unless it is older than ours."""
        before = self._state.table.version if self._state.table else None
        if before is not None and table.version <= before:
            return
        self._state.table = table
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
            self._state.journal.write("bad_record", key=record.key, error=change)
        elif isinstance(change, RoutingTable):
            self.apply_table(change, origin="store")
        else:
            self._take_version(change.model, change.adapter, change.version)

    def _take_version(self, model: str, adapter: str | None, version: int) -> None:
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
            return self._state.endpoints.on_record(record.key, None)
        decoded = self._translation.decode_endpoint_record(record.key, record.value)
        if isinstance(decoded, str):
            return self._state.endpoints.on_unreadable_record(record.key, decoded)
        return self._state.endpoints.on_record(record.key, decoded)

    def _is_reader(self) -> bool:
        """Tell whether this VM reads the endpoints' topic for others too."""
        fleet = self._state.fleet
        if not self._state.knows_fleet:
            return False
        if fleet.expected_size() <= ALL_READ_UP_TO:
            return True
        return self._state.node.name in fleet.designated("readers", READERS)

    def _may_read_endpoints(self, news_age_s: float) -> bool:
        """Tell whether this VM reads the endpoints' topic itself now."""
        return news_age_s > NEWS_STALE_S or self._is_reader()

    def _retry_s(self) -> float:
        """Return the time to the next try while the store fails."""
        return RETRY_S if self._is_reader() else RETRY_LARGE_S * random.uniform(0.7, 1)
