"""Planted bugs by name: each takes a piece of safety out of the cores, and a law has to see it.

They are here so that the laws are known to bite: a law that no bug trips says nothing.
"""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from cedarmill.cluster import budget_grants, budget_lease, member_orders, replica, session_tracker
from cedarmill.cluster.hosting import Host
from cedarmill.cluster.member_requests import MemberRequests
from cedarmill.cluster.raft import replication
from cedarmill.cluster.raft.actions import (
    LeadershipConfirmed,
    PersistEntries,
    PersistTermAndVote,
    RestoreSnapshot,
    SendMessage,
)
from cedarmill.cluster.raft.election import Election
from cedarmill.cluster.raft.events import ConfirmLeadership
from cedarmill.cluster.raft.messages import RequestVote
from cedarmill.cluster.raft.reads import ReadIndex
from cedarmill.cluster.raft.replication import Replicator
from cedarmill.cluster.raft.state import NodeState
from cedarmill.cluster.session import MemberSession
from cedarmill.cluster.state import PER_MILLE
from cedarmill.cluster.state_machine import (
    dispatch,
    drains,
    limits,
    permit_queue,
    permit_states,
    release_states,
    rollout,
)
from cedarmill.cluster.state_machine.commands import ConfirmDrained, ExpireSessions
from cedarmill.cluster.supervision import ProcessSupervisor
from cedarmill.lab.simulation.cluster import Disk, SimulatedNode
from cedarmill.lab.simulation.raft_log import Node

Patch = tuple[object, str, Any]  # where, the name, what stands there instead


def grant_counted_late() -> list[Patch]:
    """All that wait are granted by one count, made before the first of them."""

    def grant_all(world):
        out = limits.out_shares(world)
        granted = [p for p in permit_queue.in_order(world)
                   if limits.decide(world, p.kind, p.target, dict(out)).word == "now"]  # fmt: skip
        for permit in granted:
            permit_states.move(world, permit, "grant")
            permit.undrained_members = drains.members_to_drain(world, permit)
            drains.check_drained(world, permit)
        return granted

    return [(permit_queue, "grant_waiting", grant_all)]


def lost_permit_forgotten() -> list[Patch]:
    """A permit whose holder fell silent no longer counts as out."""
    plain = limits.out_shares

    def out_parts(world):
        found = plain(world)
        for permit in world.permits.values():
            if permit.state == "lost":
                found.pop(permit_states.target_key(permit.kind, permit.target), None)
        return found

    return [(limits, "out_shares", out_parts)]


def losses_not_counted() -> list[Patch]:
    """Only what is out by plan counts, not what is ill or silent."""

    def out_parts(world):
        return {
            permit_states.target_key(p.kind, p.target): PER_MILLE for p in world.permits.values() if p.out
        }

    return [(limits, "out_shares", out_parts)]


def cold_not_counted() -> list[Patch]:
    """One that has just come back counts as whole."""
    return [(limits, "slow_start_part", lambda world, target: 0)]


