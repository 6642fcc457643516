"""Shared domain types: classes of work, VM records and adapter versions."""

from dataclasses import dataclass, field
from enum import StrEnum


class WorkClass(StrEnum):
    """Urgency of a request."""

    INTERACTIVE = "interactive"
    OVERNIGHT = "overnight"


class VMKind(StrEnum):
    """Role of a VM in the platform's VM list."""

    ENTRY = "entry"
    RUNNER = "runner"
    SERVICE = "service"


class VMState(StrEnum):
    """Whether a VM may receive new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class VM:
    """One row of the platform's VM list.

    ``pool`` names the group of endpoints it serves in (``tutor-llm``); it is
    empty for an entry VM. ``ports`` is keyed by use: ``callers``, ``admin`` and
    ``peers`` on an entry VM, ``http`` on an endpoint VM. ``software_version`` is that
    of an endpoint's software, empty if the list does not tell.
    """

    id: str
    kind: VMKind
    address: str
    ports: dict[str, int] = field(default_factory=dict)
    failure_domain: str = ""
    region: str = ""
    pool: str = ""
    state: VMState = VMState.LIVE
    software_version: str = ""


@dataclass(frozen=True, order=True)
class AdapterVersion:
    """A version of an adapter; engines load it as ``lora_name``."""

    adapter: str
    version: str

    @property
    def lora_name(self) -> str:
        """Return the name under which engines load this version."""
        return f"{self.adapter}@{self.version}"

    @classmethod
    def from_lora_name(cls, name: str) -> "AdapterVersion":
        """Split ``adapter@version`` as an engine lists it.

        >>> AdapterVersion.from_lora_name("summaries@7")
        AdapterVersion(adapter='summaries', version='7')
        """
        adapter, _, version = name.rpartition("@")
        return cls(adapter, version)
