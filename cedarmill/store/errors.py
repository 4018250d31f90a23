"""Errors of the store; each message is one sentence naming the file or directory.

Failed system calls are no StoreError but OSError.
"""


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
