"""Health without I/O: codecs by their published grammars, verdicts by their order, probes by their cost."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from cedarmill.health import probe_budget as probes
from cedarmill.health import verdict as verdicts
from cedarmill.health.codecs import agent, proxy
from cedarmill.health.codecs.agent import Admin, AgentError, AgentReader, AgentReply, Status

S = 1_000_000
REPLIES = st.builds(
    AgentReply,
    st.none() | st.sampled_from(Status),
    st.none() | st.sampled_from(Admin),
    st.none() | st.integers(0, 99_999),
    st.none() | st.integers(0, 999_999_999),
    st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=80).map(str.strip),
).filter(lambda reply: reply.says_something)
ODD = (  # replies seen or possible, and what they say; None: an error
    (b"up", AgentReply(Status.UP)), (b"UP\tREADY,100%", AgentReply(Status.UP, Admin.READY, 100)),
    (b"75%", AgentReply(weight=75)), (b"maxconn:30 drain", AgentReply(admin=Admin.DRAIN, maxconn=30)),
    (b"failed #disk 3 is full", AgentReply(Status.FAIL, reason="disk 3 is full")),
    (b"down#no blank", AgentReply(Status.DOWN, reason="no blank")),
    (b"up down", AgentReply(Status.DOWN)), (b"  ,\t stopped ,", AgentReply(Status.STOPPED)),
    (b"up # 50% drain", AgentReply(Status.UP, reason="50% drain")), (b"up oops 50", AgentReply(Status.UP)),
    (b"0%", AgentReply(weight=0)), (b"up #\x07\xff", AgentReply(Status.UP, reason="\xff")),
    (b"", None), (b"#up", None), (b"hello", None), (b"-5%", None), (b"5", None), (b"maxconn:x", None),
    (b"HTTP/1.1 200 OK", None), (b"up" * 600, None), (b"1000000%", None),
)  # fmt: skip


class AgentTest(unittest.TestCase):
    @given(REPLIES, st.sampled_from((b"\n", b"\r", b"\r\n")), st.data())
    def test_every_reply_of_the_grammar_is_read_back_however_it_is_cut(self, reply, end, data):
        """TCP keeps no borders: a reply may come a byte at a time, and more may follow its line."""
        text = agent.compose(reply)[:-1] + end + b"down\n"
        reader, read, at = AgentReader(), None, 0
        while read is None:
            step = data.draw(st.integers(1, 9))
            read, at = reader.feed(text[at : at + step]), at + step
        self.assertEqual(read, reply)

    def test_odd_replies_have_stated_verdicts(self):
        """What cannot be read says nothing, and what holds goes on: an error is not `down`."""
        for line, expected in ODD:
            with self.subTest(line[:40]):
                if expected is None:
                    self.assertRaises(AgentError, agent.parse, line)
                else:
                    self.assertEqual(agent.parse(line), expected)

    def test_an_agent_that_closes_early_floods_or_trickles_is_bounded(self):
        """A close ends the line; a megabyte without an end is an error, and only once."""
        reader = AgentReader()
        reader.feed(b"drain")
        self.assertEqual(reader.close(), AgentReply(admin=Admin.DRAIN))
        self.assertRaises(AgentError, AgentReader().close)
        flood = AgentReader()
        self.assertRaises(AgentError, flood.feed, b"x" * 2**20)
        self.assertIsNone(flood.feed(b"up\n"))

    def test_what_would_break_the_line_is_not_written(self):
        """A reason comes from elsewhere: it must not add words or lines."""
        for bad in (AgentReply(Status.UP, reason="a\nmaint"), AgentReply(reason="nothing named")):
            self.assertRaises(ValueError, agent.compose, bad)


class ProxyTest(unittest.TestCase):
    @given(st.booleans(), st.ip_addresses(v=4), st.ip_addresses(v=6), st.integers(0, 65535), st.booleans())
    def test_both_versions_are_read_back_and_wait_till_they_are_whole(self, six, four_ip, six_ip, port,
                                                                      second):  # fmt: skip
        """A check follows at once on the same connection: not a byte of it may be taken."""
        host = str(six_ip if six else four_ip)
        header = proxy.ProxyHeader((host, port), (host, 80))
        text = (proxy.compose_2 if second else proxy.compose_1)(header)
        self.assertEqual(proxy.parse(text + b"GET /"), (header, len(text)))
        for end in range(len(text)):
            self.assertIsNone(proxy.parse(text[:end]))

    def test_the_balancers_own_check_names_no_client(self):
        """LOCAL and UNKNOWN: section 2.2 asks that they be accepted without addresses."""
        for text in (proxy.compose_1(proxy.ProxyHeader()), proxy.compose_2(proxy.ProxyHeader())):
            self.assertEqual(proxy.parse(text), (proxy.ProxyHeader(), len(text)))

    def test_what_the_protocol_forbids_is_refused(self):
        """A header that is guessed at gives a stranger the address that he names."""
        v2 = proxy.SIGNATURE
        for bad in (b"GET / HTTP/1.1\r\n", b"PROXY TCP4 1.2.3.4 1.2.3.4 80\r\n",
                    b"PROXY TCP4 ::1 ::1 1 2\r\n", b"PROXY TCP4 1.2.3.4 1.2.3.4 70000 1\r\n",
                    b"PROXY TCP4 1.2.3.4 1.2.3.4 01 1\r\n", b"PROXY " + b"x" * 200,
                    v2 + b"\x31\x11\0\x0c" + bytes(12), v2 + b"\x21\x11\0\x04" + bytes(4),
                    v2 + b"\x21\x11\xff\xff"):  # fmt: skip
            with self.subTest(bad[:30]):
                self.assertRaises(proxy.ProxyError, proxy.parse, bad)


class VerdictCase(unittest.TestCase):
    options = verdicts.VerdictOptions()

    def setUp(self) -> None:
        self.now, self.machine, self.wanted = 100 * S, verdicts.Verdicts(self.options), {}
        self.changes = 0
        for box in range(10):
            self.feed(verdicts.Known(box))

    def feed(self, event, after: int = 0):
        self.now += after
        actions = self.machine.step(self.now, event)
        for action in actions:
            if isinstance(action, verdicts.Told):
                self.changes += self.wanted.get(action.box, action.wanted) != action.wanted
                self.wanted[action.box] = action.wanted
        return actions

    def say(self, box: int, text: bytes, after: int = 0):
        return self.feed(verdicts.Agent(box, agent.parse(text)), after)

    def out(self) -> set[int]:
        return {box for box, wanted in self.wanted.items() if not wanted}


class VerdictTest(VerdictCase):
    def test_a_box_that_drops_work_is_out_though_its_checks_pass_and_comes_back(self):
        """A fifth of the fleet at once: out within 3 attempts each, back by one trial."""
        for box in (0, 1):
            for _ in range(self.options.observe):
                self.assertNotIn(box, self.out())
                self.feed(verdicts.Checked(box, True))
                self.feed(verdicts.Attempted(box, False), 100_000)
        self.assertEqual(self.out(), {0, 1})
        for _ in range(10):
            self.feed(verdicts.Checked(0, True), 100_000)
            self.say(0, b"up 100%")
        self.assertEqual(self.out(), {0, 1})
        self.feed(verdicts.Passed(), 2 * S)
        self.assertEqual(self.out(), set())  # one trial each, at the least size
        self.feed(verdicts.Attempted(0, False), 100_000)
        self.feed(verdicts.Attempted(1, True))
        self.assertEqual(self.out(), {0})
        self.feed(verdicts.Passed(), 2 * S)
        self.assertEqual(self.out(), {0})  # the second hold is longer
        self.feed(verdicts.Passed(), 2 * S)
        self.feed(verdicts.Attempted(0, True))
        self.assertEqual(self.out(), set())

    def test_all_agents_down_at_once_while_attempts_succeed_changes_nothing(self):
        """The network between is gone, not the boxes: what attempts show wins, till they stop showing it."""
        for box in range(10):
            self.feed(verdicts.Attempted(box, True))
        for box in range(10):
            self.say(box, b"down")
        self.assertEqual(self.out(), set())
        self.feed(verdicts.Passed(), 4 * S)  # no news of attempts either: but nearly all cannot be dead
        self.assertTrue(self.machine.panics)
        self.assertEqual(self.out(), set())

    def test_drain_and_maint_are_obeyed_at_once_whatever_works(self):
        """The will of operators is no question of health, nor of panic."""
        self.feed(verdicts.Attempted(3, True))
        for box, word in ((3, b"drain"), (4, b"maint"), (5, b"0%")):
            told = [a for a in self.say(box, word) if isinstance(a, verdicts.Told)]
            self.assertEqual([(t.box, t.wanted) for t in told], [(box, False)])
        for box in range(10):
            self.say(box, b"drain")
        self.assertEqual(self.out(), set(range(10)))
        self.say(3, b"up ready")
        self.assertNotIn(3, self.out())

    def test_rise_and_fall_and_the_intervals_between(self):
        """Three failures take a box out, two successes bring it back; another kind starts anew."""
        results = [(False, True, 0.5), (False, True, 0.5), (True, True, 2), (False, True, 0.5),
                   (False, True, 0.5), (False, False, 5), (True, False, 0.5), (False, False, 5),
                   (True, False, 0.5), (True, True, 2)]  # fmt: skip
        for passed, wanted, interval in results:
            self.feed(verdicts.Checked(7, passed), S)
            self.assertEqual((7 not in self.out(), self.machine.interval(7)), (wanted, interval * S))

    def test_a_flapping_agent_is_kept_out_till_it_keeps_still_and_no_longer_than_the_ceiling(self):
        """200 to 500 ms a state for 60 s: a few changes of the list, not two hundred."""
        draw = random.Random(3)
        for turn in range(170):
            self.say(2, b"down" if turn % 2 == 0 else b"up", draw.randint(200_000, 500_000))
        self.assertLessEqual(self.changes, 4)
        self.assertEqual(self.out(), {2})
        still = self.now
        while 2 in self.out():
            self.feed(verdicts.Passed(), S)
            self.assertLessEqual(self.now - still, self.options.longest + S)
        self.assertGreater(self.now - still, self.options.half_life)

    def test_a_box_that_comes_back_is_let_in_slowly(self):
        """A cold box that its agent calls `up 100%` must not be knocked over."""
        for _ in range(3):
            self.feed(verdicts.Checked(1, False))
        sizes = [a.size for a in self.say(1, b"up 100%", S) if isinstance(a, verdicts.Told)]
        for _ in range(11):
            sizes += [a.size for a in self.feed(verdicts.Passed(), S) if isinstance(a, verdicts.Told)]
        self.assertEqual(sizes, sorted(sizes))
        self.assertEqual((sizes[0], sizes[-1]), (0.1, 1.0))

    def test_what_has_gone_is_forgotten(self):
        """News that crosses its end must not bring it back."""
        self.feed(verdicts.Gone(1))
        for event in (verdicts.Checked(1, True), verdicts.Attempted(1, False),
                      verdicts.Agent(1, AgentReply(Status.UP)), verdicts.Gone(1)):  # fmt: skip
            self.assertEqual(self.feed(event), [])


class ProbesTest(unittest.TestCase):
    def test_two_sources_share_one_probe_and_fresh_news_spare_it(self):
        """Each probe costs the box work: one answer serves all who ask."""
        machine = probes.Probes(1.0, 100.0, 10.0, 1)
        self.assertEqual(machine.step(0, probes.Wanted(1, "agent", 0)), [probes.Ask(1, ("agent",))])
        self.assertEqual(machine.step(1, probes.Wanted(1, "brain", 0)), [])
        machine.step(2, probes.Heard(1, probe=True))
        self.assertEqual(machine.step(S, probes.Wanted(1, "agent", 2 * S)), [])
        machine.step(2 * S, probes.Heard(1))  # traffic
        self.assertEqual(machine.step(3 * S, probes.Wanted(1, "agent", 2 * S)), [])
        self.assertEqual((machine.spent, machine.shared, machine.spared), (1, 1, 2))

    def test_however_often_a_box_is_asked_for_it_gets_its_rate(self):
        """A flapping agent that asks for a probe with each change causes no storm."""
        machine, asked = probes.Probes(0.5, 100.0, 10.0, 1), []
        for now in range(0, 60 * S, 50_000):
            for action in machine.step(now, probes.Wanted(1, "flap", 0)):
                if isinstance(action, probes.Ask):
                    asked.append(now)
                    machine.step(now, probes.Missed(1) if now % 2 else probes.Heard(1, probe=True))
        self.assertLessEqual(len(asked), 31)
        self.assertGreaterEqual(len(asked), 29)

    def test_a_thousand_boxes_learned_at_once_are_asked_evenly(self):
        """Every 2 s each, by the node's bucket and jitter: no 100 ms holds over twice the mean."""
        machine, due, slots = probes.Probes(2.0, 600.0, 30.0, 1), {}, {}
        for box in range(1000):
            due[box] = machine.moment(0, 2 * S) - 2 * S + box * 2_000  # a source spreads its first round
        for now in range(0, 10 * S, 10_000):
            actions = machine.step(now, probes.Passed())
            for box, at in due.items():
                if at <= now:
                    due[box] = machine.moment(now, 2 * S)
                    actions += machine.step(now, probes.Wanted(box, "check", 0))
            for action in actions:
                if isinstance(action, probes.Ask):
                    slots[now // 100_000] = slots.get(now // 100_000, 0) + 1
                    machine.step(now, probes.Heard(action.box, probe=True))
        busy = [slots.get(n, 0) for n in range(30, 100)]
        self.assertAlmostEqual(sum(busy) / len(busy), 50, delta=5)
        self.assertLess(max(busy), 100)

    def test_a_probe_of_a_box_that_has_gone_is_not_sent(self):
        """It waits for a token when the list drops it."""
        machine = probes.Probes(0.1, 100.0, 10.0, 1)
        machine.step(0, probes.Wanted(1, "a", 0))
        machine.step(1, probes.Heard(1, probe=True))
        self.assertIsInstance(machine.step(2, probes.Wanted(1, "a", 0))[0], probes.Wake)
        machine.step(3, probes.Gone(1))
        self.assertEqual(machine.step(60 * S, probes.Passed()), [])


if __name__ == "__main__":
    unittest.main()
