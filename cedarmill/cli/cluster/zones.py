"""The commands of `cedarmill cluster` on traffic between zones."""

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

FULL_TRUST = 1000  # thousandths of the slots that a zone claims


def _slots(thousandths: int) -> str:
    return f"{thousandths / 1000:.1f}"


@click.command(epilog=EXIT_CODES)
@click.option(
    "--set",
    "path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Replace the layout by the <zones> of a replica's settings.",
)
@click.pass_obj
def zones(console: Console, path: Path | None) -> None:
    """Show demand, capacity and traffic of zones; or replace them.

    What is not as usual with a zone is said with its cause.

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml zones
      cedarmill cluster -c cedarmill.xml zones --set replica-0.xml
    """
    if path is not None:
        from cedarmill.cluster.state_machine import commands

        layout = _read_layout(path)
        console.finish(
            console.submit(lambda operator, number: commands.SetZones(0, operator, number, layout))
        )
    found = console.view("zones")
    console.show(found, _plan_lines(found))


def _read_layout(path: Path) -> "ZoneLayout":
    from cedarmill.cluster.traffic_plan.layout import ZoneLayout
    from cedarmill.conf.cluster import read_replica_settings
    from cedarmill.conf.document import ConfError

    settings = read_replica_settings(path)
    if not settings.regions:
        raise ConfError(f"{path}: no <zones>")
    regions = {name: list(zones) for name, zones in settings.regions.items()}
    return ZoneLayout(regions, settings.costs, settings.safe_share, settings.sheds_load, settings.gossip)


def _plan_lines(found: View) -> Iterator[str]:
    yield f"plan of epoch {found['epoch']}, {found['follow']} of {found['told']} nodes follow it"
    if found["frozen"]:
        yield f"FROZEN by {found['frozen']}"
    if found["doubted"]:
        yield f"NOT BELIEVED: {found['doubted']}"
    for one in found["zones"]:
        yield _zone_line(one)
        yield from (f"{'':16} {why}" for why in _zone_reasons(one))
    if found["missing"]:
        yield f"{_slots(found['missing'])} slots that are wanted find no room: refused where they come"
    for pair, what in found["links"].items():
        yield f"link {pair}: {what}"
    for zone in found["blind"]:
        yield f"observers of {zone} tell nothing, or are ill themselves: its demand is held"
    for group in found["groups"]:
        yield f"executors of {group} fail while the rest of their zone is well"
    for pair in found["cannot"]:
        yield f"a node cannot follow: {pair} is not reached"


def _zone_line(one: View) -> str:
    demand = sum(one["demand"].values())
    shares = ", ".join(f"{zone} {share / 10:g}%" for zone, share in one["shares"].get("any", {}).items())
    return (
        f"{one['zone']:16} {one['region']:12} {one['state']:10} wants {_slots(demand):>7} of "
        f"{_slots(one['slots']):>7} slots, gets {_slots(one['load']):>7} where "
        f"{_slots(one['room']):>7} are safe; sends to {shares or '-'}"
    )


def _zone_reasons(one: View) -> Iterator[str]:
    """What is not as usual with a zone."""
    if one["state"] in ("lost", "ill"):
        yield f"since {one['since_s']} s; it has to be well for {one['dwell_s']:g} s to come back"
    if one["why"]:
        yield f"{one['verdict']}: {one['why']}"
    if one["state"] in ("returning", "leaving"):
        yield f"{one['open'] / 10:g}% of it are open"
    if one["halted"]:
        yield f"evacuation HALTED: {one['halted']}"
    if one["pinned"]:
        yield "pinned: it stays as it is"
    if one["trust"] < FULL_TRUST:
        yield f"{one['trust'] / 10:g}% of the slots that it claims are believed"


def _control(console: Console, action: str, zone: str, over_us: int, why: str) -> "SubmitReply":
    from cedarmill.cluster.state_machine import commands

    return console.submit(
        lambda operator, number: commands.ControlZone(0, operator, number, action, zone, over_us, why)
    )


