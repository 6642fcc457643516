"""``bamboovale catalogue`` against an administration API over HTTP."""

import json
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from bamboovale.admin.app import AdministrationApp
from bamboovale.admin.port import InForceReport
from bamboovale.cli.main import app
from bamboovale.status import ExitStatus
from tests.admin_port import ListPort, serve

POOL = {"kind": "pool", "name": "tutor-llm", "base_model": "base-8b"}


class Console:
    """Runs commands against an administration API."""

    def __init__(self, port: ListPort, url: str, folder: Path) -> None:
        self.port = port
        self.url = url
        self._folder = folder

    def run(self, *words: str, admin: tuple[str, ...] = ()) -> Any:
        options = [f"--admin={url}" for url in (*admin, self.url)]
        command = ["catalogue", words[0], *options, "--token=secret", *words[1:]]
        return CliRunner().invoke(app, command)

    def file(self, data: object) -> str:
        path = self._folder / "data.json"
        path.write_text(json.dumps(data), "utf-8")
        return str(path)


@pytest.fixture
def console(tmp_path: Path) -> Iterator[Console]:
    port = ListPort()
    with serve(AdministrationApp(port, "secret")) as url:
        yield Console(port, url, tmp_path)


class TestCatalogueCommands:
    """Commands of operators, their output and exit codes."""

    def test_set_list_history_delete(self, console: Console) -> None:
        done = console.run(
            "set", console.file(POOL), "--author=Jörg", "--if-revision=0"
        )
        assert done.output == "accepted at revision 1\n"
        assert "tutor-llm" in console.run("list").output
        assert json.loads(console.run("get", "pool", "tutor-llm").output) == POOL | {
            "checks_fencing": False,
            "load_seconds": 2.0,
            "revision": 1,
        }
        done = console.run("delete", "pool", "tutor-llm", "--if-revision=1")
        assert done.exit_code == ExitStatus.SUCCESS
        history = console.run("history").output
        assert "Jörg" in history and "deleted pool tutor-llm" in history

    def test_a_conflict(self, console: Console) -> None:
        console.run("set", console.file(POOL))
        done = console.run("set", console.file(POOL), "--if-revision=7")
        assert done.exit_code == ExitStatus.CONFLICT
        assert "edited from revision 7, current revision is 1" in done.output

    def test_findings_are_printed_one_per_line(self, console: Console) -> None:
        bad = {"entries": [{"kind": "pool", "name": "x y"}]}
        done = console.run("apply", console.file(bad))
        assert done.exit_code == ExitStatus.REJECTED
        assert done.output.splitlines() == [
            "entries[0].name: must match [A-Za-z0-9][A-Za-z0-9._-]{0,127}",
            "entries[0].base_model: is required",
        ]

    def test_a_printed_list_can_be_applied_again(self, console: Console) -> None:
        """Guards the recovery of a lost catalogue from a printed list."""
        console.run("set", console.file(POOL))
        kept = json.loads(console.run("list", "--format=json").output)
        console.run("delete", "pool", "tutor-llm")
        done = console.run("apply", console.file(kept))
        assert done.output == "accepted at revision 3\n"
        assert "tutor-llm" in console.run("list").output

    def test_entries_that_are_not_a_list_are_findings(self, console: Console) -> None:
        for entries in (7, "x", {"a": 1}):
            done = console.run("apply", console.file({"entries": entries}))
            assert done.exit_code == ExitStatus.REJECTED, done.output

    def test_the_next_url_is_tried_when_one_is_unreachable(
        self,
        console: Console,
    ) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            dead = f"http://127.0.0.1:{unused.getsockname()[1]}"
            done = console.run(
                "apply", console.file({"entries": [POOL]}), admin=(dead,)
            )
        assert done.exit_code == ExitStatus.SUCCESS

    def test_a_lost_answer_is_resolved_at_the_next_url(self, console: Console) -> None:
        # The first entry VM appends the edit and its answer is lost. The command sends
        # it to the next one with the same edit id: one edit, one history record.
        console.port.lose_answers = 1
        data = console.file({"entries": [POOL]})
        done = console.run("apply", data, admin=(console.url,))
        assert done.exit_code == ExitStatus.SUCCESS
        assert len(console.port.records) == 2
        assert len(console.port.folded.view().history) == 1

    def test_an_unknown_outcome_is_not_reported_as_unavailable(
        self, console: Console
    ) -> None:
        console.port.lose_answers = 1
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            dead = f"http://127.0.0.1:{unused.getsockname()[1]}"
            only = Console(console.port, dead, Path())
            data = console.file({"entries": [POOL]})
            done = only.run("apply", data, "--edit-id=edit-0001", admin=(console.url,))
        assert done.exit_code == ExitStatus.TIMEOUT
        assert "--edit-id edit-0001" in done.output

    def test_a_wrong_token(self, console: Console) -> None:
        done = console.run("list", "--token=wrong")
        assert done.exit_code == ExitStatus.ERROR
        assert "unauthorized" in done.output

    def test_wait_until_in_force(self, console: Console) -> None:
        console.run("set", console.file(POOL))
        console.port.report = InForceReport(0, {"entry-1": 1, "entry-2": 0}, ("e-3",))
        done = console.run("wait-until-in-force", "1", "--timeout=0.2")
        assert done.exit_code == ExitStatus.TIMEOUT
        assert "entry-2: at revision 0" in done.output
        assert "e-3: does not answer" in done.output
        console.port.report = InForceReport(0, {"entry-1": 1})
        done = console.run("wait-until-in-force")
        assert done.output == "revision 1 is in force on 1 entry VMs\n"

    def test_a_file_that_is_not_json(self, console: Console) -> None:
        done = console.run("apply", "/nonexistent.json")
        assert done.exit_code == ExitStatus.USAGE
