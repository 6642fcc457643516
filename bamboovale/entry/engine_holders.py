"""Starts and stops the holder actors of engines whose leases this VM holds."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pykka

from bamboovale.actors import Tick, Ticker, tell
from bamboovale.catalogue.entries import PoolEntry
from bamboovale.decisions.dispatch import DispatchConfig
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.work import EngineHint
from bamboovale.engines.client import EngineAddress, EngineClient
from bamboovale.engines.granted_loads import LoadGrants
from bamboovale.engines.holder import (
    EngineHolder,
)
from bamboovale.engines.messages import (
    DumpState,
    EngineLeaving,
    EntryVMUnreachable,
    VersionChanged,
)
from bamboovale.engines.orders import LeasedOrders
from bamboovale.entry.state_dump import ask_actor
from bamboovale.environment import Environment
from bamboovale.views import Views

DEFAULT_LOAD_SECONDS = 2.0


@dataclass(frozen=True)
class HolderCallbacks:
    """The callbacks of a holder into its VM."""

    load_grants: LoadGrants
    on_hint: Callable[[EngineHint], None]
    on_started: Callable[[str], None]
    on_stopped: Callable[[str], None]


@dataclass(frozen=True)
class HeldLease:
    """A lease whose holder is not started yet."""

    fencing: int
    valid: Callable[[], bool]
    callbacks: HolderCallbacks


class EngineHolders:
    """Starts and stops holders as leases are acquired and lost."""

    def __init__(
        self,
        environment: Environment,
        views: Views,
        policy: Policy,
        client: EngineClient,
        ticker: Ticker,
    ) -> None:
        self._environment = environment
        self._views = views
        self._policy = policy
        self._client = client
        self._ticker = ticker
        self._holder_by_engine: dict[str, pykka.ActorRef] = {}
        self._lease_by_engine_without_pool: dict[str, HeldLease] = {}
        self._lock = threading.RLock()

    def find(self, engine_id: str) -> pykka.ActorRef | None:
        """Return the holder of an engine, None if it is not held here."""
        return self._holder_by_engine.get(engine_id)

    def start(
        self,
        engine_id: str,
        fencing: int,
        valid: Callable[[], bool],
        callbacks: HolderCallbacks,
    ) -> None:
        """Start the holder of an engine, or defer it until its pool is known."""
        vm = self._views.membership.vm_by_id.get(engine_id)
        address = self._views.membership.address_of(engine_id, "http")
        if vm is None or address is None:
            return  # no longer listed: the lease expires without renewal
        engine = EngineAddress(engine_id, *address)
        with self._lock:
            previous = self._holder_by_engine.pop(engine_id, None)
            if previous is not None:
                self._stop_holder(previous)
            self._lease_by_engine_without_pool.pop(engine_id, None)
            if self._awaits_pool(vm.pool):
                held = HeldLease(fencing, valid, callbacks)
                self._lease_by_engine_without_pool[engine_id] = held
                return
            holder = EngineHolder.start(
                environment=self._environment,
                engine=engine,
                config=self._config(engine_id, vm.pool, fencing),
                policy=self._policy,
                orders=LeasedOrders(
                    self._environment,
                    self._client,
                    engine,
                    fencing,
                    valid,
                ),
                load_grants=callbacks.load_grants,
                on_hint=callbacks.on_hint,
                log_is_down=lambda: self._views.log_down_for_all,
            )
            self._holder_by_engine[engine_id] = holder
        self._ticker.add(holder)
        if self._views.membership.is_leaving(engine_id):
            tell(holder, EngineLeaving())
        callbacks.on_started(engine_id)

    def stop(self, engine_id: str, callbacks: HolderCallbacks) -> None:
        """Stop the holder of an engine; its queued requests try another engine."""
        with self._lock:
            self._lease_by_engine_without_pool.pop(engine_id, None)
            holder = self._holder_by_engine.pop(engine_id, None)
        if holder is not None:
            self._stop_holder(holder)
            callbacks.on_stopped(engine_id)

    def stop_all(self) -> None:
        """Stop every holder."""
        with self._lock:
            holders = list(self._holder_by_engine.values())
            self._holder_by_engine.clear()
            self._lease_by_engine_without_pool.clear()
        for holder in holders:
            self._stop_holder(holder)

    def wake(self, engine_id: str) -> None:
        """Make a holder check its lease immediately instead of at its next tick."""
        holder = self._holder_by_engine.get(engine_id)
        if holder is not None:
            tell(holder, Tick())

    def on_membership(self) -> None:
        """Notify holders of leaving engines; start holders whose pool became known."""
        for engine_id, holder in list(self._holder_by_engine.items()):
            if self._views.membership.is_leaving(engine_id):
                tell(holder, EngineLeaving())
        for engine_id in list(self._lease_by_engine_without_pool):
            with self._lock:
                held = self._lease_by_engine_without_pool.get(engine_id)
                if held is not None:
                    self.start(engine_id, held.fencing, held.valid, held.callbacks)

    def on_entry_vm_unreachable(self, vm_id: str) -> None:
        """Notify all holders that an entry VM is unreachable."""
        for holder in list(self._holder_by_engine.values()):
            tell(holder, EntryVMUnreachable(vm_id))

    def on_version_changed(self, replaced: str, lora_name: str, source: str) -> None:
        """Notify all holders of a new adapter version."""
        for holder in list(self._holder_by_engine.values()):
            tell(holder, VersionChanged(replaced, lora_name, source))

    def dump(self) -> dict[str, Any]:
        """Return the state of every holder."""
        return {
            engine_id: ask_actor(holder, DumpState())
            for engine_id, holder in sorted(self._holder_by_engine.items())
        }

    def _stop_holder(self, holder: pykka.ActorRef) -> None:
        self._ticker.remove(holder)
        holder.stop(block=False)

    def _config(self, engine_id: str, pool: str, fencing: int) -> DispatchConfig:
        settings = self._environment.settings
        entry = self._pool_entry(pool)
        return DispatchConfig(
            engine_id=engine_id,
            base_model="" if entry is None else entry.base_model,
            fencing=fencing,
            stall_weight=settings.stall_weight,
            load_seconds=(
                DEFAULT_LOAD_SECONDS if entry is None else entry.load_seconds
            ),
            send_within_s=settings.send_within_s,
        )

    def _awaits_pool(self, pool: str) -> bool:
        """Return whether the catalogue is known but does not have the pool yet.

        A holder started then would use a default load time. If that is far too long,
        no new adapter is sent to the engine, so the default is never corrected and
        the engine idles. No request can use the engine before its pool is known.
        """
        return self._views.catalogue is not None and self._pool_entry(pool) is None

    def _pool_entry(self, pool: str) -> PoolEntry | None:
        catalogue = self._views.catalogue
        return None if catalogue is None else catalogue.pool_by_name.get(pool)
