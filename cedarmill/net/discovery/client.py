"""Discovery client: keeps the endpoint list, first from the configuration and then by a watch."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from cedarmill.core.discovery_watch import (
    Action,
    CloseConnection,
    Connect,
    DiscoveryWatch,
    ReportLoss,
    SendCall,
    WatchEvent,
)
from cedarmill.core.dispatch import Dispatch
from cedarmill.core.memory_budget import MemoryBudget
from cedarmill.core.timers import SingleTimer
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.discovery.endpoints import EndpointReader, ExecutorStart, Listing
from cedarmill.net.discovery.watch_connection import WatchConnection
from cedarmill.net.loop import EventLoopDriver
from cedarmill.net.upstream.pool import UpstreamPools

CALL_BUDGET_EXHAUSTED = "the fleet's budget leaves this node no list call"
WATCH_LOST_QUIET_US = 30_000_000  # shortest interval between two log lines on a lost watch


class DiscoveryClient:
    """Keeps the endpoint list and at most one watch connection; implements the dispatch's discovery port."""

    dispatch: Dispatch  # set by the node after construction

    def __init__(
        self,
        driver: EventLoopDriver,
        settings: api.Settings,
        address: Address,
        pools: UpstreamPools,
        random: Random | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        """`memory`: counts what is kept of an incomplete list."""
        self.driver, self.address, self.pools = driver, address, pools
        self.memory = memory or MemoryBudget()
        self.reader = EndpointReader(settings)
        self.index = 0
        self.is_pushed = not settings.on_request_discovery
        self.watch_machine = DiscoveryWatch(settings.instances, self.is_pushed, random or Random())
        self.connection: WatchConnection | None = None
        self._watch_timer = SingleTimer(driver.timers)
        self.logged_watching: bool | None = None  # last state in the log; None before the first line
        self.loss_log_quiet_until = 0  # us; losses before this time are not logged
        self.entries: dict[int, api.EndpointEntry] = {}  # by executor's number, as discovery lists them
        self.on_list_change: Callable[[], None] | None = None  # called after each change of the list
        # For the balancer, `excluded` and `hidden_executors` drain; all do while sending is suspended.
        self.excluded: dict[str, int] = {}  # by name: since when operators exclude the executor (us)
        self.sending_suspended = False
        self.hidden_executors: set[str] = set()  # those that the cluster's plan does not assign to this node
        self.listed_start_ms: dict[int, int] = {}  # by executor's number: discovery's start stamp (Unix ms)
        self.list_current_at: int | None = None  # us; when the list was last known to be up to date

    def start(self, known: Listing) -> None:
        """Apply the configured list, and start the watch at once if an agent pushes the list."""
        self._apply_listing(known, api.EndpointListKind.CACHED)
        if self.is_pushed:
            self.watch()

    def restore_starts(self, starts: dict[str, ExecutorStart], list_current_at: int | None) -> None:
        """Take over the predecessor's executor starts and the time when its list was last up to date."""
        self.reader.starts.update(starts)
        self.list_current_at = list_current_at

    def on_listing(self, listing: Listing) -> None:
        """Apply a list received by the watch."""
        self.watch_machine.list_received()
        if not self.logged_watching:
            log_event("watching", index=listing.index, host=self.address.host, port=self.address.port)
            self.logged_watching = True
        self._apply_listing(
            listing, api.EndpointListKind.FULL if listing.snapshot else api.EndpointListKind.DELTA
        )

    def _apply_listing(self, listing: Listing, kind: api.EndpointListKind) -> None:
        now, entries = self.driver.now(), []
        for endpoint in listing.endpoints:
            entry = self.reader.to_entry(endpoint, now, self.list_current_at)
            try:
                self.pools.update(entry.executor, endpoint)
            except ValueError as error:
                log_event("entry-passed-over", name=endpoint.name, reason=error)
                entry = replace(entry, state=api.ExecutorState.DRAINING)  # stops use of the previous address
            entries.append(entry)
        self.index = listing.index
        if kind != api.EndpointListKind.DELTA:
            self.entries.clear()
        self.entries.update((entry.executor, entry) for entry in entries)
        self.listed_start_ms.update(
            (self.reader.numbers_by_name[e.name], e.since_ms) for e in listing.endpoints
        )
        if kind != api.EndpointListKind.CACHED:
            self.list_current_at = now
        self._publish(now, kind, entries)
        if self.on_list_change is not None:
            self.on_list_change()

    def _with_restrictions(self, entry: api.EndpointEntry) -> api.EndpointEntry:
        """Return the entry as given to the balancer: a ready executor under a restriction is draining."""
        name = self.reader.names_by_number.get(entry.executor)
        is_restricted = self.sending_suspended or name in self.excluded or name in self.hidden_executors
        if is_restricted and entry.state == api.ExecutorState.READY:
            return replace(entry, state=api.ExecutorState.DRAINING)
        return entry

    def _publish(self, now: int, kind: api.EndpointListKind, entries: list[api.EndpointEntry]) -> None:
        """Pass entries to the balancer, with exclusions, hidden executors and the suspension applied."""
        restricted = [self._with_restrictions(entry) for entry in entries]
        self.dispatch.on_endpoint_list(now, api.EndpointList(kind, restricted))

    def _find_entry(self, name: str) -> api.EndpointEntry | None:
        number = self.reader.numbers_by_name.get(name)
        return None if number is None else self.entries.get(number)

    def suspend_sending(self, suspended: bool) -> None:
        """Suspend sending to all executors, or resume it."""
        if suspended == self.sending_suspended:
            return
        self.sending_suspended = suspended
        if self.entries:
            self._publish(self.driver.now(), api.EndpointListKind.DELTA, list(self.entries.values()))

    def set_hidden_executors(self, names: set[str]) -> None:
        """Replace the set of hidden executors; one that is shown again does not count as restarted."""
        previous, self.hidden_executors = self.hidden_executors, names
        changed = [
            entry for name in sorted(previous ^ names) if (entry := self._find_entry(name)) is not None
        ]
        if changed:
            self._publish(self.driver.now(), api.EndpointListKind.DELTA, changed)

    def has_executor(self, name: str) -> bool:
        """Return whether discovery or the configuration has listed this executor since the start."""
        return name in self.reader.numbers_by_name

    def set_exclusions(self, marks: dict[str, int]) -> None:
        """Replace the exclusions and pass each changed executor to the balancer.

        `marks` gives the exclusion times by name (us). An executor that returns counts as restarted: its
        start is the listed one if that is later than the exclusion, else now.
        """
        now, previous, changed = self.driver.now(), self.excluded, []
        self.excluded = marks
        for name in sorted(previous.keys() ^ marks.keys()):
            if (entry := self._find_entry(name)) is None:
                continue
            if name in previous and entry.started_at <= previous[name]:
                entry = self.entries[entry.executor] = replace(entry, started_at=now)
            changed.append(replace(entry, is_reinstated=name in previous))
        if changed:
            self._publish(now, api.EndpointListKind.DELTA, changed)

    def watch(self) -> None:
        """Start the watch, which is renewed whenever it is lost."""
        self.on_watch_event(WatchEvent.LIST_WANTED)

    def change_address(self, address: Address) -> None:
        """Switch to another discovery address; the list is stale until the new discovery has sent it."""
        self.address, self.index = address, 0
        self.logged_watching, self.loss_log_quiet_until = None, 0
        self.list_current_at = None  # the new discovery may list executors that the old one did not
        self.on_watch_event(WatchEvent.ADDRESS_CHANGED)
        self._publish(self.driver.now(), api.EndpointListKind.CACHED, list(self.entries.values()))

    def on_watch_event(self, event: WatchEvent, reason: str = "") -> None:
        """Pass an event to the state machine and execute its actions."""
        previous_deadline = self.watch_machine.deadline
        actions = self.watch_machine.step(self.driver.now(), event)
        # Schedule the deadline first: the watch is renewed even if an action below fails.
        if self.watch_machine.deadline != previous_deadline:
            self._watch_timer.start_or_cancel(self.watch_machine.deadline, self._on_deadline)
        for action in actions:
            self._execute(action, reason)

    def _on_deadline(self, now: int) -> None:
        self.on_watch_event(WatchEvent.TIMER_FIRED)

    def _execute(self, action: Action, reason: str) -> None:
        match action:
            case Connect():
                self._connect(is_budgeted=action.requested)
            case SendCall():
                assert self.connection is not None  # set since Connect
                self.connection.send_call(self.index)
            case CloseConnection():
                self._close()
            case ReportLoss():
                self._log_loss(action.reason or reason)

    def _connect(self, is_budgeted: bool) -> None:
        """Open a connection if the call budget allows it, or if the dispatch has counted the call already."""
        if not (is_budgeted or self.dispatch.may_call_discovery(self.driver.now())):
            self.on_watch_event(WatchEvent.CALL_FAILED, CALL_BUDGET_EXHAUSTED)
            return
        self.connection = WatchConnection(self)
        self.connection.open(self.address)

    def _close(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def _log_loss(self, reason: str) -> None:
        """Log the loss of the watch, at most once per WATCH_LOST_QUIET_US."""
        now = self.driver.now()
        if self.logged_watching is not False and now >= self.loss_log_quiet_until:
            log_event("watch-lost", reason=reason)
            self.logged_watching, self.loss_log_quiet_until = False, now + WATCH_LOST_QUIET_US
