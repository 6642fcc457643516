"""Messages to the lease holder of an engine."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decisions.work import EngineView, Permit
from bamboovale.peers.messages import LoadGrantReply, PermitReply, PermitRequest


@dataclass(frozen=True)
class PermitRequestReceived:
    """A permit request; ``reply`` answers its entry VM, None for a repeat."""

    from_vm: str
    request: PermitRequest
    reply: Callable[[PermitReply], None] | None


@dataclass(frozen=True)
class CancelReceived:
    """The entry VM no longer waits for a request."""

    request_id: str


@dataclass(frozen=True)
class ReleaseReceived:
    """The entry VM is done with a permit; see :class:`PermitRelease`."""

    permit_id: str
    refused: bool = False


@dataclass(frozen=True)
class EntryVMUnreachable:
    """The link to an entry VM is lost."""

    entry_vm: str


@dataclass(frozen=True)
class PermitsReported:
    """The permits that an entry VM holds on this engine, after a take-over."""

    permits: tuple[Permit, ...]


@dataclass(frozen=True)
class ViewRead:
    """The engine's state, None if it did not answer."""

    view: EngineView | None


@dataclass(frozen=True)
class LoadGrantReceived:
    """The load scheduler granted a load of an adapter version."""

    grant: LoadGrantReply


@dataclass(frozen=True)
class EngineLeaving:
    """The VM list marks the engine as leaving."""


@dataclass(frozen=True)
class VersionChanged:
    """A catalogue edit replaced one adapter version by another."""

    replaced: str
    lora_name: str
    source: str


@dataclass(frozen=True)
class DumpState:
    """Ask for the state as JSON."""
