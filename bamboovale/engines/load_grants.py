"""Load grants at the weight store: schedules them or forwards their requests."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bamboovale.actors import MessageActor, Tick
from bamboovale.decisions.load_scheduler import LoadConfig, LoadGrant, LoadScheduler
from bamboovale.environment import Environment
from bamboovale.leases.messages import WEIGHT_STORE
from bamboovale.peers.messages import LoadGrantRelease, LoadGrantReply, LoadGrantRequest
from bamboovale.views import Views


@dataclass(frozen=True)
class LoadRequestReceived:
    """A holder on ``from_vm`` requests a load grant."""

    from_vm: str
    request: LoadGrantRequest


@dataclass(frozen=True)
class LoadReleaseReceived:
    """A holder returns a load grant."""

    release: LoadGrantRelease


@dataclass(frozen=True)
class SchedulerLeaseChanged:
    """This VM became the scheduler, or lost that role (``fencing`` is None)."""

    fencing: int | None
    valid: Callable[[], bool]


@dataclass(frozen=True)
class DumpLoadGrants:
    """Request for the state as JSON."""


class LoadGrantActor(MessageActor):
    """Schedules load grants for all entry VMs while it holds the weight store's lease.

    If no scheduler is reachable, it grants this VM's holders a static share.
    """

    def __init__(
        self,
        environment: Environment,
        views: Views,
        send: Callable[[str, Any], None],
        deliver_here: Callable[[LoadGrantReply], None],
    ) -> None:
        super().__init__(environment.metrics.internal_faults.inc)
        settings = environment.settings
        self._environment = environment
        self._views = views
        self._send = send
        self._deliver_here = deliver_here
        self._own_id = settings.id
        self._config = LoadConfig(
            rate_per_s=settings.weight_loads_per_s,
            at_once=settings.weight_full_speed,
            by_weight=settings.policy != "baseline",
        )
        self._scheduler: LoadScheduler | None = None
        self._scheduler_name = ""
        self._lease_valid: Callable[[], bool] = lambda: False
        self._vm_by_engine: dict[str, str] = {}
        self._vm_by_grant: dict[int, str] = {}
        self._static_share = LoadScheduler.static_share(self._config, 1)
        self._static_share_of = 1
        self.handle(LoadRequestReceived, self._on_request)
        self.handle(LoadReleaseReceived, self._on_release)
        self.handle(SchedulerLeaseChanged, self._on_lease)
        self.handle(Tick, self._on_tick)
        self.handle(DumpLoadGrants, self._on_dump)

    def _on_lease(self, message: SchedulerLeaseChanged) -> None:
        self._scheduler = None
        self._vm_by_engine.clear()
        self._vm_by_grant.clear()
        self._lease_valid = message.valid
        if message.fencing is not None:
            self._scheduler = LoadScheduler.from_config(self._config)
            self._scheduler_name = f"{self._own_id}:{message.fencing}"

    def _on_request(self, message: LoadRequestReceived) -> None:
        request = message.request
        now = self._environment.now()
        if self._scheduler is not None and self._lease_valid():
            key = (request.engine_id, request.lora_name, request.weight)
            grants = self._scheduler.on_request(*key, now)
            self._vm_by_engine[request.engine_id] = message.from_vm
            self._deliver(grants)
        elif message.from_vm == self._own_id:
            self._request_elsewhere(request, now)

    def _request_elsewhere(self, request: LoadGrantRequest, now: float) -> None:
        scheduler = self._views.holder_of(WEIGHT_STORE)
        usable = {vm.id for vm in self._views.membership.usable_entry_vms()}
        if scheduler in usable and scheduler != self._own_id:
            self._send(scheduler, request)
            return
        if len(usable) != self._static_share_of:
            self._static_share_of = len(usable)
            self._static_share = LoadScheduler.static_share(
                self._config, self._static_share_of
            )
        grants = self._static_share.on_request(
            request.engine_id, request.lora_name, request.weight, now
        )
        self._deliver_share(grants)

    def _on_release(self, message: LoadReleaseReceived) -> None:
        release = message.release
        now = self._environment.now()
        if release.scheduler == self._static_share_name:
            self._deliver_share(_apply_release(self._static_share, release, now))
        elif release.scheduler == self._scheduler_name and self._scheduler is not None:
            self._deliver(_apply_release(self._scheduler, release, now))

    def _on_tick(self, _: Tick) -> None:
        now = self._environment.now()
        if self._scheduler is not None and self._lease_valid():
            self._end_lost_grants(self._scheduler, now)
            self._deliver(self._scheduler.on_tick(now))
        self._deliver_share(self._static_share.on_tick(now))

    def _end_lost_grants(self, scheduler: LoadScheduler, now: float) -> None:
        """End the grants of VMs that are gone or unreachable.

        Guards against loads elsewhere that wait until a lost grant expires.
        """
        membership = self._views.membership
        present = membership.vm_by_id.keys() - membership.unreachable_ids
        for number, vm_id in list(self._vm_by_grant.items()):
            if number not in scheduler.grant_by_number:
                del self._vm_by_grant[number]
            elif vm_id not in present and vm_id != self._own_id:
                del self._vm_by_grant[number]
                self._deliver(scheduler.on_lost(number, now))

    @property
    def _static_share_name(self) -> str:
        return f"{self._own_id}:share"

    def _deliver(self, grants: list[LoadGrant]) -> None:
        for grant in grants:
            message = LoadGrantReply(
                grant.engine_id,
                grant.lora_name,
                self._scheduler_name,
                grant.number,
            )
            vm_id = self._vm_by_engine.get(grant.engine_id, self._own_id)
            self._vm_by_grant[grant.number] = vm_id
            if vm_id == self._own_id:
                self._deliver_here(message)
            else:
                self._send(vm_id, message)

    def _deliver_share(self, grants: list[LoadGrant]) -> None:
        for grant in grants:
            self._deliver_here(
                LoadGrantReply(
                    grant.engine_id,
                    grant.lora_name,
                    self._static_share_name,
                    grant.number,
                )
            )

    def _on_dump(self, _: DumpLoadGrants) -> dict[str, Any]:
        scheduler = self._scheduler
        return {
            "is_scheduler": scheduler is not None,
            "asks": 0 if scheduler is None else scheduler.pending,
            "turns": 0 if scheduler is None else len(scheduler.grant_by_number),
            "static_share_of": self._static_share_of,
        }


def _apply_release(
    scheduler: LoadScheduler, release: LoadGrantRelease, now: float
) -> list[LoadGrant]:
    if release.used:
        return scheduler.on_done(release.number, now, loaded=release.loaded)
    return scheduler.on_returned(release.number, now)
