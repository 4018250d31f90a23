"""Small cases for `explore`: a drain under a limit of one, and a plan of traffic over three zones."""

import copy

import msgspec

from cedarmill.cluster.member_orders import orders_for
from cedarmill.cluster.messages import Orders
from cedarmill.cluster.observations.assessment import ClusterAssessment, ZoneAssessment
from cedarmill.cluster.observations.digest import SCOPES, WHOLE, LocationObservation
from cedarmill.cluster.plan_follower import PlanFollower
from cedarmill.cluster.state import ClusterState, Limit, Member, RequestOutcome, Target
from cedarmill.cluster.state_machine.command import Command
from cedarmill.cluster.state_machine.dispatch import apply, encode, next_due
from cedarmill.cluster.state_machine.permit_states import open_permit
from cedarmill.cluster.state_machine.permits import ConfirmDrained, RequestPermits, ReturnPermit
from cedarmill.cluster.state_machine.sessions import ExpireSessions, RestoreSession
from cedarmill.cluster.state_machine.setup import AdvanceTime
from cedarmill.cluster.state_machine.targets import UpdateTargets
from cedarmill.cluster.state_machine.traffic import RecordZoneEvidence
from cedarmill.cluster.state_machine.zones import ControlZone, SetZones
from cedarmill.cluster.traffic_control.reports import route_weights
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.cluster.traffic_plan.planner import available_room, demand_by_source
from cedarmill.cluster.traffic_plan.state import WeightRow
from cedarmill.cluster.traffic_plan.weights import expected_load
from cedarmill.lab.simulation.exhaustive import hashed

S = 1_000_000


class Entries:
    """A world to which entries are applied one after the other."""

    def __init__(self, world: ClusterState) -> None:
        self.world, self.now, self.index = world, S, 0

    def apply(self, command: Command) -> RequestOutcome:
        self.index += 1
        return apply(self.world, self.index, encode(command))

    def pass_time(self, us: int) -> None:
        """Let it pass, with what is due meanwhile."""
        end = self.now + us
        while (at := next_due(self.world)) is not None and at <= end:
            self.now = max(at, self.now)
            self.apply(AdvanceTime(self.now))
        self.now = end
        self.apply(AdvanceTime(self.now))

    def copy(self):
        return copy.deepcopy(self)

    def _state(self) -> bytes:
        """All that is agreed, but for words to people."""
        world = msgspec.structs.replace(self.world, log=[])
        return msgspec.msgpack.encode(world)


class Drains(Entries):
    """Two nodes with a job each at executor a, and operators that want a and b out, of which one may be.

    Orders and acknowledgements take their time, a node falls silent and comes back, an executor is lost.
    """

    NAMES = ("ask a", "ask b", "orders n0", "orders n1", "orders n0", "ends n0", "ends n1", "acks n0",
             "acks n1", "silent n1", "back n1", "lost b", "give a")  # fmt: skip

    def __init__(self) -> None:
        super().__init__(ClusterState("c", slow_start_us=0, limits=[Limit("executor", "fleet", most=1)]))
        for name in "ab":
            target = Target("executor", name, "z")
            self.world.targets[f"executor:{name}"] = target
        for n in range(2):
            member = Member("node", f"n{n}", "1", "z")
            self.world.members[member.key] = member
        self.orders = {f"n{n}": Orders(0) for n in range(2)}
        self.jobs = {"n0": True, "n1": True}  # at a
        self.asked: set[str] = set()
        self.lost_b = False

    def may(self, name: str) -> bool:
        what, _, who = name.partition(" ")
        if what == "acks":
            return "a" in self.orders[who].excluded_executors and not self.jobs[who]
        if what == "back":
            return self.world.members["node:n1:1"].state == "silent"
        if what == "give":
            return self._out("a") is not None
        return True

    def _out(self, name: str):
        return next((p for p in self.world.permits.values() if p.out and p.target == name), None)

    def do(self, name: str) -> None:
        what, _, who = name.partition(" ")
        key = f"node:{who}:1"
        if what == "ask":
            self.apply(RequestPermits(self.now, f"op-{who}", "1", "executor", (who,)))
        elif what == "orders":
            self.orders[who] = orders_for(self.world, self.world.members[key])
        elif what == "ends":
            self.jobs[who] = False
        elif what == "acks":
            self.apply(ConfirmDrained(self.now, key, {"a": self.orders[who].excluded_executors["a"]}))
        elif what == "silent":
            self.apply(ExpireSessions(self.now, (key,)))
        elif what == "back":
            self.apply(RestoreSession(self.now, key))
        elif what == "lost":
            self.lost_b = True
            self.apply(UpdateTargets(self.now, (Target("executor", "b", "z", health="ill"),)))
        else:
            self.apply(ReturnPermit(self.now, "op-a", "2", "executor", "a"))

    def key(self) -> bytes:
        orders = [(name, sorted(one.excluded_executors.items())) for name, one in sorted(self.orders.items())]
        return hashed(self._state() + repr((orders, self.jobs)).encode())

    def broken(self) -> list[str]:
        found = []
        out = [name for name in "ab" if self._out(name) is not None]
        if len(out) > 1:
            found.append("never too many out: a and b are out at once")
        permit = self._out("a")
        if permit is not None and permit.drained_at:
            may_send = [n for n, one in self.orders.items() if "a" not in one.excluded_executors]
            busy = [n for n, job in self.jobs.items() if job]
            found += [f"no work after drained: {n} may still send" for n in may_send]
            found += [f"no job lost by plan: {n} still has a job there" for n in busy]
        return found


