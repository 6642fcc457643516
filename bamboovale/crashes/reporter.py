"""Reports requests that were running when an engine crashed, here and to peers."""

import logging
import threading
import time
from collections.abc import Callable

from result import Ok

from bamboovale.crashes.suspects import CrashNotice
from bamboovale.decisions.work import Permit
from bamboovale.engines.client import EngineAddress, EngineClient
from bamboovale.entry.decision_facade import DecisionFacade
from bamboovale.environment import Environment
from bamboovale.views import Views

RESTART_WAIT_S = 60.0
"""How long to poll an unreachable engine to find out whether it restarted."""

POLL_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


class CrashReporter:
    """Detects whether a failed run was a crash of its engine."""

    def __init__(
        self,
        environment: Environment,
        views: Views,
        decisions: DecisionFacade,
        engine_client: EngineClient,
        publish: Callable[[CrashNotice], None],
    ) -> None:
        self._environment = environment
        self._views = views
        self._decisions = decisions
        self._engine_client = engine_client
        self._publish = publish

    def report(self, permit: Permit, fingerprint: str, *, alone: bool) -> bool:
        """Report the request if its engine crashed; return whether it may have.

        ``alone`` says that no other request ran there. An engine that does not answer
        may only be unreachable: the request becomes a suspect, but is reported as
        the lone cause only after the engine shows a new boot id.
        """
        boot_id = self._read_boot_id(permit.engine_id)
        if boot_id == permit.boot_id:
            return False
        self._environment.metrics.suspects.inc()
        confirmed = alone and boot_id is not None
        self._publish_notice(permit, fingerprint, alone=confirmed)
        if alone and not confirmed:
            threading.Thread(
                target=self._await_restart,
                args=(permit, fingerprint),
                name="await-restart",
                daemon=True,
            ).start()
        return True

    def _await_restart(self, permit: Permit, fingerprint: str) -> None:
        give_up_at = self._environment.now() + RESTART_WAIT_S
        while self._environment.now() < give_up_at:
            time.sleep(POLL_INTERVAL_S)
            boot_id = self._read_boot_id(permit.engine_id)
            if boot_id is None:
                continue
            if boot_id != permit.boot_id:
                self._publish_notice(permit, fingerprint, alone=True)
            return

    def _publish_notice(self, permit: Permit, fingerprint: str, *, alone: bool) -> None:
        notice = CrashNotice(fingerprint, permit.engine_id, permit.boot_id, alone)
        if self._decisions.on_crash(notice):
            logger.warning(
                "engine %s crashed while running request %s (alone: %s)",
                permit.engine_id,
                permit.request_id,
                alone,
            )
            self._publish(notice)

    def _read_boot_id(self, engine_id: str) -> str | None:
        address = self._views.membership.address_of(engine_id, "http")
        if address is None:
            return None
        state = self._engine_client.read_state(EngineAddress(engine_id, *address))
        return state.ok_value.boot_id if isinstance(state, Ok) else None
