"""Turns at the weight store, which is rate-limited and shared by all engines.

Load pattern: after a shift in popularity or cold restarts every holder wants to load
at once. The store serves a few loads a second, two at once at full speed; more only
share its bandwidth, so that all finish late, and those over the rate fail.

One scheduler gives turns, the most waiting work first; a turn whose holder fell silent
ends by itself. While the store fails, one load at a time tries it. Where no scheduler
can be reached, each entry VM runs its own with a static share of the rate.
"""

from dataclasses import dataclass, replace

AGE_WEIGHT_PER_S = 0.5
"""An ask gains half a waiting request a second: light asks are not starved."""
ASK_FORGOTTEN_S = 6.0
"""Holders repeat an ask every 2 s; three missed mean it is not wanted any more."""
TURN_ENDS_S = 10.0
"""Many times a load at full speed; a lost answer costs one of two turns that long."""
PROBE_FIRST_S = 0.5
PROBE_MOST_S = 4.0
"""Pause between probes of a failing store, doubling; 4 s bounds the late notice."""


@dataclass(frozen=True)
class LoadConfig:
    """The weight store's limits."""

    rate_per_s: float = 5.0
    at_once: int = 2
    by_weight: bool = True


@dataclass(frozen=True)
class LoadRequest:
    """A holder's wish for a turn."""

    engine_id: str
    lora_name: str
    weight: float
    asked_at: float
    renewed_at: float


@dataclass(frozen=True)
class LoadGrant:
    """A turn given; ``number`` ends it."""

    number: int
    engine_id: str
    lora_name: str
    ends_at: float


class LoadScheduler:
    """Gives turns within the store's limits; each event returns the turns it gives."""

    @classmethod
    def from_config(cls, config: LoadConfig) -> "LoadScheduler":
        """Return a scheduler for the whole store."""
        return cls(config)

    @classmethod
    def static_share(cls, config: LoadConfig, live_vms: int) -> "LoadScheduler":
        """Return a scheduler for one entry VM's share, used when none is reachable."""
        share = config.rate_per_s / max(1, live_vms)
        return cls(replace(config, rate_per_s=share, at_once=1))

    def __init__(self, config: LoadConfig) -> None:
        self._config = config
        self._request_by_key: dict[tuple[str, str], LoadRequest] = {}
        self.grant_by_number: dict[int, LoadGrant] = {}
        self._tokens = float(config.at_once)
        self._filled_at: float | None = None
        self._numbers = 0
        self._failures = 0
        self._probe_from = 0.0

    def on_request(
        self,
        engine_id: str,
        lora_name: str,
        weight: float,
        now: float,
    ) -> list[LoadGrant]:
        """Take a wish, or renew its weight."""
        key = (engine_id, lora_name)
        known = self._request_by_key.get(key)
        asked_at = known.asked_at if known else now
        self._request_by_key[key] = LoadRequest(
            engine_id, lora_name, weight, asked_at, now
        )
        return self._give(now)

    def on_withdrawn(self, engine_id: str, now: float) -> list[LoadGrant]:
        """Drop all wishes of an engine that restarted, left or changed its holder."""
        for key in [key for key in self._request_by_key if key[0] == engine_id]:
            del self._request_by_key[key]
        return self._give(now)

    def on_done(self, number: int, now: float, *, loaded: bool) -> list[LoadGrant]:
        """End a turn after its load succeeded or failed."""
        if self.grant_by_number.pop(number, None) is None:
            return self._give(now)
        if loaded:
            self._failures = 0
        else:
            pause = min(PROBE_FIRST_S * 2.0**self._failures, PROBE_MOST_S)
            self._failures = min(self._failures + 1, 10)
            self._probe_from = now + pause
        return self._give(now)

    def on_returned(self, number: int, now: float) -> list[LoadGrant]:
        """Take back a turn that was not used: the store served nothing for it."""
        if self.grant_by_number.pop(number, None) is not None:
            self._tokens += 1.0
        return self._give(now)

    def on_tick(self, now: float) -> list[LoadGrant]:
        """End turns and wishes whose holder fell silent; the rate allows more."""
        for number, turn in list(self.grant_by_number.items()):
            if now >= turn.ends_at:
                del self.grant_by_number[number]
        for key, ask in list(self._request_by_key.items()):
            if now - ask.renewed_at > ASK_FORGOTTEN_S:
                del self._request_by_key[key]
        return self._give(now)

    @property
    def pending(self) -> int:
        """Return the number of wishes that wait."""
        return len(self._request_by_key)

    def _give(self, now: float) -> list[LoadGrant]:
        self._fill(now)
        turns: list[LoadGrant] = []
        while self._request_by_key and self._may_give(now):
            ask = min(
                self._request_by_key.values(), key=lambda ask: self._rank(ask, now)
            )
            del self._request_by_key[ask.engine_id, ask.lora_name]
            self._tokens -= 1.0
            self._numbers += 1
            turn = LoadGrant(
                self._numbers,
                ask.engine_id,
                ask.lora_name,
                now + TURN_ENDS_S,
            )
            self.grant_by_number[turn.number] = turn
            turns.append(turn)
        return turns

    def _may_give(self, now: float) -> bool:
        at_once = 1 if self._failures else self._config.at_once
        if self._failures and now < self._probe_from:
            return False
        return self._tokens >= 1.0 and len(self.grant_by_number) < at_once

    def _rank(self, ask: LoadRequest, now: float) -> tuple[float, str, str]:
        if not self._config.by_weight:
            return (ask.asked_at, ask.engine_id, ask.lora_name)
        weight = ask.weight + AGE_WEIGHT_PER_S * (now - ask.renewed_at)
        return (-weight, ask.engine_id, ask.lora_name)

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._config.rate_per_s
            self._tokens = min(self._tokens + gained, float(self._config.at_once))
        self._filled_at = now
