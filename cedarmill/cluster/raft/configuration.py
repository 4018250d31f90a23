"""The cluster configuration in effect on a replica, and majorities among its voters."""

from collections.abc import Callable, Collection

import msgspec

from cedarmill.cluster.raft.log import Log
from cedarmill.cluster.raft.messages import Config, Peer

_DECODER = msgspec.msgpack.Decoder(Config)


def encode_config(peers: Config) -> bytes:
    """Encode a configuration as the data of a log entry."""
    return msgspec.msgpack.encode(peers)


class ClusterConfiguration:
    """The newest configuration in a replica's log.

    A configuration takes effect when it is appended to the log, before it is committed (thesis, 4.1).
    """

    __slots__ = ("_own_name", "index", "peers")

    def __init__(self, own_name: str, log: Log) -> None:
        self._own_name = own_name
        self.index = 0  # log index of the entry or snapshot that holds the configuration
        self.peers: dict[str, Peer] = {}
        self.reload(log)

    def reload(self, log: Log) -> None:
        """Load the newest configuration from `log`."""
        self.index, data = log.newest_config()
        self.peers = dict(log.snapshot.config) if data is None else _DECODER.decode(data)

    @property
    def voters(self) -> list[str]:
        """Names of the voters."""
        return [name for name, peer in self.peers.items() if peer.is_voter]

    @property
    def other_replicas(self) -> list[str]:
        """Names of all replicas except this one."""
        return [name for name in self.peers if name != self._own_name]

    @property
    def other_voters(self) -> list[str]:
        """Names of the voters except this replica."""
        return [name for name in self.voters if name != self._own_name]

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter."""
        return self._own_name in self.peers and self.peers[self._own_name].is_voter

    def is_majority(self, names: Collection[str]) -> bool:
        """Return whether `names` include a majority of the voters."""
        voters = self.voters
        return 2 * sum(name in names for name in voters) > len(voters)

    def majority_value(self, own_value: int, value_of: Callable[[str], int]) -> int:
        """Return the highest value that a majority of the voters has reached, given at least one voter.

        `own_value` is the value of this replica, and `value_of` returns the value of another voter.
        """
        values = sorted(
            (own_value if name == self._own_name else value_of(name) for name in self.voters), reverse=True
        )
        return values[len(values) // 2]
