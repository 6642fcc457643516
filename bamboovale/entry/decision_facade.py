"""Thread-safe access to the decisions of one entry VM, for its caller threads."""

import contextlib
import random
import threading
from collections import defaultdict
from collections.abc import Collection, Iterator
from typing import Any

from bamboovale.crashes.suspects import CrashNotice, Suspects
from bamboovale.decisions.admission import Admission, AdmissionConfig, Arrival
from bamboovale.decisions.placement import (
    EnginePlacement,
    EngineSite,
    PlacementConfig,
)
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.retry_budget import RetryBudget, RetryConfig
from bamboovale.decisions.routing import ServiceRouter
from bamboovale.decisions.work import EngineHint, WorkItem
from bamboovale.environment import Environment
from bamboovale.errors import Refusal
from bamboovale.models import VM, VMKind
from bamboovale.views import Views

BYTES_PER_REQUEST = 64 * 1024
"""Mean body size per open request; bounds the memory for bodies."""

RESERVED_THREADS = 8
"""Threads kept free of admitted work, so that an overloaded VM can still refuse."""


class DecisionFacade:
    """Placement, admission, routing, retries and suspects of this entry VM.

    The decisions do no I/O, so one lock around them costs less than a message to an
    actor and back for each request.
    """

    def __init__(self, environment: Environment, views: Views, policy: Policy) -> None:
        settings = environment.settings
        places = max(1, settings.caller_threads - RESERVED_THREADS)
        self._environment = environment
        self._views = views
        self._lock = threading.Lock()
        self._rng = random.Random(environment.rng.random())
        self._placement = EnginePlacement.from_config(
            PlacementConfig(failure_domain=settings.failure_domain),
            policy,
        )
        self._admission = Admission.from_config(
            AdmissionConfig(
                places=places,
                size_bytes=max(settings.max_body_bytes, places * BYTES_PER_REQUEST),
            )
        )
        self._retries = RetryBudget.from_config(RetryConfig())
        self._suspects = Suspects()
        self._router_by_pool: dict[str, ServiceRouter] = defaultdict(ServiceRouter)

    # Events.

    def on_membership(self) -> None:
        """Update the decisions with the current VMs."""
        membership = self._views.membership
        catalogue = self._views.catalogue
        pools = {} if catalogue is None else catalogue.pool_by_name
        live = [vm for vm in membership.vm_by_id.values() if vm.state == "live"]
        sites = [_site(vm, pools) for vm in live if vm.kind is VMKind.RUNNER]
        entries = max(1, len(membership.usable_entry_vms()))
        with self._lock:
            self._placement.set_engines(site for site in sites if site is not None)
            self._placement.set_live_vms(entries)
            self._admission.set_live_vms(entries)
            for pool in {vm.pool for vm in live if vm.kind is VMKind.SERVICE}:
                self._router_by_pool[pool]
            for pool, router in self._router_by_pool.items():
                router.set_endpoints(vm.id for vm in membership.live_endpoints(pool))

    def on_hint(self, hint: EngineHint) -> None:
        """Apply a routing hint from an engine's lease holder."""
        with self._lock:
            self._placement.on_hint(hint, self._now())

    def on_crash(self, notice: CrashNotice) -> bool:
        """Record a request that was running at a crash; False if it was known."""
        with self._lock:
            return self._suspects.on_notice(notice, self._now())

    def on_answered(self, fingerprint: str) -> None:
        """Clear the suspicion of a request whose run succeeded."""
        with self._lock:
            self._suspects.on_answered(fingerprint, self._now())

    def on_tick(self) -> None:
        """Advance the time of all decisions."""
        now = self._now()
        with self._lock:
            self._placement.on_tick(now)
            for router in self._router_by_pool.values():
                with self._counting_ejections(router):
                    router.on_tick(now)

    # Admission and retries.

    def admit(self, arrival: Arrival) -> Refusal | None:
        """Admit a request, or return its refusal."""
        with self._lock:
            now = self._now()
            refusal = self._admission.on_request(arrival, now, self._rng)
            if refusal is None:
                self._retries.on_fresh(now)
            return refusal

    def release(self, request_id: str) -> None:
        """Release the place and the bytes reserved for an admitted request."""
        with self._lock:
            self._admission.on_done(request_id)

    def may_retry(self) -> bool:
        """Take one retry from the budget; False if it is exhausted."""
        with self._lock:
            return self._retries.take(self._now())

    # Engines.

    def crash_refusal(self, fingerprint: str) -> Refusal | None:
        """Return the refusal of a request that crashes endpoints, else None."""
        with self._lock:
            return self._suspects.refusal(fingerprint, self._now())

    def crashed_endpoints(self, fingerprint: str) -> frozenset[str]:
        """Return the endpoints that crashed while running this request."""
        with self._lock:
            return self._suspects.crashed_endpoints(fingerprint, self._now())

    def choose_engine(
        self,
        item: WorkItem,
        base_model: str,
        excluded: Collection[str],
    ) -> str | None:
        """Return the engine to request a permit for, None if there is none."""
        with self._lock:
            engine_id = self._placement.choose_engine(
                item,
                base_model,
                self._now(),
                self._rng,
                excluded,
            )
            if engine_id is not None:
                self._placement.on_sent(engine_id, item.target.lora_name)
            return engine_id

    # Plain services.

    def choose_endpoint(
        self,
        pool: str,
        call_id: str,
        excluded: Collection[str],
    ) -> str | None:
        """Choose an endpoint and count the call there; None if there is none."""
        with self._lock:
            router = self._router_by_pool[pool]
            now = self._now()
            endpoint_id = router.choose(now, self._rng, excluded)
            if endpoint_id is not None:
                router.on_start(endpoint_id, call_id, now)
            return endpoint_id

    def call_ended(self, pool: str, endpoint_id: str, call_id: str, ok: bool) -> None:
        """Count the end of a call."""
        with self._lock:
            router = self._router_by_pool[pool]
            with self._counting_ejections(router):
                router.on_end(endpoint_id, call_id, self._now(), ok=ok)

    @contextlib.contextmanager
    def _counting_ejections(self, router: ServiceRouter) -> Iterator[None]:
        before = set(router.ejected())
        yield
        for _ in set(router.ejected()) - before:
            self._environment.metrics.ejections.inc()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON."""
        with self._lock:
            return {
                "open_requests": self._admission.open,
                "suspects": len(self._suspects),
                "ejected": {
                    pool: router.ejected()
                    for pool, router in self._router_by_pool.items()
                },
            }

    def _now(self) -> float:
        return self._environment.now()


def _site(vm: VM, pools: Any) -> EngineSite | None:
    pool = pools.get(vm.pool)
    if pool is None:
        return None
    return EngineSite(vm.id, pool.base_model, vm.failure_domain)
