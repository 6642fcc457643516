"""The conditions under which a VM owns no engines, each with its own watch."""

import random
from typing import Self

from bamboovale.gateway.cut_watch import CutWatch
from bamboovale.gateway.endpoint_client import EndpointClient
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.isolation import Isolation
from bamboovale.gateway.jobs import Job
from bamboovale.gateway.lost_engines import LostEngines
from bamboovale.gateway.ownership import Ownership
from bamboovale.gateway.peering import Peering
from bamboovale.gateway.vm_state import VMState
from bamboovale.peers.links import PeerLinks
from bamboovale.store.interface import MetadataStore


class StepBack:
    """Releases the engines of a VM that cannot use them or cannot be asked for them.

    It reaches no endpoint, or not the engines that it owns, or few other VMs.
    """

    def __init__(
        self, cuts: CutWatch, lost_engines: LostEngines, isolation: Isolation
    ) -> None:
        self.lost_engines = lost_engines
        self._cuts = cuts
        self._isolation = isolation

    @classmethod
    def from_parts(
        cls,
        state: VMState,
        peering: Peering,
        engines: Engines,
        client: EndpointClient,
        ownership: Ownership,
        store: MetadataStore,
        links: PeerLinks,
        rng: random.Random,
    ) -> Self:
        """Build the watches of one VM."""
        return cls(
            CutWatch(state, client, ownership, peering.announce),
            LostEngines(state, engines, client, ownership, store, links, rng),
            Isolation(state, peering.gossip, ownership, store, peering.announce),
        )

    def watches(self) -> dict[str, Job]:
        """Return the tasks of the watches by name; none of them ends."""
        return {
            "isolation_watch": self._isolation.watch,
            "cut_watch": self._cuts.watch,
            "lost_engines_watch": self.lost_engines.watch,
        }
