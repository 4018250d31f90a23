"""Wires a node's balancer, dispatch and sockets, and runs them until a signal ends the process."""

import gc
import os
import resource
import signal
import sys
from random import Random
from typing import TYPE_CHECKING, Any

import uvloop

from cedarmill import log
from cedarmill.admin.resource_split import (
    ConnectionCounts,
    NodeLimits,
    message_memory_bytes,
    process_memory_bytes,
    split_limits,
)
from cedarmill.core.dispatch import Dispatch
from cedarmill.core.memory_budget import MemoryBudget
from cedarmill.core.timers import Timers
from cedarmill.deadlines.propagation import DeadlineTracker
from cedarmill.decisions.balancer import Balancer
from cedarmill.log import log_event
from cedarmill.net.admin import server as admin
from cedarmill.net.admin.handlers import AdminHandlers
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.config import Address, Config, ConfigError, inherited_socket
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver
from cedarmill.net.process_memory import ProcessMemory
from cedarmill.net.reload import ConfigurationReload
from cedarmill.net.shutdown import Shutdown
from cedarmill.net.upgrade.call_id_locks import CallIdLocks
from cedarmill.net.upgrade.closed_id_table import ClosedIdTable
from cedarmill.net.upgrade.sibling import SiblingExchange
from cedarmill.net.upgrade.warm_state import WarmStateSaver
from cedarmill.net.upstream.pool import UpstreamPools
from cedarmill.net.waste_log import WasteLog
from cedarmill.values import ClusterOptions, Options

if TYPE_CHECKING:
    from cedarmill.net.cluster.node_role import NodeRole
    from cedarmill.net.health.listener import HealthListener

