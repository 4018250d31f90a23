"""The schedule of figure 8 of the Raft paper (Ongaro and Ousterhout, 2014), step by step."""

from cedarmill.cluster.raft.events import MessageReceived, ProposeCommand, TimeAdvanced
from cedarmill.cluster.raft.messages import AppendEntries, Message
from cedarmill.cluster.raft.roles import Role
from cedarmill.lab.simulation.raft_log import LogSimulation
from cedarmill.lab.simulation.raft_log_replica import LogReplica

STEP = 40_000  # us between two looks at timers
SILENCE = 400_000  # us: longer than any election timeout
ANY_INDEX = 1 << 30


class _Schedule:
    """A run whose messages are delivered as the figure wants it."""

    def __init__(self) -> None:
        self.run = LogSimulation(8, 5)

    def deliver_among(self, *replicas: LogReplica, rounds: int = 60, max_index: int = ANY_INDEX) -> None:
        """Messages among these pass, all others are lost, and entries beyond an index too."""
        names = {replica.name for replica in replicas}
        waiting = self.run.messages.waiting
        for _ in range(rounds):
            for replica in replicas:
                replica.sync()
            for source, target, message in waiting[:]:
                waiting.remove((source, target, message))
                if {source, target} <= names and not _goes_beyond(message, max_index):
                    self.run.replicas[target].step(MessageReceived(source, message))

    def elect(self, candidate: LogReplica, *voters: LogReplica) -> None:
        """Let time pass till the candidate leads by these votes."""
        for _ in range(40):
            self.run.time += STEP
            if self.run.time >= candidate.core.deadline - candidate.clock_offset:
                candidate.step(TimeAdvanced())
            self.deliver_among(candidate, *voters, rounds=4, max_index=0)
            if candidate.core.role is Role.LEADER:
                return

    def kill(self, replica: LogReplica) -> None:
        """The leader dies with its messages on their way, and all fall silent."""
        replica.kill()
        self.run.messages.waiting.clear()
        self.run.time += SILENCE


def _goes_beyond(message: Message, index: int) -> bool:
    if not isinstance(message, AppendEntries) or not message.entries:
        return False
    return message.entries[-1].index > index


def figure_eight() -> list[str]:
    """Play the schedule; what was found wrong.

    An entry of an old term comes to stand with a majority, and is replaced all the same: who calls it
    committed by count alone is wrong. Chance hardly finds it, since a new leader's own entry follows at once.
    """
    schedule = _Schedule()
    run = schedule.run
    first, second, third, fourth, fifth = (run.replicas[name] for name in sorted(run.replicas))
    schedule.elect(first, second, third)
    schedule.deliver_among(first, second, third, fourth, fifth)
    first.step(ProposeCommand(b"old", 1))
    old_index = first.core.log.last_index
    schedule.deliver_among(first, second)  # it stands with two of five
    first.kill()
    run.time += SILENCE
    schedule.elect(fifth, third, fourth)
    fifth.sync()  # its own entry stands with it alone
    schedule.kill(fifth)
    first.start()
    schedule.elect(first, second, third)
    for _ in range(4):
        run.time += STEP
        first.step(TimeAdvanced())
        schedule.deliver_among(first, second, third, max_index=old_index)  # the old entry reaches a third
    schedule.kill(first)
    fifth.start()
    schedule.elect(fifth, third, fourth)
    run.time += STEP
    fifth.step(TimeAdvanced())
    schedule.deliver_among(fifth, third, fourth)
    return run.checks.violations
