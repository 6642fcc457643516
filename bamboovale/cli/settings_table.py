"""``bamboovale settings-table``: prints the table of ``docs/SETTINGS.md``."""

from collections.abc import Iterator
from dataclasses import fields

import typer

from bamboovale.settings import (
    DECLARATION_BY_NAME,
    MIN_SECRET_LENGTH,
    Declaration,
    Settings,
    flag_of,
    variable_of,
)

HEAD = "| flag | variable | default | allowed | meaning |\n|---|---|---|---|---|"


def settings_table() -> None:
    """Print the table of all settings in Markdown, as docs/SETTINGS.md holds it."""
    typer.echo(render_table())


def render_table() -> str:
    """Return the Markdown table of all settings, built from their declarations."""
    return "\n".join([HEAD, *_rows()])


def _rows() -> Iterator[str]:
    for item in fields(Settings):
        declaration = DECLARATION_BY_NAME[item.name]
        cells = [
            f"`{flag_of(item.name)}`",
            f"`{variable_of(item.name)}`",
            _default(declaration, item.default),
            _allowed(declaration, item.default),
            declaration.help,
        ]
        yield "| " + " | ".join(cells) + " |"


def _default(declaration: Declaration, default: object) -> str:
    if declaration.required:
        return "required"
    return "none" if default == "" else f"`{default}`"


def _allowed(declaration: Declaration, default: object) -> str:
    if declaration.choices:
        return ", ".join(f"`{choice}`" for choice in declaration.choices)
    if declaration.low is not None and declaration.high is not None:
        noun = "whole number, " if isinstance(default, int) else ""
        return f"{noun}{declaration.low:.10g} to {declaration.high:.10g}"
    if declaration.secret:
        return f"{MIN_SECRET_LENGTH} characters or more"
    return {"ip": "IP address", "url": "http or https URL"}.get(
        declaration.form,
        "text",
    )
