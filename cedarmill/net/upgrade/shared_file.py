"""A file in `$TMPDIR` that the processes of one node keep open at the same time."""

import os

from cedarmill.log import log_event
from cedarmill.net.upgrade.state_file import open_regular_file, state_file_path


class SharedFile:
    """A process's descriptor of the file, which is opened at its first use, and anew if it was deleted."""

    def __init__(self, node: str, kind: str) -> None:
        """`node`: the name of the node; `kind`: the part of the file's name that tells what it is for."""
        self.path = state_file_path(node, kind)
        self._descriptor = -1  # -1 while the file is closed

    @property
    def is_open(self) -> bool:
        """Return whether the file is open; what was told before it was opened is not in it."""
        return self._descriptor >= 0

    def _open(self) -> int:
        """Return the descriptor; raise OSError if the file cannot be opened or prepared."""
        if self._descriptor < 0:
            descriptor = open_regular_file(self.path, os.O_RDWR | os.O_CREAT)
            try:
                self._prepare(descriptor)
            except OSError:
                os.close(descriptor)
                raise
            self._descriptor = descriptor
        return self._descriptor

    def _prepare(self, descriptor: int) -> None:
        """Prepare a file that was opened; raise OSError."""

    def close_if_removed(self) -> None:
        """Close a file that was deleted, since siblings that start later cannot find it."""
        try:
            if self._descriptor >= 0 and not os.fstat(self._descriptor).st_nlink:
                descriptor, self._descriptor = self._descriptor, -1
                os.close(descriptor)
        except OSError as error:
            log_event("call-ids-not-shared", reason=error)
