"""Connection pools of the executors, which implement the dispatch's executor port."""

from typing import cast

from cedarmill.core.dispatch import Dispatch
from cedarmill.core.memory_budget import MemoryBudget
from cedarmill.core.requests import Attempt, Probe
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.discovery.endpoints import Endpoint
from cedarmill.net.loop import EventLoopDriver
from cedarmill.net.upstream.connection import UpstreamConnection
from cedarmill.net.upstream.exchange import AttemptExchange, Exchange, RelayedAttemptExchange
from cedarmill.net.upstream.exchange_end import ExchangeEnd
from cedarmill.net.upstream.probe_exchange import ProbeExchange
from cedarmill.values import KindOptions, Options


class UpstreamPool:
    """The connections to one executor; the most recently used idle connection is taken first."""

    def __init__(
        self, pools: "UpstreamPools", executor_number: int, address: Address, kind: KindOptions
    ) -> None:
        self.pools, self.executor_number, self.address, self.kind = pools, executor_number, address, kind
        self.connections: set[UpstreamConnection] = set()
        self.idle: list[UpstreamConnection] = []

    def submit(self, exchange: Exchange) -> None:
        """Send an exchange on an idle connection or on a new one."""
        now = self.pools.driver.now()
        requires_new = exchange.is_unsafe and now < self.pools.idle_reuse_paused_until
        connection = None if requires_new else self._select_idle(exchange, now)
        if connection is not None:
            self.idle.remove(connection)
            connection.send_exchange(exchange)
            return
        if not self.pools.ensure_capacity():
            log_event("executor-connections-full", bound=self.pools.max_connections)
            exchange.finish(now, ExchangeEnd(Outcome.DROPPED))
            return
        connection = UpstreamConnection(self, exchange)
        self.connections.add(connection)
        self.pools.connection_count += 1
        self.pools.memory.add_connection()
        connection.open()

    def _select_idle(self, exchange: Exchange, now: int) -> UpstreamConnection | None:
        """Return a suitable idle connection, or None.

        Exchanges with restricted repeats prefer, and unsafe ones and repeats require, a connection that can
        receive no second answer to its previous request.
        """
        open_idle = [connection for connection in reversed(self.idle) if not connection.is_closing()]
        if not exchange.is_repeat_restricted:
            return open_idle[0] if open_idle else None
        settled = [connection for connection in open_idle if connection.is_past_duplicate_answers(now)]
        candidates = settled if exchange.needs_settled_connection else settled + open_idle
        # The peer's close may not have been read yet; each check is one system call.
        return next((connection for connection in candidates if not connection.is_closed_by_peer()), None)

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Remove a connection that has ended or is about to."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.pools.connection_count -= 1
            self.pools.memory.remove_connection()
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self.idle):
            connection.discard()


class UpstreamPools:
    """The pools of all executors, with a common limit on connections."""

    dispatch: Dispatch  # set by the node after construction

    def __init__(
        self,
        driver: EventLoopDriver,
        settings: api.Settings,
        limit: int,
        options: Options,
        memory: MemoryBudget | None = None,
    ) -> None:
        """`limit`: number of connections; `memory`: counts the messages that are kept."""
        self.driver, self.settings, self.max_connections, self.options = driver, settings, limit, options
        self.memory = memory or MemoryBudget()
        self.pools_by_number: dict[int, UpstreamPool] = {}
        self.connection_count = 0  # of all pools, kept up to date instead of summed for each new connection
        self.idle_reuse_paused_until = 0  # us; set when an idle connection breaks under a request

    def update(self, executor_number: int, endpoint: Endpoint) -> None:
        """Set an executor's address from its endpoint list entry; raise ValueError if it is invalid."""
        if endpoint.status != "SERVING":  # such an entry may lack an address and is still valid
            if executor_number in self.pools_by_number:
                self.pools_by_number[executor_number].close_idle()
            return
        address = Address.parse(endpoint.address)
        if (pool := self.pools_by_number.get(executor_number)) is None:
            kind = self.options.kind(endpoint.type)
            pool = self.pools_by_number[executor_number] = UpstreamPool(self, executor_number, address, kind)
        if pool.address != address:
            pool.address = address
            pool.close_idle()

    def ensure_capacity(self) -> bool:
        """Close idle connections until a new one fits the limit; return False if that is not possible."""
        while self.connection_count >= self.max_connections:
            most_idle_pool = max(self.pools_by_number.values(), key=lambda pool: len(pool.idle), default=None)
            if most_idle_pool is None or not most_idle_pool.idle:
                return False
            most_idle_pool.idle[0].discard()
        return True

    # The dispatch's executor port.

    def send(self, attempt: Attempt) -> None:
        """Send an attempt to its executor."""
        pool = self.pools_by_number.get(attempt.executor)
        if pool is None:  # the executor was never listed with an address
            self.dispatch.attempt_ended(self.driver.now(), attempt, Outcome.CONNECT_FAILED)
            return
        exchange_kind = RelayedAttemptExchange if pool.kind.speaks == "node" else AttemptExchange
        pool.submit(exchange_kind(self, pool, attempt))

    def cancel(self, attempt: Attempt, force: bool = False) -> bool:
        """Cancel an attempt in the way its executor supports; return whether the attempt is over here.

        An attempt that is not fully sent is cancelled by closing its connection.
        """
        connection = _connection_of(attempt)
        if connection is None:
            return True
        cancel_mode = connection.pool.kind.cancel if attempt.written else "blind"
        if cancel_mode == "none" and not force:
            return False
        if cancel_mode == "end":
            connection.half_close()
        else:
            connection.discard()
        return True

    def is_unsent(self, attempt: Attempt) -> bool:
        """Return whether the transport lacks an attempt's last byte, so that closing it prevents a run."""
        connection = _connection_of(attempt)
        return connection is not None and not connection.writer.handed_to_transport

    def probe(self, probe: Probe) -> None:
        """Ask an executor for its load report."""
        pool = self.pools_by_number.get(probe.executor)
        if pool is None:
            self.dispatch.probe_ended(self.driver.now(), probe, Outcome.CONNECT_FAILED)
            return
        pool.submit(ProbeExchange(self, pool, probe))

    def withdraw_probe(self, probe: Probe) -> None:
        """Withdraw a probe that has not been written."""
        exchange, probe.exchange = cast(ProbeExchange | None, probe.exchange), None
        if exchange is not None:
            exchange.withdraw()


def _connection_of(attempt: Attempt) -> UpstreamConnection | None:
    """Return the connection that carries an attempt; None if it has none or no longer carries it."""
    exchange = cast(AttemptExchange | None, attempt.exchange)
    connection = exchange.connection if exchange is not None else None
    if exchange is None or connection is None or connection.exchange is not exchange:
        return None
    return connection
