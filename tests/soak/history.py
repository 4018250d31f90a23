"""What clients, executors, discovery and the platform saw in one run, as typed records in order of time.

Times are seconds of the machine's monotonic clock, which all stand-ins of a run share.
"""

import dataclasses
import json
import time
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(frozen=True)
class Record:
    """Something that was seen at a time."""

    at: float


@dataclass(frozen=True)
class ClientSent(Record):
    """A client has written a request whole."""

    call_id: str
    job_class: str
    budget_s: float
    connection: int
    is_first: bool  # whether it is the first request of its connection
    opened_at: float  # when the connection was opened


@dataclass(frozen=True)
class ClientAnswered(Record):
    """A client has the last byte of an answer."""

    call_id: str
    status: int
    body: str
    has_retry_after: bool


@dataclass(frozen=True)
class ClientLeft(Record):
    """A client has closed its connection before the answer."""

    call_id: str


@dataclass(frozen=True)
class ClientCutOff(Record):
    """A client's connection ended before any byte of the answer."""

    call_id: str


@dataclass(frozen=True)
class ClientGaveUp(Record):
    """A client has waited long past its budget for an answer."""

    call_id: str


@dataclass(frozen=True)
class ClientSurplus(Record):
    """A client has received bytes after a whole answer; `call_id` is that of its last request."""

    call_id: str
    text: str


@dataclass(frozen=True)
class ExecutorReceived(Record):
    """An executor has the last byte of a request; `began_at` is the time of the first."""

    call_id: str
    executor: int
    connection: int
    budget_s: float  # the header's remaining time
    began_at: float


@dataclass(frozen=True)
class ExecutorEnded(Record):
    """An executor has written the final line of an answer, with this state."""

    call_id: str
    executor: int
    state: str  # done, failed, or rejected


@dataclass(frozen=True)
class ExecutorBroke(Record):
    """An executor has broken a request by the schedule: a reset, or a hang."""

    call_id: str
    executor: int
    reason: str


@dataclass(frozen=True)
class ExecutorLost(Record):
    """The node has closed the connection of a request that an executor had not ended."""

    call_id: str
    executor: int


@dataclass(frozen=True)
class ListingWritten(Record):
    """Discovery has written an executor's status to the node; `changed_at` is when the status changed."""

    executor: int
    status: str
    changed_at: float


@dataclass(frozen=True)
class StatusChanged(Record):
    """Discovery has a new status of an executor."""

    executor: int
    status: str


@dataclass(frozen=True)
class DiscoveryReachable(Record):
    """Discovery can be reached again, or no longer."""

    is_reachable: bool


@dataclass(frozen=True)
class NodeStarted(Record):
    """A process of the node has been started."""

    process: int


@dataclass(frozen=True)
class NodeReady(Record):
    """GET /ready has returned 200."""

    process: int


@dataclass(frozen=True)
class SignalSent(Record):
    """A signal has been sent to a process of the node."""

    process: int
    name: str


@dataclass(frozen=True)
class NodeEnded(Record):
    """A process of the node has ended, with its exit code and the lines of its log that show a defect."""

    process: int
    exit_code: int
    bad_lines: tuple[str, ...]


@dataclass(frozen=True)
class NodeQuiet(Record):
    """Descriptors of a process without a request or client, beyond those of an idle node."""

    process: int
    surplus_descriptors: int


@dataclass(frozen=True)
class StandInsLate(Record):
    """The stand-ins ran late by this time, in seconds: the machine was busy."""

    late_s: float


@dataclass(frozen=True)
class NodeHeldUp(Record):
    """The machine kept a process of the node from running for this time, in seconds, up to the record."""

    waited_s: float


@dataclass(frozen=True)
class RunStuck(Record):
    """The run did not end in its time."""


@dataclass
class History:
    """The records of one run."""

    records: list[Record] = field(default_factory=list)

    def add(self, record: Record) -> None:
        """Append a record."""
        self.records.append(record)

    def of(self, *kinds: type) -> list:
        """Return the records of these kinds, in order of time."""
        return sorted((r for r in self.records if isinstance(r, kinds)), key=lambda record: record.at)

    def about(self, call_id: str) -> list[Record]:
        """Return the records of one request."""
        found = [record for record in self.records if getattr(record, "call_id", "") == call_id]
        return sorted(found, key=lambda record: record.at)

    def write(self, path: Path) -> None:
        """Write the records as JSON lines."""
        lines = [to_json(record) for record in sorted(self.records, key=lambda record: record.at)]
        path.write_text("\n".join(lines) + "\n")


def to_json(record: Record) -> str:
    """Return a record as one line of JSON."""
    return json.dumps({"kind": type(record).__name__, **dataclasses.asdict(record)})


def now() -> float:
    """Return the time of the machine's monotonic clock."""
    return time.monotonic()
