"""Exchanges that carry a probe, which asks an executor for its load report."""

from typing import TYPE_CHECKING

import msgspec

from cedarmill.core.requests import Probe
from cedarmill.core.timers import SingleTimer
from cedarmill.decisions.interface import Outcome
from cedarmill.net.upstream.exchange import Exchange, parse_load_header
from cedarmill.net.upstream.exchange_end import ExchangeEnd

if TYPE_CHECKING:
    from cedarmill.net.upstream.pool import UpstreamPool, UpstreamPools

PROBE_CONNECT_TIMEOUTS = 2  # a probe's time limit in multiples of the connect timeout
MAX_REPORT_BYTES = 16 * 1024  # as for a report in a header
_LOAD_DECODER = msgspec.json.Decoder(dict[str, float])


class ProbeExchange(Exchange):
    """An exchange that asks an executor for its load report."""

    def __init__(self, pools: "UpstreamPools", pool: "UpstreamPool", probe: Probe) -> None:
        super().__init__(pools, pool)
        self.probe, probe.exchange = probe, self
        due = pools.driver.now() + PROBE_CONNECT_TIMEOUTS * pools.settings.connect_timeout_us
        self._deadline_timer = SingleTimer(pools.driver.timers)
        self._deadline_timer.start(due, self._on_deadline)

    def withdraw(self) -> None:
        """End the exchange without a report; its connection, if any, closes."""
        self.finished = True
        self._deadline_timer.cancel()
        if self.connection is not None and self.connection.exchange is self:
            self.connection.discard()

    def _on_deadline(self, now: int) -> None:
        if self.connection is not None and self.connection.exchange is self:
            self.connection.discard()
        self.finish(now, ExchangeEnd(Outcome.TIMEOUT))

    def outcome_if_blocked(self, now: int) -> Outcome | None:
        """Return MOOT for a probe that was recalled or is no longer needed."""
        is_wanted = self.probe.exchange is not None and self.pools.dispatch.may_probe(self.probe)
        return None if is_wanted else Outcome.MOOT

    def encode_request(self, now: int) -> bytes:
        """Return the request for a load report."""
        return b"GET /status/load HTTP/1.1\r\nHost: %s\r\n\r\n" % str(self.pool.address.host).encode()

    def on_written(self, now: int) -> None:
        """Mark the probe as written: recalling it is no longer possible."""
        self.probe.written = True

    def on_body(self, data: bytes) -> None:
        """Collect the report."""
        self.body += data
        if len(self.body) > MAX_REPORT_BYTES:
            raise ValueError("load report is too long")

    def on_complete(self) -> None:
        """Parse the report, which is JSON or text in the format of the load report header."""
        load = None
        if self.body.lstrip()[:1] == b"{":
            load = _LOAD_DECODER.decode(self.body)
        elif self.body:
            load = parse_load_header(bytes(self.body))
        outcome = {200: Outcome.OK, 503: Outcome.FULL}.get(self.status, Outcome.ERROR)
        self.pending_end = ExchangeEnd(outcome, self.load_report(load))

    def report_end(self, now: int, end: ExchangeEnd) -> None:
        """Report the probe's end to the dispatch."""
        self._deadline_timer.cancel()
        self.probe.exchange = None  # breaks a reference cycle
        self.pools.dispatch.probe_ended(now, self.probe, end.outcome, end.report)
