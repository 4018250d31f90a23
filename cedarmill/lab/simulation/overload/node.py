"""What one simulated node knows of executors, what it may spend, and what it reports."""

from collections import deque

from cedarmill.cluster.admission_level.gate import AdmissionGate
from cedarmill.cluster.budget_lease import BudgetLeases, RetryBudget
from cedarmill.cluster.gossip_plan import ReportBoard
from cedarmill.lab.simulation.overload.setup import TOP_WEIGHT

FIRST_QUEUE_SLOTS = 1.0  # at an executor of which nothing is learned
QUEUE_SLOTS_GAIN = 0.1  # by a prompt end
QUEUE_SLOTS_LOSS_FACTOR = 0.5  # by a late one
CONGESTION_TIME = 0.25  # s in which late ends count as one congestion
ZERO_WEIGHT_SHARE = 0.5  # of its queue slots that a node gives to what has no priority weight


class RecentLoad:
    """What came to a node and what ended there, by step, for its digests."""

    def __init__(self) -> None:
        self.wanted: deque[tuple[int, int, float]] = deque()  # step, priority weight, slot-seconds
        self.ends: deque[tuple[int, bool]] = deque()  # step, whether late
        self.admitted: deque[int] = deque()  # steps at which requests came that the threshold let pass
        self.rejected_locally: deque[int] = deque()  # and at which the node's own estimates rejected one

    def forget_before(self, step: int) -> None:
        """Leave out what is older."""
        while self.wanted and self.wanted[0][0] < step:
            self.wanted.popleft()
        while self.ends and self.ends[0][0] < step:
            self.ends.popleft()
        for steps in (self.admitted, self.rejected_locally):
            while steps and steps[0] < step:
                steps.popleft()


class SimulatedNode:
    """One node; executors are known by their numbers."""

    def __init__(self, number: int, executors: int, fixed_queue_slots: float) -> None:
        self.number, self.alive = number, True
        self._fixed_queue_slots = fixed_queue_slots
        self.lease_until = 0.0  # s, of one that is dead: till when the cluster takes it for there
        self.board = ReportBoard()
        self.executors = list(range(executors))  # that it uses
        self.connected: set[int] = set()
        self.gate, self.budget_leases, self.retry_budget = AdmissionGate(), BudgetLeases(), RetryBudget()
        self.first_attempts = 0
        self.recent = RecentLoad()
        self._queue_slots: dict[int, float] = {}  # as today's module learns them
        self._lowered_at: dict[int, float] = {}

    def queue_slots(self, executor: int, weight: int) -> float:
        """Requests that may wait there, for one of that priority weight."""
        if self._fixed_queue_slots:
            return self._fixed_queue_slots
        learned = self._queue_slots.get(executor, FIRST_QUEUE_SLOTS)
        return learned * (ZERO_WEIGHT_SHARE + (1 - ZERO_WEIGHT_SHARE) * weight / TOP_WEIGHT)

    def learn(self, now: float, executor: int, late: bool, slots: int) -> None:
        """As today's module: more while requests start promptly, fewer once for each congestion."""
        learned = self._queue_slots.get(executor, FIRST_QUEUE_SLOTS)
        if not late:
            self._queue_slots[executor] = min(slots, learned + QUEUE_SLOTS_GAIN)
        elif now - self._lowered_at.get(executor, -1.0) > CONGESTION_TIME:
            self._queue_slots[executor] = learned * QUEUE_SLOTS_LOSS_FACTOR
            self._lowered_at[executor] = now

    def forget(self) -> None:
        """Lose all reports and connections."""
        self.board = ReportBoard()
        self.connected.clear()
