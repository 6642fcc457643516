"""One frame on a link: its kind, the request's number and the message.

A frame is a CBOR array ``[kind, number, message]``. The number pairs a reply with
its request on that link; a notice has number 0.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import cbor2

from bamboovale.peers.codec import MAX_FRAME_BYTES, BadMessageError, load, pack, unpack


class FrameKind(IntEnum):
    """What a frame asks of its receiver."""

    REQUEST = 0
    REPLY = 1
    NOTICE = 2
    FAILURE = 3
    PING = 4
    PONG = 5


@dataclass(frozen=True)
class Frame:
    """A decoded frame; a failure's message is its text, a ping's and a pong's None."""

    kind: FrameKind
    number: int
    message: Any


def encode_frame(kind: FrameKind, number: int, message: Any) -> bytes:
    """Return the bytes of a frame; raises BadMessageError for what cannot be sent."""
    body = message if kind is FrameKind.FAILURE else pack(message)
    try:
        data = cbor2.dumps([int(kind), number, body])
    except cbor2.CBOREncodeError as error:
        raise BadMessageError(
            f"cannot encode {type(message).__name__}: {error}"
        ) from error
    if len(data) > MAX_FRAME_BYTES:
        raise BadMessageError(f"{len(data)} bytes are too many for one message")
    return data


def decode_frame(data: bytes | str) -> Frame:
    """Return the frame in the bytes; raises BadMessageError."""
    if isinstance(data, str):
        raise BadMessageError("text in place of bytes")
    value = load(data)
    if not isinstance(value, list) or len(value) != 3:
        raise BadMessageError("a frame must be an array of three")
    kind, number, body = value
    if type(number) is not int or number < 0:
        raise BadMessageError("a frame's number must be a whole number")
    if type(kind) is not int or kind not in FrameKind.__members__.values():
        raise BadMessageError(f"unknown kind of frame: {kind!r:.60}")
    if kind in (FrameKind.PING, FrameKind.PONG):
        return Frame(FrameKind(kind), number, None)
    if kind == FrameKind.FAILURE:
        return Frame(FrameKind.FAILURE, number, str(body))
    return Frame(FrameKind(kind), number, unpack(body))


PING = cbor2.dumps([int(FrameKind.PING), 0, None])
PONG = cbor2.dumps([int(FrameKind.PONG), 0, None])
