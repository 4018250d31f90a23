"""The end of a node's process: from SIGTERM on it takes what still comes, answers all, and leaves.

The platform kills the process `KILL_US` after SIGTERM and the longest deadline, of which it counts
`KILL_DEADLINE_US` at most. So all that is open is answered before.
"""

from collections.abc import Callable

from cedarmill.core.dispatch import Dispatch
from cedarmill.log import log_event
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.loop import EventLoopDriver

ACCEPT_ON_US = 600_000  # after SIGTERM: new connections come for up to 0.4 s more
ACCEPT_LEAST_US = 450_000  # the same where the kill comes soon
LAST_READ_US = 100_000  # then, for what the sessions taken last have sent to be read
KILL_US = 700_000
KILL_DEADLINE_US = 3_000_000
KILL_MARGIN_US = 170_000  # between the last answers and the kill: the node may be held up for 0.15 s
ANSWER_ALL_US = 10_000  # after the last answers are due: for requests that were promised more time
CHECK_END_US = 10_000  # between two looks whether all has ended


class Shutdown:
    """Ends the process once; `leave` is called when nothing is open any longer."""

    dispatch: Dispatch  # set by whoever wires the node

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
        """SIGTERM has come; a second one changes nothing."""
        if self.draining:
            return
        self.draining = True
        log_event("draining", held=self.dispatch.unanswered)
        self.clients.drain()
        if self.on_draining is not None:
            self.on_draining()
        now, timers = self.driver.now(), self.driver.timers
        kill_at = now + KILL_US + min(self.longest_deadline_us, KILL_DEADLINE_US)
        answer_by = self.clients.answer_by = kill_at - KILL_MARGIN_US
        self.dispatch.answer_by(answer_by)
        timers.add(answer_by + ANSWER_ALL_US, self.clients.answer_all)
        accept_until = now  # a socket that the platform holds: its new process takes what comes
        if not self.socket_is_inherited:
            soon = max(now + ACCEPT_LEAST_US, answer_by - LAST_READ_US)
            accept_until = min(now + ACCEPT_ON_US, soon)
        timers.add(accept_until, self._stop_listening)
        self.driver.end()

    def _stop_listening(self, now: int) -> None:
        self.clients.stop_listening(take_backlog=not self.socket_is_inherited)
        log_event("closed", held=self.dispatch.unanswered)
        self.driver.timers.add(now + LAST_READ_US, self._leave_if_done)

    def _leave_if_done(self, now: int) -> None:
        self.clients.close_idle()
        if self.dispatch.unanswered == 0 and self.clients.all_gone():
            self.leave()
        else:
            self.driver.timers.add(now + CHECK_END_US, self._leave_if_done)
