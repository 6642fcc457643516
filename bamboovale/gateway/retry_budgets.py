"""This VM's retries at the endpoints of each service, within the fleet's budget."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from bamboovale.decisions.retry_share import RetryShare, RetryShareConfig
from bamboovale.gateway.call import Call
from bamboovale.gateway.endpoint_client import MayHaveRun, NotRun
from bamboovale.gateway.journal import Journal, finite_age_s
from bamboovale.gateway.stream_progress import StreamCut


class RetryCause(StrEnum):
    """Why a request is sent again; a label of the counter and a field of log lines."""

    UNREACHED = "unreached"
    """No connection: it did not arrive."""
    FULL = "full"
    WRONG_ENDPOINT = "wrong_endpoint"
    """Another start of the endpoint, or an engine without the adapter's version."""
    NO_ANSWER = "no_answer"
    STREAM_CUT = "stream_cut"
    SERVER_ERROR = "server_error"


def cause_of(failure: Exception | None) -> RetryCause:
    """Return why an attempt is repeated; without a failure it was an error answer."""
    if isinstance(failure, NotRun):
        if not failure.reached:
            return RetryCause.UNREACHED
        is_wrong = failure.wrong_endpoint
        return RetryCause.WRONG_ENDPOINT if is_wrong else RetryCause.FULL
    if isinstance(failure, StreamCut):
        return RetryCause.STREAM_CUT
    if isinstance(failure, MayHaveRun):
        return RetryCause.NO_ANSWER
    return RetryCause.SERVER_ERROR


@dataclass
class _Budget:
    """One service's share, and whether its last retry was refused."""

    share: RetryShare
    is_used_up: bool = False


class RetryBudgets:
    """The shares of all services' retry budgets by service.

    ``is_first_start`` is whether no process of the fleet ran before. ``on_retry`` is
    called with the cause of each retry and whether it was allowed.
    """

    def __init__(
        self,
        journal: Journal,
        config: RetryShareConfig,
        fleet_size: Callable[[], int],
        now: Callable[[], float],
        *,
        is_first_start: bool = False,
    ) -> None:
        self._journal = journal
        self._config = config
        self._fleet_size = fleet_size
        self._now = now
        self._started_at = -math.inf if is_first_start else now()
        self._budget_by_service: dict[str, _Budget] = {}
        self.on_retry: Callable[[RetryCause, bool], None] = lambda cause, allowed: None

    def set_config(self, config: RetryShareConfig) -> None:
        """Change the bounds of all services; what was counted stays."""
        self._config = config
        for budget in self._budget_by_service.values():
            budget.share.set_config(config)

    def on_fresh(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._budget(service).share.on_fresh(self._now())

    def take(self, call: Call, cause: RetryCause) -> bool:
        """Count and allow a retry of a call; return False if the share is used up."""
        budget = self._budget(call.service)
        allowed = budget.share.take(self._now())
        self.on_retry(cause, allowed)
        if not allowed:
            call.notes["retry_refused"] = {"cause": cause, **self._figures(budget)}
            if not budget.is_used_up:
                self._log_used_up(call.service, cause, budget)
        budget.is_used_up = not allowed
        return allowed

    def dump(self) -> dict[str, dict[str, Any]]:
        """Return by service the counts of the current window and what it may hold."""
        return {
            service: self._figures(budget)
            for service, budget in self._budget_by_service.items()
        }

    def _budget(self, service: str) -> _Budget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = _Budget(RetryShare.from_config(self._config, self._started_at))
            self._budget_by_service[service] = budget
        budget.share.set_fleet_size(self._fleet_size(), self._now())
        return budget

    def _figures(self, budget: _Budget) -> dict[str, Any]:
        share, now = budget.share, self._now()
        return {
            "fresh": share.fresh(now),
            "retries": share.retries(now),
            "allowed": round(share.allowed(now), 2),
            "vms": share.fleet_size,
        }

    def _log_used_up(self, service: str, cause: RetryCause, budget: _Budget) -> None:
        self._journal.write(
            "retry_budget_used_up",
            service=service,
            cause=cause,
            started_s_ago=finite_age_s(self._now() - self._started_at),
            **self._figures(budget),
        )
