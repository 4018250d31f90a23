"""Simulated clients, which send requests at their tenants' rates and retry refused requests."""

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

MAX_TRIES = 3  # per request and hop, the first try included
RETRY_DELAYS = (0.3, 1.2)  # seconds, bounds of the uniform delay of a retry without advice
# Seconds, bounds of the uniform delay that a shedding node advises; the spread keeps retries from coinciding.
ADVISED_RETRY_DELAYS = (0.8, 2.0)
REQUEST_SIZE_SHAPE = 4.0  # shape parameter of the gamma distribution


class Clients:
    """Generates the requests and retries of all clients in a run."""

    def __init__(self, simulation: OverloadSimulation) -> None:
        self._simulation, self._setup = simulation, simulation.setup
        self._generator, self._figures = simulation.generator, simulation.figures
        weights = self._generator.uniform(0.5, 1.5, self._setup.nodes)  # uneven traffic by node
        self._node_bounds = (weights / weights.sum()).cumsum()

    def send_first_tries(self, now: float) -> None:
        """Send the first tries of one step, and add the value that an ideal admission would serve of them."""
        setup = self._setup
        load = setup.load(now)
        in_peak = load != setup.normal
        demand: dict[int, float] = {}  # slot-seconds, by priority weight
        for number, tenant in enumerate(TENANTS):
            mean = self._mean_tries(tenant, load, in_peak)
            for request_class in REQUEST_CLASSES:
                for _ in range(int(self._generator.poisson(mean * request_class.share))):
                    size = self._send_first_try(now, number, request_class.weight, in_peak)
                    demand[request_class.weight] = demand.get(request_class.weight, 0.0) + size
        capacity = setup.all_slots * STEP
        for weight in sorted(demand, reverse=True):
            served = min(demand[weight], capacity)
            if now >= setup.peak_start:
                self._figures.ideal_value += weight * served
            capacity -= served

    def _mean_tries(self, tenant: Tenant, load: float, in_peak: bool) -> float:
        """Return the expected number of a tenant's first tries in one step."""
        setup = self._setup
        rate = setup.request_rate * STEP
        flooding_tenant = setup.flood[0]
        mean = rate * tenant.share * (setup.normal if in_peak and flooding_tenant else load)
        if in_peak and tenant.name == flooding_tenant:
            mean += rate * (load - setup.normal)
        return mean

    def _send_first_try(self, now: float, tenant: int, weight: int, in_peak: bool) -> float:
        """Schedule the first try of a request and return its size in slot-seconds."""
        setup, figures = self._setup, self._figures
        flooding_tenant, flooded_nodes = setup.flood
        is_targeted = in_peak and TENANTS[tenant].name == flooding_tenant and flooded_nodes
        node = int(self._generator.integers(flooded_nodes)) if is_targeted else self.choose_node()
        size = float(self._generator.gamma(REQUEST_SIZE_SHAPE, REQUEST_TIME / REQUEST_SIZE_SHAPE))
        figures.first_tries += 1
        if now < setup.peak_start:
            figures.first_tries_before_peak += 1
        figures.first_tries_by_second[int(now)] += 1
        if in_peak:
            figures.demand_by_tenant[tenant] += size
            figures.top_weight_offered += weight == TOP_WEIGHT
        first_at = now + float(self._generator.random()) * STEP
        request = ClientRequest(weight, tenant, first_at, size, node)
        self._simulation.schedule(first_at, self._simulation.nodes.accept, request)
        return size

    def choose_node(self) -> int:
        """Return the number of a random node, weighted by its traffic."""
        number = int(numpy.searchsorted(self._node_bounds, self._generator.random()))
        return min(number, self._setup.nodes - 1)

    def on_refused(self, now: float, request: ClientRequest, advised: bool) -> None:
        """Count a refusal and retry the request; `advised` means that the node sent Retry-After advice."""
        if now < self._setup.peak_start:
            if advised:
                self._figures.shed_in_calm += 1
            else:
                self._figures.rejected_in_calm += 1
        self.retry(now, request, advised)

    def retry(self, now: float, request: ClientRequest, advised: bool = False) -> None:
        """Schedule a retry of an unfinished request if any tries remain."""
        if request.tries < MAX_TRIES * self._setup.retrying_hops and not request.is_done:
            request.tries += 1
            delays = ADVISED_RETRY_DELAYS if advised else RETRY_DELAYS
            at = now + float(self._generator.uniform(*delays))
            self._simulation.schedule(at, self._simulation.nodes.accept, request)
