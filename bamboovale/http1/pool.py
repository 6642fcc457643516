"""Connection pool: idle connections of each endpoint, kept for reuse."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from weakref import WeakSet

from bamboovale.http1.answer_limits import AnswerLimit
from bamboovale.http1.connection import CONNECT_TIMEOUT_S, ConnectFailed, Connection
from bamboovale.http1.turns import Turns
from bamboovale.request_ids import kept_id

OnLimit = Callable[[str, AnswerLimit], None]
"""Is told of the endpoint and bound of an answer that is cut."""
KEEP_ALIVE_S = 4.0
"""Idle limit for endpoints that send no ``Keep-Alive: timeout``."""
KEEP_ALIVE_MARGIN_S = 1.0
"""Subtracted from the endpoint's idle timeout: a request sent just before it could
race with the endpoint's close."""
HANGING_CONNECT_S = 0.25
"""A connection that is not made by then and given up counts as failed."""
LASTS_S = 0.05
"""A connection to an endpoint in doubt that breaks by then counts as not made."""
FRESH_IDLE_S = 2.5
"""Idle limit for a request that must not run twice: if the endpoint has silently
dropped the connection, the request fails with an unknown outcome."""


@dataclass
class EndpointPool:
    """The idle connections of one endpoint, most recently used first."""

    idle: deque[Connection] = field(default_factory=deque)
    opened: int = 0


