"""How a caller learns which entry VM to use, and how long it keeps the answer."""

import random
import time
from collections.abc import Iterable

import urllib3

from bench.http import call_json

ASK_TIMEOUT_S = 2.0


class EntryList:
    """The addresses that one caller knows.

    It asks any entry VM it knows and keeps the answer for as long as that says. When
    nobody answers it goes on with what it has, and at last with where it began.
    """

    def __init__(self, seeds: Iterable[str], source: random.Random) -> None:
        self._seeds = list(seeds)
        self._random = source
        self._addresses: list[str] = []
        self._keep_until = 0.0

    def choose(self) -> str:
        """Return the address to use now, as HOST:PORT."""
        if not self._addresses or time.monotonic() >= self._keep_until:
            self._ask()
        return self._random.choice(self._addresses or self._seeds)

    def drop(self, address: str) -> None:
        """Stop using an address that refused the connection."""
        self._addresses = [known for known in self._addresses if known != address]

    def add_seed(self, address: str) -> None:
        """Learn one more address to begin with."""
        self._seeds = [*self._seeds, address]

    def _ask(self) -> None:
        known = self._addresses + self._seeds
        for address in self._random.sample(known, len(known)):
            try:
                status, answer = call_json(
                    "GET",
                    f"http://{address}/v1/entries",
                    timeout_s=ASK_TIMEOUT_S,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if status == 200 and answer and answer.get("entries"):
                self._addresses = [
                    f"{entry['address']}:{entry['port']}" for entry in answer["entries"]
                ]
                self._keep_until = time.monotonic() + answer["valid_for_s"]
                return
