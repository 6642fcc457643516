"""What entry VMs pass on to their neighbours."""

from dataclasses import dataclass

from bamboovale.peers.codec import message, row


@row
@dataclass(frozen=True)
class Member:
    """An entry VM, as it tells of itself.

    ``start`` orders the starts under one id, ``revision`` what is told in one start.
    ``refuted`` counts how often this start was said to be unheard and contradicted it.
    ``owned`` are the engines it owns, each with the fencing number of its orders;
    ``cores`` is its share of processor time, ``busy`` that this is used up.
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

    def replaces(self, other: "Member") -> bool:
        """Tell whether this is the later word of the same VM."""
        return (self.start, self.revision) > (other.start, other.revision)


@row
@dataclass(frozen=True)
class Suspicion:
    """An observer's word that a VM has fallen silent.

    Void once the VM has started anew or refuted more than ``refuted`` such words.
    """

    observer: str
    vm_id: str
    start: int
    refuted: int


@row
@dataclass(frozen=True)
class SuspectRequest:
    """A request that was running when its endpoint crashed."""

    fingerprint: str
    endpoint_id: str


TopicRow = tuple[str, bytes | None, int]
"""A record of a topic: key, value (None: the key is gone) and offset."""


@message("gossip")
@dataclass(frozen=True)
class Gossip:
    """One message to a neighbour: signs of life, and what it may not know yet.

    ``digest`` sums up the sender's view of who lives. ``store_count`` rises when any VM
    has had an answer of the store, as far as the sender knows, ``settled_count`` when
    the store was settled for that VM besides. ``rows`` are the records of the
    endpoints' topic that changed something between ``first_offset`` and
    ``next_offset``. ``watches`` asks the receiver for signs of life for a while,
    ``wants_all`` once for everything it knows of the fleet.
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
