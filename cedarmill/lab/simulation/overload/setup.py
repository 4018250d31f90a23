"""Who is there in the simulation of overload, what comes, and what its model takes for given."""

from dataclasses import dataclass
from typing import NamedTuple

US = 1_000_000  # a second, for the parts that count microseconds
STEP = 0.05  # s, between two turns of clients, reports and agreement
POLICIES = ("alone", "fixed", "fleet")  # who decides what is admitted and spent


class RequestClass(NamedTuple):
    """Requests of one priority weight (thousandths), and their share of all."""

    weight: int
    share: float


class Tenant(NamedTuple):
    """A tenant and its quota, of all slots; it sends as much of the normal load."""

    name: str
    share: float


REQUEST_CLASSES = (RequestClass(5000, 0.3), RequestClass(3000, 0.3), RequestClass(1000, 0.4))
TOP_WEIGHT = REQUEST_CLASSES[0].weight
TENANTS = (Tenant("large", 0.6), Tenant("middle", 0.3), Tenant("small", 0.1))

REQUEST_TIME = 0.2  # s, mean of a request
LATENCY_OBJECTIVE = 0.4  # s that a request may wait and be in time
PATIENCE = 1.0  # s till its client leaves
LEASE_TIME = 3.6  # s till a dead node's lease has passed at its giver
REPORT_DELAY = 0.3  # s that reports of one node take to the others
NO_PERIOD = (0.0, 0.0)


@dataclass(frozen=True, slots=True)
class OverloadSetup:
    """Loads are times the slots, times in seconds."""

    nodes: int = 12
    executors: int = 24
    slots: int = 4  # of an executor
    normal: float = 0.7
    peak: float = 2.0
    begins: float = 10.0
    lasts: float = 5.0
    length: float = 40.0
    floods: tuple[str, int] = ("", 0)  # a tenant that brings the peak alone, at so many nodes (0: at all)
    killed: float = 0.0  # share of the nodes that die as it begins; their clients go to the others at once
    cold: float = 0.0  # share of the executors that start anew as it begins
    demand_lie: float = 0.0  # times by which one node reports more than its clients want
    no_replica: tuple[float, float] = NO_PERIOD  # between which no replica of the log is there
    report_loss: float = 0.0  # share of shared reports that is lost
    report_delay: float = REPORT_DELAY
    half_told: tuple[float, float] = NO_PERIOD  # between which a threshold reaches every second node only
    forgets: bool = False  # all nodes lose reports and connections as it begins: discovery was restarted
    retrying_hops: int = 1  # clients, and nodes in front that try again as well
    fixed_queue_slots: float = 0.0  # to wait at an executor, by a node that does not learn them; 0: it learns

    @property
    def all_slots(self) -> int:
        """Slots of all executors."""
        return self.executors * self.slots

    @property
    def ends(self) -> float:
        """When the peak is over."""
        return self.begins + self.lasts

    @property
    def request_rate(self) -> float:
        """Requests a second that fill all slots."""
        return self.all_slots / REQUEST_TIME

    def load(self, now: float) -> float:
        """The load that is offered at a time."""
        return self.peak if self.begins <= now < self.ends else self.normal

    def has_replica(self, now: float) -> bool:
        """Whether the log is there, and with it all leases."""
        first, last = self.no_replica
        return not first <= now < last
