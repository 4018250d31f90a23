"""Typed settings of cedarmill's own XML configuration, with their default values.

Defaults follow the platform's protocol where it defines one. The pages under `docs/operators/` that the
classes name explain the other defaults. Times are whole microseconds (`_us`), shares are thousandths unless a
field says otherwise, and addresses are `HOST:PORT` with a numeric host. The `conf` package creates these
objects from XML and passes them to their users.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

SOURCES = ("x-budget-ms", "grpc-timeout", "x-envoy-expected-rq-timeout-ms", "x-deadline-unix-ms")
"""Request headers from which a deadline can be read."""

UNUSED = -1
"""Marks a field of LimitOptions that the limit does not use."""


@dataclass(frozen=True, slots=True)
class DeadlineOptions:
    """Sources of request deadlines, margins subtracted from them, and handling of disconnected clients.

    By default only `x-budget-ms` is read, as in the platform's protocol. The default margins are explained in
    docs/operators/deadlines.md.
    """

    sources: tuple[str, ...] = ("x-budget-ms",)  # headers that are read; the earliest deadline wins
    skew_us: int = 50_000  # maximum clock skew assumed for absolute deadlines
    margin: str = "fixed"  # or `learned` from measured round trips and this node's lag
    margin_us: int = 20_000  # fixed margin, and upper bound of the learned one
    margin_floor_us: int = 2_000  # lower bound of the learned margin; loop timers count whole milliseconds
    worth_quantile: float = 0.0  # quantile (0 to 1) of running times that must fit the remaining time; 0: off
    half_close: str = "leaves"  # or `stays`: a half-closed client still reads its answer
    cancel_calls: bool = False  # whether DELETE /api/calls/ID cancels a request like a disconnect
    on_leave: str = "stop"  # or `ignore`: continue the work, to measure what stopping saves


@dataclass(frozen=True, slots=True)
class KindOptions:
    """Protocol variant of the executors of one kind (the endpoint list's `type`); by default the platform's.

    `cancel` is the way to cancel an attempt: `blind` closes the connection although the executor continues,
    `close` closes it and the executor stops, `end` half-closes it and the executor stops, `none` leaves it
    open, so that the attempt counts as running until it ends. `speaks` is the response format: `executor` for
    the platform's lines of JSON, `node` for the final answer of another cedarmill node.
    """

    cancel: str = "blind"
    speaks: str = "executor"


@dataclass(frozen=True, slots=True)
class HealthOptions:
    """Listen addresses of the health checks that load balancers call; an empty address disables one."""

    agent: str = ""
    http: str = ""
    grpc: str = ""


@dataclass(frozen=True, slots=True)
class ClusterOptions:
    """A process's cluster membership; without one, no cluster code is loaded.

    The defaults are explained in docs/operators/drains.md.
    """

    cluster: str
    replicas: dict[str, str]  # address of each replica, by name
    listen: str = ""  # address at which other members check this one's liveness; empty: none
    cut_off: str = "serve"  # or `stop`: behaviour after its lease expires
    start: str = "wait"  # a new process waits for the exclusions before it sends; or `alone`
    stays: dict[str, str] = field(default_factory=dict)  # zone or region, by `class:NAME` or `tenant:NAME`


@dataclass(frozen=True, slots=True)
class LimitOptions:
    """Limit on how many targets of one kind may be drained at once (docs/operators/drains.md)."""

    kind: str
    per: str
    most: int = UNUSED
    share: int = UNUSED  # thousandths of the targets
    capacity_left: int = UNUSED  # thousandths of the slots that must remain in service


class BudgetOptions(NamedTuple):
    """A rate limit that the whole cluster shares (docs/operators/overload.md)."""

    name: str
    rate: int  # thousandths per second
    nodes: int  # maximum number of nodes with a guaranteed minimum while no replica is reachable


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Settings of one replica of the replicated log; `peers` includes the replica itself.

    The slow start defaults are the platform's; docs/operators/zones.md and overload.md explain the others.
    """

    cluster: str
    name: str
    listen: str
    data: str  # directory
    peers: dict[str, str]  # address of each replica, by name
    limits: tuple[LimitOptions, ...] = ()  # initial limits of a new cluster
    budgets: tuple[BudgetOptions, ...] = ()  # initial budgets of a new cluster
    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)  # zones by region; empty: no planning
    costs: dict[str, int] = field(default_factory=dict)  # relative cost between zones, by `FROM>TO`
    safe_share: int = 900  # maximum planned utilization of a zone's slots, in thousandths
    sheds_load: bool = False  # whether the cluster agrees on an admission level
    gossip: bool = False  # whether nodes exchange observations of executors
    slow_start_us: int = 8_900_000  # duration of an executor's slow start
    slow_start_share: int = 300  # initial share of its slots, in thousandths


@dataclass(frozen=True, slots=True)
class UnitOptions:
    """One process that the supervisor runs."""

    name: str
    version: str  # version to run until a release changes it
    listen: str  # client socket, opened by the supervisor and inherited by the process
    commands: dict[str, tuple[str, ...]]  # command line of each version
    env: dict[str, str]


@dataclass(frozen=True, slots=True)
class SupervisorOptions:
    """Settings of the process supervisor of one machine."""

    name: str
    data: str  # directory
    cluster: ClusterOptions
    units: tuple[UnitOptions, ...]


@dataclass(frozen=True, slots=True)
class Options:
    """All settings of a node from cedarmill's own configuration."""

    deadlines: DeadlineOptions = field(default_factory=DeadlineOptions)
    health: HealthOptions = field(default_factory=HealthOptions)
    kinds: dict[str, KindOptions] = field(default_factory=dict)  # `*` applies to all kinds that are not named
    waste_log_interval_us: int = 60_000_000  # interval between `wasted-work` log events
    cluster: ClusterOptions | None = None

    def kind(self, name: str) -> KindOptions:
        """Return the settings for executors of a kind."""
        return self.kinds.get(name) or self.kinds.get("*") or _DEFAULT_KIND


_DEFAULT_KIND = KindOptions()
