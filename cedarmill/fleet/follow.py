"""A node's side of the plan of traffic: shares for its reqs, and what it changes of them by its own sight; no
I/O.

The plan is followed as it is told, under its epoch, for as long as no newer one comes. A zone that it gives
and that this node does not reach is reported, and left out here alone: the plan that stands for the loss of
that zone holds then, and what still goes to a zone that is out stays at home. Nothing goes to a zone that no
agreed row names, so that nodes that all lose sight of one zone do not all fall on another.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cedarmill.fleet.evidence import BOUNDS, FEW, GONE, WHOLE, Seen, share
from cedarmill.fleet.messages import RouteWeights
from cedarmill.fleet.zones import TRIAL, Row, whole_row

HOLD_US = 5_000_000  # that a zone which was not reached is left out; doubled each time in a row
HOLD_MOST = 80_000_000
STREAK = 6  # attempts in a row that never arrived: sooner than a share of the last seconds shows it
CALM_US = 30_000_000  # after a hold without another, it counts as the first again
RAMP_US = 10_000_000  # after a hold, till the zone gets all that the plan gives it: its executors may be cold


@dataclass(slots=True)
class Hold:
    """A zone that is left out, till when, and how often in a row."""

    until: int
    times: int = 1


@dataclass(frozen=True, slots=True)
class Use:
    """What the node does: thousandths of its reqs by zone, by how far they may go."""

    epoch: int = 0
    rows: dict[str, Row] = field(default_factory=dict)
    cannot: tuple[str, ...] = ()
    shut: tuple[str, ...] = ()


class Follower:
    """One node's following of the plan."""

    def __init__(self) -> None:
        self.way: RouteWeights | None = None
        self.holds: dict[str, Hold] = {}
        self.empty: frozenset[str] = frozenset()

    def told(self, way: RouteWeights | None) -> bool:
        """A plan has come; an older one than that which is followed is passed over."""
        if way is None or (self.way is not None and way.epoch < self.way.epoch):
            return False
        self.way = way
        return True

    def look(
        self, now: int, seen: Mapping[str, Seen], empty: Iterable[str] = (), streaks: Mapping[str, int] = {}
    ) -> Use:  # noqa: B006  fmt: skip
        """What to do, by the plan and by what this node sees of zones; `empty`: nobody is listed there."""
        if self.way is None:
            return Use()
        self._note(now, seen, streaks)
        self.empty = frozenset(empty)
        given = {zone for row in self.way.weights.values() for zone in row}
        held = {zone for zone, hold in self.holds.items() if now < hold.until} | self.empty
        return Use(
            self.way.epoch, self.rows(now), tuple(sorted(given & held)), tuple(sorted(self.way.closed_zones))
        )

    def _note(self, now: int, seen: Mapping[str, Seen], streaks: Mapping[str, int]) -> None:
        for zone, one in seen.items():
            many = one.tried >= FEW and share(one.lost, one.tried) >= GONE
            if "/" in zone or not (many or streaks.get(zone, 0) >= STREAK):
                continue
            hold = self.holds.get(zone)
            if hold is None or now - hold.until > CALM_US:
                self.holds[zone] = Hold(now + HOLD_US)
            elif now >= hold.until:
                hold.times += 1
                hold.until = now + min(HOLD_MOST, HOLD_US << (hold.times - 1))

    def rows(self, now: int) -> dict[str, Row]:
        """What holds here now, by how far reqs may go: zones that are out here come back in steps."""
        out = {zone for zone, hold in self.holds.items() if now < hold.until}
        out |= self.way.closed_zones.keys() | self.empty
        back = {zone: now - hold.until for zone, hold in self.holds.items()
                if zone not in out and now - hold.until < RAMP_US}  # fmt: skip
        return {bound: self._ramped(bound, out, back) for bound in BOUNDS}

    def _ramped(self, bound: str, out: set[str], back: Mapping[str, int]) -> Row:
        row = self.row(bound, out)
        coming = {zone: since for zone, since in back.items() if row.get(zone, 0) > TRIAL}
        if not coming:
            return row
        part = min(coming.values())
        without = self.row(bound, out | coming.keys())
        names = row.keys() | without.keys()
        return whole_row({z: row.get(z, 0) * part + without.get(z, 0) * (RAMP_US - part) for z in names})

    def row(self, bound: str, out: Iterable[str]) -> Row:
        """One row, without the zones that are out here.

        What went to them stays at home, where it finds room or is refused: given to the others in the row it
        would bring them over what was planned for them.
        """
        out = set(out)
        row, own = self.way.weights.get(bound, {}), self.way.zone
        for zone in sorted(out & row.keys(), key=lambda zone: (zone != own, zone))[:1]:
            row = self.way.fallback_weights.get(zone, {}).get(bound, row)
        kept = {zone: part for zone, part in row.items() if zone not in out and zone != own}
        home = WHOLE - sum(kept.values())
        return kept | {own: home} if home else kept
