"""Routes load grants between their scheduler and the holders on this VM."""

from typing import Any, Protocol

import pykka

from bamboovale.actors import tell
from bamboovale.engines.load_grants import LoadReleaseReceived, LoadRequestReceived
from bamboovale.engines.messages import (
    LoadGrantReceived,
)
from bamboovale.peers.messages import LoadGrantRelease, LoadGrantReply, LoadGrantRequest


class Notifier(Protocol):
    """Sends messages without a reply to peers."""

    def notify(self, vm_id: str, message: Any) -> None:
        """Send a message; it may be lost."""
        ...


class HolderFinder(Protocol):
    """Finds the engine holders on this VM."""

    def find(self, engine_id: str) -> pykka.ActorRef | None:
        """Return the holder of an engine, None if it is not held here."""
        ...


class LoadGrantRouter:
    """Implements ``LoadGrants`` for the holders on this VM."""

    def __init__(self, own_id: str, links: Notifier, holders: HolderFinder) -> None:
        self._own_id = own_id
        self._links = links
        self._holders = holders
        self._actor: pykka.ActorRef | None = None

    def attach(self, actor: pykka.ActorRef) -> None:
        """Set the actor that schedules load grants or finds their scheduler."""
        self._actor = actor

    def request(self, engine_id: str, lora_name: str, weight: float) -> None:
        """Request a grant on behalf of a holder on this VM."""
        request = LoadGrantRequest(engine_id, lora_name, weight)
        if self._actor is not None:
            tell(self._actor, LoadRequestReceived(self._own_id, request))

    def release(self, grant: LoadGrantReply, *, used: bool, loaded: bool) -> None:
        """Return a grant to the scheduler that issued it."""
        ended = LoadGrantRelease(grant.scheduler, grant.number, used, loaded)
        vm_id = grant.scheduler.rpartition(":")[0]
        if vm_id != self._own_id:
            self._links.notify(vm_id, ended)
        elif self._actor is not None:
            tell(self._actor, LoadReleaseReceived(ended))

    def deliver(self, grant: LoadGrantReply) -> None:
        """Pass a grant to the engine's holder; return it if there is none here."""
        holder = self._holders.find(grant.engine_id)
        if holder is None:
            self.release(grant, used=False, loaded=False)
        else:
            tell(holder, LoadGrantReceived(grant))
