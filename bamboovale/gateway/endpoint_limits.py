"""What this VM knows of the limits that endpoints name in their answers."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decisions.endpoint_limit import LimitBelief
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointSignals


@dataclass(frozen=True)
class AnswerNotice:
    """What an endpoint said in an answer; ``sent_at`` is when its request was sent.

    ``tells_all`` is whether a signal that the answer lacks has ended: an endpoint says
    so only where it runs a caller's request.
    """

    endpoint_id: str
    signals: EndpointSignals
    sent_at: float
    tells_all: bool = False


class EndpointLimits:
    """The limits of endpoints by id; each start of an endpoint has an id of its own."""

    def __init__(self, journal: Journal, now: Callable[[], float]) -> None:
        self._journal = journal
        self._now = now
        self._belief_by_id: dict[str, LimitBelief] = {}

    def on_answer(self, notice: AnswerNotice) -> None:
        """Apply an answer's signals."""
        signals = notice.signals
        if signals.malformed:
            self._journal.write(
                "bad_signal", endpoint=notice.endpoint_id, headers=signals.malformed
            )
            return
        belief = self._belief_by_id.get(notice.endpoint_id)
        if belief is None:
            if signals.limit_per_s is None:
                return
            belief = self._belief_by_id[notice.endpoint_id] = LimitBelief()
        before, age_s = belief.limit_per_s, self._now() - belief.named_at
        if belief.on_answer(
            signals.limit_per_s, notice.sent_at, self._now(), ends=notice.tells_all
        ):
            self._log(notice.endpoint_id, before, age_s, belief, "answer")

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._belief_by_id.pop(endpoint_id, None)

    def dump(self) -> dict[str, dict[str, float | None]]:
        """Return by endpoint the limit and how long ago it was named, in seconds."""
        now = self._now()
        return {
            endpoint_id: {
                "limit_per_s": belief.limit_per_s,
                "named_s_ago": round(now - belief.named_at, 2),
            }
            for endpoint_id, belief in self._belief_by_id.items()
        }

    def _log(
        self,
        endpoint_id: str,
        before: float | None,
        age_s: float,
        belief: LimitBelief,
        origin: str,
    ) -> None:
        self._journal.write(
            "endpoint_limit",
            endpoint=endpoint_id,
            limit_per_s=belief.limit_per_s,
            before=before,
            before_s_ago=None if before is None else round(age_s, 3),
            origin=origin,
        )
