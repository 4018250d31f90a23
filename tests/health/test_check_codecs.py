"""Codecs of agent-check and the PROXY protocol, by their published grammars."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from cedarmill.health.codecs import agent, proxy
from cedarmill.health.codecs.agent import Admin, AgentError, AgentReader, AgentReply, Status

REPLIES = st.builds(
    AgentReply,
    st.none() | st.sampled_from(Status),
    st.none() | st.sampled_from(Admin),
    st.none() | st.integers(0, 99_999),
    st.none() | st.integers(0, 999_999_999),
    st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=80).map(str.strip),
).filter(lambda reply: reply.sets_any_value)
ODD = (  # replies seen or possible, and what they name; None: an error
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
    """Replies of agent-check: reading, writing, and what is no reply."""

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
    """Headers of the PROXY protocol, versions 1 and 2."""

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
