"""The node: wires brain, dispatch and sockets, starts them, and ends them on a signal."""

import functools
import gc
import os
import resource
import signal
import sys
from random import Random

import uvloop

from cedarmill import log
from cedarmill.admin.resource_split import ConnectionCounts, NodeLimits, split_limits
from cedarmill.core.dispatch import Dispatch
from cedarmill.core.timers import Timer, Timers
from cedarmill.deadlines.propagation import DeadlineTracker
from cedarmill.decisions.balancer import Balancer
from cedarmill.log import log_event
from cedarmill.net.admin import server as door
from cedarmill.net.admin.handlers import AdminHandlers
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.config import Address, Config, ConfigError, inherited_socket
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver
from cedarmill.net.upgrade.sibling import SiblingProcess
from cedarmill.net.upgrade.warm_state import WarmStateSaver
from cedarmill.net.upstream.pool import UpstreamPools
from cedarmill.values import Options

OWN_DESCRIPTORS = 24  # the loop's, the log, the listening socket, discovery: 14 were counted
FLEET_DESCRIPTORS = 8  # a keeper, the listener for looks and some that look
HEALTH_DESCRIPTORS = 33  # of a listener for checkers: its socket and 32 sessions
OWN_MEMORY_MB = 24  # measured: 16 to 20 before the first session
SESSION_MB = 0.096  # measured: 0.07 with a body of 64 KiB that waits for its end
ACCEPT_ON_US = 600_000  # after SIGTERM: new connections come for up to 0.4 s more
ACCEPT_LEAST_US = 450_000  # the same where the kill comes soon
LAST_READ_US = 100_000  # then, for what the sessions taken last have sent to be read
KILL_US = 700_000  # after SIGTERM and the longest deadline, of which no more counts than:
KILL_DEADLINE_US = 3_000_000
KILL_MARGIN_US = 170_000  # between the last answers and the kill: the node may be held up for 0.15 s
ANSWER_ALL_US = 10_000  # after the last answers are due: for requests that were promised more time
CHECK_END_US = 10_000
RELOAD_AGAIN_US = 100_000  # till a configuration file that could not be read is read again
RELOAD_FOR_US = 30_000_000  # then that takes another signal
SPENT = (
    "{job_class} {cause}: {attempts} attempts, {before:.2f} s before, {after:.2f} s after, "
    "{guessed:.2f} s guessed"
)  # slot-seconds, before and after nobody wanted them
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class Node:
    """One node on one loop."""

    def __init__(self, path: str, options: Options) -> None:
        self.path, self.config, self.options = path, Config.load(path), options
        config, settings = self.config, self.config.settings
        self.loop = uvloop.new_event_loop()
        self.loop.set_exception_handler(self._exception)
        self.timers = Timers()
        self.driver = EventLoopDriver(self.loop, self.timers)
        sockets = min(config.limits.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        health = options.health
        own = OWN_DESCRIPTORS + (door.DESCRIPTORS if config.mgmt else 0)
        own += FLEET_DESCRIPTORS if options.cluster is not None else 0
        own += HEALTH_DESCRIPTORS * sum(map(bool, (health.agent, health.http, health.grpc)))
        self.limits = NodeLimits(sockets, own, config.limits.memory_mb, OWN_MEMORY_MB, SESSION_MB)
        room = split_limits(self.limits, [])
        self.deadline_tracker = DeadlineTracker(options.deadlines, len(settings.classes))
        self.clients = ClientServer(self.driver, settings, room.sessions, options.deadlines)
        self.pools = UpstreamPools(self.driver, settings, room.connections, options)
        self.discovery = DiscoveryClient(
            self.driver, settings, config.discovery, self.pools, Random(config.seed)
        )
        brain = Balancer(settings, config.seed)
        self.dispatch = Dispatch(brain, self.timers, self.pools, self.discovery, self.deadline_tracker)
        self.beside = SiblingProcess(self.driver, self.discovery, config.name, self._holds, self._share)
        for adapter in (self.clients, self.pools, self.discovery, self.beside):
            adapter.dispatch = self.dispatch
        self.draining = False
        self.term_at = 0  # when SIGTERM came
        self.reload_again: Timer | None = None  # while a configuration file waits to be read once more
        self.checkers: list = []
        self.hands = AdminHandlers(
            self.driver, self.clients, self.discovery, config.name, lambda: self.draining
        )
        self.door = door.AdminServer(self.driver, self.hands.carry_out)
        self.inherited = inherited_socket()
        self.keeper = WarmStateSaver(self.driver, brain, self.discovery, config.name, lambda: self.draining)
        self.fleet = self._fleet() if options.cluster is not None else None

    def _fleet(self):
        """The node's part in the fleet; the platform's run has none, and loads nothing of it."""
        from cedarmill.net.cluster.node_role import NodeRole

        return NodeRole(
            self.driver, self.config, self.options.cluster, self.clients, self.discovery, self.hands
        )

    def _holds(self) -> ConnectionCounts:
        """What counts against the node's limits, for its other processes."""
        return ConnectionCounts(len(self.clients.sessions), self.pools.connections)

    def _share(self, others: list[ConnectionCounts]) -> None:
        """The node's other processes hold so much: take what they leave."""
        self.clients.bound, self.pools.bound = split_limits(self.limits, others)

    def _listen_for_checkers(self) -> None:
        """The listeners of other installations; raises OSError."""
        options = self.options.health
        if not (options.agent or options.http or options.grpc):
            return
        from cedarmill.net.health import listener as health  # the platform's run has no use for it

        told = health.NodeHealth(self.config.name, self.clients)
        listeners = {}
        if options.agent:
            listeners["agent"] = health.HealthListener(self.driver, told, health.AgentSession)
        if options.http:
            listeners["http"] = health.HealthListener(self.driver, told, health.HttpSession)
        if options.grpc:
            from cedarmill.net.health.grpc import GrpcListener

            listeners["grpc"] = GrpcListener(self.driver, told)
        for kind, listener in listeners.items():
            address = Address.parse(getattr(options, kind))
            listener.listen(address)
            log_event("health", kind=kind, host=address.host, port=listener.port)
        self.checkers = list(listeners.values())

    def run(self) -> None:
        """Serve until a signal has been obeyed; raises OSError where the address cannot be had."""
        obey = {signal.SIGHUP: self._reload, signal.SIGUSR1: self._account}
        for number in SIGNALS:
            self.loop.add_signal_handler(number, obey.get(number, self._drain))
        self.clients.listen(self.config.listen, self.inherited)
        if self.inherited is not None:
            log_event("inherited", fd=self.inherited.fileno())
        if (mgmt := self.config.mgmt) is not None:
            self.door.listen(mgmt)
            log_event("admin-listening", host=mgmt.host, port=self.door.port)
        self._listen_for_checkers()
        self.hands.start()
        if self.inherited is not None:  # a second process can be started beside this one
            self.keeper.start()  # before the list: an heir asks discovery at once
        self.discovery.start(self.config.known)
        if self.fleet is not None:
            self.fleet.start()
        if self.inherited is not None:
            self.beside.start()
        self.timers.add(self.driver.now() + self.options.ledger_every_us, self._account_again)
        self.loop.call_soon(self._started)
        gc.collect()
        gc.freeze()
        self.driver.end()
        self.loop.run_forever()
        self.beside.end()
        log_event("ended", name=self.config.name)

    def _started(self) -> None:
        """The loop runs: only now does it hear of signals, those that came before included."""
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        log_event("serves", name=self.config.name, host=self.config.listen.host, port=self.clients.port)

    def _account_again(self, now: int) -> None:
        """Tell the ledger, and again after its time: only what happened since is told."""
        self.timers.add(now + self.options.ledger_every_us, self._account_again)
        self._account(quiet=True)

    def _account(self, quiet: bool = False) -> None:
        """Tell what was spent for nobody; when asked by a signal, also that it was nothing."""
        names = [spec.name for spec in self.config.settings.classes]
        spent = self.deadline_tracker.ledger.take()
        rows = [row._replace(job_class=names[row.job_class])._asdict() for row in spent]
        summary = "; ".join(
            SPENT.format(
                **{
                    **row,
                    "before": row["before"] / 1e6,
                    "after": row["after"] / 1e6,
                    "guessed": row["guessed"] / 1e6,
                }
            )
            for row in rows
        )
        if rows or not quiet:
            log_event("wasted-work", summary=summary or "nothing", rows=rows)

    def _reload(self) -> None:
        """A signal asks for the new configuration."""
        now = self.driver.now()
        self.timers.cancel(self.reload_again)
        self._read_configuration(now, until=now + RELOAD_FOR_US)
        self.driver.end()

    def _read_configuration(self, now: int, until: int) -> None:
        """Take up a new configuration; one that cannot be used changes nothing.

        A file that cannot be read (no descriptor, memory or disk just then) is read again soon: the signal
        comes once, and where discovery is counts from then on.
        """
        if self.draining:
            return
        try:
            config = Config.load(self.path)
        except ConfigError as error:
            log_event("reload-failed", reason=error)
            return
        except OSError as error:
            log_event("reload-failed", reason=error)
            if now < until:
                again = functools.partial(self._read_configuration, until=until)
                self.reload_again = self.timers.add(now + RELOAD_AGAIN_US, again)
            return
        if fixed := self.config.fixed_changes(config):
            log_event("reload-ignored", names=", ".join(fixed))
        log_event("reloaded", host=config.discovery.host, port=config.discovery.port)
        self.discovery.move(config.discovery)

    def _drain(self) -> None:
        if self.draining:
            return
        self.draining = True
        log_event("draining", held=self.dispatch.unanswered)
        self.clients.drain()
        for listener in self.checkers:
            listener.changed()
        self.term_at = self.driver.now()
        longest = max(spec.deadline_us for spec in self.config.settings.classes)
        kill = self.term_at + KILL_US + min(longest, KILL_DEADLINE_US)
        answer_by = self.clients.answer_by = kill - KILL_MARGIN_US
        self.dispatch.answer_by(answer_by)
        self.timers.add(answer_by + ANSWER_ALL_US, self.clients.answer_all)
        accept_until = self.term_at  # a socket that the platform holds: its new process takes what comes
        if self.inherited is None:
            soon = max(accept_until + ACCEPT_LEAST_US, answer_by - LAST_READ_US)
            accept_until = min(accept_until + ACCEPT_ON_US, soon)
        self.timers.add(accept_until, self._stop)
        self.driver.end()

    def _stop(self, now: int) -> None:
        self.clients.stop_listening(take_backlog=self.inherited is None)
        log_event("closed", held=self.dispatch.unanswered)
        self.timers.add(now + LAST_READ_US, self._end_if_done)

    def _end_if_done(self, now: int) -> None:
        self.clients.close_idle()
        if self.dispatch.unanswered == 0 and self.clients.all_gone():
            self._leave()
        else:
            self.timers.add(now + CHECK_END_US, self._end_if_done)

    def _leave(self) -> None:
        if self.fleet is not None:
            self.fleet.leave(self.loop.stop)
        else:
            self.loop.stop()

    @staticmethod
    def _exception(loop, context: dict) -> None:
        log_event("loop", context.get("exception"), what=context.get("message"))


def main(log_format: str = "text", options: Options | None = None) -> int:
    """Start the node that the environment describes; the exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # till the loop runs
    log.begin(log_format)
    try:
        if not (path := os.environ.get("LB_CONFIG")):
            raise ConfigError("LB_CONFIG is not set")
        Node(path, options or Options()).run()
    except (ConfigError, OSError) as error:
        print(f"cedarmill: {error}", file=sys.stderr)
        return 2
    return 0
