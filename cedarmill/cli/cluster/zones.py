"""The commands of `cedarmill cluster` for traffic between zones."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console, ExitCode, View, read_duration
from cedarmill.cli.cluster.drains import watch_permits

if TYPE_CHECKING:
    from cedarmill.cluster.messages import SubmitReply
    from cedarmill.cluster.traffic_plan.layout import ZoneLayout

FULL_CREDIT = 1000  # thousandths of the slots that a zone reports


def _decimal(thousandths: int) -> str:
    return f"{thousandths / 1000:.1f}"


@click.command(epilog=EXIT_CODES)
@click.option(
    "--set",
    "path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Replace the zone layout by element <zones> of a replica's settings.",
)
@click.pass_obj
def zones(console: Console, path: Path | None) -> None:
    """Show demand, capacity and traffic of zones, or replace them.

    Anomalies of a zone are shown with their causes.

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml zones
      cedarmill cluster -c cedarmill.xml zones --set replica-0.xml
    """
    if path is not None:
        from cedarmill.cluster.state_machine import commands

        layout = _read_layout(path)
        console.print_reply_and_exit(
            console.submit(lambda operator, request_id: commands.SetZones(0, operator, request_id, layout))
        )
    plan = console.read_view("zones")
    console.print_result(plan, _plan_lines(plan))


def _read_layout(path: Path) -> "ZoneLayout":
    from cedarmill.cluster.traffic_plan.layout import ZoneLayout
    from cedarmill.conf.cluster import read_replica_settings
    from cedarmill.conf.document import ConfError

    settings = read_replica_settings(path)
    if not settings.regions:
        raise ConfError(f"{path}: element <zones> is missing")
    regions = {name: list(zones) for name, zones in settings.regions.items()}
    return ZoneLayout(regions, settings.costs, settings.safe_share, settings.sheds_load, settings.gossip)


def _plan_lines(plan: View) -> Iterator[str]:
    yield f"plan of epoch {plan['epoch']}, {plan['follow']} of {plan['told']} nodes follow it"
    if plan["frozen"]:
        yield f"FROZEN by {plan['frozen']}"
    if plan["doubted"]:
        yield f"NOT BELIEVED: {plan['doubted']}"
    for row in plan["zones"]:
        yield _zone_line(row)
        yield from (f"{'':16} {reason}" for reason in _zone_reasons(row))
    if plan["missing"]:
        yield f"{_decimal(plan['missing'])} slots that are wanted find no room: refused where they come"
    for zone_pair, link_state in plan["links"].items():
        yield f"link {zone_pair}: {link_state}"
    for zone in plan["blind"]:
        yield f"observers of {zone} tell nothing, or are ill themselves: its demand is held"
    for group in plan["groups"]:
        yield f"executors of {group} fail while the rest of their zone is well"
    for zone_pair in plan["cannot"]:
        yield f"a node cannot follow: {zone_pair} is not reached"


def _zone_line(row: View) -> str:
    demand = sum(row["demand"].values())
    shares = ", ".join(f"{zone} {share / 10:g}%" for zone, share in row["shares"].get("any", {}).items())
    return (
        f"{row['zone']:16} {row['region']:12} {row['state']:10} wants {_decimal(demand):>7} of "
        f"{_decimal(row['slots']):>7} slots, gets {_decimal(row['load']):>7} where "
        f"{_decimal(row['room']):>7} are safe; sends to {shares or '-'}"
    )


def _zone_reasons(row: View) -> Iterator[str]:
    """Return lines on the anomalies of a zone."""
    if row["state"] in ("lost", "ill"):
        yield f"since {row['since_s']} s; it has to be well for {row['dwell_s']:g} s to come back"
    if row["why"]:
        yield f"{row['verdict']}: {row['why']}"
    if row["state"] in ("returning", "leaving"):
        yield f"{row['open'] / 10:g}% of it are open"
    if row["halted"]:
        yield f"evacuation HALTED: {row['halted']}"
    if row["pinned"]:
        yield "pinned: it stays as it is"
    if row["trust"] < FULL_CREDIT:
        yield f"{row['trust'] / 10:g}% of the slots that it claims are believed"


def _submit_zone_control(console: Console, action: str, zone: str, over_us: int, why: str) -> "SubmitReply":
    from cedarmill.cluster.state_machine import commands

    return console.submit(
        lambda operator, request_id: commands.ControlZone(0, operator, request_id, action, zone, over_us, why)
    )


@click.command(name="evacuate-zone", epilog=EXIT_CODES)
@click.argument("zone")
@click.option(
    "--over", metavar="TIME", default="5min", show_default=True, help="Minimum duration of the move."
)
@click.option("--reason", required=True, help="Reason, for the cluster's log.")
@click.option(
    "--watch", is_flag=True, help="Wait until every node has confirmed that it holds no work there."
)
@click.pass_obj
def drain_zone(console: Console, zone: str, over: str, reason: str, watch: bool) -> None:
    """Move all traffic out of ZONE, under a permit.

    The move halts automatically if the other zones lack the capacity; `what-if --lose ZONE` checks the
    capacity beforehand.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml what-if --lose a
    """
    reply = _submit_zone_control(console, "leave", zone, read_duration(over), reason)
    rows = [
        {"permit": p[0], "target": p[1], "state": p[2], "why": p[3], "drained": bool(p[5])}
        for p in reply.permits
    ]
    if watch and reply.ok:
        rows = watch_permits(console, rows)
    state = rows[0]["state"] if rows else "refused"
    text = f"{zone}: {'drained' if rows and rows[0]['drained'] else state}"
    result = {"ok": reply.ok, "text": reply.text, "permits": rows}
    console.print_result(result, [f"{text} {reply.text}".rstrip()])
    if not reply.ok or state in ("refused", "expired"):
        sys.exit(ExitCode.REFUSED)
    sys.exit(ExitCode.WAITING if state == "waiting" else ExitCode.DONE)


@click.command(name="return-zone", epilog=EXIT_CODES)
@click.argument("zone")
@click.pass_obj
def return_zone(console: Console, zone: str) -> None:
    """Return traffic to ZONE, in steps.

    This also works while the request to move traffic out still waits for a permit.
    """
    console.print_reply_and_exit(_submit_zone_control(console, "stay", zone, 0, "return-zone"))


@click.command(epilog=EXIT_CODES)
@click.argument("zone")
@click.option("--reason", required=True, default="", help="Reason, for the cluster's log.")
@click.pass_obj
def pin(console: Console, zone: str, reason: str) -> None:
    """Pin the state of ZONE, regardless of what nodes observe."""
    console.print_reply_and_exit(_submit_zone_control(console, "pin", zone, 0, reason))


@click.command(epilog=EXIT_CODES)
@click.argument("zone")
@click.option("--reason", default="", help="Reason, for the cluster's log.")
@click.pass_obj
def unpin(console: Console, zone: str, reason: str) -> None:
    """Let the state of ZONE follow nodes' observations, after `pin`."""
    console.print_reply_and_exit(_submit_zone_control(console, "unpin", zone, 0, reason))


