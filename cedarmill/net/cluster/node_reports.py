"""What a node reports to the cluster of executors and of itself, as it stands at a heartbeat."""

from cedarmill.cluster.messages import ExecutorObservation, Orders
from cedarmill.decisions import interface as api
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.cluster.routing import ClusterRouting
from cedarmill.net.discovery.client import DiscoveryClient

UNHEALTHY_FAILURES = 1  # in a row: an executor is dead or unreachable, and no sign since that it serves
FRESH_US = 3_000_000  # since an executor last answered here: older, this node says nothing of its health
STATES = {
    api.ExecutorState.READY: "ready",
    api.ExecutorState.DRAINING: "draining",
    api.ExecutorState.GONE: "gone",
}


class NodeReports:
    """Reads a node's parts."""

    def __init__(self, name: str, clients: ClientServer, discovery: DiscoveryClient) -> None:
        self.name, self.clients, self.discovery = name, clients, discovery

    def drained(self, orders: Orders | None, routing: ClusterRouting | None) -> dict[str, int]:
        """Epochs by target: executors and zones that get nothing from here and have nothing of ours, and
        this node, if its clients are gone.
        """
        if orders is None:
            return {}
        dispatch = self.discovery.dispatch
        closed_zones = orders.routes is not None and orders.routes.closed_zones
        busy = dispatch.busy_executors() if orders.excluded_executors or closed_zones else set()
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

    def executors(self, now: int) -> dict[str, ExecutorObservation]:
        """What this node sees of each listed executor."""
        reader = self.discovery.reader
        zones = {number: name for name, number in reader.zones.items()}
        kinds = {number: name for name, number in reader.kinds.items()}
        observed = {}
        for number, entry in self.discovery.entries.items():
            executor = self.discovery.dispatch.balancer.executors.get(number)
            unhealthy = executor is not None and executor.consecutive_failures >= UNHEALTHY_FAILURES
            is_known = unhealthy or (executor is not None and now - executor.last_response_at < FRESH_US)
            observed[reader.names_by_number[number]] = ExecutorObservation(
                STATES[entry.state],
                unhealthy,
                is_known,
                zones.get(entry.zone, ""),
                kinds.get(entry.kind, ""),
                str(entry.cell),
                max(1, round(entry.size)),
                self.discovery.listed_start_ms.get(number, 0),
            )
        return observed
