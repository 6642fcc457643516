"""The WSGI application on the callers' port."""

import json
import random
import threading
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

from result import Err

from bamboovale.entry.caller_answer import JSON_TYPE, CallerAnswer, ChunksWithCleanup
from bamboovale.entry.caller_request import CallerRequest, read_request
from bamboovale.entry.model_call import PATHS as MODEL_PATHS
from bamboovale.entry.model_requests import ModelRequests
from bamboovale.entry.service_calls import PREFIX as SERVICE_PREFIX
from bamboovale.entry.service_calls import ServiceCalls
from bamboovale.environment import Environment
from bamboovale.errors import ErrorCode, Refusal
from bamboovale.models import VM
from bamboovale.views import Views

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallerApp:
    """Answers callers, each request on a thread of the HTTP server."""

    def __init__(
        self,
        environment: Environment,
        views: Views,
        models: ModelRequests,
        services: ServiceCalls,
    ) -> None:
        self._environment = environment
        self._views = views
        self._models = models
        self._services = services
        self.stopping = False
        self._running = 0
        self._lock = threading.Lock()

    @property
    def running(self) -> int:
        """Return the number of requests being answered."""
        return self._running

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request (WSGI)."""
        started_at = self._environment.now()
        self._count(1)
        try:
            answer = self._answer(environ)
        except BaseException:
            self._count(-1)
            raise

        def count_end() -> None:
            self._count(-1)
            metrics = self._environment.metrics
            metrics.requests.labels(outcome=answer.outcome.code).inc()
            duration_s = self._environment.now() - started_at
            kind = _kind_of(environ.get("PATH_INFO", ""))
            metrics.request_seconds.labels(kind=kind).observe(duration_s)

        phrase = HTTPStatus(answer.status).phrase
        start_response(f"{answer.status} {phrase}", answer.headers)
        return ChunksWithCleanup(answer.chunks, count_end)

    def _count(self, change: int) -> None:
        with self._lock:
            self._running += change
        self._environment.metrics.requests_running.set(self._running)

    def _answer(self, environ: dict[str, Any]) -> CallerAnswer:
        limit = self._environment.settings.max_body_bytes
        request = read_request(environ, limit, self._environment.now())
        if isinstance(request, Err):
            # The rest of the body is not read: it may have any length.
            environ["bamboovale.close"]()
            return CallerAnswer.refusal(
                request.err_value,
                environ.get("HTTP_X_REQUEST_ID", "")[:128],
            )
        return self._route(request.ok_value, environ)

    def _route(self, request: CallerRequest, environ: dict[str, Any]) -> CallerAnswer:
        path = request.path
        if path == "/healthz":
            return _json(200, {"ready": self._views.serving})
        if path == "/v1/entries":
            return self._only_get(request, self._entries)
        refusal = self._not_serving(environ)
        if refusal is not None:
            return CallerAnswer.refusal(refusal, request.request_id)
        if path == "/v1/models":
            return self._only_get(request, self._list_models)
        if path in MODEL_PATHS:
            if request.method != "POST":
                return _method_not_allowed(request, "POST")
            return self._models.answer(request)
        if path.startswith(SERVICE_PREFIX):
            raw_path = environ.get("REQUEST_URI", path).partition("?")[0]
            return self._services.answer(request, raw_path)
        refusal = Refusal(ErrorCode.NOT_FOUND, f"no path {path[:128]}", not_run=True)
        return CallerAnswer.refusal(refusal, request.request_id)

    def _not_serving(self, environ: dict[str, Any]) -> Refusal | None:
        """Return a refusal while this VM stops or its catalogue may be outdated."""
        if self.stopping:
            environ["bamboovale.close"]()
            return Refusal(
                ErrorCode.DRAINING,
                "this entry VM is stopping; ask for the entries again",
                not_run=True,
                retry_after_s=0.0,
            )
        if not self._views.serving:
            return Refusal(
                ErrorCode.NOT_READY,
                "this entry VM has no sure view of the catalogue",
                not_run=True,
                retry_after_s=1.0,
            )
        return None

    def _only_get(
        self,
        request: CallerRequest,
        answer: Callable[[CallerRequest], CallerAnswer],
    ) -> CallerAnswer:
        if request.method != "GET":
            return _method_not_allowed(request, "GET")
        return answer(request)

    def _entries(self, request: CallerRequest) -> CallerAnswer:
        """Return the entry VMs to use, those in the caller's failure domain first."""
        preferred_domain = parse_qs(request.query).get("failure_domain", [""])[0]
        usable = self._views.membership.usable_entry_vms()
        own_id = self._environment.settings.id
        if not self._views.serving and len(usable) > 1:
            usable = [vm for vm in usable if vm.id != own_id]
        entries = [_entry_row(vm) for vm in _shuffled(usable, preferred_domain)]
        ttl_s = self._environment.settings.entries_ttl_s
        return _json(200, {"entries": entries, "valid_for_s": ttl_s})

    def _list_models(self, request: CallerRequest) -> CallerAnswer:
        catalogue = self._views.catalogue
        names = [] if catalogue is None else sorted(catalogue.adapter_by_name)
        data = [{"id": name, "object": "model"} for name in names]
        return _json(200, {"object": "list", "data": data})


def _kind_of(path: str) -> str:
    """Return the ``kind`` label for a path, from a fixed set of values."""
    if path in MODEL_PATHS:
        return "model"
    return "service" if path.startswith(SERVICE_PREFIX) else "other"


def _shuffled(vms: list[VM], preferred_domain: str) -> list[VM]:
    """Shuffle the VMs to spread the load, with those in ``preferred_domain`` first."""
    shuffled = random.sample(vms, len(vms))
    return sorted(shuffled, key=lambda vm: vm.failure_domain != preferred_domain)


def _entry_row(vm: VM) -> dict[str, Any]:
    return {
        "id": vm.id,
        "address": vm.address,
        "port": vm.ports.get("callers"),
        "failure_domain": vm.failure_domain,
        "region": vm.region,
    }


def _json(status: int, value: Any) -> CallerAnswer:
    return CallerAnswer.complete(status, [JSON_TYPE], json.dumps(value).encode())


def _method_not_allowed(request: CallerRequest, allowed: str) -> CallerAnswer:
    refusal = Refusal(
        ErrorCode.METHOD_NOT_ALLOWED,
        f"only {allowed} is known here",
        not_run=True,
    )
    answer = CallerAnswer.refusal(refusal, request.request_id)
    answer.headers.append(("Allow", allowed))
    return answer