@click.command(name="lost-zone", epilog=EXIT_CODES)
@click.argument("zone")
@click.option("--reason", required=True, default="", help="Reason, for the cluster's log.")
@click.pass_obj
def lost_zone(console: Console, zone: str, reason: str) -> None:
    """Declare ZONE lost: its traffic leaves at once.

    Needed when so many zones seem lost that the cluster ignores what nodes observe.
    """
    console.print_reply_and_exit(_submit_zone_control(console, "lost", zone, 0, reason))


@click.command(epilog=EXIT_CODES)
@click.option("--reason", required=True, default="", help="Reason, for the cluster's log.")
@click.pass_obj
def freeze(console: Console, reason: str) -> None:
    """Stop automatic moves of traffic between zones."""
    console.print_reply_and_exit(_submit_zone_control(console, "freeze", "", 0, reason))


@click.command(epilog=EXIT_CODES)
@click.option("--reason", default="", help="Reason, for the cluster's log.")
@click.pass_obj
def thaw(console: Console, reason: str) -> None:
    """Allow automatic moves of traffic again, after `freeze`."""
    console.print_reply_and_exit(_submit_zone_control(console, "thaw", "", 0, reason))


@click.command(name="what-if", epilog=EXIT_CODES)
@click.option("--lose", "zone", default="", metavar="ZONE", help="Zone assumed to be lost; default: none.")
@click.pass_obj
def what_if(console: Console, zone: str) -> None:
    """Show the load of each zone if one zone were lost.

    Nothing is changed. The exit code is 1 if more slots would be missing than now.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml what-if --lose a
    """
    forecast = console.read_view("what-if", names=(zone,))
    if "error" in forecast:
        console.print_result(forecast, [forecast["error"]])
        sys.exit(ExitCode.REFUSED)
    console.print_result(forecast, _what_if_lines(forecast))
    sys.exit(ExitCode.REFUSED if forecast["missing"] > forecast["missing_now"] else ExitCode.DONE)


def _what_if_lines(forecast: View) -> Iterator[str]:
    for name, slots in forecast["zones"].items():
        yield (
            f"{name:16} now {_decimal(slots['now']):>7}, then {_decimal(slots['then']):>7} of "
            f"{_decimal(slots['room']):>7} safe slots"
        )
    yield f"missing: {_decimal(forecast['missing'])} slots (now {_decimal(forecast['missing_now'])})"


COMMANDS = (zones, drain_zone, return_zone, pin, unpin, lost_zone, freeze, thaw, what_if)
