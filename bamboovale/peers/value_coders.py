"""Coders of single values within messages: numbers, text, enums and plain JSON."""

import enum
from typing import Any

from bamboovale.peers.member_plans import Coder


class BadMessageError(Exception):
    """A malformed, unknown or too large message."""


def checked_array(value: Any) -> Any:
    """Return a list or tuple unchanged; raises BadMessageError for other values."""
    if not isinstance(value, list | tuple):
        raise BadMessageError(f"array expected, not {type(value).__name__}")
    return value


def scalar_coder(kind: type) -> Coder:
    """Return the coder of text, bytes, numbers, booleans or None."""
    # An int is accepted as a float; a bool is not a number.
    accepted = (float, int) if kind is float else (kind,)

    def check(value: Any) -> Any:
        if type(value) not in accepted:
            raise BadMessageError(
                f"{kind.__name__} expected, not {type(value).__name__}"
            )
        return _to_float(value) if kind is float else value

    return Coder(check, check, frozenset([kind]))


def _to_float(value: float) -> float:
    try:
        return float(value)
    except OverflowError as error:
        raise BadMessageError("a number too large for a float") from error


def plain_coder() -> Coder:
    """Return the coder of JSON-like values."""

    def check(value: Any) -> Any:
        if isinstance(value, dict):
            return {_checked_str(key): check(member) for key, member in value.items()}
        if isinstance(value, list | tuple):
            return [check(member) for member in value]
        if value is None or type(value) in (str, bool, int, float):
            return value
        raise BadMessageError(f"plain value expected, not {type(value).__name__}")

    return Coder(check, check)


def _checked_str(value: Any) -> str:
    if type(value) is not str:
        raise BadMessageError("keys of a plain map must be str")
    return value


def enum_coder(kind: type[enum.Enum]) -> Coder:
    """Return the coder of an enum's members, by their values."""

    def write(value: Any) -> Any:
        if not isinstance(value, kind):
            raise BadMessageError(f"{kind.__name__} expected")
        return value.value

    def read(value: Any) -> Any:
        try:
            return kind(value)
        except ValueError as error:
            raise BadMessageError(f"not a {kind.__name__}: {value!r:.60}") from error

    return Coder(write, read)
