"""Tasks that own their state: actors that take typed messages one at a time."""

import concurrent.futures
import itertools
import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pykka

logger = logging.getLogger(__name__)

TICK_S = 0.1
"""The shortest interval of a tick: a fraction of the time between two renewals."""

SLOW_TICK_S = 0.3
"""For actors that act on messages and need the clock only to give up on something.
At 0.1 s for all, ticks alone took a third of an idle VM's processor time."""


@dataclass(frozen=True)
class Tick:
    """Time has passed."""


class MessageActor(pykka.ThreadingActor):
    """An actor that hands each message to the method registered for its type.

    A handler that raises would end a pykka actor, and with it the service of an
    engine or the reading of the log, until somebody restarts the VM. The fault is
    logged and counted instead, and the next message is handled.
    """

    use_daemon_thread = True

    def __init__(self, on_fault: Callable[[], None]) -> None:
        super().__init__()
        self._on_fault = on_fault
        self._handler_by_type: dict[type, Callable[[Any], Any]] = {}

    def handle(self, message_type: type, handler: Callable[[Any], Any]) -> None:
        """Register the handler of a message type."""
        self._handler_by_type[message_type] = handler

    def on_receive(self, message: Any) -> Any:
        """Hand a message to its handler."""
        handler = self._handler_by_type.get(type(message))
        if handler is None:
            logger.error("%s: no handler for %s", type(self).__name__, type(message))
            return None
        try:
            return handler(message)
        except Exception:
            self._on_fault()
            logger.exception("%s failed on %s", type(self).__name__, type(message))
            return None


class Ticker:
    """One thread that tells all registered actors that time passes."""

    def __init__(self) -> None:
        self._rounds_by_actor: dict[pykka.ActorRef, int] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()

    def add(self, actor: pykka.ActorRef, every_s: float = SLOW_TICK_S) -> None:
        """Tick an actor from now on, about this often."""
        with self._lock:
            self._rounds_by_actor[actor] = max(1, round(every_s / TICK_S))

    def remove(self, actor: pykka.ActorRef) -> None:
        """Tick an actor no longer."""
        with self._lock:
            self._rounds_by_actor.pop(actor, None)

    def _run(self) -> None:
        for number in itertools.count():
            if self._stopped.wait(TICK_S):
                return
            with self._lock:
                due = [
                    actor
                    for actor, rounds in self._rounds_by_actor.items()
                    if number % rounds == 0
                ]
            for actor in due:
                tell(actor, Tick())


def tell(actor: pykka.ActorRef, message: Any) -> None:
    """Send a message; one to an actor that has stopped is dropped."""
    try:
        actor.tell(message)
    except pykka.ActorDeadError:
        logger.debug("dropped %s for a stopped actor", type(message).__name__)


def tell_and_wait(actor: pykka.ActorRef, message: Any) -> None:
    """Send a message and wait until it was handled; a stopped actor ends the wait.

    For a sender that is quicker than the actor: its messages would pile up.
    """
    try:
        actor.ask(message)
    except pykka.ActorDeadError:
        logger.debug("dropped %s for a stopped actor", type(message).__name__)


def tell_result(
    actor: pykka.ActorRef,
    future: "concurrent.futures.Future[Any]",
    make_message: Callable[[Any], Any],
) -> None:
    """Tell the actor what a future brought, None if it failed."""

    def forward(done: "concurrent.futures.Future[Any]") -> None:
        failed = done.cancelled() or done.exception() is not None
        tell(actor, make_message(None if failed else done.result()))

    future.add_done_callback(forward)
