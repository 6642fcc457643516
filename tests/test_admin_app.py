"""The administration API, called through WSGI."""

import io
import json
from typing import Any

import pytest

from bamboovale.admin.app import AdministrationApp
from bamboovale.admin.edits import split_edit
from bamboovale.admin.http import Request
from bamboovale.admin.port import InForceReport
from bamboovale.admin.submission import MAX_WAITING_CALLS, WaitingCallLimiter
from bamboovale.catalogue.edits import Action, Change, Edit
from bamboovale.catalogue.entries import Kind, PoolEntry
from tests.admin_port import ListPort

POOL = {"kind": "pool", "name": "tutor-llm", "base_model": "base-8b"}
POOL_PATH = "/admin/v1/entries/pool/tutor-llm"


class Caller:
    """Calls the application like an HTTP server."""

    def __init__(self, token: str = "", peer: str = "127.0.0.1") -> None:
        self.port = ListPort()
        self.app = AdministrationApp(self.port, token, wall_clock=lambda: 1.0)
        self.peer = peer
        self.headers: dict[str, str] = {}

    def __call__(
        self,
        method: str,
        path: str,
        data: Any = None,
        raw: bytes | None = None,
        **headers: str,
    ) -> tuple[int, Any]:
        body = raw if raw is not None else json.dumps(data).encode()
        path, _, query = path.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "REMOTE_ADDR": self.peer,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            "HTTP_X_AUTHOR": "ines",
        }
        environ |= {f"HTTP_{name.upper()}": text for name, text in headers.items()}
        status: list[str] = []

        def start_response(line: str, headers: list[tuple[str, str]]) -> None:
            status.append(line)
            self.headers = dict(headers)

        reply = b"".join(self.app(environ, start_response))
        return int(status[0][:3]), json.loads(reply) if reply[:1] == b"{" else reply


class TestAccess:
    """Access with and without a token."""

    @pytest.mark.parametrize(
        ("token", "peer", "given", "status"),
        [
            ("", "127.0.0.1", "", 200),
            ("", "::ffff:127.0.0.1", "", 200),
            ("", "10.0.0.9", "", 401),
            ("", "", "", 401),
            ("secret", "127.0.0.1", "", 401),
            ("secret", "10.0.0.9", "Bearer secret", 200),
            ("secret", "10.0.0.9", "Bearer sécret", 401),
            ("secret", "10.0.0.9", "Basic secret", 401),
        ],
    )
    def test_access(self, token: str, peer: str, given: str, status: int) -> None:
        call = Caller(token, peer)
        assert call("GET", "/admin/v1/state", authorization=given)[0] == status
        assert call("GET", "/metrics", authorization=given)[0] == status
        assert call("GET", "/healthz")[0] == 200


class TestEntriesApi:
    """Reading and editing one entry."""

    def test_set_get_list_delete(self) -> None:
        call = Caller()
        status, body = call("PUT", POOL_PATH, {"base_model": "base-8b"})
        assert (status, body["revision"]) == (200, 1)
        status, body = call("GET", POOL_PATH)
        assert (body["load_seconds"], call.headers["ETag"]) == (2.0, '"1"')
        assert call("GET", "/admin/v1/entries?kind=pool")[1]["entries"] == [body]
        assert call("GET", "/admin/v1/entries?kind=adapter")[1]["entries"] == []
        assert call("DELETE", POOL_PATH, if_match='"1"')[0] == 200
        status, body = call("GET", POOL_PATH)
        assert status == 404 and "by ines" in body["error"]["message"]

    def test_a_conflict_shows_the_current_entry(self) -> None:
        call = Caller()
        call("PUT", POOL_PATH, POOL)
        call("PUT", POOL_PATH, POOL | {"load_seconds": 9}, if_match='"1"')
        status, body = call("PUT", POOL_PATH, POOL, if_match='"1"')
        assert status == 412
        conflict = body["error"]["conflicts"][0]
        assert conflict["current_revision"] == 2
        assert conflict["current"]["load_seconds"] == 9
        assert call("PUT", POOL_PATH, POOL, if_none_match="*")[0] == 412

    def test_a_lost_answer_is_resolved_by_the_edit_id(self) -> None:
        call = Caller()
        call.port.lose_answers = 1
        headers = {"x_edit_id": "edit-0001", "if_none_match": "*"}
        assert call("PUT", POOL_PATH, POOL, **headers)[0] == 504
        status, body = call("PUT", POOL_PATH, POOL, **headers)
        assert (status, body["revision"]) == (200, 1)
        other = POOL | {"load_seconds": 9}
        assert call("PUT", POOL_PATH, other, **headers)[0] == 422

    def test_a_log_that_is_down(self) -> None:
        call = Caller()
        call.port.is_down = True
        status, body = call("PUT", POOL_PATH, POOL)
        assert (status, body["error"]["not_run"]) == (503, True)
        assert call.headers["Retry-After"] == "2"

    @pytest.mark.parametrize(
        ("path", "raw", "headers", "status"),
        [
            (POOL_PATH, b"{", {}, 400),
            (POOL_PATH, b"[" * 60_000, {}, 400),
            (POOL_PATH, b'{"base_model": "a", "base_model": "b"}', {}, 400),
            (POOL_PATH, b" " * 70_000, {}, 413),
            (POOL_PATH, b"[]", {}, 400),
            (POOL_PATH, b'{"name": "other", "base_model": "b"}', {}, 400),
            (POOL_PATH, b'{"base_model": "b"}', {"if_match": "W/1"}, 400),
            (POOL_PATH, b'{"base_model": "b"}', {"x_author": ""}, 400),
            (POOL_PATH, b'{"base_model": "b"}', {"x_edit_id": "a b"}, 400),
            ("/admin/v1/entries/thing/x", b"{}", {}, 404),
            ("/admin/v1/history", b"{}", {}, 405),
        ],
    )
    def test_bad_input(
        self,
        path: str,
        raw: bytes,
        headers: dict[str, str],
        status: int,
    ) -> None:
        call = Caller()
        got, body = call("PUT", path, raw=raw, **headers)
        assert (got, call.port.records) == (status, [])
        assert body["error"]["not_run"]

    def test_a_truncated_body_is_refused(self) -> None:
        environ = {
            "REQUEST_METHOD": "PUT",
            "CONTENT_LENGTH": "9",
            "wsgi.input": io.BytesIO(b"{}"),
        }
        assert Request(environ).json(max_bytes=10).is_err()


