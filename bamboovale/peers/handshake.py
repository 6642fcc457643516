"""Mutual authentication of a new link by a shared key.

The key is never sent. Each proof is an HMAC over the nonces and VM ids of both sides
and the role of the prover, so that it cannot be replayed or reflected. The messages
after the handshake are neither encrypted nor signed (``docs/OPERATIONS.md``, known
limits).
"""

import hmac
import secrets
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

import cbor2

from bamboovale.peers.codec import BadMessageError, decode, encode, message

NONCE_BYTES = 16

# Bounds what a peer that is not authenticated can send.
MAX_HANDSHAKE_BYTES = 1024

Expected = TypeVar("Expected")


class HandshakeError(Exception):
    """The other side is not the expected peer or holds another key."""


class Connection(Protocol):
    """A connection, as the handshake uses it."""

    async def send(self, message: bytes, /) -> None:
        """Send one frame."""

    async def recv(self) -> bytes | str:
        """Return the next frame."""


@message("hello")
@dataclass(frozen=True)
class Hello:
    """Opens the handshake with the ids of both sides."""

    caller: str
    called: str
    nonce: bytes


@message("challenge")
@dataclass(frozen=True)
class Challenge:
    """Answers a hello with the called side's proof."""

    called: str
    nonce: bytes
    proof: bytes


@message("proof")
@dataclass(frozen=True)
class Proof:
    """Answers a challenge with the caller's proof."""

    proof: bytes


@message("welcome")
@dataclass(frozen=True)
class Welcome:
    """Ends the handshake: the called side accepts messages from now on."""


async def authenticate_as_caller(
    connection: Connection, own_id: str, peer_id: str, key: str
) -> None:
    """Authenticate as the caller and verify the proof of the called side.

    Raises HandshakeError if the other side is another VM or has another key.
    """
    hello = Hello(own_id, peer_id, secrets.token_bytes(NONCE_BYTES))
    await connection.send(encode(hello))
    challenge = await _receive(connection, Challenge)
    if challenge.called != peer_id:
        raise HandshakeError(f"{challenge.called!r:.60} answered, not {peer_id}")
    _verify(challenge.proof, _proof(key, "called", hello, challenge.nonce))
    await connection.send(encode(Proof(_proof(key, "caller", hello, challenge.nonce))))
    await _receive(connection, Welcome)


async def authenticate_as_called(connection: Connection, own_id: str, key: str) -> str:
    """Authenticate as the called side; return the VM id of the caller.

    Raises HandshakeError if the caller expects another VM or has another key.
    """
    hello = await _receive(connection, Hello)
    if hello.called != own_id:
        raise HandshakeError(f"{hello.caller!r:.60} expects {hello.called!r:.60}")
    if len(hello.nonce) != NONCE_BYTES:
        raise HandshakeError("the nonce has a wrong length")
    nonce = secrets.token_bytes(NONCE_BYTES)
    challenge = Challenge(own_id, nonce, _proof(key, "called", hello, nonce))
    await connection.send(encode(challenge))
    proof = await _receive(connection, Proof)
    _verify(proof.proof, _proof(key, "caller", hello, nonce))
    await connection.send(encode(Welcome()))
    return hello.caller


def _proof(key: str, role: str, hello: Hello, nonce: bytes) -> bytes:
    fields: list[Any] = [role, hello.caller, hello.called, hello.nonce, nonce]
    return hmac.digest(key.encode(), cbor2.dumps(fields), "sha256")


def _verify(given: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(given, expected):
        raise HandshakeError("the other side holds another key")


async def _receive(connection: Connection, kind: type[Expected]) -> Expected:
    data = await connection.recv()
    if isinstance(data, str) or len(data) > MAX_HANDSHAKE_BYTES:
        raise BadMessageError("not a handshake message")
    item = decode(data)
    if not isinstance(item, kind):
        raise BadMessageError(f"{kind.__name__} expected, not {type(item).__name__}")
    return item
