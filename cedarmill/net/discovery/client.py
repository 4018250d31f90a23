"""The discovery client: the endpoint list, first as the configuration holds it, then by a watch."""

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
from cedarmill.core.timers import Timer
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.discovery.endpoints import EndpointReader, ExecutorStart, Listing
from cedarmill.net.discovery.watch_connection import WatchConnection
from cedarmill.net.loop import EventLoopDriver
from cedarmill.net.upstream.pool import UpstreamPools

NO_CALL_LEFT = "no list call left to this node by the fleet's budget"
WATCH_LOST_QUIET_US = 30_000_000  # between two lines that tell of a lost watch: a discovery may come and go


class DiscoveryClient:
    """Holds the list's version and at most one watch; the dispatch's port to discovery."""

    dispatch: Dispatch  # set by whoever wires the node

    def __init__(
        self,
        driver: EventLoopDriver,
        settings: api.Settings,
        address: Address,
        pools: UpstreamPools,
        random: Random | None = None,
    ) -> None:
        self.driver, self.address, self.pools = driver, address, pools
        self.reader = EndpointReader(settings)
        self.index = 0
        self.pushed = not settings.on_request_discovery
        self.watch_machine = DiscoveryWatch(settings.instances, self.pushed, random or Random())
        self.connection: WatchConnection | None = None
        self._deadline: Timer | None = None
        self.logged_watching: bool | None = None  # what the log said last; None: nothing
        self.quiet_until = 0  # us: till then a lost watch is not logged
        self.entries: dict[int, api.EndpointEntry] = {}  # the list as it stands, as discovery has it
        self.on_change: Callable[[], None] | None = None  # called after each change of the list
        self.excluded: dict[str, int] = {}  # out by hand, and since when (us): to the balancer they drain
        self.held = False  # nothing may be sent: to the balancer all drain
        self.hidden: set[str] = set()  # not used here, by the cluster's plan: to the balancer they drain
        self.listed_start: dict[int, int] = {}  # by executor's number; Unix ms, as discovery writes it
        self.current_at: int | None = None  # us: when the list was last known to be the newest

    def start(self, known: Listing) -> None:
        """The list of the configuration; an agent that pushes the list is asked for changes at once."""
        self._take(known, api.EndpointListKind.CACHED)
        if self.pushed:
            self.watch()

    def inherit(self, starts: dict[str, ExecutorStart], current_at: int | None) -> None:
        """What the process before this one knew: the executors' starts, and when its list was the newest."""
        self.reader.starts.update(starts)
        self.current_at = current_at

    def on_listing(self, listing: Listing) -> None:
        """A list that the watch has brought."""
        self.watch_machine.list_received()
        if not self.logged_watching:
            log_event("watching", index=listing.index, host=self.address.host, port=self.address.port)
            self.logged_watching = True
        self._take(listing, api.EndpointListKind.FULL if listing.snapshot else api.EndpointListKind.DELTA)

    def _take(self, listing: Listing, kind: api.EndpointListKind) -> None:
        now, entries = self.driver.now(), []
        for endpoint in listing.endpoints:
            entry = self.reader.entry(endpoint, now, self.current_at)
            try:
                self.pools.update(entry.executor, endpoint)
            except ValueError as error:
                log_event("entry-passed-over", name=endpoint.name, reason=error)
                entry = replace(entry, state=api.ExecutorState.DRAINING)  # nothing new goes where it was
            entries.append(entry)
        self.index = listing.index
        if kind != api.EndpointListKind.DELTA:
            self.entries.clear()
        self.entries.update((entry.executor, entry) for entry in entries)
        self.listed_start.update((self.reader.numbers[e.name], e.since_ms) for e in listing.endpoints)
        if kind != api.EndpointListKind.CACHED:
            self.current_at = now
        self._pass_on(now, kind, entries)
        if self.on_change is not None:
            self.on_change()

    def _restricted(self, entry: api.EndpointEntry) -> api.EndpointEntry:
        """The entry as the balancer has it: one that is out by hand drains."""
        name = self.reader.names.get(entry.executor)
        out = self.held or name in self.excluded or name in self.hidden
        if out and entry.state == api.ExecutorState.READY:
            return replace(entry, state=api.ExecutorState.DRAINING)
        return entry

    def _pass_on(self, now: int, kind: api.EndpointListKind, entries: list[api.EndpointEntry]) -> None:
        """Give the balancer entries as they stand under what is out by hand or by the cluster's plan."""
        restricted = [self._restricted(entry) for entry in entries]
        self.dispatch.on_endpoint_list(now, api.EndpointList(kind, restricted))

    def _entry_of(self, name: str) -> api.EndpointEntry | None:
        number = self.reader.numbers.get(name)
        return None if number is None else self.entries.get(number)

    def hold(self, held: bool) -> None:
        """Nothing may be sent from now on, or what the list says holds again."""
        if held == self.held:
            return
        self.held = held
        if self.entries:
            self._pass_on(self.driver.now(), api.EndpointListKind.DELTA, list(self.entries.values()))

    def hide(self, names: set[str]) -> None:
        """These are not used from now on, others that were hidden are again; none of them was restarted."""
        before, self.hidden = self.hidden, names
        changed = [entry for name in sorted(before ^ names) if (entry := self._entry_of(name)) is not None]
        if changed:
            self._pass_on(self.driver.now(), api.EndpointListKind.DELTA, changed)

    def knows(self, name: str) -> bool:
        """Whether discovery has named this executor since the start, or the configuration did."""
        return name in self.reader.numbers

    def mark(self, marks: dict[str, int]) -> None:
        """These are out by hand now, since those times (us); the balancer hears of each that changed.

        One that comes back was restarted by hand while it was out: to the balancer it is a new process. It
        started when the list says, if that is after it went out, else now; an older start says nothing.
        """
        now, before, changed = self.driver.now(), self.excluded, []
        self.excluded = marks
        for name in sorted(before.keys() ^ marks.keys()):
            if (entry := self._entry_of(name)) is None:
                continue
            if name in before and entry.started_at <= before[name]:
                entry = self.entries[entry.executor] = replace(entry, started_at=now)
            changed.append(replace(entry, by_hand=name in before))
        if changed:
            self._pass_on(now, api.EndpointListKind.DELTA, changed)

    def watch(self) -> None:
        """Ask for changes from now on, and again whenever the watch is lost."""
        self.on_watch_event(WatchEvent.LIST_WANTED)

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now and may count otherwise: the list is out of date till all of it came."""
        self.address, self.index = address, 0
        self.logged_watching, self.quiet_until = None, 0
        self.current_at = None  # the new one may know executors that the old one never named
        self.on_watch_event(WatchEvent.ADDRESS_CHANGED)
        self._pass_on(self.driver.now(), api.EndpointListKind.CACHED, list(self.entries.values()))

    def on_watch_event(self, event: WatchEvent, reason: str = "") -> None:
        """Let the state machine take an event, and carry out what it orders."""
        before = self.watch_machine.deadline
        actions = self.watch_machine.step(self.driver.now(), event)
        if self.watch_machine.deadline != before:  # first: whatever fails below, the watch is asked for again
            self.driver.timers.cancel(self._deadline)
            due = self.watch_machine.deadline
            self._deadline = None if due is None else self.driver.timers.add(due, self._on_deadline)
        for action in actions:
            self._do(action, reason)

    def _on_deadline(self, now: int) -> None:
        self.on_watch_event(WatchEvent.TIMER_FIRED)

    def _do(self, action: Action, reason: str) -> None:
        match action:
            case Connect():
                self._connect(paid=action.requested)
            case SendCall():
                assert self.connection is not None  # the watch has just heard that it is up
                self.connection.call(self.index)
            case CloseConnection():
                self._close()
            case ReportLoss():
                self._lost(action.reason or reason)

    def _connect(self, paid: bool) -> None:
        """Open a connection, if this node may call; what the dispatch asked for it has paid already."""
        if not (paid or self.dispatch.may_call_discovery(self.driver.now())):
            self.on_watch_event(WatchEvent.CALL_FAILED, NO_CALL_LEFT)
            return
        self.connection = WatchConnection(self)
        self.connection.open(self.address)

    def _close(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def _lost(self, reason: str) -> None:
        """Tell the log, late if it stays lost."""
        now = self.driver.now()
        if self.logged_watching is not False and now >= self.quiet_until:
            log_event("watch-lost", reason=reason)
            self.logged_watching, self.quiet_until = False, now + WATCH_LOST_QUIET_US
