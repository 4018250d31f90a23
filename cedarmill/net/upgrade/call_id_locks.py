"""Locks on the ids of open requests, which the processes of one node share during an upgrade.

Each process locks one byte of a common file for each request that it holds; the byte's offset is a checksum
of the request's id. The system tells at once whether another process holds a lock, so there is no moment at
which two processes accept one id, and it releases the locks of a process that ends.

The locks are record locks (fcntl(2)): a process that closes any descriptor of the file loses all its locks.
So nothing else may open the file.
"""

import errno
import fcntl
import os
import zlib
from enum import Enum, auto

from cedarmill.log import log_event
from cedarmill.net.upgrade.shared_file import SharedFile

FILE_KIND = "calls"
HELD_ERRORS = frozenset((errno.EAGAIN, errno.EACCES))  # which of them means a held lock depends on the system


class LockResult(Enum):
    """Result of the try to lock an id."""

    LOCKED = auto()
    HELD_BY_SIBLING = auto()
    UNAVAILABLE = auto()  # The system did not tell.


def id_checksum(call_id: bytes) -> int:
    """Return a checksum of an id of 62 bits, for which file offsets have room."""
    return zlib.crc32(call_id) << 30 | zlib.crc32(call_id[::-1]) >> 2


class CallIdLocks(SharedFile):
    """The locks of this process. No method raises OSError."""

    def __init__(self, node: str) -> None:
        """`node`: the name of the node; its processes share the file."""
        super().__init__(node, FILE_KIND)

    def lock(self, call_id: bytes) -> LockResult:
        """Try to lock an id; an id that this process has locked already is locked again."""
        try:
            fcntl.lockf(self._open(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, id_checksum(call_id), os.SEEK_SET)
        except OSError as error:
            if error.errno in HELD_ERRORS:
                return LockResult.HELD_BY_SIBLING
            log_event("call-ids-not-shared", reason=error)
            return LockResult.UNAVAILABLE
        return LockResult.LOCKED

    def unlock(self, call_id: bytes) -> None:
        """Release the lock of an id; if that fails, the id stays locked until this process ends."""
        if self._descriptor < 0:
            return
        try:
            fcntl.lockf(self._descriptor, fcntl.LOCK_UN, 1, id_checksum(call_id), os.SEEK_SET)
        except OSError as error:
            log_event("call-ids-not-shared", reason=error)
