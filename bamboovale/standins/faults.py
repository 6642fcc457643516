"""Faults of a stand-in, switched by name at run time."""

import random
import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any

COMMON_FAULTS = frozenset({"down", "slow_ms", "cut", "refuse_s"})


class UnknownFaultError(ValueError):
    """Raised for a fault name that this stand-in does not support."""


class Faults:
    """The active faults; a value of None switches a fault off.

    The value says how often a fault occurs: ``true`` is always, an integer is that
    many times from now on, and ``{"share": 0.2, "seed": 7}`` is a probability with
    the seed of its random generator, which makes a run reproducible.
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names = COMMON_FAULTS | frozenset(names)
        self._lock = threading.Lock()
        self._value_by_name: dict[str, Any] = {}
        self._random_by_name: dict[str, random.Random] = {}
        self._listeners: list[Callable[[Mapping[str, Any]], None]] = []

    def add_listener(self, listener: Callable[[Mapping[str, Any]], None]) -> None:
        """Call ``listener`` with each change after it has taken effect."""
        self._listeners.append(listener)

    def merge(self, changes: Mapping[str, Any]) -> None:
        """Set the named faults and keep the others; raise UnknownFaultError."""
        unknown = sorted(set(changes) - self.names)
        if unknown:
            raise UnknownFaultError(
                f"unknown: {', '.join(unknown)}; known: {', '.join(sorted(self.names))}"
            )
        with self._lock:
            for name, value in changes.items():
                self._set(name, value)
        for listener in self._listeners:
            listener(changes)

    def _set(self, name: str, value: Any) -> None:
        self._random_by_name.pop(name, None)
        if value is None:
            self._value_by_name.pop(name, None)
            return
        self._value_by_name[name] = value
        seed = value.get("seed", 0) if isinstance(value, dict) else 0
        self._random_by_name[name] = random.Random(seed)

    def get(self, name: str, default: Any = None) -> Any:
        """Return the value of a fault, or ``default`` while it is off."""
        with self._lock:
            return self._value_by_name.get(name, default)

    def to_json(self) -> dict[str, Any]:
        """Return the active faults."""
        with self._lock:
            return dict(self._value_by_name)

    def occurs(self, name: str) -> bool:
        """Return whether the fault occurs this time, for any form of value."""
        with self._lock:
            value = self._value_by_name.get(name)
            if value is None or isinstance(value, bool):
                return bool(value)
            if isinstance(value, int):
                return self._count_down(name, value)
            return self._draw(name, value)

    def occurs_by_share(self, name: str) -> bool:
        """Like ``occurs``, but treat a plain number as a probability."""
        with self._lock:
            value = self._value_by_name.get(name)
            if value is None or isinstance(value, bool):
                return bool(value)
            return self._draw(name, value)

    def names_or_occurs(self, name: str, subject: str) -> bool:
        """Like ``occurs``, but a list of subjects affects exactly those subjects."""
        value = self.get(name)
        if isinstance(value, list):
            return subject in value
        return self.occurs(name)

    def _count_down(self, name: str, left: int) -> bool:
        if left <= 0:
            return False
        self._value_by_name[name] = left - 1
        return True

    def _draw(self, name: str, value: Any) -> bool:
        share = value.get("share", 0.0) if isinstance(value, dict) else float(value)
        return self._random_by_name[name].random() < share
