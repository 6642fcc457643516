"""Actors: each owns its state and handles typed messages one at a time."""

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
"""Shortest tick interval; well below the interval of lease renewals."""

SLOW_TICK_S = 0.3
"""Tick interval of actors that use the clock only for timeouts; saves CPU time."""


@dataclass(frozen=True)
class Tick:
    """Periodic message sent by the ticker."""


class MessageActor(pykka.ThreadingActor):
    """An actor that dispatches each message to the handler registered for its type.

    An exception in a handler would stop a pykka actor until the VM restarts. It is
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
        """Dispatch a message to its handler."""
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
    """Thread that sends ticks to all registered actors."""

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
        """Start to send ticks to an actor, about every ``every_s`` seconds."""
        with self._lock:
            self._rounds_by_actor[actor] = max(1, round(every_s / TICK_S))

    def remove(self, actor: pykka.ActorRef) -> None:
        """Stop sending ticks to an actor."""
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
    """Send a message; it is dropped if the actor has stopped."""
    try:
        actor.tell(message)
    except pykka.ActorDeadError:
        logger.debug("dropped %s for a stopped actor", type(message).__name__)


def tell_and_wait(actor: pykka.ActorRef, message: Any) -> None:
    """Send a message and block until it is handled or the actor has stopped.

    Guards against an unbounded queue when the sender is faster than the actor.
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
    """Send a future's result to the actor as a message, None if it failed."""

    def forward(done: "concurrent.futures.Future[Any]") -> None:
        failed = done.cancelled() or done.exception() is not None
        tell(actor, make_message(None if failed else done.result()))

    future.add_done_callback(forward)
