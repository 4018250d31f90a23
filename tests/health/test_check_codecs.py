"""Tests of the codecs of agent-check and the PROXY protocol against their specifications."""

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
REPLY_CASES = (  # Lines and their parsed replies, None for invalid lines.
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
    """Parsing and composing of agent-check replies."""

    @given(REPLIES, st.sampled_from((b"\n", b"\r", b"\r\n")), st.data())
    def test_composed_reply_is_parsed_from_chunks_of_any_size(self, reply, end, data):
        """Data after the first line must not change the reply."""
        text = agent.compose(reply)[:-1] + end + b"down\n"
        reader, read, at = AgentReader(), None, 0
        while read is None:
            step = data.draw(st.integers(1, 9))
            read, at = reader.feed(text[at : at + step]), at + step
        self.assertEqual(read, reply)

    def test_unusual_replies_are_parsed_or_rejected(self):
        """An invalid reply is an error, and not `down`."""
        for line, expected in REPLY_CASES:
            with self.subTest(line[:40]):
                if expected is None:
                    self.assertRaises(AgentError, agent.parse, line)
                else:
                    self.assertEqual(agent.parse(line), expected)

    def test_reply_ends_at_close_and_an_overlong_line_is_an_error(self):
        """The error is raised once, and later data is ignored."""
        reader = AgentReader()
        reader.feed(b"drain")
        self.assertEqual(reader.close(), AgentReply(admin=Admin.DRAIN))
        self.assertRaises(AgentError, AgentReader().close)
        flood = AgentReader()
        self.assertRaises(AgentError, flood.feed, b"x" * 2**20)
        self.assertIsNone(flood.feed(b"up\n"))

    def test_replies_that_are_empty_or_have_a_multiline_reason_are_not_composed(self):
        """A reason must not add words or lines to the reply."""
        for bad in (AgentReply(Status.UP, reason="a\nmaint"), AgentReply(reason="nothing named")):
            self.assertRaises(ValueError, agent.compose, bad)


class ProxyTest(unittest.TestCase):
    """Parsing and composing of PROXY headers, versions 1 and 2."""

    @given(st.booleans(), st.ip_addresses(v=4), st.ip_addresses(v=6), st.integers(0, 65535), st.booleans())
    def test_composed_header_is_parsed_once_it_is_complete(self, six, four_ip, six_ip, port,
                                                                      second):  # fmt: skip
        """The data after the header must not be consumed."""
        host = str(six_ip if six else four_ip)
        header = proxy.ProxyHeader((host, port), (host, 80))
        text = (proxy.compose_v2 if second else proxy.compose_v1)(header)
        self.assertEqual(proxy.parse(text + b"GET /"), (header, len(text)))
        for end in range(len(text)):
            self.assertIsNone(proxy.parse(text[:end]))

    def test_header_of_the_senders_own_check_has_no_addresses(self):
        """Section 2.2 requires that LOCAL and UNKNOWN are accepted."""
        for text in (proxy.compose_v1(proxy.ProxyHeader()), proxy.compose_v2(proxy.ProxyHeader())):
            self.assertEqual(proxy.parse(text), (proxy.ProxyHeader(), len(text)))

    def test_invalid_headers_are_rejected(self):
        """Accepting invalid headers would allow spoofed client addresses."""
        v2 = proxy.SIGNATURE
        for bad in (b"GET / HTTP/1.1\r\n", b"PROXY TCP4 1.2.3.4 1.2.3.4 80\r\n",
                    b"PROXY TCP4 ::1 ::1 1 2\r\n", b"PROXY TCP4 1.2.3.4 1.2.3.4 70000 1\r\n",
                    b"PROXY TCP4 1.2.3.4 1.2.3.4 01 1\r\n", b"PROXY " + b"x" * 200,
                    v2 + b"\x31\x11\0\x0c" + bytes(12), v2 + b"\x21\x11\0\x04" + bytes(4),
                    v2 + b"\x21\x11\xff\xff"):  # fmt: skip
            with self.subTest(bad[:30]):
                self.assertRaises(proxy.ProxyError, proxy.parse, bad)
