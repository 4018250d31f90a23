"""State that a process passes to its successor: sealed documents, node limits and balancer snapshots."""

import json
import unittest
import zlib

from cedarmill.admin import sealed_document
from cedarmill.admin.resource_split import MIN_PER_PROCESS, ConnectionCounts, NodeLimits, split_limits
from cedarmill.admin.sealed_document import ClockReading
from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.snapshot import own_reservations, restore, restore_executor, take_snapshot
from tests.support.builders import Driver, entry, send_actions, settings

HOUR_US = 3_600_000_000
NAMES = {1: "s-1", 2: "s-2"}
WRITTEN = ClockReading(5_000_000, 700, "boot-1")
MAX_AGE_US = 30_000_000


class SealedDocuments(unittest.TestCase):
    """Damaged, foreign and outdated documents are rejected as a whole."""

    def setUp(self) -> None:
        self.document = sealed_document.seal("memory", "n0", WRITTEN, b'{"a":1}')

    def rejection(self, document: bytes, kind: str = "memory", node: str = "n0") -> str:
        """Return the error message with which a document is rejected."""
        with self.assertRaises(ValueError) as raised:
            sealed_document.unseal(document, kind, node)
        return str(raised.exception)

    def test_unsealing_returns_the_body_and_the_time_of_writing(self):
        self.assertEqual(sealed_document.unseal(self.document, "memory", "n0"), (WRITTEN, b'{"a":1}'))

    def test_document_truncated_at_any_byte_is_rejected(self):
        for length in range(len(self.document)):
            with self.subTest(length=length):
                self.rejection(self.document[:length])

    def test_document_with_one_changed_byte_in_its_body_is_rejected(self):
        self.assertIn("torn", self.rejection(self.document.replace(b'"a":1', b'"a":2')))

    def test_document_of_a_newer_format_another_node_or_another_kind_is_rejected(self):
        self.assertIn("format 2", self.rejection(self.document.replace(b'"format":1', b'"format":2')))
        self.assertIn("of node n0", self.rejection(self.document, node="n1"))
        self.assertIn("holds memory", self.rejection(self.document, kind="exclusions"))

    def test_age_by_unix_time_when_the_monotonic_clocks_cannot_be_compared(self):
        """Without a boot id, or with a monotonic clock that is ahead, only Unix time shows the age."""
        for written in (
            ClockReading(5_000_000),
            ClockReading(5_000_000, 9_000_000_000, "boot-1"),
        ):
            self.assertEqual(
                sealed_document.age_us(written, ClockReading(6_000_000, 9, "boot-1"), MAX_AGE_US), 1_000_000
            )
            for now in (5_000_000 + HOUR_US, 5_000_000 - HOUR_US):
                with self.assertRaises(ValueError):
                    sealed_document.age_us(written, ClockReading(now, 9, "boot-1"), MAX_AGE_US)

    def test_step_of_the_wall_clock_does_not_change_the_age(self):
        for step in (-HOUR_US, -5_000_000, 5_000_000, HOUR_US):
            now = ClockReading(5_000_000 + step, 1_700, "boot-1")
            self.assertEqual(sealed_document.age_us(WRITTEN, now, MAX_AGE_US), 1_000)
        with self.assertRaisesRegex(ValueError, "31 s old"):
            sealed_document.age_us(WRITTEN, ClockReading(5_000_000, 31_000_700, "boot-1"), MAX_AGE_US)

    def test_document_from_before_the_last_boot_is_rejected(self):
        with self.assertRaisesRegex(ValueError, "last boot"):
            sealed_document.age_us(WRITTEN, ClockReading(5_000_000, 700, "boot-2"), MAX_AGE_US)

    def test_newest_of_two_documents_is_chosen_by_the_monotonic_clock(self):
        def sealed(body: bytes, *written) -> bytes:
            return sealed_document.seal("memory", "n0", ClockReading(*written), body)

        now = ClockReading(0, 10_000, "boot-1")
        early = sealed(b"early", HOUR_US, 700, "boot-1")
        late = sealed(b"late", 5, 10_001, "boot-1")  # written after `now` was read
        other_boot, without_boot = sealed(b"other", 2 * HOUR_US, 950, "boot-0"), sealed(b"older form", 6)
        for documents, body in (((early, late), b"late"), ((other_boot, late), b"late"),
                                ((other_boot,), b"other"), ((without_boot, late), b"older form"),
                                ((without_boot, early), b"early"),
                                ((late[:-1], early), b"early")):  # fmt: skip
            for order in (documents, documents[::-1]):
                self.assertEqual(sealed_document.unseal_newest(list(order), "memory", "n0", now).body, body)

    def test_document_with_a_changed_clock_is_rejected(self):
        self.assertIn("torn", self.rejection(self.document.replace(b'"clock_us":700', b'"clock_us":701')))

    def test_documents_are_compatible_with_versions_without_the_clock_fields(self):
        """The header of those versions has five fields, and its checksum covers the same bytes."""
        crc = zlib.crc32(b'{"a":1}', zlib.crc32(b"1\0memory\0n0\0005000000"))
        header = {"format": 1, "kind": "memory", "node": "n0", "at_us": 5_000_000, "crc": crc}
        written = json.loads(self.document.partition(b"\n")[0])
        self.assertEqual(header, {name: written[name] for name in header})
        older_document = json.dumps(header).encode() + b'\n{"a":1}'
        self.assertEqual(
            sealed_document.unseal(older_document, "memory", "n0"), (ClockReading(5_000_000), b'{"a":1}')
        )


