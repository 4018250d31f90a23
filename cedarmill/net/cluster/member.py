"""A member's session on sockets: one connection to a keeper at a time, and an ear for members that look."""

from collections.abc import Callable

from cedarmill.cluster.messages import (
    ClientRequest,
    ConnectionRejected,
    GossipSubscription,
    Hello,
    Orders,
    Probe,
    ProbeReply,
    Unavailable,
)
from cedarmill.cluster.session import (
    Connect,
    FollowOrders,
    LeaseExpired,
    LeaseHolds,
    MemberIdentity,
    MemberReport,
    MemberSession,
    ProbeMember,
    SendRequest,
)
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.framing import FramedConnection
from cedarmill.net.listener import Acceptor, listening_socket
from cedarmill.net.loop import EventLoopDriver

GLANCE_US = 800_000  # for a member that is looked at to answer
PINGERS = 64  # connections of members that look, at once
LEAVE_US = 300_000  # for a keeper to hear that this life ends


class Membership:
    """Keeps the session of this process; `follow`, `lapsed` and `resumed` are its owner's."""

    def __init__(
        self,
        driver: EventLoopDriver,
        cluster: str,
        who: MemberIdentity,
        keepers: dict[str, Address],
        facts: Callable[[], MemberReport],
        follow: Callable[[Orders], None],
        lapsed: Callable[[], None] = lambda: None,
        resumed: Callable[[], None] = lambda: None,
    ) -> None:
        self.driver, self.cluster, self.who, self.keepers = driver, cluster, who, keepers
        first = sum(who.name.encode())
        self.agent = MemberSession(who, sorted(keepers), facts, driver.now(), first)
        self.follow, self.lapsed, self.resumed = follow, lapsed, resumed
        self.wire: FramedConnection | None = None
        self.port = 0
        self._asked: dict[
            int, tuple[Callable[[object], None], object]
        ] = {}  # answer's taker, and its deadline
        self._count = 0
        self._timer = None
        self._pings: set[FramedConnection] = set()
        # A node that would share news.
        self.taken: Callable[[FramedConnection, GossipSubscription], bool] = lambda wire, word: False
        self._carry_out = {
            Connect: self._dial,
            SendRequest: self._say,
            FollowOrders: self._follow,
            ProbeMember: self._glance,
            LeaseExpired: lambda action: self._lapsed(),
            LeaseHolds: lambda action: self._resumed(),
        }

    def listen(self, address: Address) -> None:
        """Where members look; raises OSError."""
        sock = listening_socket(address, PINGERS)
        self.acceptor = Acceptor(
            self.driver, sock, self._incoming, listener="member", batch=PINGERS, has_room=self._has_room
        )
        self.port = self.acceptor.port
        self.acceptor.resume()

    def start(self) -> None:
        """Begin to beat."""
        self._passed(self.driver.now())

    def holds(self) -> bool:
        """Whether the lease holds at this moment."""
        return self.agent.holds(self.driver.now())

    def _passed(self, now: int) -> None:
        self._do(self.agent.on_time(now))

    def _do(self, actions: list) -> None:
        for action in actions:
            self._carry_out[type(action)](action)
        self.driver.timers.cancel(self._timer)
        at = max(self.agent.due, self.driver.now() + 1000)
        self._timer = self.driver.timers.add(at, self._passed)

    def _lapsed(self) -> None:
        log_event("lease-expired")
        self.lapsed()

    def _resumed(self) -> None:
        log_event("lease-holds", epoch=self.agent.epoch)
        self.resumed()

    def _follow(self, action: FollowOrders) -> None:
        self.follow(action.orders)

    # The keeper.

    def _dial(self, action: Connect) -> None:
        if self.wire is not None:
            before, self.wire = self.wire, None
            before.end("another keeper is tried")
        self.wire = FramedConnection(self.driver, self._heard, self._ended, self._greet)
        self.wire.name = action.replica
        self.wire.dial(self.keepers[action.replica])

    def _greet(self, wire: FramedConnection) -> None:
        wire.send(0, Hello(self.cluster, self.who.name, "client"))

    def _say(self, action: SendRequest) -> None:
        if self.wire is not None:
            # Lost where the connection is not up yet: the next beat tells it.
            self.wire.send(0, action.request)

    def _heard(self, wire: FramedConnection, number: int, word: object) -> None:
        if wire is not self.wire:
            return
        if isinstance(word, ConnectionRejected):
            log_event("replica-refuses", replica=wire.name, reason=word.reason)
            wire.end(word.reason)
            return
        taker = self._asked.pop(number, None) if number else None
        if taker is not None:
            self.driver.timers.cancel(taker[1])
            taker[0](word)
        elif not number:
            self._do(self.agent.on_reply(self.driver.now(), word))

    def _ended(self, wire: FramedConnection, reason: str) -> None:
        if wire is self.wire:
            self.wire = None
            self._do(self.agent.on_disconnected(self.driver.now()))

    def ask(self, ask: ClientRequest, wait_us: int, taker: Callable[[object], None]) -> None:
        """Ask the keeper dialled; the taker gets its answer, or NotHere after `wait_us`."""
        self._count += 1
        number = self._count
        late = self.driver.timers.add(self.driver.now() + wait_us, lambda now: self._late(number))
        self._asked[number] = taker, late
        if self.wire is None or not self.wire.send(number, ask):
            self._late(number)

    def _late(self, number: int) -> None:
        taker = self._asked.pop(number, None)
        if taker is not None:
            self.driver.timers.cancel(taker[1])
            taker[0](Unavailable("no keeper answered in time"))

    def leave(self) -> None:
        """This life ends and has nothing out: say so once more."""
        self._do(self.agent.leave(self.driver.now()))

    # Looking at others, and being looked at.

    def _glance(self, action: ProbeMember) -> None:
        _, _, life = action.key.rpartition(":")

        def heard(wire: FramedConnection, number: int, word: object) -> None:
            done(wire, isinstance(word, ProbeReply) and word.incarnation == life)

        def done(wire: FramedConnection, there: bool) -> None:
            if wire in self._pings:
                self._pings.discard(wire)
                self.agent.on_probed(action.key, there)
                wire.end("looked")

        wire = FramedConnection(
            self.driver,
            heard,
            lambda wire, reason: done(wire, False),
            lambda wire: wire.send(1, Probe(self.who.name)),
        )
        self._pings.add(wire)
        try:
            wire.dial(Address.parse(action.address))
        except ValueError:
            done(wire, False)
            return
        self.driver.timers.add(self.driver.now() + GLANCE_US, lambda now: done(wire, False))

    def _incoming(self) -> FramedConnection:
        """The connection of one who looks whether this process lives."""
        wire = FramedConnection(self.driver, self._pinged, lambda wire, reason: self._pings.discard(wire))
        self._pings.add(wire)
        self.driver.timers.add(self.driver.now() + GLANCE_US, lambda now: self._late_ping(wire))
        return wire

    def _has_room(self) -> bool:
        """Whether one more may look; at the bound they wait in the backlog."""
        if len(self._pings) < PINGERS:
            return True
        self.acceptor.resume_later()
        return False

    def _late_ping(self, wire: FramedConnection) -> None:
        if wire in self._pings:
            wire.end("late")

    def _pinged(self, wire: FramedConnection, number: int, word: object) -> None:
        if isinstance(word, GossipSubscription):
            self._pings.discard(wire)
            if not self.taken(wire, word):
                wire.end("nobody to share news with")
            return
        if isinstance(word, Probe):
            wire.send(number, ProbeReply(self.who.name, self.who.incarnation))
