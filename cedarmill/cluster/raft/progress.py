"""What a leader knows of the log of one other replica (etcd: `tracker.Progress`)."""

from dataclasses import dataclass

MAX_IN_FLIGHT = 8  # AppendEntries with entries that one follower has not answered yet


@dataclass(slots=True)
class FollowerProgress:
    """How far one follower has got. Indexes are of the log; times are microseconds of the leader's clock."""

    next_index: int  # of the next entry to send
    last_contact: int  # when its newest answer came
    match_index: int = 0  # up to which its log is known to match
    in_flight: int = 0  # AppendEntries with entries that are not answered yet
    probing: bool = True  # until one has matched, only one is sent at a time
    heartbeat_round: int = 0  # of the newest heartbeat that it has answered
    snapshot_offset: int = 0  # of the next chunk of the snapshot, in bytes
    chunk_in_flight: bool = False  # a chunk of the snapshot is not answered yet

    @property
    def can_send(self) -> bool:
        """Whether one more AppendEntries with entries may be in flight."""
        return self.in_flight < (1 if self.probing else MAX_IN_FLIGHT)

    def is_stalled(self, now: int, silence: int) -> bool:
        """Whether answers may be lost: no more may be in flight, or it has been silent for too long."""
        return self.in_flight >= MAX_IN_FLIGHT or now - self.last_contact > silence

    def restart(self, last_index: int) -> None:
        """Send again from the first entry that is not known to match; `last_index`: of the leader's log."""
        self.in_flight, self.probing = 0, True
        self.next_index = max(self.match_index + 1, min(self.next_index, last_index + 1))

    def record_match(self, index: int) -> None:
        """The follower's log matches up to `index`."""
        self.in_flight = max(0, self.in_flight - 1)
        self.probing, self.snapshot_offset = False, 0
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, index + 1)

    def record_mismatch(self, index: int) -> None:
        """The follower's log differs, and matches up to `index` at the most."""
        self.in_flight, self.probing = 0, True
        self.next_index = max(1, index + 1)
        if index < self.match_index:  # it has lost what it had acknowledged
            self.match_index = 0
