"""A caller's cached list of entry VMs, with periodic refresh."""

import random
import time
from collections.abc import Iterable

import urllib3

from bench.http import call_json

REFRESH_TIMEOUT_S = 2.0


class EntryList:
    """The addresses of entry VMs that one caller knows.

    The list is fetched from any known entry VM and kept for the validity time in the
    response. If no entry VM answers, the old list stays in use, then the seeds.
    """

    def __init__(self, seeds: Iterable[str], source: random.Random) -> None:
        self._seeds = list(seeds)
        self._random = source
        self._addresses: list[str] = []
        self._expires_at = 0.0

    def choose(self) -> str:
        """Return the address to use now, as HOST:PORT."""
        if not self._addresses or time.monotonic() >= self._expires_at:
            self._refresh()
        return self._random.choice(self._addresses or self._seeds)

    def drop(self, address: str) -> None:
        """Stop using an address that refused the connection."""
        self._addresses = [known for known in self._addresses if known != address]

    def add_seed(self, address: str) -> None:
        """Add a seed address."""
        self._seeds = [*self._seeds, address]

    def _refresh(self) -> None:
        known = self._addresses + self._seeds
        for address in self._random.sample(known, len(known)):
            try:
                status, answer = call_json(
                    "GET",
                    f"http://{address}/v1/entries",
                    timeout_s=REFRESH_TIMEOUT_S,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if status == 200 and answer and answer.get("entries"):
                self._addresses = [
                    f"{entry['address']}:{entry['port']}" for entry in answer["entries"]
                ]
                self._expires_at = time.monotonic() + answer["valid_for_s"]
                return
