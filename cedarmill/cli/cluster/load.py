"""`cedarmill cluster load|shed|budgets`: what is refused and why, and what all nodes together may spend."""

from collections.abc import Iterator
from pathlib import Path

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console, View, read_duration

MANY_LATE = 200  # thousandths of requests: from here on the lateness is an alarm
NOTHING_REFUSED = -1  # as a priority weight below which all is refused


def _rate(thousandths: int) -> str:
    return f"{thousandths / 1000:g}"


@click.command(epilog=EXIT_CODES)
@click.pass_obj
def load(console: Console) -> None:
    """Show what is wanted and refused, and the cluster's budgets.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml load
    """
    budgets, admission = console.view("budgets"), console.view("admission")
    console.show({"budgets": budgets, "admission": admission}, _load_lines(admission, budgets))


def _load_lines(admission: View, budgets: list[View]) -> Iterator[str]:
    yield from _admission_lines(admission)
    yield from _budget_lines(budgets)


def _budget_lines(budgets: list[View]) -> Iterator[str]:
    if not budgets:
        yield "no budgets are set: each node spends by itself"
    for one in budgets:
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


def _admission_lines(admission: View) -> Iterator[str]:
    """The level of admission of the cluster, what each zone offers, and where only a scope is short."""
    yield from _scope_lines("", admission["fleet"])
    for zone, slots_by_weight in sorted(admission["offered"].items()):
        by_weight = sorted(slots_by_weight.items(), key=lambda one: -int(one[0]))
        parts = ", ".join(
            f"{_rate(slots)} worth {_rate(int(weight))}" for weight, slots in by_weight if slots
        )
        yield f"  {zone} offers {_rate(sum(slots_by_weight.values()))} slots of jobs: {parts or 'none'}"
    for scope, one in sorted(admission["tight"].items()):
        zone, _, bound = scope.partition("/")
        yield from _scope_lines(f"{zone}, what may not leave its {bound}: ", one)


def _scope_lines(where: str, one: View) -> Iterator[str]:
    """One scope: what is refused, why, and what to do."""
    weight, share = one["cut"]
    if weight < 0:
        yield f"{where}nothing is cut"
    else:
        yield (
            f"{where}CUT: what is worth less than {_rate(weight)}, and {share / 10:g}% of what is worth "
            f"that; {one['why'] or 'by hand'}"
        )
    busy = f", {_rate(one['busy'])} in use" if one["busy"] >= 0 else ""
    yield (
        f"{where}wanted {_rate(one['wanted'])} slots of {_rate(one['room'])} safe ones{busy}; "
        f"{one['late'] / 10:g}% late"
    )
    if one["queue"] >= 0:
        yield (
            f"{where}a job takes {one['queue'] / 10:g}% of the time that it may; nodes' own sight refuses "
            f"{one['turned'] / 10:g}% of what is let pass"
        )
    yield from _alarms(where, one)


def _alarms(where: str, one: View) -> Iterator[str]:
    if one["shed"] and one["wanted"] > one["room"]:
        missing = _rate(one["wanted"] - one["room"])
        yield f"{where}ALARM: {missing} slots are missing: add executors, or see who floods"
    elif one["late"] >= MANY_LATE and one["wanted"] <= one["room"]:
        yield (
            f"{where}ALARM: late though what is wanted fits: look for ill executors (`fleet zones`), "
            "or wait for the deep cut"
        )


@click.command(epilog=EXIT_CODES)
@click.argument("act", metavar="ACTION", type=click.Choice(["set", "clear"]))
@click.option("--below", type=float, help="The priority weight below which all is refused; with set.")
@click.option(
    "--share",
    "--part",
    "share_text",
    metavar="PERCENT",
    default="0%",
    show_default=True,
    help="How much is refused of what has just that weight; --part is the old name.",
)
@click.option(
    "--for", "lasts", metavar="TIME", default="10min", show_default=True, help="Then it ends by itself."
)
@click.option("--reason", default="", help="For the cluster's log; needed with set.")
@click.pass_obj
def shed(console: Console, act: str, below: float | None, share_text: str, lasts: str, reason: str) -> None:
    """Refuse requests of low priority weight at every node, by hand.

    It ends by itself. ACTION is set (begin, or change it) or clear (end it).

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml shed set --below 3 --share 50% --for 10min --reason "month-end"
      cedarmill cluster -c cedarmill.xml shed clear
    """
    from cedarmill.cluster.state_machine import commands
    from cedarmill.conf.document import ConfError, share

    if act == "clear":
        weight = NOTHING_REFUSED
    elif below is None:
        raise ConfError("--below: needed with set")
    else:
        weight = round(below * 1000)
    refused, lasts_us = round(share(share_text) * 1000), read_duration(lasts)
    console.finish(
        console.submit(
            lambda operator, number: commands.OverrideAdmission(
                0, operator, number, weight, refused, lasts_us, reason
            )
        )
    )


@click.command(epilog=EXIT_CODES)
@click.option(
    "--set",
    "path",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="Replace them by the <budget>s of a replica's settings.",
)
@click.pass_obj
def budgets(console: Console, path: Path) -> None:
    """Set what all nodes together may spend.

    `load` shows it. Where a budget becomes smaller, nodes give back what they hold of it one after the other.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml budgets --set replica-0.xml
    """
    from cedarmill.cluster.budget_grants import Budget
    from cedarmill.cluster.state_machine import commands
    from cedarmill.conf.cluster import read_replica_settings

    wanted = tuple(Budget(*one) for one in read_replica_settings(path).budgets)
    console.finish(console.submit(lambda operator, number: commands.SetBudgets(0, operator, number, wanted)))
