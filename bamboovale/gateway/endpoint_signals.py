"""Passes what endpoints say of themselves in their answers to those who heed it."""

from collections.abc import Callable

from bamboovale.decisions.brittle_endpoints import BrittleEndpoints
from bamboovale.decisions.endpoint_rests import EndpointRests
from bamboovale.fleet.messages import LeavingEndpoint
from bamboovale.gateway.endpoint_limits import EndpointLimits
from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import AnswerNotice
from bamboovale.gateway.path_watch import PathWatch


class SignalReader:
    """Reads the signals of each answer that this VM gets from an endpoint.

    ``tell_leaving`` is called with an endpoint that told this VM first that it leaves.
    """

    def __init__(
        self,
        journal: Journal,
        endpoints: EndpointView,
        limits: EndpointLimits,
        rests: EndpointRests,
        brittle: BrittleEndpoints,
        path_watch: PathWatch,
        now: Callable[[], float],
    ) -> None:
        self._journal = journal
        self._endpoints = endpoints
        self._limits = limits
        self._rests = rests
        self._brittle = brittle
        self._path_watch = path_watch
        self._now = now
        self.tell_leaving: Callable[[LeavingEndpoint], None] = lambda news: None

    def on_answer(self, notice: AnswerNotice) -> None:
        """Apply an answer's signals, unless its endpoint is gone."""
        if notice.via is None:
            self._path_watch.on_answer(notice.endpoint_id)
        endpoint_id, signals = notice.endpoint_id, notice.signals
        if endpoint_id not in self._endpoints.record_by_id:
            return
        if signals.malformed:
            self._journal.write(
                "bad_signal", endpoint=endpoint_id, headers=signals.malformed
            )
        if signals.leaving and self._endpoints.on_leaving(endpoint_id, "answer"):
            self.tell_leaving(LeavingEndpoint(endpoint_id))
        if signals.rest_s is not None:
            self._on_turned_away(endpoint_id, signals.rest_s)
        self._limits.on_answer(notice)
        self._on_brittle(notice)

    def _on_brittle(self, notice: AnswerNotice) -> None:
        """Apply whether an endpoint is brittle; a malformed header ends nothing."""
        bears_per_s = notice.signals.bears_per_s
        may_end = notice.tells_all and not notice.signals.malformed
        if bears_per_s is None and not may_end:
            return
        if self._brittle.on_answer(
            notice.endpoint_id, bears_per_s, notice.sent_at, self._now()
        ):
            self._journal.write(
                "endpoint_brittle",
                endpoint=notice.endpoint_id,
                bears_per_s=bears_per_s,
            )

    def _on_turned_away(self, endpoint_id: str, rest_s: float) -> None:
        if self._rests.on_turned_away(endpoint_id, rest_s, self._now()):
            self._journal.write("endpoint_rests", endpoint=endpoint_id, rest_s=rest_s)
