"""Parses HTTP requests into edits of the catalogue."""

import json
import re
from collections.abc import Sequence
from typing import Any

from result import Err, Ok, Result

from bamboovale.catalogue.edits import Action, Change, Edit, parse_change
from bamboovale.catalogue.entries import Kind, parse_entry
from bamboovale.catalogue.fields import FieldReader
from bamboovale.errors import Finding

ETAG = re.compile(r'"(\d{1,18})"')
# A record of the log may have 1 MiB; the rest is left for its envelope.
MAX_EDIT_BYTES = 900 * 1024


def read_base_revision(
    if_match: str,
    if_none_match: str,
) -> Result[int | None, list[Finding]]:
    """Return the base revision that the conditional headers demand, None without."""
    if if_match and if_none_match:
        return Err([Finding("If-Match", "excludes If-None-Match")])
    if if_none_match:
        if if_none_match != "*":
            return Err([Finding("If-None-Match", "must be *")])
        return Ok(0)
    if not if_match:
        return Ok(None)
    found = ETAG.fullmatch(if_match)
    if found is None:
        return Err([Finding("If-Match", 'must be one revision, such as "12"')])
    return Ok(int(found[1]))


def read_set(
    kind: Kind,
    name: str,
    data: Any,
    base_revision: int | None,
) -> Result[Change, list[Finding]]:
    """Parse the body of a PUT; kind and name default to those of the path."""
    if isinstance(data, dict):
        data = {"kind": kind.value, "name": name} | data
    parsed = parse_entry(data)
    if isinstance(parsed, Err):
        return parsed
    entry = parsed.ok_value
    if entry.kind != kind:
        return Err([Finding("kind", f"is {kind} in the path")])
    if entry.name != name:
        return Err([Finding("name", f"is {name} in the path")])
    return Ok(Change(Action.SET, kind, name, entry, base_revision))


def read_apply(data: Any) -> Result[list[Change], list[Finding]]:
    """Parse the body of an apply: ``entries``, ``deletions`` and ``changes``.

    ``changes`` have the form of an edit on the log, with a base revision each; the
    other two are short forms without one.
    """
    reader = FieldReader(data, "")
    if reader.findings:
        return Err(reader.findings)
    changes: list[Change] = []
    for field, parse in (
        ("entries", _parse_entry),
        ("deletions", _parse_deletion),
        ("changes", _parse_change),
    ):
        for index, row in enumerate(_read_list(reader, field)):
            place = f"{field}[{index}]"
            parsed = parse(row, place)
            if isinstance(parsed, Ok):
                changes.append(parsed.ok_value)
            else:
                reader.findings.extend(parsed.err_value)
    findings = reader.finish()
    if not findings and not changes:
        findings.append(Finding("", "names no entry and no deletion"))
    return Err(findings) if findings else Ok(sorted(changes, key=_order))


def split_edit(edit: Edit, max_bytes: int = MAX_EDIT_BYTES) -> list[Edit]:
    """Return the edit itself, or several that each fit a record of the log.

    Each part is accepted or rejected separately and in order: pools are set first and
    deleted last, so that no part depends on a later one.
    """
    groups: list[list[Change]] = [[]]
    used = 0
    for change in edit.changes:
        size = len(json.dumps(change.to_json())) + 2
        if groups[-1] and used + size > max_bytes:
            groups.append([])
            used = 0
        groups[-1].append(change)
        used += size
    if len(groups) == 1:
        return [edit]
    return [
        Edit(f"{edit.edit_id}.{part}", edit.author, edit.made_at, tuple(group))
        for part, group in enumerate(groups)
    ]


def _read_list(reader: FieldReader, field: str) -> Sequence[Any]:
    value = reader.pop(field)
    if value is None:
        return ()
    if not isinstance(value, list):
        reader.add(field, "must be a list")
        return ()
    return value


def _parse_entry(row: Any, place: str) -> Result[Change, list[Finding]]:
    parsed = parse_entry(row, place)
    if isinstance(parsed, Err):
        return parsed
    entry = parsed.ok_value
    return Ok(Change(Action.SET, entry.kind, entry.name, entry))


def _parse_deletion(row: Any, place: str) -> Result[Change, list[Finding]]:
    if isinstance(row, dict):
        row = {"action": Action.DELETE.value} | row
    return parse_change(row, place)


def _parse_change(row: Any, place: str) -> Result[Change, list[Finding]]:
    return parse_change(row, place)


def _order(change: Change) -> tuple[bool, bool, str]:
    is_deletion = change.action is Action.DELETE
    is_pool = change.kind is Kind.POOL
    return (is_deletion, is_deletion == is_pool, change.name)
