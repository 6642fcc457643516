"""Both sides of a new link prove that they hold the shared key.

The key itself is never sent. Each side proves it over fresh random numbers of both,
both VM ids and its own role, so that a recorded or mirrored proof is of no use.
What follows the handshake is neither encrypted nor signed: whoever can alter
packets between entry VMs can alter messages (``docs/OPERATIONS.md``, known limits).
"""

import hmac
import secrets
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

import cbor2

from bamboovale.peers.codec import BadMessageError, decode, encode, message

NONCE_BYTES = 16

# The largest message of the handshake: two VM ids, a random number and a proof.
MAX_HANDSHAKE_BYTES = 1024

Expected = TypeVar("Expected")


class HandshakeError(Exception):
    """The other side is not the peer that it should be."""


class Channel(Protocol):
    """What the handshake needs of a connection."""

    async def send(self, message: bytes, /) -> None:
        """Send one frame."""

    async def recv(self) -> bytes | str:
        """Return the next frame."""


@message("hello")
@dataclass(frozen=True)
class Hello:
    """Opens the handshake: who calls whom."""

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
    """Ends the handshake: the called side takes messages from here on."""


async def authenticate_as_caller(
    channel: Channel, own_id: str, peer_id: str, key: str
) -> None:
    """Prove ourselves as the caller and check the called side's proof.

    Raises HandshakeError if the other side is another VM or has another key.
    """
    hello = Hello(own_id, peer_id, secrets.token_bytes(NONCE_BYTES))
    await channel.send(encode(hello))
    challenge = await _receive(channel, Challenge)
    if challenge.called != peer_id:
        raise HandshakeError(f"{challenge.called!r:.60} answers for {peer_id}")
    _check(challenge.proof, _proof(key, "called", hello, challenge.nonce))
    await channel.send(encode(Proof(_proof(key, "caller", hello, challenge.nonce))))
    await _receive(channel, Welcome)


async def authenticate_as_called(channel: Channel, own_id: str, key: str) -> str:
    """Prove ourselves as the called side; return the caller's VM id.

    Raises HandshakeError if the caller meant another VM or has another key.
    """
    hello = await _receive(channel, Hello)
    if hello.called != own_id:
        raise HandshakeError(f"{hello.caller!r:.60} looks for {hello.called!r:.60}")
    if len(hello.nonce) != NONCE_BYTES:
        raise HandshakeError("a random number of the wrong length")
    nonce = secrets.token_bytes(NONCE_BYTES)
    challenge = Challenge(own_id, nonce, _proof(key, "called", hello, nonce))
    await channel.send(encode(challenge))
    proof = await _receive(channel, Proof)
    _check(proof.proof, _proof(key, "caller", hello, nonce))
    await channel.send(encode(Welcome()))
    return hello.caller


def _proof(key: str, role: str, hello: Hello, nonce: bytes) -> bytes:
    said: list[Any] = [role, hello.caller, hello.called, hello.nonce, nonce]
    return hmac.digest(key.encode(), cbor2.dumps(said), "sha256")


def _check(given: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(given, expected):
        raise HandshakeError("the other side holds another key")


async def _receive(channel: Channel, kind: type[Expected]) -> Expected:
    data = await channel.recv()
    if isinstance(data, str) or len(data) > MAX_HANDSHAKE_BYTES:
        raise BadMessageError("no message of the handshake")
    item = decode(data)
    if not isinstance(item, kind):
        raise BadMessageError(f"{kind.__name__} expected, not {type(item).__name__}")
    return item
