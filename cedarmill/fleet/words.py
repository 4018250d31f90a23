"""What members, operators and keepers say to each other; frames of `net/peers.py` carry these."""

import msgspec

from cedarmill.fleet.agree.words import Message
from cedarmill.fleet.command_types import AnyRequest
from cedarmill.fleet.evidence import Digest
from cedarmill.fleet.overload import Cut
from cedarmill.fleet.zones import Row


class Sight(msgspec.Struct, array_like=True, frozen=True):
    """An executor as one node sees it; `state` by discovery's word, `ill` by the node's own attempts.

    `sure`: the node has tried it lately. One that has not says nothing of whether it is ill.
    """

    state: str  # ready, draining, gone
    ill: bool = False
    sure: bool = True
    zone: str = ""
    type: str = ""
    group: str = ""
    slots: int = 1
    started_ms: int = 0


class Beat(msgspec.Struct, tag="beat", frozen=True):
    """A member renews its session, and tells what has changed since it was last answered."""

    kind: str
    name: str
    life: str  # of this process: another start is another life
    seq: int
    epoch: int  # of the orders that it follows
    term: int = 0  # of the leader that answered last: another one is told all anew
    zone: str = ""
    address: str = ""
    version: str = ""
    unit_type: str = ""
    stops: bool = False
    doubts: bool = False  # it stood still itself: what it saw then says nothing
    leaving: bool = False  # it ends, and has nothing out
    done: dict[str, int] = {}  # targets with which it is done, and the epochs of their grants
    held: dict[str, int] = {}  # `kind:name` of what it holds to be out, and the epochs
    seen: dict[str, Sight] = {}
    units: dict[str, tuple[str, str, int, int]] = {}
    ended: list[str] = []  # lives of units that a steward has seen end: `node:NAME:LIFE`
    counts: tuple[int, int, int, int] = (0, 0, 0, 0)  # jobs, failed, late, refused, since the process began
    reached: dict[str, bool] = {}  # members that it was asked to look at
    digest: Digest | None = None  # of a node, now and then: what it sees of zones
    stamp: int = -1  # the newest `Beaten.stamp` of that term, and how long ago it came (us): together they
    since: int = 0  # tell the leader how old this beat may be, whatever the clocks show
    wants: dict[str, int] = {}  # of each budget, thousandths a second


class Way(msgspec.Struct, array_like=True, frozen=True):
    """Where a node of one zone sends, by how far its reqs may go; thousandths by zone."""

    epoch: int
    zone: str
    reach: dict[str, list[str]]  # the zones in which a req may run, by how far it may go
    shares: dict[str, Row]
    standing: dict[str, dict[str, Row]] = {}  # what holds instead once that zone is not reached
    shut: dict[str, int] = {}  # zones to which nothing goes, whatever is lost; epochs of their permits


class Orders(msgspec.Struct, frozen=True):
    """What a member is to follow, whole, under one epoch."""

    epoch: int
    out: dict[str, int] = {}  # executors that get nothing new, and the epoch of each grant
    away: int = 0  # the epoch of the grant by which this node is to send its clients away; 0: it serves
    units: dict[str, tuple[str, int]] = {}  # what a steward is to run, and the epoch of each word
    way: Way | None = None  # of a node, where zones are planned
    cut: Cut = Cut()  # of a node: jobs that it refuses at once
    tight: dict[str, Cut] = {}  # the same by how far a req may go, where that is stricter
    purse: dict[str, tuple[int, int]] = {}  # of a node, by budget: slice and floor, thousandths a second
    peers: int = 0  # of a node, where news are shared: the epoch of who is there, asked for if it is new


class Beaten(msgspec.Struct, tag="beaten", frozen=True):
    """The session holds for `lease` us from when the beat was sent; 0: there is none yet."""

    seq: int
    lease: int
    term: int
    orders: Orders | None = None
    look: dict[str, str] = {}  # members of which others hear nothing: reach them at these addresses
    stamp: int = -1  # by the leader's clock


class Do(msgspec.Struct, tag="do", frozen=True):
    """An operator's request."""

    request: AnyRequest


class Did(msgspec.Struct, tag="did", frozen=True):
    """What came of it; the permits or release that it made, as they stand."""

    ok: bool
    text: str
    permits: list = []  # [id, target, state, notes] each
    release: int = 0


class Look(msgspec.Struct, tag="look", frozen=True):
    """Ask for a part of what is agreed: status, members, targets, limits, permits, releases, log, would,
    zones, what-if, world, peers (nodes that are there, and their addresses).
    """

    what: str
    kind: str = ""
    names: list[str] = []


class Shown(msgspec.Struct, tag="shown", frozen=True):
    """The part, as JSON."""

    text: bytes


class Keepers(msgspec.Struct, tag="keepers", frozen=True):
    """Change the keepers by one: add, remove; or hand the lead over."""

    act: str
    name: str = ""
    address: str = ""
    disk: str = ""


class NotHere(msgspec.Struct, tag="not-here", frozen=True):
    """Not answered by this keeper, and why; the same may be asked of another, with the same id."""

    reason: str
    leader: str = ""


class Ping(msgspec.Struct, tag="ping", frozen=True):
    """Is that life there? Members ask each other."""

    name: str


class Pong(msgspec.Struct, tag="pong", frozen=True):
    name: str
    life: str


class Use(msgspec.Struct, tag="use", frozen=True):
    """A node tells another which executors it uses: what the other hears of these is to be told to it."""

    cluster: str
    name: str
    executors: list[str]


class Heard(msgspec.Struct, tag="heard", frozen=True):
    """What a node heard of executors itself, never what it was told: name, age (us), report.

    `stamp` is by its clock; `echo` is the newest stamp that came from the other side, and `since` how long
    ago (us): by these the other knows how old at the most what it reads can be, whatever the link does.
    """

    facts: list[tuple[str, int, tuple[float, ...]]]
    stamp: int
    echo: int = -1
    since: int = 0


Ask = Beat | Do | Look | Keepers | Ping
Shared = Use | Heard  # what nodes tell each other
Answer = Beaten | Did | Shown | NotHere | Pong


class Relay(msgspec.Struct, tag="relay", frozen=True):
    """A keeper passes on to the leader what it was asked."""

    id: int
    ask: Ask


class Relayed(msgspec.Struct, tag="relayed", frozen=True):
    id: int
    answer: Answer


Between = Message | Relay | Relayed  # what keepers send each other


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """The first frame of a connection: who dials, for what, of which cluster."""

    cluster: str
    name: str
    role: str  # keeper, or client (a member or an operator)
    disk: str = ""  # of a keeper: which disk has made its promises
    boot: int = 0  # and how often it has started on it


class Refused(msgspec.Struct, tag="refused", frozen=True):
    """The connection is not taken, and why."""

    reason: str
