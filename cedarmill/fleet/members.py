"""Who lives: leases by the leader's own clock, suspicion that asks others first, and disbelief of too much;
no I/O.

A lease is counted by its giver from when the beat came, by its holder from when it was sent, and shorter by
the bound on clock rates: it ends at the holder first. A new leader counts every lease from its own
election. A leader that stood still doubts itself first: it counts the time that it was away for nobody.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarmill.fleet.messages import ExecutorObservation, Heartbeat
from cedarmill.fleet.state import ClusterState, Member, Target

LEASE = 3_000_000  # us that a session holds without a beat
RATE = 0.01  # bound on how much faster one process's clock may run than another's: 1 %, far over a quartz's
SUSPECT = 1_200_000  # without a beat: others are asked
LOOKERS = 3  # members that are asked to look at a suspect
LOOK_KEPT = 2_500_000  # that an answer of theirs counts
STOOD = 500_000  # between two looks of the leader's own: then it was away
SPREAD = 1_000_000  # before a lease has run out, its holder counts as missing already: beats come spread
FEW = 2  # members that may fall silent at once and be believed
MOST_PART = 0.5  # of all: more at once is disbelieved


def holders_end(sent: int, lease: int) -> int:
    """When a lease ends at its holder, whose beat left at `sent`, both by the holder's clock."""
    return sent + int(lease * (1 - 2 * RATE))


@dataclass(slots=True)
class Session:
    """What a leader remembers of a life beside what is agreed."""

    heard: int
    doubts: bool = False
    counts: tuple[int, int, int, int] = (0, 0, 0, 0)
    seen: dict[str, ExecutorObservation] = field(default_factory=dict)
    told: bool = False  # whether it has told all to this leader
    reached: dict[str, tuple[int, bool]] = field(default_factory=dict)  # by others: when, and whether


class Lapse(NamedTuple):
    """Sessions that have run out, by what is believed of each; `mass`: too many to be believed."""

    silent: tuple[str, ...]
    cut_off: tuple[str, ...]
    sure: tuple[str, ...]
    mass: str


class Sessions:
    """A leader's view of the members' sessions."""

    def __init__(self, now: int) -> None:
        self.by_key: dict[str, Session] = {}
        self.began = now  # grace: leases given by the leader before may hold that long
        self.looked = now

    def beat(self, now: int, key: str, beat: Heartbeat) -> Session:
        """A beat has come."""
        session = self.by_key.get(key)
        if session is None:
            session = self.by_key[key] = Session(now)
        session.heard, session.doubts, session.counts = now, beat.was_suspended, beat.request_counts
        session.seen.update(beat.executors)
        for other, reached in beat.probe_results.items():
            if not beat.was_suspended or reached:  # one that stood still itself accuses nobody
                self._reached(now, other, reached)
        return session

    def _reached(self, now: int, key: str, reached: bool) -> None:
        session = self.by_key.get(key)
        if session is not None:
            session.reached["others"] = (now, reached or self._fresh(now, session))

    @staticmethod
    def _fresh(now: int, session: Session) -> bool:
        at, reached = session.reached.get("others", (now - LOOK_KEPT, False))
        return reached and now - at < LOOK_KEPT

    def heard(self, key: str) -> int:
        """When a life was last heard of; one never heard by this leader counts from its election."""
        session = self.by_key.get(key)
        return max(self.began, session.heard) if session is not None else self.began

    def stood_still(self, now: int) -> None:
        """The leader looks again: what it slept through is nobody's silence."""
        gap = now - self.looked
        self.looked = now
        if gap > STOOD:
            self.began = max(self.began, min(now, self.began + gap))
            for session in self.by_key.values():
                session.heard += gap

    def suspects(self, now: int, world: ClusterState) -> dict[str, str]:
        """Those to look at, and where."""
        return {
            key: m.address
            for key, m in world.members.items()
            if m.state in ("live", "cut-off") and m.address and now - self.heard(key) > SUSPECT
        }

    def lapse(self, now: int, world: ClusterState) -> Lapse:
        """What to believe of those whose lease has run out."""
        live = [m for m in world.members.values() if m.state in ("live", "cut-off")]
        over = [m for m in live if now - self.heard(m.key) > LEASE]
        reached = {m.key for m in over if m.key in self.by_key and self._fresh(now, self.by_key[m.key])}
        gone = [m for m in over if m.key not in reached]
        alive = [m for m in live if m.state == "live"]
        missing = [m for m in alive if m.key not in reached and now - self.heard(m.key) > LEASE - SPREAD]
        if gone and len(missing) > FEW and len(missing) > MOST_PART * len(alive):
            return Lapse((), (), (), f"{len(missing)} of {len(alive)} members fell silent at once")
        return Lapse(tuple(m.key for m in gone),
                     tuple(m.key for m in over if m.key in reached and m.state == "live"),
                     tuple(m.key for m in self._sure(now, world)), "")  # fmt: skip

    def _sure(self, now: int, world: ClusterState) -> Iterable[Member]:
        """Of those that stop by themselves when their lease has run out: it has, wherever they are."""
        for member in world.members.values():
            past = now - self.heard(member.key) > LEASE
            if member.stops_at_lease_expiry and member.state in ("silent", "cut-off", "live") and past:
                yield member

    def forget(self, world: ClusterState) -> None:
        """Lives that have ended."""
        for key in [
            key for key in self.by_key if key in world.members and world.members[key].state == "ended"
        ]:
            del self.by_key[key]


