"""Stand-in of a model engine: the HTTP interface, orders and crashes."""

import time
import uuid
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import urllib3

from bamboovale.standins.completions import ANSWER_FAULTS, AnswerFaults, RunReader
from bamboovale.standins.faults import Faults
from bamboovale.standins.history import History
from bamboovale.standins.runs import Batch, Run
from bamboovale.standins.server import (
    Answer,
    DroppedConnectionError,
    Request,
    StandInServer,
)
from bamboovale.standins.tokens import prompt_of_messages

FAULTS = (
    "crash",
    "restart_s",
    "fail_loads",
    "slow_factor",
    "late_events",
    "lose_events",
    "load_lag_s",
    *ANSWER_FAULTS,
)
# Each open request holds a thread; the rest are for orders, reports and control.
THREADS = 160
MAX_OPEN_RUNS = 128
RESTART_S = 1.0
LOAD_LAG_S = 0.5
EVENT_LAG_S = 0.2
DEFAULT_MAX_TOKENS = 16
WEIGHTS_TIMEOUT_S = 120.0


@dataclass(frozen=True)
class EngineSettings:
    """What an engine is started with."""

    engine_id: str
    base_model: str
    max_num_seqs: int = 8
    max_loras: int = 4
    step_ms: float = 20.0
    weights: str = ""
    check_fencing: bool = False
    prefix_cache_blocks: int = 0


