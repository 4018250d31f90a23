"""The pools of connections to executors, one for each; the dispatch's port to them."""

from typing import cast

from cedarmill.core.dispatch import Dispatch
from cedarmill.core.requests import Attempt, Probe
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.discovery.endpoints import Endpoint
from cedarmill.net.loop import EventLoopDriver
from cedarmill.net.upstream.connection import UpstreamConnection
from cedarmill.net.upstream.exchange import (
    AttemptExchange,
    Exchange,
    ExchangeEnd,
    ProbeExchange,
    RelayedAttemptExchange,
)
from cedarmill.values import KindOptions, Options


class UpstreamPool:
    """One executor's connections: the one used last is used first."""

    def __init__(self, pools: "UpstreamPools", number: int, address: Address, kind: KindOptions) -> None:
        self.pools, self.number, self.address, self.kind = pools, number, address, kind
        self.connections: set[UpstreamConnection] = set()
        self.idle: list[UpstreamConnection] = []

    def carry(self, exchange: Exchange) -> None:
        """Give an exchange to an idle connection, or to a new one."""
        now = self.pools.driver.now()
        distrust_idle = exchange.unsafe and now < self.pools.distrust_idle_until
        connection = None if distrust_idle else self._idle_for(exchange, now)
        if connection is not None:
            self.idle.remove(connection)
            connection.carry(exchange)
            return
        if not self.pools.make_room():
            log_event("executor-connections-full", bound=self.pools.bound)
            exchange.finish(now, ExchangeEnd(Outcome.DROPPED))
            return
        connection = UpstreamConnection(self, exchange)
        self.connections.add(connection)
        self.pools.connections += 1
        connection.open()

    def _idle_for(self, exchange: Exchange, now: int) -> UpstreamConnection | None:
        """The one used last; for what must not run twice one that is past late answers, or none."""
        usable = [connection for connection in reversed(self.idle) if not connection.is_closing()]
        if not exchange.guarded:
            return usable[0] if usable else None
        past = [connection for connection in usable if connection.past_late_answers(now)]
        choice = past if exchange.unsafe else past + usable
        # its close may have come and not be read yet; one call of the system for each that is asked
        return next((connection for connection in choice if not connection.hung_up()), None)

    def forget(self, connection: UpstreamConnection) -> None:
        """A connection has ended, or is about to."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.pools.connections -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        """End the connections that carry nothing."""
        for connection in list(self.idle):
            connection.abort()


class UpstreamPools:
    """The pools of all executors, under one bound of connections."""

    dispatch: Dispatch  # set by whoever wires the node

    def __init__(self, driver: EventLoopDriver, settings: api.Settings, bound: int, options: Options) -> None:
        self.driver, self.settings, self.bound, self.options = driver, settings, bound, options
        self.by_number: dict[int, UpstreamPool] = {}
        self.connections = 0  # of all pools together: a sum over the fleet for each new one cost too much
        self.distrust_idle_until = 0  # us: an idle connection has broken under a request lately

    def update(self, number: int, endpoint: Endpoint) -> None:
        """Learn where an executor listens; raises ValueError."""
        if endpoint.status != "SERVING":  # it may go without an address, and must not be passed over
            if number in self.by_number:
                self.by_number[number].close_idle()
            return
        address = Address.parse(endpoint.address)
        if (pool := self.by_number.get(number)) is None:
            kind = self.options.kind(endpoint.type)
            pool = self.by_number[number] = UpstreamPool(self, number, address, kind)
        if pool.address != address:
            pool.address = address
            pool.close_idle()

    def make_room(self) -> bool:
        """Keep to the bound: idle connections elsewhere give way to a new one."""
        while self.connections >= self.bound:
            fullest = max(self.by_number.values(), key=lambda pool: len(pool.idle), default=None)
            if fullest is None or not fullest.idle:
                return False
            fullest.idle[0].abort()
        return True

    # The dispatch's port.

    def send(self, attempt: Attempt) -> None:
        """Send an attempt to its executor."""
        pool = self.by_number.get(attempt.executor)
        if pool is None:  # it was never listed with an address
            self.dispatch.attempt_ended(self.driver.now(), attempt, Outcome.CONNECT_FAILED)
            return
        exchange_kind = RelayedAttemptExchange if pool.kind.speaks == "node" else AttemptExchange
        pool.carry(exchange_kind(self, pool, attempt))

    def cancel(self, attempt: Attempt, now_or_never: bool = False) -> bool:
        """By what the executor honours; what has not gone out whole only needs its connection closed."""
        exchange = cast(AttemptExchange | None, attempt.exchange)
        connection = exchange.connection if exchange is not None else None
        if exchange is None or connection is None or connection.exchange is not exchange:
            return True
        how = exchange.pool.kind.cancel if attempt.written else "blind"
        if how == "none" and not now_or_never:
            return False
        if how == "end":
            connection.end_sending()
        else:
            connection.abort_quietly()
        return True

    def probe(self, probe: Probe) -> None:
        """Ask an executor for its load report."""
        pool = self.by_number.get(probe.executor)
        if pool is None:
            self.dispatch.probe_ended(self.driver.now(), probe, Outcome.CONNECT_FAILED)
            return
        pool.carry(ProbeExchange(self, pool, probe))

    def recall(self, probe: Probe) -> None:
        """Take back a probe that has not been written."""
        exchange, probe.exchange = cast(ProbeExchange | None, probe.exchange), None
        if exchange is None:
            return
        exchange.ended = True
        self.driver.timers.cancel(exchange.deadline)
        if exchange.connection is not None and exchange.connection.exchange is exchange:
            exchange.connection.abort_quietly()