ILL_PART = 0.5  # of the nodes that have tried an executor lately: more have to say that it is ill
MASS_PART = 0.34  # of all executors that may fall ill between two looks and be believed
MASS_FEW = 2


class Sights:
    """What the nodes see of the executors, put together so that no single one outvotes the rest."""

    def __init__(self) -> None:
        self.dirty: set[str] = set()

    def merged(self, now: int, sessions: Sessions, world: ClusterState, name: str) -> Target | None:
        """One executor as most fresh nodes see it; None where none tells of it."""
        views = [
            s.seen[name]
            for key, s in sessions.by_key.items()
            if name in s.seen and not s.doubts and now - s.heard < LEASE and key.startswith("node:")
        ]
        if not views:
            return None
        listed = [view for view in views if view.listing != "gone"]
        newest = max(listed or views, key=lambda view: view.started_ms)
        health = "well"
        if len(listed) * 2 < len(views) or not listed:
            health = "gone"
        elif sum(view.listing == "draining" for view in views) * 2 > len(views):
            health = "draining"
        elif self._ill(views):
            health = "ill"
        return Target("executor", name, newest.zone, newest.type, newest.group, newest.slots, health,
                      started_ms=newest.started_ms)  # fmt: skip

    @staticmethod
    def _ill(views: list[ExecutorObservation]) -> bool:
        """Most of those that have tried it lately say so, and more than one, where there are more."""
        sure = [view for view in views if view.recently_tried]
        ill = sum(view.failing for view in sure)
        return ill > ILL_PART * len(sure) and ill >= min(2, len(views))

    def changes(self, now: int, sessions: Sessions, world: ClusterState) -> tuple[tuple[Target, ...], str]:
        """What differs from what is agreed; and why it is not believed, where too much fell ill at once."""
        found, worse = [], 0
        for name in sorted(self.dirty):
            target = self.merged(now, sessions, world, name)
            old = world.targets.get(f"executor:{name}")
            if target is None or (old is not None and _same(target, old)):
                continue
            worse += old is not None and old.health == "well" and target.health in ("ill", "gone")
            found.append(target)
        self.dirty.clear()
        every = sum(target.kind == "executor" for target in world.targets.values())
        if worse > MASS_FEW and worse > MASS_PART * every:
            self.dirty.update(target.name for target in found)  # looked at again
            well = tuple(target for target in found if target.health == "well")
            return well, f"{worse} of {every} executors seem ill or gone at once"
        return tuple(found), ""


def _same(a: Target, b: Target) -> bool:
    fields = ("zone", "type", "group", "slots", "health")
    started = abs(a.started_ms - b.started_ms) < 20  # two nodes tell one start by so much apart
    return started and all(getattr(a, name) == getattr(b, name) for name in fields)
