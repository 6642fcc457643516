"""The catalogue as a deterministic fold of its log stream.

Every entry VM applies the same records in the same order and so reaches the same
state and the same outcome of each edit. The revision is the offset of the last
accepted edit plus one.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Any

from result import Err

from bamboovale.catalogue.edits import (
    EDIT_ID,
    EDIT_TYPE,
    Action,
    Change,
    Edit,
    EditOutcome,
    RejectionReason,
    parse_edit,
)
from bamboovale.catalogue.entries import (
    AdapterEntry,
    Entry,
    Kind,
    PoolEntry,
    ServiceEntry,
)
from bamboovale.catalogue.history import (
    MAX_HISTORY_CHANGES_PER_EDIT,
    EditHistory,
    EntryChange,
    HistoryRecord,
)
from bamboovale.catalogue.index import EntryIndex, Tombstone
from bamboovale.catalogue.rules import MAX_FINDINGS, find_conflicts, validate_changes

DIGEST_BYTES = 16


class CatalogueGapError(Exception):
    """Records between ``next_offset`` and ``offset`` were not read.

    The state is unchanged. The reader needs a snapshot taken at or after the oldest
    retained offset to continue.
    """

    def __init__(self, next_offset: int, offset: int) -> None:
        super().__init__(f"expected offset {next_offset}, read {offset}")
        self.next_offset = next_offset
        self.offset = offset


@dataclass(slots=True)
class CatalogueCounters:
    """Counters for metrics; not part of the replicated state."""

    accepted: int = 0
    rejected: int = 0
    repeated: int = 0
    ignored: int = 0
    regressions: int = 0


@dataclass(frozen=True, slots=True)
class CatalogueView:
    """An immutable view of the catalogue at one revision, safe to share."""

    revision: int
    next_offset: int
    digest: str
    adapter_by_name: Mapping[str, AdapterEntry]
    pool_by_name: Mapping[str, PoolEntry]
    service_by_name: Mapping[str, ServiceEntry]
    tombstone_by_key: Mapping[tuple[Kind, str], Tombstone]
    history: tuple[HistoryRecord, ...]

    def entry(self, kind: Kind, name: str) -> Entry | None:
        """Return the entry, None if there is none."""
        return self.table(kind).get(name)

    def table(self, kind: Kind) -> Mapping[str, Any]:
        """Return the entries of one kind by name."""
        if kind is Kind.ADAPTER:
            return self.adapter_by_name
        if kind is Kind.POOL:
            return self.pool_by_name
        return self.service_by_name


class Catalogue:
    """The catalogue state; owned by the actor that reads the stream."""

    def __init__(self) -> None:
        self.revision = 0
        self.next_offset = 0
        self.digest = ""
        self.counters = CatalogueCounters()
        self.index = EntryIndex()
        self.edit_history = EditHistory()
        self._view: CatalogueView | None = None

    @classmethod
    def empty(cls) -> "Catalogue":
        """Return the state before the first record of the stream."""
        return cls()

    @property
    def adapter_by_name(self) -> Mapping[str, AdapterEntry]:
        """Return the adapter entries."""
        return self.index.adapter_by_name

    @property
    def pool_by_name(self) -> Mapping[str, PoolEntry]:
        """Return the pool entries."""
        return self.index.pool_by_name

    @property
    def service_by_name(self) -> Mapping[str, ServiceEntry]:
        """Return the service entries."""
        return self.index.service_by_name

    def outcome_of(self, edit_id: str, digest: str) -> EditOutcome | None:
        """Return the outcome of an edit, None if unknown or no longer remembered.

        An id that was used by an edit with other contents is rejected, so that
        the sender does not receive the outcome of another edit.
        """
        known = self.edit_history.outcome_by_edit_id.get(edit_id)
        if known is None or known.digest == digest:
            return known
        return EditOutcome(
            edit_id=edit_id,
            accepted=False,
            revision=self.revision,
            offset=known.offset,
            digest=digest,
            reason=RejectionReason.EDIT_ID_REUSED,
        )

    def view(self) -> CatalogueView:
        """Return an immutable view, cached until the next change."""
        if self._view is None:
            self._view = CatalogueView(
                revision=self.revision,
                next_offset=self.next_offset,
                digest=self.digest,
                adapter_by_name=self.index.adapter_by_name,
                pool_by_name=self.index.pool_by_name,
                service_by_name=self.index.service_by_name,
                tombstone_by_key=dict(self.index.tombstone_by_key),
                history=tuple(self.edit_history.history),
            )
        return self._view

    def apply(self, offset: int, value: Any) -> EditOutcome | None:
        """Apply one record; return the outcome if it is an edit.

        Records that were applied before and snapshots have no effect.
        Raises :class:`CatalogueGapError` if records are missing before this one.
        """
        if offset < self.next_offset:
            return None
        if offset > self.next_offset:
            raise CatalogueGapError(self.next_offset, offset)
        self.next_offset = offset + 1
        self._view = None
        record_type = value.get("type") if isinstance(value, dict) else None
        if record_type != EDIT_TYPE:
            self.counters.ignored += record_type != "snapshot"
            self._extend_digest(offset, None, None)
            return None
        outcome = self._apply_edit(offset, value)
        self._extend_digest(offset, value, outcome)
        return outcome

    def adopt(self, other: "Catalogue") -> bool:
        """Replace the state by another's; return False, unchanged, if that is older.

        An older snapshot or peer state would revert accepted edits until the log is
        read again; it is refused and counted.
        """
        if other.next_offset < self.next_offset or other.revision < self.revision:
            self.counters.regressions += 1
            return False
        self.revision = other.revision
        self.next_offset = other.next_offset
        self.digest = other.digest
        self.index = other.index
        self.edit_history = other.edit_history
        self._view = None
        return True

    def _apply_edit(self, offset: int, value: dict[str, Any]) -> EditOutcome | None:
        parsed = parse_edit(value)
        if isinstance(parsed, Err):
            return self._reject_unreadable(offset, value, parsed.err_value)
        edit = parsed.ok_value
        digest = edit.digest()
        known = self.outcome_of(edit.edit_id, digest)
        if known is not None:
            # An append whose response was lost is retried with the same id; both
            # copies may be on the log. Only the first takes effect.
            self.counters.repeated += 1
            return known
        outcome = self._evaluate(offset, edit, digest)
        self.edit_history.remember(outcome)
        return outcome

    def _evaluate(self, offset: int, edit: Edit, digest: str) -> EditOutcome:
        rejected = EditOutcome(
            edit_id=edit.edit_id,
            accepted=False,
            revision=self.revision,
            offset=offset,
            digest=digest,
        )
        conflicts = find_conflicts(edit.changes, self.index)
        if conflicts:
            return self._reject(
                replace(
                    rejected,
                    reason=RejectionReason.CONFLICT,
                    conflicts=tuple(conflicts[:MAX_FINDINGS]),
                )
            )
        findings = validate_changes(edit.changes, self.index)
        if findings:
            return self._reject(
                replace(
                    rejected,
                    reason=RejectionReason.INVALID,
                    findings=tuple(findings),
                )
            )
        self._accept(offset, edit)
        return EditOutcome(edit.edit_id, True, self.revision, offset, digest)

    def _reject_unreadable(
        self,
        offset: int,
        value: dict[str, Any],
        findings: list,
    ) -> EditOutcome | None:
        edit_id = value.get("edit_id")
        if not isinstance(edit_id, str) or not EDIT_ID.fullmatch(edit_id):
            self.counters.ignored += 1
            return None
        return self._reject(
            EditOutcome(
                edit_id=edit_id,
                accepted=False,
                revision=self.revision,
                offset=offset,
                reason=RejectionReason.INVALID,
                findings=tuple(findings[:MAX_FINDINGS]),
            )
        )

    def _reject(self, outcome: EditOutcome) -> EditOutcome:
        self.counters.rejected += 1
        return outcome

    def _accept(self, offset: int, edit: Edit) -> None:
        revision = offset + 1
        if revision <= self.revision:
            self.counters.regressions += 1
            raise AssertionError(f"revision {revision} after {self.revision}")
        self.revision = revision
        self.counters.accepted += 1
        listed: list[EntryChange] = []
        changed = 0
        for change in edit.changes:
            entry_change = self._put(change, edit, revision)
            if entry_change.before == entry_change.after:
                continue
            changed += 1
            if len(listed) < MAX_HISTORY_CHANGES_PER_EDIT:
                listed.append(entry_change)
        self.edit_history.add(
            HistoryRecord(
                revision=revision,
                edit_id=edit.edit_id,
                author=edit.author,
                made_at=edit.made_at,
                changes=tuple(listed),
                omitted=changed - len(listed),
            )
        )

    def _put(self, change: Change, edit: Edit, revision: int) -> EntryChange:
        before = self.index.get(change.kind, change.name)
        if change.action is Action.DELETE or change.entry is None:
            self.index.remove(
                Tombstone(
                    kind=change.kind,
                    name=change.name,
                    revision=revision,
                    author=edit.author,
                    made_at=edit.made_at,
                )
            )
            return EntryChange(change.kind, change.name, before, None)
        if before == change.entry:
            # An unchanged entry keeps its revision: applying the same file again
            # causes no conflicts and no history.
            return EntryChange(change.kind, change.name, before, before)
        after = replace(change.entry, revision=revision)
        self.index.put(after)
        return EntryChange(change.kind, change.name, before, after)

    def _extend_digest(
        self,
        offset: int,
        value: dict[str, Any] | None,
        outcome: EditOutcome | None,
    ) -> None:
        content = [self.digest, offset, value, repr(outcome)]
        text = json.dumps(content, sort_keys=True, default=str)
        self.digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