class EngineStandIn:
    """Answers completions, orders and reports of one engine."""

    def __init__(
        self,
        settings: EngineSettings,
        faults: Faults,
        history: History,
    ) -> None:
        self._settings = settings
        self._faults = faults
        self._history = history
        self.server: StandInServer | None = None
        self._batch = Batch(
            settings.max_num_seqs,
            settings.step_ms / 1000,
            settings.prefix_cache_blocks,
            faults,
            history,
        )
        self._batch.on_crash = self._crash
        self._loading: set[str] = set()
        self._highest_token = -1
        self._boot_id = ""
        self._pool = urllib3.PoolManager(maxsize=8, retries=False)
        self._handler_by_route = {
            ("POST", "/v1/completions"): self._complete,
            ("POST", "/v1/chat/completions"): self._complete,
            ("POST", "/v1/load_lora_adapter"): self._order_load,
            ("POST", "/v1/unload_lora_adapter"): self._order_unload,
            ("GET", "/v1/models"): self._models,
            ("GET", "/state"): self._state,
            ("GET", "/load"): self._load_report,
            ("POST", "/abort"): self._abort,
            ("POST", "/resume"): self._resume,
            ("GET", "/cache_events"): self._cache_events,
        }
        faults.add_listener(self._apply_faults)
        self._boot()
        self._batch.start()

    def answer(self, request: Request) -> Answer:
        """Answer one request."""
        handler = self._handler_by_route.get((request.method, request.path))
        if handler is None:
            return Answer.error(404, "not_found")
        return handler(request)

    # Starts and crashes.

    def _boot(self) -> None:
        with self._batch.lock:
            self._boot_id = uuid.uuid4().hex
            self._highest_token = -1
            self._loading.clear()
            self._batch.loaded[self._settings.base_model] = ""
        self._history.record("boot", boot_id=self._boot_id)

    def _crash(self) -> None:
        restart_s = float(self._faults.get("restart_s", RESTART_S))
        with self._batch.lock:
            self._history.record("crash", boot_id=self._boot_id, restart_s=restart_s)
            self._batch.crash()
            self._boot()
        if self.server is not None:
            self.server.refuse(restart_s)

    def _apply_faults(self, changes: Any) -> None:
        if changes.get("crash"):
            self._faults.merge({"crash": None})
            self._crash()

    # Orders.

    def _order_load(self, request: Request) -> Answer:
        order = request.json()
        name = str(order["lora_name"])
        path = str(order.get("lora_path") or name)
        with self._batch.lock:
            refusal = self._check_token(request, name) or self._check_slot(name)
            if refusal is not None:
                return refusal
            boot_id = self._boot_id
            self._loading.add(name)
        started = time.monotonic()
        failure = self._fetch(name, path)
        with self._batch.lock:
            if boot_id != self._boot_id:
                raise DroppedConnectionError
            self._loading.discard(name)
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
        if name in self._loading:
            return Answer.error(409, "load_in_progress")
        # The base model is always there and takes no slot.
        used = len(self._batch.loaded) - 1 + len(self._loading)
        if used >= self._settings.max_loras:
            return Answer.error(409, "no_slot", "all adapter slots are used")
        return None

    def _fetch(self, name: str, path: str) -> str | None:
        """Fetch weights; return the cause of a failure."""
        if self._faults.names_or_occurs("fail_loads", name):
            return "switched by fail_loads"
        if not self._settings.weights:
            return None
        url = f"{self._settings.weights.rstrip('/')}/weights/{quote(path, safe='')}"
        try:
            response = self._pool.request(
                "GET",
                url,
                timeout=WEIGHTS_TIMEOUT_S,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            return type(error).__name__
        return None if response.status == 200 else f"weight store: {response.status}"

    def _order_unload(self, request: Request) -> Answer:
        name = str(request.json()["lora_name"])
        with self._batch.lock:
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

    # Completions.

    def _complete(self, request: Request) -> Answer:
        order = request.json()
        model = str(order["model"])
        chat = request.path.endswith("/chat/completions")
        prompt = prompt_of_messages(order["messages"]) if chat else order["prompt"]
        if not isinstance(prompt, str):
            return Answer.error(400, "bad_request", "prompt must be a string")
        max_tokens = int(order.get("max_tokens") or DEFAULT_MAX_TOKENS)
        if max_tokens < 1:
            return Answer.error(400, "bad_request", "max_tokens must be at least 1")
        run = Run(
            request_id=request.headers.get("x-request-id") or uuid.uuid4().hex,
            model=model,
            prompt=prompt,
            max_tokens=max_tokens,
            priority=int(order.get("priority") or 0),
            chat=chat,
        )
        with self._batch.lock:
            if model not in self._batch.loaded:
                return self._refuse(run, 404, "model_not_found")
            if self._batch.readers >= MAX_OPEN_RUNS:
                return self._refuse(run, 503, "overloaded")
            self._batch.submit(run)
        return self._read(run, request).answer(bool(order.get("stream")))

    def _refuse(self, run: Run, status: int, kind: str) -> Answer:
        self._history.record(
            "refused",
            request_id=run.request_id,
            model=run.model,
            cause=kind,
        )
        return Answer.error(status, kind, f"not run: {kind} ({run.model})")

    def _read(self, run: Run, request: Request) -> RunReader:
        faults = AnswerFaults.from_faults(self._faults)
        return RunReader(self._batch, run, request, faults)

    def _resume(self, request: Request) -> Answer:
        order = request.json()
        offset = int(order.get("offset", 0))
        run = self._batch.resume(str(order["request_id"]))
        if run is None:
            return Answer.error(404, "unknown_request")
        return self._read(run, request).answer(stream=True, offset=offset)

    def _abort(self, request: Request) -> Answer:
        request_id = str(request.json()["request_id"])
        return Answer(body={"aborted": self._batch.abort(request_id)})

    # Reports.

    def _models(self, request: Request) -> Answer:
        with self._batch.lock:
            names = list(self._batch.loaded)
        models = [{"id": name, "object": "model"} for name in names]
        return Answer(body={"object": "list", "data": models})

    def _state(self, request: Request) -> Answer:
        with self._batch.lock:
            running = [
                {"request_id": run.request_id, "model": run.model}
                for run in self._batch.running
            ]
            state = {
                "id": self._settings.engine_id,
                "boot_id": self._boot_id,
                "base_model": self._settings.base_model,
                "max_num_seqs": self._settings.max_num_seqs,
                "max_loras": self._settings.max_loras,
                "loaded": self._adapters(),
                "loading": sorted(self._loading),
                "running": running,
                "waiting": self._batch.waiting_count(),
            }
        return Answer(body=state)

    def _adapters(self) -> list[str]:
        base_model = self._settings.base_model
        return [name for name in self._batch.loaded if name != base_model]

    def _load_report(self, request: Request) -> Answer:
        lag_s = float(self._faults.get("load_lag_s", LOAD_LAG_S))
        sample = self._batch.load_as_of(lag_s)
        return Answer(
            body={
                "boot_id": self._boot_id,
                "running": sample.running,
                "waiting": sample.waiting,
                "as_of": time.time() - lag_s,
            }
        )

    def _cache_events(self, request: Request) -> Answer:
        start = request.number("from", 0)
        lag_s = float(self._faults.get("late_events", EVENT_LAG_S))
        with self._batch.lock:
            events = self._batch.cache.events(start, time.monotonic() - lag_s)
            boot_id = self._boot_id
        following = events[-1].seq + 1 if events else start
        shown = [
            event.to_json()
            for event in events
            if not self._faults.occurs_by_share("lose_events")
        ]
        return Answer(body={"boot_id": boot_id, "events": shown, "next": following})


def create_server(listen: str, settings: EngineSettings) -> StandInServer:
    """Return a model engine that listens on ``listen`` once started."""
    faults = Faults(FAULTS)
    history = History()
    engine = EngineStandIn(settings, faults, history)
    server = StandInServer(listen, engine.answer, faults, history, THREADS)
    engine.server = server
    return server
