"""Setup of the overload simulation and the constants of its model."""

from dataclasses import dataclass
from typing import NamedTuple

MICROSECONDS_PER_SECOND = 1_000_000
STEP = 0.05  # seconds per simulation step
POLICIES = ("alone", "fixed", "fleet")  # admission and budget policies by name


class RequestClass(NamedTuple):
    """A priority weight (thousandths) and its share of all requests."""

    weight: int
    share: float


class Tenant(NamedTuple):
    """A tenant and its share of both the slots (its quota) and the normal load."""

    name: str
    share: float


REQUEST_CLASSES = (RequestClass(5000, 0.3), RequestClass(3000, 0.3), RequestClass(1000, 0.4))
TOP_WEIGHT = REQUEST_CLASSES[0].weight
TENANTS = (Tenant("large", 0.6), Tenant("middle", 0.3), Tenant("small", 0.1))

REQUEST_TIME = 0.2  # seconds, mean service time
LATENCY_OBJECTIVE = 0.4  # seconds of waiting in which a request is in time
CLIENT_TIMEOUT = 1.0  # seconds until a client gives up
LEASE_TIME = 3.6  # seconds until a dead node's lease expires at the leader
REPORT_DELAY = 0.3  # seconds from one node to the others
NO_PERIOD = (0.0, 0.0)


@dataclass(frozen=True, slots=True)
class OverloadSetup:
    """Parameters of one run; loads are multiples of all slots, times are seconds."""

    nodes: int = 12
    executors: int = 24
    slots: int = 4  # per executor
    normal: float = 0.7
    peak: float = 2.0
    peak_start: float = 10.0
    lasts: float = 5.0
    length: float = 40.0
    # Tenant that causes the whole peak, and the number of nodes to which it sends (0: all nodes).
    flood: tuple[str, int] = ("", 0)
    killed_node_share: float = 0.0  # share of the nodes that die at the start of the peak
    cold_executor_share: float = 0.0  # share of the executors that restart at the start of the peak
    overstated_demand_factor: float = 0.0  # factor by which one node overstates its demand (0: none)
    no_replica_period: tuple[float, float] = NO_PERIOD  # start and end
    report_loss: float = 0.0  # share of reports between nodes
    report_delay: float = REPORT_DELAY
    # Start and end of the time in which thresholds reach every second node only.
    partial_delivery_period: tuple[float, float] = NO_PERIOD
    drops_node_state: bool = False  # nodes drop reports and connections as the peak starts
    retrying_hops: int = 1  # clients, and proxies in front of the nodes that also retry
    fixed_queue_slots: float = 0.0  # queue limit per executor (0: learned by the node)

    @property
    def all_slots(self) -> int:
        """The number of slots of all executors."""
        return self.executors * self.slots

    @property
    def peak_end(self) -> float:
        """The end of the peak, in seconds."""
        return self.peak_start + self.lasts

    @property
    def request_rate(self) -> float:
        """The number of requests per second that fills all slots."""
        return self.all_slots / REQUEST_TIME

    def load(self, now: float) -> float:
        """Return the offered load at a time."""
        return self.peak if self.peak_start <= now < self.peak_end else self.normal

    def has_replica(self, now: float) -> bool:
        """Return whether the replicas, and with them all leases, are available."""
        first, last = self.no_replica_period
        return not first <= now < last
