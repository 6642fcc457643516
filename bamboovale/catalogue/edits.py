"""Edits of the catalogue and their outcomes."""

import json
import re
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from typing import Any

from result import Err, Ok, Result

from bamboovale.catalogue.entries import Entry, Kind, parse_entry
from bamboovale.catalogue.fields import FieldReader
from bamboovale.errors import Finding

EDIT_TYPE = "edit"
EDIT_ID = re.compile(r"[A-Za-z0-9._:-]{8,128}")
AUTHOR = re.compile(r"[^\x00-\x1f\x7f]{1,128}")
DIGEST_BYTES = 16


class Action(StrEnum):
    """What a change does to its entry."""

    SET = "set"
    DELETE = "delete"


class RejectionReason(StrEnum):
    """Why the fold rejected an edit."""

    CONFLICT = "conflict"
    INVALID = "invalid"
    EDIT_ID_REUSED = "edit_id_reused"


@dataclass(frozen=True, slots=True)
class Change:
    """One entry to set or delete.

    ``base_revision`` is the expected current revision of the entry: 0 if it must
    not exist, None for an unconditional change.
    """

    action: Action
    kind: Kind
    name: str
    entry: Entry | None = None
    base_revision: int | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "action": self.action.value,
            "kind": self.kind.value,
            "name": self.name,
            "entry": None if self.entry is None else self.entry.to_json(),
            "base_revision": self.base_revision,
        }


@dataclass(frozen=True, slots=True)
class Edit:
    """Changes that are applied atomically.

    ``made_at`` is the author's wall clock, for display only. A retry after a lost
    response keeps the ``edit_id``; the fold applies only the first copy.
    """

    edit_id: str
    author: str
    made_at: float
    changes: tuple[Change, ...]

    def to_json(self) -> dict[str, Any]:
        """Return the value that is appended to the log."""
        return {
            "type": EDIT_TYPE,
            "edit_id": self.edit_id,
            "author": self.author,
            "made_at": self.made_at,
            "changes": [change.to_json() for change in self.changes],
        }

    def digest(self) -> str:
        """Return a digest of the author and the changes, without ``made_at``."""
        content = [self.author, [change.to_json() for change in self.changes]]
        text = json.dumps(content, sort_keys=True, separators=(",", ":"))
        return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class Conflict:
    """A change whose base revision is not the entry's current revision.

    ``current_revision`` is 0 if the entry does not exist.
    """

    kind: Kind
    name: str
    base_revision: int
    current_revision: int


@dataclass(frozen=True, slots=True)
class EditOutcome:
    """The result of folding an edit, the same for every reader.

    ``revision`` is the catalogue's revision after the edit, whether it was
    accepted or not. ``digest`` is the edit's digest, which tells apart two edits
    with the same id.
    """

    edit_id: str
    accepted: bool
    revision: int
    offset: int
    digest: str = ""
    reason: RejectionReason | None = None
    conflicts: tuple[Conflict, ...] = ()
    findings: tuple[Finding, ...] = ()


def parse_edit(value: Any) -> Result[Edit, list[Finding]]:
    """Parse an edit from its JSON form, or return every finding."""
    reader = FieldReader(value, "")
    if reader.findings:
        return Err(reader.findings)
    if reader.pop("type") != EDIT_TYPE:
        reader.add("type", f"must be {EDIT_TYPE}")
    edit_id = reader.text("edit_id", pattern=EDIT_ID)
    author = reader.text("author", pattern=AUTHOR)
    made_at = reader.number("made_at", default=0.0, low=0.0, high=1e12)
    changes = _parse_changes(reader)
    findings = reader.finish()
    if findings:
        return Err(findings)
    return Ok(Edit(edit_id, author, made_at, changes))


def _parse_changes(reader: FieldReader) -> tuple[Change, ...]:
    rows = reader.pop("changes")
    if not isinstance(rows, list) or not rows:
        reader.add("changes", "must be a list of at least one change")
        return ()
    changes = []
    for index, row in enumerate(rows):
        parsed = parse_change(row, f"changes[{index}]")
        if isinstance(parsed, Ok):
            changes.append(parsed.ok_value)
        else:
            reader.findings.extend(parsed.err_value)
    return tuple(changes)


def parse_change(row: Any, place: str) -> Result[Change, list[Finding]]:
    """Parse one change, or return every finding with its place."""
    reader = FieldReader(row, place)
    if reader.findings:
        return Err(reader.findings)
    action = Action(reader.choice("action", tuple(Action), Action.SET))
    raw_kind = reader.pop("kind")
    if raw_kind not in tuple(Kind):
        reader.add("kind", f"must be one of {', '.join(Kind)}")
    name = reader.text("name")
    base_revision = _read_base_revision(reader)
    entry = _read_entry(reader, action)
    if entry is not None and (entry.kind, entry.name) != (raw_kind, name):
        reader.add("entry", "must have the kind and name of its change")
    findings = reader.finish()
    if findings:
        return Err(findings)
    return Ok(Change(action, Kind(raw_kind), name, entry, base_revision))


def _read_base_revision(reader: FieldReader) -> int | None:
    value = reader.pop("base_revision")
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        reader.add("base_revision", "must be a whole number from 0, or null")
        return None
    return value


def _read_entry(reader: FieldReader, action: Action) -> Entry | None:
    data = reader.pop("entry")
    if action is Action.DELETE:
        if data is not None:
            reader.add("entry", "must be null in a deletion")
        return None
    parsed = parse_entry(data, reader.place_of("entry"))
    if isinstance(parsed, Ok):
        return parsed.ok_value
    reader.findings.extend(parsed.err_value)
    return None
