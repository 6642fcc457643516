"""Turns at the weight store: finds their scheduler, or is it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bamboovale.actors import MessageActor, Tick
from bamboovale.decisions.load_scheduler import LoadConfig, LoadGrant, LoadScheduler
from bamboovale.environment import Environment
from bamboovale.leases.messages import WEIGHT_STORE
from bamboovale.peers.messages import LoadTurnAsk, LoadTurnEnded, LoadTurnGiven
from bamboovale.views import Views


@dataclass(frozen=True)
class TurnAsked:
    """A holder, here or on the VM named, wants a turn."""

    from_vm: str
    ask: LoadTurnAsk


@dataclass(frozen=True)
class TurnEnded:
    """A turn is over."""

    ended: LoadTurnEnded


@dataclass(frozen=True)
class SchedulerLeaseChanged:
    """This VM became (``fencing``) or stopped being (None) the scheduler."""

    fencing: int | None
    valid: Callable[[], bool]


@dataclass(frozen=True)
class DumpLoadTurns:
    """Ask for the state as JSON."""


class LoadTurnKeeper(MessageActor):
    """Schedules turns for all entry VMs while it holds the weight store's lease.

    Where no scheduler can be reached it gives this VM's holders a static share.
    """

    def __init__(
        self,
        environment: Environment,
        views: Views,
        send: Callable[[str, Any], None],
        give: Callable[[LoadTurnGiven], None],
    ) -> None:
        super().__init__(environment.metrics.internal_faults.inc)
        settings = environment.settings
        self._environment = environment
        self._views = views
        self._send = send
        self._give = give
        self._own_id = settings.id
        self._config = LoadConfig(
            rate_per_s=settings.weight_loads_per_s,
            at_once=settings.weight_full_speed,
            by_weight=settings.policy != "baseline",
        )
        self._scheduler: LoadScheduler | None = None
        self._scheduler_name = ""
        self._valid: Callable[[], bool] = lambda: False
        self._vm_by_engine: dict[str, str] = {}
        self._share = LoadScheduler.static_share(self._config, 1)
        self._share_of = 1
        self.handle(TurnAsked, self._on_asked)
        self.handle(TurnEnded, self._on_ended)
        self.handle(SchedulerLeaseChanged, self._on_lease)
        self.handle(Tick, self._on_tick)
        self.handle(DumpLoadTurns, self._on_dump)

    def _on_lease(self, message: SchedulerLeaseChanged) -> None:
        self._scheduler = None
        self._vm_by_engine.clear()
        self._valid = message.valid
        if message.fencing is not None:
            self._scheduler = LoadScheduler.from_config(self._config)
            self._scheduler_name = f"{self._own_id}:{message.fencing}"

    def _on_asked(self, message: TurnAsked) -> None:
        ask = message.ask
        now = self._environment.now()
        if self._scheduler is not None and self._valid():
            key = (ask.engine_id, ask.lora_name, ask.weight)
            turns = self._scheduler.on_request(*key, now)
            self._vm_by_engine[ask.engine_id] = message.from_vm
            self._deliver(turns)
        elif message.from_vm == self._own_id:
            self._ask_elsewhere(ask, now)

    def _ask_elsewhere(self, ask: LoadTurnAsk, now: float) -> None:
        scheduler = self._views.holder_of(WEIGHT_STORE)
        usable = {vm.id for vm in self._views.membership.usable_entry_vms()}
        if scheduler in usable and scheduler != self._own_id:
            self._send(scheduler, ask)
            return
        if len(usable) != self._share_of:
            self._share_of = len(usable)
            self._share = LoadScheduler.static_share(self._config, self._share_of)
        turns = self._share.on_request(ask.engine_id, ask.lora_name, ask.weight, now)
        self._deliver_share(turns)

    def _on_ended(self, message: TurnEnded) -> None:
        ended = message.ended
        now = self._environment.now()
        if ended.scheduler == self._share_name:
            self._deliver_share(_end(self._share, ended, now))
        elif ended.scheduler == self._scheduler_name and self._scheduler is not None:
            self._deliver(_end(self._scheduler, ended, now))

    def _on_tick(self, _: Tick) -> None:
        now = self._environment.now()
        if self._scheduler is not None and self._valid():
            self._deliver(self._scheduler.on_tick(now))
        self._deliver_share(self._share.on_tick(now))

    @property
    def _share_name(self) -> str:
        return f"{self._own_id}:share"

    def _deliver(self, turns: list[LoadGrant]) -> None:
        for turn in turns:
            given = LoadTurnGiven(
                turn.engine_id,
                turn.lora_name,
                self._scheduler_name,
                turn.number,
            )
            vm_id = self._vm_by_engine.get(turn.engine_id, self._own_id)
            if vm_id == self._own_id:
                self._give(given)
            else:
                self._send(vm_id, given)

    def _deliver_share(self, turns: list[LoadGrant]) -> None:
        for turn in turns:
            self._give(
                LoadTurnGiven(
                    turn.engine_id,
                    turn.lora_name,
                    self._share_name,
                    turn.number,
                )
            )

    def _on_dump(self, _: DumpLoadTurns) -> dict[str, Any]:
        scheduler = self._scheduler
        return {
            "is_scheduler": scheduler is not None,
            "asks": 0 if scheduler is None else scheduler.pending,
            "turns": 0 if scheduler is None else len(scheduler.grant_by_number),
            "static_share_of": self._share_of,
        }


def _end(scheduler: LoadScheduler, ended: LoadTurnEnded, now: float) -> list[LoadGrant]:
    if ended.used:
        return scheduler.on_done(ended.number, now, loaded=ended.loaded)
    return scheduler.on_returned(ended.number, now)
