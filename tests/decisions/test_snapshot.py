"""What outlives a process: sealed documents, and a balancer's memory laid over a new one."""

import json
import unittest
import zlib

from cedarmill.admin import sealed_document
from cedarmill.admin.resource_split import MIN_PER_PROCESS, ConnectionCounts, NodeLimits, split_limits
from cedarmill.admin.sealed_document import ClockReading
from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.snapshot import held_now, restore, restore_executor, take_snapshot
from tests.support.builders import Driver, entry, sends, settings

HOUR_US = 3_600_000_000
NAMES = {1: "s-1", 2: "s-2"}
WRITTEN = ClockReading(5_000_000, 700, "boot-1")
MOST_US = 30_000_000


class Documents(unittest.TestCase):
    """Half of what another process knew is worse than nothing."""

    def setUp(self) -> None:
        self.text = sealed_document.seal("memory", "n0", WRITTEN, b'{"a":1}')

    def refused(self, text: bytes, kind: str = "memory", node: str = "n0") -> str:
        with self.assertRaises(ValueError) as raised:
            sealed_document.unseal(text, kind, node)
        return str(raised.exception)

    def test_what_was_sealed_comes_back_with_its_time(self):
        self.assertEqual(sealed_document.unseal(self.text, "memory", "n0"), (WRITTEN, b'{"a":1}'))

    def test_torn_at_every_byte(self):
        for cut in range(len(self.text)):
            with self.subTest(cut=cut):
                self.refused(self.text[:cut])

    def test_one_byte_changed_in_the_body(self):
        self.assertIn("torn", self.refused(self.text.replace(b'"a":1', b'"a":2')))

    def test_from_a_newer_version_another_node_or_of_another_kind(self):
        self.assertIn("format 2", self.refused(self.text.replace(b'"format":1', b'"format":2')))
        self.assertIn("of node n0", self.refused(self.text, node="n1"))
        self.assertIn("holds memory", self.refused(self.text, kind="exclusions"))

    def test_an_hour_old_or_from_a_clock_that_is_ahead(self):
        """Of an older program, or where the boot has no id: by Unix time, as there is nothing else."""
        for written in (
            ClockReading(5_000_000),
            ClockReading(5_000_000, 9_000_000_000, "boot-1"),
        ):  # whose clock is ahead
            self.assertEqual(
                sealed_document.age_us(written, ClockReading(6_000_000, 9, "boot-1"), MOST_US), 1_000_000
            )
            for now in (5_000_000 + HOUR_US, 5_000_000 - HOUR_US):
                with self.assertRaises(ValueError):
                    sealed_document.age_us(written, ClockReading(now, 9, "boot-1"), MOST_US)

    def test_a_step_of_the_wall_clock_is_no_age(self):
        for step in (-HOUR_US, -5_000_000, 5_000_000, HOUR_US):
            now = ClockReading(5_000_000 + step, 1_700, "boot-1")
            self.assertEqual(sealed_document.age_us(WRITTEN, now, MOST_US), 1_000)
        with self.assertRaisesRegex(ValueError, "31 s old"):
            sealed_document.age_us(WRITTEN, ClockReading(5_000_000, 31_000_700, "boot-1"), MOST_US)

    def test_from_before_the_last_start_of_the_machine(self):
        with self.assertRaisesRegex(ValueError, "last start"):
            sealed_document.age_us(WRITTEN, ClockReading(5_000_000, 700, "boot-2"), MOST_US)

    def test_the_newest_of_two_halves_by_the_clock_that_no_step_moves(self):
        def sealed(body: bytes, *written) -> bytes:
            return sealed_document.seal("memory", "n0", ClockReading(*written), body)

        now = ClockReading(0, 10_000, "boot-1")
        early = sealed(b"early", HOUR_US, 700, "boot-1")
        late = sealed(b"late", 5, 10_001, "boot-1")  # by a process that wrote it while this one looked
        other, older_form = sealed(b"other", 2 * HOUR_US, 950, "boot-0"), sealed(b"older form", 6)
        for texts, body in (((early, late), b"late"), ((other, late), b"late"), ((other,), b"other"),
                            ((older_form, late), b"older form"), ((older_form, early), b"early"),
                            ((late[:-1], early), b"early")):  # fmt: skip
            for order in (texts, texts[::-1]):
                self.assertEqual(sealed_document.unseal_newest(list(order), "memory", "n0", now).body, body)

    def test_a_clock_that_was_changed(self):
        self.assertIn("torn", self.refused(self.text.replace(b'"clock_us":700', b'"clock_us":701')))

    def test_the_program_before_reads_what_this_one_writes_and_the_other_way_round(self):
        """Its header had five fields, and its checksum covers them and the body as ours does."""
        crc = zlib.crc32(b'{"a":1}', zlib.crc32(b"1\0memory\0n0\0005000000"))
        header = {"format": 1, "kind": "memory", "node": "n0", "at_us": 5_000_000, "crc": crc}
        written = json.loads(self.text.partition(b"\n")[0])
        self.assertEqual(header, {name: written[name] for name in header})
        older = json.dumps(header).encode() + b'\n{"a":1}'
        self.assertEqual(sealed_document.unseal(older, "memory", "n0"), (ClockReading(5_000_000), b'{"a":1}'))