def shares_rounded_up() -> list[Patch]:
    """30 % of 8 are 3."""

    def allowed(limit, count):
        cap = min(count, limit.most) if limit.most >= 0 else count
        return min(cap, -(-count * limit.share // PER_MILLE)) if limit.share >= 0 else cap

    return [(limits, "allowed", allowed)]


def stale_leader_grants() -> list[Patch]:
    """What the leader itself has is agreed, whoever else has it."""

    def advance_commit_index(self: Replicator, now: int) -> None:
        self._state.commit_up_to(self._state.persisted_index)

    return [(Replicator, "advance_commit_index", advance_commit_index)]


def vote_twice() -> list[Patch]:
    """A vote is given whoever got it before, in the same term."""
    plain = Election.on_request_vote

    def on_request_vote(self: Election, now: int, source: str, message: RequestVote) -> None:
        if not message.pre_vote and message.term == self._state.term:
            self._state.vote = ""
        plain(self, now, source, message)

    return [(Election, "on_request_vote", on_request_vote)]


def vote_not_kept() -> list[Patch]:
    """The vote is forgotten by a restart."""
    plain = Disk.save

    def save(self: Disk, action: PersistTermAndVote | PersistEntries) -> None:
        if isinstance(action, PersistTermAndVote):
            action = PersistTermAndVote(action.term, "")
        plain(self, action)

    return [(Disk, "save", save)]


def commit_of_an_older_term() -> list[Patch]:
    """An entry of an older term is agreed as soon as a majority has it (one entry is sent at a time)."""

    def advance_commit_index(self: Replicator, now: int) -> None:
        state = self._state
        index = state.cluster.reached_by_majority(state.persisted_index, state.leader_state.match_index_of)
        if index > state.commit_index:
            state.commit_up_to(index)
            self._reads.answer_confirmed()

    return [
        (Replicator, "advance_commit_index", advance_commit_index),
        (replication, "MAX_BATCH_ENTRIES", 1),
    ]


def votes_for_who_knows_less() -> list[Patch]:
    """A keeper votes for one whose log ends before its own."""
    plain = Election.on_request_vote

    def on_request_vote(self: Election, now: int, source: str, message: RequestVote) -> None:
        log = self._state.log
        as_long = msgspec.structs.replace(message, last_log_index=log.last_index, last_log_term=log.last_term)
        plain(self, now, source, as_long)

    return [(Election, "on_request_vote", on_request_vote)]


def sent_before_synced() -> list[Patch]:
    """Promises leave before what they promise is on the disk."""

    def flush(self, now):
        while self.pending:
            actions, self.pending = self.pending, []
            last = -1
            persists = PersistTermAndVote | PersistEntries | RestoreSnapshot
            self._out([action for action in actions if not isinstance(action, persists)])
            for action in actions:
                if isinstance(action, PersistTermAndVote | PersistEntries):
                    self.port.save(action)
                    last = action.entries[-1].index if isinstance(action, PersistEntries) else last
                elif isinstance(action, RestoreSnapshot):
                    self.port.put_snapshot(action.snapshot, list(self.keeper.raft.log.entries))
            if self.port.sync() and last >= 0:
                self.pending += self.keeper.on_synced(now, last)

    def promise(self: Node, action: SendMessage) -> None:
        self.run.send(self.name, action)

    return [(Host, "flush", flush), (Node, "promise", promise)]


def drained_before_the_last_ack() -> list[Patch]:
    """Drained is said with one member still missing."""
    plain = drains.check_drained

    def settle(world, permit):
        if len(permit.undrained_members) == 1 and permit.kind == "executor":
            permit.undrained_members = []
        plain(world, permit)

    return [(drains, "check_drained", settle)]


def silent_ones_not_waited_for() -> list[Patch]:
    """A drain asks only those that have a session now."""

    def need_of(world, permit):
        if permit.holder.startswith("release:") or permit.kind != "executor":
            return []
        return sorted(m.key for m in world.members_of("node") if m.state == "live")

    return [(drains, "members_to_drain", need_of)]


def silence_taken_for_an_end() -> list[Patch]:
    """A member whose session has run out counts as ended."""
    plain = dispatch.HANDLERS[ExpireSessions]

    def lapsed(world, command):
        plain(world, command)
        for key in command.silent:
            drains.member_ended(world, key)

    return [(dispatch.HANDLERS, ExpireSessions, lapsed)]


def lease_ends_at_the_giver_first() -> list[Patch]:
    """The keepers take a lease for over in half of its time."""
    return [(session_tracker, "LEASE_US", session_tracker.LEASE_US // 2)]


def lease_by_a_timer() -> list[Patch]:
    """A process that stood still goes by what its timer said before."""
    return [(MemberSession, "holds", lambda self, now: self._announced or now < self.lease_until)]


def lease_not_asked_when_acting() -> list[Patch]:
    """A steward acts on orders whatever has become of its lease."""
    plain = ProcessSupervisor.order

    def order(self, now, units, lease_till):
        return plain(self, now, units, now + 1)

    return [(ProcessSupervisor, "order", order)]


def new_leader_without_grace() -> list[Patch]:
    """A new leader takes those it has not heard for silent at once, and believes it of any number."""
    plain = session_tracker.SessionTracker.__init__

    def begin(self, now):
        plain(self, now)
        self.counted_from = now - 2 * session_tracker.LEASE_US

    return [(session_tracker.SessionTracker, "__init__", begin), (session_tracker, "MAX_MISSING_SHARE", 2.0)]


def reads_without_a_majority() -> list[Patch]:
    """A leader answers by what it knows, without asking whether it leads still."""

    def register(self: ReadIndex, now: int, event: ConfirmLeadership) -> bool:
        self._state.emit(LeadershipConfirmed(event.token, self._state.commit_index))
        return False

    return [(ReadIndex, "register", register), (NodeState, "lost_quorum_contact", lambda self, now: False)]


def done_twice() -> list[Patch]:
    """A request that is repeated is carried out again."""

    def once(world, request):
        done = dispatch.HANDLERS[type(request)](world, request)
        dispatch.advance(world)
        return done

    return [(dispatch, "_apply_request", once)]


def way_back_without_permits() -> list[Patch]:
    """On the way back units are changed without leave."""

    def backward(world, found):
        for step in found.steps:
            if step.state in ("changing", "failed", "new"):
                step.state, step.state_since = "back-changing", world.clock
                rollout.order_unit(world, found, step)
        if all(step.state in ("old", "restored") for step in found.steps):
            release_states.move(world, found, "complete")

    return [(rollout, "_roll_back", backward)]


def sends_before_it_was_told() -> list[Patch]:
    """A node that has just started sends before it has heard what is out."""
    return [(SimulatedNode, "may_send", lambda self: True)]


def older_orders_followed() -> list[Patch]:
    """A steward follows orders by their arrival, not by their epoch."""
    plain = ProcessSupervisor.order

    def order(self, now, units, lease_till):
        kept = {name: self.units[name].applied_epoch for name in units if name in self.units}
        self.first = getattr(self, "first", {})
        for name, told in units.items():
            self.first.setdefault(name, told)
        if now % 7 == 0:  # an old word comes again, as a late message may
            for name in kept:
                self.units[name].applied_epoch = -1
            return plain(self, now, self.first, lease_till)
        return plain(self, now, units, lease_till)

    return [(ProcessSupervisor, "order", order)]


def snapshot_without_permits() -> list[Patch]:
    """What waits for a drain is not in the snapshot."""
    plain = replica.decode_snapshot

    def thaw(text):
        world = plain(text)
        for permit in world.permits.values():
            permit.undrained_members = []
        return world

    return [(replica, "decode_snapshot", thaw)]


def epoch_of_an_ack_not_asked() -> list[Patch]:
    """A member's word that it is done counts whatever grant it spoke of."""

    def confirm_drained(self, now, key, heartbeat):
        replica = self._replica
        done = {p.target: p.epoch for p in replica.state.permits.values()
                if p.out and key in p.undrained_members}  # fmt: skip
        if done:
            command = ConfirmDrained(replica.cluster_time(now), key, done)
            replica.propose_once(now, f"done {key} {sorted(done.items())}", command)

    return [(MemberRequests, "confirm_drained", confirm_drained)]


def out_not_told() -> list[Patch]:
    """Members are not told of what was granted last."""
    plain = member_orders.orders_for

    def orders_for(world, member):
        orders = plain(world, member)
        out = orders.excluded_executors
        if out:
            out.pop(max(out, key=out.get))
        return orders

    def confirm_drained(self, now, key, heartbeat):
        replica = self._replica
        epochs = {p.target: p.epoch for p in replica.state.permits.values()
                  if p.out and key in p.undrained_members}  # fmt: skip
        if epochs and heartbeat.orders_epoch >= max(epochs.values()):
            command = ConfirmDrained(replica.cluster_time(now), key, epochs)
            replica.propose_once(now, f"done {key}", command)

    return [(member_orders, "orders_for", orders_for), (MemberRequests, "confirm_drained", confirm_drained)]


def slice_spent_after_a_pause() -> list[Patch]:
    """Whether the lease holds is not asked when something is spent."""
    plain = budget_lease.BudgetLease.spend
    return [
        (budget_lease.BudgetLease, "spend", lambda self, now, holds, keep=0: plain(self, now, True, keep))
    ]


def smaller_slice_counts_at_once() -> list[Patch]:
    """What a holder may still spend by an older word is given to others."""
    return [(budget_grants.BudgetGrant, "counted_rate", property(lambda self: self.rate))]


def floors_add_up() -> list[Patch]:
    """Each node's floor is the whole of what all floors may be."""
    return [(budget_grants.Budget, "floor", property(lambda self: self.rate // 5))]


def spends_before_it_was_told() -> list[Patch]:
    """A life that has heard of no budget is bound by none."""
    plain = budget_lease.BudgetLeases.__init__
    return [(budget_lease.BudgetLeases, "__init__", lambda self, known=True: plain(self, True))]


def returned_twice() -> list[Patch]:
    """A slice that is made smaller is free at once, and once more when its holder follows."""

    def follows(world, key, epoch):
        for name, by in world.budget_grants.items():
            one = by.get(key)
            if one is not None and one.epoch <= epoch and one.previous_rate > one.rate:
                budget = world.budgets[name]
                more = (one.previous_rate - one.rate) * 1000 // budget_grants.GRANTED_SHARE
                world.budgets[name] = budget_grants.Budget(name, budget.rate + more, budget.nodes)
                one.previous_rate = one.rate
        budget_grants.deal(world)

    return [(budget_grants, "acknowledge", follows)]


MUTANTS: dict[str, Callable[[], list[Patch]]] = {
    bug.__name__.replace("_", "-"): bug
    for bug in (
        grant_counted_late,
        lost_permit_forgotten,
        losses_not_counted,
        cold_not_counted,
        shares_rounded_up,
        stale_leader_grants,
        vote_twice,
        vote_not_kept,
        commit_of_an_older_term,
        votes_for_who_knows_less,
        sent_before_synced,
        drained_before_the_last_ack,
        silent_ones_not_waited_for,
        silence_taken_for_an_end,
        lease_ends_at_the_giver_first,
        lease_by_a_timer,
        lease_not_asked_when_acting,
        new_leader_without_grace,
        reads_without_a_majority,
        done_twice,
        way_back_without_permits,
        sends_before_it_was_told,
        older_orders_followed,
        snapshot_without_permits,
        epoch_of_an_ack_not_asked,
        out_not_told,
        slice_spent_after_a_pause,
        smaller_slice_counts_at_once,
        floors_add_up,
        spends_before_it_was_told,
        returned_twice,
    )
}


@contextlib.contextmanager
def applied_mutant(name: str) -> Iterator[None]:
    """While it lasts the bug is there; an empty name plants none."""
    with applied_patches(MUTANTS[name]() if name else []):
        yield


@contextlib.contextmanager
def applied_patches(patches: list[Patch]) -> Iterator[None]:
    """While it lasts these stand instead."""
    before = []
    for where, what, new in patches:
        if isinstance(where, dict):
            before.append((where, what, where[what]))
            where[what] = new
        else:
            before.append((where, what, getattr(where, what)))
            setattr(where, what, new)
    try:
        yield
    finally:
        for where, what, old in reversed(before):
            if isinstance(where, dict):
                where[what] = old
            else:
                setattr(where, what, old)
