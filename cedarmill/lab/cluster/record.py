"""All that a run left, for the invariants and the reports."""

from dataclasses import dataclass, field
from typing import NamedTuple

from cedarmill.lab.cluster.history import Event
from cedarmill.lab.history import History, Visit
from cedarmill.values import LimitOptions

DETECTION_US = 4_000_000  # after which the cluster has to know of a loss that nobody planned


class BudgetSplit(NamedTuple):
    """A budget: its leased part and its floors (thousandths/s), and how many nodes hold a floor."""

    leased_rate: int = 0
    floor_rate: int = 0
    nodes: int = 0


@dataclass(slots=True)
class Record:
    """All that a run left. Times in microseconds."""

    events: list[Event]
    visits: list[Visit]
    limits: tuple[LimitOptions, ...] = ()
    targets: dict[str, dict[str, str]] = field(default_factory=dict)  # by name: kind, zone, type, group
    slots: dict[str, int] = field(default_factory=dict)
    history: History | None = None
    slow_start_us: int = 0  # that an executor which came back counts in part; 0: not asked
    detection_us: int = DETECTION_US
    disagreements: list[str] = field(default_factory=list)  # between replicas, as the run saw them
    residency: dict[str, str] = field(default_factory=dict)  # classes that may not leave their zone or region
    entry_zones: dict[int, str] = field(default_factory=dict)  # the zone to which calls come at a port
    spent: list[tuple[int, bool]] = field(default_factory=list)  # when, and whether by a lease, of a budget
    budget: tuple[int, int, int] = BudgetSplit()  # of which that was spent
    executor_spending: list[tuple[int, str]] = field(default_factory=list)  # when, of which budget
    budgets: tuple[tuple[str, int, int], ...] = ()  # name, rate (thousandths/s), nodes with a floor
    granted_at: dict[int, int] = field(default_factory=dict)  # by epoch: when it was agreed, if known

    def played(self) -> History:
        """The history of its calls; raises ValueError where none were played."""
        if self.history is None:
            raise ValueError("a record without calls")
        return self.history


def call_zones(record: Record) -> dict[str, str]:
    """The zone to which each call came, by its id; empty where it is not known."""
    return {call.id: record.entry_zones.get(call.port, "") for call in record.played().calls}


class OutOverTime:
    """Who is out over time: by plan, from the grant until it is back; by fault, while down."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.planned: dict[str, int] = {}  # since when, by target
        self.lost: dict[str, int] = {}

    def apply(self, event: Event) -> None:
        """One event of the history."""
        if event.what == "taken":
            self.planned.setdefault(event.target, event.at)
        elif event.what == "back":
            self.planned.pop(event.target, None)
        elif event.what in ("down", "lost") and event.note == "fault":
            self.lost.setdefault(event.target, event.at)
        elif event.what in ("up", "found"):
            self.lost.pop(event.target, None)

    def all_out(self) -> set[str]:
        """By plan or by fault."""
        return set(self.planned) | set(self.lost)

    def known_out(self, event: Event) -> set[str]:
        """By plan, and by losses that the cluster has had the time to see before it agreed to this one.

        Who takes a target may have heard of its grant late, as where all replicas died after it.
        """
        now = self.record.granted_at.get(event.epoch, event.at)
        old = {name for name, since in self.lost.items() if now - since > self.record.detection_us}
        return set(self.planned) | old


def most_out(record: Record) -> tuple[int, int]:
    """The most that were out at once by plan, and with those that faults took out."""
    out, planned, in_all = OutOverTime(record), 0, 0
    for event in record.events:
        out.apply(event)
        planned = max(planned, len(out.planned))
        in_all = max(in_all, len(out.all_out()))
    return planned, in_all
