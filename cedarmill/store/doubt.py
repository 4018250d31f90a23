"""A replica's doubt about its disk, kept in a file until a leader has brought the replica up to date.

Opening a store rewrites its log, so the next start would see no damage any longer: the file tells it.
"""

from typing import NamedTuple

from cedarmill.store.files import Directory

DOUBT_NAME = "needs-catch-up"  # the file that is there as long as the doubt; it holds the reason
EMPTY_DISK = "its disk is empty"
DAMAGED_RECORD = "its last record is damaged"
LOST_RECORDS = "its disk has lost what was synced"


class AcknowledgedState(NamedTuple):
    """What a replica may have acknowledged: term, vote and last entry, all of them synced."""

    term: int
    vote: str
    last_term: int
    last_index: int

    def may_exceed(self, found: "AcknowledgedState") -> bool:
        """Whether a disk that was read as `found` may have lost something of this."""
        vote_lost = found.term == self.term and self.vote not in ("", found.vote)
        entries_lost = (found.last_term, found.last_index) < (self.last_term, self.last_index)
        return found.term < self.term or vote_lost or entries_lost


def read_doubt(directory: Directory) -> str:
    """The reason of a doubt that has not ended; empty: there is none. Raises OSError."""
    if not directory.exists(DOUBT_NAME):
        return ""
    return directory.read(DOUBT_NAME).decode(errors="replace")


def keep_doubt(directory: Directory, reason: str) -> None:
    """Keep a doubt for later starts, durably; raises OSError."""
    directory.replace(DOUBT_NAME, reason.encode())


def end_doubt(directory: Directory) -> None:
    """There is no doubt any longer, or there never was one; raises OSError."""
    directory.remove(DOUBT_NAME)