@click.command(name="evacuate-zone", epilog=EXIT_CODES)
@click.argument("zone")
@click.option(
    "--over", metavar="TIME", default="5min", show_default=True, help="How long the move takes at the least."
)
@click.option("--reason", required=True, help="For the cluster's log.")
@click.option("--watch", is_flag=True, help="Stay till every node has said that it holds nothing there.")
@click.pass_obj
def drain_zone(console: Console, zone: str, over: str, reason: str, watch: bool) -> None:
    """Move all traffic out of ZONE, under a permit.

    It halts by itself where the other zones would not bear it;
    `what-if --lose ZONE` says beforehand whether they would.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml what-if --lose a
    """
    reply = _control(console, "leave", zone, read_duration(over), reason)
    rows = [
        {"permit": p[0], "target": p[1], "state": p[2], "why": p[3], "drained": bool(p[5])}
        for p in reply.permits
    ]
    if watch and reply.ok:
        rows = watch_permits(console, rows)
    state = rows[0]["state"] if rows else "refused"
    text = f"{zone}: {'drained' if rows and rows[0]['drained'] else state}"
    value = {"ok": reply.ok, "text": reply.text, "permits": rows}
    console.show(value, [f"{text} {reply.text}".rstrip()])
    if not reply.ok or state in ("refused", "expired"):
        sys.exit(ExitCode.REFUSED)
    sys.exit(ExitCode.WAITING if state == "waiting" else ExitCode.DONE)


@click.command(name="return-zone", epilog=EXIT_CODES)
@click.argument("zone")
@click.pass_obj
def return_zone(console: Console, zone: str) -> None:
    """Let traffic come back to ZONE, in steps.

    Also while a permit to move it out is still waited for.
    """
    console.finish(_control(console, "stay", zone, 0, "return-zone"))


@click.command(epilog=EXIT_CODES)
@click.argument("zone")
@click.option("--reason", required=True, default="", help="For the cluster's log.")
@click.pass_obj
def pin(console: Console, zone: str, reason: str) -> None:
    """Keep the state of ZONE as it is, whatever nodes see."""
    console.finish(_control(console, "pin", zone, 0, reason))


@click.command(epilog=EXIT_CODES)
@click.argument("zone")
@click.option("--reason", default="", help="For the cluster's log.")
@click.pass_obj
def unpin(console: Console, zone: str, reason: str) -> None:
    """Let ZONE follow what nodes see of it again, after `pin`."""
    console.finish(_control(console, "unpin", zone, 0, reason))


@click.command(name="lost-zone", epilog=EXIT_CODES)
@click.argument("zone")
@click.option("--reason", required=True, default="", help="For the cluster's log.")
@click.pass_obj
def lost_zone(console: Console, zone: str, reason: str) -> None:
    """State that ZONE is lost: its traffic leaves at once.

    For when so many zones seem lost that the cluster does not believe what nodes see.
    """
    console.finish(_control(console, "lost", zone, 0, reason))


@click.command(epilog=EXIT_CODES)
@click.option("--reason", required=True, default="", help="For the cluster's log.")
@click.pass_obj
def freeze(console: Console, reason: str) -> None:
    """Let no traffic move by itself between zones."""
    console.finish(_control(console, "freeze", "", 0, reason))


@click.command(epilog=EXIT_CODES)
@click.option("--reason", default="", help="For the cluster's log.")
@click.pass_obj
def thaw(console: Console, reason: str) -> None:
    """Let traffic move by itself again, after `freeze`."""
    console.finish(_control(console, "thaw", "", 0, reason))


@click.command(name="what-if", epilog=EXIT_CODES)
@click.option("--lose", "zone", default="", metavar="ZONE", help="A zone; without it: as things stand.")
@click.pass_obj
def what_if(console: Console, zone: str) -> None:
    """Show what each zone would get if one were lost.

    Nothing is changed; the exit code is 1 where more slots would be missing than now.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml what-if --lose a
    """
    found = console.view("what-if", names=(zone,))
    if "error" in found:
        console.show(found, [found["error"]])
        sys.exit(ExitCode.REFUSED)
    console.show(found, _what_if_lines(found))
    sys.exit(ExitCode.REFUSED if found["missing"] > found["missing_now"] else ExitCode.DONE)


def _what_if_lines(found: View) -> Iterator[str]:
    for name, one in found["zones"].items():
        yield (
            f"{name:16} now {_slots(one['now']):>7}, then {_slots(one['then']):>7} of "
            f"{_slots(one['room']):>7} safe slots"
        )
    yield f"missing: {_slots(found['missing'])} slots (now {_slots(found['missing_now'])})"


COMMANDS = (zones, drain_zone, return_zone, pin, unpin, lost_zone, freeze, thaw, what_if)
