"""The records of a replica's log on disk, encoded as MessagePack.

A renamed record keeps its tag; fields are told by their position.
"""

import msgspec

from cedarmill.cluster.raft.messages import Entry
from cedarmill.store.errors import UnknownFormatError

FORMAT_VERSION = 1


class DiskIdentity(msgspec.Struct, tag="identity", array_like=True):
    """Identifies a disk: written when it is formatted, and again at each start, which it counts."""

    format_version: int
    cluster: str
    replica: str
    disk: str
    start_count: int


class TermRecord(msgspec.Struct, tag="term", array_like=True):
    """The current term, and who got this replica's vote in it (Raft, figure 2)."""

    term: int
    vote: str


class EntriesRecord(msgspec.Struct, tag="entries", array_like=True):
    """Entries that replace all of the log from the first one's index on."""

    entries: tuple[Entry, ...]


class PeerDiskRecord(msgspec.Struct, tag="met", array_like=True):
    """Another replica's disk, and the highest start count that it has shown."""

    disk: str
    start_count: int


Record = DiskIdentity | TermRecord | EntriesRecord | PeerDiskRecord
_DECODER = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """A record as the body that is written to the log."""
    return msgspec.msgpack.encode(record)


def decode(body: bytes, path: str) -> Record:
    """Decode a record of the log at `path`; raises UnknownFormatError."""
    try:
        return _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise UnknownFormatError(f"{path}: a record of another format: {error}") from None
