"""Builds the parts of a node's heartbeat that cover its executors and its drains."""

from cedarmill.cluster.messages import ExecutorObservation, Orders
from cedarmill.core.executor_usage import busy_executors
from cedarmill.decisions import interface as api
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.cluster.routing import ClusterRouting
from cedarmill.net.discovery.client import DiscoveryClient

# From this number of failures without a success since, an executor is reported as unhealthy.
MIN_CONSECUTIVE_FAILURES = 1
# Without a response for this long, the health of an executor is reported as unknown.
MAX_RESPONSE_AGE_US = 3_000_000
STATE_NAMES = {
    api.ExecutorState.READY: "ready",
    api.ExecutorState.DRAINING: "draining",
    api.ExecutorState.GONE: "gone",
}


class NodeReports:
    """Builds reports from the node's client server, dispatch and discovery client."""

    def __init__(self, name: str, clients: ClientServer, discovery: DiscoveryClient) -> None:
        self.name, self.clients, self.discovery = name, clients, discovery

    def drained_targets(self, orders: Orders | None, routing: ClusterRouting | None) -> dict[str, int]:
        """Return the epoch of each completed drain, by target.

        Targets are excluded executors and closed zones without requests of this node in flight, and the node
        itself once its clients are gone.
        """
        if orders is None:
            return {}
        dispatch = self.discovery.dispatch
        closed_zones = orders.routes is not None and orders.routes.closed_zones
        busy = busy_executors(dispatch) if orders.excluded_executors or closed_zones else set()
        drained: dict[str, int] = {}
        if closed_zones and routing is not None:
            drained |= routing.drained_zones(busy)
        numbers = self.discovery.reader.numbers_by_name
        drained |= {
            name: epoch for name, epoch in orders.excluded_executors.items() if numbers.get(name) not in busy
        }
        if orders.drain_clients_epoch and not self.clients.sessions and not dispatch.unanswered:
            drained[self.name] = orders.drain_clients_epoch
        return drained

    def observed_executors(self, now: int) -> dict[str, ExecutorObservation]:
        """Return this node's observation of each listed executor, by name."""
        reader = self.discovery.reader
        zones = {number: name for name, number in reader.zones.items()}
        kinds = {number: name for name, number in reader.kinds.items()}
        observed = {}
        for number, entry in self.discovery.entries.items():
            executor = self.discovery.dispatch.balancer.executors.get(number)
            is_unhealthy = executor is not None and executor.consecutive_failures >= MIN_CONSECUTIVE_FAILURES
            is_known = is_unhealthy or (
                executor is not None and now - executor.last_response_at < MAX_RESPONSE_AGE_US
            )
            observed[reader.names_by_number[number]] = ExecutorObservation(
                STATE_NAMES[entry.state],
                is_unhealthy,
                is_known,
                zones.get(entry.zone, ""),
                kinds.get(entry.kind, ""),
                str(entry.cell),
                max(1, round(entry.size)),
                self.discovery.listed_start_ms.get(number, 0),
            )
        return observed
