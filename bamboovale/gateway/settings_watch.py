"""Follows the settings file of the process, which may change while it runs."""

import asyncio
from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any

from result import Err, Result

from bamboovale.errors import Finding
from bamboovale.gateway.vm_state import VMState

LOOK_S = 2.0
"""Between two looks at the file: it may change without a signal, and the bounds in it
are met in some seconds. One look reads some 2 KB."""
FIXED = ("name", "ip", "callers", "readiness", "directory", "peers_port")
"""Settings that last a process's life: peers and callers know it by them."""

ReadSettings = Callable[[], Result[Any, list[Finding]]]


class SettingsWatch:
    """Brings changed settings into force; keeps the last good ones.

    ``on_change`` is called with the settings before and after.
    """

    def __init__(
        self,
        state: VMState,
        read: ReadSettings,
        on_change: Callable[[Any, Any], None],
    ) -> None:
        self._state = state
        self._read = read
        self._on_change = on_change
        self._findings_logged: list[Finding] = []
        self._ignored_logged: list[str] = []

    async def watch(self) -> None:
        """Look at the file for ever."""
        while True:
            await asyncio.sleep(LOOK_S)
            self.poll()

    def poll(self) -> None:
        """Read the file; take what has changed, or log what is wrong with it."""
        result = self._read()
        if isinstance(result, Err):
            self._log_findings(result.err_value)
            return
        self._findings_logged = []
        before = self._state.node
        given = result.ok_value
        self._log_ignored([n for n in FIXED if getattr(given, n) != getattr(before, n)])
        after = replace(given, **{name: getattr(before, name) for name in FIXED})
        if after == before:
            return
        self._state.node = after
        self._state.journal.write(
            "settings_changed",
            changed=[
                field.name
                for field in fields(after)
                if getattr(after, field.name) != getattr(before, field.name)
            ],
        )
        self._on_change(before, after)

    def _log_findings(self, findings: list[Finding]) -> None:
        if findings == self._findings_logged:
            return
        self._findings_logged = findings
        self._state.journal.write(
            "settings_invalid",
            findings=[f"{finding.place}: {finding.message}" for finding in findings],
        )

    def _log_ignored(self, names: list[str]) -> None:
        if names and names != self._ignored_logged:
            self._state.journal.write("settings_need_restart", settings=names)
        self._ignored_logged = names
