"""A simulated node with its executor estimates, budgets and recent load."""

from collections import deque

from cedarmill.cluster.admission_level.gate import AdmissionGate
from cedarmill.cluster.budget_lease import BudgetLeases, RetryBudget
from cedarmill.cluster.gossip_plan import ReportBoard
from cedarmill.lab.simulation.overload.setup import TOP_WEIGHT

INITIAL_QUEUE_SLOTS = 1.0  # initial queue limit at an executor
QUEUE_SLOTS_GAIN = 0.1  # added to the limit by each prompt response
QUEUE_SLOTS_LOSS_FACTOR = 0.5  # applied to the limit once per congestion
CONGESTION_TIME = 0.25  # seconds in which late responses count as one congestion
ZERO_WEIGHT_SHARE = 0.5  # share of the queue limit for requests of zero priority weight


class RecentLoad:
    """Records a node's recent demand, admissions, rejections and completions by step, for its digests."""

    def __init__(self) -> None:
        self.demand: deque[tuple[int, int, float]] = deque()  # step, priority weight, slot-seconds
        self.completions: deque[tuple[int, bool]] = deque()  # step, whether late
        self.admitted: deque[int] = deque()  # steps of requests that passed the threshold
        self.rejected_locally: deque[int] = deque()  # steps of requests that found no executor

    def forget_before(self, step: int) -> None:
        """Remove the records of steps before `step`."""
        while self.demand and self.demand[0][0] < step:
            self.demand.popleft()
        while self.completions and self.completions[0][0] < step:
            self.completions.popleft()
        for steps in (self.admitted, self.rejected_locally):
            while steps and steps[0] < step:
                steps.popleft()


class SimulatedNode:
    """Holds the state of one node, which identifies executors by number."""

    def __init__(self, number: int, executors: int, fixed_queue_slots: float) -> None:
        self.number, self.is_alive = number, True
        self._fixed_queue_slots = fixed_queue_slots
        self.lease_until = 0.0  # seconds, end of a dead node's lease
        self.board = ReportBoard()
        self.executors = list(range(executors))  # numbers of the executors in use
        self.connected: set[int] = set()
        self.gate, self.budget_leases, self.retry_budget = AdmissionGate(), BudgetLeases(), RetryBudget()
        self.first_attempts = 0
        self.recent = RecentLoad()
        self._queue_slots: dict[int, float] = {}  # learned queue limit by executor
        self._lowered_at: dict[int, float] = {}

    def queue_slots(self, executor: int, weight: int) -> float:
        """Return the queue limit at an executor for a request of this priority weight."""
        if self._fixed_queue_slots:
            return self._fixed_queue_slots
        learned = self._queue_slots.get(executor, INITIAL_QUEUE_SLOTS)
        return learned * (ZERO_WEIGHT_SHARE + (1 - ZERO_WEIGHT_SHARE) * weight / TOP_WEIGHT)

    def update_queue_slots(self, now: float, executor: int, late: bool, slots: int) -> None:
        """Adapt the learned queue limit: raise it on a prompt response, lower it once per congestion."""
        learned = self._queue_slots.get(executor, INITIAL_QUEUE_SLOTS)
        if not late:
            self._queue_slots[executor] = min(slots, learned + QUEUE_SLOTS_GAIN)
        elif now - self._lowered_at.get(executor, -1.0) > CONGESTION_TIME:
            self._queue_slots[executor] = learned * QUEUE_SLOTS_LOSS_FACTOR
            self._lowered_at[executor] = now

    def drop_reports_and_connections(self) -> None:
        """Drop all load reports and connections."""
        self.board = ReportBoard()
        self.connected.clear()
