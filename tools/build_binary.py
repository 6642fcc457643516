"""Build the binary: an executable zip archive that runs without being unpacked.

Dependencies are copied from the packages installed for this interpreter, so that the
binary contains the versions under test and the build needs no network. Python imports
only pure modules from a zip archive: native modules are left out, and packages that
require them are an error.
"""

import argparse
import importlib.metadata
import py_compile
import shutil
import subprocess
import sys
import tempfile
import zipfile
from collections.abc import Iterator
from dataclasses import dataclass
from importlib.metadata import Distribution
from pathlib import Path, PurePosixPath

from packaging.requirements import Requirement

ROOT = Path(__file__).resolve().parent.parent
# -I ignores PYTHONPATH and user packages, -S the system's site-packages, so that
# installed packages cannot replace the bundled ones.
SHEBANG = b"#!/usr/bin/env -S python3 -I -S\n"
MAIN = b"from bamboovale.__main__ import main\n\nmain()\n"
# The earliest date that the zip format allows; the dates are not used.
ENTRY_DATE = (1980, 1, 1, 0, 0, 0)
NATIVE_SUFFIXES = (".so", ".pyd")
EXCLUDED_SUFFIXES = (".pyi", ".pyc", ".pth", ".c", *NATIVE_SUFFIXES)
# Other metadata files are kept: versions are read at run time, licences must ship.
EXCLUDED_METADATA = frozenset({"RECORD", "INSTALLER", "REQUESTED", "direct_url.json"})


class NativeOnlyError(Exception):
    """Raised for packages that work only with native modules."""


@dataclass(frozen=True)
class Member:
    """One file of the archive."""

    name: str
    content: bytes


def read_requirements(path: Path) -> list[Requirement]:
    """Return the requirements in a file."""
    lines = (line.partition("#")[0].strip() for line in path.read_text().splitlines())
    return [Requirement(line) for line in lines if line]


def find_distributions(requirements: list[Requirement]) -> dict[str, Distribution]:
    """Return the installed packages that the requirements need, by name."""
    distribution_by_name: dict[str, Distribution] = {}
    pending = list(requirements)
    while pending:
        requirement = pending.pop()
        marker = requirement.marker
        if marker is not None and not marker.evaluate({"extra": ""}):
            continue
        distribution = importlib.metadata.distribution(requirement.name)
        name = distribution.metadata["Name"]
        if name in distribution_by_name:
            continue
        distribution_by_name[name] = distribution
        pending.extend(Requirement(text) for text in distribution.requires or [])
    return dict(sorted(distribution_by_name.items()))


def has_native_modules(distribution: Distribution) -> bool:
    """Return whether a package was installed with native modules."""
    return any(file.suffix in NATIVE_SUFFIXES for file in distribution.files or [])


def pure_modules(distribution: Distribution) -> list[str]:
    """Return the names of a package's outermost modules that are not native."""
    files = [file for file in distribution.files or [] if is_included(file)]
    packages = {f.parts[0] for f in files if f.parts[1:] == ("__init__.py",)}
    modules = {f.stem for f in files if len(f.parts) == 1 and f.suffix == ".py"}
    return sorted(packages | modules)


def is_native_only(distribution: Distribution, archive: Path) -> bool:
    """Return whether a package in the archive cannot be imported from there.

    Packages with optional native modules (cbor2, websockets) include pure fallbacks.
    """
    modules = pure_modules(distribution)
    code = f"import sys; sys.path.insert(0, {str(archive)!r}); import "
    command = [sys.executable, "-I", "-S", "-c", code + ", ".join(modules)]
    return not modules or subprocess.run(command, capture_output=True).returncode != 0


def check_pure(distributions: dict[str, Distribution], archive: Path) -> None:
    """Raise NativeOnlyError if any package works only with native modules."""
    found = [
        name
        for name, distribution in distributions.items()
        if has_native_modules(distribution) and is_native_only(distribution, archive)
    ]
    if found:
        raise NativeOnlyError(f"packages without pure modules: {', '.join(found)}")


def is_included(file: PurePosixPath) -> bool:
    """Return whether a file of a package goes into the archive."""
    if ".." in file.parts or file.suffix in EXCLUDED_SUFFIXES or file.parts[0] == "bin":
        return False
    in_metadata = file.parts[0].endswith(".dist-info")
    return not (in_metadata and file.name in EXCLUDED_METADATA)


def package_members(distribution: Distribution) -> Iterator[Member]:
    """Yield the files of an installed package, without native modules."""
    for file in distribution.files or []:
        if is_included(file):
            path = Path(str(distribution.locate_file(file)))
            yield Member(file.as_posix(), path.read_bytes())


def own_members(root: Path) -> Iterator[Member]:
    """Yield this project's modules."""
    for path in (root / "bamboovale").rglob("*.py"):
        yield Member(path.relative_to(root).as_posix(), path.read_bytes())


def compile_member(source: Member, scratch: Path) -> Member:
    """Return the byte code of a module, to be stored next to its source.

    The byte code is not validated against the source, as the archive is immutable.
    Other Python releases ignore it and compile the source.
    """
    path = scratch / "module.py"
    path.write_bytes(source.content)
    compiled = py_compile.compile(
        str(path),
        cfile=str(scratch / "module.pyc"),
        dfile=source.name,
        doraise=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    return Member(f"{source.name}c", Path(str(compiled)).read_bytes())


def directories_of(names: list[str]) -> set[str]:
    """Return the directories of the files; namespace packages need entries for them."""
    return {
        f"{parent.as_posix()}/"
        for name in names
        for parent in PurePosixPath(name).parents
        if parent.name
    }


def write_archive(target: Path, members: list[Member]) -> None:
    """Write an executable archive."""
    content_by_name = {member.name: member.content for member in members}
    for directory in directories_of(list(content_by_name)):
        content_by_name[directory] = b""
    with target.open("wb") as file:
        file.write(SHEBANG)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            for name, content in sorted(content_by_name.items()):
                archive.writestr(
                    zipfile.ZipInfo(name, ENTRY_DATE),
                    content,
                    zipfile.ZIP_DEFLATED,
                )
    target.chmod(0o755)


def build(target: Path) -> None:
    """Build the binary at ``target``."""
    distributions = find_distributions(read_requirements(ROOT / "requirements.txt"))
    members = [Member("__main__.py", MAIN), *own_members(ROOT)]
    for distribution in distributions.values():
        members.extend(package_members(distribution))
    with tempfile.TemporaryDirectory() as scratch:
        compiled = [
            compile_member(member, Path(scratch))
            for member in members
            if member.name.endswith(".py")
        ]
        archive = Path(scratch) / "archive"
        write_archive(archive, members + compiled)
        check_pure(distributions, archive)
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.move(archive, target)


def main() -> None:
    """Parse the command line and build the binary."""
    parser = argparse.ArgumentParser(description="Build the binary.")
    parser.add_argument("target", type=Path, nargs="?", default="dist/bamboovale")
    target = parser.parse_args().target
    try:
        build(target)
    except NativeOnlyError as error:
        sys.exit(str(error))
    print(f"{target}: {target.stat().st_size} bytes")


if __name__ == "__main__":
    main()
