"""A simulated replica of the cluster's log: the real core and host on a simulated disk and network."""

import itertools
from collections.abc import Callable
from typing import Any

from cedarmill.cluster.hosting import ReplicaHost
from cedarmill.cluster.messages import ClientRequest
from cedarmill.cluster.raft.actions import PersistEntries, PersistTermAndVote, RaiseAlarm, RoleChanged
from cedarmill.cluster.raft.messages import Config, Entry, Snapshot
from cedarmill.cluster.raft.state import PersistentState
from cedarmill.cluster.replica import Actions, Replica
from cedarmill.cluster.state import ClusterState, encode_snapshot
from cedarmill.lab.simulation.clock import MILLISECOND, SECOND
from cedarmill.lab.simulation.disk import Disk
from cedarmill.lab.simulation.environment import ClusterEnvironment
from cedarmill.lab.simulation.process import SimulatedProcess
from cedarmill.lab.simulation.seeds import stable_number

MIN_TIMER = 5 * MILLISECOND  # us between two looks at the timers
MAX_TIMER = 100 * MILLISECOND
PAUSED_TIMER = 20 * MILLISECOND


class SimulatedReplica(SimulatedProcess):
    """A replica with its disk; it is the port of its host."""

    def __init__(
        self, environment: ClusterEnvironment, name: str, config: Config, state: ClusterState
    ) -> None:
        super().__init__(environment, name, name)
        self.disk = Disk(PersistentState(1, "", Snapshot(1, 1, config, encode_snapshot(state))))
        self._tokens = itertools.count(1)
        self._on_replies: dict[int, Callable[[object], None]] = {}
        self.start()

    def start(self) -> None:
        """Begin anew from what the disk holds."""
        self.alive, self.starts = True, self.starts + 1
        seed = stable_number(self.environment.seed, self.name, self.starts)
        self.replica = Replica(
            self.name, self.disk.load(), self.clock.now(), seed, self.environment.raft_timing
        )
        self.host = ReplicaHost(self.replica, self)
        self.replica.on_applied = self._on_applied
        self._on_replies.clear()
        self.dies_at_sync = False
        self._run_timer(self.starts)

    def _run_timer(self, starts: int) -> None:
        if starts == self.starts and self.alive:
            self.run(self._on_time)
            delay = PAUSED_TIMER
            if not self.paused:
                delay = max(MIN_TIMER, self.clock.true_delay(self.replica.due))
            self.environment.scheduler.after(min(delay, MAX_TIMER), self._run_timer, starts)

    def _on_time(self) -> None:
        self._carry_out(self.replica.on_time(self.clock.now()))

    def _on_applied(self, entry: Entry) -> None:
        self.environment.applied.add(self.name, entry, self.replica.state.generation)

    def _carry_out(self, actions: Actions) -> None:
        self.host.queue_actions(actions)
        try:
            self.host.flush(self.clock.now())
        except OSError:  # killed while it wrote: what was not synced is gone
            self.kill()
            self.host.pending = []
            self.environment.scheduler.after(self.environment.generator.randrange(SECOND), self.start)

    def on_message(self, source: str, message: Any) -> None:
        """A message of another replica has arrived."""
        self._carry_out(self.replica.on_message(self.clock.now(), source, message))

    def on_request(self, request: ClientRequest, on_reply: Callable[[object], None]) -> None:
        """A request of a member or an operator has arrived; `on_reply` is called with the answer, if any."""
        token = next(self._tokens)
        self._on_replies[token] = on_reply
        self._carry_out(self.replica.on_request(self.clock.now(), token, request))

    def make_snapshot(self) -> None:
        """Store a snapshot of what is applied, so that others may need it; nothing where nothing is."""
        if self.alive and not self.paused and self.replica.raft.commit_index > 1:
            self.replica.store_snapshot()
            self._carry_out(self.replica.pop_actions(self.clock.now()))

    # The port of the host.

    def save(self, action: PersistTermAndVote | PersistEntries) -> None:
        """Write to the disk."""
        self.disk.save(action)

    def sync(self) -> bool:
        """Sync the disk; raises OSError where the replica is to die at this moment."""
        if self.dies_at_sync and self.disk.unsynced:
            raise OSError("killed before the sync")
        return self.disk.sync()

    def save_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Keep a snapshot and the entries after it."""
        self.disk.put_snapshot(snapshot, entries)

    def send(self, target: str, message: object) -> None:
        """Send to another replica; one that is not there gets nothing."""
        replicas = self.environment.replicas
        if target in replicas:
            self.environment.network.send(
                self.name, target, lambda: replicas[target].on_message(self.name, message)
            )

    def reply(self, token: int, answer: object) -> None:
        """Answer a request."""
        on_reply = self._on_replies.pop(token, None)
        if on_reply is not None:
            on_reply(answer)

    def log_action(self, action: RoleChanged | RaiseAlarm) -> None:
        """Enter into the history that this replica leads now."""
        if isinstance(action, RoleChanged) and action.is_leader:
            self.environment.history.tell(self.name, "leads", epoch=action.term)
