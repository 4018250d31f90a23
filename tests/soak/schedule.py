"""What happens in one run, drawn from its seed: settings, executors, clients, and events with their times.

The same seed gives the same schedule. Real sockets and processes still interleave as they like, so two runs
of one schedule differ in their details. Times are seconds from the start of the load unless a name says
otherwise.
"""

import dataclasses
import json
import random
from dataclasses import dataclass
from enum import Enum
from typing import Any

from tests.support.node_settings import SETTINGS

DEFAULT_SECONDS = 12.0
MAX_DEADLINE_BEFORE_KILL_S = 3.0  # the platform's kill waits for at most this much of the longest deadline
KILL_DELAY_S = 0.7  # after that deadline
PAGE_STALL_S = 0.15  # the longest stall of a node that the protocol allows


class Kind(Enum):
    """What a run is about; each kind also draws from the other kinds' troubles, but less often."""

    SPLIT_ANSWERS = "split-answers"  # all executors are well, and send their answers in pieces
    EXECUTORS = "executors"  # executors hang, break, drain and leave
    CLIENTS = "clients"  # clients leave, write slowly and read late
    DISCOVERY = "discovery"  # watches break or fall silent, discovery is down
    SIGNALS = "signals"  # SIGHUP and SIGTERM in series, restarts
    SYSTEM_CALLS = "system-calls"  # system calls fail or stall


class EventKind(Enum):
    """An event of a run; those of executors have one as target."""

    HANG = "hang"
    RECOVER = "recover"
    DRAIN = "drain"
    LEAVE = "leave"
    RETURN = "return"
    WATCH_RESET = "watch-reset"
    WATCH_SILENT = "watch-silent"
    DISCOVERY_DOWN = "discovery-down"
    DISCOVERY_UP = "discovery-up"
    RELOAD = "reload"
    TERMINATE = "terminate"
    FAULT = "fault"
    STEP_CLOCK = "step-clock"


@dataclass(frozen=True)
class ClassPlan:
    """One request class and the share of requests that it has."""

    name: str
    repeat: str  # free, guarded or single_shot
    group: str  # who recognises a repeat: zone or all
    value: float
    deadline_s: float
    repeat_window_s: float
    share: float


@dataclass(frozen=True)
class ExecutorPlan:
    """How one executor behaves while no event changes it."""

    name: str
    slots: int
    mean_run_s: float
    split_share: float  # of the answers that are sent in pieces
    max_pause_s: float  # between two pieces
    late_end_share: float  # of the answers whose last chunk is late
    max_late_end_s: float
    close_share: float  # of the answers with `Connection: close`
    fail_share: float  # of the requests that end as failed
    reset_share: float  # of the requests whose connection is reset
    reject_share: float  # of the requests that are handed back unstarted
    idle_close_s: float  # after which it closes an idle connection


@dataclass(frozen=True)
class ClientPlan:
    """What the clients do."""

    connections: int
    requests_per_s: float
    leave_share: float  # of the requests whose client leaves before the answer
    slow_write_share: float  # of the requests that are written in pieces
    new_connection_share: float  # of the requests on a connection of their own


@dataclass(frozen=True)
class Event:
    """Something that happens once; `argument` is a system call or seconds, by the kind."""

    at: float
    kind: EventKind
    target: int = 0
    argument: str = ""


