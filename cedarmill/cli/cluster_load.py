"""`cedarmill fleet load|budgets`: what the fleet may spend, who holds how much of it, and who wants more."""

from collections.abc import Iterator
from pathlib import Path

import click

from cedarmill.cli.cluster import EXITS, Asker, _duration, _tell, fleet


def _rate(thousandths: int) -> str:
    return f"{thousandths / 1000:g}"


def _lines(found: list[dict]) -> Iterator[str]:
    if not found:
        yield "no budgets are set: each node spends by itself"
    for one in found:
        short = one["wanted"] > one["most"]
        yield (
            f"{one['name']}: {_rate(one['rate'])} a second, {_rate(one['leased'])} of {_rate(one['most'])} "
            f"leased, {_rate(one['wanted'])} wanted; a node without a lease may spend "
            f"{_rate(one['floor'])}{'  SHORT: nodes go without' if short else ''}"
        )
        for key, held in one["slices"].items():
            late = held["counts"] - held["rate"]
            still = f", and may still spend {_rate(late)} more by an older word" if late else ""
            yield f"  {key}: {_rate(held['rate'])} of {_rate(held['want'])} wanted{still}"


@fleet.command(epilog=EXITS)
@click.pass_obj
def load(asker: Asker) -> None:
    """What is cut and why; budgets of the fleet: granted, wanted, idle, and what a node may spend alone."""
    found, level = asker.look("budgets"), asker.look("admission")
    asker.show({"budgets": found, "admission": level}, lambda: (*_admission(level), *_lines(found)))


def _admission(found: dict) -> Iterator[str]:
    yield from _level("", found["fleet"])
    for zone, by in sorted(found["offered"].items()):
        parts = ", ".join(f"{_rate(slots)} worth {_rate(int(rank))}" for rank, slots in
                          sorted(by.items(), key=lambda one: -int(one[0])) if slots)  # fmt: skip
        yield f"  {zone} offers {_rate(sum(by.values()))} slots of jobs: {parts or 'none'}"
    for scope, one in sorted(found["tight"].items()):
        zone, _, bound = scope.partition("/")
        yield from _level(f"{zone}, what may not leave its {bound}: ", one)


def _level(where: str, one: dict) -> Iterator[str]:
    """One scope: what is cut, why, and what to do."""
    rank, part = one["cut"]
    if rank < 0:
        yield f"{where}nothing is cut"
    else:
        yield (f"{where}CUT: what is worth less than {_rate(rank)}, and {part / 10:g}% of what is worth "
               f"that; {one['why'] or 'by hand'}")  # fmt: skip
    busy = f", {_rate(one['busy'])} in use" if one["busy"] >= 0 else ""
    yield (f"{where}wanted {_rate(one['wanted'])} slots of {_rate(one['room'])} safe ones{busy}; "
           f"{one['late'] / 10:g}% late")  # fmt: skip
    if one["queue"] >= 0:
        yield (f"{where}a job takes {one['queue'] / 10:g}% of the time that it may; nodes' own sight refuses "
               f"{one['turned'] / 10:g}% of what is let pass")  # fmt: skip
    if one["shed"] and one["wanted"] > one["room"]:
        missing = _rate(one["wanted"] - one["room"])
        yield f"{where}ALARM: {missing} slots are missing: add executors, or see who floods"
    elif one["late"] >= 200 and one["wanted"] <= one["room"]:
        yield (f"{where}ALARM: late though what is wanted fits: look for ill executors (`fleet zones`), "
               "or wait for the deep cut")  # fmt: skip


@fleet.command(epilog=EXITS)
@click.argument("act", type=click.Choice(["set", "clear"]))
@click.option("--below", type=float, help="Worth under which all is refused; with set.")
@click.option("--part", default="0%", show_default=True, help="Of what is worth just that.")
@click.option("--for", "lasts", default="10min", show_default=True, help="Then it ends by itself.")
@click.option("--reason", default="", help="For the log; needed with set.")
@click.pass_obj
def cut(asker: Asker, act: str, below: float | None, part: str, lasts: str, reason: str) -> None:
    """Refuse what is worth least, at every node at once, till an end; or end such a cut."""
    from cedarmill.cluster.state_machine import commands
    from cedarmill.conf.document import ConfError, share

    if act == "set" and below is None:
        raise ConfError("--below: needed with set")
    rank = -1 if act == "clear" else round(below * 1000)
    thousandths, us = round(share(part) * 1000), _duration(lasts)
    _tell(
        asker,
        asker.do(
            lambda who, number: commands.OverrideAdmission(0, who, number, rank, thousandths, us, reason)
        ),
    )


@fleet.command(epilog=EXITS)
@click.option("--set", "path", type=click.Path(dir_okay=False, path_type=Path), required=True,
              help="Replace them by the <budget>s of a keeper.xml.")  # fmt: skip
@click.pass_obj
def budgets(asker: Asker, path: Path) -> None:
    """Set what the fleet may spend; a smaller budget takes slices back as their holders follow."""
    from cedarmill.cluster.budget_grants import Budget
    from cedarmill.cluster.state_machine import commands
    from cedarmill.conf.cluster import read_replica_settings

    wanted = tuple(Budget(*one) for one in read_replica_settings(path).budgets)
    _tell(asker, asker.do(lambda who, number: commands.SetBudgets(0, who, number, wanted)))
