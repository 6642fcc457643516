"""The limits that endpoints name in their answers, and this VM's share of each.

The owner of an engine grants all its places and paces them by the whole limit. What a
VM sends by itself, to plain endpoints and to engines without an owner, is paced by its
share.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboovale.decisions.endpoint_limit import LimitBelief
from bamboovale.decisions.limit_share import share_per_s
from bamboovale.decisions.request_pace import RequestPace, enforced_per_s
from bamboovale.fleet.messages import EndpointLimit
from bamboovale.gateway.fleet import Fleet
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import AnswerNotice

UNOWNED_PART = 0.25
"""Part of an engine's limit for requests without an owner: VMs that cannot reach the
owner send them while it still grants places to others."""


@dataclass
class _Limited:
    """One endpoint that has named a limit; ``share_of`` is what the pace is set for."""

    belief: LimitBelief = field(default_factory=LimitBelief)
    pace: RequestPace = field(default_factory=RequestPace)
    share_of: tuple[int, float, float] | None = None
    share_per_s: float = 0.0


class EndpointLimits:
    """The limits of endpoints by id; each start of an endpoint has an id of its own.

    ``tell`` is called with a change that this VM saw in an answer.
    """

    def __init__(
        self, journal: Journal, fleet: Fleet, now: Callable[[], float]
    ) -> None:
        self._journal = journal
        self._fleet = fleet
        self._now = now
        self._limited_by_id: dict[str, _Limited] = {}
        self.tell: Callable[[EndpointLimit], None] = lambda news: None

    # What endpoints and other VMs say.

    def on_answer(self, notice: AnswerNotice) -> None:
        """Apply an answer; one with a malformed header does not end a limit."""
        signals = notice.signals
        limited = self._limited_by_id.get(notice.endpoint_id)
        if limited is None:
            if signals.limit_per_s is None:
                return
            limited = self._limited_by_id[notice.endpoint_id] = _Limited()
        belief = limited.belief
        before, named_at = belief.limit_per_s, belief.named_at
        ends = notice.tells_all and not signals.malformed
        if belief.on_answer(
            signals.limit_per_s, notice.sent_at, self._now(), ends=ends
        ):
            self._log(notice.endpoint_id, before, named_at, "answer")
            self.tell(
                EndpointLimit(notice.endpoint_id, belief.told_per_s, belief.number)
            )

    def on_news(self, news: EndpointLimit) -> bool:
        """Apply what another VM tells of a limit; return whether it is new."""
        limited = self._limited_by_id.setdefault(news.endpoint_id, _Limited())
        belief = limited.belief
        before, named_at = belief.limit_per_s, belief.named_at
        if not belief.on_news(news.limit_per_s, news.number, self._now()):
            return False
        self._log(news.endpoint_id, before, named_at, "peer")
        return True

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._limited_by_id.pop(endpoint_id, None)

    # Requests.

    def limited_ids(self) -> set[str]:
        """Return the endpoints that have named a limit."""
        return set(self._limited_by_id)

    def limit_per_s(self, endpoint_id: str) -> float | None:
        """Return the rate that all VMs together may send, None without a limit."""
        limited = self._limited_by_id.get(endpoint_id)
        return enforced_per_s(limited.belief.limit_per_s) if limited else None

    def wait_s(self, endpoint_id: str, part: float = 1.0) -> float:
        """Return the seconds until this VM may send a request by itself.

        ``part`` is the part of the limit for such requests of all VMs. Infinite where
        only other VMs share the limit.
        """
        limited = self._limited_by_id.get(endpoint_id)
        if limited is None:
            return 0.0
        self._update_share(endpoint_id, limited, part)
        return limited.pace.wait_s(self._now())

    def take(self, endpoint_id: str) -> None:
        """Count a request that this VM sends by itself."""
        limited = self._limited_by_id.get(endpoint_id)
        if limited is not None:
            limited.pace.take(self._now())

    def dump(self) -> dict[str, dict[str, float | None]]:
        """Return by endpoint the limit, its age in seconds and this VM's share."""
        now = self._now()
        return {
            endpoint_id: {
                "limit_per_s": limited.belief.limit_per_s,
                "named_s_ago": round(now - limited.belief.named_at, 2),
                "share_per_s": round(limited.share_per_s, 3),
            }
            for endpoint_id, limited in self._limited_by_id.items()
            if math.isfinite(limited.belief.named_at)
        }

    def _update_share(self, endpoint_id: str, limited: _Limited, part: float) -> None:
        """Set the pace anew once the limit or the VMs that callers use have changed."""
        per_s = enforced_per_s(limited.belief.limit_per_s)
        if per_s is None:
            limited.share_of = None
            limited.share_per_s = 0.0
            limited.pace.set_rate(None, self._now())
            return
        share_of = (self._fleet.version, per_s, part)
        if limited.share_of == share_of:
            return
        limited.share_of = share_of
        limited.share_per_s = share_per_s(
            endpoint_id,
            part * per_s,
            self._fleet.membership.own.vm_id,
            self._fleet.advertised_ids(),
        )
        limited.pace.set_rate(limited.share_per_s, self._now())

    def _log(
        self, endpoint_id: str, before: float | None, named_at: float, origin: str
    ) -> None:
        age_s = self._now() - named_at
        self._journal.write(
            "endpoint_limit",
            endpoint=endpoint_id,
            limit_per_s=self._limited_by_id[endpoint_id].belief.limit_per_s,
            before=before,
            before_s_ago=None if before is None else round(age_s, 3),
            origin=origin,
        )
