"""The records of a replica's log file, encoded as MessagePack arrays.

A record's type is identified by its tag, which must not change, and its fields by their position.
"""

import msgspec

from cedarmill.cluster.raft.messages import Entry
from cedarmill.store.errors import UnknownFormatError

FORMAT_VERSION = 1


class DiskIdentity(msgspec.Struct, tag="identity", array_like=True):
    """The identity of a disk, written when it is formatted and, with the next start count, at each start."""

    format_version: int
    cluster: str
    replica: str
    disk: str
    start_count: int


class TermRecord(msgspec.Struct, tag="term", array_like=True):
    """The current term, and the candidate that this replica voted for in that term (Raft paper, figure 2)."""

    term: int
    vote: str


class EntriesRecord(msgspec.Struct, tag="entries", array_like=True):
    """Raft entries that replace all entries from the first one's index on."""

    entries: tuple[Entry, ...]


class PeerDiskRecord(msgspec.Struct, tag="met", array_like=True):
    """Another replica's disk, and the highest start count that it has reported."""

    disk: str
    start_count: int


Record = DiskIdentity | TermRecord | EntriesRecord | PeerDiskRecord
_DECODER = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Return the body of a log record."""
    return msgspec.msgpack.encode(record)


def decode(body: bytes, path: str) -> Record:
    """Decode the body of a record of the log at `path`; raise UnknownFormatError if it is invalid."""
    try:
        return _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise UnknownFormatError(f"{path}: record of an unknown format: {error}") from None
