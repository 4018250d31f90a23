"""The value types of our own settings, with the defaults that hold where nothing is set: the platform's.

All times are whole microseconds. Nothing here is read from a file: `conf` fills these from XML, and who
needs one is given it.
"""

from dataclasses import dataclass, field

SOURCES = ("x-budget-ms", "grpc-timeout", "x-envoy-expected-rq-timeout-ms", "x-deadline-unix-ms")
CANCELS = ("blind", "close", "end", "none")
SPEAKS = ("executor", "node")


@dataclass(frozen=True, slots=True)
class DeadlineOptions:
    """Where a req's deadline comes from, what is kept back of it, and what leaving means."""

    sources: tuple[str, ...] = ("x-budget-ms",)  # headers that are read; of several the tightest holds
    skew_us: int = 50_000  # bound on how far another machine's clock may be off, for absolute deadlines
    margin: str = "fixed"  # or `learned`, from measured round trips and this node's own lag
    margin_us: int = 20_000  # the fixed margin, and the ceiling of the learned one
    margin_floor_us: int = 2_000  # of the learned margin: the loop's timer counts whole milliseconds
    worth_quantile: float = 0.0  # of a class's running times that must still fit; 0: not asked
    half_close: str = "leaves"  # or `stays`: a client that ends its sending still reads the answer
    cancel_calls: bool = False  # whether DELETE /api/calls/ID says that a client has left
    on_leave: str = "stop"  # or `ignore`: work goes on for who has left, to measure what stopping saves


@dataclass(frozen=True, slots=True)
class KindOptions:
    """What the backends of one kind (the list's `type`) understand.

    `cancel`: `blind` closes the connection and believes nothing of it (the platform's executors go on),
    `close` closes it and the backend stops, `end` ends the sending on it and the backend stops, `none`
    leaves it open: the attempt counts as running till its real end. `speaks`: `executor` answers with the
    platform's lines of JSON, `node` with a final answer, as another cedarmill node does.
    """

    cancel: str = "blind"
    speaks: str = "executor"


@dataclass(frozen=True, slots=True)
class HealthOptions:
    """Where a node tells balancers of its own health: HOST:PORT, or empty for nowhere."""

    agent: str = ""
    http: str = ""
    grpc: str = ""


@dataclass(frozen=True, slots=True)
class ClusterOptions:
    """A node's part in a fleet; without it none of it is loaded."""

    cluster: str
    keepers: dict[str, str]  # by name, HOST:PORT as this node reaches them
    listen: str = ""  # HOST:PORT where members look whether it is there; empty: nobody can
    cut_off: str = "serve"  # what it does once its lease has run out: or `stop`
    start: str = "wait"  # a new process sends nothing before it has heard what is out: or `alone`
    stays: dict[str, str] = field(default_factory=dict)  # `class:NAME`, `tenant:NAME`: zone or region


@dataclass(frozen=True, slots=True)
class LimitOptions:
    """What may be out at once; shares in thousandths, -1: not set (docs/operators/drains.md)."""

    kind: str
    per: str
    most: int = -1
    share: int = -1
    capacity_left: int = -1


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """One keeper; `peers` are all keepers, this one too, as this one reaches them."""

    cluster: str
    name: str
    listen: str
    data: str
    peers: dict[str, str]
    limits: tuple[LimitOptions, ...] = ()  # that a new cluster begins with
    budgets: tuple[tuple[str, int, int], ...] = ()  # name, thousandths a second, nodes that may hold a floor
    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)  # their zones; none: nothing is planned
    costs: dict[str, int] = field(default_factory=dict)  # `FROM>TO` between zones
    safe: int = 900  # thousandths of a zone's slots that may be in use by plan
    sheds: bool = False  # whether the fleet agrees on a level of admission
    news: bool = False  # whether nodes tell each other what they hear of executors
    cold_us: int = 8_900_000  # that a returned executor counts in part (brief)
    cold_share: int = 300  # thousandths of its slots that it has at first (brief)


@dataclass(frozen=True, slots=True)
class UnitOptions:
    """One process that a steward runs."""

    name: str
    version: str  # that runs until a release says otherwise
    listen: str  # the clients' socket: held by the steward, inherited by the process
    commands: dict[str, tuple[str, ...]]  # by version
    env: dict[str, str]


@dataclass(frozen=True, slots=True)
class SupervisorOptions:
    """What one machine runs."""

    name: str
    data: str
    fleet: ClusterOptions
    units: tuple[UnitOptions, ...]


@dataclass(frozen=True, slots=True)
class Options:
    """All settings that are ours."""

    deadlines: DeadlineOptions = field(default_factory=DeadlineOptions)
    health: HealthOptions = field(default_factory=HealthOptions)
    kinds: dict[str, KindOptions] = field(default_factory=dict)  # `*` stands for all that are not named
    ledger_every_us: int = 60_000_000  # between two events that tell what was spent for nobody
    fleet: ClusterOptions | None = None

    def kind(self, name: str) -> KindOptions:
        """What holds for a kind of backend."""
        return self.kinds.get(name) or self.kinds.get("*") or _KIND


_KIND = KindOptions()
