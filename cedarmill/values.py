"""The value types of our own settings, with the defaults that hold where nothing is set.

A default is the platform's where its protocol page gives one; else it is ours, and the page under
`docs/operators/` that is named with the field says why. Times are whole microseconds (`_us`), shares are
thousandths unless a field says otherwise, addresses are `HOST:PORT` with a numeric host. Nothing here is read
from a file: `conf` fills these from XML, and whoever needs one is given it.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

SOURCES = ("x-budget-ms", "grpc-timeout", "x-envoy-expected-rq-timeout-ms", "x-deadline-unix-ms")
"""The request headers that a deadline may be read from."""

NOT_SET = -1
"""Of a limit's number: this limit does not use it."""


@dataclass(frozen=True, slots=True)
class DeadlineOptions:
    """Where a request's deadline comes from, what is kept back of it, and what a client's leaving means.

    Defaults: the platform's protocol reads `x-budget-ms` alone; the margins are ours
    (docs/operators/deadlines.md).
    """

    sources: tuple[str, ...] = ("x-budget-ms",)  # headers that are read; of several the tightest holds
    skew_us: int = 50_000  # bound on how far another machine's clock may be off, for absolute deadlines
    margin: str = "fixed"  # or `learned`, from measured round trips and this node's own lag
    margin_us: int = 20_000  # the fixed margin, and the ceiling of the learned one
    margin_floor_us: int = 2_000  # of the learned margin: the loop's timer counts whole milliseconds
    worth_quantile: float = 0.0  # share (0 to 1) of a class's running times that must still fit; 0: not asked
    half_close: str = "leaves"  # or `stays`: a client that ends its sending still reads the answer
    cancel_calls: bool = False  # whether DELETE /api/calls/ID says that a client has left
    on_leave: str = "stop"  # or `ignore`: work goes on for who has left, to measure what stopping saves


@dataclass(frozen=True, slots=True)
class KindOptions:
    """What the executors of one kind (the endpoint list's `type`) understand; the platform's by default.

    `cancel`: `blind` closes the connection and believes nothing of it (the platform's executors go on),
    `close` closes it and the executor stops, `end` ends the sending on it and the executor stops, `none`
    leaves it open: the attempt counts as running till its real end. `speaks`: `executor` answers with the
    platform's lines of JSON, `node` with a final answer, as another cedarmill node does.
    """

    cancel: str = "blind"
    speaks: str = "executor"


@dataclass(frozen=True, slots=True)
class HealthOptions:
    """Where a node tells balancers of its own health: an address each, or empty for nowhere (the default)."""

    agent: str = ""
    http: str = ""
    grpc: str = ""


@dataclass(frozen=True, slots=True)
class ClusterOptions:
    """A process's membership of a cluster; without it no part of the cluster's code is loaded.

    Defaults are ours (docs/operators/drains.md).
    """

    cluster: str
    replicas: dict[str, str]  # by name, the address at which this process reaches it
    listen: str = ""  # where members look whether this one is there; empty: nobody can
    cut_off: str = "serve"  # what it does once its lease has run out: or `stop`
    start: str = "wait"  # a new process sends nothing before it has heard what is excluded: or `alone`
    stays: dict[str, str] = field(default_factory=dict)  # by `class:NAME` or `tenant:NAME`: zone or region


@dataclass(frozen=True, slots=True)
class LimitOptions:
    """How many targets of a kind may be out at once (docs/operators/drains.md)."""

    kind: str
    per: str
    most: int = NOT_SET
    share: int = NOT_SET  # thousandths of the targets
    capacity_left: int = NOT_SET  # thousandths of the slots that have to stay


class BudgetOptions(NamedTuple):
    """What the whole cluster may spend of one thing (docs/operators/overload.md)."""

    name: str
    rate: int  # thousandths a second
    nodes: int  # how many may hold a floor, which they spend while they reach no replica


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """One replica of the replicated log; `peers` are all replicas, this one too, as this one reaches them.

    Defaults are ours (docs/operators/zones.md, overload.md), but for the slow start, which is the platform's.
    """

    cluster: str
    name: str
    listen: str
    data: str  # a folder
    peers: dict[str, str]  # by name, an address
    limits: tuple[LimitOptions, ...] = ()  # that a new cluster begins with
    budgets: tuple[BudgetOptions, ...] = ()  # that a new cluster begins with
    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)  # their zones; none: nothing is planned
    costs: dict[str, int] = field(default_factory=dict)  # by `FROM>TO` between zones, without a unit
    safe_share: int = 900  # thousandths of a zone's slots that may be in use by plan
    sheds_load: bool = False  # whether the cluster agrees on a level of admission
    gossip: bool = False  # whether nodes tell each other what they hear of executors
    slow_start_us: int = 8_900_000  # that a returned executor counts in part
    slow_start_share: int = 300  # thousandths of its slots that it has at first


@dataclass(frozen=True, slots=True)
class UnitOptions:
    """One process that a process supervisor runs."""

    name: str
    version: str  # that runs until a release says otherwise
    listen: str  # the clients' socket: held by the supervisor, inherited by the process
    commands: dict[str, tuple[str, ...]]  # by version, the words of the command
    env: dict[str, str]


@dataclass(frozen=True, slots=True)
class SupervisorOptions:
    """What the process supervisor of one machine runs."""

    name: str
    data: str  # a folder
    cluster: ClusterOptions
    units: tuple[UnitOptions, ...]


@dataclass(frozen=True, slots=True)
class Options:
    """All settings of a node that are ours."""

    deadlines: DeadlineOptions = field(default_factory=DeadlineOptions)
    health: HealthOptions = field(default_factory=HealthOptions)
    kinds: dict[str, KindOptions] = field(default_factory=dict)  # `*` stands for all that are not named
    ledger_every_us: int = 60_000_000  # between two `wasted-work` events
    cluster: ClusterOptions | None = None

    def kind(self, name: str) -> KindOptions:
        """What holds for a kind of executor."""
        return self.kinds.get(name) or self.kinds.get("*") or _KIND


_KIND = KindOptions()
