"""Errors of the store; each message is one sentence naming the file or directory.

Failed system calls are no StoreError but OSError.
"""

import errno

# open(2), mkdir(2): of the path or its rights, which a change of the configuration mends and no waiting
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


def may_pass(error: Exception) -> bool:
    """Whether what failed may succeed later by itself: a full or failing disk, a lack of descriptors."""
    return isinstance(error, OSError) and error.errno not in CONFIGURATION_ERRNOS


class StoreError(ValueError):
    """What is stored cannot be used; base of this module's errors."""


class UnknownFormatError(StoreError):
    """A file was not written by this program, or by a newer version of it."""


class DamagedError(StoreError):
    """Data that was once synced is damaged and cannot be recovered."""


class ForeignDiskError(StoreError):
    """The directory belongs to another replica or another cluster."""


class DiskInUseError(StoreError):
    """The directory already holds a disk, or another process uses it."""


class LogUnusableError(OSError):
    """An earlier write or sync failed; the log has to be opened and read anew."""
