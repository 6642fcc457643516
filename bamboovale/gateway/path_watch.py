"""Watches this VM's paths to endpoints: logs what changes."""

from collections.abc import Callable

from bamboovale.decisions.endpoint_paths import EndpointPaths
from bamboovale.gateway.journal import Journal


class PathWatch:
    """Applies the outcomes of connections to ``paths``, and logs changes of belief.

    ``is_known`` returns whether an endpoint is registered: a connection that fails when
    its endpoint is gone shows nothing of this VM's paths. ``on_cut`` is called when
    this VM is found to reach no endpoint.
    """

    def __init__(
        self,
        journal: Journal,
        now: Callable[[], float],
        is_known: Callable[[str], bool],
    ) -> None:
        self.paths = EndpointPaths(now())
        self._journal = journal
        self._now = now
        self._is_known = is_known
        self._is_cut = False
        self.on_cut: Callable[[], None] = lambda: None

    def on_connected(self, endpoint_id: str) -> None:
        """Apply a new connection to an endpoint."""
        self.paths.on_connected(endpoint_id)
        self.check()

    def on_answer(self, endpoint_id: str) -> None:
        """Apply an answer of an endpoint on a connection of this VM."""
        if self.paths.on_answer(endpoint_id, self._now()):
            self._journal.write("endpoint_reached", endpoint=endpoint_id)
            self.check()

    def on_failed(self, endpoint_id: str, reason: str) -> None:
        """Apply a connection to an endpoint that failed."""
        if not self._is_known(endpoint_id):
            return
        if self.paths.on_failed(endpoint_id, self._now()):
            self._journal.write(
                "endpoint_unreached", endpoint=endpoint_id, error=reason
            )
        self.check()

    def check(self) -> bool:
        """Return whether this VM is cut off from all endpoints; log a change."""
        is_cut = self.paths.is_cut(self._now())
        if is_cut != self._is_cut:
            self._is_cut = is_cut
            if is_cut:
                self.on_cut()
            self._journal.write(
                "cut_from_endpoints" if is_cut else "endpoints_reached_again",
                in_doubt=sorted(self.paths.in_doubt_ids()),
            )
        return is_cut
