"""Which software began a stream, and whether an endpoint may go on with it."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar


class HasSoftware(Protocol):
    """An endpoint whose software version is known."""

    @property
    def software_version(self) -> str | None:
        """Return the version, None before it is known.

        Versions are equal or not, and have no order.
        """


Endpoint = TypeVar("Endpoint", bound=HasSoftware)


@dataclass(frozen=True)
class StreamSource:
    """The service and the software version that a stream's first event came from.

    ``service`` is empty if only the version is certain, ``software_version`` is None if
    it was not known yet.
    """

    service: str
    software_version: str | None

    def may_go_on_at(self, endpoint: HasSoftware) -> bool:
        """Return whether the endpoint's software may go on with the stream."""
        version = self.software_version
        return version is not None and endpoint.software_version == version

    def select(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that may go on with the stream."""
        return [endpoint for endpoint in endpoints if self.may_go_on_at(endpoint)]

    def service_among(self, services: Collection[str], otherwise: str) -> str:
        """Return the service to go on at, of those that a route leads to now."""
        return self.service if self.service in services else otherwise
