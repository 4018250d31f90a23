"""The commands `cedarmill cluster status|members|targets|permits|log|limits`: the replicated state."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console, View

if TYPE_CHECKING:
    from cedarmill.cluster.state import Limit

MAX_UNREPORTED_SILENCE_S = 1


@click.command(epilog=EXIT_CODES)
@click.pass_obj
def status(console: Console) -> None:
    """Show the leader, targets out of service, and halted operations.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml status
    """
    view = console.read_view("status")
    console.print_result(view, _status_lines(view))


def _status_lines(view: View) -> Iterator[str]:
    yield f"cluster {view['cluster']}, generation {view['generation']}"
    yield f"leader {view['leader']}, term {view['term']}, agreed up to entry {view['agreed']}"
    for name, replica in view["keepers"].items():
        silence_s = replica.get("silent_s")
        yield (
            f"  {name} at {replica['address']}: {'votes' if replica['votes'] else 'is brought up to date'}"
            + (f", silent for {silence_s} s" if silence_s and silence_s > MAX_UNREPORTED_SILENCE_S else "")
        )
    yield f"members: {view['members']['node']} nodes, {view['members']['steward']} stewards"
    yield f"out by permit: {', '.join(view['out']) or 'nothing'}; {view['waiting']} wait"
    if view["halted"]:
        yield f"HALTED: {view['halted']}"


@click.command(epilog=EXIT_CODES)
@click.pass_obj
def members(console: Console) -> None:
    """List nodes and process supervisors with their states.

    The state is live, silent, cut off or ended; the time since the last message is shown with each.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml members
    """
    member_rows = console.read_view("members")
    console.print_result(member_rows, _member_lines(member_rows))


def _member_lines(member_rows: list[View]) -> Iterator[str]:
    for member in sorted(member_rows, key=lambda row: (row["kind"], row["name"], row["joined"])):
        yield (
            f"{member['kind']:8} {member['name']:20} {member['life']:14} {member['state']:8} "
            f"zone {member['zone'] or '-'}"
            f" heard {member['heard_s']} s ago"
        )


@click.command(epilog=EXIT_CODES)
@click.pass_obj
def targets(console: Console) -> None:
    """List the targets that can be drained, with their health.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml targets
    """
    target_rows = console.read_view("targets")
    console.print_result(target_rows, _target_lines(target_rows))


def _target_lines(target_rows: list[View]) -> Iterator[str]:
    for target in target_rows:
        yield (
            f"{target['kind']:8} {target['name']:20} {target['health']:8} zone {target['zone'] or '-'} type "
            f"{target['type'] or '-'} slots {target['slots']}"
        )


@click.command(epilog=EXIT_CODES)
@click.pass_obj
def permits(console: Console) -> None:
    """List permits, granted and waiting, with their reasons.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml permits
    """
    permit_rows = console.read_view("permits")
    console.print_result(permit_rows, _permit_lines(permit_rows))


def _permit_lines(permit_rows: list[View]) -> Iterator[str]:
    for permit in permit_rows:
        state = "drained" if permit["drained"] and permit["state"] == "granted" else permit["state"]
        waits_for = permit["need"] if permit["state"] in ("granted", "lost") else ()
        need_text = f" waits for {', '.join(waits_for)}" if waits_for else ""
        yield (
            f"{permit['id']:4} {permit['kind']:8} {permit['target']:16} {state:9} {permit['holder']:16} "
            f"{permit['age_s']} s"
            f"{need_text} {'; '.join(permit['notes'])}"
        )


@click.command(epilog=EXIT_CODES)
@click.pass_obj
def log(console: Console) -> None:
    """Print the newest lines of the cluster's log for operators.

    Each line names a decision, its author and the reason.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml log
    """
    log_lines = console.read_view("log")
    console.print_result(log_lines, log_lines)


@click.command(epilog=EXIT_CODES)
@click.option(
    "--set",
    "path",
    type=click.Path(dir_okay=False),
    help="Replace all limits by the <limit> elements of a replica's settings.",
)
@click.pass_obj
def limits(console: Console, path: str | None) -> None:
    """Show or replace the limits on concurrent drains.

    Each limit is shown with the targets out of service under it, by permit or otherwise.

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml limits
      cedarmill cluster -c cedarmill.xml limits --set replica-0.xml
    """
    from cedarmill.cluster.state_machine import commands

    if path is None:
        limit_rows = console.read_view("limits")
        console.print_result(limit_rows, _limit_lines(limit_rows))
        return
    new_limits = _read_limits(path)
    reply = console.submit(
        lambda operator, request_id: commands.SetLimits(0, operator, request_id, new_limits)
    )
    console.print_result({"ok": reply.ok, "text": reply.text}, [reply.text])


def _read_limits(path: str) -> "tuple[Limit, ...]":
    from cedarmill.cluster.state import Limit
    from cedarmill.conf.cluster import read_replica_settings

    return tuple(
        Limit(limit.kind, limit.per, limit.most, limit.share, limit.capacity_left)
        for limit in read_replica_settings(path).limits
    )


def _limit_lines(limit_rows: list[View]) -> Iterator[str]:
    for limit in limit_rows:
        scope = f" {limit['scope']}" if limit["scope"] else ""
        yield f"{limit['limit']}{scope}: {limit['out']:g} of {limit['of']} out, {limit['allowed']} allowed"


COMMANDS = (status, members, targets, permits, log, limits)
