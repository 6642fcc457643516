"""The way of a grant at the weight store between its scheduler and a holder here."""

from typing import Any, Protocol

import pykka

from bamboovale.actors import tell
from bamboovale.engines.load_grants import LoadReleaseReceived, LoadRequestReceived
from bamboovale.engines.messages import (
    LoadGrantReceived,
)
from bamboovale.peers.messages import LoadGrantRelease, LoadGrantReply, LoadGrantRequest


class Notifier(Protocol):
    """Sends notices to peers."""

    def notify(self, vm_id: str, message: Any) -> None:
        """Send a notice, best effort."""
        ...


class HolderFinder(Protocol):
    """Knows the holders of this VM."""

    def find(self, engine_id: str) -> pykka.ActorRef | None:
        """Return the holder of an engine, None if it is not held here."""
        ...


class LoadGrantRouter:
    """Implements the holders' :class:`~bamboovale.engines.holder.LoadGrants`."""

    def __init__(self, own_id: str, links: Notifier, holders: HolderFinder) -> None:
        self._own_id = own_id
        self._links = links
        self._holders = holders
        self._keeper: pykka.ActorRef | None = None

    def attach(self, keeper: pykka.ActorRef) -> None:
        """Send asks to this keeper, which finds the scheduler or is it."""
        self._keeper = keeper

    def request(self, engine_id: str, lora_name: str, weight: float) -> None:
        """Ask for a grant on behalf of a holder here."""
        ask = LoadGrantRequest(engine_id, lora_name, weight)
        if self._keeper is not None:
            tell(self._keeper, LoadRequestReceived(self._own_id, ask))

    def release(self, grant: LoadGrantReply, *, used: bool, loaded: bool) -> None:
        """Give a grant back to the scheduler that gave it."""
        ended = LoadGrantRelease(grant.scheduler, grant.number, used, loaded)
        vm_id = grant.scheduler.rpartition(":")[0]
        if vm_id != self._own_id:
            self._links.notify(vm_id, ended)
        elif self._keeper is not None:
            tell(self._keeper, LoadReleaseReceived(ended))

    def deliver(self, grant: LoadGrantReply) -> None:
        """Hand a grant to the holder here; back if the engine is not held here."""
        holder = self._holders.find(grant.engine_id)
        if holder is None:
            self.release(grant, used=False, loaded=False)
        else:
            tell(holder, LoadGrantReceived(grant))
