"""Client of the platform's VM list, which shows live and leaving VMs with a delay."""

import json
from typing import Any
from urllib.parse import urlsplit

from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from bamboovale.http_client import HttpClient
from bamboovale.models import VM, VMKind, VMState

READ_TIMEOUT_S = 2.0


def parse_vm(row: dict[str, Any]) -> VM:
    """Return the VM of one row of the list."""
    return VM(
        id=row["id"],
        kind=VMKind(row["kind"]),
        address=row["address"],
        ports=dict(row.get("ports", {})),
        failure_domain=row.get("failure_domain", ""),
        region=row.get("region", ""),
        pool=row.get("pool", ""),
        state=VMState(row.get("state", "live")),
        software_version=row.get("software", ""),
    )


class VMListClient:
    """Reads the VM list with conditional requests."""

    def __init__(self, url: str, http: HttpClient) -> None:
        parts = urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._http = http
        self._etag = ""
        self._last: tuple[VM, ...] = ()

    def read(self) -> Result[tuple[VM, ...], str]:
        """Return every VM in the list, or the reason why it could not be read.

        The request is conditional (RFC 9110, section 13.1.2), so that an unchanged
        list is not transferred again.
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            response = self._http.request(
                "GET",
                self._host,
                self._port,
                "/vms",
                headers=headers,
                read_timeout_s=READ_TIMEOUT_S,
            )
        except (HTTPError, OSError) as error:
            return Err(type(error).__name__)
        if response.status == 304:
            return Ok(self._last)
        if response.status != 200:
            return Err(f"status {response.status}")
        try:
            answer = json.loads(response.data)
            vms = tuple(parse_vm(row) for row in answer["vms"])
        except (KeyError, TypeError, ValueError) as error:
            return Err(f"malformed list: {error}")
        self._last = vms
        self._etag = response.headers.get("ETag", "")
        return Ok(vms)
