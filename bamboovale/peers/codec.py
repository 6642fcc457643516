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
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import cbor2

# Large enough for a snapshot of a whole catalogue.
MAX_FRAME_BYTES = 4 * 1024 * 1024

TAG_KEY = "type"

Coder = Callable[[Any], Any]
MessageClass = TypeVar("MessageClass", bound=type)

_class_by_tag: dict[str, type] = {}
_tag_by_class: dict[type, str] = {}
_rows: set[type] = set()
_coders_by_hint: dict[Any, tuple[Coder, Coder]] = {}


class BadMessageError(Exception):
    """A malformed, unknown or too large message."""


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
    try:
        frame = cbor2.dumps(pack(item))
    except cbor2.CBOREncodeError as error:
        raise BadMessageError(
            f"cannot encode {type(item).__name__}: {error}"
        ) from error
    if len(frame) > MAX_FRAME_BYTES:
        raise BadMessageError(f"message of {len(frame)} bytes is too large")
    return frame


def decode(frame: bytes) -> Any:
    """Decode a registered message; raises BadMessageError."""
    return unpack(load(frame))


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


def pack(item: Any) -> dict[str, Any]:
    """Return the tagged map of a registered message; raises BadMessageError."""
    tag = _tag_by_class.get(type(item))
    if tag is None:
        raise BadMessageError(f"{type(item).__name__} is not a registered message")
    return {TAG_KEY: tag, **_coders_of(type(item))[0](item)}


def unpack(value: Any) -> Any:
    """Return the message of a tagged map; raises BadMessageError."""
    if not isinstance(value, dict):
        raise BadMessageError("a message must be a map")
    tag = value.get(TAG_KEY)
    cls = _class_by_tag.get(tag) if isinstance(tag, str) else None
    if cls is None:
        raise BadMessageError(f"unknown message type {tag!r:.60}")
    members = {name: member for name, member in value.items() if name != TAG_KEY}
    return _coders_of(cls)[1](members)


def _coders_of(hint: Any) -> tuple[Coder, Coder]:
    """Return the cached encoder and decoder of a type hint."""
    coders = _coders_by_hint.get(hint)
    if coders is None:
        coders = _coders_by_hint[hint] = _build_coders(hint)
    return coders