ZONING = ZoneLayout({"east": ["a", "b"], "west": ["c"]})
SLOTS = 36_000


class Traffic(Entries):
    """Three zones: a is lost and comes back, b fails, c is evacuated, news and plans are on their way in any
    order, and time passes in between.
    """

    NAMES = ("a lost", "a well", "b fails", "leave c", "stay c", "time", "time", "long", "plan a", "plan b",
             "plan a", "a not reached")  # fmt: skip
    DEMAND = {"any": 8_000, "region": 2_000, "zone": 1_000}  # of each zone, thousandths of slots

    def __init__(self) -> None:
        super().__init__(ClusterState("c", limits=[Limit("zone", "fleet", most=1)]))
        self.apply(SetZones(self.now, "op", "1", ZONING))
        self.verdicts = dict.fromkeys("abc", "well")
        self._news()
        self.followers = {zone: PlanFollower() for zone in "ab"}
        self.epochs = dict.fromkeys("ab", 0)
        self.went_back = ""
        for zone in "ab":
            self._told(zone)

    def _news(self) -> None:
        found = {}
        for zone, verdict in self.verdicts.items():
            fails = 333 if verdict == "ill" else 0
            found[zone] = ZoneAssessment(verdict, SLOTS, 10_000, fails, 0, self.DEMAND, 3)
        self.apply(RecordZoneEvidence(self.now, ClusterAssessment(found)))

    def _told(self, zone: str) -> None:
        way = route_weights(self.world, zone)
        before = self.epochs[zone]
        if self.followers[zone].accept_plan(way):
            self.epochs[zone] = way.epoch
            if way.epoch < before:
                self.went_back = f"older plans never replace newer ones: {zone} follows {way.epoch}"

    def may(self, name: str) -> bool:
        what, _, rest = name.partition(" ")
        if name == "a well":
            return self.verdicts["a"] == "lost"
        if what == "stay":
            return open_permit(self.world, "zone", rest) is not None
        return True

    def do(self, name: str) -> None:
        what, _, rest = name.partition(" ")
        if name in ("a lost", "a well", "b fails"):
            self.verdicts[what] = {"fails": "ill"}.get(rest, rest)
            self._news()
        elif what in ("leave", "stay"):
            self.apply(ControlZone(self.now, "op", name, what, rest, 2 * S, "works"))
        elif what == "plan":
            self._told(rest)
        elif name == "a not reached":
            self.followers["b"].decide(self.now, {"a": LocationObservation(attempts=9, unreached=9)})
        else:
            self.pass_time({"time": 3 * S, "long": 25 * S}[what])

    def key(self) -> bytes:
        follow = [(zone, f.plan.epoch, sorted((z, h.until) for z, h in f.exclusions.items()))
                  for zone, f in self.followers.items()]  # fmt: skip
        return hashed(self._state() + repr((self.now, self.verdicts, follow)).encode())

    def broken(self) -> list[str]:
        found = [self.went_back] if self.went_back else []
        plan, world = self.world.traffic, self.world
        for source, by in plan.weights.items():
            for bound, row in by.items():
                found += self._row(source, bound, row, "the plan")
        for zone, follower in self.followers.items():
            shut = set(follower.plan.closed_zones)
            for bound, row in follower.weights(self.now).items():
                found += [f"a shut zone gets nothing: {z}, {zone}" for z in row if z in shut - {zone}]
                if row:
                    found += self._row(zone, bound, row, f"a node of {zone}")
        out = [name for name, one in world.zones.items() if one.status in ("leaving", "out")]
        if len(out) > 1:
            found.append(f"never too many out: {' and '.join(out)} are evacuated at once")
        return found + self._room()

    @staticmethod
    def _row(source: str, bound: str, row: WeightRow, whose: str) -> list[str]:
        found = []
        if sum(row.values()) != WHOLE:
            found.append(f"rows are whole: {whose}, {source} {bound}: {row}")
        if set(row) - set(ZONING.reachable_zones(source, bound)):
            found.append(f"residents stay: {whose}, {source} {bound}: {row}")
        return found

    def _room(self) -> list[str]:
        """What others send to a zone by the aim never brings it over its safe load."""
        plan = self.world.traffic
        room, spare = available_room(ZONING, self.world.zones, plan.assessment)
        demand = demand_by_source(plan.assessment)
        load = expected_load(plan.target_weights, demand)
        found = []
        for zone in "abc":
            mine = sum(slots * plan.target_weights[zone][b].get(zone, 0) // WHOLE
                       for b in SCOPES if (slots := demand.get((zone, b), 0)))  # fmt: skip
            most = max(room[zone] + spare[zone], mine) + 50  # thousandths of a slot: rounding of shares
            if load.get(zone, 0) > most and zone in plan.target_weights:
                found.append(f"no receiver over its safe load: {zone} gets {load[zone]} of {most}")
        return found


CASES = {"drains": Drains, "traffic": Traffic}
