"""What operators ask of the admin API, done on the node: readiness, excluded executors, draining clients.

The handlers only report and mark: an executor excluded by hand reaches the balancer as a draining one,
through the discovery client, and what follows of that is the balancer's. The marks are kept in a state file
that the node's next process finds, so that they hold across an upgrade. Times are whole microseconds.
"""

from collections.abc import Callable
from http import HTTPStatus

from cedarmill.admin.exclusions import KIND, Exclusions
from cedarmill.admin.routes import AdminAction, AdminRequest, AdminResponse
from cedarmill.log import log_event
from cedarmill.net.admin.server import Answer
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver, clock_reading
from cedarmill.net.upgrade.state_file import StateFile, state_file_path

LOOK_US = 500_000  # between two looks at the state file: the node's other process may have changed it
LOCK_WAIT_US = 500_000  # for the node's other process to leave that file: a call is answered within 1 s
LOCK_AGAIN_US = 10_000  # between two tries
IDLE_CLOSE_US = 1_000_000  # till idle connections close: new ones stop 0.2 s after `/ready` says no
CLOSE_IDLE_AGAIN_US = 100_000  # then between two closings of what has become idle


class AdminHandlers:
    """Carries out the admin API's requests."""

    def __init__(
        self,
        driver: EventLoopDriver,
        clients: ClientServer,
        discovery: DiscoveryClient,
        node: str,
        ending: Callable[[], bool],
    ) -> None:
        """`ending`: whether the process is told to end."""
        self.driver, self.clients, self.discovery, self.ending = driver, clients, discovery, ending
        self.state_file = StateFile(state_file_path(node, KIND))
        self.exclusions = Exclusions(node)
        self.ask_cluster: Callable[[AdminRequest, Answer], None] | None = None  # where a cluster decides
        self.excluded_by_cluster: dict[str, int] = {}  # executors, and since when
        self._drains = 0  # grows each time clients are drained: an old sweep ends when it sees a newer one
        self._actions = {
            AdminAction.READY: self._ready,
            AdminAction.DRAIN_CLIENTS: self._drain_clients,
            AdminAction.REJOIN: self._rejoin,
        }

    def start(self) -> None:
        """Take up the marks that an earlier process of this node left, before the first list is told."""
        self._look_again(self.driver.now())

    def _look_again(self, now: int) -> None:
        """Look at the state file every `LOOK_US`: the one chain that does."""
        self.driver.timers.add(now + LOOK_US, self._look_again)
        self._take_up()

    def _take_up(self) -> None:
        """Take up what the node's other process kept, if it changed."""
        try:
            text = self.state_file.read()
            changed = (
                self.exclusions.adopt(text, clock_reading(self.driver.now())) if text is not None else set()
            )
        except (OSError, ValueError) as error:
            log_event("exclusions-unread", reason=error)
            return
        if changed:
            log_event("exclusions-taken", names=", ".join(sorted(changed)))
            self._tell()

    def _tell(self) -> None:
        """Lay the marks as they now stand over what the balancer is told of these executors."""
        self.discovery.set_exclusions({**self.excluded_by_cluster, **self.exclusions.marked_us})

    def handle(self, request: AdminRequest, answer: Answer) -> None:
        """Answer a valid request: at once, or when the cluster has been asked, where there is one."""
        if self.ask_cluster is not None and request.action != AdminAction.READY:
            self.ask_cluster(request, answer)
        elif request.action in (AdminAction.EXCLUDE, AdminAction.INCLUDE):
            now = self.driver.now()
            self._mark(request, answer, now, now + LOCK_WAIT_US)
        else:
            answer(self._actions[request.action](request))

    def set_cluster_exclusions(self, marks: dict[str, int]) -> None:
        """Exclude these for the cluster, besides those by this API; times in the balancer's clock."""
        self.excluded_by_cluster = {
            name: self.excluded_by_cluster.get(name, at) for name, at in marks.items()
        }
        self._tell()

    def drain_clients(self, drain: bool) -> None:
        """Send the clients away for the cluster, or take them again."""
        if drain:
            self._drain_clients(AdminRequest(AdminAction.DRAIN_CLIENTS))
        else:
            self._rejoin(AdminRequest(AdminAction.REJOIN))

    def _ready(self, request: AdminRequest) -> AdminResponse:
        if self.clients.is_ready():
            return AdminResponse(HTTPStatus.OK, b"ready\n")
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, b"not ready\n")

    def _mark(self, request: AdminRequest, answer: Answer, now: int, until: int) -> None:
        """Make the mark as soon as the node's other process leaves the file; a no if it has not by then."""
        try:
            with self.state_file.exclusive_lock():  # the node's other process may mark at the same time
                done = self._mark_alone(request.executor, request.action == AdminAction.EXCLUDE)
        except OSError as error:  # nothing half done: `_mark_alone` takes the mark back
            if not isinstance(error, BlockingIOError) or now >= until:
                log_event("exclusions-not-saved", reason=error)
                done = AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, b"the mark could not be kept\n")
            else:
                self.driver.timers.add(
                    now + LOCK_AGAIN_US, lambda now: self._mark(request, answer, now, until)
                )
                return
        answer(done)

    def _mark_alone(self, name: str, out: bool) -> AdminResponse:
        """Make the mark on the newest document of both processes; raises OSError where it cannot be kept."""
        self._take_up()
        if not (self.discovery.has_executor(name) or name in self.exclusions.since):
            return AdminResponse(HTTPStatus.NOT_FOUND, b"no executor of that id\n")
        now, done = clock_reading(self.driver.now()), b"excluded\n" if out else b"included\n"
        before = self.exclusions.copy()
        if self.exclusions.exclude(name, now) if out else self.exclusions.include(name):
            try:
                self.state_file.write(self.exclusions.encode(now))
            except OSError:
                self.exclusions = before
                raise
            log_event("excluded" if out else "included", executor=name)
            self._tell()
        return AdminResponse(HTTPStatus.OK, done)

    def _drain_clients(self, request: AdminRequest) -> AdminResponse:
        if not self.clients.is_draining_clients:
            self._drains += 1
            self.clients.set_draining_clients(True)
            log_event("clients-draining", sessions=len(self.clients.sessions))
            drain = self._drains
            self.driver.timers.add(
                self.driver.now() + IDLE_CLOSE_US, lambda now: self._close_idle(now, drain)
            )
        return AdminResponse(HTTPStatus.OK, b"evacuating\n")

    def _close_idle(self, now: int, drain: int) -> None:
        if self.clients.is_draining_clients and drain == self._drains:
            self.clients.close_idle()
            self.driver.timers.add(now + CLOSE_IDLE_AGAIN_US, lambda now: self._close_idle(now, drain))

    def _rejoin(self, request: AdminRequest) -> AdminResponse:
        if self.ending():
            return AdminResponse(HTTPStatus.CONFLICT, b"the process is ending\n")
        if self.clients.is_draining_clients:
            self.clients.set_draining_clients(False)
            log_event("rejoined")
        return AdminResponse(HTTPStatus.OK, b"rejoined\n")
