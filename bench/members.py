"""The members of a bench cluster: stand-ins and entry VMs."""

from dataclasses import dataclass
from typing import Any

import urllib3

from bench.http import call_json, call_restarting
from bench.processes import Process

ADMIN_TOKEN = "bench-admin-token"
PEER_KEY = "bench-peer-key-of-loopback"
REGION = "bavaria"
ENGINE_POOL = "tutor-llm"
BASE_MODEL = "base-7b"
SERVICE_POOL = "market-app"
STANDIN_ADDRESS = "127.0.0.1"
HEALTH_TIMEOUT_S = 1.0


@dataclass
class StandIn:
    """A running stand-in."""

    id: str
    kind: str
    url: str
    process: Process
    failure_domain: str = ""

    def to_row(self, state: str) -> dict[str, Any]:
        """Return the VM list's row of an endpoint."""
        is_engine = self.kind == "engine"
        host, _, port = self.url.removeprefix("http://").partition(":")
        return {
            "kind": "runner" if is_engine else "service",
            "address": host,
            "ports": {"http": int(port)},
            "failure_domain": self.failure_domain,
            "region": REGION,
            "pool": ENGINE_POOL if is_engine else SERVICE_POOL,
            "state": state,
        }

    def set_faults(self, **faults: Any) -> None:
        """Set faults by name; None switches a fault off."""
        status, answer = call_restarting("POST", f"{self.url}/faults", faults)
        if status != 200:
            raise ValueError(f"{self.id} rejected the faults {faults}: {answer}")

    def read_faults(self) -> dict[str, Any]:
        """Return the active faults."""
        _, faults = call_restarting("GET", f"{self.url}/faults")
        return dict(faults)

    def read_history(self) -> list[dict[str, Any]]:
        """Return everything the stand-in recorded."""
        status, events = call_restarting("GET", f"{self.url}/history")
        if status != 200:
            raise ValueError(f"{self.id} returned no history: status {status}")
        return list(events)


@dataclass
class EntryVM:
    """An entry VM; ``incarnation`` counts its starts under this id."""

    id: str
    address: str
    port_by_use: dict[str, int]
    failure_domain: str
    process: Process
    incarnation: int = 0
    frozen_at: float | None = None

    def to_row(self, state: str) -> dict[str, Any]:
        """Return the VM list's row of this entry VM."""
        return {
            "kind": "entry",
            "address": self.address,
            "ports": self.port_by_use,
            "failure_domain": self.failure_domain,
            "region": REGION,
            "state": state,
        }

    @property
    def callers_address(self) -> str:
        """Return the HOST:PORT where callers connect."""
        return f"{self.address}:{self.port_by_use['callers']}"

    @property
    def admin_url(self) -> str:
        """Return the base URL of the administration API."""
        return f"http://{self.address}:{self.port_by_use['admin']}"

    def is_ready(self) -> bool:
        """Tell whether the entry VM reports that it is ready."""
        try:
            status, answer = call_json(
                "GET", f"{self.admin_url}/healthz", timeout_s=1.0
            )
        except urllib3.exceptions.HTTPError:
            return False
        return status == 200 and bool(answer and answer.get("ready"))

    def ask_admin(
        self,
        method: str,
        path: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Call the administration API."""
        return call_json(
            method,
            f"{self.admin_url}{path}",
            value,
            headers={"Authorization": f"Bearer {ADMIN_TOKEN}", **(headers or {})},
        )