class TestApply:
    """Many entries in one edit."""

    def test_all_findings_are_returned(self) -> None:
        data = {"entries": [POOL, {"kind": "pool", "name": "x y"}], "deletions": [{}]}
        status, body = Caller()("POST", "/admin/v1/apply", data)
        assert status == 400
        places = [finding["place"] for finding in body["error"]["findings"]]
        assert places == [
            "entries[1].name",
            "entries[1].base_model",
            "deletions[0].kind",
            "deletions[0].name",
        ]

    def test_is_one_edit_and_pools_may_come_last(self) -> None:
        call = Caller()
        adapter = {
            "kind": "adapter",
            "name": "summaries",
            "version": "1",
            "base_model": "base-8b",
            "pool": "tutor-llm",
            "owner": "agency-1",
        }
        status, body = call("POST", "/admin/v1/apply", {"entries": [adapter, POOL]})
        assert (status, body["parts"], len(call.port.records)) == (200, 1, 1)
        deletions = [{"kind": "pool", "name": "tutor-llm"}]
        status, body = call("POST", "/admin/v1/apply", {"deletions": deletions})
        assert status == 400 and "summaries" in body["error"]["findings"][0]["message"]
        status, body = call("GET", "/admin/v1/history")
        assert [record["author"] for record in body["history"]] == ["ines"]
        call("POST", "/admin/v1/apply", {"entries": [adapter, POOL]})
        assert call.port.folded.adapter_by_name["summaries"].revision == 1

    def test_too_large_for_one_record_is_split_in_order(self) -> None:
        entries = [PoolEntry(f"pool-{number}", "base-8b") for number in range(40)]
        changes = tuple(
            Change(Action.SET, Kind.POOL, entry.name, entry) for entry in entries
        )
        parts = split_edit(Edit("edit-0001", "ines", 1.0, changes), max_bytes=2000)
        assert len(parts) > 1
        assert all(len(json.dumps(part.to_json())) < 2200 for part in parts)
        assert tuple(item for part in parts for item in part.changes) == changes
        assert len({part.edit_id for part in parts}) == len(parts)


class TestInForce:
    """Whether a revision is in force on all entry VMs."""

    @pytest.mark.parametrize(
        ("revision_by_vm", "missing", "in_force"),
        [
            ({"entry-1": 3, "entry-2": 4}, (), True),
            ({"entry-1": 3, "entry-2": 2}, (), False),
            ({"entry-1": 3}, ("entry-2",), False),
            ({}, (), False),
        ],
    )
    def test_names_vms_that_are_behind_or_missing(
        self,
        revision_by_vm: dict[str, int],
        missing: tuple[str, ...],
        in_force: bool,
    ) -> None:
        call = Caller()
        call.port.report = InForceReport(0, revision_by_vm, missing)
        status, body = call("GET", "/admin/v1/in-force?revision=3&timeout_s=0")
        assert (status, body["in_force"]) == (200, in_force)
        assert body["missing"] == list(missing)

    @pytest.mark.parametrize("query", ["", "revision=x", "revision=1&timeout_s=nan"])
    def test_bad_queries(self, query: str) -> None:
        assert Caller()("GET", f"/admin/v1/in-force?{query}")[0] == 400


class TestWaitingCalls:
    """The number of calls that wait for the log is limited."""

    def test_the_next_call_is_refused_at_once(self) -> None:
        # Guards against a log outage in which waiting edits hold all threads, so that
        # state and health do not respond.
        limiter = WaitingCallLimiter()
        calls = [limiter.acquire() for _ in range(MAX_WAITING_CALLS)]
        assert all(call.__enter__() for call in calls)
        with limiter.acquire() as acquired:
            assert not acquired
        calls[0].__exit__(None, None, None)
        with limiter.acquire() as acquired:
            assert acquired
