"""Load and unload orders of a model engine, checked by fencing token."""

import time
from dataclasses import dataclass
from urllib.parse import quote

import urllib3

from bamboovale.standins.faults import Faults
from bamboovale.standins.history import History
from bamboovale.standins.messages import Answer, DroppedConnectionError, Request
from bamboovale.standins.runs import Batch

WEIGHTS_TIMEOUT_S = 120.0


@dataclass(frozen=True)
class EngineSettings:
    """Start-up settings of an engine."""

    engine_id: str
    base_model: str
    max_num_seqs: int = 8
    max_loras: int = 4
    step_ms: float = 20.0
    weights: str = ""
    check_fencing: bool = False
    prefix_cache_blocks: int = 0


class WeightClient:
    """Fetches weights; without a store URL every fetch succeeds at once."""

    def __init__(self, host: str, url: str) -> None:
        self._url = url.rstrip("/")
        # Lets the store's ``cut`` fault match this engine by source address.
        self._pool = urllib3.PoolManager(
            maxsize=8,
            retries=False,
            source_address=(host, 0),
        )

    def fetch(self, path: str) -> str | None:
        """Fetch weights; return the cause of a failure, or None."""
        if not self._url:
            return None
        try:
            response = self._pool.request(
                "GET",
                f"{self._url}/weights/{quote(path, safe='')}",
                timeout=WEIGHTS_TIMEOUT_S,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            return type(error).__name__
        return None if response.status == 200 else f"weight store: {response.status}"


class AdapterOrders:
    """The engine's adapter slots and its highest accepted fencing token."""

    def __init__(
        self,
        batch: Batch,
        weights: WeightClient,
        settings: EngineSettings,
        faults: Faults,
        history: History,
    ) -> None:
        self._batch = batch
        self._weights = weights
        self._settings = settings
        self._faults = faults
        self._history = history
        self.loading: set[str] = set()
        self._highest_token = -1
        # Number of boots: a load that was interrupted by a crash has no effect.
        self._boots = 0

    def reset(self) -> None:
        """Clear the loads in progress and the fencing token for a new boot."""
        self._boots += 1
        self._highest_token = -1
        self.loading.clear()

    def load(self, request: Request) -> Answer:
        """Load an adapter into a free slot; block until its weights are fetched."""
        order = request.json()
        name = str(order["lora_name"])
        path = str(order.get("lora_path") or name)
        with self._batch.lock:
            request.check_open()
            refusal = self._check_token(request, name) or self._check_slot(name)
            if refusal is not None:
                return refusal
            boots = self._boots
            self.loading.add(name)
        started = time.monotonic()
        failure = self._fetch(name, path)
        with self._batch.lock:
            if boots != self._boots:
                raise DroppedConnectionError
            self.loading.discard(name)
            if failure is not None:
                self._history.record("load_failed", model=name, cause=failure)
                return Answer.error(503, "load_failed", failure)
            self._batch.loaded[name] = path
            self._history.record(
                "load",
                model=name,
                token=request.headers.get("x-fencing-token"),
                seconds=time.monotonic() - started,
                source=request.source,
            )
        return Answer(body={"message": f"LoRA adapter '{name}' added."})

    def _check_token(self, request: Request, name: str) -> Answer | None:
        if not self._settings.check_fencing:
            return None
        token = int(request.headers.get("x-fencing-token", -1))
        if token < max(self._highest_token, 0):
            self._history.record(
                "order_refused",
                order=request.path,
                model=name,
                token=token,
                highest=self._highest_token,
            )
            return Answer.error(
                409,
                "stale_fencing_token",
                f"highest seen is {self._highest_token}",
            )
        self._highest_token = token
        return None

    def _check_slot(self, name: str) -> Answer | None:
        if name in self._batch.loaded:
            return Answer.error(400, "already_loaded")
        if name in self.loading:
            return Answer.error(409, "load_in_progress")
        # The base model is always loaded and takes no slot.
        used = len(self._batch.loaded) - 1 + len(self.loading)
        if used >= self._settings.max_loras:
            return Answer.error(409, "no_slot", "all adapter slots are used")
        return None

    def _fetch(self, name: str, path: str) -> str | None:
        """Fetch weights; return the cause of a failure, or None."""
        if self._faults.names_or_occurs("fail_loads", name):
            return "switched by fail_loads"
        return self._weights.fetch(path)

    def unload(self, request: Request) -> Answer:
        """Unload an adapter; runs that use it are evicted."""
        name = str(request.json()["lora_name"])
        with self._batch.lock:
            request.check_open()
            refusal = self._check_token(request, name)
            if refusal is not None:
                return refusal
            if name not in self._batch.loaded or name == self._settings.base_model:
                return Answer.error(404, "model_not_found")
            del self._batch.loaded[name]
            self._batch.evict(name)
            self._history.record(
                "unload",
                model=name,
                token=request.headers.get("x-fencing-token"),
                source=request.source,
            )
        return Answer(body={"message": f"LoRA adapter '{name}' removed."})