class SplitLimits(unittest.TestCase):
    """Processes of one node share its limits; each sized for the whole node would exceed them together."""

    limits = NodeLimits(384, 41, 80.0, 24.0, 0.1)

    def test_single_process_gets_the_whole_limits(self):
        self.assertEqual(split_limits(self.limits, []), ConnectionCounts(171, 172))

    def test_process_beside_another_gets_the_rest_and_both_stay_within_the_limits(self):
        for held in (ConnectionCounts(0, 0), ConnectionCounts(40, 60), ConnectionCounts(100, 100)):
            remaining = split_limits(self.limits, [held])
            with self.subTest(held=held):
                self.assertLessEqual(sum(held) + sum(remaining) + 2 * 41, 384)
                self.assertLessEqual((held.sessions + remaining.sessions) * 0.1 + 2 * 24.0, 80.0)

    def test_process_beside_a_full_one_gets_the_minimum(self):
        self.assertEqual(
            split_limits(self.limits, [ConnectionCounts(171, 172)]),
            ConnectionCounts(MIN_PER_PROCESS, MIN_PER_PROCESS),
        )

    def test_process_of_a_small_node_gets_no_more_than_a_single_process(self):
        small = NodeLimits(64, 41, 32.0, 24.0, 0.1)
        self.assertEqual(split_limits(small, []), ConnectionCounts(11, 12))
        self.assertEqual(split_limits(small, [ConnectionCounts(11, 12)]), ConnectionCounts(11, 12))


