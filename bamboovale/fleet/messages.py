"""Gossip messages between entry VMs."""

from dataclasses import dataclass

from bamboovale.peers.codec import message, row


@row
@dataclass(frozen=True)
class Member:
    """The record that an entry VM publishes about itself.

    ``start`` orders the starts under one id, ``revision`` the records within a start.
    ``refuted`` counts the suspicions of this start that the VM has refuted. ``owned``
    are the engines it owns, each with the fencing number of its orders. ``cores`` is
    its share of processor time, ``busy`` whether this is used up. ``partitions`` are
    those it holds in the store, each with the generation of the owners' group.
    ``cut`` is whether it reaches no endpoint.
    """

    vm_id: str
    start: int
    revision: int
    address: str
    peers_port: int
    callers_port: int
    failure_domain: str
    refuted: int = 0
    serving: bool = False
    left: bool = False
    owned: tuple[tuple[str, int], ...] = ()
    cores: float = 1.0
    busy: bool = False
    partitions: tuple[tuple[int, int], ...] = ()
    cut: bool = False

    def replaces(self, other: "Member") -> bool:
        """Return whether this record of the same VM is newer."""
        return (self.start, self.revision) > (other.start, other.revision)


@row
@dataclass(frozen=True)
class Suspicion:
    """An observer's suspicion that a VM has failed.

    It is stale once the VM has restarted or has refuted more than ``refuted``
    suspicions.
    """

    observer: str
    vm_id: str
    start: int
    refuted: int


@row
@dataclass(frozen=True)
class SuspectRequest:
    """A request, or a part of prompts, that was running when its endpoint crashed.

    ``began`` is whether its answer had begun.
    """

    fingerprint: str
    endpoint_id: str
    began: bool = False


@row
@dataclass(frozen=True)
class CrashedEndpoint:
    """An endpoint that crashed, as a VM has seen."""

    endpoint_id: str


@row
@dataclass(frozen=True)
class SoundRequest:
    """A request, or a part of prompts, that was lost with an endpoint, but is sound.

    It began an answer elsewhere, ``recent`` if that was only just.
    """

    fingerprint: str
    endpoint_id: str
    recent: bool


CrashNews = SuspectRequest | CrashedEndpoint | SoundRequest


@row
@dataclass(frozen=True)
class AdapterNews:
    """The newest version of an adapter, or of the model if ``adapter`` is None."""

    model: str
    adapter: str | None
    version: int


@row
@dataclass(frozen=True)
class EndpointLimit:
    """The limit that an endpoint names, None once it has ended.

    ``limit_per_s`` is in requests a second from all VMs. ``number`` orders the changes.
    """

    endpoint_id: str
    limit_per_s: float | None
    number: int


@row
@dataclass(frozen=True)
class LeavingEndpoint:
    """An endpoint that said in an answer that it leaves."""

    endpoint_id: str


TopicRow = tuple[str, bytes | None, int]
"""A record of a topic: key, value (None: the key was removed) and offset."""


@message("gossip")
@dataclass(frozen=True)
class Gossip:
    """A heartbeat to a neighbour with the updates that it may not have yet.

    ``digest`` is a checksum of the sender's view of the live VMs. ``store_count``
    increases when the store has answered any VM, as far as the sender knows,
    ``settled_count`` when that VM also considers the store settled. ``rows`` are the
    records of the endpoints' topic that changed state between ``first_offset`` and
    ``next_offset``. ``watches`` requests heartbeats from the receiver for a while,
    ``wants_all`` a full copy of its view of the fleet. ``stamp``, ``echoes`` and
    ``view_age_ms`` prove how fresh the sender's configuration is (see ``ViewProofs``).
    ``versions`` are adapter versions that the operator published, ``limits`` those that
    endpoints name, ``leaving`` the endpoints that said that they leave, ``crashed``
    those that crashed, ``sound`` what was lost there and begins answers elsewhere.
    """

    digest: int
    store_count: int
    config_version: int
    first_offset: int
    next_offset: int
    watches: bool = False
    wants_all: bool = False
    members: tuple[Member, ...] = ()
    unheard: tuple[Suspicion, ...] = ()
    suspects: tuple[SuspectRequest, ...] = ()
    rows: tuple[TopicRow, ...] = ()
    settled_count: int = 0
    stamp: int = 0
    echoes: tuple[tuple[int, int], ...] = ()
    view_age_ms: int = -1
    versions: tuple[AdapterNews, ...] = ()
    limits: tuple[EndpointLimit, ...] = ()
    leaving: tuple[LeavingEndpoint, ...] = ()
    crashed: tuple[CrashedEndpoint, ...] = ()
    sound: tuple[SoundRequest, ...] = ()
