"""Current entries of the catalogue, with indexes for its validation rules."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from bamboovale.catalogue.entries import (
    AdapterEntry,
    Entry,
    Kind,
    PoolEntry,
    ServiceEntry,
)

# Sources of versions that no entry names any more are remembered, so that such a
# version cannot return with other weights while an engine may still hold the old ones.
MAX_RETIRED_SOURCES = 1024
MAX_TOMBSTONES = 4096


@dataclass(frozen=True, slots=True)
class Source:
    """Location of an adapter version's weights, and their base model."""

    source: str
    base_model: str

    @classmethod
    def of_entry(cls, entry: AdapterEntry) -> "Source":
        """Return the source that an adapter entry names."""
        return cls(entry.source, entry.base_model)


@dataclass(frozen=True, slots=True)
class Tombstone:
    """Record of a deleted entry."""

    kind: Kind
    name: str
    revision: int
    author: str
    made_at: float


class EntryIndex:
    """Entries by kind and name; only the fold writes them.

    Copy-on-write: the dictionaries are copied before a write if a view of them was
    returned since the last one, so that readers on other threads see no change.
    """

    def __init__(self) -> None:
        self._adapter_by_name: dict[str, AdapterEntry] = {}
        self._pool_by_name: dict[str, PoolEntry] = {}
        self._service_by_name: dict[str, ServiceEntry] = {}
        self._shared = False
        # Contains only entries whose name differs from their adapter's.
        self._aliases_by_adapter: dict[str, set[str]] = {}
        self._adapter_count_by_pool: Counter[str] = Counter()
        self.retired_source_by_lora_name: dict[str, Source] = {}
        self.tombstone_by_key: dict[tuple[Kind, str], Tombstone] = {}

    @property
    def adapter_by_name(self) -> Mapping[str, AdapterEntry]:
        """Return a read-only snapshot of the adapter entries."""
        self._shared = True
        return MappingProxyType(self._adapter_by_name)

    @property
    def pool_by_name(self) -> Mapping[str, PoolEntry]:
        """Return a read-only snapshot of the pool entries."""
        self._shared = True
        return MappingProxyType(self._pool_by_name)

    @property
    def service_by_name(self) -> Mapping[str, ServiceEntry]:
        """Return a read-only snapshot of the service entries."""
        self._shared = True
        return MappingProxyType(self._service_by_name)

    def get(self, kind: Kind, name: str) -> Entry | None:
        """Return the current entry, None if there is none."""
        if kind is Kind.ADAPTER:
            return self._adapter_by_name.get(name)
        if kind is Kind.POOL:
            return self._pool_by_name.get(name)
        return self._service_by_name.get(name)

    def entries(self) -> Iterator[Entry]:
        """Yield all entries, ordered by kind and name."""
        for table in (
            self._pool_by_name,
            self._service_by_name,
            self._adapter_by_name,
        ):
            for name in sorted(table):
                yield table[name]

    def users_of_adapter(self, adapter: str) -> Iterator[AdapterEntry]:
        """Yield the entries that name this adapter, at any version."""
        same_name = self._adapter_by_name.get(adapter)
        if same_name is not None and same_name.adapter == adapter:
            yield same_name
        for name in sorted(self._aliases_by_adapter.get(adapter, ())):
            yield self._adapter_by_name[name]

    def adapters_in_pool(self, pool: str) -> list[AdapterEntry]:
        """Return the adapter entries of a pool, ordered by name."""
        if not self._adapter_count_by_pool[pool]:
            return []
        found = [
            entry for entry in self._adapter_by_name.values() if entry.pool == pool
        ]
        return sorted(found, key=lambda entry: entry.name)

    def put(self, entry: Entry) -> None:
        """Set an entry, replacing the one of its kind and name."""
        self._copy_if_shared()
        if isinstance(entry, AdapterEntry):
            self._remove_adapter(entry.name)
            self._adapter_by_name[entry.name] = entry
            self._adapter_count_by_pool[entry.pool] += 1
            if entry.adapter != entry.name:
                aliases = self._aliases_by_adapter.setdefault(entry.adapter, set())
                aliases.add(entry.name)
        elif isinstance(entry, PoolEntry):
            self._pool_by_name[entry.name] = entry
        else:
            self._service_by_name[entry.name] = entry
        self.tombstone_by_key.pop((entry.kind, entry.name), None)

    def remove(self, tombstone: Tombstone) -> None:
        """Remove an entry and add its tombstone."""
        self._copy_if_shared()
        if tombstone.kind is Kind.ADAPTER:
            self._remove_adapter(tombstone.name)
        elif tombstone.kind is Kind.POOL:
            self._pool_by_name.pop(tombstone.name, None)
        else:
            self._service_by_name.pop(tombstone.name, None)
        self.add_tombstone(tombstone)

    def add_tombstone(self, tombstone: Tombstone) -> None:
        """Add a tombstone; drop the oldest beyond ``MAX_TOMBSTONES``."""
        key = (tombstone.kind, tombstone.name)
        self.tombstone_by_key.pop(key, None)
        self.tombstone_by_key[key] = tombstone
        _drop_oldest(self.tombstone_by_key, MAX_TOMBSTONES)

    def add_retired_source(self, lora_name: str, source: Source) -> None:
        """Add a retired source; drop the oldest beyond ``MAX_RETIRED_SOURCES``."""
        self.retired_source_by_lora_name.pop(lora_name, None)
        self.retired_source_by_lora_name[lora_name] = source
        _drop_oldest(self.retired_source_by_lora_name, MAX_RETIRED_SOURCES)

    def _remove_adapter(self, name: str) -> None:
        entry = self._adapter_by_name.pop(name, None)
        if entry is None:
            return
        self._adapter_count_by_pool[entry.pool] -= 1
        if entry.adapter != name:
            aliases = self._aliases_by_adapter[entry.adapter]
            aliases.discard(name)
            if not aliases:
                del self._aliases_by_adapter[entry.adapter]
        self.add_retired_source(entry.target.lora_name, Source.of_entry(entry))

    def _copy_if_shared(self) -> None:
        if not self._shared:
            return
        self._adapter_by_name = dict(self._adapter_by_name)
        self._pool_by_name = dict(self._pool_by_name)
        self._service_by_name = dict(self._service_by_name)
        self._shared = False


def _drop_oldest(table: dict, bound: int) -> None:
    while len(table) > bound:
        del table[next(iter(table))]
