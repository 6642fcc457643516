"""Reloads the settings file when it changes while the process runs."""

import asyncio
from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any

from result import Err, Result

from bamboovale.errors import Finding
from bamboovale.gateway.vm_state import VMState

POLL_INTERVAL_S = 2.0
"""Interval of reads of the file, which may change without a signal."""
FIXED = ("name", "ip", "callers", "readiness", "directory", "peers_port")
"""Settings that cannot change while the process runs: others know it by them."""

ReadSettings = Callable[[], Result[Any, list[Finding]]]


class SettingsWatch:
    """Applies changed settings; keeps the last valid ones if the file is invalid.

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
        """Poll the file forever."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.poll()

    def poll(self) -> None:
        """Read the file; apply what has changed, or log what is wrong with it."""
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
