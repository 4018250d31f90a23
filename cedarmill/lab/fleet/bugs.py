"""Planted bugs by name: each takes a piece of safety out of the cores, and a law has to see it.

They are here so that the laws are known to bite: a law that no bug trips says nothing.
"""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from cedarmill.fleet import commands, members, permits, purse, release, slices, views
from cedarmill.fleet.agent import Agent
from cedarmill.fleet.agree import replication
from cedarmill.fleet.agree.actions import (
    LeadershipConfirmed,
    PersistEntries,
    PersistTermAndVote,
    RestoreSnapshot,
    SendMessage,
)
from cedarmill.fleet.agree.election import Election
from cedarmill.fleet.agree.events import ConfirmLeadership
from cedarmill.fleet.agree.messages import RequestVote
from cedarmill.fleet.agree.reads import ReadIndex
from cedarmill.fleet.agree.replication import Replicator
from cedarmill.fleet.agree.state import NodeState
from cedarmill.fleet.hosting import Host
from cedarmill.fleet.keeper import Keeper
from cedarmill.fleet.stewarding import Steward
from cedarmill.fleet.world import WHOLE
from cedarmill.lab.fleet.virtual import Disk, VNode
from cedarmill.lab.fleet.virtual_log import Node

Patch = tuple[object, str, Any]  # where, the name, what stands there instead


def grant_counted_late() -> list[Patch]:
    """All that wait are granted by one count, made before the first of them."""

    def grant_all(world):
        out = permits.out_parts(world)
        granted = [p for p in permits.in_turn(world)
                   if permits.decide(world, p.kind, p.target, dict(out)).word == "now"]  # fmt: skip
        for permit in granted:
            permits.move(world, permit, "grant")
            permit.need = permits.need_of(world, permit)
            permits.settle(world, permit)
        return granted

    return [(permits, "grant_all", grant_all)]


def lost_permit_forgotten() -> list[Patch]:
    """A permit whose holder fell silent no longer counts as out."""
    plain = permits.out_parts

    def out_parts(world):
        found = plain(world)
        for permit in world.permits.values():
            if permit.state == "lost":
                found.pop(permits.key_of(permit.kind, permit.target), None)
        return found

    return [(permits, "out_parts", out_parts)]


def losses_not_counted() -> list[Patch]:
    """Only what is out by plan counts, not what is ill or silent."""

    def out_parts(world):
        return {permits.key_of(p.kind, p.target): WHOLE for p in world.permits.values() if p.out}

    return [(permits, "out_parts", out_parts)]


def cold_not_counted() -> list[Patch]:
    """One that has just come back counts as whole."""
    return [(permits, "cold_part", lambda world, target: 0)]


