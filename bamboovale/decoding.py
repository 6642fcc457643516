"""Strict decoding of JSON documents into frozen data classes.

Documents come from other writers and may be malformed. Values are never coerced: each
must have the type of its field, or the document is rejected with the JSON path of each
finding. Implemented without a library to keep the start of a VM short.
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
"""Converts a value at a JSON path; appends a finding if the value is invalid."""

_reader_by_type: dict[Any, Reader] = {}
_name_by_field: dict[type, dict[str, str]] = {}
_strict_types: set[type] = set()


class BadRecordError(ValueError):
    """A document is malformed; callers keep the last valid one."""


def set_wire_names(target: type, **name_by_field: str) -> None:
    """Set the names on the wire of fields whose names differ there."""
    _name_by_field[target] = name_by_field


def forbid_unknown_fields(target: type) -> None:
    """Reject unknown fields of a type; guards against typos in files edited by hand."""
    _strict_types.add(target)


def structure(document: Any, target: type[Decoded], what: str) -> Decoded:
    """Decode parsed JSON; raises BadRecordError with ``what`` and the findings."""
    findings: Findings = []
    try:
        result = _reader_of(target)(document, "$", findings)
    except (ValueError, TypeError, RecursionError) as error:
        raise BadRecordError(f"{what}: {error}") from error
    if findings:
        raise BadRecordError(f"{what}: {'; '.join(findings)}")
    return typing.cast(Decoded, result)


def decode(source: bytes, target: type[Decoded], what: str) -> Decoded:
    """Decode a JSON document; raises BadRecordError with ``what`` and the findings."""
    try:
        document = json.loads(source)
    except (ValueError, RecursionError) as error:
        raise BadRecordError(f"{what}: {error}") from error
    return structure(document, target, what)


def _reader_of(hint: Any) -> Reader:
    """Return the cached reader of a type hint."""
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
    """Accept exactly these types; a bool is not accepted as an int."""

    def read(value: Any, place: str, findings: Findings) -> Any:
        if type(value) in kinds:
            return convert(value)
        findings.append(f"{kinds[0].__name__} expected @ {place}")
        return None

    return read


def _optional_reader(arguments: tuple[Any, ...]) -> Reader:
    (target,) = (item for item in arguments if item is not type(None))
    reader = _reader_of(target)

    def read(value: Any, place: str, findings: Findings) -> Any:
        return None if value is None else reader(value, place, findings)

    return read


def _sequence_reader(reader: Reader) -> Reader:
    """Accept a list only; a string is not accepted as a sequence."""

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


def _record_reader(target: type) -> Reader:
    hints = typing.get_type_hints(target)
    renames = _name_by_field.get(target, {})
    fields = [
        (renames.get(field.name, field.name), field.name, _reader_of(hints[field.name]))
        for field in dataclasses.fields(target)
    ]
    required = {
        renames.get(field.name, field.name)
        for field in dataclasses.fields(target)
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
        unknown = sorted(value.keys() - known) if target in _strict_types else []
        findings.extend(f"required field missing @ {place}.{name}" for name in missing)
        findings.extend(f"unknown field @ {place}.{name}" for name in unknown)
        members = {
            field: reader(value[name], f"{place}.{name}", findings)
            for name, field, reader in fields
            if name in value
        }
        return target(**members) if len(findings) == before else None

    return read
