"""Strict decoding of JSON documents into frozen data classes.

Documents come from other writers and may be malformed. Values are never coerced: each
must have the type of its field, or the document is rejected with the JSON path of each
finding. Implemented without a library to keep the start of a VM short.
"""

import contextlib
import dataclasses
import json
import math
import types
import typing
import unicodedata
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

from bamboovale.errors import MAX_ERROR_CHARS, describe, shorten

MAX_NUMBER = 2**53
"""Numbers up to this one are exact as floats, in JSON and in messages between VMs."""
MAX_TEXT_CHARS = 1024
UNSOUND_TEXT = "too long a text, or one with control characters"

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
    except Exception as error:
        raise BadRecordError(f"{what}: {describe(error)}") from error
    if findings:
        raise BadRecordError(f"{what}: {'; '.join(findings)}")
    return typing.cast(Decoded, result)


def decode(source: bytes, target: type[Decoded], what: str) -> Decoded:
    """Decode a JSON document; raises BadRecordError with ``what`` and the findings.

    Their text is of a bounded length, as it is logged.
    """
    try:
        document = json.loads(source)
    except Exception as error:
        raise BadRecordError(f"{what}: {describe(error)}") from error
    try:
        return structure(document, target, what)
    except BadRecordError as error:
        raise BadRecordError(shorten(str(error), MAX_ERROR_CHARS)) from error


@contextlib.contextmanager
def reading(what: str) -> Iterator[None]:
    """Raise BadRecordError for whatever the decoding of an input raises."""
    try:
        yield
    except BadRecordError:
        raise
    except Exception as error:
        raise BadRecordError(f"{what}: {describe(error)}") from error


def to_number(value: Any) -> float:
    """Return a number, at the bounds if it is beyond; raises BadRecordError."""
    number = float(value)
    if not math.isfinite(number):
        raise BadRecordError("not a finite number")
    return min(MAX_NUMBER, max(-MAX_NUMBER, number))


def to_int(value: Any) -> int:
    """Return an integer, at the bounds if it is beyond; raises BadRecordError."""
    if type(value) is int and -MAX_NUMBER <= value <= MAX_NUMBER:
        return value
    return int(to_number(value))


def to_text(value: Any, most_chars: int = MAX_TEXT_CHARS) -> str:
    """Return a text that logs, headers and messages can hold; raises BadRecordError."""
    text = str(value)
    if len(text) > most_chars or not _is_plain(text):
        raise BadRecordError(UNSOUND_TEXT)
    return text


def _is_plain(text: str) -> bool:
    """Return whether a text is without control characters and lone surrogates."""
    return text.isprintable() or not any(
        unicodedata.category(character) in ("Cc", "Cs") for character in text
    )


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
        return _number_reader((float, int), float)
    if hint is int:
        return _number_reader((int,), int)
    if hint is str:
        return _read_text
    if hint in (bool, list) or origin is list:
        return _scalar_reader(origin or hint)
    raise TypeError(f"no reader for the type hint {hint!r}")


def _scalar_reader(kind: type) -> Reader:
    """Accept exactly this type."""

    def read(value: Any, place: str, findings: Findings) -> Any:
        if type(value) is kind:
            return value
        findings.append(f"{kind.__name__} expected @ {place}")
        return None

    return read


def _number_reader(kinds: tuple[type, ...], convert: Callable[[Any], Any]) -> Reader:
    """Accept bounded numbers of these types; a bool is not accepted as an int."""

    def read(value: Any, place: str, findings: Findings) -> Any:
        if type(value) not in kinds:
            findings.append(f"{kinds[0].__name__} expected @ {place}")
        elif -MAX_NUMBER <= value <= MAX_NUMBER:
            return convert(value)
        else:
            findings.append(f"too large a number @ {place}")
        return None

    return read


def _read_text(value: Any, place: str, findings: Findings) -> Any:
    if type(value) is not str:
        findings.append(f"str expected @ {place}")
    elif len(value) <= MAX_TEXT_CHARS and (value.isprintable() or _is_plain(value)):
        return value
    else:
        findings.append(f"{UNSOUND_TEXT} @ {place}")
    return None


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
