"""Settings of an entry VM.

Each field of :class:`Settings` declares its help and bounds. The command line options
(``bamboovale/cli/entry.py``) and ``docs/SETTINGS.md`` are generated from these fields.
"""

import ipaddress
import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, fields
from typing import Any
from urllib.parse import urlsplit

from result import Err, Ok, Result

from bamboovale.errors import Finding

ENVIRONMENT_PREFIX = "BAMBOOVALE_"

# Guards against secrets short enough to brute-force.
MIN_SECRET_LENGTH = 16

CLAIM_RETENTION_SLACK_S = 60.0
POLICIES = ("chosen", "baseline")
LOG_FORMATS = ("text", "json")
LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclass(frozen=True)
class Declaration:
    """Metadata of one setting besides its type and default.

    ``low`` and ``high`` are inclusive bounds.
    """

    help: str
    required: bool = False
    secret: bool = False
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()
    form: str = ""


def setting(default: Any, help: str, **more: Any) -> Any:
    """Declare a field of :class:`Settings` with its help and bounds."""
    declaration = Declaration(help=help, **more)
    return field(
        default=default,
        repr=not declaration.secret,
        metadata={"declaration": declaration},
    )


def port(default: int, help: str) -> Any:
    """Declare a TCP port that the process listens on."""
    return setting(default, help, low=1, high=65535)


