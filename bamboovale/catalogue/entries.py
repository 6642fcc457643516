"""Entries of the catalogue and their JSON form.

``to_json`` writes every field, so that a release with other defaults reads stored
entries unchanged.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from sys import intern
from typing import Any

from result import Err, Ok, Result

from bamboovale.catalogue.fields import MODEL_NAME, PRINTABLE, FieldReader
from bamboovale.errors import Finding
from bamboovale.models import AdapterVersion, WorkClass

DEFAULT_CONCURRENCY = 64
DEFAULT_REQUESTS_PER_S = 100.0
DEFAULT_MAX_TOKENS = 4096
DEFAULT_MAX_WAIT_S = {WorkClass.INTERACTIVE: 30.0, WorkClass.OVERNIGHT: 3600.0}
DEFAULT_LOAD_SECONDS = 2.0
DEFAULT_TIMEOUT_S = 10.0
WORK_CLASSES = tuple(work_class.value for work_class in WorkClass)


class Kind(StrEnum):
    """Kind of a catalogue entry."""

    ADAPTER = "adapter"
    POOL = "pool"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one entry, shared by all entry VMs.

    ``max_wait_s`` is the longest time that a request may be queued.
    """

    concurrency: int = DEFAULT_CONCURRENCY
    requests_per_s: float = DEFAULT_REQUESTS_PER_S
    max_tokens: int = DEFAULT_MAX_TOKENS
    max_wait_s: float = DEFAULT_MAX_WAIT_S[WorkClass.INTERACTIVE]

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "concurrency": self.concurrency,
            "requests_per_s": self.requests_per_s,
            "max_tokens": self.max_tokens,
            "max_wait_s": self.max_wait_s,
        }