OWN_DESCRIPTORS = 24  # event loop, log, listening socket, discovery, and a reserve
CLUSTER_DESCRIPTORS = 8  # connection to a replica, gossip listener and its connections
HEALTH_DESCRIPTORS = 33  # each health listener: its socket and 32 sessions
OWN_MEMORY_MB = 24  # each process, before its first session; 16 to 20 are in use
SESSION_MB = 0.096  # each session; 0.07 are in use with a body of 64 KiB that waits for its end
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class Node:
    """One load balancer node on one event loop."""

    def __init__(self, path: str, options: Options) -> None:
        self.config, self.options = Config.load(path), options
        config, settings = self.config, self.config.settings
        self.loop = uvloop.new_event_loop()
        self.loop.set_exception_handler(self._log_loop_exception)
        self.timers = Timers()
        self.driver = EventLoopDriver(self.loop, self.timers)
        self.limits = self._node_limits()
        self.process_memory = ProcessMemory(self.driver)
        self.memory = MemoryBudget(process_bytes_left=self.process_memory.bytes_left)
        self._limit_memory(processes=1)
        deadline_tracker = DeadlineTracker(options.deadlines, len(settings.classes))
        sessions, connections = split_limits(self.limits, [])
        self.clients = ClientServer(self.driver, settings, sessions, options.deadlines, self.memory)
        self.pools = UpstreamPools(self.driver, settings, connections, options, self.memory)
        self.discovery = DiscoveryClient(
            self.driver, settings, config.discovery, self.pools, Random(config.seed), self.memory
        )
        balancer = Balancer(settings, config.seed)
        self.dispatch = Dispatch(balancer, self.timers, self.pools, self.discovery, deadline_tracker)
        self.sibling_exchange = SiblingExchange(
            self.driver, self.discovery, config.name, self._count_own_connections, self._apply_sibling_counts
        )
        self.inherited_socket = inherited_socket()
        longest_deadline_us = max(spec.deadline_us for spec in settings.classes)
        self.shutdown = Shutdown(
            self.driver, self.clients, longest_deadline_us, self.inherited_socket is not None, self._stop
        )
        for adapter in (self.clients, self.pools, self.discovery, self.sibling_exchange, self.shutdown):
            adapter.dispatch = self.dispatch
        self.reload = ConfigurationReload(self.driver, path, config, self.discovery, self._is_draining)
        class_names = [spec.name for spec in settings.classes]
        self.waste_log = WasteLog(self.driver, deadline_tracker, class_names, options.waste_log_interval_us)
        self._create_admin_api()
        self.warm_state = WarmStateSaver(
            self.driver, balancer, self.discovery, config.name, self._is_draining
        )
        self.cluster_role = self._create_role(options.cluster) if options.cluster is not None else None

    def _limit_memory(self, processes: int) -> None:
        """Limit this process to its share of the node's memory."""
        self.process_memory.limit_bytes = process_memory_bytes(self.limits, processes)
        self.memory.share_bytes = message_memory_bytes(self.limits, processes)

    def _create_admin_api(self) -> None:
        """Create the admin API's handlers and its server."""
        self.admin_handlers = AdminHandlers(
            self.driver, self.clients, self.discovery, self.config.name, self._is_draining
        )
        self.admin_server = admin.AdminServer(self.driver, self.admin_handlers.handle)

    def _node_limits(self) -> NodeLimits:
        """Return the limits shared by all processes of the node, and what each process uses itself."""
        health, configured = self.options.health, self.config.limits
        sockets = min(configured.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        own_descriptors = OWN_DESCRIPTORS + (admin.MAX_DESCRIPTORS if self.config.mgmt else 0)
        own_descriptors += CLUSTER_DESCRIPTORS if self.options.cluster is not None else 0
        own_descriptors += HEALTH_DESCRIPTORS * sum(map(bool, (health.agent, health.http, health.grpc)))
        return NodeLimits(sockets, own_descriptors, configured.memory_mb, OWN_MEMORY_MB, SESSION_MB)

    def _create_role(self, options: ClusterOptions) -> "NodeRole":
        """Create the node's role in the cluster; only nodes of a cluster import its modules."""
        from cedarmill.net.cluster.node_role import NodeRole

        return NodeRole(self.driver, self.config, options, self.clients, self.discovery, self.admin_handlers)

    def _is_draining(self) -> bool:
        """Return whether the process has begun to shut down."""
        return self.shutdown.draining

    def _count_own_connections(self) -> ConnectionCounts:
        """Return the client sessions and upstream connections that this process holds."""
        return ConnectionCounts(len(self.clients.sessions), self.pools.connection_count)

    def _apply_sibling_counts(self, siblings: list[ConnectionCounts]) -> None:
        """Limit this process to the sessions and connections that the node's other processes leave."""
        self.clients.max_sessions, self.pools.max_connections = split_limits(self.limits, siblings)
        self._limit_memory(processes=1 + len(siblings))
        self.clients.open_requests.set_sibling_count(len(siblings))

    def _listen_for_health_checks(self) -> None:
        """Open the configured health check listeners; raise OSError."""
        options = self.options.health
        if not (options.agent or options.http or options.grpc):
            return
        from cedarmill.net.health import listener as health  # loaded only where configured

        node_health = health.NodeHealth(self.config.name, self.clients)
        listeners: dict[str, HealthListener[Any]] = {}
        if options.agent:
            listeners["agent"] = health.HealthListener(self.driver, node_health, health.AgentSession)
        if options.http:
            listeners["http"] = health.HealthListener(self.driver, node_health, health.HttpSession)
        if options.grpc:
            from cedarmill.net.health.grpc import GrpcListener

            listeners["grpc"] = GrpcListener(self.driver, node_health)
        for kind, listener in listeners.items():
            address = Address.parse(getattr(options, kind))
            listener.listen(address)
            log_event("health", kind=kind, host=address.host, port=listener.port)

        def report_draining() -> None:
            for listener in listeners.values():
                listener.on_health_changed()

        self.shutdown.on_draining = report_draining

    def run(self) -> None:
        """Serve until a signal ends the process; raise OSError if an address cannot be bound."""
        handlers = {signal.SIGHUP: self.reload.begin, signal.SIGUSR1: self.waste_log.log_summary}
        for number in SIGNALS:
            self.loop.add_signal_handler(number, handlers.get(number, self.shutdown.begin))
        self._open_listeners()
        self.admin_handlers.start()
        if self.inherited_socket is not None:  # a second process can be started while this one serves
            name = self.config.name
            self.clients.open_requests.share(CallIdLocks(name), ClosedIdTable(name))
            self.warm_state.start()  # before discovery starts: a successor asks it at once
        self.discovery.start(self.config.known)
        if self.cluster_role is not None:
            self.cluster_role.start()
        if self.inherited_socket is not None:
            self.sibling_exchange.start()
        self.waste_log.start()
        self.loop.call_soon(self._on_loop_started)
        gc.collect()
        gc.freeze()
        self.driver.run_due_timers()
        self.loop.run_forever()
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # the interpreter gives up its handlers as it ends
        self.sibling_exchange.remove_document()
        log_event("ended", name=self.config.name)

    def _open_listeners(self) -> None:
        """Open all listeners; raise OSError."""
        self.clients.listen(self.config.listen, self.inherited_socket)
        if self.inherited_socket is not None:
            log_event("inherited", fd=self.inherited_socket.fileno())
        if (mgmt := self.config.mgmt) is not None:
            self.admin_server.listen(mgmt)
            log_event("admin-listening", host=mgmt.host, port=self.admin_server.port)
        self._listen_for_health_checks()

    def _on_loop_started(self) -> None:
        """Unblock signals once the loop can handle them, those received before included."""
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        log_event("serves", name=self.config.name, host=self.config.listen.host, port=self.clients.port)

    def _stop(self) -> None:
        """Stop the loop when all sessions are closed, after leaving the cluster if there is one."""
        if self.cluster_role is not None:
            self.cluster_role.leave(self.loop.stop)
        else:
            self.loop.stop()

    @staticmethod
    def _log_loop_exception(_loop: object, context: dict[str, Any]) -> None:
        """Log an exception that the event loop has caught."""
        log_event("loop", context.get("exception"), what=context.get("message"))


def main(log_format: str = "text", options: Options | None = None) -> int:
    """Run the node that `$LB_CONFIG` configures; return the exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # until the loop runs
    log.configure(log_format)
    try:
        if not (path := os.environ.get("LB_CONFIG")):
            raise ConfigError("LB_CONFIG is not set")
        Node(path, options or Options()).run()
    except (ConfigError, OSError) as error:
        print(f"cedarmill: {error}", file=sys.stderr)
        return 2
    return 0
