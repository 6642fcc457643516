"""The settings file that the platform provides for each process (TOML)."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from bamboovale.decoding import MAX_NUMBER
from bamboovale.errors import Finding, describe

PATH_VARIABLE = "BAMBOOVALE_NODE_FILE"

PORTS = 65_536
MAX_PORT_DIGITS = 5

Address = tuple[str, int]


@dataclass(frozen=True)
class StoreLimits:
    """Limits of the metadata store; times in seconds."""

    partitions: int
    writes_per_s: float
    reads_per_s: float
    least_ttl_s: float


@dataclass(frozen=True)
class Bounds:
    """Bounds that the platform guarantees or requires; times in seconds.

    ``engines_check_fencing`` tells whether an engine refuses an older fencing number.
    ``lease_s`` is the minimum time between orders of two holders. With
    ``strict_revoke`` a key must stop working at every VM ``revoke_s`` after it was
    taken away, even if the VM cannot be told. Quotas are counted in windows of
    ``quota_window_s``.
    """

    drain_s: float
    grace_s: float
    config_s: float
    version_s: float
    lease_s: float
    engines_check_fencing: bool
    retry_ratio: float
    retry_burst: float
    retry_window_s: float
    load_window_s: float
    directory_ttl_most_s: float
    strict_revoke: bool
    revoke_s: float
    quota_window_s: float


@dataclass(frozen=True)
class NodeSettings:
    """Settings of one process: its identity, addresses and limits."""

    name: str
    ip: str
    failure_domain: str
    region: str
    first_start: bool
    callers: Address
    readiness: Address
    directory: Address
    peers_port: int
    store: Address
    store_limits: StoreLimits
    bounds: Bounds
    region_by_failure_domain: Mapping[str, str]
    cores: float
    memory_mb: float
    max_fds: float

    @classmethod
    def from_file(cls, path: Path) -> "Result[NodeSettings, list[Finding]]":
        """Read and validate the file; all findings are returned together."""
        try:
            document = tomllib.loads(path.read_text("utf-8"))
        except (OSError, ValueError, RecursionError) as error:
            return Err([Finding(str(path), describe(error))])
        return cls.from_document(document)

    @classmethod
    def from_document(
        cls,
        document: Mapping[str, Any],
    ) -> "Result[NodeSettings, list[Finding]]":
        """Validate a parsed file; unknown fields are ignored."""
        reader = _Reader(document)
        bounds = _read_bounds(reader.table("bounds"))
        limits = reader.table("limits")
        platform = reader.table("platform")
        listen = reader.table("listen")
        settings = cls(
            name=reader.get("node-name", str) or "",
            ip=reader.get("ip", str) or "",
            failure_domain=reader.get("zone", str) or "",
            region=reader.get("region", str) or "",
            first_start=bool(document.get("bootstrap", False)),
            callers=listen.address("front"),
            readiness=listen.address("ready"),
            directory=listen.address("directory"),
            peers_port=reader.first_port("port-range"),
            store=platform.address("addr"),
            store_limits=StoreLimits(
                partitions=int(platform.number("parts", 12)),
                writes_per_s=platform.number("writes-per-s", 400),
                reads_per_s=platform.number("reads-per-s", 2000),
                least_ttl_s=platform.number("ttl-min-ms", 1000) / 1000,
            ),
            bounds=bounds,
            region_by_failure_domain=dict(reader.table("zones").document),
            cores=limits.number("cpu-share", 1) * limits.number("cores", 1),
            memory_mb=limits.number("memory-mb", 300),
            max_fds=limits.number("max-fds", 4100),
        )
        return Err(reader.findings) if reader.findings else Ok(settings)


def _read_bounds(table: "_Reader") -> Bounds:
    return Bounds(
        drain_s=table.number("drain-ms", 2000) / 1000,
        grace_s=table.number("grace-s", 8),
        config_s=table.number("config-ms", 2000) / 1000,
        version_s=table.number("version_ms", 5000) / 1000,
        lease_s=table.number("lease-ms", 3000) / 1000,
        engines_check_fencing=bool(table.document.get("fenced", False)),
        retry_ratio=table.number("retry-ratio", 0.2),
        retry_burst=table.number("retry-burst", 10),
        retry_window_s=table.number("retry-window-s", 10),
        load_window_s=table.number("ceiling-window-s", 5),
        directory_ttl_most_s=table.number("ttl_max_s", 5),
        strict_revoke=bool(table.document.get("strict-revoke", False)),
        revoke_s=table.number("revoke-ms", 5000) / 1000,
        quota_window_s=table.number("quota-window-s", 8),
    )


class _Reader:
    """Reads fields of a table and collects findings with the path of each field."""

    def __init__(
        self,
        document: Mapping[str, Any],
        prefix: str = "",
        findings: list[Finding] | None = None,
    ) -> None:
        self.document = document
        self.findings: list[Finding] = [] if findings is None else findings
        self._prefix = prefix

    def table(self, name: str) -> "_Reader":
        value = self.document.get(name, {})
        if not isinstance(value, dict):
            self._find(name, "must be a table")
            value = {}
        return _Reader(value, f"{self._prefix}{name}.", self.findings)

    def get(self, name: str, kind: type) -> Any:
        value = self.document.get(name)
        if not isinstance(value, kind) or not value:
            self._find(name, f"a {kind.__name__} is required")
            return None
        return value

    def number(self, name: str, default: float) -> float:
        value = self.document.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._find(name, "must be a number")
            return float(default)
        if not -MAX_NUMBER <= value <= MAX_NUMBER:
            self._find(name, "must be a smaller number")
            return float(default)
        return float(value)

    def first_port(self, name: str) -> int:
        ports = self.get(name, list) or [0]
        if type(ports[0]) is not int or not 0 <= ports[0] < PORTS:
            self._find(name, "must be a list of ports")
            return 0
        return ports[0]

    def address(self, name: str) -> Address:
        text = self.document.get(name)
        parsed = parse_address(text) if isinstance(text, str) else None
        if parsed is None:
            self._find(name, "must be IP:PORT")
            return ("", 0)
        return parsed

    def _find(self, name: str, message: str) -> None:
        self.findings.append(Finding(f"{self._prefix}{name}", message))


def parse_address(text: str) -> Address | None:
    """Return host and port of IP:PORT, None if it is malformed."""
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    return (host, int(port)) if host and is_number and int(port) < PORTS else None
