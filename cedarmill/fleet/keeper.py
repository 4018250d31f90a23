"""A keeper without I/O: the agreed log, what is agreed, sessions and requests, wired together.

`heard`, `asked`, `passed` and `synced` return actions: those of `agree/words.py` that are the adapter's
(Save, Put, Install, Send, Alarm, Role), and Reply, Snap. Between keepers `Send` also carries Relay and
Relayed.
"""

from collections.abc import Callable

import msgspec

from cedarmill.fleet import commands, compare, permits, release, views
from cedarmill.fleet.agree import words as w
from cedarmill.fleet.agree.core import Agree, Saved, Timing
from cedarmill.fleet.evidence import Desk
from cedarmill.fleet.members import LEASE, LOOKERS, Sessions, Sights
from cedarmill.fleet.messages import (
    ChangeReplicas,
    ClientReply,
    ClientRequest,
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    HeartbeatReply,
    Probe,
    ProbeReply,
    ReadReply,
    ReadRequest,
    ReplicaMessage,
    SubmitReply,
    SubmitRequest,
    Unavailable,
)
from cedarmill.fleet.slices import same_wants
from cedarmill.fleet.state import ClusterState, Target, decode_snapshot, encode_snapshot
from cedarmill.fleet.zones import same_news

SNAP_EVERY = 2_000  # entries that the log may hold before a snapshot is made
LOOK_EVERY = 100_000  # us between two looks of the leader at sessions, sights and what is due
RELAY_KEPT = 3_000_000  # that an answer from the leader is waited for
COMPARE_EVERY = 1_000_000
OBSERVE_EVERY = 500_000  # us between two looks at what nodes tell of zones
NEWS_EVERY = 1_000_000  # us between two words of news while the level of admission moves by them
BLIND = "the new leader has not heard most nodes yet"
KEEPER_SILENT = 2_000_000  # of a keeper that does not answer: it counts as silent


class Reply(msgspec.Struct, frozen=True):
    """Answer what was asked under that token."""

    token: int
    answer: ClientReply


class Snap(msgspec.Struct, frozen=True):
    """Keep this snapshot beside the log, drop what it holds, then say `kept`."""

    snapshot: w.Snapshot


