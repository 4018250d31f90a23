"""`cedarmill cluster status|members|targets|permits|log|limits`: what the replicas agree on."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console, View

if TYPE_CHECKING:
    from cedarmill.cluster.state import Limit

SILENT_S = 1  # a replica that has been silent for longer is said to be


@click.command(epilog=EXIT_CODES)
@click.pass_obj
def status(console: Console) -> None:
    """Show who leads, what is out of service, and what is halted.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml status
    """
    found = console.view("status")
    console.show(found, _status_lines(found))


def _status_lines(found: View) -> Iterator[str]:
    yield f"cluster {found['cluster']}, generation {found['generation']}"
    yield f"leader {found['leader']}, term {found['term']}, agreed up to entry {found['agreed']}"
    for name, one in found["keepers"].items():
        silent = one.get("silent_s")
        yield f"  {name} at {one['address']}: {'votes' if one['votes'] else 'is brought up to date'}" + (
            f", silent for {silent} s" if silent and silent > SILENT_S else ""
        )
    yield f"members: {found['members']['node']} nodes, {found['members']['steward']} stewards"
    yield f"out by permit: {', '.join(found['out']) or 'nothing'}; {found['waiting']} wait"
    if found["halted"]:
        yield f"HALTED: {found['halted']}"


@click.command(epilog=EXIT_CODES)
@click.pass_obj
def members(console: Console) -> None:
    """List nodes and process supervisors, and who of them is there.

    Each is live, silent, cut off or ended, with the time since it was heard last.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml members
    """
    found = console.view("members")
    console.show(found, _member_lines(found))


def _member_lines(found: list[View]) -> Iterator[str]:
    for one in sorted(found, key=lambda one: (one["kind"], one["name"], one["joined"])):
        yield (
            f"{one['kind']:8} {one['name']:20} {one['life']:14} {one['state']:8} "
            f"zone {one['zone'] or '-'}"
            f" heard {one['heard_s']} s ago"
        )


@click.command(epilog=EXIT_CODES)
@click.pass_obj
def targets(console: Console) -> None:
    """List what may be taken out of service, with its health.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml targets
    """
    found = console.view("targets")
    console.show(found, _target_lines(found))


def _target_lines(found: list[View]) -> Iterator[str]:
    for one in found:
        yield (
            f"{one['kind']:8} {one['name']:20} {one['health']:8} zone {one['zone'] or '-'} type "
            f"{one['type'] or '-'} slots {one['slots']}"
        )


@click.command(epilog=EXIT_CODES)
@click.pass_obj
def permits(console: Console) -> None:
    """List permits: what is out of service or waits, and why.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml permits
    """
    found = console.view("permits")
    console.show(found, _permit_lines(found))


def _permit_lines(found: list[View]) -> Iterator[str]:
    for one in found:
        state = "drained" if one["drained"] and one["state"] == "granted" else one["state"]
        waits_for = one["need"] if one["state"] in ("granted", "lost") else ()
        need = f" waits for {', '.join(waits_for)}" if waits_for else ""
        yield (
            f"{one['id']:4} {one['kind']:8} {one['target']:16} {state:9} {one['holder']:16} "
            f"{one['age_s']} s"
            f"{need} {'; '.join(one['notes'])}"
        )


@click.command(epilog=EXIT_CODES)
@click.pass_obj
def log(console: Console) -> None:
    """Print the newest lines of the cluster's log for operators.

    It says what was decided, by whom, and why.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml log
    """
    found = console.view("log")
    console.show(found, found)


@click.command(epilog=EXIT_CODES)
@click.option(
    "--set",
    "path",
    type=click.Path(dir_okay=False),
    help="Replace all limits by the <limit>s of a replica's settings.",
)
@click.pass_obj
def limits(console: Console, path: str | None) -> None:
    """Show or replace the limits on what may be out at once.

    Each limit is shown with what is out of service under it, by permit or otherwise.

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml limits
      cedarmill cluster -c cedarmill.xml limits --set replica-0.xml
    """
    from cedarmill.cluster.state_machine import commands

    if path is None:
        found = console.view("limits")
        console.show(found, _limit_lines(found))
        return
    wanted = _read_limits(path)
    reply = console.submit(lambda operator, number: commands.SetLimits(0, operator, number, wanted))
    console.show({"ok": reply.ok, "text": reply.text}, [reply.text])


def _read_limits(path: str) -> "tuple[Limit, ...]":
    from cedarmill.cluster.state import Limit
    from cedarmill.conf.cluster import read_replica_settings

    return tuple(
        Limit(one.kind, one.per, one.most, one.share, one.capacity_left)
        for one in read_replica_settings(path).limits
    )


def _limit_lines(found: list[View]) -> Iterator[str]:
    for one in found:
        scope = f" {one['scope']}" if one["scope"] else ""
        yield f"{one['limit']}{scope}: {one['out']:g} of {one['of']} out, {one['allowed']} allowed"


COMMANDS = (status, members, targets, permits, log, limits)
