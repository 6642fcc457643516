"""Names that are seen outside the process and come from identifiers of the code.

``outer_names.json`` holds them as they are. A renamed class or field must keep them.
"""

import ast
import dataclasses
import enum
import importlib
import json
import pkgutil
import re
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import Any

import click
import pytest
import typer
import urllib3

import bamboovale
from bamboovale.cli.main import app
from bamboovale.metrics import Metrics
from bamboovale.peers.codec import decode, encode
from bench.cluster import ClusterConfig, running_cluster
from bench.http import call_json
from bench.members import ADMIN_TOKEN, BASE_MODEL, ENGINE_POOL, SERVICE_POOL
from tests.gateway_site import call, eventually, run, running_site

PINNED_FILE = Path(__file__).with_name("outer_names.json")
PINNED = json.loads(PINNED_FILE.read_text())

SOURCES = Path(bamboovale.__file__).parent
STABLE_KEY = re.compile(r"[a-z][a-z_]*")

ENTRIES = [
    {"kind": "pool", "name": ENGINE_POOL, "base_model": BASE_MODEL},
    {
        "kind": "adapter",
        "name": "summaries-1",
        "adapter": "summaries-1",
        "version": "1",
        "source": "weights/summaries",
        "base_model": BASE_MODEL,
        "pool": ENGINE_POOL,
        "owner": "agency-1",
    },
    {
        "kind": "service",
        "name": SERVICE_POOL,
        "pool": SERVICE_POOL,
        "owner": "agency-1",
    },
]


def modules() -> Iterator[ModuleType]:
    """Import every module of the package."""
    for found in pkgutil.walk_packages(bamboovale.__path__, "bamboovale."):
        if not found.name.endswith("__main__"):
            yield importlib.import_module(found.name)


def classes() -> set[type]:
    """Return every class that the package defines."""
    return {
        value
        for module in modules()
        for value in vars(module).values()
        if isinstance(value, type) and value.__module__.startswith("bamboovale.")
    }


def option_rows(command: click.Command) -> list[list[str]]:
    """Return arguments and options of a command with their variables."""
    return sorted(
        [*parameter.opts, *parameter.secondary_opts, str(parameter.envvar or "")]
        if isinstance(parameter, click.Option)
        else [str(parameter.name).upper()]
        for parameter in command.params
    )


def commands(command: click.Command, path: str = "") -> Iterator[tuple[str, Any]]:
    """Yield each command's path and options."""
    yield path, option_rows(command)
    if isinstance(command, click.Group):
        context = click.Context(command)
        for name in command.list_commands(context):
            member = command.get_command(context, name)
            assert member is not None
            yield from commands(member, f"{path} {name}".strip())


def all_commands() -> dict[str, list[list[str]]]:
    """Return the options of each command by its path."""
    return dict(commands(typer_command()))


def typer_command() -> click.Command:
    """Return the whole command tree."""
    return typer.main.get_command(app)


def metrics() -> dict[str, list[Any]]:
    """Return type, labels and buckets of each metric."""
    found = {}
    for collector in Metrics().registry._collector_to_names:
        buckets = [str(bound) for bound in getattr(collector, "_upper_bounds", [])]
        name, labels = collector._name, list(collector._labelnames)
        found[name] = [collector._type, labels, buckets]
    return found


