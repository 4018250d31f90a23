"""The cluster configuration that a replica follows, and what a majority of its voters has reached."""

from collections.abc import Callable, Collection

import msgspec

from cedarmill.cluster.raft.log import Log
from cedarmill.cluster.raft.messages import Config, Peer

_DECODER = msgspec.msgpack.Decoder(Config)


def encode_config(peers: Config) -> bytes:
    """A configuration as the data of an entry."""
    return msgspec.msgpack.encode(peers)


class ClusterConfiguration:
    """The newest configuration in a replica's log.

    It is in effect from the moment it is in the log, whether it is committed or not (thesis, 4.1).
    """

    __slots__ = ("_own_name", "index", "peers")

    def __init__(self, own_name: str, log: Log) -> None:
        self._own_name = own_name
        self.index = 0  # of the entry or the snapshot that holds it
        self.peers: dict[str, Peer] = {}
        self.reload(log)

    def reload(self, log: Log) -> None:
        """Take the newest configuration from a log that has changed."""
        self.index, data = log.newest_config()
        self.peers = dict(log.snapshot.config) if data is None else _DECODER.decode(data)

    @property
    def voters(self) -> list[str]:
        """The names of the replicas that vote."""
        return [name for name, peer in self.peers.items() if peer.voter]

    @property
    def others(self) -> list[str]:
        """The names of all replicas but this one."""
        return [name for name in self.peers if name != self._own_name]

    @property
    def other_voters(self) -> list[str]:
        """The names of the voters but this replica."""
        return [name for name in self.voters if name != self._own_name]

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes."""
        return self._own_name in self.peers and self.peers[self._own_name].voter

    def is_majority(self, names: Collection[str]) -> bool:
        """Whether these replicas include a majority of the voters."""
        voters = self.voters
        return 2 * sum(name in names for name in voters) > len(voters)

    def reached_by_majority(self, own: int, reached_by: Callable[[str], int]) -> int:
        """The highest number that a majority of the voters has reached; there must be a voter.

        `own` is this replica's number, and `reached_by` gives that of another.
        """
        reached = sorted(
            (own if name == self._own_name else reached_by(name) for name in self.voters), reverse=True
        )
        return reached[len(reached) // 2]
