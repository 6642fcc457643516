"""Stand-in of the weight store: limited load rate and shared bandwidth."""

import math
import threading
import time

from bamboovale.standins.faults import Faults
from bamboovale.standins.history import History
from bamboovale.standins.log import TokenBucket
from bamboovale.standins.messages import Answer, Request
from bamboovale.standins.server import StandInServer

FAULTS = ("fail", "load_seconds", "loads_per_s")
PREFIX = "/weights/"


class Bandwidth:
    """Bandwidth shared by concurrent transfers.

    Up to ``full_speed`` transfers run at full speed; with more, all slow down alike.
    """

    def __init__(self, full_speed: int) -> None:
        self._full_speed = full_speed
        self._changed = threading.Condition()
        # Remaining seconds of each transfer at full speed.
        self._remaining_by_id: dict[int, float] = {}
        self._updated_at = time.monotonic()
        self._next_id = 0

    @property
    def active(self) -> int:
        """Return the number of active transfers."""
        return len(self._remaining_by_id)

    def transfer(self, seconds: float) -> None:
        """Block for as long as a transfer of ``seconds`` at full speed takes."""
        with self._changed:
            self._advance()
            transfer_id = self._next_id
            self._next_id += 1
            self._remaining_by_id[transfer_id] = seconds
            self._changed.notify_all()
            while self._remaining_by_id[transfer_id] > 1e-6:
                self._changed.wait(self._remaining_by_id[transfer_id] / self._speed())
                self._advance()
            del self._remaining_by_id[transfer_id]
            self._changed.notify_all()

    def _speed(self) -> float:
        return min(1.0, self._full_speed / len(self._remaining_by_id))

    def _advance(self) -> None:
        now = time.monotonic()
        if self._remaining_by_id:
            done = (now - self._updated_at) * self._speed()
            for transfer_id in self._remaining_by_id:
                self._remaining_by_id[transfer_id] -= done
        self._updated_at = now


class WeightStoreStandIn:
    """Answers a request for weights after its load time."""

    def __init__(
        self,
        loads_per_s: float,
        full_speed: int,
        load_seconds: float,
        faults: Faults,
        history: History,
    ) -> None:
        self._loads_per_s = loads_per_s
        self._load_seconds = load_seconds
        self._bandwidth = Bandwidth(full_speed)
        self._bucket = TokenBucket(time.monotonic())
        self._lock = threading.Lock()
        self._faults = faults
        self._history = history

    def answer(self, request: Request) -> Answer:
        """Answer one load request."""
        if request.method != "GET" or not request.path.startswith(PREFIX):
            return Answer.error(404, "not_found")
        name = request.path.removeprefix(PREFIX)
        per_s = self._faults.get("loads_per_s", self._loads_per_s)
        with self._lock:
            admitted = self._bucket.take(per_s, time.monotonic())
        if not admitted:
            self._history.record("load_refused", name=name)
            wait = str(math.ceil(1 / max(per_s, 0.01)))
            return Answer.error(429, "rate", headers={"Retry-After": wait})
        if self._fails(name):
            self._history.record("load_failed", name=name)
            return Answer.error(503, "unavailable")
        started = time.monotonic()
        self._history.record("load_start", name=name, at_once=self._bandwidth.active)
        self._bandwidth.transfer(self._faults.get("load_seconds", self._load_seconds))
        seconds = time.monotonic() - started
        self._history.record("load_end", name=name, seconds=seconds)
        return Answer(body={"name": name, "seconds": seconds})

    def _fails(self, name: str) -> bool:
        if isinstance(self._faults.get("fail"), list):
            return self._faults.names_or_occurs("fail", name)
        return self._faults.occurs_by_share("fail")


def create_server(
    listen: str,
    loads_per_s: float = 5.0,
    full_speed: int = 2,
    load_seconds: float = 1.0,
) -> StandInServer:
    """Return a weight store that listens on ``listen`` once started."""
    faults = Faults(FAULTS)
    history = History()
    store = WeightStoreStandIn(loads_per_s, full_speed, load_seconds, faults, history)
    return StandInServer(listen, store.answer, faults, history)
