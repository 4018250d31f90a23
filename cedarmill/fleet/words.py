"""Former name of `messages.py`, for users that are not changed yet."""

from cedarmill.fleet.messages import ChangeReplicas as Keepers
from cedarmill.fleet.messages import ClientReply as Answer
from cedarmill.fleet.messages import ClientRequest as Ask
from cedarmill.fleet.messages import ConnectionRejected as Refused
from cedarmill.fleet.messages import ExecutorObservation as Sight
from cedarmill.fleet.messages import ForwardReply as Relayed
from cedarmill.fleet.messages import ForwardRequest as Relay
from cedarmill.fleet.messages import GossipMessage as Shared
from cedarmill.fleet.messages import GossipSubscription as Use
from cedarmill.fleet.messages import GossipUpdate as Heard
from cedarmill.fleet.messages import Heartbeat as Beat
from cedarmill.fleet.messages import HeartbeatReply as Beaten
from cedarmill.fleet.messages import Hello, Orders
from cedarmill.fleet.messages import Probe as Ping
from cedarmill.fleet.messages import ProbeReply as Pong
from cedarmill.fleet.messages import ReadReply as Shown
from cedarmill.fleet.messages import ReadRequest as Look
from cedarmill.fleet.messages import ReplicaMessage as Between
from cedarmill.fleet.messages import RouteWeights as Way
from cedarmill.fleet.messages import SubmitReply as Did
from cedarmill.fleet.messages import SubmitRequest as Do
from cedarmill.fleet.messages import Unavailable as NotHere

__all__ = [
    "Answer",
    "Ask",
    "Beat",
    "Beaten",
    "Between",
    "Did",
    "Do",
    "Heard",
    "Hello",
    "Keepers",
    "Look",
    "NotHere",
    "Orders",
    "Ping",
    "Pong",
    "Refused",
    "Relay",
    "Relayed",
    "Shared",
    "Shown",
    "Sight",
    "Use",
    "Way",
]
