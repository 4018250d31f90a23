"""`cedarmill fleet zones|evacuate-zone|return-zone|pin|unpin|lost-zone|freeze|thaw|what-if`."""

import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import click

from cedarmill.cli.cluster import EXITS, REFUSED, WAITS, Asker, _duration, _tell, _watch_permits, fleet


def _slots(thousandths: int) -> str:
    return f"{thousandths / 1000:.1f}"


def _zone_lines(found: dict) -> Iterator[str]:
    yield f"plan of epoch {found['epoch']}, {found['follow']} of {found['told']} nodes follow it"
    if found["frozen"]:
        yield f"FROZEN by {found['frozen']}"
    if found["doubted"]:
        yield f"NOT BELIEVED: {found['doubted']}"
    for one in found["zones"]:
        demand = sum(one["demand"].values())
        row = one["shares"].get("any", {})
        shares = ", ".join(f"{zone} {part / 10:g}%" for zone, part in row.items())
        yield (f"{one['zone']:16} {one['region']:12} {one['state']:10} wants {_slots(demand):>7} of "
               f"{_slots(one['slots']):>7} slots, gets {_slots(one['load']):>7} where "
               f"{_slots(one['room']):>7} are safe; sends to {shares or '-'}")  # fmt: skip
        yield from (f"{'':16} {why}" for why in _why(one))
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


def _why(one: dict) -> Iterator[str]:
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
    if one["trust"] < 1000:
        yield f"{one['trust'] / 10:g}% of the slots that it claims are believed"


@fleet.command(epilog=EXITS)
@click.option("--set", "path", type=click.Path(dir_okay=False, path_type=Path),
              help="Lay the zones anew, by the <zones> of a keeper.xml.")  # fmt: skip
@click.pass_obj
def zones(asker: Asker, path: Path | None) -> None:
    """Demand, capacity and shares of each zone, and why they are so; or lay the zones anew."""
    if path is not None:
        from cedarmill.cluster.state_machine import commands
        from cedarmill.cluster.traffic_plan.layout import ZoneLayout
        from cedarmill.conf.cluster import read_replica_settings
        from cedarmill.conf.document import ConfError

        read = read_replica_settings(path)
        if not read.regions:
            raise ConfError(f"{path}: no <zones>")
        regions = {name: list(zones) for name, zones in read.regions.items()}
        layout = ZoneLayout(regions, read.costs, read.safe_share, read.sheds_load, read.gossip)
        _tell(asker, asker.do(lambda who, number: commands.SetZones(0, who, number, layout)))
    found = asker.look("zones")
    asker.show(found, lambda: _zone_lines(found))


def _act(asker: Asker, act: str, zone: str, over: int, why: str) -> Any:
    from cedarmill.cluster.state_machine import commands

    return asker.do(lambda who, number: commands.ControlZone(0, who, number, act, zone, over, why))


@fleet.command(name="evacuate-zone", epilog=EXITS)
@click.argument("zone")
@click.option("--over", default="5min", show_default=True, help="How long the move takes at the least.")
@click.option("--reason", required=True, help="For the log.")
@click.option("--watch", is_flag=True, help="Stay till every node has said that it has nothing there.")
@click.pass_obj
def evacuate_zone(asker: Asker, zone: str, over: str, reason: str, watch: bool) -> None:
    """Move all traffic out of a zone, under a permit; halted by itself where the others would not bear it."""
    did = _act(asker, "leave", zone, _duration(over), reason)
    rows = [{"permit": p[0], "target": p[1], "state": p[2], "why": p[3], "drained": bool(p[5])}
            for p in did.permits]  # fmt: skip
    if watch and did.ok:
        rows = _watch_permits(asker, rows)
    state = rows[0]["state"] if rows else "refused"
    text = f"{zone}: {'drained' if rows and rows[0]['drained'] else state}"
    value = {"ok": did.ok, "text": did.text, "permits": rows}
    asker.show(value, lambda: iter([f"{text} {did.text}".rstrip()]))
    sys.exit(REFUSED if not did.ok or state in ("refused", "expired") else WAITS if state == "waiting" else 0)


@fleet.command(name="return-zone", epilog=EXITS)
@click.argument("zone")
@click.pass_obj
def return_zone(asker: Asker, zone: str) -> None:
    """Let an evacuated zone come back, in steps; or no longer wait to evacuate it."""
    _tell(asker, _act(asker, "stay", zone, 0, "return-zone"))


def _word(name: str, act: str, text: str, takes_zone: bool) -> None:
    """One command for each word about a zone, or about the plan."""

    @click.option("--reason", required=act not in ("unpin", "thaw"), default="", help="For the log.")
    @click.pass_obj
    def command(asker: Asker, reason: str, zone: str = "") -> None:
        _tell(asker, _act(asker, act, zone, 0, reason))

    command.__doc__ = text
    made: Callable = click.argument("zone")(command) if takes_zone else command
    fleet.command(name=name, epilog=EXITS)(made)


_word("pin", "pin", "Keep a zone's state as it is, whatever is seen of it.", True)
_word("unpin", "unpin", "Let news of a zone count again.", True)
_word("lost-zone", "lost", "Say that a zone is lost, where news alone are not believed.", True)
_word("freeze", "freeze", "Let nothing move by itself: the plan stays as it is.", False)
_word("thaw", "thaw", "Let traffic move by itself again.", False)


@fleet.command(name="what-if", epilog=EXITS)
@click.option("--lose", "zone", default="", help="A zone; without it: as things stand.")
@click.pass_obj
def what_if(asker: Asker, zone: str) -> None:
    """What each zone would get if one were lost, and how many slots would be missing; nothing is changed."""
    found = asker.look("what-if", names=(zone,))
    if "error" in found:
        asker.show(found, lambda: iter([found["error"]]))
        sys.exit(REFUSED)

    def lines() -> Iterator[str]:
        for name, one in found["zones"].items():
            yield (f"{name:16} now {_slots(one['now']):>7}, then {_slots(one['then']):>7} of "
                   f"{_slots(one['room']):>7} safe slots")  # fmt: skip
        yield f"missing: {_slots(found['missing'])} slots (now {_slots(found['missing_now'])})"

    asker.show(found, lines)
    sys.exit(REFUSED if found["missing"] > found["missing_now"] else 0)