@dataclass(frozen=True)
class Schedule:
    """All that a seed determines."""

    seed: int
    kind: Kind
    seconds: float
    classes: tuple[ClassPlan, ...]
    executors: tuple[ExecutorPlan, ...]
    clients: ClientPlan
    events: tuple[Event, ...]
    restarts: bool  # whether a second process takes over the address after SIGTERM
    held_socket: bool  # whether the platform holds the listening socket

    @property
    def is_under_faults(self) -> bool:
        """Return whether system calls of the node fail or stall."""
        return any(event.kind is EventKind.FAULT for event in self.events)

    @property
    def may_fail_to_open_sessions(self) -> bool:
        """Return whether the node may close a new connection because its session could not be opened."""
        return any(event.argument.startswith("open_session") for event in self.events)

    @property
    def kill_delay_s(self) -> float:
        """Return the shortest time from SIGTERM to SIGKILL."""
        longest = max(plan.deadline_s for plan in self.classes)
        return min(longest, MAX_DEADLINE_BEFORE_KILL_S) + KILL_DELAY_S

    def class_plan(self, name: str) -> ClassPlan:
        """Return the plan of a class."""
        return next(plan for plan in self.classes if plan.name == name)

    def settings(self) -> dict[str, Any]:
        """Return the settings of the node."""
        settings: dict[str, Any] = json.loads(json.dumps(SETTINGS))
        settings["family_info"]["tells_start"] = True
        settings["tenants"] = [{"name": "acme", "quota_per_s": 10_000.0, "share": 1.0}]
        settings["request_classes"] = [
            {
                "name": plan.name,
                "repeat": plan.repeat,
                "group": plan.group,
                "value": plan.value,
                "aim": int(plan.deadline_s * 500_000),
                "hard_limit": int(plan.deadline_s * 1_000_000),
                "repeat_window": int(plan.repeat_window_s * 1_000_000),
            }
            for plan in self.classes
        ]
        return settings

    def to_json(self) -> str:
        """Return the schedule as one line."""
        return json.dumps(dataclasses.asdict(self), default=lambda value: value.value)


def draw_schedule(seed: int, seconds: float = DEFAULT_SECONDS, kind: Kind | None = None) -> Schedule:
    """Draw the schedule of a seed; without a kind, the seed gives one too."""
    source = random.Random(seed)
    drawn_kind = list(Kind)[seed % len(Kind)]
    kind = kind or drawn_kind
    executors = tuple(_draw_executor(source, kind, number) for number in range(source.randint(2, 5)))
    return Schedule(
        seed=seed,
        kind=kind,
        seconds=seconds,
        classes=_draw_classes(source, kind),
        executors=executors,
        clients=_draw_clients(source, kind),
        events=_draw_events(source, kind, seconds, len(executors)),
        restarts=source.random() < (0.6 if kind is Kind.SIGNALS else 0.15),
        held_socket=source.random() < 0.4,
    )


def _draw_classes(source: random.Random, kind: Kind) -> tuple[ClassPlan, ...]:
    repeats = ["single_shot", "guarded", "free", "guarded"]
    # One class alone preempts nothing: no request may then lose its executor's connection to the node.
    count = 1 if kind is Kind.SPLIT_ANSWERS else source.randint(2, 4)
    source.shuffle(repeats)
    return tuple(
        ClassPlan(
            name=f"class{number}",
            repeat=repeats[number],
            group=source.choice(["zone", "all"]),
            value=float(source.randint(1, 5)),
            deadline_s=round(source.uniform(2.0, 4.0), 2),
            repeat_window_s=round(source.uniform(0.8, 4.0), 2),
            share=round(source.uniform(0.2, 1.0), 2),
        )
        for number in range(count)
    )


def _draw_executor(source: random.Random, kind: Kind, number: int) -> ExecutorPlan:
    is_broken = kind is Kind.EXECUTORS or (kind is not Kind.SPLIT_ANSWERS and source.random() < 0.2)
    trouble = 1.0 if is_broken else 0.0
    return ExecutorPlan(
        name=f"s-{number}",
        slots=source.randint(6, 16),
        mean_run_s=round(source.uniform(0.05, 0.4), 3),
        split_share=round(source.uniform(0.3, 1.0), 2),
        max_pause_s=round(source.uniform(0.005, 0.05), 3),
        late_end_share=round(source.uniform(0.1, 0.5), 2),
        max_late_end_s=round(source.uniform(0.1, 0.9), 2),
        close_share=round(source.uniform(0.0, 0.1), 3),
        fail_share=round(trouble * source.uniform(0.0, 0.05), 3),
        reset_share=round(trouble * source.uniform(0.0, 0.08), 3),
        reject_share=round(trouble * source.uniform(0.0, 0.1), 3),
        idle_close_s=round(source.uniform(5.5, 9.0), 2),
    )


