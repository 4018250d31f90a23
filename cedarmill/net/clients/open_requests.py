"""The ids of open requests: a request with the id of an open one is rejected, whichever process holds it.

An executor may run a request once for each time it gets it. Two requests with one id would be two attempts
that no retry rule knows of. A request that was sent while another with its id was open is rejected too if it
is read only after that one has ended.
"""

from typing import TYPE_CHECKING, NamedTuple

from cedarmill.log import log_event
from cedarmill.net.clients.closed_ids import NEVER_CLOSED, ClosedIds, Closing
from cedarmill.net.clients.request import ClientRequest, ClientRequestError
from cedarmill.net.loop import EventLoopDriver
from cedarmill.net.upgrade.call_id_locks import CallIdLocks, LockResult
from cedarmill.net.upgrade.closed_id_table import ClosedIdTable

if TYPE_CHECKING:
    from cedarmill.net.clients.session import ClientSession

MIN_WAIT_US = 1_000  # a request that is served sooner after its first byte has not waited


class SharedIds(NamedTuple):
    """What the processes of a node know of each other's ids."""

    locks: CallIdLocks
    closed_table: ClosedIdTable


class OpenRequests:
    """The sessions of this process's open requests by X-Call-Id, and the locks shared with its siblings.

    A request is open from when it was read, also while it waits behind others of its client, until it ends.
    """

    def __init__(self, driver: EventLoopDriver, longest_deadline_us: int) -> None:
        self._driver = driver
        self._sessions: dict[bytes, ClientSession] = {}
        self._closed_ids = ClosedIds(longest_deadline_us)
        self._shared: SharedIds | None = None  # None if no second process of the node can be started
        self._sibling_count = 0

    def share(self, locks: CallIdLocks, closed_table: ClosedIdTable) -> None:
        """Share the ids with other processes of the node."""
        self._shared = SharedIds(locks, closed_table)

    def set_sibling_count(self, count: int) -> None:
        """Set how many other processes of the node are alive, and share all ids with a new one."""
        if count != self._sibling_count and self._shared is not None:
            self._share_all(self._shared)
        self._sibling_count = count

    def _share_all(self, shared: SharedIds) -> None:
        """Share all ids again, since the files may have been deleted, or not available before."""
        shared.locks.close_if_removed()
        shared.closed_table.close_if_removed()
        for call_id in self._sessions:
            shared.locks.lock(call_id)
        if not shared.closed_table.is_open:
            for call_id, closed_at in self._closed_ids.items():
                shared.closed_table.record(call_id, closed_at)

    def session_of(self, call_id: bytes) -> "ClientSession | None":
        """Return the session of an open request of this process."""
        return self._sessions.get(call_id)

    def add(self, call_id: bytes, session: "ClientSession", message: ClientRequest) -> None:
        """Open a request; raises ClientRequestError if its id was open when it was sent or is open now.

        It does so as well if that is not known.
        """
        if call_id in self._sessions:
            raise _id_is_open("this process")
        self._check_closing(self._closed_ids.last_closing(call_id), session, message)
        if self._shared is not None:
            self._add_shared(self._shared, call_id, session, message)
        self._sessions[call_id] = session
        message.open_id = call_id

    def _add_shared(
        self, shared: SharedIds, call_id: bytes, session: "ClientSession", message: ClientRequest
    ) -> None:
        """Lock the id; raises ClientRequestError if it is open at a sibling, or was when it was sent."""
        result = shared.locks.lock(call_id)
        if result is LockResult.HELD_BY_SIBLING:
            raise _id_is_open("a sibling process")
        if result is LockResult.UNAVAILABLE and self._sibling_count:
            raise _refused()  # The sibling may hold the id.
        now = self._driver.now()
        closing = shared.closed_table.last_closing(call_id, now)
        if closing is None:
            closing = Closing(now - MIN_WAIT_US, False) if self._sibling_count else NEVER_CLOSED
        try:
            self._check_closing(closing, session, message)
        except ClientRequestError:
            shared.locks.unlock(call_id)
            raise

    def _check_closing(self, closing: Closing, session: "ClientSession", message: ClientRequest) -> None:
        """Raise ClientRequestError if the request may have been sent before its id was closed."""
        may_be_older = message.earliest_sent_at <= closing.closed_at
        if not closing.is_certain:
            if may_be_older:
                raise _refused()
            return
        if not may_be_older and session.latest_arrival() > closing.closed_at:
            return
        log_event("call-id-was-open", closed_ms=(self._driver.now() - closing.closed_at) // 1000)
        raise ClientRequestError(409, "a req with this x-call-id was open")

    def remove(self, message: ClientRequest) -> None:
        """Close a request; no effect if it is not open."""
        call_id, message.open_id = message.open_id, None
        if call_id is None:
            return
        del self._sessions[call_id]
        now = self._driver.now()
        self._closed_ids.add(call_id, now)
        if self._shared is not None:  # first recorded: a sibling that gets the lock finds the record
            self._shared.closed_table.record(call_id, now)
            self._shared.locks.unlock(call_id)


def _id_is_open(holder: str) -> ClientRequestError:
    log_event("call-id-open", holder=holder)
    return ClientRequestError(409, "a req with this x-call-id is open")


def _refused() -> ClientRequestError:
    return ClientRequestError(503, "refused")