@dataclass(frozen=True)
class Settings:
    """All settings of one entry VM, validated together."""

    id: str = setting(
        "",
        "Name of this entry VM, as in the platform's VM list.",
        required=True,
    )
    failure_domain: str = setting(
        "",
        "Failure domain that this VM stands in.",
        required=True,
    )
    region: str = setting("", "Region that this VM stands in; may be empty.")
    log: str = setting(
        "",
        "Base URL of the platform's append-only log service.",
        required=True,
        form="url",
    )
    vms: str = setting(
        "",
        "Base URL of the platform's VM list.",
        required=True,
        form="url",
    )
    address: str = setting(
        "127.0.0.1",
        "IP address that all ports are bound to and calls are made from.",
        form="ip",
    )
    callers_port: int = port(8080, "Port for callers.")
    admin_port: int = port(8081, "Port for administration and metrics.")
    peers_port: int = port(8082, "Port for links from other entry VMs.")
    admin_token: str = setting(
        "",
        "Bearer token for administration; prefer the environment to the flag.",
        secret=True,
    )
    peer_key: str = setting(
        "",
        "Key shared by all entry VMs; prefer the environment to the flag.",
        secret=True,
    )
    lease_term_s: float = setting(
        2.5,
        "Seconds that a lease on an engine lasts without renewal.",
        low=0.2,
        high=600,
    )
    lease_longest_term_s: float = setting(
        60.0,
        "Seconds that no entry VM's term exceeds: large fleets stretch theirs.",
        low=0.2,
        high=600,
    )
    lease_renew_s: float = setting(
        0.8,
        "Seconds between renewals of a lease.",
        low=0.05,
        high=300,
    )
    lease_margin_s: float = setting(
        0.3,
        "Seconds that a taker waits beyond a lapsed term, for clocks that drift.",
        low=0.01,
        high=60,
    )
    send_within_s: float = setting(
        1.0,
        "Seconds from asking for a permit until it may no longer be used.",
        low=0.05,
        high=60,
    )
    hint_interval_s: float = setting(
        0.5,
        "Seconds between hints about an engine to the other entry VMs.",
        low=0.05,
        high=60,
    )
    entries_ttl_s: float = setting(
        10.0,
        "Seconds that a caller may keep the answer of GET /v1/entries.",
        low=0.1,
        high=3600,
    )
    drain_timeout_s: float = setting(
        600.0,
        "Seconds that a planned stop waits for requests in flight.",
        low=0.1,
        high=86400,
    )
    claim_horizon_s: float = setting(
        3000.0,
        "Seconds for which an idempotency key is remembered.",
        low=1,
        high=604800,
    )
    log_retention_s: float = setting(
        3600.0,
        "Seconds for which the log service keeps records; snapshots go by it.",
        low=1,
        high=31536000,
    )
    weight_loads_per_s: float = setting(
        5.0,
        "Loads a second that the weight store allows.",
        low=0.01,
        high=10000,
    )
    weight_full_speed: int = setting(
        2,
        "Loads that the weight store serves at once at full speed.",
        low=1,
        high=1000,
    )
    stall_weight: float = setting(
        0.5,
        "Weighs load stalls (1) against full batches (0).",
        low=0,
        high=1,
    )
    policy: str = setting(
        "chosen",
        "Decisions under load; the baseline serves comparisons only.",
        choices=POLICIES,
    )
    caller_threads: int = setting(
        64,
        "Threads that serve callers: the most requests in flight at once.",
        low=2,
        high=4096,
    )
    max_body_bytes: int = setting(
        1024 * 1024,
        "Largest request body in bytes.",
        low=1024,
        high=1024 * 1024 * 1024,
    )
    log_format: str = setting("text", "Form of log lines.", choices=LOG_FORMATS)
    log_level: str = setting("info", "Least severe log line.", choices=LOG_LEVELS)

    @classmethod
    def from_values(
        cls, values: Mapping[str, Any]
    ) -> "Result[Settings, list[Finding]]":
        """Parse settings from values by field name; text is converted.

        A missing value or None means the default. On failure all findings are
        returned, each with the flag and variable it concerns.
        """
        findings = [
            Finding(name, "is no setting")
            for name in values
            if name not in DECLARATION_BY_NAME
        ]
        converted: dict[str, Any] = {}
        for item in fields(cls):
            given = values.get(item.name)
            value, message = _convert(given, item.type, item.default)
            message = message or _check(value, DECLARATION_BY_NAME[item.name])
            if message:
                findings.append(Finding(place_of(item.name), message))
            converted[item.name] = value
        invalid = {finding.place for finding in findings}
        settings = cls(**converted)
        findings.extend(
            Finding(place_of(rule.name), rule.message)
            for rule in _rule_violations(settings)
            if invalid.isdisjoint({place_of(name) for name in rule.read})
        )
        return Err(findings) if findings else Ok(settings)

    @property
    def loopback(self) -> bool:
        """Return whether the ports are bound to a loopback address."""
        return ipaddress.ip_address(self.address).is_loopback

    def to_json(self) -> dict[str, Any]:
        """Return the settings for display, with secrets masked."""
        return {
            name: "(set)" if declaration.secret and getattr(self, name) else value
            for name, declaration in DECLARATION_BY_NAME.items()
            for value in [getattr(self, name)]
        }


DECLARATION_BY_NAME: dict[str, Declaration] = {
    item.name: item.metadata["declaration"] for item in fields(Settings)
}


def flag_of(name: str) -> str:
    """Return the flag of a setting.

    >>> flag_of("lease_term_s")
    '--lease-term-s'
    """
    return "--" + name.replace("_", "-")


def variable_of(name: str) -> str:
    """Return the environment variable of a setting.

    >>> variable_of("lease_term_s")
    'BAMBOOVALE_LEASE_TERM_S'
    """
    return ENVIRONMENT_PREFIX + name.upper()


def place_of(name: str) -> str:
    """Return a setting's flag and variable, as shown in findings."""
    return f"{flag_of(name)} ({variable_of(name)})"


def _convert(given: Any, kind: Any, default: Any) -> tuple[Any, str]:
    """Return the converted value, or the default and an error message."""
    if given is None:
        return default, ""
    if kind is str:
        return str(given).strip(), ""
    try:
        value = kind(given)
    except (TypeError, ValueError, OverflowError):
        noun = "a whole number" if kind is int else "a number"
        return default, f"must be {noun}, not {given!r}"
    if not math.isfinite(value):
        return default, f"must be finite, not {given!r}"
    return value, ""


