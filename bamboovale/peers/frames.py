"""Frames on a link.

A frame is a CBOR array ``[kind, number, message]``. The number matches a reply to its
request on that link; a notice has number 0.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import cbor2

from bamboovale.errors import describe
from bamboovale.peers.codec import (
    MAX_FRAME_BYTES,
    BadMessageError,
    dump,
    load,
    pack,
    unpack,
)


class FrameKind(IntEnum):
    """Kinds of frames."""

    REQUEST = 0
    REPLY = 1
    NOTICE = 2
    FAILURE = 3
    PING = 4
    PONG = 5


@dataclass(frozen=True)
class Frame:
    """A decoded frame; the message is a str in a failure, None in a ping or pong."""

    kind: FrameKind
    number: int
    message: Any


def encode_frame(kind: FrameKind, number: int, message: Any) -> bytes:
    """Return the bytes of a frame; raises BadMessageError if it cannot be encoded."""
    body = message if kind is FrameKind.FAILURE else pack(message)
    data = dump([int(kind), number, body])
    if len(data) > MAX_FRAME_BYTES:
        raise BadMessageError(f"message of {len(data)} bytes is too large")
    return data


def decode_frame(data: bytes | str) -> Frame:
    """Decode a frame; raises BadMessageError."""
    if isinstance(data, str):
        raise BadMessageError("frame is text, not bytes")
    try:
        return _frame_of(load(data))
    except BadMessageError:
        raise
    except Exception as error:  # of a value of which not even a text can be made
        raise BadMessageError(f"malformed: {describe(error)}") from error


def _frame_of(value: Any) -> Frame:
    if not isinstance(value, list) or len(value) != 3:
        raise BadMessageError("a frame must be an array of three items")
    kind, number, body = value
    if type(number) is not int or number < 0:
        raise BadMessageError("a frame number must be a non-negative integer")
    if type(kind) is not int or kind not in FrameKind.__members__.values():
        raise BadMessageError(f"unknown frame kind {kind!r:.60}")
    if kind in (FrameKind.PING, FrameKind.PONG):
        return Frame(FrameKind(kind), number, None)
    if kind == FrameKind.FAILURE:
        return Frame(FrameKind.FAILURE, number, str(body))
    return Frame(FrameKind(kind), number, unpack(body))


PING = cbor2.dumps([int(FrameKind.PING), 0, None])
PONG = cbor2.dumps([int(FrameKind.PONG), 0, None])