class Shares(unittest.TestCase):
    """Two processes sized for the whole node each would hold twice what it may."""

    limits = NodeLimits(384, 41, 80.0, 24.0, 0.1)

    def test_alone_it_has_all_that_the_limits_leave(self):
        self.assertEqual(split_limits(self.limits, []), ConnectionCounts(171, 172))

    def test_beside_others_it_takes_what_they_leave_and_all_stay_within_the_limits(self):
        for held in (ConnectionCounts(0, 0), ConnectionCounts(40, 60), ConnectionCounts(100, 100)):
            room = split_limits(self.limits, [held])
            with self.subTest(held=held):
                self.assertLessEqual(sum(held) + sum(room) + 2 * 41, 384)
                self.assertLessEqual((held.sessions + room.sessions) * 0.1 + 2 * 24.0, 80.0)

    def test_beside_a_full_one_it_has_its_least(self):
        self.assertEqual(
            split_limits(self.limits, [ConnectionCounts(171, 172)]),
            ConnectionCounts(MIN_PER_PROCESS, MIN_PER_PROCESS),
        )

    def test_a_node_smaller_than_the_least_has_no_more_than_it_has_alone(self):
        small = NodeLimits(64, 41, 32.0, 24.0, 0.1)
        self.assertEqual(split_limits(small, []), ConnectionCounts(11, 12))
        self.assertEqual(split_limits(small, [ConnectionCounts(11, 12)]), ConnectionCounts(11, 12))


class Learned(unittest.TestCase):
    """A balancer that took up what another learned decides as that one would."""

    def old(self) -> Driver:
        driver = Driver(tells_start=False)
        driver.report(1, 4.0)
        driver.report(2, 4.0)
        return driver

    def after(self, old: Driver, age_us: int = 0, entries=None) -> Driver:
        memory = take_snapshot(old.balancer, NAMES, old.now)
        new = Driver(tells_start=False, seed=2, entries=entries)
        written = new.now - age_us
        self.assertTrue(restore(new.balancer, memory, written))
        for number, name in NAMES.items():
            restore_executor(new.balancer.executors[number], memory.executors[name], written)
        return new

    def sent(self, driver: Driver, count: int = 14) -> int:
        return sum(len(sends(driver.arrive(0))) for _ in range(count))

    def test_places_and_slots_are_known_from_the_start(self):
        new = self.after(self.old())
        self.assertEqual(self.sent(new), 8)  # four at each, and half a place to wait is none

    def test_news_age_while_the_new_process_starts(self):
        new = self.after(self.old(), age_us=700_000)
        self.assertEqual(new.now - new.balancer.executors[1].heard_at, 700_000)

    def test_jobs_of_the_other_process_hold_slots_till_it_tells_their_end(self):
        """A report that shows none free is as old as ever; the other process knows of an end at once."""
        new = self.after(self.old())
        for worker in (1, 2):
            new.feed(api.SiblingLoad(worker, 4.0, 0.0))
            new.report(worker, 0.0)
        self.assertEqual(self.sent(new), 0)
        new.feed(api.SiblingLoad(1, 1.0, 0.0))
        self.assertEqual(self.sent(new), 3)

    def test_what_is_out_is_told_without_what_others_have_out(self):
        old = self.old()
        self.sent(old, 3)
        old.feed(api.SiblingLoad(1, 2.0, 1.0))
        told = held_now(old.balancer, NAMES)
        self.assertEqual(sum(slots for slots, _ in told.values()), 3.0)

    def test_a_worker_that_restarted_since_is_not_taken_for_the_old_one(self):
        entries = [entry(1, started_at=999_000_000), entry(2)]
        new = self.after(self.old(), entries=entries)
        self.assertEqual(new.balancer.executors[1].slots, 1.0)
        self.assertEqual(new.balancer.executors[2].slots, 4.0)

    def test_a_start_listed_a_millisecond_apart_is_the_same_process(self):
        old = Driver(tells_start=False, entries=[entry(1, started_at=900_000_000), entry(2)])
        old.report(1, 4.0)
        new = self.after(old, entries=[entry(1, started_at=900_001_000), entry(2)])
        self.assertEqual(new.balancer.executors[1].slots, 4.0)
        again = [entry(1, started_at=900_001_000), entry(2)]
        new.feed(api.EndpointList(api.EndpointListKind.FULL, again))
        self.assertEqual(new.balancer.executors[1].slots, 4.0)

    def test_what_a_cold_worker_was_sent_counts_on(self):
        """Rule 4 sees one node: its next process must not spend the window's budget once more."""
        listed = [entry(1, started_at=999_900_000), entry(2, started_at=999_900_000)]
        old = Driver(tells_start=False, entries=listed)
        self.assertTrue(sends(old.arrive(0)))
        new = self.after(old, entries=listed)
        before, after = ({n: w.slow_start.sends for n, w in d.balancer.executors.items()} for d in (old, new))
        self.assertEqual(before, after)
        self.assertEqual(sum(map(len, after.values())), 1)

    def test_an_successor_asks_for_the_list_at_once(self):
        """What discovery tells binds it 2 s after its yes; the span of a large fleet is longer."""
        memory = take_snapshot(self.old().balancer, NAMES, 1_000_000_000)
        for successor in (False, True):
            balancer = Balancer(settings(instances=48, on_request_discovery=True), 1)
            if successor:
                restore(balancer, memory, 1_000_000_000)
            news = api.EndpointList(api.EndpointListKind.CACHED, [entry(1)])
            (timer,) = balancer.handle(1_000_000_000, news)
            self.assertEqual(timer.delay_us == 0, successor)

    def test_other_settings_take_up_nothing(self):
        memory = take_snapshot(self.old().balancer, NAMES, 1_000_000_000)
        memory.class_times.pop()
        self.assertFalse(restore(Driver().balancer, memory, 1_000_000_000))
