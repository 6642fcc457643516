"""A model server or a plain server: registers itself, answers and records.

What arrives, runs and ends is appended to a file, one JSON object a line, with the
machine's monotonic time.
"""

import argparse
import asyncio
import json
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from review.standins.wire import JSON_TYPE, Request, Responder, call, serve

TICK_S = 0.01


class Server:
    """One start of a server."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._id = options.id
        self._record = Path(options.record)
        self._beats = 0
        self._orders = 0
        self._highest_fence = 0
        self._is_leaving = False
        self._adapters: dict[str, int] = {}
        self._loading: dict[str, int] = {}
        self._active: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def note(self, event: str, **fields: Any) -> None:
        """Append a line to the record."""
        line = {"at": time.monotonic(), "event": event, "server": self._id, **fields}
        with self._record.open("a") as record:
            record.write(json.dumps(line) + "\n")

    async def run(self) -> None:
        """Serve and send heartbeats until the process ends."""
        host, port = self._options.address.split(":")
        await serve(self.handle, (host, int(port)))
        while True:
            if not self._is_leaving:
                await self._beat()
            await asyncio.sleep(self._options.heartbeat_ms / 1000)

    async def _beat(self) -> None:
        self._beats += 1
        host, port = self._options.store.split(":")
        options = self._options
        document = {
            "service": options.service,
            "addr": options.address,
            "zone": options.zone,
            "version": "v1",
            "slots": options.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": self._beats,
        }
        if options.model:
            document |= {"stage": "both", "models": self._models()}
        target = f"/standin/keyed.servers/{self._id}?ttl-ms={3 * options.heartbeat_ms}"
        body = json.dumps(document).encode()
        await call((host, int(port)), "PUT", target, {"Host": "store"}, body)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve a report, an order or a request."""
        expected = request.headers.get("x-expect-instance", self._id)
        if expected != self._id:
            headers = {"x-instance-id": self._id, "x-not-executed": "1"}
            responder.answer(421, headers, b"")
        elif request.path == "/api/report":
            responder.answer(200, JSON_TYPE, json.dumps(self._report()).encode())
        elif request.path == "/api/order":
            status = self._order(json.loads(request.body))
            responder.answer(status, JSON_TYPE, b"{}")
        elif request.path == "/healthz":
            responder.answer(200, {"x-instance-id": self._id}, b"")
        elif self._options.model:
            await self._generate(request, responder)
        else:
            await self._work(request, responder)

    # Orders.

    def _models(self) -> list[dict[str, Any]]:
        names = [f"{name}@{version}" for name, version in self._adapters.items()]
        return [{"name": self._options.model, "version": 1, "adapters": names}]

    def _report(self) -> dict[str, Any]:
        model = self._options.model
        return {
            "stage": "both",
            "models": self._models(),
            "busy": False,
            "seq": self._orders,
            "queued": 0,
            "active": sum(self._active.values()),
            "kv-used": 0,
            "kv-total": 200_000,
            "handles": 0,
            "loading": [f"{model}/{n}@{v}" for n, v in self._loading.items()],
        }

    def _order(self, order: dict[str, Any]) -> int:
        status = self._carry_out(order)
        self.note("order", status=status, **order)
        return status

    def _carry_out(self, order: dict[str, Any]) -> int:
        if "holder" not in order or "fence" not in order:
            return 400
        if order["fence"] < self._highest_fence:
            return 412
        self._highest_fence = order["fence"]
        if order.get("expect", self._orders) != self._orders:
            return 409
        adapter = order.get("adapter")
        if adapter is None or order["model"] != self._options.model:
            return 400
        if order["op"] == "unload":
            return self._unload(adapter)
        return self._load(adapter, int(order.get("version", 1)))

    def _unload(self, adapter: str) -> int:
        if adapter not in self._adapters:
            return 200
        self._orders += 1
        if self._active.get(adapter):
            self._start(self._drop(adapter))
            return 202
        del self._adapters[adapter]
        return 200

    async def _drop(self, adapter: str) -> None:
        while self._active.get(adapter):
            await asyncio.sleep(TICK_S)
        self._adapters.pop(adapter, None)

    def _start(self, job: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _load(self, adapter: str, version: int) -> int:
        if self._adapters.get(adapter) == version or adapter in self._loading:
            return 200
        self._orders += 1
        self._loading[adapter] = version
        self._start(self._finish(adapter, version))
        return 202

    async def _finish(self, adapter: str, version: int) -> None:
        await asyncio.sleep(self._options.load_ms / 1000)
        del self._loading[adapter]
        self._adapters[adapter] = version

    # Requests.

    def _stamp(self, request: Request) -> dict[str, str]:
        request_id = request.headers.get("x-request-id", "")
        return {"x-request-id": request_id, "x-server-stamp": f"{self._id}.s"}

    async def _generate(self, request: Request, responder: Responder) -> None:
        request_id = request.headers.get("x-request-id", "")
        _, _, adapter = request.headers.get("x-model", "").partition("/")
        if adapter and adapter not in self._adapters:
            headers = {"x-request-id": request_id, "x-not-executed": "1"}
            responder.answer(421, headers, b"")
            return
        self.note("run", id=request_id)
        self._active[adapter] = self._active.get(adapter, 0) + 1
        try:
            responder.start_stream(self._stamp(request))
            for number in range(1, self._options.events + 1):
                await asyncio.sleep(self._options.event_ms / 1000)
                if responder.is_caller_gone:
                    return
                await responder.send_piece(f"id: {number}\ndata: x\n\n".encode())
            responder.end_stream()
            self.note("end", id=request_id)
        finally:
            self._active[adapter] -= 1

    async def _work(self, request: Request, responder: Responder) -> None:
        request_id = request.headers.get("x-request-id", "")
        self.note("run", id=request_id, bytes=len(request.body))
        await asyncio.sleep(self._options.event_ms / 1000)
        responder.answer(200, self._stamp(request), f"done {request_id}".encode())
        self.note("end", id=request_id)


def main() -> None:
    """Run a server until it is killed."""
    parser = argparse.ArgumentParser()
    for name in ("id", "store", "address", "service", "zone", "record"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--model", default="")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--events", type=int, default=10)
    parser.add_argument("--event-ms", type=float, default=20.0)
    parser.add_argument("--load-ms", type=float, default=250.0)
    parser.add_argument("--heartbeat-ms", type=int, default=1200)
    asyncio.run(Server(parser.parse_args()).run())


if __name__ == "__main__":
    main()
