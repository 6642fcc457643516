"""Injected dependencies of a process: settings, metrics, logger, clock, randomness."""

import logging
import os
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboovale.metrics import Metrics
from bamboovale.settings import Settings


@dataclass(frozen=True)
class Environment:
    """The dependencies of one entry VM.

    ``now`` is the monotonic clock in seconds; ``wall_clock`` is for display and for
    timestamps that leave the process. ``incarnation`` is unique to each start.
    """

    settings: Settings
    metrics: Metrics
    logger: logging.Logger
    now: Callable[[], float] = time.monotonic
    wall_clock: Callable[[], float] = time.time
    rng: random.Random = field(default_factory=random.Random)
    incarnation: str = field(default_factory=lambda: os.urandom(6).hex())

    @classmethod
    def from_settings(cls, settings: Settings) -> "Environment":
        """Return the environment of a newly started process."""
        return cls(
            settings=settings,
            metrics=Metrics(),
            logger=logging.getLogger(f"bamboovale.{settings.id}"),
        )