def log_events() -> dict[str, list[list[str]]]:
    """Return by event the sets of fields that the sources give to log lines."""
    found: dict[str, set[tuple[str, ...]]] = {}
    for path in sorted(SOURCES.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            event = node.args[0]
            is_text = isinstance(event, ast.Constant) and isinstance(event.value, str)
            is_write = (
                isinstance(node.func, ast.Attribute) and node.func.attr == "write"
            )
            if is_text and is_write:
                fields = sorted(word.arg for word in node.keywords if word.arg)
                found.setdefault(event.value, set()).add(tuple(fields))
    return {name: sorted(map(list, rows)) for name, rows in sorted(found.items())}


def key_paths(value: Any, path: str = "") -> set[str]:
    """Return the paths of all keys; ids and numbers among them become ``*``."""
    if isinstance(value, dict):
        paths = set()
        for key, member in value.items():
            step = f"{path}.{key if STABLE_KEY.fullmatch(str(key)) else '*'}"
            paths |= {step} | key_paths(member, step)
        return paths
    if isinstance(value, list | tuple):
        return {found for member in value for found in key_paths(member, f"{path}[]")}
    return set()


def entry_state(directory: Path) -> set[str]:
    """Return the key paths of ``/admin/v1/state`` after a model request and a call."""
    config = ClusterConfig(engines=1, services=1, entries=2)
    with running_cluster(config, directory) as cluster:
        entry = cluster.live_entries()[0]
        edit = {"entries": ENTRIES}
        entry.ask_admin("POST", "/admin/v1/apply", edit, {"X-Author": "test"})
        base = f"http://{entry.callers_address}"
        body = {"model": "summaries-1", "prompt": "x", "max_tokens": 2}
        assert call_json("POST", f"{base}/v1/completions", body)[0] == 200
        assert call_json("GET", f"{base}/services/{SERVICE_POOL}/x")[0] == 200
        headers = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
        paths: set[str] = set()
        for member in cluster.live_entries():
            url = f"{member.admin_url}/admin/v1/state"
            paths |= key_paths(urllib3.request("GET", url, headers=headers).json())
    return paths


async def gateway_names() -> tuple[set[str], dict[str, list[str]]]:
    """Return the key paths of ``/state`` and of log lines of a routed deployment."""
    state: set[str] = set()
    line_paths: dict[str, set[str]] = {}
    async with running_site(vms=2, runners=1, services=1) as site:
        for vm in site.vms:
            answer = await call(vm.address, "/book/1")
            assert answer.status == 200
            answer = await call(vm.address, "/chat/1", adapter="a1")
            assert answer.status == 200
        await eventually(lambda: any(vm.journal.of("engine") for vm in site.vms))
        for vm in site.vms:
            state |= key_paths(json.loads(json.dumps(vm.vm.dump(), default=str)))
        # Ownership may not have moved yet; an engine that leaves always ends it.
        await site.runners[0].unregister()
        await eventually(lambda: any(vm.journal.of("owner_stopped") for vm in site.vms))
        for vm in site.vms:
            for line in vm.journal.lines:
                line_paths.setdefault(line["event"], set()).update(key_paths(line))
    return state, {event: sorted(paths) for event, paths in line_paths.items()}


@pytest.mark.parametrize("tag", sorted(PINNED["messages"]))
class TestMessages:
    """Messages between entry VMs, one encoded example each and more for enums."""

    def test_bytes_stay(self, tag: str) -> None:
        list(modules())
        for frame in PINNED["messages"][tag]:
            assert encode(decode(bytes.fromhex(frame))).hex() == frame


class TestCommands:
    """Names and variables of commands, arguments, options and settings."""

    def test_options_stay(self) -> None:
        assert all_commands() == PINNED["commands"]


class TestMetrics:
    """Metrics with their types, labels and buckets."""

    def test_metrics_stay(self) -> None:
        assert metrics() == PINNED["metrics"]


class TestEnums:
    """Members of enums that stand in log lines, answers and records."""

    @pytest.mark.parametrize("members", PINNED["enums"], ids=lambda rows: rows[0])
    def test_members_stay(self, members: list[str]) -> None:
        enums = [item for item in classes() if issubclass(item, enum.Enum)]
        by_name = [[member.name for member in item] for item in enums]
        by_value = [[str(member.value) for member in item] for item in enums]
        assert members in by_name + by_value


class TestDataClasses:
    """Data classes whose field names are keys of files, settings or counts."""

    @pytest.mark.parametrize("fields", PINNED["data_classes"], ids=lambda rows: rows[0])
    def test_fields_stay(self, fields: list[str]) -> None:
        found = [item for item in classes() if dataclasses.is_dataclass(item)]
        assert fields in [[f.name for f in dataclasses.fields(item)] for item in found]


class TestLogLines:
    """Events and fields of log lines."""

    def test_events_and_fields_stay(self) -> None:
        assert log_events() == PINNED["log_events"]


class TestState:
    """Keys of the state dumps, and of log lines that a deployment writes."""

    def test_state_of_an_entry_vm(self, tmp_path: Path) -> None:
        assert set(PINNED["entry_state"]) <= entry_state(tmp_path)

    def test_state_and_lines_of_the_routed_interface(self) -> None:
        async def test() -> None:
            state, lines = await gateway_names()
            assert set(PINNED["gateway_state"]) <= state
            for event, paths in PINNED["gateway_lines"].items():
                assert set(paths) <= set(lines.get(event, ()))

        run(test())
