"""What the loads of a soak share that send requests at a rate of their own."""

import itertools
import random
from collections.abc import Sequence

from bamboovale.http1.connection import Connection
from bench.soak_callers import Attempt, Caller, SentRequest
from bench.soak_customers import Keys
from bench.soak_delay import LoopDelay
from bench.soak_site import VMProcess


class SoakLoad:
    """Sends requests to VMs; keeps their open connections by VM.

    ``callers`` is the number of usual callers that the load stands for. ``sent``
    collects requests as they are sent, ``attempts`` as they end.
    """

    def __init__(
        self,
        vms: Sequence[VMProcess],
        attempts: list[Attempt],
        numbers: "itertools.count[int]",
        rng: random.Random,
        keys: Keys,
        sent: list[SentRequest],
        delay: LoopDelay,
        callers: int,
    ) -> None:
        self._vms = vms
        self._attempts = attempts
        self._numbers = numbers
        self._rng = rng
        self._keys = keys
        self._sent = sent
        self._delay = delay
        self._callers = callers
        self._kept: dict[str, list[Connection]] = {}

    def _caller(self, vm: VMProcess) -> Caller:
        """Return a caller for one request to a VM; the load notes its attempt."""
        return Caller(
            [vm],
            [],
            self._numbers,
            self._rng,
            self._keys,
            sent=self._sent,
            delay=self._delay,
        )

    def _give_back(self, vm: VMProcess, connection: Connection) -> None:
        """Keep a connection for the next request to its VM, if it can carry one."""
        if connection.reusable and not connection.closed:
            self._kept.setdefault(vm.name, []).append(connection)
        else:
            connection.close()
