"""The ids of open requests: a request with the id of an open one is rejected, whichever process holds it.

An executor may run a request once for each time it gets it. Two requests with one id would be two attempts
that no retry rule knows of. A request that was sent while another with its id was open is rejected too if it
is read only after that one has ended.
"""

from typing import TYPE_CHECKING

from cedarmill.log import log_event
from cedarmill.net.clients.closed_ids import ClosedIds, WasOpen
from cedarmill.net.clients.request import ClientRequest, ClientRequestError
from cedarmill.net.loop import EventLoopDriver
from cedarmill.net.upgrade.call_id_locks import CallIdLocks, LockResult

if TYPE_CHECKING:
    from cedarmill.net.clients.session import ClientSession


class OpenRequests:
    """The sessions of this process's open requests by X-Call-Id, and the locks shared with its siblings.

    A request is open from when it was read, also while it waits behind others of its client, until it ends.
    """

    def __init__(self, driver: EventLoopDriver, longest_deadline_us: int) -> None:
        self._driver = driver
        self._sessions: dict[bytes, ClientSession] = {}
        # Ids of requests that ended in this turn of the loop: input that is read in it was sent before.
        self._closing: set[bytes] = set()
        self._closed_ids = ClosedIds(longest_deadline_us)
        self._locks: CallIdLocks | None = None  # None if no second process of the node can be started
        self._sibling_count = 0

    def share(self, locks: CallIdLocks) -> None:
        """Share the ids with other processes of the node."""
        self._locks = locks

    def set_sibling_count(self, count: int) -> None:
        """Set how many other processes of the node are alive, and lock all ids for a new one."""
        if count != self._sibling_count and self._locks is not None:
            self._lock_all(self._locks)
        self._sibling_count = count

    def _lock_all(self, locks: CallIdLocks) -> None:
        """Lock all ids again, since the file may have been deleted, or not available before."""
        locks.close_if_removed()
        for call_id in self._sessions:
            locks.lock(call_id)

    def session_of(self, call_id: bytes) -> "ClientSession | None":
        """Return the session of an open request of this process."""
        return self._sessions.get(call_id)

    def add(self, call_id: bytes, session: "ClientSession", message: ClientRequest) -> None:
        """Open a request; raises ClientRequestError if its id was open when it was sent or is open now.

        It does so as well if that is not known.
        """
        self._check_own_ids(call_id, message.sent_since)
        if self._locks is not None:
            self._lock(self._locks, call_id)
        self._sessions[call_id] = session
        message.open_id = call_id

    def _lock(self, locks: CallIdLocks, call_id: bytes) -> None:
        result = locks.lock(call_id)
        if result is LockResult.HELD_BY_SIBLING:
            raise _id_is_open("a sibling process")
        if result is LockResult.UNAVAILABLE and self._sibling_count:
            raise ClientRequestError(503, "refused")  # The sibling may hold the id.

    def _check_own_ids(self, call_id: bytes, sent_since: int) -> None:
        if call_id in self._sessions or call_id in self._closing:
            raise _id_is_open("this process")
        was_open = self._closed_ids.was_open_at(call_id, sent_since)
        if was_open is WasOpen.YES:
            raise _id_was_open(self._driver.now() - sent_since)
        if was_open is WasOpen.UNKNOWN:
            raise ClientRequestError(503, "refused")

    def remove(self, message: ClientRequest) -> None:
        """Close a request; no effect if it is not open."""
        call_id, message.open_id = message.open_id, None
        if call_id is None:
            return
        del self._sessions[call_id]
        if self._locks is not None:
            self._locks.unlock(call_id)
        if not self._closing:
            self._driver.call_after_reads(self._record_closed)
        self._closing.add(call_id)

    def _record_closed(self) -> None:
        """Record the ids that were closed in the turn of the loop that has ended."""
        now = self._driver.now()
        for call_id in self._closing:
            self._closed_ids.add(call_id, now)
        self._closing.clear()


def _id_is_open(holder: str) -> ClientRequestError:
    log_event("call-id-open", holder=holder)
    return ClientRequestError(409, "a req with this x-call-id is open")


def _id_was_open(wait_us: int) -> ClientRequestError:
    log_event("call-id-was-open", wait_ms=wait_us // 1000)
    return ClientRequestError(409, "a req with this x-call-id was open")