class RestoredBalancer(unittest.TestCase):
    """A balancer that restores a snapshot makes the decisions of its predecessor."""

    def predecessor(self) -> Driver:
        """Return a driver that has learned four slots at each executor."""
        driver = Driver(tells_start=False)
        driver.report(1, 4.0)
        driver.report(2, 4.0)
        return driver

    def successor(self, predecessor: Driver, age_us: int = 0, entries=None) -> Driver:
        """Return a new driver with a snapshot of `predecessor` that was taken `age_us` ago."""
        snapshot = take_snapshot(predecessor.balancer, NAMES, predecessor.now)
        successor = Driver(tells_start=False, seed=2, entries=entries)
        written_at = successor.now - age_us
        self.assertTrue(restore(successor.balancer, snapshot, written_at))
        for number, name in NAMES.items():
            restore_executor(successor.balancer.executors[number], snapshot.executors[name], written_at)
        return successor

    def count_sent(self, driver: Driver, count: int = 14) -> int:
        """Return how many of `count` requests are sent."""
        return sum(len(send_actions(driver.arrive(0))) for _ in range(count))

    def test_successor_uses_the_learned_slots_and_queue_places_at_once(self):
        successor = self.successor(self.predecessor())
        # Four at each executor; half a queue place fits no request.
        self.assertEqual(self.count_sent(successor), 8)

    def test_reports_age_while_the_successor_starts(self):
        successor = self.successor(self.predecessor(), age_us=700_000)
        self.assertEqual(successor.now - successor.balancer.executors[1].last_response_at, 700_000)

    def test_attempts_of_the_predecessor_hold_slots_until_it_reports_their_end(self):
        """The predecessor learns of the end of an attempt before a load report shows the free slot."""
        successor = self.successor(self.predecessor())
        for executor in (1, 2):
            successor.feed(api.SiblingLoad(executor, 4.0, 0.0))
            successor.report(executor, 0.0)
        self.assertEqual(self.count_sent(successor), 0)
        successor.feed(api.SiblingLoad(1, 1.0, 0.0))
        self.assertEqual(self.count_sent(successor), 3)

    def test_held_slots_do_not_include_those_of_the_sibling_process(self):
        predecessor = self.predecessor()
        self.count_sent(predecessor, 3)
        predecessor.feed(api.SiblingLoad(1, 2.0, 1.0))
        held = own_reservations(predecessor.balancer, NAMES)
        self.assertEqual(sum(slots for slots, _ in held.values()), 3.0)

    def test_executor_that_restarted_since_the_snapshot_is_not_restored(self):
        entries = [entry(1, started_at=999_000_000), entry(2)]
        successor = self.successor(self.predecessor(), entries=entries)
        self.assertEqual(successor.balancer.executors[1].slots, 1.0)
        self.assertEqual(successor.balancer.executors[2].slots, 4.0)

    def test_executor_with_a_start_listed_one_millisecond_apart_is_restored(self):
        predecessor = Driver(tells_start=False, entries=[entry(1, started_at=900_000_000), entry(2)])
        predecessor.report(1, 4.0)
        successor = self.successor(predecessor, entries=[entry(1, started_at=900_001_000), entry(2)])
        self.assertEqual(successor.balancer.executors[1].slots, 4.0)
        entries = [entry(1, started_at=900_001_000), entry(2)]
        successor.feed(api.EndpointList(api.EndpointListKind.FULL, entries))
        self.assertEqual(successor.balancer.executors[1].slots, 4.0)

    def test_work_sent_to_a_warming_executor_is_restored(self):
        """All processes of a node share the budget of a window, which the successor must not spend again."""
        entries = [entry(1, started_at=999_900_000), entry(2, started_at=999_900_000)]
        predecessor = Driver(tells_start=False, entries=entries)
        self.assertTrue(send_actions(predecessor.arrive(0)))
        successor = self.successor(predecessor, entries=entries)
        saved, restored = (
            {n: executor.slow_start.sends for n, executor in driver.balancer.executors.items()}
            for driver in (predecessor, successor)
        )
        self.assertEqual(saved, restored)
        self.assertEqual(sum(map(len, restored.values())), 1)

    def test_successor_requests_the_endpoint_list_at_once(self):
        """With the random delay of other nodes, the successor would use an old list for too long."""
        snapshot = take_snapshot(self.predecessor().balancer, NAMES, 1_000_000_000)
        for is_successor in (False, True):
            balancer = Balancer(settings(instances=48, on_request_discovery=True), 1)
            if is_successor:
                restore(balancer, snapshot, 1_000_000_000)
            cached_list = api.EndpointList(api.EndpointListKind.CACHED, [entry(1)])
            (timer,) = balancer.handle(1_000_000_000, cached_list)
            self.assertEqual(timer.delay_us == 0, is_successor)

    def test_snapshot_with_other_classes_is_not_restored(self):
        snapshot = take_snapshot(self.predecessor().balancer, NAMES, 1_000_000_000)
        snapshot.class_times.pop()
        self.assertFalse(restore(Driver().balancer, snapshot, 1_000_000_000))
