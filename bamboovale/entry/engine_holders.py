"""The engines whose leases this entry VM holds, each with its holder task."""

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
from bamboovale.engines.holder import (
    EngineHolder,
    LoadGrants,
)
from bamboovale.engines.messages import (
    DumpState,
    EngineLeaving,
    EntryVMGone,
    VersionChanged,
)
from bamboovale.engines.orders import LeasedOrders
from bamboovale.entry.state_dump import ask_actor
from bamboovale.environment import Environment
from bamboovale.views import Views

DEFAULT_LOAD_SECONDS = 2.0


@dataclass(frozen=True)
class HolderCallbacks:
    """What a holder needs of the rest of the VM."""

    load_grants: LoadGrants
    on_hint: Callable[[EngineHint], None]
    on_started: Callable[[str], None]
    on_stopped: Callable[[str], None]


@dataclass(frozen=True)
class HeldLease:
    """What a holder is started with."""

    fencing: int
    valid: Callable[[], bool]
    links: HolderCallbacks


class EngineHolders:
    """Starts and stops holders as leases come and go."""

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
        links: HolderCallbacks,
    ) -> None:
        """Begin to hold an engine."""
        vm = self._views.membership.vm_by_id.get(engine_id)
        address = self._views.membership.address_of(engine_id, "http")
        if vm is None or address is None:
            return  # not listed any more: the lease lapses with nobody renewing it
        engine = EngineAddress(engine_id, *address)
        with self._lock:
            before = self._holder_by_engine.pop(engine_id, None)
            if before is not None:
                self._end(before)
            self._lease_by_engine_without_pool.pop(engine_id, None)
            if self._awaits_pool(vm.pool):
                held = HeldLease(fencing, valid, links)
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
                load_grants=links.load_grants,
                on_hint=links.on_hint,
                log_is_down=lambda: self._views.log_down_for_all,
            )
            self._holder_by_engine[engine_id] = holder
        self._ticker.add(holder)
        if self._views.membership.is_leaving(engine_id):
            tell(holder, EngineLeaving())
        links.on_started(engine_id)

    def stop(self, engine_id: str, links: HolderCallbacks) -> None:
        """Stop holding an engine; what waits there is sent elsewhere."""
        with self._lock:
            self._lease_by_engine_without_pool.pop(engine_id, None)
            holder = self._holder_by_engine.pop(engine_id, None)
        if holder is not None:
            self._end(holder)
            links.on_stopped(engine_id)

    def stop_all(self) -> None:
        """Stop every holder."""
        with self._lock:
            holders = list(self._holder_by_engine.values())
            self._holder_by_engine.clear()
            self._lease_by_engine_without_pool.clear()
        for holder in holders:
            self._end(holder)

    def wake(self, engine_id: str) -> None:
        """Let a holder look at its lease at once, not at its next tick."""
        holder = self._holder_by_engine.get(engine_id)
        if holder is not None:
            tell(holder, Tick())

    def on_membership(self) -> None:
        """Tell holders of engines that leave; start those whose pool became known."""
        for engine_id, holder in list(self._holder_by_engine.items()):
            if self._views.membership.is_leaving(engine_id):
                tell(holder, EngineLeaving())
        for engine_id in list(self._lease_by_engine_without_pool):
            with self._lock:
                held = self._lease_by_engine_without_pool.get(engine_id)
                if held is not None:
                    self.start(engine_id, held.fencing, held.valid, held.links)

    def on_entry_vm_gone(self, vm_id: str) -> None:
        """Tell all holders that an entry VM fell silent."""
        for holder in list(self._holder_by_engine.values()):
            tell(holder, EntryVMGone(vm_id))

    def on_version_changed(self, replaced: str, lora_name: str, source: str) -> None:
        """Tell all holders of a new version."""
        for holder in list(self._holder_by_engine.values()):
            tell(holder, VersionChanged(replaced, lora_name, source))

    def dump(self) -> dict[str, Any]:
        """Return the state of every holder."""
        return {
            engine_id: ask_actor(holder, DumpState())
            for engine_id, holder in sorted(self._holder_by_engine.items())
        }

    def _end(self, holder: pykka.ActorRef) -> None:
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
        """Tell whether the catalogue is known but does not name the pool yet.

        A holder started then would guess how long a load takes. A guess far too long
        keeps new adapters away from its engine, so that nothing ever corrects it: the
        engine idles while others exchange their slots. Nobody can ask for the engine
        before its pool is named, so waiting costs nothing.
        """
        return self._views.catalogue is not None and self._pool_entry(pool) is None

    def _pool_entry(self, pool: str) -> PoolEntry | None:
        catalogue = self._views.catalogue
        return None if catalogue is None else catalogue.pool_by_name.get(pool)
