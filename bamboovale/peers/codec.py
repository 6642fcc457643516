"""Typed messages between entry VMs, as CBOR maps with a type tag.

A message is a frozen data class registered with :func:`message`. Decoding checks
every value against the type hints. Fields that equal their default are omitted: a
message stays small, and a new field with a default reaches an older peer only when it
is used.

Rows (:func:`row`), of which one message holds many, are arrays in the order of their
fields, without trailing defaults. New fields must be added at the end.
"""

import dataclasses
import enum
import io
import types
import typing
from collections.abc import Callable, Mapping, Sequence
from operator import attrgetter
from typing import Any, TypeVar

import cbor2

from bamboovale.errors import describe
from bamboovale.peers.member_plans import MAX_PLANS, Coder, MemberPlans
from bamboovale.peers.value_coders import (
    BadMessageError,
    checked_array,
    enum_coder,
    plain_coder,
    scalar_coder,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "BadMessageError",
    "decode",
    "dump",
    "encode",
    "load",
    "message",
    "pack",
    "row",
    "unpack",
]

# Large enough for a snapshot of a whole catalogue.
MAX_FRAME_BYTES = 4 * 1024 * 1024

TAG_KEY = "type"

MessageClass = TypeVar("MessageClass", bound=type)

_class_by_tag: dict[str, type] = {}
_tag_by_class: dict[type, str] = {}
_rows: set[type] = set()
_coder_by_hint: dict[Any, Coder] = {}


def message(tag: str) -> Callable[[MessageClass], MessageClass]:
    """Register a frozen data class as the message with this type tag."""

    def register(cls: MessageClass) -> MessageClass:
        if tag in _class_by_tag:
            raise ValueError(f"message tag {tag!r} is registered twice")
        if not dataclasses.is_dataclass(cls):
            raise TypeError(f"{cls.__name__} is no data class")
        _class_by_tag[tag] = cls
        _tag_by_class[cls] = tag
        return cls

    return register


def row(cls: MessageClass) -> MessageClass:
    """Encode a frozen data class as an array within messages."""
    if not dataclasses.is_dataclass(cls):
        raise TypeError(f"{cls.__name__} is no data class")
    _rows.add(cls)
    return cls


def encode(item: Any) -> bytes:
    """Return the bytes of a registered message.

    Raises BadMessageError if it is not registered, does not match its type hints or
    is too large.
    """
    frame = dump(pack(item))
    if len(frame) > MAX_FRAME_BYTES:
        raise BadMessageError(f"message of {len(frame)} bytes is too large")
    return frame


def decode(frame: bytes) -> Any:
    """Decode a registered message; raises BadMessageError."""
    try:
        return unpack(load(frame))
    except BadMessageError:
        raise
    except Exception as error:  # of a value of which not even a text can be made
        raise BadMessageError(f"malformed: {describe(error)}") from error


