"""Validation rules for edits, evaluated by every reader at the edit's offset.

They check base revisions, one change per entry, that deleted entries exist, an
adapter's pool and base model, pools still in use, and that an adapter version always
refers to the same weights. They do not check whether a service's pool or an adapter's
source exists on the platform.
"""

from collections.abc import Iterator, Sequence

from bamboovale.catalogue.edits import Action, Change, Conflict
from bamboovale.catalogue.entries import AdapterEntry, Entry, Kind, PoolEntry
from bamboovale.catalogue.index import EntryIndex, Source
from bamboovale.errors import Finding

# Bounds the size of an outcome if an edit invalidates a pool with many adapters.
MAX_FINDINGS = 20


def find_conflicts(changes: Sequence[Change], index: EntryIndex) -> list[Conflict]:
    """Return the changes whose base is not the current revision of their entry.

    Guards against lost updates by two operators who edit the same entry.
    """
    conflicts = []
    for change in changes:
        if change.base_revision is None:
            continue
        current = index.get(change.kind, change.name)
        current_revision = 0 if current is None else current.revision
        if change.base_revision != current_revision:
            conflicts.append(
                Conflict(
                    change.kind,
                    change.name,
                    change.base_revision,
                    current_revision,
                )
            )
    return conflicts


def validate_changes(changes: Sequence[Change], index: EntryIndex) -> list[Finding]:
    """Return the findings about the catalogue as it would be after the changes."""
    staged = StagedEntries(changes, index)
    findings = list(_duplicate_findings(changes))
    for position, change in enumerate(changes):
        prefix = f"changes[{position}]"
        if change.action is Action.DELETE:
            findings.extend(_deletion_findings(prefix, change, staged))
        elif isinstance(change.entry, AdapterEntry):
            findings.extend(_adapter_findings(prefix, change.entry, staged))
        elif isinstance(change.entry, PoolEntry):
            findings.extend(_pool_findings(prefix, change.entry, staged))
        if len(findings) > MAX_FINDINGS:
            break
    return findings[:MAX_FINDINGS]


class StagedEntries:
    """The entries as they would be after an edit."""

    def __init__(self, changes: Sequence[Change], index: EntryIndex) -> None:
        self.index = index
        self._entry_by_key: dict[tuple[Kind, str], Entry | None] = {
            (change.kind, change.name): change.entry for change in changes
        }
        self._adapters_by_adapter: dict[str, list[AdapterEntry]] = {}
        for entry in self._entry_by_key.values():
            if isinstance(entry, AdapterEntry):
                self._adapters_by_adapter.setdefault(entry.adapter, []).append(entry)

    def get(self, kind: Kind, name: str) -> Entry | None:
        """Return the entry after the edit."""
        key = (kind, name)
        if key in self._entry_by_key:
            return self._entry_by_key[key]
        return self.index.get(kind, name)

    def users_of_adapter(self, adapter: str) -> Iterator[AdapterEntry]:
        """Yield entries that name the adapter, before and after the edit."""
        yield from self.index.users_of_adapter(adapter)
        yield from self._adapters_by_adapter.get(adapter, ())

    def unchanged_in_pool(self, pool: str) -> Iterator[AdapterEntry]:
        """Yield the pool's adapter entries that the edit does not change."""
        for entry in self.index.adapters_in_pool(pool):
            if (Kind.ADAPTER, entry.name) not in self._entry_by_key:
                yield entry


def _duplicate_findings(changes: Sequence[Change]) -> Iterator[Finding]:
    seen = set()
    for position, change in enumerate(changes):
        key = (change.kind, change.name)
        if key in seen:
            yield Finding(
                f"changes[{position}]",
                f"{change.kind} {change.name} is changed twice in one edit",
            )
        seen.add(key)


def _deletion_findings(
    prefix: str,
    change: Change,
    staged: StagedEntries,
) -> Iterator[Finding]:
    if staged.index.get(change.kind, change.name) is None:
        yield Finding(prefix, f"{change.kind} {change.name} does not exist")
    elif change.kind is Kind.POOL:
        for entry in staged.unchanged_in_pool(change.name):
            yield Finding(prefix, f"adapter {entry.name} is still in the pool")


def _adapter_findings(
    prefix: str,
    entry: AdapterEntry,
    staged: StagedEntries,
) -> Iterator[Finding]:
    pool = staged.get(Kind.POOL, entry.pool)
    if not isinstance(pool, PoolEntry):
        yield Finding(f"{prefix}.entry.pool", f"pool {entry.pool} does not exist")
    elif pool.base_model != entry.base_model:
        yield Finding(
            f"{prefix}.entry.base_model",
            f"pool {pool.name} runs {pool.base_model}",
        )
    # Engines identify a version by its name alone: if its source changed, an engine
    # that holds the old weights would serve them as the new ones.
    new_source = Source.of_entry(entry)
    lora_name = entry.target.lora_name
    known = [
        (f"entry {user.name}", Source.of_entry(user))
        for user in staged.users_of_adapter(entry.adapter)
        if user.version == entry.version
    ]
    retired = staged.index.retired_source_by_lora_name.get(lora_name)
    if retired is not None:
        known.append(("an earlier entry", retired))
    for origin, source in known:
        if source != new_source:
            yield Finding(
                f"{prefix}.entry.version",
                f"{origin} has {lora_name} from {source.source} for "
                f"{source.base_model}; name a new version",
            )
            return


def _pool_findings(
    prefix: str,
    entry: PoolEntry,
    staged: StagedEntries,
) -> Iterator[Finding]:
    before = staged.index.get(Kind.POOL, entry.name)
    if not isinstance(before, PoolEntry) or before.base_model == entry.base_model:
        return
    for adapter in staged.unchanged_in_pool(entry.name):
        yield Finding(
            f"{prefix}.entry.base_model",
            f"adapter {adapter.name} is for {adapter.base_model}",
        )
