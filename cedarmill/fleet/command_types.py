"""The commands of the agreed log and the requests of operators, as they are written to it."""

import msgspec

from cedarmill.fleet.evidence import Evidence
from cedarmill.fleet.slices import Budget
from cedarmill.fleet.world import Limit, Plan, Target
from cedarmill.fleet.zones import Zoning


class Command(msgspec.Struct, array_like=True, frozen=True):
    """What all have: the leader's time of the fleet."""

    at: int


class Tick(Command, tag="tick", frozen=True):
    """Time has come for something that is due by itself."""


class Joined(Command, tag="joined", frozen=True):
    """A process has a session now."""

    kind: str
    name: str
    life: str
    zone: str
    address: str
    version: str
    stops: bool
    unit_type: str = ""


class Lapsed(Command, tag="lapsed", frozen=True):
    """Sessions have run out: `cut_off` are those that others still reach."""

    silent: tuple[str, ...]
    cut_off: tuple[str, ...] = ()
    sure: tuple[str, ...] = ()  # of the silent: they stop sending by themselves, and have by now


class Back(Command, tag="back", frozen=True):
    """A session that had run out is renewed."""

    key: str


class Ended(Command, tag="ended", frozen=True):
    """A process has ended: by its own word, or by its steward's."""

    key: str
    why: str


class Seen(Command, tag="seen", frozen=True):
    """Targets as they are seen now: those that changed."""

    targets: tuple[Target, ...]


class Cleared(Command, tag="cleared", frozen=True):
    """A member is done with these targets, under those epochs."""

    key: str
    done: dict[str, int]


class Units(Command, tag="units", frozen=True):
    """A steward tells of its units."""

    steward: str
    units: dict[str, tuple[str, str, int, int]]


class Mass(Command, tag="mass", frozen=True):
    """Too much has gone at once to be believed; empty: that is over."""

    why: str


class Held(Command, tag="held", frozen=True):
    """What a member holds by grants that nobody here knows of: keepers were restored from an older state."""

    key: str
    targets: dict[str, int]  # `kind:name`, and the epoch of the grant


class Judged(Command, tag="judged", frozen=True):
    """The comparison of a release's new version with the rest."""

    release: int
    worse: str
    jobs: int = 0  # of the smaller side


class Observed(Command, tag="observed", frozen=True):
    """What all observers together see of the zones, where it differs from what was agreed."""

    evidence: Evidence


class Wants(Command, tag="wants", frozen=True):
    """A member wants other slices of the budgets than it was known to."""

    key: str
    wants: dict[str, int]


class Follows(Command, tag="follows", frozen=True):
    """A member follows orders of that epoch: it spends no longer by older ones."""

    key: str
    epoch: int


class SetUp(Command, tag="setup", frozen=True):
    """The first entry of a cluster, and that of a restored one: its name and generation."""

    cluster: str
    generation: int
    cold_us: int
    cold_share: int


# Requests of operators, and of nodes for them: `who` and `id` make them one, however often they come.


class Request(Command, frozen=True):
    who: str
    id: str


class SetLimits(Request, tag="limits", frozen=True):
    limits: tuple[Limit, ...]


class Ask(Request, tag="ask", frozen=True):
    """Leave for targets to be out; each is decided by itself."""

    kind: str
    names: tuple[str, ...]
    reason: str = ""
    priority: int = 0
    wait: int = 600_000_000


class Give(Request, tag="give", frozen=True):
    """Put a target back, or no longer wait for it."""

    kind: str
    name: str


class Word(Request, tag="word", frozen=True):
    """An operator says what nobody can prove: `drained`, `ended` (a member), `found` (a target), `forget`,
    `go-on`.
    """

    what: str
    name: str
    reason: str


class NewRelease(Request, tag="plan", frozen=True):
    plan: Plan


class ActRelease(Request, tag="act", frozen=True):
    """start, halt, resume or back."""

    release: int
    act: str
    why: str = ""


class SetZones(Request, tag="zones", frozen=True):
    zoning: Zoning


class SetBudgets(Request, tag="budgets", frozen=True):
    budgets: tuple[Budget, ...]


class ActCut(Request, tag="cut", frozen=True):
    """Refuse what is worth less than `rank` and a part of what is worth that, for a time; below 0: end it."""

    rank: int
    part: int = 0
    lasts: int = 0
    why: str = ""


class ActZone(Request, tag="zone", frozen=True):
    """leave, stay, pin, unpin, lost (a zone); freeze, thaw (the plan)."""

    act: str
    zone: str = ""
    over: int = 0  # us that an evacuation takes
    why: str = ""
    wait: int = 600_000_000


AnyRequest = (
    SetLimits | Ask | Give | Word | NewRelease | ActRelease | SetZones | ActZone | SetBudgets | ActCut
)
AnyCommand = (
    Tick | Joined | Lapsed | Back | Ended | Seen | Cleared | Units | Mass | Held | Judged | Observed | Wants
    | Follows | SetUp | AnyRequest
)  # fmt: skip
