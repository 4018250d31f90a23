"""The invariants of a cluster as predicates over what its actors did: each names every breach that it finds.

They read the histories of executors, operators, nodes and supervisors, and the visits that executors saw;
nothing of what a replica believes. `docs/design/drains.md` says from where each comes. Each module holds
those about one matter. The names are stored in `verdict.json`.
"""

from collections.abc import Callable, Iterator

from cedarmill.lab.cluster.invariants import agreement, budgets, drains, limits, orders, requests
from cedarmill.lab.cluster.record import Record

__all__ = ["INVARIANTS", "Record", "check_invariants"]

INVARIANTS: dict[str, Callable[[Record], Iterator[str]]] = {
    "never too many out": limits.never_too_many_out,
    "cold ones count": limits.warming_up_ones_count,
    "same id, same outcome": agreement.same_id_same_outcome,
    "one leader a term": agreement.one_leader_a_term,
    "keepers agree": agreement.replicas_agree,
    "grants fit one order": agreement.grants_in_one_order,
    "no work after drained": drains.no_work_after_drained,
    "no job lost by plan": drains.no_job_lost_by_plan,
    "epochs only grow": orders.epochs_only_grow,
    "nothing on a dead lease": orders.nothing_on_a_dead_lease,
    "permits accounted for": drains.permits_accounted_for,
    "residents stay": requests.residents_stay,
    "no budget passed": budgets.no_budget_passed,
    "budgets hold at executors": budgets.budgets_hold_at_executors,
    "one final answer, no forbidden repeat": requests.one_answer,
}


def check_invariants(record: Record) -> dict[str, list[str]]:
    """The breaches of each invariant, by its name."""
    return {name: list(invariant(record)) for name, invariant in INVARIANTS.items()}
