"""Connects the host of a replica to its store, its connections and the operators' log."""

from cedarmill.cluster.raft.actions import PersistEntries, PersistTermAndVote, RaiseAlarm, RoleChanged
from cedarmill.cluster.raft.messages import Entry, Snapshot
from cedarmill.log import log_event
from cedarmill.net.cluster.replica_peers import PeerConnections
from cedarmill.net.cluster.replica_requests import RequestConnections
from cedarmill.store.replica_store import ReplicaStore


class ReplicaPort:
    """Implements `Port` of `cluster/hosting.py`; `store` is replaced each time the store is reopened."""

    store: ReplicaStore

    def __init__(self, peers: PeerConnections, requests: RequestConnections) -> None:
        self.peers, self.requests = peers, requests
        self._logged_alarms: set[str] = set()

    def save(self, action: PersistTermAndVote | PersistEntries) -> None:
        """Append the action's data to the log. Raises OSError."""
        self.store.append(action)

    def sync(self) -> bool:
        """Make all appended data durable, and return whether there was any. Raises OSError."""
        return self.store.sync()

    def save_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Store a snapshot and the log entries after it. Raises OSError."""
        self.store.write_snapshot(snapshot, entries)

    def send(self, target: str, message: object) -> None:
        """Send a message to another replica, or drop it if that replica is not connected."""
        self.peers.send(target, message)

    def reply(self, token: int, answer: object) -> None:
        """Send the reply to a member's or an operator's request."""
        self.requests.reply(token, answer)

    def log_action(self, action: RoleChanged | RaiseAlarm) -> None:
        """Log a role change or an alarm."""
        if isinstance(action, RoleChanged):
            role = "leader" if action.is_leader else "follower"
            log_event("replica-role", role=role, leader=action.leader or "nobody", term=action.term)
        else:
            self.log_alarm(action.text)

    def log_alarm(self, text: str) -> None:
        """Log an alarm for operators, once per text and process."""
        if text not in self._logged_alarms:
            self._logged_alarms.add(text)
            log_event("replica-alarm", reason=text)
