"""What happened in a run, as every actor saw it: plain records for the checker, the tables and the plots.

Times are microseconds of one monotonic clock, counted from the run's start. The records are stored as JSON:
a field that was renamed keeps its stored key.
"""

from dataclasses import dataclass, field

import msgspec


@dataclass(slots=True)
class Answer:
    """One answer to a client, at its last byte."""

    at: int
    status: int
    result: str = ""


@dataclass(slots=True)
class Call:
    """One try of a client: what it asked for, and what became of it."""

    id: str
    job_class: str
    job: int  # the job that it is a try of; tries of one job share it
    due: int  # when it had to be sent, by the arrivals
    sent: int = 0
    budget: int = 0  # how long it waits
    left: int | None = None  # when it went away, if it did
    answers: list[Answer] = field(default_factory=list)
    broken: bool = False  # its connection broke before the answer
    port: int = 0  # at which it was sent

    @property
    def status(self) -> int:
        """Of its first answer; 0 where there is none."""
        return self.answers[0].status if self.answers else 0


class Visit(msgspec.Struct):
    """One attempt at an executor, from its last byte on."""

    executor: str = msgspec.field(name="box")
    zone: str
    id: str
    job_class: str
    at: int
    began: int | None = None  # when it got its slot
    ended: int | None = None
    outcome: str = ""  # done, rejected, stopped, lost; empty: still there at the end
    slot_time: int = 0  # what it held a slot for


class Drain(msgspec.Struct):
    """The time at which discovery told that an executor drains."""

    executor: str = msgspec.field(name="box")
    at: int


@dataclass(slots=True)
class ClassRules:
    """What may be repeated of a class, and how long its clients wait."""

    effect: str  # safe, keyed or unsafe
    group: str = "all"
    window: int = 0


@dataclass(slots=True)
class History:
    """One run of one side."""

    scenario: str
    side: str
    seed: int
    length: int
    classes: dict[str, ClassRules] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    visits: list[Visit] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    honours: bool = False  # whether the executors honour cancellation
    stops: bool = True  # whether the nodes were set to stop work for who has left
    nodes: int = 1
    kept_promise: bool = True  # whether the run itself went on time: its loop was never late by over 20 ms
    lag: int = 0  # the latest that the loop was
    log: list[str] = field(default_factory=list)  # the nodes' lines

    def leave_times(self) -> dict[str, int]:
        """When each client that went away did, by the call's id."""
        return {call.id: call.left for call in self.calls if call.left is not None}
