"""Text output of ``bamboovale catalogue``."""

import json
import time
from typing import Any

import typer


def print_json(data: Any) -> None:
    """Print a value as indented JSON."""
    typer.echo(json.dumps(data, indent=2))


def entry_line(entry: dict[str, Any]) -> str:
    """Return the table row of an entry."""
    detail = entry.get("base_model", "")
    if entry["kind"] == "adapter":
        detail = f"{entry['adapter']}@{entry['version']} in {entry['pool']}"
    elif entry["kind"] == "service":
        detail = f"in {entry['pool']}"
    owner = entry.get("owner", "-")
    return (
        f"{entry['kind']:8} {entry['name']:32} {entry['revision']:>8}  "
        f"{owner:20} {detail}"
    )


def history_lines(record: dict[str, Any]) -> list[str]:
    """Return the lines for an accepted edit: time, author, id and its changes."""
    timestamp = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(record["made_at"]))
    head = (
        f"{record['revision']:>8}  {timestamp}  {record['author']}  {record['edit_id']}"
    )
    lines = [head]
    for change in record["changes"]:
        verb = "set" if change["after"] else "deleted"
        if change["after"] and not change["before"]:
            verb = "created"
        lines.append(f"          {verb} {change['kind']} {change['name']}")
    if record["omitted"]:
        lines.append(f"          and {record['omitted']} more")
    return lines


def print_in_force(report: dict[str, Any]) -> None:
    """Print how many entry VMs have a revision in force, or which do not."""
    if report["in_force"]:
        count = len(report["revision_by_vm"])
        typer.echo(f"revision {report['revision']} is in force on {count} entry VMs")
        return
    for vm in report["behind"]:
        typer.echo(f"{vm}: at revision {report['revision_by_vm'][vm]}", err=True)
    for vm in report["missing"]:
        typer.echo(f"{vm}: does not answer", err=True)
    if not report["revision_by_vm"] and not report["missing"]:
        typer.echo("no entry VM is known to be live", err=True)