def _build_coders(hint: Any) -> tuple[Coder, Coder]:
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if hint is Any:
        return _plain_coders()
    if origin in (typing.Union, types.UnionType):
        return _union_coders(arguments)
    if origin is tuple:
        return _tuple_coders(arguments)
    if origin is frozenset:
        return _frozenset_coders(arguments[0])
    if origin in (dict, Mapping):
        return _dict_coders(*arguments)
    if hint in _rows:
        return _row_coders(hint)
    if dataclasses.is_dataclass(hint):
        return _dataclass_coders(typing.cast(type, hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _enum_coders(hint)
    if hint in (str, bytes, bool, int, float, type(None)):
        return _scalar_coders(hint)
    raise TypeError(f"no coder for the type hint {hint!r}")


def _scalar_coders(kind: type) -> tuple[Coder, Coder]:
    # An int is accepted as a float; a bool is not a number.
    accepted = (float, int) if kind is float else (kind,)

    def check(value: Any) -> Any:
        if type(value) not in accepted:
            raise BadMessageError(
                f"{kind.__name__} expected, not {type(value).__name__}"
            )
        return float(value) if kind is float else value

    return check, check


def _plain_coders() -> tuple[Coder, Coder]:
    """Return coders of JSON-like values."""

    def check(value: Any) -> Any:
        if isinstance(value, dict):
            return {_checked_str(key): check(member) for key, member in value.items()}
        if isinstance(value, list | tuple):
            return [check(member) for member in value]
        if value is None or type(value) in (str, bool, int, float):
            return value
        raise BadMessageError(f"plain value expected, not {type(value).__name__}")

    return check, check


def _checked_str(value: Any) -> str:
    if type(value) is not str:
        raise BadMessageError("keys of a plain map must be str")
    return value


def _enum_coders(kind: type[enum.Enum]) -> tuple[Coder, Coder]:
    def write(value: Any) -> Any:
        if not isinstance(value, kind):
            raise BadMessageError(f"{kind.__name__} expected")
        return value.value

    def read(value: Any) -> Any:
        try:
            return kind(value)
        except ValueError as error:
            raise BadMessageError(f"not a {kind.__name__}: {value!r:.60}") from error

    return write, read


def _tuple_coders(arguments: tuple[Any, ...]) -> tuple[Coder, Coder]:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        encode_member, decode_member = _coders_of(arguments[0])
        return (
            lambda value: [encode_member(member) for member in _checked_array(value)],
            lambda value: tuple(
                [decode_member(member) for member in _checked_array(value)]
            ),
        )
    coders = [_coders_of(argument) for argument in arguments]

    def write(value: Any) -> list[Any]:
        return [pair[0](member) for pair, member in _zip_strict(coders, value)]

    def read(value: Any) -> tuple[Any, ...]:
        return tuple([pair[1](member) for pair, member in _zip_strict(coders, value)])

    return write, read


def _zip_strict(coders: list[tuple[Coder, Coder]], value: Any) -> Any:
    if len(_checked_array(value)) != len(coders):
        raise BadMessageError(f"{len(coders)} members expected")
    return zip(coders, value, strict=True)


def _checked_array(value: Any) -> Any:
    if not isinstance(value, list | tuple):
        raise BadMessageError(f"array expected, not {type(value).__name__}")
    return value


def _frozenset_coders(member: Any) -> tuple[Coder, Coder]:
    write, read = _coders_of(member)
    return (
        lambda value: sorted(write(item) for item in value),
        lambda value: frozenset([read(item) for item in _checked_array(value)]),
    )


def _dict_coders(key: Any, member: Any) -> tuple[Coder, Coder]:
    write_key, read_key = _coders_of(key)
    write_member, read_member = _coders_of(member)

    def read(value: Any) -> dict[Any, Any]:
        if not isinstance(value, dict):
            raise BadMessageError(f"map expected, not {type(value).__name__}")
        return {read_key(name): read_member(item) for name, item in value.items()}

    return (
        lambda value: {
            write_key(name): write_member(item) for name, item in value.items()
        },
        read,
    )


def _union_coders(arguments: tuple[Any, ...]) -> tuple[Coder, Coder]:
    """Return coders of ``X | None``, or of a choice among registered messages."""
    members = [item for item in arguments if item is not type(None)]
    optional = len(members) < len(arguments)
    if len(members) == 1:
        write, read = _coders_of(members[0])
    elif all(member in _tag_by_class for member in members):
        write, read = _choice_coders(tuple(members))
    else:
        raise TypeError(f"members of a union must be messages: {arguments!r}")
    if not optional:
        return write, read
    return (
        lambda value: None if value is None else write(value),
        lambda value: None if value is None else read(value),
    )


def _choice_coders(members: tuple[type, ...]) -> tuple[Coder, Coder]:
    def read(value: Any) -> Any:
        item = unpack(value)
        if not isinstance(item, members):
            raise BadMessageError(f"{type(item).__name__} is not expected here")
        return item

    return pack, read


def _dataclass_coders(cls: type) -> tuple[Coder, Coder]:
    hints = typing.get_type_hints(cls)
    items = dataclasses.fields(cls)
    coders = {item.name: _coders_of(hints[item.name]) for item in items}
    default_by_name = {item.name: _default_of(item) for item in items}
    required = frozenset(
        name for name, default in default_by_name.items() if default is _NO_DEFAULT
    )

    def write(value: Any) -> dict[str, Any]:
        if type(value) is not cls:
            raise BadMessageError(
                f"{cls.__name__} expected, not {type(value).__name__}"
            )
        members = {}
        for name, (write_member, _) in coders.items():
            member = getattr(value, name)
            if member != default_by_name[name]:
                members[name] = write_member(member)
        return members

    def read(value: Any) -> Any:
        if not isinstance(value, dict):
            raise BadMessageError(f"map expected, not {type(value).__name__}")
        if not value.keys() <= coders.keys():
            raise BadMessageError(f"unknown field of {cls.__name__}")
        if not required <= value.keys():
            raise BadMessageError(f"missing field of {cls.__name__}")
        members = {name: coders[name][1](member) for name, member in value.items()}
        try:
            return cls(**members)
        except ValueError as error:  # raised by the class's own rules
            raise BadMessageError(f"{cls.__name__}: {error}") from error

    return write, read


def _row_coders(cls: type) -> tuple[Coder, Coder]:
    hints = typing.get_type_hints(cls)
    items = dataclasses.fields(cls)
    names = [item.name for item in items]
    coders = [_coders_of(hints[name]) for name in names]
    defaults = [_default_of(item) for item in items]
    required = sum(default is _NO_DEFAULT for default in defaults)

    def write(value: Any) -> list[Any]:
        if type(value) is not cls:
            raise BadMessageError(
                f"{cls.__name__} expected, not {type(value).__name__}"
            )
        members = [getattr(value, name) for name in names]
        while len(members) > required and members[-1] == defaults[len(members) - 1]:
            members.pop()
        return [pair[0](m) for pair, m in zip(coders, members, strict=False)]

    def read(value: Any) -> Any:
        if not required <= len(_checked_array(value)) <= len(coders):
            raise BadMessageError(f"{len(coders)} fields of {cls.__name__} expected")
        members = [pair[1](m) for pair, m in zip(coders, value, strict=False)]
        try:
            return cls(*members)
        except ValueError as error:  # raised by the class's own rules
            raise BadMessageError(f"{cls.__name__}: {error}") from error

    return write, read


_NO_DEFAULT = object()


def _default_of(item: "dataclasses.Field[Any]") -> Any:
    if item.default is not dataclasses.MISSING:
        return item.default
    if item.default_factory is not dataclasses.MISSING:
        return item.default_factory()
    return _NO_DEFAULT
