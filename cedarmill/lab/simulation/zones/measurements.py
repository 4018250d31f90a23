"""Measures a run of zones step by step, and makes its result."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy

from cedarmill.cluster.observations.digest import SCOPES, WHOLE
from cedarmill.cluster.traffic_plan.allocation import allocate
from cedarmill.lab.simulation.seeds import timeline_hash
from cedarmill.lab.simulation.zones.results import ZoneResult
from cedarmill.lab.simulation.zones.setup import SAFE_LOAD, SCOPE_SHARES, STEP, STEPS_PER_SECOND, Array

if TYPE_CHECKING:
    from cedarmill.lab.simulation.zones.simulation import ZoneSimulation

OVERLOAD = 1.05  # of a zone's true capacity: a receiver beyond it is over its safe load, noise allowed
MIN_INBOUND = 0.03  # of a zone's slots that others send, for it to be a receiver
HIGH_FAILURE = 0.05  # share of failures beyond which a zone has no room
UNKNOWN = -1.0  # what is possible, in steps at which it was not asked
INCIDENT_AT = 10.0  # s
SETTLED_WITHIN = 0.03  # of the last level


class Flows(NamedTuple):
    """What was sent in a step, in slots."""

    demand: Array  # by node
    arrived: Array  # by node and zone
    capacity: Array  # by zone, at the step's beginning
    served: Array  # share of what is offered, by zone


class StepFigures(NamedTuple):
    """Slots of one step; the order enters the timeline's hash."""

    offered: float
    served: float
    possible: float
    crossed: float


class Measurements:
    """The figures of one run."""

    def __init__(self, simulation: ZoneSimulation) -> None:
        self._simulation, self._world = simulation, simulation.world
        self._steps: list[StepFigures] = []
        self._loads: list[Array] = []
        self._overload_time: Array = numpy.zeros(self._world.count)
        self._max_overload_time = 0.0
        self._max_returning_load = 0.0

    def record(self, flows: Flows) -> None:
        """Take in a step."""
        world, capacity = self._world, flows.capacity
        offered = flows.arrived.sum(0)
        local = numpy.zeros(world.count)
        numpy.add.at(local, world.home, flows.arrived[numpy.arange(len(world.home)), world.home])
        wanted = numpy.bincount(world.home, flows.demand, world.count)
        whole_second = round(world.now * STEPS_PER_SECOND) % STEPS_PER_SECOND == 0
        possible = self._possible(flows.demand, world.planned_capacity()) if whole_second else UNKNOWN
        far = flows.arrived.sum() - local.sum()
        room = numpy.minimum(wanted, capacity * SAFE_LOAD / WHOLE * (1 - (world.failing > HIGH_FAILURE)))
        crossed = min(far, numpy.maximum(0.0, room - local).sum())
        served = (offered * flows.served).sum()
        self._steps.append(StepFigures(flows.demand.sum(), served, possible, crossed))
        load = numpy.where(capacity > 0, offered / numpy.maximum(capacity, 1e-9), 0.0)
        self._loads.append(load)
        is_receiver = offered - local > MIN_INBOUND * world.full
        overloaded = (load > OVERLOAD) & is_receiver & (wanted <= capacity * OVERLOAD)
        self._overload_time = numpy.where(overloaded, self._overload_time + STEP, 0.0)
        self._max_overload_time = max(self._max_overload_time, float(self._overload_time.max()))
        for zone in self._simulation.routing.returning():
            self._max_returning_load = max(self._max_returning_load, float(load[zone]))

    def _possible(self, demand: Array, capacity: Array) -> float:
        """Slots that an all-knowing plan would serve now, under the same bounds."""
        world = self._world
        names = list(enumerate(world.names))
        room = {
            name: int(WHOLE * capacity[n] * SAFE_LOAD / WHOLE * (1 - world.failing[n])) for n, name in names
        }
        wanted = numpy.bincount(world.home, demand, world.count)
        wishes = {
            (name, scope): int(WHOLE * wanted[n] * SCOPE_SHARES[scope])
            for n, name in names
            for scope in SCOPES
        }
        links = {
            f"{source}>{target}": "gone"
            for i, source in names
            for j, target in names
            if world.links[i, j] < 0.5 and i != j
        }
        # the own zone may be filled beyond what is safe for it: nothing is sent there by plan
        allocation = allocate(self._simulation.layout, room, {}, wishes, links)
        return sum(allocation.flows.values()) / WHOLE

    def result(self) -> ZoneResult:
        """Of the whole run."""
        routing, steps = self._simulation.routing, self._steps
        first, last = (int(second / STEP) for second in self._simulation.incident.steady)
        asked = [one for one in steps[first:last] if one.possible >= 0]
        possible = sum(one.possible for one in asked)
        served_of_possible = sum(
            min(self._mean_served(first + STEPS_PER_SECOND * n), one.possible) for n, one in enumerate(asked)
        )
        offered = sum(one.offered for one in steps)
        text = repr([tuple(round(float(figure), 6) for figure in one) for one in steps]).encode()
        return ZoneResult(
            self._simulation.policy,
            sum(one.served for one in steps) / offered,
            possible / max(1e-9, sum(one.offered for one in asked)),
            served_of_possible / max(1e-9, possible),
            sum(one.crossed for one in steps) / offered,
            self._worst_loads(),
            round(self._max_overload_time, 2),
            self._world.zones_fallen,
            routing.changes(),
            round(self._max_returning_load, 3),
            self._settled(),
            timeline_hash(text),
            list(routing.violations),
        )

    def _worst_loads(self) -> list[float]:
        """The fullest zone's load, by the second."""
        starts = range(0, len(self._loads), STEPS_PER_SECOND)
        seconds = [self._loads[at : at + STEPS_PER_SECOND] for at in starts]
        return [float(max(load.max() for load in second)) for second in seconds]

    def _mean_served(self, step: int) -> float:
        """Over the second that begins with that step."""
        second = self._steps[step : step + STEPS_PER_SECOND]
        return sum(one.served for one in second) / max(1, len(second))

    def _settled(self) -> float:
        """From the incident on, till the share served stays within 3 % of its last level (s)."""
        shares = [one.served / one.offered if one.offered else 1.0 for one in self._steps]
        level = sum(shares[-50:]) / 50
        smooth = [sum(shares[n : n + 10]) / 10 for n in range(len(shares) - 10)]
        far = [n for n, share in enumerate(smooth) if abs(share - level) > SETTLED_WITHIN]
        return max(0.0, round((far[-1] + 10) * STEP - INCIDENT_AT, 1)) if far else 0.0
