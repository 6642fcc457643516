"""Stand-in of the weight store: a rate of loads, and a bandwidth that they share."""

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
    """Transfers that share the bandwidth of ``full_speed`` transfers.

    Up to ``full_speed`` at once run at full speed; with more, all slow down alike.
    """

    def __init__(self, full_speed: int) -> None:
        self._full_speed = full_speed
        self._changed = threading.Condition()
        # Seconds at full speed that each transfer still needs.
        self._left_by_id: dict[int, float] = {}
        self._at = time.monotonic()
        self._next_id = 0

    @property
    def active(self) -> int:
        """Return how many transfers run."""
        return len(self._left_by_id)

    def transfer(self, seconds: float) -> None:
        """Block for as long as a transfer of ``seconds`` at full speed takes."""
        with self._changed:
            self._advance()
            transfer_id = self._next_id
            self._next_id += 1
            self._left_by_id[transfer_id] = seconds
            self._changed.notify_all()
            while self._left_by_id[transfer_id] > 1e-6:
                self._changed.wait(self._left_by_id[transfer_id] / self._speed())
                self._advance()
            del self._left_by_id[transfer_id]
            self._changed.notify_all()

    def _speed(self) -> float:
        return min(1.0, self._full_speed / len(self._left_by_id))

    def _advance(self) -> None:
        now = time.monotonic()
        if self._left_by_id:
            done = (now - self._at) * self._speed()
            for transfer_id in self._left_by_id:
                self._left_by_id[transfer_id] -= done
        self._at = now


class WeightStoreStandIn:
    """Answers for a file of weights once its load time has passed."""

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
        """Answer one load."""
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
