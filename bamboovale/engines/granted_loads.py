"""The load grants of one engine's holder: each ends with its load, or is returned."""

from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Protocol

from bamboovale.decisions.work import Load
from bamboovale.engines.orders import OrderCompleted
from bamboovale.peers.messages import LoadGrantReply


class LoadGrants(Protocol):
    """Requests and releases load grants, wherever their scheduler runs."""

    def request(self, engine_id: str, lora_name: str, weight: float) -> None:
        """Request a grant; it arrives as ``LoadGrantReceived``."""
        ...

    def release(self, grant: LoadGrantReply, *, used: bool, loaded: bool) -> None:
        """Return a grant to the scheduler."""
        ...


class GrantedLoads:
    """Grants in order of their arrival, and the loads that use them.

    ``carry_out`` sends one order on a thread of the executor; the grant ends there,
    also after the holder has stopped.
    """

    def __init__(
        self,
        load_grants: LoadGrants,
        executor: Executor,
        carry_out: Callable[[Load], OrderCompleted],
    ) -> None:
        self._load_grants = load_grants
        self._executor = executor
        self._carry_out = carry_out
        self._waiting: deque[LoadGrantReply] = deque()

    def add(self, grant: LoadGrantReply) -> None:
        """Keep a grant until its load or its return."""
        self._waiting.append(grant)

    def load(self, order: Load) -> None:
        """Have an adapter loaded on the oldest grant, if there is one."""
        if not self._waiting:
            self._executor.submit(self._carry_out, order)
            return
        grant = self._waiting.popleft()

        def carry_out() -> None:
            completed = self._carry_out(order)
            self._load_grants.release(
                grant, used=completed.sent, loaded=completed.succeeded
            )

        def on_done(future: Future[None]) -> None:
            if future.cancelled():
                self._return(grant)

        self._executor.submit(carry_out).add_done_callback(on_done)

    def return_oldest(self) -> None:
        """Return the oldest grant that no load uses, if there is one."""
        if self._waiting:
            self._return(self._waiting.popleft())

    def return_all(self) -> None:
        """Return the grants that no load uses, as the holder stops.

        Guards against other holders that wait for them until they expire.
        """
        while self._waiting:
            self.return_oldest()

    def _return(self, grant: LoadGrantReply) -> None:
        self._load_grants.release(grant, used=False, loaded=False)
