"""Stand-in of a model engine: the HTTP interface, load orders and crashes."""

import time
import uuid
from typing import Any

from bamboovale.standins.completions import ANSWER_FAULTS, AnswerFaults, RunReader
from bamboovale.standins.faults import Faults
from bamboovale.standins.history import History
from bamboovale.standins.messages import Answer, Request
from bamboovale.standins.orders import AdapterOrders, EngineSettings, WeightClient
from bamboovale.standins.runs import Batch, Run
from bamboovale.standins.server import StandInServer, parse_address
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
# Each open request holds a thread; the rest serve orders, reports and control.
THREADS = 160
MAX_OPEN_RUNS = 128
RESTART_S = 1.0
LOAD_LAG_S = 0.5
EVENT_LAG_S = 0.2
DEFAULT_MAX_TOKENS = 16


class EngineStandIn:
    """Serves completions, orders and reports of one engine."""

    def __init__(
        self,
        host: str,
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
        self._boot_id = ""
        self._orders = AdapterOrders(
            self._batch,
            WeightClient(host, settings.weights),
            settings,
            faults,
            history,
        )
        self._handler_by_route = {
            ("POST", "/v1/completions"): self._complete,
            ("POST", "/v1/chat/completions"): self._complete,
            ("POST", "/v1/load_lora_adapter"): self._orders.load,
            ("POST", "/v1/unload_lora_adapter"): self._orders.unload,
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

    # Boots and crashes.

    def _boot(self) -> None:
        with self._batch.lock:
            self._boot_id = uuid.uuid4().hex
            self._orders.reset()
            self._batch.loaded[self._settings.base_model] = ""
        self._history.record("boot", boot_id=self._boot_id)

    def _crash(self) -> None:
        restart_s = float(self._faults.get("restart_s", RESTART_S))
        with self._batch.lock:
            self._history.record("crash", boot_id=self._boot_id, restart_s=restart_s)
            # Stop listening before any caller sees the crash: a fast retry would
            # otherwise reach the next boot before the restart time has passed.
            if self.server is not None:
                self.server.refuse(restart_s)
            self._batch.crash()
            self._boot()

    def _apply_faults(self, changes: Any) -> None:
        if changes.get("crash"):
            self._faults.merge({"crash": None})
            self._crash()

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
            request.check_open()
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
                "loading": sorted(self._orders.loading),
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
    host, _ = parse_address(listen)
    engine = EngineStandIn(host, settings, faults, history)
    server = StandInServer(listen, engine.answer, faults, history, THREADS)
    engine.server = server
    return server
