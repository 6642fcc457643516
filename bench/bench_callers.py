"""Open-loop load generator that sends a trace of arrivals on schedule.

Requests do not wait for one another, so the offered load does not depend on the speed
of the system. Each request is sent once; refused requests are not retried.
"""

import json
import random
import threading
import time
from dataclasses import dataclass
from enum import StrEnum

import urllib3
from urllib3.exceptions import HTTPError, ReadTimeoutError, TimeoutError

from bench.profiles import Arrival

CONNECT_TIMEOUT_S = 2.0
# Exceeds the token time of an engine that the slow-engine fault slows down.
MIN_READ_TIMEOUT_S = 0.6
JOIN_TIMEOUT_S = 5.0
DATA_PREFIX = b"data: "
END_OF_STREAM = b"data: [DONE]"
ERROR_PREFIX = b'data: {"error"'


class Ending(StrEnum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    FLOWING = "flowing"
    REFUSED = "refused"
    GAVE_UP = "gave up"
    BROKEN = "broken"
    WAITING = "waiting"


@dataclass(frozen=True)
class TraceOrder:
    """A trace to send; ``start_at`` is a wall-clock time, other times count from it."""

    label: str
    addresses: tuple[str, ...]
    arrivals: tuple[Arrival, ...]
    start_at: float
    seconds: float
    seed: int = 1


@dataclass
class Received:
    """The result of one arrival; times in seconds from the start of the trace."""

    arrival: Arrival
    sent_at: float = 0.0
    first_at: float | None = None
    ended_at: float = 0.0
    ending: Ending = Ending.WAITING
    code: str = ""
    tokens: int = 0
    endpoint: str = ""

    @property
    def wait_s(self) -> float:
        """Return the time until the first token, or until the end without one."""
        until = self.ended_at if self.first_at is None else self.first_at
        return until - self.arrival.at


def send_trace(order: TraceOrder) -> list[Received]:
    """Send every arrival at its time; return the results in order of arrival."""
    callers = _Callers(order)
    threads = [callers.start(arrival) for arrival in order.arrivals]
    for thread in threads:
        thread.join(max(0.0, callers.remaining_s() + JOIN_TIMEOUT_S))
    return callers.received


def entry_name(arrival: Arrival) -> str:
    """Return the name of the catalogue entry that an arrival requests."""
    return f"{arrival.adapter}-{arrival.work_class.value}"


class _Callers:
    """Sends requests, each on its own thread."""

    def __init__(self, order: TraceOrder) -> None:
        self._order = order
        self._random = random.Random(order.seed)
        self._http = urllib3.PoolManager(
            num_pools=len(order.addresses) + 1,
            maxsize=256,
            retries=False,
        )
        self.received: list[Received] = []

    def now(self) -> float:
        return time.time() - self._order.start_at

    def remaining_s(self) -> float:
        return self._order.seconds - self.now()

    def start(self, arrival: Arrival) -> threading.Thread:
        """Wait until an arrival is due and start the thread that sends it."""
        time.sleep(max(0.0, arrival.at - self.now()))
        received = Received(arrival)
        number = len(self.received)
        self.received.append(received)
        address = self._random.choice(self._order.addresses)
        thread = threading.Thread(
            target=self._send,
            args=(received, number, address),
            daemon=True,
        )
        thread.start()
        return thread

    def _send(self, received: Received, number: int, address: str) -> None:
        received.sent_at = self.now()
        try:
            response = self._post(received.arrival, number, address)
        except TimeoutError:
            received.ending = self._ending_on_timeout()
            received.code = "no first token in time"
        except (HTTPError, OSError) as error:
            received.ending = Ending.BROKEN
            received.code = type(error).__name__
        else:
            self._read(received, response)
        received.ended_at = self.now()

    def _ending_on_timeout(self) -> Ending:
        return Ending.WAITING if self.remaining_s() <= 0.0 else Ending.GAVE_UP

    def _post(
        self,
        arrival: Arrival,
        number: int,
        address: str,
    ) -> urllib3.BaseHTTPResponse:
        latest = min(arrival.at + arrival.max_wait_s, self._order.seconds)
        body = {
            "model": entry_name(arrival),
            "prompt": f"{self._order.label} {number}",
            "max_tokens": arrival.tokens,
            "stream": True,
        }
        return self._http.request(
            "POST",
            f"http://{address}/v1/completions",
            body=json.dumps(body),
            headers={
                "Content-Type": "application/json",
                "X-Request-Id": f"{self._order.label}-{number}",
                "X-Caller": arrival.customer,
            },
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S,
                read=max(MIN_READ_TIMEOUT_S, latest - self.now()),
            ),
            preload_content=False,
            redirect=False,
        )

    def _read(self, received: Received, response: urllib3.BaseHTTPResponse) -> None:
        if response.status != 200:
            received.ending = Ending.REFUSED
            received.code = _error_code(response.read())
            response.release_conn()
            return
        received.endpoint = response.headers.get("X-Endpoint", "")
        received.ending = Ending.BROKEN
        received.code = "stream without its end"
        try:
            self._read_stream(received, response)
        except ReadTimeoutError:
            flowing = received.first_at is not None and self.remaining_s() <= 0.0
            received.ending = Ending.FLOWING if flowing else Ending.BROKEN
            received.code = "" if flowing else "stream stands still"
        except (HTTPError, OSError) as error:
            received.code = type(error).__name__
        if received.ending is Ending.WHOLE:
            response.release_conn()
        else:
            response.close()

    def _read_stream(
        self,
        received: Received,
        response: urllib3.BaseHTTPResponse,
    ) -> None:
        """Read events until the end marker, an error or the end of the run."""
        remainder = b""
        for chunk in response.stream(amt=4096):
            *events, remainder = (remainder + chunk).split(b"\n\n")
            for event in events:
                if event.startswith(END_OF_STREAM):
                    received.ending, received.code = Ending.WHOLE, ""
                elif event.startswith(ERROR_PREFIX):
                    received.code = _error_code(event.removeprefix(DATA_PREFIX))
                    return
                elif received.first_at is None:
                    received.first_at = self.now()
                    received.tokens = 1
                else:
                    received.tokens += 1
            if received.ending is not Ending.WHOLE and self.remaining_s() <= 0.0:
                received.ending, received.code = Ending.FLOWING, ""
                return


def _error_code(body: bytes) -> str:
    try:
        return str(json.loads(body)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return "untyped"
