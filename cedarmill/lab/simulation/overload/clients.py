"""Simulated clients: they send first tries by their tenants' load, and come back when they were refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy

from cedarmill.lab.simulation.overload.request import ClientRequest
from cedarmill.lab.simulation.overload.setup import (
    REQUEST_CLASSES,
    REQUEST_TIME,
    STEP,
    TENANTS,
    TOP_WEIGHT,
    Tenant,
)

if TYPE_CHECKING:
    from cedarmill.lab.simulation.overload.simulation import OverloadSimulation

MAX_TRIES = 3  # of a client in all
RETURN_TIMES = (0.3, 1.2)  # s after which a client that was told nothing comes back
ADVISED_RETURN_TIMES = (0.8, 2.0)  # s, evenly: advice of a node that sheds, so that returns do not coincide
SIZE_SHAPE = 4.0  # of the gamma distribution of requests' sizes


class Clients:
    """All clients of a run."""

    def __init__(self, simulation: OverloadSimulation) -> None:
        self._simulation, self._setup = simulation, simulation.setup
        self._generator, self._figures = simulation.generator, simulation.figures
        weights = self._generator.uniform(0.5, 1.5, self._setup.nodes)  # of nodes: traffic is uneven
        self._node_bounds = (weights / weights.sum()).cumsum()

    def send_first_tries(self, now: float) -> None:
        """First tries of a step; and what an all-knowing admission would serve of them."""
        setup = self._setup
        load = setup.load(now)
        in_peak = load != setup.normal
        wanted: dict[int, float] = {}  # slot-seconds, by priority weight
        for number, tenant in enumerate(TENANTS):
            mean = self._mean_tries(tenant, load, in_peak)
            for one in REQUEST_CLASSES:
                for _ in range(int(self._generator.poisson(mean * one.share))):
                    size = self._send_first_try(now, number, one.weight, in_peak)
                    wanted[one.weight] = wanted.get(one.weight, 0.0) + size
        left = setup.all_slots * STEP
        for weight in sorted(wanted, reverse=True):
            served = min(wanted[weight], left)
            if now >= setup.begins:
                self._figures.best_value += weight * served
            left -= served

    def _mean_tries(self, tenant: Tenant, load: float, in_peak: bool) -> float:
        """How many first tries of a tenant come in a step in the mean."""
        setup = self._setup
        rate = setup.request_rate * STEP
        floods = setup.floods[0]
        mean = rate * tenant.share * (setup.normal if in_peak and floods else load)
        if in_peak and tenant.name == floods:
            mean += rate * (load - setup.normal)
        return mean

    def _send_first_try(self, now: float, tenant: int, weight: int, in_peak: bool) -> float:
        """Send one; its size in slot-seconds."""
        setup, figures = self._setup, self._figures
        floods, flooded_nodes = setup.floods
        at_some = in_peak and TENANTS[tenant].name == floods and flooded_nodes
        node = int(self._generator.integers(flooded_nodes)) if at_some else self.choose_node()
        size = float(self._generator.gamma(SIZE_SHAPE, REQUEST_TIME / SIZE_SHAPE))
        figures.first_tries += 1
        if now < setup.begins:
            figures.calm_tries += 1
        figures.came_by_second[int(now)] += 1
        if in_peak:
            figures.wanted_by_tenant[tenant] += size
            figures.top_weight_came += weight == TOP_WEIGHT
        first_at = now + float(self._generator.random()) * STEP
        request = ClientRequest(weight, tenant, first_at, size, node)
        self._simulation.schedule(first_at, self._simulation.nodes.accept, request)
        return size

    def choose_node(self) -> int:
        """Where a client connects."""
        number = int(numpy.searchsorted(self._node_bounds, self._generator.random()))
        return min(number, self._setup.nodes - 1)

    def on_refused(self, now: float, request: ClientRequest, advised: bool) -> None:
        """A node has refused it, with the advice of a cluster that sheds load, or without."""
        if now < self._setup.begins:
            if advised:
                self._figures.shed_in_calm += 1
            else:
                self._figures.rejected_in_calm += 1
        self.try_again(now, request, advised)

    def try_again(self, now: float, request: ClientRequest, advised: bool = False) -> None:
        """Come back later, if there are tries left."""
        if request.tries < MAX_TRIES * self._setup.retrying_hops and not request.done:
            request.tries += 1
            span = ADVISED_RETURN_TIMES if advised else RETURN_TIMES
            at = now + float(self._generator.uniform(*span))
            self._simulation.schedule(at, self._simulation.nodes.accept, request)