def _check(value: Any, declaration: Declaration) -> str:
    """Return the error message of a single value, empty if it is valid."""
    if declaration.required and not value:
        return "is required"
    if declaration.choices and value not in declaration.choices:
        return f"must be one of {', '.join(declaration.choices)}, not {value!r}"
    if declaration.low is not None and value < declaration.low:
        return f"must be at least {declaration.low:g}, not {value:g}"
    if declaration.high is not None and value > declaration.high:
        return f"must be at most {declaration.high:g}, not {value:g}"
    if declaration.form == "ip" and not _is_ip(value):
        return f"must be an IP address, not {value!r}"
    if declaration.form == "url" and not _is_http_url(value):
        return f"must be an http:// or https:// URL, not {value!r}"
    if declaration.secret and 0 < len(value) < MIN_SECRET_LENGTH:
        return f"must have at least {MIN_SECRET_LENGTH} characters"
    return ""


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_http_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        return parts.scheme in ("http", "https") and bool(parts.hostname)
    except ValueError:
        return False


@dataclass(frozen=True)
class _RuleViolation:
    """A violated rule between several settings.

    ``read`` names the settings involved: if one of them is invalid by itself, the
    rule is not reported.
    """

    name: str
    read: tuple[str, ...]
    message: str


def _rule_violations(settings: Settings) -> Iterator[_RuleViolation]:
    """Yield the violated rules between settings."""
    if settings.lease_longest_term_s < settings.lease_term_s:
        yield _RuleViolation(
            "lease_longest_term_s",
            ("lease_longest_term_s", "lease_term_s"),
            "must not be below lease_term_s",
        )
    # A lost or late renewal must leave time for another one within the term.
    if settings.lease_renew_s >= settings.lease_term_s / 2:
        yield _RuleViolation(
            "lease_renew_s",
            ("lease_renew_s", "lease_term_s"),
            "must be below half of lease_term_s",
        )
    # A margin as long as the term would double the wait after a holder's crash.
    if settings.lease_margin_s >= settings.lease_term_s:
        yield _RuleViolation(
            "lease_margin_s",
            ("lease_margin_s", "lease_term_s"),
            "must be below lease_term_s",
        )
    # The listener stays open until cached responses of GET /v1/entries expire.
    if settings.drain_timeout_s < settings.entries_ttl_s:
        yield _RuleViolation(
            "drain_timeout_s",
            ("drain_timeout_s", "entries_ttl_s"),
            "must be at least entries_ttl_s",
        )
    # A starting entry VM must read claims over the whole horizon to know whether a key
    # was used; the slack covers gaps at both ends of the stream.
    if settings.claim_horizon_s + CLAIM_RETENTION_SLACK_S > settings.log_retention_s:
        yield _RuleViolation(
            "claim_horizon_s",
            ("claim_horizon_s", "log_retention_s"),
            f"must be {CLAIM_RETENTION_SLACK_S:g} s below log_retention_s",
        )
    yield from _port_clashes(settings)
    yield from _missing_secrets(settings)


def _port_clashes(settings: Settings) -> Iterator[_RuleViolation]:
    name_by_port: dict[int, str] = {}
    for name in ("callers_port", "admin_port", "peers_port"):
        first = name_by_port.setdefault(getattr(settings, name), name)
        if first != name:
            yield _RuleViolation(name, (name, first), f"must differ from {first}")


def _missing_secrets(settings: Settings) -> Iterator[_RuleViolation]:
    """Yield the rules on secrets that are required beyond loopback."""
    if _is_ip(settings.address) and not settings.loopback:
        for name in ("admin_token", "peer_key"):
            if not getattr(settings, name):
                yield _RuleViolation(
                    name,
                    (name, "address"),
                    f"is required when address is {settings.address}",
                )
    # Guards against one leaked secret giving access to both interfaces.
    if settings.admin_token and settings.admin_token == settings.peer_key:
        yield _RuleViolation(
            "peer_key",
            ("peer_key", "admin_token"),
            "must differ from admin_token",
        )
