"""Table of the ids that were closed, which the processes of one node share during an upgrade.

A lock on an id (`call_id_locks.py`) tells that a sibling holds it now. The table tells when a process closed
it, also after that process has ended. It is a file of fixed size that no process locks: an id's slot follows
from its checksum, and an id that is closed later takes the slot from one that was closed before.
"""

import os
import struct

from cedarmill.log import log_event
from cedarmill.net.clients.closed_ids import NEVER_CLOSED, Closing
from cedarmill.net.upgrade.call_id_locks import id_checksum
from cedarmill.net.upgrade.shared_file import SharedFile

FILE_KIND = "closed-calls"
SLOT = struct.Struct("<QQ")  # checksum of the id; time at which it was closed (us of the monotonic clock)
SLOT_COUNT = 16_384


class ClosedIdTable(SharedFile):
    """This process's access to the table. No method raises OSError."""

    def __init__(self, node: str) -> None:
        """`node`: the name of the node; its processes share the file."""
        super().__init__(node, FILE_KIND)

    def _prepare(self, descriptor: int) -> None:
        """Reserve the whole file, so that no later write fails for lack of room."""
        os.posix_fallocate(descriptor, 0, SLOT_COUNT * SLOT.size)

    def record(self, call_id: bytes, now: int) -> None:
        """Record that this process closed an id at `now` (us)."""
        checksum = id_checksum(call_id)
        try:
            os.pwrite(self._open(), SLOT.pack(checksum, now), _slot_offset(checksum))
        except OSError as error:
            log_event("call-ids-not-shared", reason=error)

    def last_closing(self, call_id: bytes, now: int) -> Closing | None:
        """Return when a process last closed an id, or None if the table cannot be read; `now`: us."""
        checksum = id_checksum(call_id)
        try:
            slot = os.pread(self._open(), SLOT.size, _slot_offset(checksum))
        except OSError as error:
            log_event("call-ids-not-shared", reason=error)
            return None
        if len(slot) < SLOT.size:
            return None  # The file was truncated.
        closed_checksum, closed_at = SLOT.unpack(slot)
        if closed_at > now:
            return NEVER_CLOSED  # The time is one of an earlier boot.
        return Closing(closed_at, closed_checksum == checksum)


def _slot_offset(checksum: int) -> int:
    return checksum % SLOT_COUNT * SLOT.size
