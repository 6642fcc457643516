"""``bamboovale catalogue begin-anew``: recovers from a log that lost the catalogue.

If all entry VMs are down until the last snapshot expires from the log, no VM can
rebuild the catalogue and none serves. The command appends a snapshot of an empty
catalogue; operators then apply their own file.
"""

from typing import Annotated, NoReturn

import typer
from result import Err

from bamboovale.catalogue.actor import CATALOGUE_STREAM
from bamboovale.catalogue.fold import Catalogue
from bamboovale.catalogue.snapshots import split_snapshot, write_snapshot
from bamboovale.cli.administration import AdministrationClient
from bamboovale.http_client import HttpClient
from bamboovale.log_service.log_client import LogClient, LogFailure
from bamboovale.status import ExitStatus


def begin_anew(
    log: Annotated[
        str,
        typer.Option("--log", envvar="BAMBOOVALE_LOG", help="URL of the log service."),
    ],
    admin: Annotated[
        list[str],
        typer.Option(
            "--admin",
            envvar="BAMBOOVALE_ADMIN",
            help="Administration of every running entry VM; none may have a catalogue.",
        ),
    ],
    token: Annotated[
        str,
        typer.Option("--token", envvar="BAMBOOVALE_ADMIN_TOKEN", help="Bearer token."),
    ] = "",
    drop_records: Annotated[
        bool,
        typer.Option(
            "--drop-records",
            help="Go on although the log keeps records: edits among them are lost.",
        ),
    ] = False,
) -> None:
    """Begin an empty catalogue on a log that has lost the last one."""
    _check_that_no_vm_has_one(admin, token)
    client = LogClient(log, HttpClient(""))
    answer = client.read(CATALOGUE_STREAM, 0, wait_s=0.0)
    if isinstance(answer, Err):
        _fail_on_log(answer.err_value)
    batch = answer.ok_value
    if batch.end == 0:
        _refuse("the log never held a catalogue: there is nothing to begin anew")
    if batch.first < batch.end and not drop_records:
        kept = batch.end - batch.first
        _refuse(f"the log keeps {kept} records of the catalogue; see --drop-records")
    catalogue = Catalogue.empty()
    catalogue.next_offset = batch.end
    for part in split_snapshot(write_snapshot(catalogue)):
        appended = client.append(CATALOGUE_STREAM, part)
        if isinstance(appended, Err):
            _fail_on_log(appended.err_value)
    typer.echo(f"an empty catalogue begins at offset {batch.end}; now apply your file")


def _check_that_no_vm_has_one(admin: list[str], token: str) -> None:
    # Guards against two diverging catalogues: a VM that still has the old one would
    # keep it, while VMs that start later would load the empty one.
    for url in admin:
        client = AdministrationClient.from_urls([url], token)
        answer = client.call("GET", "/admin/v1/revision")
        if answer.status != ExitStatus.SUCCESS:
            for line in answer.error_lines():
                typer.echo(line, err=True)
            raise typer.Exit(answer.status)
        revision = answer.body["revision"]
        if revision:
            _refuse(f"{url} has the catalogue at revision {revision}")


def _refuse(message: str) -> NoReturn:
    typer.echo(message, err=True)
    raise typer.Exit(ExitStatus.REJECTED)


def _fail_on_log(failure: LogFailure) -> NoReturn:
    typer.echo(f"log: {failure.reason}", err=True)
    raise typer.Exit(ExitStatus.UNAVAILABLE)
