"""The marker file of a replica that may have lost acknowledged state and must catch up with a leader.

Opening a store rewrites the log without the damaged records, so a restart could not detect the loss again.
The marker file records the loss until a leader has brought the replica up to date.
"""

from typing import NamedTuple

from cedarmill.store.files import Directory

# The marker file exists for as long as the replica needs to catch up; its content is the reason.
MARKER_NAME = "needs-catch-up"
EMPTY_DISK = "its disk is empty"
DAMAGED_RECORD = "its last record is damaged"
LOST_RECORDS = "its disk has lost what was synced"


class AcknowledgedState(NamedTuple):
    """The synced state that a replica may have acknowledged to others: term, vote and last entry."""

    term: int
    vote: str
    last_term: int
    last_index: int

    def may_exceed(self, recovered: "AcknowledgedState") -> bool:
        """Return whether the state recovered from disk may lack part of this acknowledged state."""
        vote_lost = recovered.term == self.term and self.vote not in ("", recovered.vote)
        entries_lost = (recovered.last_term, recovered.last_index) < (self.last_term, self.last_index)
        return recovered.term < self.term or vote_lost or entries_lost


def read_reason(directory: Directory) -> str:
    """Return why the replica needs to catch up, or "" if there is no reason; raise OSError on failure."""
    if not directory.exists(MARKER_NAME):
        return ""
    return directory.read(MARKER_NAME).decode(errors="replace")


def write_marker(directory: Directory, reason: str) -> None:
    """Record durably, for later starts, why the replica needs to catch up; raise OSError on failure."""
    directory.replace(MARKER_NAME, reason.encode())


def remove_marker(directory: Directory) -> None:
    """Remove the marker file durably if it exists; raise OSError on failure."""
    directory.remove(MARKER_NAME)
