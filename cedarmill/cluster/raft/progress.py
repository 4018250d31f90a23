"""The leader's view of the log of one follower (compare `tracker.Progress` in etcd)."""

from dataclasses import dataclass

MAX_IN_FLIGHT_BATCHES = 8  # unanswered AppendEntries with entries per follower


@dataclass(slots=True)
class FollowerProgress:
    """Replication progress of one follower; times are microseconds of the leader's clock."""

    next_index: int  # log index of the next entry to send
    last_contact: int  # time of the newest reply
    match_index: int = 0  # log index up to which the logs are known to match
    in_flight_batches: int = 0  # unanswered AppendEntries with entries
    is_probing: bool = True  # one batch at a time until the logs are known to match
    heartbeat_round: int = 0  # newest answered heartbeat round
    snapshot_offset: int = 0  # bytes; start of the next snapshot chunk
    is_chunk_in_flight: bool = False  # whether a snapshot chunk is unanswered

    @property
    def can_send(self) -> bool:
        """Whether one more AppendEntries with entries may be sent."""
        return self.in_flight_batches < (1 if self.is_probing else MAX_IN_FLIGHT_BATCHES)

    def is_stalled(self, now: int, max_silence: int) -> bool:
        """Return whether replies may be lost: the window is full, or the follower is silent for too long."""
        return self.in_flight_batches >= MAX_IN_FLIGHT_BATCHES or now - self.last_contact > max_silence

    def start_probing(self, last_index: int) -> None:
        """Return to probing and treat the batches in flight as lost.

        `last_index` is the last index of the leader's log.
        """
        self.in_flight_batches, self.is_probing = 0, True
        self.next_index = max(self.match_index + 1, min(self.next_index, last_index + 1))

    def record_match(self, index: int) -> None:
        """Record that the follower's log matches up to `index`."""
        self.in_flight_batches = max(0, self.in_flight_batches - 1)
        self.is_probing, self.snapshot_offset = False, 0
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, index + 1)

    def record_mismatch(self, index: int) -> None:
        """Record that the follower's log differs and matches at most up to `index`."""
        self.in_flight_batches, self.is_probing = 0, True
        self.next_index = max(1, index + 1)
        if index < self.match_index:  # The follower has lost entries that it had acknowledged.
            self.match_index = 0