@dataclass(frozen=True, slots=True)
class AdapterEntry:
    """A model name for callers and the adapter version that serves it.

    ``revision`` is the catalogue revision that set the entry; the fold fills it in,
    and comparisons ignore it.
    """

    name: str
    adapter: str
    version: str
    source: str
    base_model: str
    pool: str
    owner: str
    work_class: WorkClass = WorkClass.INTERACTIVE
    limits: Limits = Limits()
    revision: int = field(default=0, compare=False)

    @property
    def kind(self) -> Kind:
        """Return the kind of this entry."""
        return Kind.ADAPTER

    @property
    def target(self) -> AdapterVersion:
        """Return the adapter version that engines run for this entry."""
        return AdapterVersion(self.adapter, self.version)

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form, without the revision."""
        return {
            "kind": Kind.ADAPTER.value,
            "name": self.name,
            "adapter": self.adapter,
            "version": self.version,
            "source": self.source,
            "base_model": self.base_model,
            "pool": self.pool,
            "owner": self.owner,
            "class": self.work_class.value,
            "limits": self.limits.to_json(),
        }


@dataclass(frozen=True, slots=True)
class PoolEntry:
    """A group of runners with one base model.

    ``checks_fencing`` says whether its engines reject orders with an old fencing
    number; ``load_seconds`` is the usual duration of an adapter load.
    """

    name: str
    base_model: str
    checks_fencing: bool = False
    load_seconds: float = DEFAULT_LOAD_SECONDS
    revision: int = field(default=0, compare=False)

    @property
    def kind(self) -> Kind:
        """Return the kind of this entry."""
        return Kind.POOL

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form, without the revision."""
        return {
            "kind": Kind.POOL.value,
            "name": self.name,
            "base_model": self.base_model,
            "checks_fencing": self.checks_fencing,
            "load_seconds": self.load_seconds,
        }


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """A service without adapters; ``pool`` names its VMs in the platform's VM list."""

    name: str
    pool: str
    owner: str
    idempotent: bool = True
    timeout_s: float = DEFAULT_TIMEOUT_S
    limits: Limits = Limits()
    revision: int = field(default=0, compare=False)

    @property
    def kind(self) -> Kind:
        """Return the kind of this entry."""
        return Kind.SERVICE

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form, without the revision."""
        return {
            "kind": Kind.SERVICE.value,
            "name": self.name,
            "pool": self.pool,
            "owner": self.owner,
            "idempotent": self.idempotent,
            "timeout_s": self.timeout_s,
            "limits": self.limits.to_json(),
        }


Entry = AdapterEntry | PoolEntry | ServiceEntry


def parse_entry(
    data: Any,
    place: str = "",
    revision: int = 0,
) -> Result[Entry, list[Finding]]:
    """Parse an entry, or return every finding with its place."""
    reader = FieldReader(data, place)
    if reader.findings:
        return Err(reader.findings)
    kind = reader.pop("kind")
    if kind == Kind.ADAPTER:
        entry: Entry = _read_adapter(reader, revision)
    elif kind == Kind.POOL:
        entry = _read_pool(reader, revision)
    elif kind == Kind.SERVICE:
        entry = _read_service(reader, revision)
    else:
        message = f"must be one of {', '.join(Kind)}"
        return Err([Finding(reader.place_of("kind"), message)])
    findings = reader.finish()
    return Err(findings) if findings else Ok(entry)


def _read_adapter(reader: FieldReader, revision: int) -> AdapterEntry:
    name = reader.text("name")
    adapter = reader.text("adapter", default=name)
    version = reader.text("version")
    work_class = WorkClass(
        reader.choice("class", WORK_CLASSES, WorkClass.INTERACTIVE.value)
    )
    return AdapterEntry(
        name=name,
        # Share one string object in the usual case, to save memory.
        adapter=name if adapter == name else adapter,
        version=intern(version),
        source=reader.text(
            "source",
            pattern=PRINTABLE,
            default=f"{adapter}@{version}",
        ),
        base_model=intern(reader.text("base_model", pattern=MODEL_NAME)),
        pool=intern(reader.text("pool")),
        owner=intern(reader.text("owner")),
        work_class=work_class,
        limits=_read_limits(reader, work_class),
        revision=revision,
    )


def _read_pool(reader: FieldReader, revision: int) -> PoolEntry:
    return PoolEntry(
        name=intern(reader.text("name")),
        base_model=intern(reader.text("base_model", pattern=MODEL_NAME)),
        checks_fencing=reader.flag("checks_fencing", default=False),
        load_seconds=reader.number(
            "load_seconds",
            default=DEFAULT_LOAD_SECONDS,
            low=0.001,
            high=3600,
        ),
        revision=revision,
    )


def _read_service(reader: FieldReader, revision: int) -> ServiceEntry:
    return ServiceEntry(
        name=reader.text("name"),
        pool=intern(reader.text("pool")),
        owner=intern(reader.text("owner")),
        idempotent=reader.flag("idempotent", default=True),
        timeout_s=reader.number(
            "timeout_s",
            default=DEFAULT_TIMEOUT_S,
            low=0.001,
            high=3600,
        ),
        limits=_read_limits(reader, WorkClass.INTERACTIVE),
        revision=revision,
    )


def _read_limits(reader: FieldReader, work_class: WorkClass) -> Limits:
    data = reader.pop("limits")
    limits_reader = FieldReader(
        {} if data is None else data,
        reader.place_of("limits"),
    )
    limits = Limits(
        concurrency=limits_reader.integer(
            "concurrency",
            default=DEFAULT_CONCURRENCY,
            low=1,
            high=100_000,
        ),
        requests_per_s=limits_reader.number(
            "requests_per_s",
            default=DEFAULT_REQUESTS_PER_S,
            low=0.001,
            high=1_000_000,
        ),
        max_tokens=limits_reader.integer(
            "max_tokens",
            default=DEFAULT_MAX_TOKENS,
            low=1,
            high=1_000_000,
        ),
        max_wait_s=limits_reader.number(
            "max_wait_s",
            default=DEFAULT_MAX_WAIT_S[work_class],
            low=0.0,
            high=86_400,
        ),
    )
    reader.findings.extend(limits_reader.finish())
    return limits
