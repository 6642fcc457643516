"""Tests of settings that change while the process runs."""

import json
import logging
from pathlib import Path
from typing import Any

from result import Err, Ok
from typer.testing import CliRunner

from bamboovale.cli.main import app
from bamboovale.errors import Finding
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.settings_watch import SettingsWatch
from bamboovale.gateway.vm_state import VMState
from bamboovale.platform.node_file import NodeSettings
from bamboovale.status import ExitStatus
from tests.gateway_site import node_document


class ChangingFile:
    """A settings file and a VM that polls it."""

    def __init__(self) -> None:
        self.document = node_document(("127.0.0.1", 1), "vm")
        self.findings: list[Finding] | None = None
        self.changes: list[tuple[Any, Any]] = []
        node = NodeSettings.from_document(self.document).unwrap()
        self.state = VMState(node, Journal("vm", logging.getLogger("none")))
        self.watch = SettingsWatch(
            self.state,
            self.read,
            lambda before, after: self.changes.append((before, after)),
        )

    def read(self) -> Any:
        if self.findings is not None:
            return Err(self.findings)
        return Ok(NodeSettings.from_document(self.document).unwrap())


class TestSettingsWatch:
    """Handling of a changed settings file."""

    def test_an_unchanged_file_changes_nothing(self) -> None:
        file = ChangingFile()
        file.watch.poll()
        assert file.changes == []

    def test_changed_bounds_are_applied(self) -> None:
        """Guards against spending a retry budget that was lowered."""
        file = ChangingFile()
        retries = file.state.retries
        retries._started_at -= retries._config.window_s
        retries.on_fresh("booking")
        assert retries.dump()["booking"]["allowed"] > 4
        file.document["bounds"]["retry-burst"] = 4
        file.document["bounds"]["retry-ratio"] = 0.0
        file.watch.poll()
        file.state.set_retry_bounds()
        assert len(file.changes) == 1
        assert file.state.node.bounds.retry_burst == 4
        assert retries.dump()["booking"]["allowed"] <= 4

    def test_a_malformed_file_keeps_the_last_valid_settings(self) -> None:
        """Guards against settings from a file that is incomplete or invalid."""
        file = ChangingFile()
        before = file.state.node
        file.findings = [Finding("bounds.grace-s", "must be a number")]
        file.watch.poll()
        assert file.state.node is before
        assert file.changes == []

    def test_addresses_do_not_change_while_the_process_runs(self) -> None:
        """Guards against a changed port, as callers and peers know only the old one."""
        file = ChangingFile()
        callers = file.state.node.callers
        file.document["listen"]["front"] = "127.0.0.9:1"
        file.document["bounds"]["grace-s"] = 30
        file.watch.poll()
        assert file.state.node.callers == callers
        assert file.state.node.bounds.grace_s == 30


def _toml_lines(document: dict[str, Any]) -> list[str]:
    """Return the lines of a TOML file; its values are written as JSON."""
    tables = {key: value for key, value in document.items() if isinstance(value, dict)}
    plain = {key: value for key, value in document.items() if key not in tables}
    lines = [f"{key} = {json.dumps(value)}" for key, value in plain.items()]
    for name, table in tables.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
    return lines


class TestWithoutOption:
    """The option that disables mechanisms for an experiment."""

    def test_an_unknown_mechanism_ends_the_process(self, tmp_path: Path) -> None:
        """Guards against a misspelt name, with which nothing would be disabled."""
        file = tmp_path / "node.toml"
        document = node_document(("127.0.0.1", 1), "entry-0")
        file.write_text("\n".join(_toml_lines(document)))
        args = ["gateway", "--node-file", str(file), "--check", "--without"]
        refused = CliRunner().invoke(app, [*args, "pacing,paceing"])
        assert refused.exit_code == ExitStatus.SETTINGS_INVALID
        assert "paceing is none of pacing" in refused.output
        assert CliRunner().invoke(app, [*args, "pacing, held-lately"]).exit_code == 0
