"""Stand-in of the users' model runner: adapter slots, orders and streams."""

import asyncio
import json
import time
from dataclasses import dataclass
from typing import Any

from bamboovale.http1.connection import Headers
from bamboovale.http1.request import Request
from bamboovale.http1.responder import Responder
from bamboovale.http1.server import Server
from bamboovale.standins.platform_endpoints import (
    JSON,
    PlatformEndpoint,
    Run,
)
from bamboovale.standins.platform_store import PlatformStore
from bamboovale.standins.stream_versions import software_line
from bamboovale.standins.unframed_answer import UnframedAnswer

REPORT_LAG_S = 0.05


@dataclass
class Order:
    """One order that the runner received; ``status`` 0 if it was dropped."""

    document: dict[str, Any]
    status: int
    at: float


class PlatformRunner(PlatformEndpoint):
    """A model runner with adapter slots, load times and streamed responses."""

    def __init__(
        self,
        store: PlatformStore,
        endpoint_id: str,
        service: str,
        *,
        model: str = "base",
        adapter_slots: int = 2,
        load_s: float = 0.1,
        events: int = 5,
        checks_fencing: bool = True,
        software: str = "v1",
        tokens_per_event: int | None = None,
    ) -> None:
        super().__init__(store, endpoint_id, service, software=software)
        self.orders: list[Order] = []
        self.overfilled = False
        self.reports_read = 0
        self.version_by_adapter: dict[str, int] = {}
        self._newest: dict[str, int] = {}
        self._loading: dict[str, int] = {}
        self._active_by_adapter: dict[str, int] = {}
        self._model: str | None = model
        self._adapter_slots = adapter_slots
        self._load_s = load_s
        self._events = events
        self._tokens_per_event = tokens_per_event
        self._checks_fencing = checks_fencing
        self._highest_fence = 0
        self._accepted_orders = 0
        self._reports: list[tuple[float, dict[str, Any]]] = []
        self._jobs: set[asyncio.Task[None]] = set()

    def description(self) -> dict[str, Any]:
        """Return the record's fields with the model and its adapters."""
        return {"slots": 8, "stage": "both", "models": self._models()}

    def preload(self, adapter: str, version: int = 1) -> None:
        """Mark an adapter as loaded, without an order."""
        self.version_by_adapter[adapter] = version

    def lose_model(self) -> None:
        """Unload the model and all adapters."""
        self._model = None
        self.version_by_adapter.clear()

    async def restart(
        self, born_ms: int, *, registers: bool = True, software: str | None = None
    ) -> None:
        """Crash and restart with the same id and address, without adapters.

        It keeps its software version if none is given.
        """
        self.crash()
        self.software = software or self.software
        self._server = Server(self.handle)
        self.forget_contents()
        self.born_ms = born_ms
        host, port = self.address
        await self._server.listen(host, port)
        if registers:
            await self.register("ready")

    def forget_contents(self) -> None:
        """Drop adapters, reports and what orders said."""
        self.version_by_adapter.clear()
        self._loading.clear()
        self._reports.clear()
        self._highest_fence = 0
        self._accepted_orders = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve a report, an order or a request."""
        path = request.target.partition("?")[0]
        if path == "/api/report":
            self._report(request, responder)
        elif path == "/api/order":
            await self._order(request, responder)
        else:
            await self._serve(request, responder)

    # Reports and orders.

    def _models(self) -> list[dict[str, Any]]:
        if self._model is None:
            return []
        names = [f"{name}@{v}" for name, v in self.version_by_adapter.items()]
        return [{"name": self._model, "version": 1, "adapters": names}]

    def _report(self, request: Request, responder: Responder) -> None:
        self.reports_read += 1
        if not self._is_expected(request):
            self._refuse(request, responder, 421)
            return
        now = time.monotonic()
        current = {
            "stage": "both",
            "models": self._models(),
            "busy": False,
            "seq": self._accepted_orders,
            "queued": 0,
            "active": sum(self._active_by_adapter.values()),
            "loading": [f"{self._model}/{n}@{v}" for n, v in self._loading.items()],
            **self.start_time_fields(),
        }
        self._reports.append((now, current))
        old = [report for at, report in self._reports if at <= now - REPORT_LAG_S]
        shown = old[-1] if old else current
        self._reports = [item for item in self._reports if now - item[0] < 1.0]
        responder.answer(200, JSON, json.dumps(shown).encode())

    async def _order(self, request: Request, responder: Responder) -> None:
        if not self._is_expected(request):
            self._refuse(request, responder, 421)
            return
        document = json.loads(request.body)
        if self.faults.dropped_orders > 0:
            self.faults.dropped_orders -= 1
            self.orders.append(Order(document, 0, time.monotonic()))
            await asyncio.sleep(3600)
        status = self._execute(document)
        self.orders.append(Order(document, status, time.monotonic()))
        if self.faults.lost_orders > 0:
            self.faults.lost_orders -= 1
            await asyncio.sleep(3600)
        responder.answer(status, JSON, b"{}")

    def _execute(self, document: dict[str, Any]) -> int:
        if "holder" not in document or "fence" not in document:
            return 400
        if self._checks_fencing and document["fence"] < self._highest_fence:
            return 412
        if document.get("expect", self._accepted_orders) != self._accepted_orders:
            return 409
        self._highest_fence = max(self._highest_fence, document["fence"])
        adapter = document.get("adapter")
        if adapter is None:
            self._model = document["model"] if document["op"] == "load" else None
            self._accepted_orders += 1
            return 202
        if document["op"] == "unload":
            return self._unload(adapter)
        return self._load(adapter, document.get("version", 1))

    def _unload(self, adapter: str) -> int:
        if adapter not in self.version_by_adapter:
            return 200
        del self.version_by_adapter[adapter]
        self._accepted_orders += 1
        return 200

    def _load(self, adapter: str, version: int) -> int:
        if self.version_by_adapter.get(adapter) == version:
            return 200
        held = self.version_by_adapter.keys() | self._loading.keys() | {adapter}
        if len(held) > self._adapter_slots:
            self.overfilled = True
        self._loading[adapter] = version
        self._accepted_orders += 1
        job = asyncio.get_running_loop().create_task(
            self._finish_load(adapter, version)
        )
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)
        return 202

    async def _finish_load(self, adapter: str, version: int) -> None:
        await asyncio.sleep(self._load_s)
        while self._active_by_adapter.get(adapter, 0):
            await asyncio.sleep(0.01)
        if self._loading.pop(adapter, None) is not None:
            self.version_by_adapter[adapter] = version

    # Requests.

    async def _serve(self, request: Request, responder: Responder) -> None:
        self._note_arrival(request, responder)
        model, _, adapter = (request.get(b"x-model") or b"").decode().partition("/")
        version = self.version_by_adapter.get(adapter, 1)
        expected = request.get(b"x-expect-version")
        wrong = expected is not None and int(expected) != version
        missing = adapter and adapter not in self.version_by_adapter
        if not self._is_expected(request) or model != self._model or wrong:
            self._refuse(request, responder, 421)
        elif adapter in self._loading or self._turns_away():
            self._refuse(request, responder, 503)
        elif missing:
            self._refuse(request, responder, 421)
        else:
            await self._run(request, responder, adapter, version)

    async def _run(
        self,
        request: Request,
        responder: Responder,
        adapter: str,
        version: int,
    ) -> None:
        run = self._start_run(request)
        run.adapter, run.version = adapter, version
        if self._fails_unrun():
            self._answer_unrun(responder, run)
            return
        active = self._active_by_adapter
        active[adapter] = active.get(adapter, 0) + 1
        try:
            await self._stream(request, responder, run)
        except asyncio.CancelledError:
            run.end("cancelled")
            raise
        finally:
            active[adapter] -= 1

    def _length(self, request: Request) -> int:
        """Return how many events a stream has: as many as its caller asked for."""
        tokens = (request.get(b"x-token-count") or b"").partition(b",")[2]
        if self._tokens_per_event is None or not tokens:
            return self._events
        return int(tokens) // self._tokens_per_event

    def _pause_s(self) -> float:
        """Return the pause before an event; it grows with the engine's runs."""
        others = sum(self._active_by_adapter.values()) - 1
        return self.faults.event_s + others * self.faults.slower_by_run_s

    def _crashes_by_now(self, run: Run) -> bool:
        """Return whether the run would crash now, if it is one that does."""
        after_s = 0.0 if self.trigger is None else self.trigger.after_s
        if after_s == 0.0:
            return not run.events
        return time.monotonic() - run.started_at >= after_s

    async def _stream(self, request: Request, responder: Responder, run: Run) -> None:
        if self.faults.hang:
            await asyncio.sleep(3600)
        resume_after = int(request.get(b"last-event-id") or b"0")
        headers = [(b"content-type", b"text/event-stream")]
        answer: Responder | UnframedAnswer = responder
        if self.faults.unframed:
            answer = UnframedAnswer(responder)
        else:
            headers.append((b"transfer-encoding", b"chunked"))
        wrong_ids = {} if resume_after else self.faults.wrong_ids
        last, unwritten = self._length(request), b""
        for number in range(resume_after + 1, last + 1):
            await asyncio.sleep(self._pause_s())
            if self._crashes_by_now(run) and self._crashes_under(request, run):
                return
            if not answer.started:
                self._start(answer, responder, run, headers)
            if self.faults.cut_after is not None and number > self.faults.cut_after:
                await answer.write(b"id: 9")
                await asyncio.sleep(0.02)
                run.end("cut")
                if self.faults.unframed and not self.faults.reset:
                    answer.finish()
                else:
                    answer.abort()
                return
            if self.faults.end_after is not None and number > self.faults.end_after:
                break
            data = f"data: {run.adapter}@{run.version}\n\n"
            event_id = wrong_ids.get(number, number)
            text = f"id: {event_id}\n{software_line(run.software)}{data}"
            unwritten += text.encode()
            run.events += 1
            if number % self.faults.together == 0 or number == last:
                await answer.write(unwritten)
                unwritten = b""
        if not answer.started:
            self._start(answer, responder, run, headers)
        run.end("ok")
        answer.finish()

    def _start(
        self,
        answer: Responder | UnframedAnswer,
        responder: Responder,
        run: Run,
        headers: Headers,
    ) -> None:
        with self.telling(responder):
            answer.start(200, [*self._answer_headers(run, responder), *headers])
