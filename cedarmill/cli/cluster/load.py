"""The commands `cedarmill cluster load|shed|budgets`: load shedding and the cluster-wide budgets."""

from collections.abc import Iterator
from pathlib import Path

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console, View, read_duration

LATE_ALARM_THRESHOLD = 200  # thousandths of all requests
WEIGHT_SHEDDING_NOTHING = -1  # lower than every priority weight


def _decimal(thousandths: int) -> str:
    return f"{thousandths / 1000:g}"


@click.command(epilog=EXIT_CODES)
@click.pass_obj
def load(console: Console) -> None:
    """Show demand, load shedding and budgets of the cluster.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml load
    """
    budgets, admission = console.read_view("budgets"), console.read_view("admission")
    console.print_result({"budgets": budgets, "admission": admission}, _load_lines(admission, budgets))


def _load_lines(admission: View, budgets: list[View]) -> Iterator[str]:
    yield from _admission_lines(admission)
    yield from _budget_lines(budgets)


def _budget_lines(budgets: list[View]) -> Iterator[str]:
    if not budgets:
        yield "no budgets are set: each node spends by itself"
    for budget in budgets:
        is_short = budget["wanted"] > budget["most"]
        yield (
            f"{budget['name']}: {_decimal(budget['rate'])} a second, {_decimal(budget['leased'])} of "
            f"{_decimal(budget['most'])} leased, {_decimal(budget['wanted'])} wanted; "
            f"a node without a lease may spend {_decimal(budget['floor'])}"
            f"{'  SHORT: nodes go without' if is_short else ''}"
        )
        for member, grant in budget["slices"].items():
            excess = grant["counts"] - grant["rate"]
            excess_text = f", and may still spend {_decimal(excess)} more by an older word" if excess else ""
            yield f"  {member}: {_decimal(grant['rate'])} of {_decimal(grant['want'])} wanted{excess_text}"


def _admission_lines(admission: View) -> Iterator[str]:
    """Return lines on the cluster's admission level, the load of each zone and each scope short of slots."""
    yield from _scope_lines("", admission["fleet"])
    for zone, slots_by_weight in sorted(admission["offered"].items()):
        slots_from_highest = sorted(slots_by_weight.items(), key=lambda item: -int(item[0]))
        weights = ", ".join(
            f"{_decimal(slots)} worth {_decimal(int(weight))}"
            for weight, slots in slots_from_highest
            if slots
        )
        yield f"  {zone} offers {_decimal(sum(slots_by_weight.values()))} slots of jobs: {weights or 'none'}"
    for scope, state in sorted(admission["tight"].items()):
        zone, _, bound = scope.partition("/")
        yield from _scope_lines(f"{zone}, what may not leave its {bound}: ", state)


def _scope_lines(where: str, state: View) -> Iterator[str]:
    """Return lines on one scope: what it refuses, why, and which action helps."""
    weight, shed_share = state["cut"]
    if weight < 0:
        yield f"{where}nothing is cut"
    else:
        yield (
            f"{where}CUT: what is worth less than {_decimal(weight)}, and {shed_share / 10:g}% of what is "
            f"worth that; {state['why'] or 'by hand'}"
        )
    busy_text = f", {_decimal(state['busy'])} in use" if state["busy"] >= 0 else ""
    yield (
        f"{where}wanted {_decimal(state['wanted'])} slots of {_decimal(state['room'])} safe "
        f"ones{busy_text}; {state['late'] / 10:g}% late"
    )
    if state["queue"] >= 0:
        yield (
            f"{where}a job takes {state['queue'] / 10:g}% of the time that it may; nodes' own sight refuses "
            f"{state['turned'] / 10:g}% of what is let pass"
        )
    yield from _alarm_lines(where, state)


def _alarm_lines(where: str, state: View) -> Iterator[str]:
    if state["shed"] and state["wanted"] > state["room"]:
        missing = _decimal(state["wanted"] - state["room"])
        yield f"{where}ALARM: {missing} slots are missing: add executors, or see who floods"
    elif state["late"] >= LATE_ALARM_THRESHOLD and state["wanted"] <= state["room"]:
        yield (
            f"{where}ALARM: late though what is wanted fits: look for ill executors (`fleet zones`), "
            "or wait for the deep cut"
        )


@click.command(epilog=EXIT_CODES)
@click.argument("action", metavar="ACTION", type=click.Choice(["set", "clear"]))
@click.option(
    "--below", type=float, help="Refuse all requests of a lower priority weight; required with set."
)
@click.option(
    "--share",
    "--part",
    "share_text",
    metavar="PERCENT",
    default="0%",
    show_default=True,
    help="Share of requests refused at exactly that weight; --part is the old name.",
)
@click.option(
    "--for", "duration", metavar="TIME", default="10min", show_default=True, help="Duration of the shedding."
)
@click.option("--reason", default="", help="Reason, for the cluster's log; required with set.")
@click.pass_obj
def shed(
    console: Console, action: str, below: float | None, share_text: str, duration: str, reason: str
) -> None:
    """Shed requests of low priority weight at every node.

    ACTION is set (begin or change the shedding) or clear (end the shedding). The shedding ends by itself
    after the time given with --for.

    \b
    Examples:
      cedarmill cluster -c cedarmill.xml shed set --below 3 --share 50% --for 10min --reason "month-end"
      cedarmill cluster -c cedarmill.xml shed clear
    """
    from cedarmill.cluster.state_machine import commands
    from cedarmill.conf.document import ConfError, parse_percent

    if action == "clear":
        weight = WEIGHT_SHEDDING_NOTHING
    elif below is None:
        raise ConfError("--below is required with set")
    else:
        weight = round(below * 1000)
    refused_share, duration_us = round(parse_percent(share_text) * 1000), read_duration(duration)
    console.print_reply_and_exit(
        console.submit(
            lambda operator, request_id: commands.OverrideAdmission(
                0, operator, request_id, weight, refused_share, duration_us, reason
            )
        )
    )


@click.command(epilog=EXIT_CODES)
@click.option(
    "--set",
    "path",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="Replace the budgets by the <budget> elements of a replica's settings.",
)
@click.pass_obj
def budgets(console: Console, path: Path) -> None:
    """Set the budgets that all nodes share.

    `load` shows the budgets. When a budget shrinks, nodes return the excess one after another.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml budgets --set replica-0.xml
    """
    from cedarmill.cluster.budget_grants import Budget
    from cedarmill.cluster.state_machine import commands
    from cedarmill.conf.cluster import read_replica_settings

    new_budgets = tuple(Budget(*budget) for budget in read_replica_settings(path).budgets)
    console.print_reply_and_exit(
        console.submit(lambda operator, request_id: commands.SetBudgets(0, operator, request_id, new_budgets))
    )