class Keeper:
    """One keeper."""

    def __init__(self, name: str, saved: Saved, now: int, seed: int, timing: Timing | None = None,
                 world: ClusterState | None = None) -> None:  # fmt: skip
        self.name = name
        self.agree = Agree(name, saved, now, seed, timing)
        data = saved.snapshot.data
        self.world = decode_snapshot(data) if data else world or ClusterState()
        self.led_from = 0  # when it came to lead, and the fleet's clock then
        self.clock_then = 0
        self.sessions = Sessions(now)
        self.sights = Sights()
        self.desk = Desk()
        self.looked = now
        self.compared = now
        self.observed = now
        self.sides: dict[int, compare.Sides] = {}  # of releases that are being compared
        self._tokens = 0
        self._waits: dict[int, tuple[int, ClientRequest]] = {}  # our token: the asker's, and what it asked
        self._placed: dict[
            int, tuple[int, int, ClientRequest]
        ] = {}  # index: term, the asker's token, what it asked
        self._reads: dict[int, tuple[int, ClientRequest]] = {}
        self._relays: dict[int, tuple[int, int]] = {}  # of a follower: the asker's token, and when
        self._asked_by: dict[int, tuple[str, int]] = {}  # of the leader: which keeper relayed, under what id
        self._pending: set[str] = (
            set()
        )  # commands that wait to be agreed, so that they are not proposed twice
        self.actions: list = []
        self._new = False  # it has only just come to lead
        self.watch: Callable[[w.Entry], None] | None = None  # told of each entry that is agreed

    # Events.

    def heard(self, now: int, source: str, message: ReplicaMessage) -> list:
        """A message of another keeper."""
        self.actions = []
        if isinstance(message, ForwardRequest):
            token = self._token()
            self._asked_by[token] = source, message.id
            self._ask(now, token, message.request)
        elif isinstance(message, ForwardReply):
            if (waiting := self._relays.pop(message.id, None)) is not None:
                self.actions.append(Reply(waiting[0], message.reply))
        else:
            self._agree(now, w.Heard(source, message))
        return self._done(now)

    def asked(self, now: int, token: int, ask: ClientRequest) -> list:
        """A member or an operator asks; the answer comes as Reply, or never where this keeper is cut off."""
        self.actions = []
        self._ask(now, token, ask)
        return self._done(now)

    def passed(self, now: int) -> list:
        """Time has passed; to be called at `due` at the latest."""
        self.actions = []
        self._agree(now, w.Passed())
        for number in [n for n, (_, at) in self._relays.items() if now - at > RELAY_KEPT]:
            self._reply(self._relays.pop(number)[0], Unavailable("the leader did not answer"))
        return self._done(now)

    def hand_over(self, now: int) -> list:
        """This keeper is about to end: let another one lead."""
        self.actions = []
        self._agree(now, w.HandOver())
        return self._done(now)

    def synced(self, now: int, index: int) -> list:
        """All that was to be kept up to that index is on the disk."""
        self.actions = []
        self._agree(now, w.Synced(index))
        return self._done(now)

    def kept(self, now: int, snapshot: w.Snapshot) -> list:
        """The snapshot is on the disk."""
        self.actions = []
        self._agree(now, w.Kept(snapshot))
        return self._done(now)

    @property
    def due(self) -> int:
        """When to call `passed`."""
        return min(self.agree.due, self.looked + LOOK_EVERY) if self.leads else self.agree.due

    @property
    def leads(self) -> bool:
        return self.agree.part.value == "leader"

    def clock(self, now: int) -> int:
        """The fleet's time, by a leader."""
        return self.clock_then + now - self.led_from

    def _token(self) -> int:
        self._tokens += 1
        return -self._tokens  # the adapter's are positive

    def _done(self, now: int) -> list:
        if self.leads and now - self.looked >= LOOK_EVERY and self.agree.leads(now):
            self._look(now)
        if len(self.agree.log.entries) > SNAP_EVERY and self.agree.applied > self.agree.log.snapshot.index:
            self._snap()
        found, self.actions = self.actions, []
        return found

    # The agreed log.

    def _agree(self, now: int, event: w.Event) -> None:
        for action in self.agree.step(now, event):
            taken = self._TAKEN.get(type(action))
            if taken is None:
                self.actions.append(action)
            else:
                taken(self, now, action)
        if self._new:  # before anything else that it proposes
            self._new = False
            self._propose(now, commands.Mass(self.clock(now), BLIND))

    def _commit(self, now: int, action: w.Commit) -> None:
        for entry in action.entries:
            if self.watch is not None:
                self.watch(entry)
            done = None
            if entry.kind == w.COMMAND:
                done = commands.apply(self.world, entry.index, entry.data)
            placed = self._placed.pop(entry.index, None)
            if placed is not None:
                self._answer_placed(entry, placed, done)

    def _answer_placed(self, entry: w.Entry, placed: tuple[int, int, ClientRequest], done) -> None:
        term, token, ask = placed
        if term != entry.term:
            self._reply(token, Unavailable("the leader changed: ask again with the same id"))
        elif isinstance(ask, SubmitRequest):
            self._reply(token, views.did(self.world, ask.request, done))
        elif isinstance(ask, ChangeReplicas):
            self._reply(token, SubmitReply(True, f"the keepers are {', '.join(sorted(self.agree.config))}"))

    def _install(self, now: int, action: w.Install) -> None:
        self.world = decode_snapshot(action.snapshot.data) if action.snapshot.data else ClusterState()
        self._placed.clear()
        self.actions.append(action)

    def _accepted(self, now: int, action: w.Accepted) -> None:
        waiting = self._waits.pop(action.token, None)
        if waiting is not None:
            self._placed[action.index] = action.term, *waiting

    def _rejected(self, now: int, action: w.Rejected) -> None:
        waiting = self._waits.pop(action.token, None) or self._reads.pop(action.token, None)
        if waiting is not None:
            self._reply(waiting[0], Unavailable(action.reason, action.leader))

    def _confirmed(self, now: int, action: w.Confirmed) -> None:
        waiting = self._reads.pop(action.token, None)
        if waiting is None:
            return
        token, ask = waiting
        if isinstance(ask, Heartbeat):
            self._reply(token, self._beaten(now, ask))
        else:
            self._reply(token, ReadReply(views.show(self, now, ask)))

    def _role(self, now: int, action: w.Role) -> None:
        self.actions.append(action)
        if action.leads:
            self.led_from, self.clock_then = now, self.world.clock
            self.sessions, self.sights, self.desk = Sessions(now), Sights(), Desk()
            self.looked = now
            self.sides.clear()
            self._new = True
        else:
            for token, _ in self._waits.values():
                self._reply(token, Unavailable("no longer the leader", action.leader))
            for _, token, _ in self._placed.values():
                self._reply(
                    token,
                    Unavailable("the leader changed: ask again with the same id", action.leader),
                )
            self._waits.clear()
            self._placed.clear()
        self._pending.clear()

    _TAKEN = {w.Commit: _commit, w.Install: _install, w.Accepted: _accepted, w.Rejected: _rejected,
              w.Confirmed: _confirmed, w.Role: _role}  # fmt: skip

    def _snap(self) -> None:
        index = self.agree.applied
        config = self.agree.config if self.agree.config_index <= index else None
        if config is not None:  # one that is not agreed yet must not stand in a snapshot
            snapshot = w.Snapshot(index, self.agree.log.term(index), config, encode_snapshot(self.world))
            self.actions.append(Snap(snapshot))

    # Requests.

    def _reply(self, token: int, answer: ClientReply) -> None:
        relayed = self._asked_by.pop(token, None)
        if relayed is not None:
            self.actions.append(w.Send(relayed[0], ForwardReply(relayed[1], answer)))
        else:
            self.actions.append(Reply(token, answer))

    def _ask(self, now: int, token: int, ask: ClientRequest) -> None:
        if isinstance(ask, Probe):
            self._reply(token, ProbeReply(self.name, ""))
        elif not self.agree.leads(now):
            self._relay(now, token, ask)
        elif isinstance(ask, Heartbeat):
            self._beat(now, token, ask)
        elif isinstance(ask, ReadRequest):
            self._read(now, token, ask)
        elif isinstance(ask, SubmitRequest):
            self._propose(now, msgspec.structs.replace(ask.request, time_us=self.clock(now)), token, ask)
        else:
            self._keepers(now, token, ask)

    def _relay(self, now: int, token: int, ask: ClientRequest) -> None:
        leader = self.agree.leader
        if not leader or leader == self.name or token in self._asked_by:
            self._reply(token, Unavailable("no leader is known here"))
            return
        number = -self._token()
        self._relays[number] = token, now
        self.actions.append(w.Send(leader, ForwardRequest(number, ask)))

    def _read(self, now: int, token: int, ask: ClientRequest) -> None:
        own = self._token()
        self._reads[own] = token, ask
        self._agree(now, w.Read(own, not isinstance(ask, Heartbeat)))

    def _propose(
        self, now: int, command: commands.Command, token: int = 0, ask: ClientRequest | None = None
    ) -> None:
        own = self._token()
        if token:
            self._waits[own] = token, ask
        self._agree(now, w.Propose(commands.encode(command), own))

    def _keepers(self, now: int, token: int, ask: ChangeReplicas) -> None:
        if ask.action == "lead":
            self._agree(now, w.HandOver(ask.name))
            self._reply(token, SubmitReply(True, "the lead is being handed over"))
            return
        peer = w.Peer(ask.address, False, ask.disk) if ask.action == "add" else None
        if ask.action == "add" and not ask.address or ask.action not in ("add", "remove"):
            self._reply(
                token,
                SubmitReply(False, f"cannot {ask.action} {ask.name}: add NAME ADDRESS DISK, or remove NAME"),
            )
            return
        own = self._token()
        self._waits[own] = token, ask
        self._agree(now, w.Change(ask.name, peer, own))

    # Sessions.

    def _beat(self, now: int, token: int, beat: Heartbeat) -> None:
        key = f"{beat.kind}:{beat.name}:{beat.incarnation}"
        session = self.sessions.beat(now, key, beat)
        session.told |= beat.term == self.agree.term  # it knows of this leader, and told all anew
        if beat.kind == "node":
            self.sights.dirty.update(beat.executors)
            if beat.digest is not None and beat.term == self.agree.term and beat.leader_timestamp >= 0:
                self.desk.take(min(now, beat.leader_timestamp + beat.timestamp_age_us), key, beat.digest)
        self._tell(now, key, beat)
        self._read(now, token, beat)

    def _tell(self, now: int, key: str, beat: Heartbeat) -> None:
        """Put what a beat tells into the log, where it changes what is agreed."""
        at, member = self.clock(now), self.world.members.get(key)
        if member is None:
            self._once(
                now,
                f"join {key}",
                commands.Joined(
                    at,
                    beat.kind,
                    beat.name,
                    beat.incarnation,
                    beat.zone,
                    beat.address,
                    beat.version,
                    beat.stops_at_lease_expiry,
                    beat.unit_type,
                ),
            )
            return
        if member.state == "ended":
            return
        if beat.leaving:
            self._once(now, f"end {key}", commands.Ended(at, key, "its own word"))
            return
        if member.state != "live":
            self._once(now, f"back {key}", commands.Back(at, key))
        self._tell_done(now, key, beat)
        self._tell_budgets(now, key, beat)
        if beat.units and any(self._unit_differs(name, told, beat) for name, told in beat.units.items()):
            self._once(now, f"units {key} {beat.sequence}", commands.Units(at, beat.name, beat.units))
        for life in beat.ended_members:
            if life in self.world.members and self.world.members[life].state != "ended":
                self._once(now, f"end {life}", commands.Ended(at, life, f"steward {beat.name}"))

    def _tell_done(self, now: int, key: str, beat: Heartbeat) -> None:
        unknown = {name: epoch for name, epoch in beat.held_grants.items()
                   if epoch >> 40 < self.world.generation and not self._known_out(name)}  # fmt: skip
        if unknown:
            self._once(now, f"held {key} {sorted(unknown)}", commands.Held(self.clock(now), key, unknown))
        done = {}
        for permit in self.world.permits.values():
            if (
                permit.out
                and key in permit.undrained_members
                and beat.drained.get(permit.target) == permit.epoch
            ):
                done[permit.target] = permit.epoch
        if done:
            self._once(
                now, f"done {key} {sorted(done.items())}", commands.Cleared(self.clock(now), key, done)
            )

    def _tell_budgets(self, now: int, key: str, beat: Heartbeat) -> None:
        """What a node wants to spend, where it has changed; and that it follows a smaller word."""
        if beat.kind != "node" or not self.world.budgets:
            return
        mine = [by[key] for by in self.world.budget_grants.values() if key in by]
        if any(one.before > one.rate and one.epoch <= beat.orders_epoch for one in mine):
            self._once(
                now,
                f"follows {key} {beat.orders_epoch}",
                commands.Follows(self.clock(now), key, beat.orders_epoch),
            )
        if not same_wants(self.world.budget_grants, key, beat.budget_demand) or len(mine) < len(
            self.world.budgets
        ):
            self._once(now, f"wants {key}", commands.Wants(self.clock(now), key, beat.budget_demand))

    def _known_out(self, name: str) -> bool:
        kind, _, target = name.partition(":")
        return any(p.out and (p.kind, p.target) == (kind, target) for p in self.world.permits.values())

    def _unit_differs(self, name: str, told: tuple[str, str, int, int], beat: Heartbeat) -> bool:
        unit = self.world.units.get(name)
        if unit is None:
            return True
        exits = told[2] if told[3] == unit.ordered_epoch else unit.unexpected_exits
        return (unit.version, unit.state, unit.unexpected_exits, unit.applied_epoch) != (
            told[0],
            told[1],
            exits,
            told[3],
        )

    def _once(self, now: int, what: str, command: commands.Command) -> None:
        """Propose it, unless the same waits already to be agreed."""
        if what not in self._pending:
            self._pending.add(what)
            self._propose(now, command)

    def _beaten(self, now: int, beat: Heartbeat) -> HeartbeatReply:
        key = f"{beat.kind}:{beat.name}:{beat.incarnation}"
        member = self.world.members.get(key)
        if member is None or member.state == "ended":
            return HeartbeatReply(beat.sequence, 0, self.agree.term)
        lost = any(epoch >> 40 < self.world.generation and not self._known_out(name)
                   for name, epoch in beat.held_grants.items())  # fmt: skip
        orders = (
            None if lost or beat.orders_epoch == self.world.orders_epoch else views.orders(self.world, member)
        )
        lease = LEASE if member.state == "live" and not lost else 0  # never on orders of before a restore
        return HeartbeatReply(beat.sequence, lease, self.agree.term, orders,
                        self._to_look_at(now, key), now)  # fmt: skip

    def _to_look_at(self, now: int, key: str) -> dict[str, str]:
        """A few members look at each suspect, not all."""
        suspects = self.sessions.suspects(now, self.world)
        if not suspects:
            return {}
        lookers = sorted(k for k in self.sessions.by_key if k not in suspects)
        found = {}
        for suspect, address in suspects.items():
            at = sum(suspect.encode()) % max(1, len(lookers))
            if key in (lookers[at:] + lookers[:at])[:LOOKERS]:
                found[suspect] = address
        return found

    # The leader's look.

    def _look(self, now: int) -> None:
        """Ten times a second: sessions, sights, what is due, what is to be compared."""
        self._pending.clear()
        self.sessions.stood_still(now)
        self.looked = now
        self.sessions.forget(self.world)
        if self.agree.log.term(self.agree.commit) != self.agree.term:
            return  # what came before is not known to be agreed yet
        at = self.clock(now)
        lapse = self.sessions.lapse(now, self.world)
        targets, mass = self.sights.changes(now, self.sessions, self.world)
        mass = mass or lapse.mass or self._blind(now)
        changed = [k for k in lapse.silent if self.world.members[k].state != "silent"]
        sure = tuple(
            k
            for k in lapse.sure
            if any(k in p.undrained_members for p in self.world.permits.values() if p.out)
        )
        if changed or lapse.cut_off or sure:
            self._propose(now, commands.Lapsed(at, tuple(changed), lapse.cut_off, sure))
        targets += self._keeper_targets(now)
        if targets:
            self._propose(now, commands.Seen(at, targets))
        if mass != self.world.halt_reason and (mass or self._auto(self.world.halt_reason)):
            self._propose(now, commands.Mass(at, mass))  # after what was seen: an end of it grants at once
        self._observe(now, mass)
        due = commands.due(self.world)
        if due is not None and at >= due:
            self._propose(now, commands.Tick(at))
        if now - self.compared >= COMPARE_EVERY:
            self.compared = now
            self._compare(now)

    def _observe(self, now: int, mass: str) -> None:
        """What nodes tell of zones, where it differs; nothing while too little is heard to be believed."""
        if now - self.observed < OBSERVE_EVERY or not self.world.zoning.regions:
            return
        self.observed = now
        if mass or self.world.halt_reason == BLIND:
            return
        members = self.world.members
        self.desk.forget([k for k in self.desk.held if k in members and members[k].state == "ended"])
        evidence = self.desk.look(now, self.world.zoning.zones)
        world = self.world
        moves = world.admission.active and self.clock(now) - world.traffic.news_at >= NEWS_EVERY
        if moves or not same_news(world.traffic.told, evidence):
            self._propose(now, commands.Observed(self.clock(now), evidence))

    @staticmethod
    def _auto(why: str) -> bool:
        """Whether a halt ends by itself: what was seen is not seen any longer."""
        return "at once" in why or why == BLIND

    def _blind(self, now: int) -> str:
        """A new leader grants nothing before most nodes have told it all: what is agreed may be old."""
        if self.world.halt_reason != BLIND or now - self.led_from > LEASE:
            return ""
        nodes = [m for m in self.world.members_of("node") if m.state != "silent"]
        told = sum(m.key in self.sessions.by_key and self.sessions.by_key[m.key].told for m in nodes)
        return "" if 2 * told > len(nodes) or not nodes else BLIND

    def _keeper_targets(self, now: int) -> tuple[Target, ...]:
        """Keepers are targets too: taking them down is counted."""
        found = []
        for name in self.agree.config:
            follower = self.agree.followers.get(name)
            silent = name != self.name and (follower is None or now - follower.heard > KEEPER_SILENT)
            health = "silent" if silent else "well"
            old = self.world.targets.get(permits.key_of("keeper", name))
            if old is None or old.health != health:
                found.append(Target("keeper", name, health=health))
        return tuple(found)

    def _compare(self, now: int) -> None:
        going = {r.id for r in release.comparing(self.world)}
        for number in [number for number in self.sides if number not in going]:
            del self.sides[number]
        counts = self._counts()
        for number in sorted(going):
            found = self.world.releases[number]
            side = self.sides.setdefault(number, compare.Sides(counts))
            side.look(counts, {step.unit for step in found.steps if step.state == "new"})
            why = compare.worse(found.plan, side.new, side.rest)
            enough = min(side.new.jobs, side.rest.jobs)
            if why or found.compared_requests < found.plan.min_sample <= enough:
                self._once(now, f"judged {number}", commands.Judged(self.clock(now), number, why, enough))

    def _counts(self) -> dict[str, compare.Counts]:
        """Of each node's newest life."""
        found: dict[str, tuple[int, compare.Counts]] = {}
        for key, session in self.sessions.by_key.items():
            member = self.world.members.get(key)
            if member is None or member.kind != "node" or member.state != "live":
                continue
            if member.joined_at >= found.get(member.name, (-1,))[0]:
                found[member.name] = member.joined_at, compare.Counts(*session.counts)
        return {name: counts for name, (_, counts) in found.items()}
