"""What this VM sends callers' requests to endpoints with, for itself and for others."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decisions.relay_choice import RelayChoice
from bamboovale.gateway.endpoint_client import EndpointClient
from bamboovale.gateway.send_gate import SendGate
from bamboovale.gateway.translation import Translation
from bamboovale.gateway.vm_state import VMState
from bamboovale.http1.memory import MemoryBudget
from bamboovale.http1.pool import ConnectionPool
from bamboovale.metrics import Metrics
from bamboovale.peers.links import PeerLinks
from bamboovale.relay.client import Relays
from bamboovale.relay.server import RelayServer


@dataclass(frozen=True)
class EndpointAccess:
    """The client of endpoints, the gate that it is used by, and the relay to others."""

    client: EndpointClient
    gate: SendGate
    relay_server: RelayServer

    @classmethod
    def from_parts(
        cls,
        state: VMState,
        translation: Translation,
        pool: ConnectionPool,
        links: PeerLinks,
        metrics: Metrics,
        rng: random.Random,
        memory: MemoryBudget,
        on_relayed_run_lost: Callable[[str], None],
    ) -> "EndpointAccess":
        """Return the access of a VM that is being built."""
        relays = Relays(
            links, state.fleet.helpers, RelayChoice(rng), state.now, pool.note_limit
        )
        client = EndpointClient(
            pool,
            translation,
            state.now,
            state.signals.on_answer,
            state.path_watch,
            relays,
        )
        gate = SendGate(
            state.limits,
            state.rests,
            state.brittle,
            lambda: len(state.fleet.advertised_ids()),
            state.now,
            lambda reason: metrics.gateway_passed_over.labels(reason).inc(),
        )
        relay_server = RelayServer(
            client=client,
            endpoints=state.endpoints,
            gate=gate,
            path_watch=state.path_watch,
            journal=state.journal,
            now=state.now,
            cores=state.node.cores,
            memory=memory,
            may_help=state.may_help,
            is_live=state.fleet.is_live,
            on_run_lost=on_relayed_run_lost,
            on_relayed=lambda outcome: metrics.gateway_relayed.labels(outcome).inc(),
        )
        # Connections that hang are of no use, and would hold requests up.
        state.path_watch.on_cut = pool.close
        return cls(client, gate, relay_server)
