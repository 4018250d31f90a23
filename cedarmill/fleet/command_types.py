"""Former names of the commands of `state_machine/`, for users that are not changed yet."""

from cedarmill.fleet.state_machine.budgets import AcknowledgeOrders as Follows
from cedarmill.fleet.state_machine.budgets import SetBudgetDemand as Wants
from cedarmill.fleet.state_machine.budgets import SetBudgets
from cedarmill.fleet.state_machine.command import Command
from cedarmill.fleet.state_machine.command import OperatorRequest as Request
from cedarmill.fleet.state_machine.commands import AnyCommand, AnyRequest
from cedarmill.fleet.state_machine.operator_statements import OperatorStatement as Word
from cedarmill.fleet.state_machine.permits import AdoptUnknownGrants as Held
from cedarmill.fleet.state_machine.permits import ConfirmDrained as Cleared
from cedarmill.fleet.state_machine.permits import RequestPermits as Ask
from cedarmill.fleet.state_machine.permits import ReturnPermit as Give
from cedarmill.fleet.state_machine.permits import SetLimits
from cedarmill.fleet.state_machine.releases import ControlRelease as ActRelease
from cedarmill.fleet.state_machine.releases import PlanRelease as NewRelease
from cedarmill.fleet.state_machine.releases import RecordComparison as Judged
from cedarmill.fleet.state_machine.sessions import EndMember as Ended
from cedarmill.fleet.state_machine.sessions import ExpireSessions as Lapsed
from cedarmill.fleet.state_machine.sessions import RegisterMember as Joined
from cedarmill.fleet.state_machine.sessions import RestoreSession as Back
from cedarmill.fleet.state_machine.setup import AdvanceTime as Tick
from cedarmill.fleet.state_machine.setup import InitializeCluster as SetUp
from cedarmill.fleet.state_machine.targets import HaltGrants as Mass
from cedarmill.fleet.state_machine.targets import UpdateTargets as Seen
from cedarmill.fleet.state_machine.targets import UpdateUnits as Units
from cedarmill.fleet.state_machine.traffic import OverrideAdmission as ActCut
from cedarmill.fleet.state_machine.traffic import RecordZoneEvidence as Observed
from cedarmill.fleet.state_machine.zones import ControlZone as ActZone
from cedarmill.fleet.state_machine.zones import SetZones

__all__ = [
    "ActCut",
    "ActRelease",
    "ActZone",
    "AnyCommand",
    "AnyRequest",
    "Ask",
    "Back",
    "Cleared",
    "Command",
    "Ended",
    "Follows",
    "Give",
    "Held",
    "Joined",
    "Judged",
    "Lapsed",
    "Mass",
    "NewRelease",
    "Observed",
    "Request",
    "Seen",
    "SetBudgets",
    "SetLimits",
    "SetUp",
    "SetZones",
    "Tick",
    "Units",
    "Wants",
    "Word",
]
