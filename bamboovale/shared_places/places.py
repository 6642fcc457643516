"""What a call of a plain service gets its endpoint from."""

import contextlib
from collections.abc import AsyncIterator, Callable, Collection
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from bamboovale.decisions.place_endpoint import CallEnd
from bamboovale.gateway.call import Call

Excluded = Callable[[], Collection[str]]


class Place(Protocol):
    """A place for one attempt at a call; without ``endpoint_id`` the caller chooses.

    ``retry_after_s`` is when a place is expected, None unless the call is refused.
    """

    endpoint_id: str | None
    retry_after_s: float | None

    def on_sent(self, endpoint_id: str) -> None:
        """Note where the attempt is sent, by the grant or by the caller's choice."""

    def on_end(self, end: CallEnd, took_s: float) -> None:
        """Note how the attempt ended, and its time in seconds."""


class Places(Protocol):
    """Gives places for calls."""

    def open(
        self, call: Call, excluded: Excluded, waits_s: float
    ) -> AbstractAsyncContextManager[Place]:
        """Wait for a place, for some seconds at most; it is free again at the exit.

        ``excluded`` returns the endpoints that cannot take the call from this VM.
        """


@dataclass
class OwnChoice:
    """A place that no VM grants: the caller chooses the endpoint."""

    endpoint_id: str | None = None
    retry_after_s: float | None = None

    def on_sent(self, endpoint_id: str) -> None:
        """Do nothing: nobody counts the attempt."""

    def on_end(self, end: CallEnd, took_s: float) -> None:
        """Do nothing: nobody counts the attempt."""


class OwnChoices:
    """Leaves every call to the caller's choice."""

    @contextlib.asynccontextmanager
    async def open(
        self, call: Call, excluded: Excluded, waits_s: float
    ) -> AsyncIterator[Place]:
        """Give a place without an endpoint."""
        yield OwnChoice()
