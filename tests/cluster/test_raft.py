"""Tests of the encoded form of Raft messages, of rejection reasons and of role transitions."""

import itertools
import unittest

import msgspec

from cedarmill.cluster.raft import messages
from cedarmill.cluster.raft.actions import RejectionReason
from cedarmill.cluster.raft.messages import Entry, EntryKind, Peer
from cedarmill.cluster.raft.roles import NEXT_ROLES, InvalidTransition, Role, check_transition

PEER = Peer("127.0.0.1:1", False, "d0")
ENTRIES = (Entry(3, 2, EntryKind.COMMAND, b"xy"), Entry(4, 2, EntryKind.NOOP))
ENCODED_MESSAGES = (
    (
        messages.RequestVote(1, 2, 3, True, False),
        b'{"type":"vote","term":1,"last_index":2,"last_term":3,"pre":true,"forced":false}',
    ),
    (messages.RequestVoteReply(4, True, False), b'{"type":"voted","term":4,"granted":true,"pre":false}'),
    (
        messages.AppendEntries(1, 2, 3, ENTRIES, 4, 5),
        b'{"type":"append","term":1,"prev_index":2,"prev_term":3,"entries":[[3,2,1,"eHk="],[4,2,0,""]],'
        b'"commit":4,"round":5}',
    ),
    (
        messages.AppendEntriesReply(1, True, 2, 3),
        b'{"type":"appended","term":1,"ok":true,"index":2,"round":3}',
    ),
    (
        messages.InstallSnapshot(1, 2, 3, {"k0": PEER}, 4, b"xy", False, 5),
        b'{"type":"part","term":1,"index":2,"last_term":3,"config":{"k0":["127.0.0.1:1",false,"d0"]},'
        b'"offset":4,"data":"eHk=","done":false,"round":5}',
    ),
    (
        messages.InstallSnapshotReply(1, 2, 3, 4),
        b'{"type":"took","term":1,"index":2,"offset":3,"round":4}',
    ),
    (messages.TimeoutNow(9), b'{"type":"lead","term":9}'),
)


class MessageEncoding(unittest.TestCase):
    """The tests encode as JSON, which is readable and has the same tags and keys as MessagePack."""

    def test_each_message_is_encoded_with_stable_tag_and_keys(self):
        self.assertEqual({type(message) for message, _ in ENCODED_MESSAGES}, set(messages.Message.__args__))
        for message, text in ENCODED_MESSAGES:
            with self.subTest(type(message).__name__):
                self.assertEqual(msgspec.json.encode(message), text)
                self.assertEqual(msgspec.json.decode(text, type=messages.Message), message)

    def test_rejection_reason_is_encoded_as_the_text_shown_to_the_caller(self):
        reason = RejectionReason.CHANGE_PENDING
        self.assertEqual(msgspec.json.decode(msgspec.json.encode(reason)), f"{reason}")
        self.assertEqual(f"{reason}", "another change of the keepers is not agreed yet")


class RoleTransitions(unittest.TestCase):
    def test_only_transitions_in_the_table_are_accepted(self):
        for before, after in itertools.product(Role, Role):
            if after in NEXT_ROLES[before]:
                check_transition(before, after)
            else:
                with self.assertRaisesRegex(InvalidTransition, f"{before.value} .* {after.value}"):
                    check_transition(before, after)

    def test_only_a_candidate_can_become_leader_and_every_role_can_become_follower(self):
        self.assertEqual([role for role in Role if Role.LEADER in NEXT_ROLES[role]], [Role.CANDIDATE])
        self.assertEqual([role for role in Role if Role.FOLLOWER in NEXT_ROLES[role]], list(Role))
