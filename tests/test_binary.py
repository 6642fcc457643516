"""The packaged binary, built as it is released."""

import importlib.metadata
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.standin_client import StandInClient
from tools.build_binary import (
    Member,
    NativeOnlyError,
    build,
    check_pure,
    write_archive,
)

PROC = Path("/proc")


@pytest.fixture(scope="module")
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    target = tmp_path_factory.mktemp("dist") / "bamboovale"
    build(target)
    return target


def bare_environment(binary: Path) -> dict[str, str]:
    """Return an environment without other Python packages."""
    interpreter = Path(sys.base_prefix) / "bin"
    return {
        "PATH": f"{interpreter}:/usr/bin:/bin",
        "PYTHONPATH": "",
        "HOME": str(binary.parent),
        "TMPDIR": str(binary.parent),
    }


@pytest.fixture
def log_process(binary: Path) -> Iterator[tuple[subprocess.Popen[str], str]]:
    process = subprocess.Popen(
        [str(binary), "standin", "log", "--listen", "127.0.0.1:0"],
        stdout=subprocess.PIPE,
        text=True,
        cwd=binary.parent,
        env=bare_environment(binary),
    )
    assert process.stdout is not None
    yield process, process.stdout.readline().split()[-1]
    process.send_signal(signal.SIGTERM)
    assert process.wait(5) == 0


def children_of(pid: int) -> list[str]:
    """Return the ids of all child processes of a process."""
    tasks = (PROC / str(pid) / "task").iterdir()
    return [
        child for task in tasks for child in (task / "children").read_text().split()
    ]


def mapped_files(pid: int) -> list[str]:
    """Return the paths of the files mapped by a process."""
    lines = (PROC / str(pid) / "maps").read_text().splitlines()
    return [line.split()[5] for line in lines if len(line.split()) > 5]


class TestBinary:
    """The binary on a machine with only Python installed."""

    def test_prints_its_version(self, binary: Path) -> None:
        done = subprocess.run(
            [str(binary), "version"],
            capture_output=True,
            text=True,
            env=bare_environment(binary),
            check=True,
        )
        assert done.stdout.strip() == "0.1.0"

    def test_rejects_an_invalid_option(self, binary: Path) -> None:
        done = subprocess.run(
            [str(binary), "standin", "log", "--listen", "x", "--appends-per-s", "y"],
            capture_output=True,
            text=True,
            env=bare_environment(binary),
            check=False,
        )
        assert done.returncode == 2
        assert "--appends-per-s" in done.stderr
        assert "Traceback" not in done.stderr

    def test_serves_without_unpacking_files_or_child_processes(
        self, binary: Path, log_process: tuple[subprocess.Popen[str], str]
    ) -> None:
        process, address = log_process
        client = StandInClient(f"http://{address}")
        assert client.call("POST", "/streams/a/records", {"value": 1})[0] == 200
        time.sleep(0.2)
        assert children_of(process.pid) == []
        assert list(binary.parent.iterdir()) == [binary]
        mapped = mapped_files(process.pid)
        assert [name for name in mapped if "site-packages" in name] == []


def installed(directory: Path, source: str) -> importlib.metadata.Distribution:
    """Return a package with one module and one native module."""
    info = directory / "wrapper-1.0.dist-info"
    info.mkdir(parents=True)
    (directory / "wrapper.py").write_text(source)
    (info / "METADATA").write_text("Name: wrapper\nVersion: 1.0\n")
    (info / "RECORD").write_text("wrapper.py,,\n_wrapper.so,,\n")
    return importlib.metadata.Distribution.at(info)


class TestNativePackages:
    """Packages that were installed with native modules."""

    def check(self, directory: Path, source: str) -> None:
        distribution = installed(directory / "site", source)
        archive = directory / "archive"
        write_archive(archive, [Member("wrapper.py", source.encode())])
        check_pure({"wrapper": distribution}, archive)

    def test_one_that_needs_its_native_module_is_an_error(self, tmp_path: Path) -> None:
        """Guards against a binary that cannot import one of its packages."""
        with pytest.raises(NativeOnlyError, match="wrapper"):
            self.check(tmp_path, "from _wrapper import *\n")

    def test_one_with_a_fallback_is_included(self, tmp_path: Path) -> None:
        source = "try:\n    import _wrapper\nexcept ImportError:\n    pass\n"
        self.check(tmp_path, source)
