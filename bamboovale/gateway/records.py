"""What the operator and the endpoints wrote, from the store or from other VMs."""

from collections.abc import Callable

from bamboovale.decisions.rendezvous import first_members
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.followers import News, TopicFollower
from bamboovale.gateway.messages import EndpointNews
from bamboovale.gateway.model import RoutingTable
from bamboovale.gateway.store import KeyedRecord, MetadataStore
from bamboovale.gateway.translation import Translation
from bamboovale.gateway.vm_state import VMState
from bamboovale.peers.links import PeerLinks

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
"""VMs up to which each reads for itself: 9 make some 900 priced calls a minute."""
READERS = 4
"""VMs that read the endpoints' topic in a fleet of more than twelve; 75 that all read
made 8,262 calls in a day of 56 s, 0.13 of its worth."""
NEWS_STALE_S = 1.2
"""Readers pass on something every 0.6 s, also when nothing changed."""


class Records:
    """Keeps the configuration, versions and endpoints of one VM up to date."""

    def __init__(
        self,
        state: VMState,
        translation: Translation,
        store: MetadataStore,
        engines: Engines,
        links: PeerLinks,
        on_table: Callable[[], None],
    ) -> None:
        self._state = state
        self._translation = translation
        self._engines = engines
        self._links = links
        self._on_table = on_table
        self.operator = TopicFollower(
            translation.operator_topic,
            store,
            state.journal,
            on_record=self._on_operator_record,
            on_snapshot=lambda keys: None,
            wait_s=CONFIG_WAIT_S,
            pause_s=lambda: CONFIG_PAUSE_S,
        )
        self.endpoints = TopicFollower(
            translation.endpoints_topic,
            store,
            state.journal,
            on_record=self._on_endpoint_record,
            on_snapshot=state.endpoints.on_snapshot,
            wait_s=ENDPOINTS_WAIT_S,
            pause_s=lambda: ENDPOINTS_PAUSE_S,
            on_progress=state.endpoints.on_progress,
            on_news=self._pass_news_on,
            may_read=self._may_read_endpoints,
            now=state.now,
        )

    def take_table(self, table: RoutingTable, origin: str) -> None:
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
            self.take_table(change, origin="store")
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

    def _may_read_endpoints(self, news_age_s: float) -> bool:
        """Tell whether this VM reads the endpoints' topic itself now.

        In a large fleet a few VMs read and pass on what changed: every read is a
        priced call and the topic changes with each heartbeat. Whoever hears nothing
        for a moment reads for itself.
        """
        live = self._state.fleet.live_ids(self._state.now())
        if len(live) <= ALL_READ_UP_TO or news_age_s > NEWS_STALE_S:
            return True
        return self._state.node.name in first_members("readers", live, READERS)

    def _pass_news_on(self, news: News) -> None:
        now = self._state.now()
        if self._state.fleet.size(now) <= ALL_READ_UP_TO:
            return
        records = tuple((r.key, r.value, r.offset) for r in news.records)
        notice = EndpointNews(news.first_offset, news.next_offset, records)
        self._links.notify_all(self._state.fleet.to_tell(now), notice)

    def on_endpoint_news(self, notice: EndpointNews) -> None:
        """Take what another VM has read."""
        records = tuple(KeyedRecord(*row) for row in notice.records)
        news = News(notice.first_offset, notice.next_offset, records)
        self.endpoints.take_news(news)
