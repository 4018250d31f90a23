"""Which messages the memory budget ends, and when."""

import unittest

from cedarmill.core.memory_budget import (
    AMPLE_BYTES_LEFT,
    CONNECTION_BYTES,
    CRITICAL_BYTES_LEFT,
    GUARANTEED_BYTES,
    MemoryBudget,
    MessageKind,
)

MIB = 1024 * 1024
LIMIT = 8 * MIB


class Holder:
    """A connection that keeps `size` bytes; `fails` lets the end of its message raise."""

    kind = MessageKind.EXECUTOR_ANSWER

    def __init__(self, budget: MemoryBudget, can_end: bool = True, fails: bool = False) -> None:
        self.budget, self.can_end, self.fails = budget, can_end, fails
        self.size = 0
        self.ended = False

    def keep(self, size: int, now: int) -> None:
        self.size = size
        self.budget.update(self, now)

    def held_bytes(self) -> int:
        return self.size

    def message_kind(self) -> MessageKind:
        return self.kind

    def end_costly_message(self) -> bool:
        if self.fails:
            raise ValueError("a defect")
        if self.can_end:
            self.size, self.ended = 0, True
            self.budget.remove(self)
        return self.can_end


class Order(unittest.TestCase):
    def setUp(self) -> None:
        self.bytes_left = CRITICAL_BYTES_LEFT
        self.budget = MemoryBudget(LIMIT, lambda: self.bytes_left)

    def holders(self, count: int, size: int, now: int, **kind: bool) -> list[Holder]:
        holders = [Holder(self.budget, **kind) for _ in range(count)]
        for holder in holders:
            holder.keep(size, now)
        return holders

    def ended(self, holders: list[Holder]) -> list[bool]:
        return [holder.ended for holder in holders]

    def test_nothing_is_ended_within_the_limit(self):
        self.assertNotIn(True, self.ended(self.holders(8, MIB, now=0)))

    def test_the_message_with_most_bytes_and_time_is_ended(self):
        old_and_small, new_and_large = self.holders(1, MIB, now=0) + self.holders(1, 5 * MIB, now=900)
        (last,) = self.holders(1, 3 * MIB, now=1_000)
        self.assertEqual(self.ended([old_and_small, new_and_large, last]), [True, False, False])

    def test_bytes_that_come_slowly_do_not_make_a_message_younger(self):
        """Guards against a peer that saves its message from its end by one byte at a time."""
        slow, other = self.holders(1, 4 * MIB, now=0) + self.holders(1, 4 * MIB, now=500)
        for now in range(600, 1_000):
            slow.keep(slow.size, now)
        self.holders(1, MIB, now=1_000)
        self.assertEqual(self.ended([slow, other]), [True, False])

    def test_an_unfinished_request_is_ended_before_an_answer_that_costs_the_same(self):
        """Guards against losing work of executors to clients that never finish."""
        answer, request = self.holders(2, 4 * MIB, now=0)
        request.kind = MessageKind.CLIENT_REQUEST
        self.holders(1, MIB, now=1_000)
        self.assertEqual(self.ended([answer, request]), [False, True])

    def test_only_as_many_are_ended_as_needed(self):
        holders = self.holders(20, MIB, now=0)
        self.assertEqual(sum(self.ended(holders)), 12)

    def test_a_holder_that_cannot_end_its_message_or_fails_is_passed_over(self):
        kept = self.holders(1, 6 * MIB, now=0, can_end=False) + self.holders(1, MIB, now=0, fails=True)
        ending = self.holders(2, MIB, now=100)
        self.assertEqual((self.ended(kept), sum(self.ended(ending))), ([False, False], 1))

    def test_a_message_that_was_read_meanwhile_no_longer_counts(self):
        """Guards against ending messages for bytes that have left without an event."""
        unread = self.holders(8, MIB, now=0)
        for holder in unread[:4]:
            holder.size = 0
        self.assertNotIn(True, self.ended(unread + self.holders(4, MIB, now=1_000)))

    def test_messages_may_take_more_while_memory_is_ample(self):
        """Guards against ending messages for which the process has room."""
        self.bytes_left = AMPLE_BYTES_LEFT
        holders = self.holders(10, MIB, now=0)
        self.bytes_left = CRITICAL_BYTES_LEFT
        self.assertNotIn(True, self.ended(holders))
        self.holders(1, MIB, now=1)
        self.assertEqual(sum(self.ended(holders)), 1)

    def test_messages_may_take_little_once_memory_is_critical(self):
        """Guards against a limit that the allocator's gaps pass."""
        holders = self.holders(8, MIB, now=0)
        self.bytes_left = CRITICAL_BYTES_LEFT - 1
        holders += self.holders(1, MIB, now=1)
        self.assertEqual(9 - sum(self.ended(holders)), GUARANTEED_BYTES // MIB)
        self.bytes_left = CRITICAL_BYTES_LEFT
        self.assertNotIn(True, self.ended(self.holders(6, MIB, now=2)))

    def test_connections_count_but_leave_a_guaranteed_part(self):
        for _ in range(LIMIT // CONNECTION_BYTES):
            self.budget.add_connection()
        (holder,) = self.holders(1, GUARANTEED_BYTES, now=0)
        self.assertFalse(holder.ended)
        holder.keep(GUARANTEED_BYTES + 1, now=1)
        self.assertTrue(holder.ended)
        for _ in range(LIMIT // CONNECTION_BYTES):
            self.budget.remove_connection()
        self.assertNotIn(True, self.ended(self.holders(8, MIB, now=2)))


if __name__ == "__main__":
    unittest.main()
