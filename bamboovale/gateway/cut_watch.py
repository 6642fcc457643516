"""Acts on the loss of all paths to endpoints: tries them, and gives engines away."""

import asyncio
import itertools
from collections.abc import Callable

from bamboovale.gateway.endpoint_client import EndpointClient
from bamboovale.gateway.ownership import Ownership
from bamboovale.gateway.vm_state import VMState

CHECK_INTERVAL_S = 0.2
STEP_BACK_AFTER_S = 0.4
"""How long this VM is cut off before it releases its engines."""
RETURN_AFTER_S = 3.0
"""How long it reaches endpoints again before it may own engines; guards against engines
that go to and fro with cuts that come and go."""
PROBE_PAUSE_S = 0.8
REASON = "cut from endpoints"


class CutWatch:
    """Watches whether this VM reaches any endpoint, forever.

    Engines whose owner is cut off load nothing. Another VM takes them over, unless all
    are cut off.
    """

    def __init__(
        self,
        state: VMState,
        client: EndpointClient,
        ownership: Ownership,
        announce: Callable[[], None],
    ) -> None:
        self._state = state
        self._client = client
        self._ownership = ownership
        self._announce = announce
        self._numbers = itertools.count()
        self._changed_at = state.now()
        self._probed_at = state.now()
        self._was_cut = False

    async def watch(self) -> None:
        """Check the paths, and give engines away; the store may never answer."""
        await asyncio.gather(self._check_forever(), self._own_forever())

    async def _check_forever(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            is_cut = self._state.path_watch.check()
            if is_cut != self._was_cut:
                self._was_cut = is_cut
                self._changed_at = self._state.now()
                self._announce()
            self._probe(is_cut)

    async def _own_forever(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self._suspend_or_resume()

    async def _suspend_or_resume(self) -> None:
        is_cut = self._was_cut
        lasts_s = self._state.now() - self._changed_at
        if is_cut and lasts_s >= STEP_BACK_AFTER_S and self._others_reach_endpoints():
            await self._ownership.set_suspended(True, REASON)
        elif not is_cut and lasts_s >= RETURN_AFTER_S:
            await self._ownership.set_suspended(False, REASON)

    def _others_reach_endpoints(self) -> bool:
        return any(not member.cut for member in self._state.fleet.serving())

    def _probe(self, is_cut: bool) -> None:
        """Try one endpoint after the other while none is reached, also without callers.

        Guards against a VM that has few requests and does not find out, or finds out
        and never again that its paths are back.
        """
        now = self._state.now()
        if not self._state.path_watch.paths.is_reaching_none(now):
            return
        pause_s = PROBE_PAUSE_S if is_cut else CHECK_INTERVAL_S
        records = list(self._state.endpoints.record_by_id.values())
        if records and now - self._probed_at >= pause_s:
            self._probed_at = now
            self._client.probe(records[next(self._numbers) % len(records)])
