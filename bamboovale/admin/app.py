"""The WSGI application of the administration port.

Every edit is appended to the log, and the answer is its outcome as read back from
there. An edit whose answer is lost can be sent again with the same ``X-Edit-Id``.
"""

import json
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from result import Err

from bamboovale.admin.access import refuse_access
from bamboovale.admin.edits import read_apply, read_base_revision, read_set
from bamboovale.admin.http import Reply, Request, reply_findings
from bamboovale.admin.port import AdministrationPort
from bamboovale.admin.submission import (
    Submission,
    WaitingCallLimiter,
    reply_too_many_waiting,
)
from bamboovale.catalogue.edits import Action, Change
from bamboovale.catalogue.entries import Kind
from bamboovale.catalogue.fold import CatalogueView
from bamboovale.errors import ErrorCode, Finding, Refusal

MAX_ENTRY_BYTES = 64 * 1024
MAX_APPLY_BYTES = 16 * 1024 * 1024
IN_FORCE_TIMEOUT_S = 10.0
MAX_IN_FORCE_TIMEOUT_S = 60.0
ENTRIES_PER_CHUNK = 200
DEFAULT_HISTORY_LIMIT = 100
KINDS_IN_ORDER = (Kind.POOL, Kind.SERVICE, Kind.ADAPTER)

