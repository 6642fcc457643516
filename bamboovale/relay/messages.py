"""Messages between two entry VMs about a request that one sends for the other."""

from dataclasses import dataclass

from bamboovale.peers.codec import message


@message("relay_send")
@dataclass(frozen=True)
class RelayRequest:
    """Asks a VM to send a request to an endpoint; the reply is a ``RelayHead``.

    ``relay_id`` is unique among those of the sender. ``headers`` are final. ``left_s``
    is for how many seconds the answer is wanted. ``once_only`` is whether it must not
    run twice, ``checks_start`` whether only this start of the endpoint may run it.
    """

    relay_id: str
    endpoint_id: str
    request_id: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    left_s: float
    once_only: bool
    checks_start: bool = False


@message("relay_head")
@dataclass(frozen=True)
class RelayHead:
    """The head of the endpoint's answer.

    Without one ``status`` is 0 and ``failure`` says why. ``was_sent`` is whether the
    request may have reached the endpoint; ``was_tried`` whether a connection to it was
    tried; ``is_cut`` whether the VM that replies reaches no endpoint itself.
    """

    relay_id: str
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    failure: str = ""
    was_sent: bool = True
    was_tried: bool = True
    is_cut: bool = False


@message("relay_next")
@dataclass(frozen=True)
class RelayNext:
    """Asks for the next bytes of the answer's body; the reply is a ``RelayData``."""

    relay_id: str


@message("relay_data")
@dataclass(frozen=True)
class RelayData:
    """The next bytes of the body; ``ended`` is whether they are the last.

    ``failure`` says why the body ends before it is complete.
    """

    relay_id: str
    data: bytes = b""
    ended: bool = False
    failure: str = ""


@message("relay_cancel")
@dataclass(frozen=True)
class RelayCancel:
    """The answer is no longer wanted."""

    relay_id: str


RelayQuery = RelayRequest | RelayNext
