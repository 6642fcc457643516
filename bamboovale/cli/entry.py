"""``bamboovale entry``, ``check-settings`` and ``state``."""

import inspect
import json
from collections.abc import Callable
from dataclasses import fields
from typing import Annotated, Any, NoReturn

import typer
import urllib3
from result import Err, Result

from bamboovale.errors import Finding
from bamboovale.http_responses import PoolManager
from bamboovale.logs import configure_logs
from bamboovale.settings import DECLARATION_BY_NAME, Settings, flag_of, variable_of
from bamboovale.status import ExitStatus

STATE_TIMEOUT_S = 10.0


def with_settings_options(
    command: Callable[[Result[Settings, list[Finding]]], None],
) -> Callable[..., None]:
    """Add one option per setting to a command, with its variable and help.

    Options are passed as text: ``Settings`` converts and checks all of them, so that
    a user sees every finding at once.
    """

    def wrapper(**values: str | None) -> None:
        command(Settings.from_values(values))

    wrapper.__name__ = command.__name__
    wrapper.__doc__ = command.__doc__
    parameters = [_parameter_of(item.name, item.default) for item in fields(Settings)]
    wrapper.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    wrapper.__annotations__ = {item.name: item.annotation for item in parameters}
    return wrapper


def _parameter_of(name: str, default: Any) -> inspect.Parameter:
    declaration = DECLARATION_BY_NAME[name]
    option = typer.Option(
        flag_of(name),
        envvar=variable_of(name),
        help=declaration.help,
        metavar=_metavar_of(name, default),
        show_default=str(default) if default != "" else False,
    )
    return inspect.Parameter(
        name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, option],
    )


def _metavar_of(name: str, default: Any) -> str:
    choices = DECLARATION_BY_NAME[name].choices
    return "|".join(choices) if choices else type(default).__name__.upper()


def _exit_with_findings(findings: list[Finding]) -> NoReturn:
    """Print all findings and exit."""
    for finding in findings:
        typer.echo(f"{finding.place}: {finding.message}", err=True)
    raise typer.Exit(ExitStatus.SETTINGS_INVALID)


@with_settings_options
def entry(checked: Result[Settings, list[Finding]]) -> None:
    """Run an entry VM until it is told to stop; SIGTERM drains it first."""
    # Imported here so that the other commands do not load the server's libraries.
    from bamboovale.core import run_entry

    if isinstance(checked, Err):
        _exit_with_findings(checked.err_value)
    settings = checked.ok_value
    configure_logs(settings.log_format, settings.log_level)
    raise typer.Exit(run_entry(settings))


@with_settings_options
def check_settings(checked: Result[Settings, list[Finding]]) -> None:
    """Check the settings of an entry VM and print them, without starting it."""
    if isinstance(checked, Err):
        _exit_with_findings(checked.err_value)
    typer.echo(json.dumps(checked.ok_value.to_json(), indent=2))


def state(
    admin: Annotated[
        str,
        typer.Option(
            envvar="BAMBOOVALE_ADMIN",
            help="Base URL of an entry VM's administration port.",
        ),
    ] = "http://127.0.0.1:8081",
    token: Annotated[
        str,
        typer.Option(
            envvar="BAMBOOVALE_ADMIN_TOKEN",
            help="Bearer token for administration.",
        ),
    ] = "",
) -> None:
    """Print the state of a running entry VM as readable JSON."""
    try:
        answer = PoolManager().request(
            "GET",
            f"{admin.rstrip('/')}/admin/v1/state",
            headers={"Authorization": f"Bearer {token}"} if token else {},
            timeout=STATE_TIMEOUT_S,
            retries=False,
            redirect=False,
        )
        document = answer.json()
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        typer.echo(f"{admin}: {error}", err=True)
        raise typer.Exit(ExitStatus.UNAVAILABLE) from error
    typer.echo(json.dumps(document, indent=2), err=answer.status != 200)
    if answer.status != 200:
        raise typer.Exit(ExitStatus.ERROR)