def _draw_clients(source: random.Random, kind: Kind) -> ClientPlan:
    is_rough = kind is Kind.CLIENTS or source.random() < 0.25
    return ClientPlan(
        connections=source.randint(8, 20),
        requests_per_s=round(source.uniform(20.0, 50.0), 1),
        leave_share=round(source.uniform(0.05, 0.25), 2) if is_rough else 0.0,
        slow_write_share=round(source.uniform(0.05, 0.3), 2) if is_rough else 0.0,
        new_connection_share=round(source.uniform(0.0, 0.3), 2),
    )


def _draw_events(source: random.Random, kind: Kind, seconds: float, executors: int) -> tuple[Event, ...]:
    events: list[Event] = []
    if kind is Kind.EXECUTORS or (kind is not Kind.SPLIT_ANSWERS and source.random() < 0.3):
        events += _draw_executor_events(source, seconds, executors)
    if kind is Kind.DISCOVERY or source.random() < 0.2:
        events += _draw_discovery_events(source, seconds)
    if kind is Kind.SIGNALS or source.random() < 0.2:
        events += [Event(_moment(source, seconds), EventKind.RELOAD) for _ in range(source.randint(1, 3))]
    if kind is Kind.SYSTEM_CALLS:
        events += _draw_faults(source, seconds)
    if source.random() < 0.2:
        step = str(source.choice([-3600, -5, 5, 3600]))
        events.append(Event(_moment(source, seconds), EventKind.STEP_CLOCK, argument=step))
    events.append(Event(seconds, EventKind.TERMINATE))
    if kind is Kind.SIGNALS:
        again = source.choice([EventKind.TERMINATE, EventKind.RELOAD])
        events.append(Event(round(seconds + source.uniform(0.05, 0.6), 2), again))
    return tuple(sorted(events, key=lambda event: event.at))


def _moment(source: random.Random, seconds: float) -> float:
    return round(source.uniform(0.1, 0.8) * seconds, 2)


def _draw_executor_events(source: random.Random, seconds: float, executors: int) -> list[Event]:
    """Draw hangs, drains and leaves of all executors but the first, which stays well."""
    events = []
    for number in range(1, executors):
        begin = source.choice([EventKind.HANG, EventKind.DRAIN, EventKind.LEAVE])
        end = EventKind.RECOVER if begin is EventKind.HANG else EventKind.RETURN
        at = _moment(source, 0.7 * seconds)
        events.append(Event(at, begin, number))
        events.append(Event(round(at + source.uniform(1.0, 0.3 * seconds), 2), end, number))
    return events


def _draw_discovery_events(source: random.Random, seconds: float) -> list[Event]:
    kind = source.choice([EventKind.WATCH_RESET, EventKind.WATCH_SILENT, EventKind.DISCOVERY_DOWN])
    at = _moment(source, 0.6 * seconds)
    if kind is EventKind.DISCOVERY_DOWN:
        return [Event(at, kind), Event(round(at + source.uniform(0.5, 3.0), 2), EventKind.DISCOVERY_UP)]
    return [Event(at, kind)]


def _draw_faults(source: random.Random, seconds: float) -> list[Event]:
    calls = ["accept:EMFILE", "accept:ECONNABORTED", "open_session:ENOMEM", "connect:EMFILE"]
    calls += ["outgoing.write:stall", "accepted.write:stall", "accept:stall"]
    return [
        Event(_moment(source, seconds), EventKind.FAULT, argument=source.choice(calls))
        for _ in range(source.randint(3, 8))
    ]
