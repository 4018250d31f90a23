"""Errors of the store; each message is one sentence that names the file or directory.

A failed system call raises OSError, not StoreError.
"""

import errno

# Errors of open(2) and mkdir(2) about the path or its permissions: only a configuration change resolves them.
CONFIGURATION_ERRNOS = frozenset(
    (
        errno.EACCES,
        errno.EEXIST,
        errno.EISDIR,
        errno.ELOOP,
        errno.ENAMETOOLONG,
        errno.ENOTDIR,
        errno.EPERM,
    )
)


def is_transient(error: Exception) -> bool:
    """Return whether a retry may succeed without a configuration change, as after a full or failing disk."""
    return isinstance(error, OSError) and error.errno not in CONFIGURATION_ERRNOS


class StoreError(ValueError):
    """Base of the errors raised when stored data cannot be used."""


class UnknownFormatError(StoreError):
    """Raised when a file was written by another program or by a newer version of this one."""


class DamagedError(StoreError):
    """Raised when synced data is damaged and cannot be recovered."""


class ForeignDiskError(StoreError):
    """Raised when the directory belongs to another replica or another cluster."""


class DiskInUseError(StoreError):
    """Raised when the directory already holds a formatted disk or another process has locked it."""


class LogUnusableError(OSError):
    """Raised when an earlier write or sync has failed and the log must be reopened."""
