"""The configuration, fetched from other entry VMs that have a newer one.

Guards against a store that is unreachable only for this VM; in a large fleet most VMs
get every configuration so.
"""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from bamboovale.gateway.engines import Links
from bamboovale.gateway.messages import TableAnswer, TableQuery
from bamboovale.gateway.model import RoutingTable
from bamboovale.gateway.vm_state import VMState
from bamboovale.peers.outgoing import (
    PeerLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)

TIMEOUT_S = 1.0
"""Timeout of a peer's configuration; gossip names a peer to ask next."""
REPEAT_AFTER_S = 0.3
"""Time after which a configuration that was requested may be requested again."""


class TableExchange:
    """Requests newer configurations of peers, and answers their requests.

    ``decode`` returns a text for a configuration that cannot be decoded; ``apply`` is
    called with one that can, and with its origin.
    """

    def __init__(
        self,
        state: VMState,
        links: Links,
        decode: Callable[[bytes], RoutingTable | str],
        apply: Callable[[RoutingTable, str], None],
    ) -> None:
        self._state = state
        self._links = links
        self._decode = decode
        self._apply = apply
        self._requested_version = -1
        self._requested_at = -REPEAT_AFTER_S

    def own_version(self) -> int:
        """Return the version of our configuration, -1 without one."""
        return self._state.table.version if self._state.table else -1

    def answer(self) -> TableAnswer:
        """Return our configuration, for a peer."""
        return TableAnswer(self._state.table.source if self._state.table else None)

    def fetch(self, vm_id: str, version: int) -> None:
        """Request a peer's configuration if it is newer and was not just requested."""
        now = self._state.now()
        is_new = version > self._requested_version
        is_due = is_new or now - self._requested_at >= REPEAT_AFTER_S
        if version <= self.own_version() or not is_due:
            return
        self._requested_version = version
        self._requested_at = now
        future = self._links.request(vm_id, TableQuery(), TIMEOUT_S)
        future.add_done_callback(self._on_answer)

    def _on_answer(self, future: "Future[Any]") -> None:
        try:
            answer = future.result()
        except (PeerUnreachableError, PeerLostError, PeerTimeoutError) as error:
            self._state.journal.write("table_query_failed", error=str(error))
            return
        if isinstance(answer, TableAnswer) and answer.source is not None:
            table = self._decode(answer.source)
            if isinstance(table, RoutingTable):
                self._apply(table, "peer")
