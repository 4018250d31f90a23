"""`cedarmill cluster drain|undrain|say`: taking targets out of service under the cluster's limits."""

import sys
import time
from collections.abc import Iterator
from typing import Any

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console, ExitCode, View, read_duration

POLL_INTERVAL_S = 0.5
UNFINISHED_STATES = ("waiting", "granted", "lost")
"""States of a permit that can still change."""

_STORED_KINDS = {"replica": "keeper"}
"""Maps a kind to its name in the replicated log, where the two differ."""

_KIND_OPTION = click.option(
    "--kind",
    type=click.Choice(["executor", "node", "replica", "keeper"]),
    default="executor",
    show_default=True,
    help="Kind of the targets; keeper is the old word for replica.",
)


@click.command(epilog=EXIT_CODES)
@click.argument("names", nargs=-1, required=True, metavar="NAME...")
@_KIND_OPTION
@click.option("--reason", default="", help="Reason, for the cluster's log.")
@click.option(
    "--priority",
    type=click.IntRange(-100, 100),
    default=0,
    show_default=True,
    help="Among waiting requests, the highest priority is granted first.",
)
@click.option(
    "--wait",
    metavar="TIME",
    default="10min",
    show_default=True,
    help="How long the request may wait for a permit.",
)
@click.option("--dry-run", is_flag=True, help="Print what would be granted now, and the reasons against it.")
@click.option("--watch", is_flag=True, help="Wait until each target is drained or refused.")
@click.pass_obj
def drain(
    console: Console,
    names: tuple[str, ...],
    kind: str,
    reason: str,
    priority: int,
    wait: str,
    dry_run: bool,
    watch: bool,
) -> None:
    """Take each NAME out of service, under the limits.

    Each target is granted a permit, waits for one or is refused on its own. A target is drained when every
    node has confirmed that it holds no work there.

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml drain executor-7 --reason "new disk" --dry-run
      cedarmill cluster -c cedarmill.xml drain node-3 node-4 --kind node --reason kernel --watch
    """
    from cedarmill.cluster.state_machine import commands

    kind = _STORED_KINDS.get(kind, kind)
    if dry_run:
        sys.exit(_print_dry_run(console, names, kind))
    wait_us = read_duration(wait)
    reply = console.submit(
        lambda operator, request_id: commands.RequestPermits(
            0, operator, request_id, kind, names, reason, priority, wait_us
        )
    )
    rows = permit_rows(reply.permits)
    if watch:
        rows = watch_permits(console, rows)
    console.print_result(rows, map(_permit_line, rows))
    sys.exit(_permits_exit_code(rows))


def _permits_exit_code(rows: list[View]) -> ExitCode:
    """Return the exit code for the worst state among the permits."""
    states = {row["state"] for row in rows}
    if states & {"refused", "expired"}:
        return ExitCode.REFUSED
    return ExitCode.WAITING if "waiting" in states else ExitCode.DONE


def permit_rows(permits: list[Any]) -> list[View]:
    """Convert the permits of a reply (`messages.PermitSummary`) to rows for JSON output."""
    return [
        {"permit": p[0], "target": p[1], "state": p[2], "why": p[3], "epoch": p[4], "drained": bool(p[5])}
        for p in permits
    ]


def _permit_line(row: View) -> str:
    state = "drained" if row["drained"] else row["state"]
    return f"{row['target']}: {state} (permit {row['permit']}) {'; '.join(row['why'])}".rstrip()


def _print_dry_run(console: Console, names: tuple[str, ...], kind: str) -> ExitCode:
    """Print the forecast for each target; return the exit code for the worst verdict."""
    forecasts = console.read_view("would", kind, names)
    console.print_result(forecasts, _forecast_lines(forecasts))
    verdicts = {forecast["verdict"] for forecast in forecasts}
    if "never" in verdicts:
        return ExitCode.REFUSED
    return ExitCode.WAITING if "later" in verdicts else ExitCode.DONE


def _forecast_lines(forecasts: list[View]) -> Iterator[str]:
    texts = {"now": "would be granted", "later": "would wait", "never": "would be refused"}
    for forecast in forecasts:
        yield f"{forecast['target']}: {texts[forecast['verdict']]} {'; '.join(forecast['reasons'])}".rstrip()


def watch_permits(console: Console, rows: list[View]) -> list[View]:
    """Poll permits until each is drained or finished, and print each change unless --json is given."""
    printed_lines: dict[int, str] = {}
    while True:
        permits = console.read_view("permits", names=tuple(str(row["permit"]) for row in rows))
        permits_by_id = {permit["id"]: permit for permit in permits}
        for row in rows:
            if (permit := permits_by_id.get(row["permit"])) is None:
                continue
            row |= {"state": permit["state"], "why": permit["notes"]}
            row |= {"drained": bool(permit["drained"]), "need": permit["need"]}
            line = _permit_line(row) + (f" waits for {', '.join(permit['need'])}" if permit["need"] else "")
            if printed_lines.get(row["permit"]) != line and not console.as_json:
                printed_lines[row["permit"]] = line
                click.echo(line)
        if all(row["drained"] or row["state"] not in UNFINISHED_STATES for row in rows):
            return rows
        time.sleep(POLL_INTERVAL_S)


@click.command(epilog=EXIT_CODES)
@click.argument("name")
@_KIND_OPTION
@click.pass_obj
def undrain(console: Console, name: str, kind: str) -> None:
    """Put NAME back into service, or stop waiting for a permit.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml undrain executor-7
    """
    from cedarmill.cluster.state_machine import commands

    kind = _STORED_KINDS.get(kind, kind)
    console.print_reply_and_exit(
        console.submit(
            lambda operator, request_id: commands.ReturnPermit(0, operator, request_id, kind, name)
        )
    )


@click.command(epilog=EXIT_CODES)
@click.argument("statement", type=click.Choice(["drained", "ended", "found", "forget", "go-on"]))
@click.argument("name", default="")
@click.option("--reason", required=True, help="Evidence, for the cluster's log.")
@click.pass_obj
def say(console: Console, statement: str, name: str, reason: str) -> None:
    """State a fact that no process can prove.

    The cluster accepts the statement at once.

    \b
    drained  NAME holds no work; work on nodes that are cut off is disregarded
    ended    the member NAME has stopped, its machine is off
    found    the lost target NAME is available again
    forget   the target NAME will not come back
    go-on    grant permits again after a halt; takes no NAME

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml say ended node-3 --reason "power is off"
      cedarmill cluster -c cedarmill.xml say go-on --reason "discovery was restarted"
    """
    from cedarmill.cluster.state_machine import commands

    console.print_reply_and_exit(
        console.submit(
            lambda operator, request_id: commands.OperatorStatement(
                0, operator, request_id, statement, name, reason
            )
        )
    )


COMMANDS = (drain, undrain, say)
