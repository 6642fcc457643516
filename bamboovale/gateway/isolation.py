"""Suspends ownership of engines while this VM is isolated from most other VMs."""

import asyncio
from collections.abc import Callable

from bamboovale.fleet.gossip import GossipProtocol
from bamboovale.gateway.ownership import GROUP, Ownership
from bamboovale.gateway.vm_state import VMState
from bamboovale.store.interface import MetadataStore, StoreError

CHECK_INTERVAL_S = 0.5
"""Interval of checks whether most peers are silent."""
REASON = "isolated"
ISOLATION_DELAY_S = 1.5
"""How long most peers must be silent, beside two gossip intervals: VMs that start
together have received gossip from one another by then."""


class Isolation:
    """Detects that this VM is cut off from the fleet, but not from the store."""

    def __init__(
        self,
        state: VMState,
        gossip: GossipProtocol,
        ownership: Ownership,
        store: MetadataStore,
        announce: Callable[[], None],
    ) -> None:
        self._state = state
        self._gossip = gossip
        self._ownership = ownership
        self._store = store
        self._announce = announce

    async def watch(self) -> None:
        """Suspend and resume ownership as isolation begins and ends, forever.

        Guards against a VM that is cut off from its peers only and keeps engines that
        no peer can use. The store's members distinguish this from the death of many
        VMs, whose memberships expire.
        """
        since = self._state.now()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            reachable, silent = self._gossip.neighbours.reachable_and_silent(
                self._state.now()
            )
            minority = len(silent) > len(reachable) + 1
            if not minority:
                since = self._state.now()
            if minority and not self._state.isolated:
                isolated_after_s = (
                    ISOLATION_DELAY_S + 2 * self._gossip.neighbours.interval_s()
                )
                if self._state.now() - since < isolated_after_s:
                    continue
                try:
                    members = await self._store.members(GROUP)
                except StoreError as error:
                    self._state.journal.write("members_unknown", error=str(error))
                    continue
                minority = self._is_minority(members, reachable, silent)
            if minority != self._state.isolated and not self._state.stopping:
                await self._change(minority, reachable, silent)

    def _is_minority(
        self,
        members: frozenset[str],
        reachable: set[str],
        silent: set[str],
    ) -> bool:
        """Return whether most members of the store's group are silent here.

        In a large fleet only a few VMs are watched; if none of these is reachable, all
        VMs are considered silent.
        """
        others = members - {self._state.node.name}
        if not reachable:
            return len(others) > 1
        return len(others & silent) > len(others - silent) + 1

    async def _change(
        self, isolated: bool, reachable: set[str], silent: set[str]
    ) -> None:
        self._state.isolated = isolated
        self._state.journal.write(
            "isolated" if isolated else "joined_again",
            heard=sorted(reachable),
            silent=sorted(silent),
        )
        self._announce()
        await self._ownership.set_suspended(isolated, REASON)
