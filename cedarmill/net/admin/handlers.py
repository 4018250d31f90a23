"""What operators ask at the door, done on the node: readiness, executors out by hand, sending clients away.

The door only reports and marks: an executor out by hand reaches the module as a draining one, through the
discovery client, and what follows of that is the module's. The marks are kept in a file that the node's next
process finds, so that they hold across an upgrade.
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

LOOK_US = 500_000  # between two looks at the kept file: the node's other process may have changed it
LOCK_WAIT_US = 500_000  # for the node's other process to leave that file: a call is answered within 1 s
LOCK_AGAIN_US = 10_000  # between two tries
AWAY_IDLE_US = 1_000_000  # after an evacuation, before idle connections close: new ones stop 0.2 s after a no
SWEEP_US = 100_000  # then between two closings of what has become idle


class AdminHandlers:
    """Carries out the door's calls."""

    def __init__(
        self,
        driver: EventLoopDriver,
        clients: ClientServer,
        discovery: DiscoveryClient,
        node: str,
        ending: Callable[[], bool],
    ) -> None:
        self.driver, self.clients, self.discovery, self.ending = driver, clients, discovery, ending
        self.kept = StateFile(state_file_path(node, KIND))
        self.exclusions = Exclusions(node)
        self.agreed: Callable[[AdminRequest, Answer], None] | None = None  # where a fleet decides
        self.by_fleet: dict[str, int] = {}  # executors out by the fleet's word
        self._away = 0  # grows with each evacuation: an old sweep ends when it sees a newer one
        self._acts = {
            AdminAction.READY: self._ready,
            AdminAction.EVACUATE: self._evacuate,
            AdminAction.REJOIN: self._rejoin,
        }

    def start(self) -> None:
        """Take up the marks that an earlier process of this node left, before the first list is told."""
        self._look_again(self.driver.now())

    def _look_again(self, now: int) -> None:
        """The one chain of looks at the kept file, every `LOOK_US`."""
        self.driver.timers.add(now + LOOK_US, self._look_again)
        self._take_up()

    def _take_up(self) -> None:
        """Take up what the node's other process kept, if it changed."""
        try:
            text = self.kept.read()
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
        """Lay the marks as they now stand over what the module hears of these executors."""
        self.discovery.mark({**self.by_fleet, **self.exclusions.marked_us})

    def obey(self, request: AdminRequest, answer: Answer) -> None:
        """Answer a call understood: at once, or when the fleet has been asked, where there is one."""
        if self.agreed is not None and request.action != AdminAction.READY:
            self.agreed(request, answer)
        elif request.action in (AdminAction.EXCLUDE, AdminAction.INCLUDE):
            now = self.driver.now()
            self._mark(request, answer, now, now + LOCK_WAIT_US)
        else:
            answer(self._acts[request.action](request))

    def out_by_fleet(self, marks: dict[str, int]) -> None:
        """These are out by the fleet's word now, beside those by this door's; times in the brain's clock."""
        self.by_fleet = {name: self.by_fleet.get(name, at) for name, at in marks.items()}
        self._tell()

    def send_away(self, away: bool) -> None:
        """The fleet has this node send its clients away, or take them again."""
        if away:
            self._evacuate(AdminRequest(AdminAction.EVACUATE))
        else:
            self._rejoin(AdminRequest(AdminAction.REJOIN))

    def _ready(self, request: AdminRequest) -> AdminResponse:
        if self.clients.ready():
            return AdminResponse(HTTPStatus.OK, b"ready\n")
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, b"not ready\n")

    def _mark(self, request: AdminRequest, answer: Answer, now: int, until: int) -> None:
        """Make the mark as soon as the node's other process leaves the file; a no if it has not by then."""
        try:
            with self.kept.alone():  # the node's other process may mark at the same time
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
        """Make the mark on the newest word of both processes; raises OSError where it cannot be kept."""
        self._take_up()
        if not (self.discovery.knows(name) or name in self.exclusions.since):
            return AdminResponse(HTTPStatus.NOT_FOUND, b"no executor of that id\n")
        now, done = clock_reading(self.driver.now()), b"excluded\n" if out else b"included\n"
        before = self.exclusions.copy()
        if self.exclusions.exclude(name, now) if out else self.exclusions.include(name):
            try:
                self.kept.write(self.exclusions.encode(now))
            except OSError:
                self.exclusions = before
                raise
            log_event("excluded" if out else "included", executor=name)
            self._tell()
        return AdminResponse(HTTPStatus.OK, done)

    def _evacuate(self, request: AdminRequest) -> AdminResponse:
        if not self.clients.sending_away:
            self._away += 1
            self.clients.send_away(True)
            log_event("clients-draining", sessions=len(self.clients.sessions))
            away = self._away
            self.driver.timers.add(self.driver.now() + AWAY_IDLE_US, lambda now: self._sweep(now, away))
        return AdminResponse(HTTPStatus.OK, b"evacuating\n")

    def _sweep(self, now: int, away: int) -> None:
        if self.clients.sending_away and away == self._away:
            self.clients.close_idle()
            self.driver.timers.add(now + SWEEP_US, lambda now: self._sweep(now, away))

    def _rejoin(self, request: AdminRequest) -> AdminResponse:
        if self.ending():
            return AdminResponse(HTTPStatus.CONFLICT, b"the process is ending\n")
        if self.clients.sending_away:
            self.clients.send_away(False)
            log_event("rejoined")
        return AdminResponse(HTTPStatus.OK, b"rejoined\n")
