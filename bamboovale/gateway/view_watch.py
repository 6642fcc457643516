"""Keeps the view of the configuration proven fresh, and tells when it is not."""

import asyncio
from collections.abc import Callable

from bamboovale.gateway.journal import finite_age_s
from bamboovale.gateway.ownership import lease_clock
from bamboovale.gateway.vm_state import VMState
from bamboovale.store.follower import TopicFollower

CHECK_INTERVAL_S = 0.25
READERS = 3
"""VMs that prove the view by short reads, as every read is a priced call; the others
get proofs from their neighbours."""
READER_POLL_S = 0.8
"""How long a reader's read waits for a change, and so the age of its proofs."""
LONG_POLL_S = 20.0
"""How long the reads of all other VMs of a small fleet wait for a change."""
OWN_READ_INTERVAL_S = 1.0
"""Interval of reads of a VM that gets no proofs from others."""
STORE_ANSWERS_S = 2.5
"""Time since the store's last answer to any VM for which it counts as reachable."""


class ViewWatch:
    """Renews the proof of this VM's view and suspends service without one.

    ``store_answered_at`` returns when the store last answered any VM.
    """

    def __init__(
        self,
        state: VMState,
        store_answered_at: Callable[[], float],
        announce: Callable[[], None],
    ) -> None:
        self._state = state
        self._store_answered_at = store_answered_at
        self._announce = announce
        self._own_read_at = 0.0
        self._was_fresh = True

    def poll_s(self) -> float:
        """Return how long this VM's next read of the configuration may wait."""
        return READER_POLL_S if self._reads_often() else LONG_POLL_S

    def may_read(self) -> bool:
        """Return whether this VM should read the configuration from the store.

        In a large fleet a few VMs do, as every read is a priced call: the others hear
        of changes, and of proofs that there are none, from their neighbours.
        """
        return not self._state.fleet.is_large() or self._reads_often()

    def _reads_often(self) -> bool:
        view = self._state.view
        if not view.is_shared:
            return False
        return self._is_reader() or view.needs_own_read(lease_clock())

    async def watch(self, follower: TopicFollower) -> None:
        """Check the age of the proof forever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.update_bound()
            if self._wants_read():
                self._own_read_at = self._state.now()
                follower.restart_read(READER_POLL_S)
            self._update_service()

    def update_bound(self) -> None:
        """Require proofs only where keys are in use and must be revoked strictly."""
        table, bounds = self._state.table, self._state.node.bounds
        has_keys = table is not None and table.customers is not None
        strict = has_keys and bounds.strict_revoke
        view = self._state.view
        view.bound_s = bounds.revoke_s if strict else None
        view.is_shared = strict or self._state.fleet.is_large()

    def _wants_read(self) -> bool:
        if self._state.now() - self._own_read_at < OWN_READ_INTERVAL_S:
            return False
        return self._reads_often()

    def _is_reader(self) -> bool:
        fleet = self._state.fleet
        readers = fleet.designated("view-readers", READERS)
        return self._state.knows_fleet and self._state.node.name in readers

    def _update_service(self) -> None:
        """Log a change, and leave callers to the VMs that have a proof.

        While the store answers nobody there are none, and callers stay where they are.
        """
        view = self._state.view
        age_s = view.age_s(lease_clock())
        is_fresh = view.is_fresh(lease_clock())
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            self._state.journal.write(
                "view_proven" if is_fresh else "view_unproven",
                age_s=finite_age_s(age_s),
                source=view.source,
                bound_s=view.bound_s,
            )
        store_age_s = self._state.now() - self._store_answered_at()
        others_have_proofs = store_age_s <= STORE_ANSWERS_S
        suspended = not is_fresh and others_have_proofs
        if suspended != self._state.unproven:
            self._state.unproven = suspended
            self._announce()
