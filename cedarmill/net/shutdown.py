"""Graceful shutdown of a node: after SIGTERM it accepts for a short time, answers all requests and exits.

The platform kills the process after the longest request deadline, of which at most
`MAX_DEADLINE_BEFORE_KILL_US` counts, plus `KILL_DELAY_US`. All open requests are answered before that.
"""

from collections.abc import Callable

from cedarmill.core.dispatch import Dispatch
from cedarmill.log import log_event
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.loop import EventLoopDriver

# Clients open new connections for up to 0.4 s after SIGTERM; if the kill is near, the minimum applies.
ACCEPT_GRACE_US = 600_000
MIN_ACCEPT_GRACE_US = 450_000
# Requests on the connections accepted last are read in this time.
FINAL_READ_US = 100_000
KILL_DELAY_US = 700_000
MAX_DEADLINE_BEFORE_KILL_US = 3_000_000
# The last answers precede the kill by this margin, since the process may be stalled for 0.15 s.
KILL_MARGIN_US = 170_000
# Requests with an extended deadline are answered this long after `answer_by`.
FORCED_ANSWER_DELAY_US = 10_000
# All sessions are checked for having closed at this interval.
END_CHECK_INTERVAL_US = 10_000


class Shutdown:
    """Shuts the node down once; calls `leave` when no request or session is open."""

    dispatch: Dispatch  # Set by the owner before `begin`.

    def __init__(
        self,
        driver: EventLoopDriver,
        clients: ClientServer,
        longest_deadline_us: int,
        socket_is_inherited: bool,
        leave: Callable[[], None],
    ) -> None:
        self.driver, self.clients, self.leave = driver, clients, leave
        self.longest_deadline_us, self.socket_is_inherited = longest_deadline_us, socket_is_inherited
        self.draining = False
        self.on_draining: Callable[[], None] | None = None

    def begin(self) -> None:
        """Start the shutdown on SIGTERM; further calls have no effect."""
        if self.draining:
            return
        self.draining = True
        log_event("draining", held=self.dispatch.unanswered)
        self.clients.start_draining()
        if self.on_draining is not None:
            self.on_draining()
        now, timers = self.driver.now(), self.driver.timers
        kill_at = now + KILL_DELAY_US + min(self.longest_deadline_us, MAX_DEADLINE_BEFORE_KILL_US)
        answer_by = self.clients.answer_by = kill_at - KILL_MARGIN_US
        self.dispatch.limit_deadlines(answer_by)
        timers.add(answer_by + FORCED_ANSWER_DELAY_US, self.clients.answer_all)
        accept_until = now  # An inherited socket stays open in the platform: a new process accepts on it.
        if not self.socket_is_inherited:
            accept_limit = max(now + MIN_ACCEPT_GRACE_US, answer_by - FINAL_READ_US)
            accept_until = min(now + ACCEPT_GRACE_US, accept_limit)
        timers.add(accept_until, self._stop_listening)
        self.driver.run_due_timers()

    def _stop_listening(self, now: int) -> None:
        self.clients.stop_listening(accept_backlog=not self.socket_is_inherited)
        log_event("closed", held=self.dispatch.unanswered)
        self.driver.timers.add(now + FINAL_READ_US, self._leave_if_done)

    def _leave_if_done(self, now: int) -> None:
        self.clients.close_idle()
        if self.dispatch.unanswered == 0 and self.clients.all_sessions_closed():
            self.leave()
        else:
            self.driver.timers.add(now + END_CHECK_INTERVAL_US, self._leave_if_done)
