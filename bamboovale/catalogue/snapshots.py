"""Serialized snapshots of the catalogue, for the log and for peers.

On the log a snapshot is split into parts, each small enough for one record.
"""

from collections.abc import Callable, Iterator
from typing import Any

from result import Err

from bamboovale.catalogue.edits import Conflict, EditOutcome, RejectionReason
from bamboovale.catalogue.entries import Entry, Kind, parse_entry
from bamboovale.catalogue.fold import Catalogue
from bamboovale.catalogue.history import EntryChange, HistoryRecord
from bamboovale.catalogue.index import Source, Tombstone
from bamboovale.errors import Finding
from bamboovale.rows import RowsInvalidError, checksum, pack_rows, unpack_rows

SNAPSHOT_TYPE = "snapshot"
FORMAT = 1
# The log limits records to 1 MiB; the rest is for the other fields of a part.
MAX_PART_CHARACTERS = 900 * 1024
# Entry VMs may write snapshots at the same time; beyond this number the incomplete
# ones are dropped, oldest first.
MAX_INCOMPLETE_SNAPSHOTS = 4


class SnapshotInvalidError(Exception):
    """The value is not a complete snapshot in a known format."""


def write_snapshot(catalogue: Catalogue) -> dict[str, Any]:
    """Return the complete state as one value; equal states yield equal values."""
    data = pack_rows(_rows(catalogue))
    return {
        "type": SNAPSHOT_TYPE,
        "snapshot_id": f"{catalogue.next_offset}-{checksum(data)}",
        "at": catalogue.next_offset,
        "data": data,
    }


def read_snapshot(value: Any) -> Catalogue:
    """Return the state in a complete snapshot; raise SnapshotInvalidError."""
    try:
        if value["snapshot_id"] != f"{value['at']}-{checksum(value['data'])}":
            raise SnapshotInvalidError("snapshot checksum does not match its data")
        rows = unpack_rows(value["data"])
        header = next(rows)
        if header["format"] != FORMAT:
            raise SnapshotInvalidError(f"unknown snapshot format {header['format']}")
        return _build(header, rows)
    except (KeyError, TypeError, ValueError, StopIteration, RowsInvalidError) as error:
        raise SnapshotInvalidError(str(error)) from error


def split_snapshot(
    value: dict[str, Any],
    max_characters: int = MAX_PART_CHARACTERS,
) -> list[dict[str, Any]]:
    """Split a snapshot into the records that store it on the log."""
    data = value["data"]
    starts = range(0, len(data), max_characters)
    return [
        {
            "type": SNAPSHOT_TYPE,
            "snapshot_id": value["snapshot_id"],
            "at": value["at"],
            "part": part,
            "parts": len(starts),
            "data": data[start : start + max_characters],
        }
        for part, start in enumerate(starts)
    ]


class SnapshotAssembler:
    """Reassembles a snapshot from the log for a reader that found a gap.

    ``first`` is the oldest retained offset. Snapshots taken before it are ignored:
    the records between them and ``first`` have expired. The reader adopts the snapshot
    and reads again from its offset, so that no records need to be buffered.
    """

    def __init__(self, first: int) -> None:
        self._first = first
        self._data_by_part_by_id: dict[str, dict[int, str]] = {}

    def add(self, value: Any) -> dict[str, Any] | None:
        """Add a record; return the snapshot once all its parts were added."""
        if not _is_part(value) or value["at"] < self._first:
            return None
        snapshot_id = value["snapshot_id"]
        data_by_part = self._data_by_part_by_id.setdefault(snapshot_id, {})
        data_by_part[value["part"]] = value["data"]
        if len(data_by_part) < value["parts"]:
            self._drop_oldest()
            return None
        del self._data_by_part_by_id[snapshot_id]
        return {
            "type": SNAPSHOT_TYPE,
            "snapshot_id": snapshot_id,
            "at": value["at"],
            "data": "".join(data_by_part[part] for part in sorted(data_by_part)),
        }

    def _drop_oldest(self) -> None:
        while len(self._data_by_part_by_id) > MAX_INCOMPLETE_SNAPSHOTS:
            del self._data_by_part_by_id[next(iter(self._data_by_part_by_id))]


def _is_part(value: Any) -> bool:
    return (
        isinstance(value, dict)
        and value.get("type") == SNAPSHOT_TYPE
        and isinstance(value.get("snapshot_id"), str)
        and isinstance(value.get("at"), int)
        and isinstance(value.get("data"), str)
        and isinstance(value.get("part"), int)
        and isinstance(value.get("parts"), int)
        and 0 <= value["part"] < value["parts"]
    )


