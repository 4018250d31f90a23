"""Mutants by name: each takes a piece of safety out of the cores, and an invariant has to see it.

They are here so that the invariants are known to bite: one that no mutant trips says nothing. Each module
holds those of one part of the program.
"""

import contextlib
from collections.abc import Callable, Iterator

from cedarmill.lab.cluster.mutants import budgets, drains, leases, permits, releases, replicated_log
from cedarmill.lab.cluster.mutants.patches import Patch, applied_patches

__all__ = ["MUTANTS", "Patch", "applied_mutant", "applied_patches"]

MUTANTS: dict[str, Callable[[], list[Patch]]] = {
    mutant.__name__.replace("_", "-"): mutant
    for mutant in (
        permits.grant_counted_late,
        permits.lost_permit_forgotten,
        permits.losses_not_counted,
        permits.cold_not_counted,
        permits.shares_rounded_up,
        replicated_log.stale_leader_grants,
        replicated_log.vote_twice,
        replicated_log.vote_not_kept,
        replicated_log.commit_of_an_older_term,
        replicated_log.votes_for_who_knows_less,
        replicated_log.sent_before_synced,
        drains.drained_before_the_last_ack,
        drains.silent_ones_not_waited_for,
        drains.silence_taken_for_an_end,
        leases.lease_ends_at_the_giver_first,
        leases.lease_by_a_timer,
        leases.lease_not_asked_when_acting,
        leases.new_leader_without_grace,
        replicated_log.reads_without_a_majority,
        permits.done_twice,
        releases.way_back_without_permits,
        drains.sends_before_it_was_told,
        releases.older_orders_followed,
        permits.snapshot_without_permits,
        drains.epoch_of_an_ack_not_asked,
        drains.out_not_told,
        budgets.slice_spent_after_a_pause,
        budgets.smaller_slice_counts_at_once,
        budgets.floors_add_up,
        budgets.spends_before_it_was_told,
        budgets.returned_twice,
    )
}


@contextlib.contextmanager
def applied_mutant(name: str) -> Iterator[None]:
    """While it lasts the mutant is applied; an empty name applies none."""
    with applied_patches(MUTANTS[name]() if name else []):
        yield