def shares_rounded_up() -> list[Patch]:
    """30 % of 8 are 3."""

    def allowed(limit, count):
        cap = min(count, limit.most) if limit.most >= 0 else count
        return min(cap, -(-count * limit.share // WHOLE)) if limit.share >= 0 else cap

    return [(permits, "allowed", allowed)]


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
                    self.port.put_snapshot(action.snapshot, list(self.keeper.agree.log.entries))
            if self.port.sync() and last >= 0:
                self.pending += self.keeper.synced(now, last)

    def promise(self: Node, action: SendMessage) -> None:
        self.run.send(self.name, action)

    return [(Host, "flush", flush), (Node, "promise", promise)]


def drained_before_the_last_ack() -> list[Patch]:
    """Drained is said with one member still missing."""
    plain = permits.settle

    def settle(world, permit):
        if len(permit.need) == 1 and permit.kind == "executor":
            permit.need = []
        plain(world, permit)

    return [(permits, "settle", settle)]


def silent_ones_not_waited_for() -> list[Patch]:
    """A drain asks only those that have a session now."""

    def need_of(world, permit):
        if permit.holder.startswith("release:") or permit.kind != "executor":
            return []
        return sorted(m.key for m in world.live("node") if m.state == "live")

    return [(permits, "need_of", need_of)]


def silence_taken_for_an_end() -> list[Patch]:
    """A member whose session has run out counts as ended."""
    plain = commands._APPLY[commands.Lapsed]

    def lapsed(world, command):
        plain(world, command)
        for key in command.silent:
            permits.member_ended(world, key)

    return [(commands._APPLY, commands.Lapsed, lapsed)]


def lease_ends_at_the_giver_first() -> list[Patch]:
    """The keepers take a lease for over in half of its time."""
    return [(members, "LEASE", members.LEASE // 2)]


def lease_by_a_timer() -> list[Patch]:
    """A process that stood still goes by what its timer said before."""
    return [(Agent, "holds", lambda self, now: self._held or now < self.lease_till)]


def lease_not_asked_when_acting() -> list[Patch]:
    """A steward acts on orders whatever has become of its lease."""
    plain = Steward.order

    def order(self, now, units, lease_till):
        return plain(self, now, units, now + 1)

    return [(Steward, "order", order)]


def new_leader_without_grace() -> list[Patch]:
    """A new leader takes those it has not heard for silent at once, and believes it of any number."""
    plain = members.Sessions.__init__

    def begin(self, now):
        plain(self, now)
        self.began = now - 2 * members.LEASE

    return [(members.Sessions, "__init__", begin), (members, "MOST_PART", 2.0)]


def reads_without_a_majority() -> list[Patch]:
    """A leader answers by what it knows, without asking whether it leads still."""

    def register(self: ReadIndex, now: int, event: ConfirmLeadership) -> bool:
        self._state.emit(LeadershipConfirmed(event.token, self._state.commit_index))
        return False

    return [(ReadIndex, "register", register), (NodeState, "lost_quorum_contact", lambda self, now: False)]


def done_twice() -> list[Patch]:
    """A request that is repeated is carried out again."""

    def once(world, request):
        done = commands._APPLY[type(request)](world, request)
        commands._settle(world)
        return done

    return [(commands, "_once", once)]


def way_back_without_permits() -> list[Patch]:
    """On the way back units are changed without leave."""

    def backward(world, found):
        for step in found.steps:
            if step.state in ("changing", "failed", "new"):
                step.state, step.since = "back-changing", world.clock
                release._want(world, found, step)
        if all(step.state in ("old", "restored") for step in found.steps):
            release.move(world, found, "complete")

    return [(release, "_backward", backward)]


def sends_before_it_was_told() -> list[Patch]:
    """A node that has just started sends before it has heard what is out."""
    return [(VNode, "may_send", lambda self: True)]


def older_orders_followed() -> list[Patch]:
    """A steward follows orders by their arrival, not by their epoch."""
    plain = Steward.order

    def order(self, now, units, lease_till):
        kept = {name: self.units[name].epoch for name in units if name in self.units}
        self.first = getattr(self, "first", {})
        for name, told in units.items():
            self.first.setdefault(name, told)
        if now % 7 == 0:  # an old word comes again, as a late message may
            for name in kept:
                self.units[name].epoch = -1
            return plain(self, now, self.first, lease_till)
        return plain(self, now, units, lease_till)

    return [(Steward, "order", order)]


def snapshot_without_permits() -> list[Patch]:
    """What waits for a drain is not in the snapshot."""
    from cedarmill.fleet import keeper

    plain = keeper.thaw

    def thaw(text):
        world = plain(text)
        for permit in world.permits.values():
            permit.need = []
        return world

    return [(keeper, "thaw", thaw)]


def epoch_of_an_ack_not_asked() -> list[Patch]:
    """A member's word that it is done counts whatever grant it spoke of."""

    def tell_done(self, now, key, beat):
        done = {p.target: p.epoch for p in self.world.permits.values() if p.out and key in p.need}
        if done:
            self._once(
                now, f"done {key} {sorted(done.items())}", commands.Cleared(self.clock(now), key, done)
            )

    return [(Keeper, "_tell_done", tell_done)]


def out_not_told() -> list[Patch]:
    """Members are not told of what was granted last."""
    plain = views.orders

    def orders(world, member):
        told = plain(world, member)
        if told.out:
            told.out.pop(max(told.out, key=told.out.get))
        return told

    def done(self, now, key, beat):
        epochs = {p.target: p.epoch for p in self.world.permits.values() if p.out and key in p.need}
        if epochs and beat.epoch >= max(epochs.values()):
            self._once(now, f"done {key}", commands.Cleared(self.clock(now), key, epochs))

    return [(views, "orders", orders), (Keeper, "_tell_done", done)]


def slice_spent_after_a_pause() -> list[Patch]:
    """Whether the lease holds is not asked when something is spent."""
    plain = purse.Purse.spend
    return [(purse.Purse, "spend", lambda self, now, holds, keep=0: plain(self, now, True, keep))]


def smaller_slice_counts_at_once() -> list[Patch]:
    """What a holder may still spend by an older word is given to others."""
    return [(slices.Slice, "counts", property(lambda self: self.rate))]


def floors_add_up() -> list[Patch]:
    """Each node's floor is the whole of what all floors may be."""
    return [(slices.Budget, "floor", property(lambda self: self.rate // 5))]


def spends_before_it_was_told() -> list[Patch]:
    """A life that has heard of no budget is bound by none."""
    plain = purse.Purses.__init__
    return [(purse.Purses, "__init__", lambda self, known=True: plain(self, True))]


def returned_twice() -> list[Patch]:
    """A slice that is made smaller is free at once, and once more when its holder follows."""

    def follows(world, key, epoch):
        for name, by in world.slices.items():
            one = by.get(key)
            if one is not None and one.epoch <= epoch and one.before > one.rate:
                budget = world.budgets[name]
                more = (one.before - one.rate) * 1000 // slices.LEASED
                world.budgets[name] = slices.Budget(name, budget.rate + more, budget.nodes)
                one.before = one.rate
        slices.deal(world)

    return [(slices, "follows", follows)]


BUGS: dict[str, Callable[[], list[Patch]]] = {
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
def planted(name: str) -> Iterator[None]:
    """While it lasts the bug is there; an empty name plants none."""
    with planted_patches(BUGS[name]() if name else []):
        yield


@contextlib.contextmanager
def planted_patches(patches: list[Patch]) -> Iterator[None]:
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
