"""Handlers of the admin API's requests: readiness, manual exclusions of executors, draining of clients.

The discovery client reports an excluded executor to the balancer as draining. Exclusions are stored in a
state file that the node's next process reads, so that they outlive an upgrade. Times are in microseconds.
"""

from collections.abc import Callable
from http import HTTPStatus

from cedarmill.admin.exclusions import DOCUMENT_KIND, Exclusions
from cedarmill.admin.routes import AdminAction, AdminRequest, AdminResponse
from cedarmill.core.timers import SingleTimer
from cedarmill.log import log_event
from cedarmill.net.admin.server import Answer
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver, clock_reading
from cedarmill.net.upgrade.state_file import FileLock, StateFile, state_file_path

STATE_FILE_POLL_US = 500_000  # The node's other process may change the file.
LOCK_TIMEOUT_US = 500_000  # Requests must be answered within 1 s.
LOCK_RETRY_US = 10_000
IDLE_CLOSE_DELAY_US = 1_000_000  # New connections stop 0.2 s after `/ready` reports not ready.
IDLE_CLOSE_INTERVAL_US = 100_000


class AdminHandlers:
    """Carries out the admin API's requests."""

    def __init__(
        self,
        driver: EventLoopDriver,
        clients: ClientServer,
        discovery: DiscoveryClient,
        node: str,
        is_ending: Callable[[], bool],
    ) -> None:
        """Create handlers; `is_ending` returns whether the process has begun to shut down."""
        self.driver, self.clients, self.discovery, self.is_ending = driver, clients, discovery, is_ending
        self.state_file = StateFile(state_file_path(node, DOCUMENT_KIND))
        self.exclusions = Exclusions(node)
        self.submit_to_cluster: Callable[[AdminRequest, Answer], None] | None = None  # Set in a cluster.
        self.excluded_by_cluster: dict[str, int] = {}  # Times of exclusion by executor.
        self._idle_close_timer = SingleTimer(driver.timers)  # Runs while clients are drained.
        self._actions = {
            AdminAction.READY: self._report_readiness,
            AdminAction.DRAIN_CLIENTS: self._drain_clients,
            AdminAction.REJOIN: self._rejoin,
        }

    def start(self) -> None:
        """Load the stored exclusions, before the first endpoint list is applied."""
        self._poll_state_file(self.driver.now())

    def _poll_state_file(self, now: int) -> None:
        """Reload the state file, and schedule the next reload."""
        self.driver.timers.add(now + STATE_FILE_POLL_US, self._poll_state_file)
        self._reload_exclusions()

    def _reload_exclusions(self) -> None:
        """Apply the exclusions in the state file if the node's other process has changed them."""
        try:
            document = self.state_file.read()
            changed = (
                self.exclusions.adopt(document, clock_reading(self.driver.now()))
                if document is not None
                else set()
            )
        except (OSError, ValueError) as error:
            log_event("exclusions-unread", reason=error)
            return
        if changed:
            log_event("exclusions-taken", names=", ".join(sorted(changed)))
            self._publish_exclusions()

    def _publish_exclusions(self) -> None:
        """Pass all exclusions to the discovery client."""
        self.discovery.set_exclusions({**self.excluded_by_cluster, **self.exclusions.marked_us})

    def handle(self, request: AdminRequest, answer: Answer) -> None:
        """Answer a valid request, at once or after the cluster's decision."""
        if self.submit_to_cluster is not None and request.action != AdminAction.READY:
            self.submit_to_cluster(request, answer)
        elif request.action in (AdminAction.EXCLUDE, AdminAction.INCLUDE):
            now = self.driver.now()
            self._change_exclusion(request, answer, now, now + LOCK_TIMEOUT_US, self.state_file.lock_turn())
        else:
            answer(self._actions[request.action](request))

    def set_cluster_exclusions(self, excluded_at: dict[str, int]) -> None:
        """Replace the cluster's exclusions, given with their times on the balancer's clock."""
        self.excluded_by_cluster = {
            name: self.excluded_by_cluster.get(name, at) for name, at in excluded_at.items()
        }
        self._publish_exclusions()

    def drain_clients(self, drain: bool) -> None:
        """Start or end the draining of clients on behalf of the cluster."""
        if drain:
            self._drain_clients(AdminRequest(AdminAction.DRAIN_CLIENTS))
        else:
            self._rejoin(AdminRequest(AdminAction.REJOIN))

    def _report_readiness(self, request: AdminRequest) -> AdminResponse:
        if self.clients.is_ready():
            return AdminResponse(HTTPStatus.OK, b"ready\n")
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, b"not ready\n")

    def _change_exclusion(
        self, request: AdminRequest, answer: Answer, now: int, deadline: int, turn: FileLock
    ) -> None:
        """Exclude or include an executor; retry the state file's lock until `deadline`."""
        try:
            with self.state_file.exclusive_lock(turn):  # The node's other process writes it too.
                response = self._change_exclusion_locked(
                    request.executor, request.action == AdminAction.EXCLUDE
                )
        except OSError as error:  # `_change_exclusion_locked` has undone the change.
            if not isinstance(error, BlockingIOError) or now >= deadline:
                log_event("exclusions-not-saved", reason=error)
                response = AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, b"the mark could not be kept\n")
            else:
                self.driver.timers.add(
                    now + LOCK_RETRY_US,
                    lambda now: self._change_exclusion(request, answer, now, deadline, turn),
                )
                return
        turn.release()
        answer(response)

    def _change_exclusion_locked(self, name: str, should_exclude: bool) -> AdminResponse:
        """Change and store the exclusions under the lock; undo the change and raise OSError on failure."""
        self._reload_exclusions()
        if not (self.discovery.has_executor(name) or name in self.exclusions.since):
            return AdminResponse(HTTPStatus.NOT_FOUND, b"no executor of that id\n")
        now, body = clock_reading(self.driver.now()), b"excluded\n" if should_exclude else b"included\n"
        previous = self.exclusions.copy()
        if self.exclusions.exclude(name, now) if should_exclude else self.exclusions.include(name):
            try:
                self.state_file.write(self.exclusions.encode(now))
            except OSError:
                self.exclusions = previous
                raise
            log_event("excluded" if should_exclude else "included", executor=name)
            self._publish_exclusions()
        return AdminResponse(HTTPStatus.OK, body)

    def _drain_clients(self, request: AdminRequest) -> AdminResponse:
        if not self.clients.is_draining_clients:
            self.clients.set_draining_clients(True)
            log_event("clients-draining", sessions=len(self.clients.sessions))
            self._idle_close_timer.start(self.driver.now() + IDLE_CLOSE_DELAY_US, self._close_idle)
        return AdminResponse(HTTPStatus.OK, b"evacuating\n")

    def _close_idle(self, now: int) -> None:
        self.clients.close_idle()
        self._idle_close_timer.start(now + IDLE_CLOSE_INTERVAL_US, self._close_idle)

    def _rejoin(self, request: AdminRequest) -> AdminResponse:
        if self.is_ending():
            return AdminResponse(HTTPStatus.CONFLICT, b"the process is ending\n")
        if self.clients.is_draining_clients:
            self._idle_close_timer.cancel()
            self.clients.set_draining_clients(False)
            log_event("rejoined")
        return AdminResponse(HTTPStatus.OK, b"rejoined\n")
