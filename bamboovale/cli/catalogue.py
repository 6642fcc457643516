"""``bamboovale catalogue``: reads and edits the catalogue of adapters and pools."""

import getpass
import json
import sys
import time
import uuid
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote, urlencode

import typer

from bamboovale.cli.administration import AdministrationClient, Answer
from bamboovale.cli.catalogue_output import (
    entry_line,
    history_lines,
    print_in_force,
    print_json,
)
from bamboovale.cli.catalogue_recovery import begin_anew
from bamboovale.status import ExitStatus

DEFAULT_ADMIN_URLS = ["http://127.0.0.1:8081"]
DEFAULT_WAIT_S = 30.0
# Upper bound of one long poll; the command repeats it until its own timeout.
WAIT_PER_CALL_S = 10.0

app = typer.Typer(
    help="Read and edit the catalogue.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

app.command("begin-anew")(begin_anew)


class OutputFormat(StrEnum):
    """Output format of results."""

    TABLE = "table"
    JSON = "json"


AdminOption = Annotated[
    list[str],
    typer.Option(
        "--admin",
        envvar="BAMBOOVALE_ADMIN",
        help="URL of an entry VM's administration; may be repeated (in the "
        "variable: separated by spaces) and is tried in turn.",
    ),
]
TokenOption = Annotated[
    str,
    typer.Option("--token", envvar="BAMBOOVALE_ADMIN_TOKEN", help="Bearer token."),
]
AuthorOption = Annotated[
    str,
    typer.Option(
        "--author",
        envvar="BAMBOOVALE_AUTHOR",
        help="Who makes the edit; the login name if not given.",
    ),
]
FormatOption = Annotated[OutputFormat, typer.Option("--format")]
RevisionOption = Annotated[
    int | None,
    typer.Option(
        "--if-revision",
        min=0,
        help="Refuse unless the entry has this revision; 0: it must not exist.",
    ),
]
KindArgument = Annotated[str, typer.Argument(help="adapter, pool or service")]
NameArgument = Annotated[str, typer.Argument(help="Name of the entry.")]
EditIdOption = Annotated[
    str,
    typer.Option(
        "--edit-id",
        help="Id of the edit; give that of an edit whose outcome is unknown again.",
    ),
]


@app.command("list")
def list_entries(
    kind: Annotated[str, typer.Option("--kind", help="Only this kind.")] = "",
    admin: AdminOption = DEFAULT_ADMIN_URLS,
    token: TokenOption = "",
    output: FormatOption = OutputFormat.TABLE,
) -> None:
    """List the entries."""
    query = f"?{urlencode({'kind': kind})}" if kind else ""
    answer = _client(admin, token).call("GET", f"/admin/v1/entries{query}")
    _exit_unless_ok(answer)
    if output is OutputFormat.JSON:
        print_json(answer.body)
        return
    for entry in answer.body["entries"]:
        typer.echo(entry_line(entry))


@app.command("get")
def get_entry(
    kind: KindArgument,
    name: NameArgument,
    admin: AdminOption = DEFAULT_ADMIN_URLS,
    token: TokenOption = "",
) -> None:
    """Print one entry as JSON, with its revision."""
    answer = _client(admin, token).call("GET", _entry_path(kind, name))
    _exit_unless_ok(answer)
    print_json(answer.body)


@app.command("set")
def set_entry(
    file: Annotated[str, typer.Argument(help="JSON file of one entry; - is stdin.")],
    if_revision: RevisionOption = None,
    admin: AdminOption = DEFAULT_ADMIN_URLS,
    token: TokenOption = "",
    author: AuthorOption = "",
    edit_id: EditIdOption = "",
    output: FormatOption = OutputFormat.TABLE,
) -> None:
    """Set one entry from a JSON file."""
    entry = _read_file(file)
    entry.pop("revision", None)
    missing = [
        field
        for field in ("kind", "name")
        if not isinstance(entry.get(field), str) or not entry[field]
    ]
    for field in missing:
        typer.echo(f"{field}: is required", err=True)
    if missing:
        raise typer.Exit(ExitStatus.REJECTED)
    path = _entry_path(entry["kind"], entry["name"])
    headers = _edit_headers(author, edit_id) | _condition(if_revision)
    answer = _client(admin, token).call("PUT", path, entry, headers)
    _report_edit(answer, output)


@app.command("delete")
def delete_entry(
    kind: KindArgument,
    name: NameArgument,
    if_revision: RevisionOption = None,
    admin: AdminOption = DEFAULT_ADMIN_URLS,
    token: TokenOption = "",
    author: AuthorOption = "",
    edit_id: EditIdOption = "",
    output: FormatOption = OutputFormat.TABLE,
) -> None:
    """Delete one entry."""
    headers = _edit_headers(author, edit_id) | _condition(if_revision)
    answer = _client(admin, token).call(
        "DELETE",
        _entry_path(kind, name),
        None,
        headers,
    )
    _report_edit(answer, output)


@app.command("apply")
def apply_file(
    file: Annotated[
        str,
        typer.Argument(
            help='JSON file {"entries": [...], "deletions": [...]}; - is stdin.',
        ),
    ],
    admin: AdminOption = DEFAULT_ADMIN_URLS,
    token: TokenOption = "",
    author: AuthorOption = "",
    edit_id: EditIdOption = "",
    output: FormatOption = OutputFormat.TABLE,
) -> None:
    """Set and delete many entries in one edit."""
    headers = _edit_headers(author, edit_id)
    answer = _client(admin, token).call(
        "POST",
        "/admin/v1/apply",
        _without_revisions(_read_file(file)),
        headers,
    )
    _report_edit(answer, output)


@app.command("history")
def show_history(
    name: Annotated[str, typer.Option("--name", help="Only this entry.")] = "",
    limit: Annotated[int, typer.Option("--limit", min=1, max=10_000)] = 100,
    admin: AdminOption = DEFAULT_ADMIN_URLS,
    token: TokenOption = "",
    output: FormatOption = OutputFormat.TABLE,
) -> None:
    """List accepted edits, the newest first."""
    query = urlencode({"name": name, "limit": limit})
    answer = _client(admin, token).call("GET", f"/admin/v1/history?{query}")
    _exit_unless_ok(answer)
    if output is OutputFormat.JSON:
        print_json(answer.body)
        return
    for record in answer.body["history"]:
        for line in history_lines(record):
            typer.echo(line)


@app.command("wait-until-in-force")
def wait_until_in_force(
    revision: Annotated[
        int | None,
        typer.Argument(help="Catalogue revision; the current one if not given."),
    ] = None,
    timeout: Annotated[
        float,
        typer.Option("--timeout", min=0, help="Seconds to wait at most."),
    ] = DEFAULT_WAIT_S,
    admin: AdminOption = DEFAULT_ADMIN_URLS,
    token: TokenOption = "",
    output: FormatOption = OutputFormat.TABLE,
) -> None:
    """Wait until every live entry VM has a revision in force."""
    client = _client(admin, token)
    if revision is None:
        answer = client.call("GET", "/admin/v1/revision")
        _exit_unless_ok(answer)
        revision = answer.body["revision"]
    deadline = time.monotonic() + timeout
    while True:
        wait_s = min(WAIT_PER_CALL_S, max(0.0, deadline - time.monotonic()))
        query = urlencode({"revision": revision, "timeout_s": f"{wait_s:.3f}"})
        answer = client.call("GET", f"/admin/v1/in-force?{query}")
        _exit_unless_ok(answer)
        if answer.body["in_force"] or time.monotonic() >= deadline:
            break
        time.sleep(0.1)
    if output is OutputFormat.JSON:
        print_json(answer.body)
    else:
        print_in_force(answer.body)
    if not answer.body["in_force"]:
        raise typer.Exit(ExitStatus.TIMEOUT)


def _client(admin: list[str], token: str) -> AdministrationClient:
    return AdministrationClient.from_urls(admin, token)


def _entry_path(kind: str, name: str) -> str:
    return f"/admin/v1/entries/{quote(kind, safe='')}/{quote(name, safe='')}"


def _edit_headers(author: str, edit_id: str) -> dict[str, str]:
    return {
        "X-Author": author or _login_name(),
        "X-Edit-Id": edit_id or uuid.uuid4().hex,
    }


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""  # the server rejects an edit without an author


def _condition(if_revision: int | None) -> dict[str, str]:
    if if_revision is None:
        return {}
    if if_revision == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{if_revision}"'}


def _read_file(file: str) -> dict[str, Any]:
    try:
        text = sys.stdin.read() if file == "-" else Path(file).read_text("utf-8")
        data = json.loads(text)
    except (OSError, ValueError, RecursionError) as error:
        typer.echo(f"{file}: {error}", err=True)
        raise typer.Exit(ExitStatus.USAGE) from None
    if not isinstance(data, dict):
        typer.echo(f"{file}: must hold a JSON object", err=True)
        raise typer.Exit(ExitStatus.USAGE)
    return data


def _without_revisions(data: dict[str, Any]) -> dict[str, Any]:
    """Drop revisions, so that the output of ``list --format json`` can be applied."""
    data.pop("revision", None)
    entries = data.get("entries")
    for entry in entries if isinstance(entries, list) else ():
        if isinstance(entry, dict):
            entry.pop("revision", None)
    return data


def _report_edit(answer: Answer, output: OutputFormat) -> None:
    _exit_unless_ok(answer)
    if output is OutputFormat.JSON:
        print_json(answer.body)
        return
    parts = answer.body["parts"]
    split = f" (split into {parts} edits)" if parts > 1 else ""
    typer.echo(f"accepted at revision {answer.body['revision']}{split}")


def _exit_unless_ok(answer: Answer) -> None:
    if answer.status == ExitStatus.SUCCESS:
        return
    for line in answer.error_lines():
        typer.echo(line, err=True)
    raise typer.Exit(answer.status)
