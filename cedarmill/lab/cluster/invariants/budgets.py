"""Invariants of budgets: what is spent stays within them, by those who spend and at the executors."""

from collections.abc import Iterator

from cedarmill.lab.cluster.record import BudgetSplit, Record

SPANS_US = (1_000_000, 3_000_000, 10_000_000)  # over which what was spent is counted
BURST_S = 0.2  # of its rate that each may spend at once
CLOCK_RATES = 1.01  # clocks may differ by that much
BUNCHED_S = 1.0  # by which links may hold back what then comes at once
WHOLE_PER_NODE = 2  # one is always whole, and a node may have two incarnations at a time


def no_budget_passed(record: Record) -> Iterator[str]:
    """In no span is more spent than the budget gives, and what may be spent at once."""
    budget = BudgetSplit(*record.budget)
    parts = ((budget.leased_rate, True, "spent by leases"), (budget.floor_rate, False, "spent as floors"))
    for rate, of_lease, name in parts:
        times = [at for at, by_lease in record.spent if by_lease == of_lease]
        if rate:
            yield from _beyond(times, name, rate, budget.nodes, BURST_S)


def budgets_hold_at_executors(record: Record) -> Iterator[str]:
    """What all executors together were asked for stays within the cluster's budgets, whoever asked."""
    for name, rate, nodes in record.budgets:
        times = [at for at, budget in record.executor_spending if budget == name]
        yield from _beyond(times, name, rate, nodes, BURST_S + BUNCHED_S)


def _beyond(times: list[int], name: str, rate: int, nodes: int, burst_s: float) -> Iterator[str]:
    """Spans in which more came than the rate (thousandths/s) and a burst allow."""
    for span in SPANS_US:
        most = rate / 1000 * (CLOCK_RATES * span / 1e6 + burst_s) + WHOLE_PER_NODE * nodes
        if (beyond := _first_beyond(times, span, most)) is not None:
            at, count = beyond
            yield f"{at / 1e6:.3f} s: {count} {name} in {span / 1e6:g} s where {most:.0f} may be"


def _first_beyond(times: list[int], span: int, most: float) -> tuple[int, int] | None:
    """When more than so many first came within a span, and how many; None: never."""
    first = 0
    for last, at in enumerate(times):
        while times[first] <= at - span:
            first += 1
        if last - first + 1 > most:
            return at, last - first + 1
    return None
