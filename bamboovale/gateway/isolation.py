"""Steps back while most other entry VMs do not hear this one."""

import asyncio
from collections.abc import Callable

from bamboovale.fleet.gossip import GossipProtocol
from bamboovale.gateway.ownership import GROUP, Ownership
from bamboovale.gateway.store import MetadataStore, StoreError
from bamboovale.gateway.vm_state import VMState

LOOK_S = 0.5
"""Between two looks whether most peers are silent: a third of the time that this must
last."""
ISOLATED_AFTER_S = 1.5
"""Beside two intervals: by then VMs that start together have heard of one another."""


class Isolation:
    """Watches whether we are cut off from the fleet, but not from the store."""

    def __init__(
        self,
        state: VMState,
        exchange: GossipProtocol,
        ownership: Ownership,
        store: MetadataStore,
        tell: Callable[[], None],
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._ownership = ownership
        self._store = store
        self._tell = tell

    async def watch(self) -> None:
        """Step back and take part again, for ever.

        Guards against a VM that is cut off from its peers only: it would keep engines
        that nobody can ask for, and send callers to itself. The store tells such a cut
        from the death of many VMs, whose memberships lapse.
        """
        since = self._state.now()
        while True:
            await asyncio.sleep(LOOK_S)
            heard, silent = self._exchange.neighbours.reachable_and_silent(
                self._state.now()
            )
            minority = len(silent) > len(heard) + 1
            if not minority:
                since = self._state.now()
            if minority and not self._state.isolated:
                heard_all_s = (
                    ISOLATED_AFTER_S + 2 * self._exchange.neighbours.interval_s()
                )
                if self._state.now() - since < heard_all_s:
                    continue
                try:
                    members = await self._store.members(GROUP)
                except StoreError as error:
                    self._state.journal.write("members_unknown", error=str(error))
                    continue
                minority = self._is_minority(members, heard, silent)
            if minority != self._state.isolated and not self._state.stopping:
                await self._change(minority, heard, silent)

    def _is_minority(
        self,
        members: frozenset[str],
        heard: set[str],
        silent: set[str],
    ) -> bool:
        """Tell whether most VMs that the store hears are silent to us.

        Of a large fleet we watch a few; where we hear none of them, we hear nobody.
        """
        others = members - {self._state.node.name}
        if not heard:
            return len(others) > 1
        return len(others & silent) > len(others - silent) + 1

    async def _change(self, isolated: bool, heard: set[str], silent: set[str]) -> None:
        self._state.isolated = isolated
        self._state.journal.write(
            "isolated" if isolated else "joined_again",
            heard=sorted(heard),
            silent=sorted(silent),
        )
        self._tell()
        await self._ownership.set_suspended(isolated)
