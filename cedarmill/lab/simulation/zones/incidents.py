"""The incidents that are played on zones, by name."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cedarmill.cluster.state_machine import commands
from cedarmill.lab.simulation.zones.agreed import AgreedPolicy
from cedarmill.lab.simulation.zones.setup import STEP, US, Incident

if TYPE_CHECKING:
    from cedarmill.lab.simulation.zones.simulation import ZoneSimulation

Change = Callable[["ZoneSimulation", float], None]

FOREVER = 1e9  # s
BEGINS = 10.0  # s, when most incidents begin
DRAIN_TIME = 4 * US
LONG_OVERLOAD = (
    8.0  # s, where slots are claimed that are not there: late requests, evidence, two cuts, a step
)


def _is_at(now: float, when: float) -> bool:
    return abs(now - when) < STEP / 2


def _nothing(run: ZoneSimulation, now: float) -> None:
    pass


def _zone_dies(run: ZoneSimulation, now: float) -> None:
    if _is_at(now, BEGINS):
        run.world.take_down(0, FOREVER)


def _zone_dies_while_another_is_drained(run: ZoneSimulation, now: float) -> None:
    if _is_at(now, 4.0) and isinstance(run.routing, AgreedPolicy):
        target = run.world.names[-1]
        run.routing.leader.agreed.apply(
            commands.ControlZone(run.now_us, "op", "leave", "leave", target, DRAIN_TIME, "work")
        )
    _zone_dies(run, now)


def _two_zones_die(run: ZoneSimulation, now: float) -> None:
    _zone_dies(run, now)
    if _is_at(now, 13.0):
        run.world.take_down(1, FOREVER)


def _link_changes(share: float, both_ways: bool, latency: float = 0.0) -> Change:
    """The link between two zones lets a share through, after a latency (s)."""

    def change(run: ZoneSimulation, now: float) -> None:
        world = run.world
        if _is_at(now, BEGINS):
            world.demand_factor[0] = 2.4  # so that there is traffic between zones at all
        if _is_at(now, 20.0):
            world.links[0, 1], world.latency[0, 1] = share, latency
            if both_ways:
                world.links[1, 0], world.latency[1, 0] = share, latency

    return change


def _zone_fails_a_third(run: ZoneSimulation, now: float) -> None:
    if _is_at(now, BEGINS):
        run.world.failing[0] = 1 / 3


def _zone_is_slow(run: ZoneSimulation, now: float) -> None:
    if _is_at(now, BEGINS):
        run.world.speed[0] = 0.5


def _zone_claims_too_much(run: ZoneSimulation, now: float) -> None:
    """It claims what it has not, and others send there since one zone has died."""
    if _is_at(now, 5.0):
        run.world.speed[1], run.world.claimed_factor[1] = 0.6, 1 / 0.6
    _zone_dies(run, now)


def _observers_fall_silent(run: ZoneSimulation, now: float) -> None:
    if _is_at(now, BEGINS):
        run.world.silent[0] = True


def _zone_flaps(run: ZoneSimulation, now: float) -> None:
    if 10.0 <= now < 130.0 and _is_at(now % 6.0, 4.0):
        run.world.take_down(0, 3.0)


def _zone_returns_after(seconds: float) -> Change:
    def change(run: ZoneSimulation, now: float) -> None:
        if _is_at(now, BEGINS):
            run.world.take_down(0, seconds)

    return change


def _demand_doubles(run: ZoneSimulation, now: float) -> None:
    if _is_at(now, BEGINS):
        run.world.demand_factor[0] = 2.0


def _busy_node_loses_all(run: ZoneSimulation, now: float) -> None:
    """One node that has most of its zone's requests loses all that it sends."""
    if _is_at(now, 5.0):
        run.world.weights[0] *= 5.0
    if _is_at(now, BEGINS):
        run.world.node_reach[0] = 0.0


def _digests_lie(run: ZoneSimulation, now: float) -> None:
    if _is_at(now, BEGINS):
        run.world.false_losses = True
    if _is_at(now, 25.0):
        run.world.false_losses = False


def _leader_until(last: float) -> Callable[[float], bool]:
    return lambda now: now < last


ALL_INCIDENTS = (
    Incident("calm", "nothing happens", _nothing, steady=(10.0, 60.0)),
    Incident("zone-dies", "a zone dies whole at 80% load", _zone_dies, 0.8),
    Incident(
        "zone-dies-drained",
        "the same while another one is drained",
        _zone_dies_while_another_is_drained,
        0.65,
    ),
    Incident("two-in-a-row", "a second zone dies 3 s after the first", _two_zones_die, 0.65),
    Incident("link-gone", "one link between two zones fails", _link_changes(0.0, True), 0.6),
    Incident("link-one-way", "one direction of it", _link_changes(0.0, False), 0.6),
    Incident("link-thin", "20% loss on it", _link_changes(0.8, True), 0.6),
    Incident("link-slow", "ten times the latency on it", _link_changes(1.0, True, 0.3), 0.6),
    Incident("gray", "a zone fails a third of its work and answers probes", _zone_fails_a_third),
    Incident("slow", "a zone has half of its speed", _zone_is_slow),
    Incident(
        "lies",
        "a zone claims slots that it has not, and another one dies",
        _zone_claims_too_much,
        0.65,
        max_overload=LONG_OVERLOAD,
    ),
    Incident("blind", "all observers of a zone fall silent", _observers_fall_silent),
    Incident(
        "loud", "one busy observer loses all that it sends", _busy_node_loses_all, 0.4, steady=(5.0, 10.0)
    ),
    Incident("lying", "digests say that most zones are lost, which are there", _digests_lie, 0.7),
    Incident("flaps", "a zone comes and goes for two minutes", _zone_flaps, 0.7, 140.0, (40.0, 130.0)),
    Incident("returns", "a zone dies and returns cold", _zone_returns_after(15.0), 0.7, 90.0, (60.0, 90.0)),
    Incident("doubles", "demand doubles in one zone", _demand_doubles, 0.65),
    Incident(
        "late-2",
        "a zone dies, digests are 2 s late",
        _zone_returns_after(20.0),
        0.7,
        90.0,
        (60.0, 90.0),
        digest_delay=2.0,
    ),
    Incident(
        "late-10",
        "the same, 10 s late",
        _zone_returns_after(20.0),
        0.7,
        120.0,
        (90.0, 120.0),
        digest_delay=10.0,
    ),
    Incident(
        "late-30",
        "the same, 30 s late",
        _zone_returns_after(20.0),
        0.7,
        160.0,
        (130.0, 160.0),
        digest_delay=30.0,
    ),
    Incident(
        "half",
        "the leader dies with a plan told to half of the nodes",
        _zone_dies,
        0.7,
        has_leader=lambda now: not 11.5 <= now < 20.0,
        half_hear=True,
    ),
    Incident(
        "keepers-gone",
        "a zone dies while no replica is there",
        _zone_dies,
        0.7,
        has_leader=_leader_until(9.0),
    ),
    Incident("keepers-gone-full", "the same at 85% load", _zone_dies, 0.85, has_leader=_leader_until(9.0)),
)
INCIDENTS = {incident.name: incident for incident in ALL_INCIDENTS}