PREFIX = "/admin/v1/"
SINGLE_ROUTES = ("entries", "apply", "history", "revision", "in-force", "state")

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class AdministrationApp:
    """Routes requests of the administration API to their handlers."""

    def __init__(
        self,
        port: AdministrationPort,
        token: str = "",
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._port = port
        self._token = token
        self._limiter = WaitingCallLimiter()
        self._submission = Submission(port, self._limiter, wall_clock)
        self._handler_by_route: dict[tuple[str, str], Callable[..., Reply]] = {
            ("GET", "entries"): self._get_entries,
            ("GET", "entry"): self._get_entry,
            ("PUT", "entry"): self._put_entry,
            ("DELETE", "entry"): self._delete_entry,
            ("POST", "apply"): self._post_apply,
            ("GET", "history"): self._get_history,
            ("GET", "revision"): self._get_revision,
            ("GET", "in-force"): self._get_in_force,
            ("GET", "state"): self._get_state,
            ("GET", "metrics"): self._get_metrics,
            ("GET", "healthz"): self._get_health,
        }

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request (WSGI)."""
        reply = self.answer(Request(environ))
        headers = [("Content-Type", reply.content_type), *reply.headers]
        start_response(reply.status_line, headers)
        return reply.body

    def answer(self, request: Request) -> Reply:
        """Return the reply to a request."""
        route, arguments = _route(request.path)
        if route != "healthz":
            refusal = refuse_access(request, self._token)
            if refusal is not None:
                challenge = (("WWW-Authenticate", "Bearer"),)
                return Reply.of_refusal(refusal, headers=challenge)
        handler = self._handler_by_route.get((request.method, route))
        if handler is not None:
            return handler(request, *arguments)
        allowed = [method for method, known in self._handler_by_route if known == route]
        if allowed:
            refusal = Refusal(
                ErrorCode.METHOD_NOT_ALLOWED,
                f"{request.method} is not known here",
                not_run=True,
            )
            return Reply.of_refusal(
                refusal,
                headers=(("Allow", ", ".join(allowed)),),
            )
        return _not_found(f"no such path: {request.path[:128]}")

    def _get_entries(self, request: Request) -> Reply:
        kind_text = request.query.get("kind", "")
        if kind_text and kind_text not in tuple(Kind):
            finding = Finding("kind", f"must be one of {', '.join(Kind)}")
            return reply_findings([finding])
        kinds = (Kind(kind_text),) if kind_text else KINDS_IN_ORDER
        view = self._port.catalogue()
        return Reply(200, _entry_chunks(view, kinds))

    def _get_entry(self, request: Request, kind: Kind, name: str) -> Reply:
        view = self._port.catalogue()
        entry = view.entry(kind, name)
        if entry is not None:
            return Reply.of_json(
                entry.to_json() | {"revision": entry.revision},
                headers=(("ETag", f'"{entry.revision}"'), _revision_header(view)),
            )
        tombstone = view.tombstone_by_key.get((kind, name))
        if tombstone is None:
            return _not_found(f"{kind} {name[:128]} does not exist")
        return _not_found(
            f"{kind} {name} was deleted at revision {tombstone.revision} "
            f"by {tombstone.author}"
        )

    def _put_entry(self, request: Request, kind: Kind, name: str) -> Reply:
        base = read_base_revision(
            request.header("If-Match"),
            request.header("If-None-Match"),
        )
        if isinstance(base, Err):
            return reply_findings(base.err_value)
        body = request.json(MAX_ENTRY_BYTES)
        if isinstance(body, Err):
            return Reply.of_refusal(body.err_value)
        change = read_set(kind, name, body.ok_value, base.ok_value)
        if isinstance(change, Err):
            return reply_findings(change.err_value)
        return self._submission.submit(request, [change.ok_value])

    def _delete_entry(self, request: Request, kind: Kind, name: str) -> Reply:
        base = read_base_revision(
            request.header("If-Match"),
            request.header("If-None-Match"),
        )
        if isinstance(base, Err):
            return reply_findings(base.err_value)
        change = Change(Action.DELETE, kind, name, None, base.ok_value)
        return self._submission.submit(request, [change])

    def _post_apply(self, request: Request) -> Reply:
        body = request.json(MAX_APPLY_BYTES)
        if isinstance(body, Err):
            return Reply.of_refusal(body.err_value)
        changes = read_apply(body.ok_value)
        if isinstance(changes, Err):
            return reply_findings(changes.err_value)
        return self._submission.submit(request, changes.ok_value)

    def _get_history(self, request: Request) -> Reply:
        view = self._port.catalogue()
        limit = _whole_number(request.query.get("limit", str(DEFAULT_HISTORY_LIMIT)))
        if limit is None:
            return reply_findings([Finding("limit", "must be a whole number")])
        name = request.query.get("name", "")
        records = [
            record.to_json()
            for record in reversed(view.history)
            if not name or any(change.name == name for change in record.changes)
        ]
        return Reply.of_json({"revision": view.revision, "history": records[:limit]})

    def _get_revision(self, request: Request) -> Reply:
        view = self._port.catalogue()
        return Reply.of_json(
            {
                "revision": view.revision,
                "next_offset": view.next_offset,
                "digest": view.digest,
            }
        )

    def _get_in_force(self, request: Request) -> Reply:
        revision = _whole_number(request.query.get("revision", ""))
        timeout_s = _seconds(request.query.get("timeout_s", str(IN_FORCE_TIMEOUT_S)))
        findings = []
        if revision is None:
            findings.append(Finding("revision", "must be a whole number"))
        if timeout_s is None:
            findings.append(
                Finding("timeout_s", f"must be 0 to {MAX_IN_FORCE_TIMEOUT_S:g}")
            )
        if revision is None or timeout_s is None:
            return reply_findings(findings)
        with self._limiter.acquire() as acquired:
            if not acquired:
                return reply_too_many_waiting()
            report = self._port.in_force(revision, timeout_s)
        return Reply.of_json(report.to_json())

    def _get_state(self, request: Request) -> Reply:
        body = json.dumps(self._port.state(), indent=2, default=str).encode()
        return Reply(200, (body,), (("Content-Length", str(len(body))),))

    def _get_metrics(self, request: Request) -> Reply:
        body = self._port.metrics()
        return Reply(
            200,
            (body,),
            (("Content-Length", str(len(body))),),
            content_type="text/plain; version=0.0.4; charset=utf-8",
        )

    def _get_health(self, request: Request) -> Reply:
        ready = self._port.ready()
        return Reply.of_json({"ready": ready}, 200 if ready else 503)


def _route(path: str) -> tuple[str, tuple[Any, ...]]:
    """Return a route's name and its arguments; the name is empty if unknown."""
    if path in ("/metrics", "/healthz"):
        return path[1:], ()
    if not path.startswith(PREFIX):
        return "", ()
    first, *rest = path[len(PREFIX) :].split("/")
    if first == "entries" and len(rest) == 2 and rest[0] in tuple(Kind):
        return "entry", (Kind(rest[0]), rest[1])
    if first in SINGLE_ROUTES and not rest:
        return first, ()
    return "", ()


def _entry_chunks(view: CatalogueView, kinds: tuple[Kind, ...]) -> Iterator[bytes]:
    # In chunks, to bound the memory for catalogues of many thousand entries.
    yield f'{{"revision": {view.revision}, "entries": ['.encode()
    rows: list[str] = []
    separator = ""
    for kind in kinds:
        table = view.table(kind)
        for name in sorted(table):
            entry = table[name]
            row = entry.to_json() | {"revision": entry.revision}
            rows.append(json.dumps(row))
            if len(rows) == ENTRIES_PER_CHUNK:
                yield (separator + ",".join(rows)).encode()
                rows = []
                separator = ","
    if rows:
        yield (separator + ",".join(rows)).encode()
    yield b"]}"


def _revision_header(view: CatalogueView) -> tuple[str, str]:
    return ("X-Catalogue-Revision", str(view.revision))


def _not_found(message: str) -> Reply:
    return Reply.of_refusal(Refusal(ErrorCode.NOT_FOUND, message, not_run=True))


def _whole_number(text: str) -> int | None:
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        return None
    return int(text)


def _seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0 <= seconds <= MAX_IN_FORCE_TIMEOUT_S else None
