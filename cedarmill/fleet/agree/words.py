"""Old names of `messages.py`, `events.py` and `actions.py`, for modules that still use them."""

from cedarmill.fleet.agree.actions import Action
from cedarmill.fleet.agree.actions import ApplyEntries as Commit
from cedarmill.fleet.agree.actions import LeadershipConfirmed as Confirmed
from cedarmill.fleet.agree.actions import PersistEntries as Put
from cedarmill.fleet.agree.actions import PersistTermAndVote as Save
from cedarmill.fleet.agree.actions import ProposalAccepted as Accepted
from cedarmill.fleet.agree.actions import RaiseAlarm as Alarm
from cedarmill.fleet.agree.actions import RequestRejected as Rejected
from cedarmill.fleet.agree.actions import RestoreSnapshot as Install
from cedarmill.fleet.agree.actions import RoleChanged as Role
from cedarmill.fleet.agree.actions import SendMessage as Send
from cedarmill.fleet.agree.events import ChangeMembership as Change
from cedarmill.fleet.agree.events import ConfirmLeadership as Read
from cedarmill.fleet.agree.events import Event
from cedarmill.fleet.agree.events import MessageReceived as Heard
from cedarmill.fleet.agree.events import PersistenceCompleted as Synced
from cedarmill.fleet.agree.events import ProposeCommand as Propose
from cedarmill.fleet.agree.events import SnapshotPersisted as Kept
from cedarmill.fleet.agree.events import TimeAdvanced as Passed
from cedarmill.fleet.agree.events import TransferLeadership as HandOver
from cedarmill.fleet.agree.messages import AppendEntries as Append
from cedarmill.fleet.agree.messages import AppendEntriesReply as Appended
from cedarmill.fleet.agree.messages import Config, Entry, EntryKind, Message, Peer, Snapshot
from cedarmill.fleet.agree.messages import InstallSnapshot as Part
from cedarmill.fleet.agree.messages import InstallSnapshotReply as Took
from cedarmill.fleet.agree.messages import RequestVote as Vote
from cedarmill.fleet.agree.messages import RequestVoteReply as Voted
from cedarmill.fleet.agree.messages import TimeoutNow as Lead

NOOP, COMMAND, CONFIG = EntryKind.NOOP, EntryKind.COMMAND, EntryKind.CONFIG

__all__ = [
    "COMMAND",
    "CONFIG",
    "NOOP",
    "Accepted",
    "Action",
    "Alarm",
    "Append",
    "Appended",
    "Change",
    "Commit",
    "Config",
    "Confirmed",
    "Entry",
    "Event",
    "HandOver",
    "Heard",
    "Install",
    "Kept",
    "Lead",
    "Message",
    "Part",
    "Passed",
    "Peer",
    "Propose",
    "Put",
    "Read",
    "Rejected",
    "Role",
    "Save",
    "Send",
    "Snapshot",
    "Synced",
    "Took",
    "Vote",
    "Voted",
]