class ConnectionPool:
    """Provides connections by endpoint id; endpoint ids are never reused.

    ``on_connected`` is called with the endpoint of each new connection, ``on_failed``
    with that of one that could not be made, and why. ``is_in_doubt`` returns whether
    the last connection to an endpoint failed.
    """

    def __init__(
        self,
        now: Callable[[], float],
        on_opened: Callable[[], None] = lambda: None,
        source: str | None = None,
        on_connected: Callable[[str], None] = lambda endpoint_id: None,
        on_failed: Callable[[str, str], None] = lambda endpoint_id, reason: None,
        is_in_doubt: Callable[[str], bool] = lambda endpoint_id: False,
    ) -> None:
        self._now = now
        self._is_in_doubt = is_in_doubt
        self._on_opened = on_opened
        self._on_connected = on_connected
        self._on_failed = on_failed
        self._source = source
        self._pool_by_id: dict[str, EndpointPool] = {}
        self._open: WeakSet[Connection] = WeakSet()
        self._turns = Turns()
        self._opening = 0
        self._most: float = math.inf
        self._on_full: Callable[[], None] = lambda: None
        self._on_received: Callable[[int], None] = lambda size: None
        self._on_limit: OnLimit = lambda endpoint_id, limit: None

    def limit(self, most: int, on_full: Callable[[], None]) -> None:
        """Keep at most so many connections open; ``on_full`` is told of each other.

        Guards against requests that together take all descriptors of the process.
        """
        self._most, self._on_full = most, on_full

    def tell_received(self, on_received: Callable[[int], None]) -> None:
        """Have ``on_received`` told of the bytes of responses, as they come."""
        self._on_received = on_received

    def tell_limits(self, on_limit: OnLimit) -> None:
        """Have ``on_limit`` told of the endpoint and bound of an answer that is cut."""
        self._on_limit = on_limit

    def note_limit(self, endpoint_id: str, limit: AnswerLimit) -> None:
        """Tell that an answer of an endpoint is cut at a bound."""
        self._on_limit(endpoint_id, limit)

    async def take(
        self,
        endpoint_id: str,
        address: tuple[str, int],
        *,
        request_id: str | None = None,
        fresh_only: bool = False,
        timeout_s: float | None = None,
    ) -> Connection:
        """Return an idle connection or a new one; raises ConnectFailed.

        ``request_id`` names the request that it is for, None if answers bear no id.
        """
        kept = self.take_kept(endpoint_id, request_id=request_id, fresh_only=fresh_only)
        if kept is not None:
            return kept
        connection = await self.open(endpoint_id, address, timeout_s)
        _note_request(connection, request_id)
        return connection

    def take_kept(
        self,
        endpoint_id: str,
        *,
        request_id: str | None = None,
        fresh_only: bool = False,
    ) -> Connection | None:
        """Return an idle connection that has not carried the request, None if none is.

        Guards against a second copy of an endpoint's answer to the earlier attempt,
        which nothing tells from its answer to this one.
        """
        pool = self._pool_by_id.setdefault(endpoint_id, EndpointPool())
        max_idle_s = FRESH_IDLE_S if fresh_only else KEEP_ALIVE_S * 10
        passed_over: list[Connection] = []
        while (connection := self._take_idle(pool, max_idle_s)) is not None:
            if not _has_carried(connection, request_id):
                _note_request(connection, request_id)
                break
            passed_over.append(connection)
        pool.idle.extendleft(reversed(passed_over))
        return connection

    async def open(
        self,
        endpoint_id: str,
        address: tuple[str, int],
        timeout_s: float | None = None,
    ) -> Connection:
        """Return a new connection; raises ConnectFailed."""
        self._make_room()
        self._opening += 1
        try:
            connection = await self._open_new(endpoint_id, address, timeout_s)
        finally:
            self._opening -= 1
        connection.on_received = self._on_received
        connection.on_limit = partial(self.note_limit, endpoint_id)
        connection.turns = self._turns
        self._open.add(connection)
        return connection

    def _make_room(self) -> None:
        """Close an idle connection if there are too many; raises ConnectFailed."""
        if len(self._open) + self._opening < self._most:
            return
        self._open = WeakSet(item for item in self._open if not item.closed)
        if len(self._open) + self._opening < self._most:
            return
        self._on_full()
        idle = [pool.idle for pool in self._pool_by_id.values() if pool.idle]
        if not idle:
            raise ConnectFailed("too many connections are open")
        longest = min(idle, key=lambda items: items[-1].idle_since).pop()
        longest.close()
        self._open.discard(longest)

    async def _open_new(
        self,
        endpoint_id: str,
        address: tuple[str, int],
        timeout_s: float | None,
    ) -> Connection:
        self._on_opened()
        limit_s = CONNECT_TIMEOUT_S if timeout_s is None else timeout_s
        started_at = self._now()
        try:
            connection = await Connection.open(*address, self._source, limit_s)
            if self._is_in_doubt(endpoint_id):
                await _check_lasts(connection)
        except ConnectFailed as error:
            self._on_failed(endpoint_id, str(error))
            raise
        except asyncio.CancelledError:
            if self._now() - started_at >= HANGING_CONNECT_S:
                self._on_failed(endpoint_id, "hangs")
            raise
        self._on_connected(endpoint_id)
        return connection

    def give_back(self, endpoint_id: str, connection: Connection) -> None:
        """Keep a reusable connection; close any other."""
        pool = self._pool_by_id.get(endpoint_id)
        if pool is None or not connection.reusable or connection.closed:
            connection.close()
            return
        connection.idle_since = self._now()
        pool.idle.appendleft(connection)

    def keep(self, endpoint_id: str, connection: Connection) -> None:
        """Keep a connection that was opened for a later request."""
        connection.reusable = True
        self._pool_by_id.setdefault(endpoint_id, EndpointPool())
        self.give_back(endpoint_id, connection)

    def has_open(self, endpoint_id: str) -> bool:
        """Return whether an idle connection to an endpoint is open."""
        pool = self._pool_by_id.get(endpoint_id)
        return pool is not None and any(not item.closed for item in pool.idle)

    def forget(self, endpoint_id: str) -> None:
        """Close the idle connections of a removed endpoint."""
        pool = self._pool_by_id.pop(endpoint_id, None)
        for connection in pool.idle if pool else ():
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for endpoint_id in list(self._pool_by_id):
            self.forget(endpoint_id)

    def sweep(self) -> None:
        """Close connections that exceed their idle limit."""
        for pool in self._pool_by_id.values():
            while pool.idle and not self._usable(pool.idle[-1], KEEP_ALIVE_S * 10):
                pool.idle.pop().close()

    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return sum(len(pool.idle) for pool in self._pool_by_id.values())

    def _take_idle(self, pool: EndpointPool, max_idle_s: float) -> Connection | None:
        while pool.idle:
            connection = pool.idle[0]
            if connection.closed or not self._usable(connection, KEEP_ALIVE_S * 10):
                pool.idle.popleft()
                connection.close()
                continue
            if not self._usable(connection, max_idle_s):
                return None
            return pool.idle.popleft()
        return None

    def _usable(self, connection: Connection, max_idle_s: float) -> bool:
        sent_s = connection.keep_alive_s
        limit_s = KEEP_ALIVE_S if sent_s is None else sent_s - KEEP_ALIVE_MARGIN_S
        idle_s = self._now() - connection.idle_since
        return not connection.closed and idle_s < min(limit_s, max_idle_s)


async def _check_lasts(connection: Connection) -> None:
    """Raise ConnectFailed if a new connection breaks at once.

    Guards against requests that are sent on a path where connections are made and
    reset.
    """
    lasts = False
    try:
        lasts = await connection.lasts(LASTS_S)
    finally:
        if not lasts:
            connection.close()
    if not lasts:
        raise ConnectFailed("broke at once")


def _note_request(connection: Connection, request_id: str | None) -> None:
    if request_id is not None:
        connection.carried_ids.append(kept_id(request_id))


def _has_carried(connection: Connection, request_id: str | None) -> bool:
    return request_id is not None and kept_id(request_id) in connection.carried_ids


async def sweep_forever(pool: ConnectionPool, interval_s: float = 1.0) -> None:
    """Periodically close connections that exceed their idle limit."""
    while True:
        await asyncio.sleep(interval_s)
        pool.sweep()
