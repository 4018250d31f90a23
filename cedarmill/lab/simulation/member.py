"""A simulated process with a session: the real session core, its messages on the simulated network."""

from cedarmill.cluster.messages import ClientReply, ClientRequest, HeartbeatReply, Orders
from cedarmill.cluster.session import (
    Actions,
    Connect,
    FollowOrders,
    MemberIdentity,
    MemberReport,
    MemberSession,
    ProbeMember,
    SendRequest,
)
from cedarmill.lab.simulation.clock import MILLISECOND, SECOND
from cedarmill.lab.simulation.environment import ClusterEnvironment
from cedarmill.lab.simulation.process import SimulatedProcess
from cedarmill.lab.simulation.seeds import text_generator

TIMER = 50 * MILLISECOND  # us between two looks at the session's timers
PROBE_DELAY = 5 * MILLISECOND  # us that a probe of another member takes
LONG_PAUSE = 4 * SECOND  # us: longer than a lease
SESSION_SEEDS = 99


class SimulatedMember(SimulatedProcess):
    """A process with a session."""

    def __init__(self, environment: ClusterEnvironment, name: str, identity: MemberIdentity) -> None:
        super().__init__(environment, name, f"{name}/{identity.incarnation}")
        self.generator = text_generator(environment.seed, name, identity.incarnation)
        self.identity = identity
        self.session = MemberSession(
            identity,
            list(environment.replicas),
            self.report,
            self.clock.now(),
            self.generator.randrange(SESSION_SEEDS),
        )
        self._replica = ""
        self._connections = 0  # so that an answer on an older one is passed over
        self._run_timer()

    def report(self) -> MemberReport:
        """What the process says of itself in a heartbeat."""
        raise NotImplementedError

    def follow(self, orders: Orders) -> None:
        """Do as ordered."""

    def _run_timer(self) -> None:
        if self.alive:
            self.run(self._on_time)
            self.environment.scheduler.after(TIMER, self._run_timer)

    def _on_time(self) -> None:
        self._carry_out_session(self.session.on_time(self.clock.now()))

    def _carry_out_session(self, actions: Actions) -> None:
        for action in actions:
            if isinstance(action, Connect):
                self._replica, self._connections = action.replica, self._connections + 1
            elif isinstance(action, SendRequest):
                self._send_request(action.request)
            elif isinstance(action, FollowOrders):
                self.follow(action.orders)
            elif isinstance(action, ProbeMember):
                self._probe(action.key)

    def _send_request(self, request: ClientRequest) -> None:
        replica, connection = self._replica, self._connections
        network, faults = self.environment.network, self.environment.pending_faults

        def on_reply(answer: object) -> None:
            has_orders = isinstance(answer, HeartbeatReply) and answer.orders is not None
            if has_orders and self.name in faults.pause_at_orders:
                faults.pause_at_orders.discard(self.name)
                self.pause(LONG_PAUSE)
            network.send(replica, self.name, lambda: self.run(self._on_reply, connection, answer))

        self.environment.submit(self.name, replica, request, on_reply)

    def _on_reply(self, connection: int, answer: ClientReply) -> None:
        if connection == self._connections:
            self._carry_out_session(self.session.on_reply(self.clock.now(), answer))

    def _probe(self, key: str) -> None:
        def answer() -> None:
            member = self.environment.members.get(key)
            answered = member is not None and member.alive and not member.paused
            self.run(self.session.on_probed, key, answered)

        self.environment.scheduler.after(PROBE_DELAY, answer)
