"""Collects the state of an entry VM as JSON for operators."""

import dataclasses
from collections.abc import Callable
from typing import Any

import pykka

from bamboovale import __version__
from bamboovale.environment import Environment
from bamboovale.views import Views

ASK_TIMEOUT_S = 2.0
"""An actor that does not answer in time is listed as such in the dump."""


class StateDump:
    """Collects the state of all components; errors are listed per component."""

    def __init__(self, environment: Environment, views: Views) -> None:
        self._environment = environment
        self._views = views
        self._started_at = environment.wall_clock()
        self._question_by_name: dict[str, tuple[pykka.ActorRef, Any]] = {}
        self._read_by_name: dict[str, Callable[[], Any]] = {}

    def add_actor(self, name: str, actor: pykka.ActorRef, question: Any) -> None:
        """Add a part that ``actor`` returns for ``question``."""
        self._question_by_name[name] = (actor, question)

    def add(self, name: str, read: Callable[[], Any]) -> None:
        """Add a part that ``read`` returns."""
        self._read_by_name[name] = read

    def collect(self) -> dict[str, Any]:
        """Return the complete state."""
        parts: dict[str, Any] = {"process": self._process()}
        for name, (actor, question) in self._question_by_name.items():
            parts[name] = ask_actor(actor, question)
        for name, read in self._read_by_name.items():
            parts[name] = read()
        return parts

    def _process(self) -> dict[str, Any]:
        return {
            "id": self._environment.settings.id,
            "incarnation": self._environment.incarnation,
            "version": __version__,
            "started_at": self._started_at,
            "serving": self._views.serving,
            "draining": self._views.draining,
            "settings": self._environment.settings.to_json(),
        }


def ask_actor(actor: pykka.ActorRef, question: Any) -> Any:
    """Return the answer of an actor, or the reason why there is none."""
    try:
        return actor.ask(question, timeout=ASK_TIMEOUT_S)
    except (pykka.Timeout, pykka.ActorDeadError) as error:
        return {"no_answer": type(error).__name__}


def as_json(value: Any) -> Any:
    """Return data classes, also those within a dict, as dicts."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    if isinstance(value, dict):
        return {str(key): as_json(member) for key, member in value.items()}
    return value
