"""The ids of open requests: a request with the id of an open one is rejected, whichever process holds it.

An executor may run a request once for each time it gets it. Two requests with one id would be two attempts
that no retry rule knows of.
"""

from typing import TYPE_CHECKING

from cedarmill.log import log_event
from cedarmill.net.clients.request import ClientRequestError
from cedarmill.net.upgrade.call_id_locks import CallIdLocks, LockResult

if TYPE_CHECKING:
    from cedarmill.net.clients.session import ClientSession


class OpenRequests:
    """The sessions of this process's open requests by X-Call-Id, and the locks shared with its siblings."""

    def __init__(self) -> None:
        self._sessions: dict[bytes, ClientSession] = {}
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

    def add(self, call_id: bytes, session: "ClientSession") -> None:
        """Open a request; raises ClientRequestError if its id is open, or if that is not known."""
        if call_id in self._sessions:
            raise _id_is_open("this process")
        if self._locks is not None:
            self._lock(self._locks, call_id)
        self._sessions[call_id] = session

    def _lock(self, locks: CallIdLocks, call_id: bytes) -> None:
        result = locks.lock(call_id)
        if result is LockResult.HELD_BY_SIBLING:
            raise _id_is_open("a sibling process")
        if result is LockResult.UNAVAILABLE and self._sibling_count:
            raise ClientRequestError(503, "refused")  # The sibling may hold the id.

    def check_closed(self, call_id: bytes) -> None:
        """Raise ClientRequestError if a request with this id is open."""
        if call_id in self._sessions:
            raise _id_is_open("this process")
        if self._locks is not None and self._locks.is_held_by_sibling(call_id):
            raise _id_is_open("a sibling process")

    def remove(self, call_id: bytes, session: "ClientSession") -> None:
        """Close the session's request; no effect if the session has no open request with this id."""
        if self._sessions.get(call_id) is not session:
            return
        del self._sessions[call_id]
        if self._locks is not None:
            self._locks.unlock(call_id)


def _id_is_open(holder: str) -> ClientRequestError:
    log_event("call-id-open", holder=holder)
    return ClientRequestError(409, "a req with this x-call-id is open")
