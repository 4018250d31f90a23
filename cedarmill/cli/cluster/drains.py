"""`cedarmill cluster drain|undrain|say`: taking targets out of service under the cluster's limits."""

import sys
import time
from collections.abc import Iterator
from typing import Any

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console, ExitCode, View, read_duration

WATCH_S = 0.5
UNDER_WAY = ("waiting", "granted", "lost")
"""States of a permit that has not come to its end."""

_OLD_KINDS = {"replica": "keeper"}
"""Kinds as the replicated log holds them, where that is an older word."""

_KIND = click.option(
    "--kind",
    type=click.Choice(["executor", "node", "replica", "keeper"]),
    default="executor",
    show_default=True,
    help="What the names are of; keeper is the old word for replica.",
)


@click.command(epilog=EXIT_CODES)
@click.argument("names", nargs=-1, required=True, metavar="NAME...")
@_KIND
@click.option("--reason", default="", help="For the cluster's log.")
@click.option(
    "--priority",
    type=click.IntRange(-100, 100),
    default=0,
    show_default=True,
    help="Of those that wait, the highest is granted first.",
)
@click.option(
    "--wait",
    metavar="TIME",
    default="10min",
    show_default=True,
    help="How long the request may wait for room.",
)
@click.option("--dry-run", is_flag=True, help="Say what would be granted now, and what stands in the way.")
@click.option("--watch", is_flag=True, help="Stay till each is drained, or refused.")
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

    Each gets a permit, waits for one or is refused by itself. A target is drained when every node has said
    that it holds nothing there any more.

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml drain executor-7 --reason "new disk" --dry-run
      cedarmill cluster -c cedarmill.xml drain node-3 node-4 --kind node --reason kernel --watch
    """
    from cedarmill.cluster.state_machine import commands

    kind = _OLD_KINDS.get(kind, kind)
    if dry_run:
        sys.exit(_dry_run(console, names, kind))
    wait_us = read_duration(wait)
    reply = console.submit(
        lambda operator, number: commands.RequestPermits(
            0, operator, number, kind, names, reason, priority, wait_us
        )
    )
    rows = permit_rows(reply.permits)
    if watch:
        rows = watch_permits(console, rows)
    console.show(rows, map(_permit_line, rows))
    sys.exit(_exit_code(rows))


def _exit_code(rows: list[View]) -> ExitCode:
    """The code that says the worst of what became of permits."""
    states = {row["state"] for row in rows}
    if states & {"refused", "expired"}:
        return ExitCode.REFUSED
    return ExitCode.WAITING if "waiting" in states else ExitCode.DONE


def permit_rows(permits: list[Any]) -> list[View]:
    """The permits of a reply (`messages.PermitSummary`), as they are printed in JSON."""
    return [
        {"permit": p[0], "target": p[1], "state": p[2], "why": p[3], "epoch": p[4], "drained": bool(p[5])}
        for p in permits
    ]


def _permit_line(row: View) -> str:
    state = "drained" if row["drained"] else row["state"]
    return f"{row['target']}: {state} (permit {row['permit']}) {'; '.join(row['why'])}".rstrip()


def _dry_run(console: Console, names: tuple[str, ...], kind: str) -> ExitCode:
    """Print what would become of each; the exit code that says the worst of it."""
    found = console.view("would", kind, names)
    console.show(found, _verdict_lines(found))
    verdicts = {one["verdict"] for one in found}
    if "never" in verdicts:
        return ExitCode.REFUSED
    return ExitCode.WAITING if "later" in verdicts else ExitCode.DONE


def _verdict_lines(found: list[View]) -> Iterator[str]:
    texts = {"now": "would be granted", "later": "would wait", "never": "would be refused"}
    for one in found:
        yield f"{one['target']}: {texts[one['verdict']]} {'; '.join(one['reasons'])}".rstrip()


def watch_permits(console: Console, rows: list[View]) -> list[View]:
    """Look at permits till each is drained or has ended; a line for each change, unless JSON is asked for."""
    printed: dict[int, str] = {}
    while True:
        found = console.view("permits", names=tuple(str(row["permit"]) for row in rows))
        by_id = {one["id"]: one for one in found}
        for row in rows:
            if (one := by_id.get(row["permit"])) is None:
                continue
            row |= {"state": one["state"], "why": one["notes"]}
            row |= {"drained": bool(one["drained"]), "need": one["need"]}
            line = _permit_line(row) + (f" waits for {', '.join(one['need'])}" if one["need"] else "")
            if printed.get(row["permit"]) != line and not console.as_json:
                printed[row["permit"]] = line
                click.echo(line)
        if all(row["drained"] or row["state"] not in UNDER_WAY for row in rows):
            return rows
        time.sleep(WATCH_S)


@click.command(epilog=EXIT_CODES)
@click.argument("name")
@_KIND
@click.pass_obj
def undrain(console: Console, name: str, kind: str) -> None:
    """Put NAME back into service, or stop waiting for a permit.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml undrain executor-7
    """
    from cedarmill.cluster.state_machine import commands

    kind = _OLD_KINDS.get(kind, kind)
    console.finish(
        console.submit(lambda operator, number: commands.ReturnPermit(0, operator, number, kind, name))
    )


@click.command(epilog=EXIT_CODES)
@click.argument("what", type=click.Choice(["drained", "ended", "found", "forget", "go-on"]))
@click.argument("name", default="")
@click.option("--reason", required=True, help="How you know, for the cluster's log.")
@click.pass_obj
def say(console: Console, what: str, name: str, reason: str) -> None:
    """State what no process can prove.

    The cluster takes it for a fact at once.

    \b
    drained  NAME holds no work any more, whatever nodes that are cut off may hold
    ended    the member NAME has ended, its machine is off
    found    the target NAME, which was lost, is there again
    forget   the target NAME will not come back
    go-on    grant permits again after a halt; takes no NAME

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml say ended node-3 --reason "power is off"
      cedarmill cluster -c cedarmill.xml say go-on --reason "discovery was restarted"
    """
    from cedarmill.cluster.state_machine import commands

    console.finish(
        console.submit(
            lambda operator, number: commands.OperatorStatement(0, operator, number, what, name, reason)
        )
    )


COMMANDS = (drain, undrain, say)