def load(frame: bytes) -> Any:
    """Decode one CBOR value; raises BadMessageError.

    Any exception of the decoder means a malformed frame: their classes differ between
    its native and its pure Python implementation.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise BadMessageError(f"message of {len(frame)} bytes is too large")
    stream = io.BytesIO(frame)
    try:
        value = cbor2.load(stream)
    except Exception as error:
        raise BadMessageError(f"malformed frame: {type(error).__name__}") from error
    if stream.tell() != len(frame):
        raise BadMessageError("trailing bytes after the message")
    return value


def dump(value: Any) -> bytes:
    """Return a value as CBOR; raises BadMessageError, also for a lone surrogate."""
    try:
        return cbor2.dumps(value)
    except Exception as error:
        raise BadMessageError(f"cannot encode: {describe(error)}") from error


def pack(item: Any) -> dict[str, Any]:
    """Return the tagged map of a registered message; raises BadMessageError."""
    tag = _tag_by_class.get(type(item))
    if tag is None:
        raise BadMessageError(f"{type(item).__name__} is not a registered message")
    return {TAG_KEY: tag, **_coder_of(type(item)).write(item)}


def unpack(value: Any) -> Any:
    """Return the message of a tagged map; raises BadMessageError."""
    if not isinstance(value, dict):
        raise BadMessageError("a message must be a map")
    tag = value.get(TAG_KEY)
    cls = _class_by_tag.get(tag) if isinstance(tag, str) else None
    if cls is None:
        raise BadMessageError(f"unknown message type {tag!r:.60}")
    members = dict(value)
    del members[TAG_KEY]
    return _coder_of(cls).read(members)


def _coder_of(hint: Any) -> Coder:
    """Return the cached coder of a type hint."""
    coder = _coder_by_hint.get(hint)
    if coder is None:
        coder = _coder_by_hint[hint] = _build_coder(hint)
    return coder


def _build_coder(hint: Any) -> Coder:
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if hint is Any:
        return plain_coder()
    if origin in (typing.Union, types.UnionType):
        return _union_coder(arguments)
    if origin is tuple:
        return _tuple_coder(arguments)
    if origin is frozenset:
        return _frozenset_coder(arguments[0])
    if origin in (dict, Mapping):
        return _dict_coder(*arguments)
    if hint in _rows:
        return _row_coder(hint)
    if dataclasses.is_dataclass(hint):
        return _dataclass_coder(typing.cast(type, hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return enum_coder(hint)
    if hint in (str, bytes, bool, int, float, type(None)):
        return scalar_coder(hint)
    raise TypeError(f"no coder for the type hint {hint!r}")


def _tuple_coder(arguments: tuple[Any, ...]) -> Coder:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        return _variadic_tuple_coder(_coder_of(arguments[0]))
    coders = [_coder_of(argument) for argument in arguments]
    writing, reading = MemberPlans.of_writing(coders), MemberPlans.of_reading(coders)

    def checked(value: Any) -> Any:
        if len(checked_array(value)) != len(coders):
            raise BadMessageError(f"{len(coders)} members expected")
        return value

    return Coder(
        lambda value: writing.convert(checked(value)),
        lambda value: tuple(reading.convert(checked(value))),
    )


def _variadic_tuple_coder(member: Coder) -> Coder:
    def write(value: Any) -> Any:
        items = checked_array(value)
        if member.unchanged.issuperset(map(type, items)):
            return items
        return [member.write(item) for item in items]

    def read(value: Any) -> tuple[Any, ...]:
        items = checked_array(value)
        if member.unchanged.issuperset(map(type, items)):
            return tuple(items)
        return tuple([member.read(item) for item in items])

    return Coder(write, read)


def _frozenset_coder(member: Any) -> Coder:
    coder = _coder_of(member)
    return Coder(
        lambda value: sorted(coder.write(item) for item in value),
        lambda value: frozenset([coder.read(item) for item in checked_array(value)]),
    )


def _dict_coder(key: Any, member: Any) -> Coder:
    keys, members = _coder_of(key), _coder_of(member)

    def read(value: Any) -> dict[Any, Any]:
        if not isinstance(value, dict):
            raise BadMessageError(f"map expected, not {type(value).__name__}")
        return {keys.read(name): members.read(item) for name, item in value.items()}

    return Coder(
        lambda value: {
            keys.write(name): members.write(item) for name, item in value.items()
        },
        read,
    )


def _union_coder(arguments: tuple[Any, ...]) -> Coder:
    """Return the coder of ``X | None``, or of a choice among registered messages."""
    members = [item for item in arguments if item is not type(None)]
    if len(members) == 1:
        coder = _coder_of(members[0])
    elif all(member in _tag_by_class for member in members):
        coder = _choice_coder(tuple(members))
    else:
        raise TypeError(f"members of a union must be messages: {arguments!r}")
    if len(members) == len(arguments):
        return coder
    return Coder(
        lambda value: None if value is None else coder.write(value),
        lambda value: None if value is None else coder.read(value),
        coder.unchanged | {type(None)},
    )


def _choice_coder(members: tuple[type, ...]) -> Coder:
    def read(value: Any) -> Any:
        item = unpack(value)
        if not isinstance(item, members):
            raise BadMessageError(f"{type(item).__name__} is not expected here")
        return item

    return Coder(pack, read)


def _dataclass_coder(cls: type) -> Coder:
    hints = typing.get_type_hints(cls)
    items = dataclasses.fields(cls)
    names = [item.name for item in items]
    coder_by_name = {name: _coder_of(hints[name]) for name in names}
    defaults = [_default_of(item) for item in items]
    required = frozenset(
        name
        for name, default in zip(names, defaults, strict=True)
        if default is _NO_DEFAULT
    )
    values_of = _getter(names)
    reading_by_names: dict[tuple[str, ...], MemberPlans] = {}

    def write(value: Any) -> dict[str, Any]:
        _check_class(value, cls)
        return {
            name: member if type(member) in unchanged else write_member(member)
            for (name, (write_member, _, unchanged)), member, default in zip(
                coder_by_name.items(), values_of(value), defaults, strict=True
            )
            if member != default
        }

    def plans_for(value: dict[Any, Any]) -> MemberPlans:
        if not value.keys() <= coder_by_name.keys():
            raise BadMessageError(f"unknown field of {cls.__name__}")
        if not required <= value.keys():
            raise BadMessageError(f"missing field of {cls.__name__}")
        return MemberPlans.of_reading([coder_by_name[name] for name in value])

    def read(value: Any) -> Any:
        if not isinstance(value, dict):
            raise BadMessageError(f"map expected, not {type(value).__name__}")
        found = tuple(value)
        plans = reading_by_names.get(found)
        if plans is None:
            plans = plans_for(value)
            if len(reading_by_names) < MAX_PLANS:
                reading_by_names[found] = plans
        members = plans.convert(tuple(value.values()))
        try:
            return cls(**dict(zip(found, members, strict=True)))
        except ValueError as error:  # raised by the class's own rules
            raise BadMessageError(f"{cls.__name__}: {error}") from error

    return Coder(write, read)


def _row_coder(cls: type) -> Coder:
    hints = typing.get_type_hints(cls)
    items = dataclasses.fields(cls)
    names = [item.name for item in items]
    coders = [_coder_of(hints[name]) for name in names]
    defaults = [_default_of(item) for item in items]
    required = sum(default is _NO_DEFAULT for default in defaults)
    values_of = _getter(names)
    writing, reading = MemberPlans.of_writing(coders), MemberPlans.of_reading(coders)

    def write(value: Any) -> Any:
        _check_class(value, cls)
        members = values_of(value)
        count = len(members)
        while count > required and members[count - 1] == defaults[count - 1]:
            count -= 1
        return writing.convert(members[:count])

    def read(value: Any) -> Any:
        if not required <= len(checked_array(value)) <= len(coders):
            raise BadMessageError(f"{len(coders)} fields of {cls.__name__} expected")
        members = reading.convert(value)
        try:
            return cls(*members)
        except ValueError as error:  # raised by the class's own rules
            raise BadMessageError(f"{cls.__name__}: {error}") from error

    return Coder(write, read)


def _check_class(value: Any, cls: type) -> None:
    if type(value) is not cls:
        raise BadMessageError(f"{cls.__name__} expected, not {type(value).__name__}")


def _getter(names: Sequence[str]) -> Callable[[Any], tuple[Any, ...]]:
    """Return a function that returns the named fields of an object."""
    if len(names) > 1:
        return attrgetter(*names)
    return lambda value: tuple([getattr(value, name) for name in names])


_NO_DEFAULT = object()


def _default_of(item: "dataclasses.Field[Any]") -> Any:
    if item.default is not dataclasses.MISSING:
        return item.default
    if item.default_factory is not dataclasses.MISSING:
        return item.default_factory()
    return _NO_DEFAULT
