"""The interface of the administration API to the entry VM that it runs in."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from result import Result

from bamboovale.catalogue.edits import Edit, EditOutcome
from bamboovale.catalogue.fold import CatalogueView
from bamboovale.errors import Refusal


@dataclass(frozen=True)
class InForceReport:
    """Catalogue revisions of the live entry VMs.

    ``missing`` names the live entry VMs that did not answer in time.
    """

    revision: int
    revision_by_vm: dict[str, int] = field(default_factory=dict)
    missing: tuple[str, ...] = ()

    @property
    def behind(self) -> tuple[str, ...]:
        """Return the VMs that answered with a lower revision."""
        return tuple(
            vm
            for vm, revision in sorted(self.revision_by_vm.items())
            if revision < self.revision
        )

    @property
    def in_force(self) -> bool:
        """Return whether the revision is in force on every live entry VM."""
        return bool(self.revision_by_vm) and not self.missing and not self.behind

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "revision": self.revision,
            "in_force": self.in_force,
            "revision_by_vm": self.revision_by_vm,
            "behind": list(self.behind),
            "missing": list(self.missing),
        }


class AdministrationPort(Protocol):
    """Operations of the entry VM; called on threads of the HTTP server."""

    def catalogue(self) -> CatalogueView:
        """Return the catalogue in force on this VM."""

    def submit(self, edit: Edit, timeout_s: float) -> Result[EditOutcome, Refusal]:
        """Append an edit and wait until it is read back and accepted or rejected.

        Refuses with ``log_unavailable`` if it is certain that it was not appended,
        else with ``outcome_unknown``; a retry with the same edit id is then safe.
        """

    def in_force(self, revision: int, timeout_s: float) -> InForceReport:
        """Poll all live entry VMs until they reach the revision or time is up."""

    def state(self) -> dict[str, Any]:
        """Return the state of this process as JSON values."""

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""

    def ready(self) -> bool:
        """Return whether this VM accepts requests of callers."""
