"""The settings file of a process changes while it runs."""

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
    """A settings file and a VM that watches it."""

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
    """What a VM does with a changed file."""

    def test_an_unchanged_file_changes_nothing(self) -> None:
        file = ChangingFile()
        file.watch.poll()
        assert file.changes == []

    def test_changed_bounds_come_into_force(self) -> None:
        """An operator lowers the retry budget; the old one would still be spent."""
        file = ChangingFile()
        share = file.state.share_of("booking")
        file.document["bounds"]["retry-burst"] = 4
        file.document["bounds"]["retry-ratio"] = 0.0
        file.watch.poll()
        file.state.set_retry_bounds()
        assert len(file.changes) == 1
        assert file.state.node.bounds.retry_burst == 4
        assert share.allowed() <= 4

    def test_a_malformed_file_keeps_the_last_good_settings(self) -> None:
        """The file is read while it is being written, or has a slip in it.

        A VM that took it would serve with bounds of zero, or end.
        """
        file = ChangingFile()
        before = file.state.node
        file.findings = [Finding("bounds.grace-s", "must be a number")]
        file.watch.poll()
        assert file.state.node is before
        assert file.changes == []

    def test_addresses_last_a_processs_life(self) -> None:
        """A file names another port; callers and peers still know the old one."""
        file = ChangingFile()
        callers = file.state.node.callers
        file.document["listen"]["front"] = "127.0.0.9:1"
        file.document["bounds"]["grace-s"] = 30
        file.watch.poll()
        assert file.state.node.callers == callers
        assert file.state.node.bounds.grace_s == 30


def _toml_lines(document: dict[str, Any]) -> list[str]:
    """Write a settings file; JSON's values are TOML's where nothing is missing."""
    tables = {key: value for key, value in document.items() if isinstance(value, dict)}
    plain = {key: value for key, value in document.items() if key not in tables}
    lines = [f"{key} = {json.dumps(value)}" for key, value in plain.items()]
    for name, table in tables.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
    return lines


class TestWithout:
    """Mechanisms that are left out for an experiment."""

    def test_a_name_that_is_none_ends_the_process(self, tmp_path: Path) -> None:
        """A misspelt name would run an experiment that leaves nothing out."""
        file = tmp_path / "node.toml"
        document = node_document(("127.0.0.1", 1), "entry-0")
        file.write_text("\n".join(_toml_lines(document)))
        args = ["gateway", "--node-file", str(file), "--check", "--without"]
        refused = CliRunner().invoke(app, [*args, "pacing,paceing"])
        assert refused.exit_code == ExitStatus.SETTINGS_INVALID
        assert "paceing is none of pacing" in refused.output
        assert CliRunner().invoke(app, [*args, "pacing, held-lately"]).exit_code == 0
