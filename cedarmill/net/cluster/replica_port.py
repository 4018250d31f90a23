"""What the host of a replica's core acts on: its store, its connections, and the log for operators."""

from cedarmill.cluster.raft.actions import PersistEntries, PersistTermAndVote, RaiseAlarm, RoleChanged
from cedarmill.cluster.raft.messages import Entry, Snapshot
from cedarmill.log import log_event
from cedarmill.net.cluster.replica_peers import PeerConnections
from cedarmill.net.cluster.replica_requests import RequestConnections
from cedarmill.store.replica_store import ReplicaStore


class ReplicaPort:
    """The port of `cluster/hosting.py`; it lasts over stores that are opened anew."""

    store: ReplicaStore  # the newest that was opened

    def __init__(self, peers: PeerConnections, requests: RequestConnections) -> None:
        self.peers, self.requests = peers, requests
        self._alarms: set[str] = set()

    def save(self, action: PersistTermAndVote | PersistEntries) -> None:
        """Append to the log; raises OSError."""
        self.store.append(action)

    def sync(self) -> bool:
        """Make durable what was appended; whether there was anything. Raises OSError."""
        return self.store.sync()

    def put_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Store a snapshot and the entries after it; raises OSError."""
        self.store.write_snapshot(snapshot, entries)

    def send(self, target: str, message: object) -> None:
        """Send to another replica, if it is connected."""
        self.peers.send(target, message)

    def reply(self, token: int, answer: object) -> None:
        """Answer a request of a member or an operator."""
        self.requests.reply(token, answer)

    def tell(self, action: RoleChanged | RaiseAlarm) -> None:
        """Log for operators."""
        if isinstance(action, RoleChanged):
            role = "leader" if action.leads else "follower"
            log_event("replica-role", role=role, leader=action.leader or "nobody", term=action.term)
        else:
            self.alarm(action.text)

    def alarm(self, text: str) -> None:
        """Log what an operator should look at, once while the process runs."""
        if text not in self._alarms:
            self._alarms.add(text)
            log_event("replica-alarm", reason=text)