def _rows(catalogue: Catalogue) -> Iterator[Any]:
    yield {
        "format": FORMAT,
        "revision": catalogue.revision,
        "next_offset": catalogue.next_offset,
        "digest": catalogue.digest,
    }
    index = catalogue.index
    for entry in index.entries():
        yield ["entry", entry.revision, entry.to_json()]
    for tombstone in index.tombstone_by_key.values():
        yield [
            "tombstone",
            tombstone.kind.value,
            tombstone.name,
            tombstone.revision,
            tombstone.author,
            tombstone.made_at,
        ]
    for lora_name, source in index.retired_source_by_lora_name.items():
        yield ["retired", lora_name, source.source, source.base_model]
    for outcome in catalogue.edit_history.outcome_by_edit_id.values():
        yield ["outcome", _outcome_row(outcome)]
    for record in catalogue.edit_history.history:
        yield ["history", _history_row(record)]


def _build(header: dict[str, Any], rows: Iterator[Any]) -> Catalogue:
    catalogue = Catalogue.empty()
    catalogue.revision = header["revision"]
    catalogue.next_offset = header["next_offset"]
    catalogue.digest = header["digest"]
    # Rows of entries come before tombstones and retired sources, because putting an
    # entry changes those tables.
    for name, *fields in rows:
        _READER_BY_ROW[name](catalogue, *fields)
    return catalogue


def _add_entry(catalogue: Catalogue, revision: int, data: Any) -> None:
    catalogue.index.put(_read_entry(data, revision))


def _add_tombstone(
    catalogue: Catalogue,
    kind: str,
    name: str,
    revision: int,
    author: str,
    made_at: float,
) -> None:
    catalogue.index.add_tombstone(
        Tombstone(Kind(kind), name, revision, author, made_at)
    )


def _add_retired(
    catalogue: Catalogue,
    lora_name: str,
    source: str,
    base_model: str,
) -> None:
    catalogue.index.add_retired_source(lora_name, Source(source, base_model))


def _add_outcome(catalogue: Catalogue, row: Any) -> None:
    catalogue.edit_history.remember(_read_outcome(row))


def _add_history(catalogue: Catalogue, row: Any) -> None:
    revision, edit_id, author, made_at, changes, omitted = row
    catalogue.edit_history.add(
        HistoryRecord(
            revision=revision,
            edit_id=edit_id,
            author=author,
            made_at=made_at,
            changes=tuple(
                EntryChange(Kind(kind), name, _optional(before), _optional(after))
                for kind, name, before, after in changes
            ),
            omitted=omitted,
        )
    )


_READER_BY_ROW: dict[str, Callable[..., None]] = {
    "entry": _add_entry,
    "tombstone": _add_tombstone,
    "retired": _add_retired,
    "outcome": _add_outcome,
    "history": _add_history,
}


def _history_row(record: HistoryRecord) -> list[Any]:
    changes = [
        [
            change.kind.value,
            change.name,
            _versioned(change.before),
            _versioned(change.after),
        ]
        for change in record.changes
    ]
    return [
        record.revision,
        record.edit_id,
        record.author,
        record.made_at,
        changes,
        record.omitted,
    ]


def _versioned(entry: Entry | None) -> list[Any] | None:
    return None if entry is None else [entry.revision, entry.to_json()]


def _optional(row: list[Any] | None) -> Entry | None:
    return None if row is None else _read_entry(row[1], row[0])


def _read_entry(data: Any, revision: int) -> Entry:
    parsed = parse_entry(data, revision=revision)
    if isinstance(parsed, Err):
        raise SnapshotInvalidError(repr(parsed.err_value))
    return parsed.ok_value


def _outcome_row(outcome: EditOutcome) -> list[Any]:
    return [
        outcome.edit_id,
        outcome.accepted,
        outcome.revision,
        outcome.offset,
        outcome.digest,
        None if outcome.reason is None else outcome.reason.value,
        [
            [item.kind.value, item.name, item.base_revision, item.current_revision]
            for item in outcome.conflicts
        ],
        [[finding.place, finding.message] for finding in outcome.findings],
    ]


def _read_outcome(row: list[Any]) -> EditOutcome:
    edit_id, accepted, revision, offset, digest, reason, conflicts, findings = row
    return EditOutcome(
        edit_id=edit_id,
        accepted=accepted,
        revision=revision,
        offset=offset,
        digest=digest,
        reason=None if reason is None else RejectionReason(reason),
        conflicts=tuple(Conflict(Kind(kind), *rest) for kind, *rest in conflicts),
        findings=tuple(Finding(place, message) for place, message in findings),
    )
