"""Strict decoding of documents into frozen types.

Others write into the same topics as the endpoints: fields may be missing or of another
type. Coerced, a text would become a number and a number a name; here every value has
the type that the field says, or the document is refused with the place of each finding.

No library: those that are strict and need no native code add to what every start of a
VM costs, and a fleet whose VMs all start again pays that for each at once.
"""

import dataclasses
import json
import types
import typing
from collections.abc import Callable
from typing import Any, TypeVar

Decoded = TypeVar("Decoded")

Findings = list[str]
Reader = Callable[[Any, str, Findings], Any]
"""Takes a value and its place; returns it as its type, or adds what is wrong."""

_reader_by_type: dict[Any, Reader] = {}
_name_by_field: dict[type, dict[str, str]] = {}
_closed: set[type] = set()


class BadRecordError(ValueError):
    """A document that is malformed; the last good view stays in force."""


def set_wire_names(wanted: type, **name_by_field: str) -> None:
    """Say which fields of a type have other names on the wire."""
    _name_by_field[wanted] = name_by_field


def forbid_unknown_fields(wanted: type) -> None:
    """Take no other fields than the type's own: in a file that people write by hand."""
    _closed.add(wanted)


def structure(document: Any, wanted: type[Decoded], what: str) -> Decoded:
    """Read a parsed document; raises BadRecordError with ``what`` and the places."""
    findings: Findings = []
    try:
        result = _reader_of(wanted)(document, "$", findings)
    except (ValueError, TypeError, RecursionError) as error:
        raise BadRecordError(f"{what}: {error}") from error
    if findings:
        raise BadRecordError(f"{what}: {'; '.join(findings)}")
    return typing.cast(Decoded, result)


def decode(source: bytes, wanted: type[Decoded], what: str) -> Decoded:
    """Read a JSON document; raises BadRecordError with ``what`` and the places."""
    try:
        document = json.loads(source)
    except (ValueError, RecursionError) as error:
        raise BadRecordError(f"{what}: {error}") from error
    return structure(document, wanted, what)


def _reader_of(hint: Any) -> Reader:
    """Return the reader of a type hint, built once."""
    reader = _reader_by_type.get(hint)
    if reader is None:
        reader = _reader_by_type[hint] = _build_reader(hint)
    return reader


def _build_reader(hint: Any) -> Reader:
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if hint is Any:
        return lambda value, place, findings: value
    if origin in (typing.Union, types.UnionType):
        return _optional_reader(arguments)
    if origin is tuple:
        return _sequence_reader(_reader_of(arguments[0]))
    if origin is dict:
        return _map_reader(_reader_of(arguments[1]))
    if dataclasses.is_dataclass(hint):
        return _record_reader(typing.cast(type, hint))
    if hint is float:
        return _scalar_reader((float, int), float)
    if hint in (str, int, bool, list) or origin is list:
        return _scalar_reader((origin or hint,), lambda value: value)
    raise TypeError(f"no reader for the type hint {hint!r}")


def _scalar_reader(kinds: tuple[type, ...], convert: Callable[[Any], Any]) -> Reader:
    """Take just these types; a truth value is no whole number."""

    def read(value: Any, place: str, findings: Findings) -> Any:
        if type(value) in kinds:
            return convert(value)
        findings.append(f"{kinds[0].__name__} expected @ {place}")
        return None

    return read


def _optional_reader(arguments: tuple[Any, ...]) -> Reader:
    (wanted,) = (item for item in arguments if item is not type(None))
    reader = _reader_of(wanted)

    def read(value: Any, place: str, findings: Findings) -> Any:
        return None if value is None else reader(value, place, findings)

    return read


def _sequence_reader(reader: Reader) -> Reader:
    """Take a list; a text is no list of its letters."""

    def read(value: Any, place: str, findings: Findings) -> Any:
        if type(value) is not list:
            findings.append(f"list expected @ {place}")
            return ()
        return tuple(
            [reader(item, f"{place}[{n}]", findings) for n, item in enumerate(value)]
        )

    return read


def _map_reader(reader: Reader) -> Reader:
    def read(value: Any, place: str, findings: Findings) -> Any:
        if type(value) is not dict:
            findings.append(f"map expected @ {place}")
            return {}
        return {
            key: reader(item, f"{place}.{key}", findings) for key, item in value.items()
        }

    return read


def _record_reader(wanted: type) -> Reader:
    hints = typing.get_type_hints(wanted)
    renames = _name_by_field.get(wanted, {})
    fields = [
        (renames.get(field.name, field.name), field.name, _reader_of(hints[field.name]))
        for field in dataclasses.fields(wanted)
    ]
    required = {
        renames.get(field.name, field.name)
        for field in dataclasses.fields(wanted)
        if field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    }
    known = {name for name, _, _ in fields}

    def read(value: Any, place: str, findings: Findings) -> Any:
        if type(value) is not dict:
            findings.append(f"map expected @ {place}")
            return None
        before = len(findings)
        missing = sorted(required - value.keys())
        unknown = sorted(value.keys() - known) if wanted in _closed else []
        findings.extend(f"required field missing @ {place}.{name}" for name in missing)
        findings.extend(f"unknown field @ {place}.{name}" for name in unknown)
        members = {
            field: reader(value[name], f"{place}.{name}", findings)
            for name, field, reader in fields
            if name in value
        }
        return wanted(**members) if len(findings) == before else None

    return read
