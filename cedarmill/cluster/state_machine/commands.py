"""All command types; `AnyRequest` is the union of operator requests, `AnyCommand` that of log commands."""

from cedarmill.cluster.state_machine.budgets import AcknowledgeOrders, SetBudgetDemand, SetBudgets
from cedarmill.cluster.state_machine.command import Command, OperatorRequest
from cedarmill.cluster.state_machine.operator_statements import OperatorStatement
from cedarmill.cluster.state_machine.permits import (
    AdoptUnknownGrants,
    ConfirmDrained,
    RequestPermits,
    ReturnPermit,
    SetLimits,
)
from cedarmill.cluster.state_machine.releases import ControlRelease, PlanRelease, RecordComparison
from cedarmill.cluster.state_machine.sessions import (
    EndMember,
    ExpireSessions,
    RegisterMember,
    RestoreSession,
)
from cedarmill.cluster.state_machine.setup import AdvanceTime, InitializeCluster
from cedarmill.cluster.state_machine.targets import HaltGrants, UpdateTargets, UpdateUnits
from cedarmill.cluster.state_machine.traffic import OverrideAdmission, RecordZoneEvidence
from cedarmill.cluster.state_machine.zones import ControlZone, SetZones

__all__ = [
    "AcknowledgeOrders",
    "AdoptUnknownGrants",
    "AdvanceTime",
    "AnyCommand",
    "AnyRequest",
    "Command",
    "ConfirmDrained",
    "ControlRelease",
    "ControlZone",
    "EndMember",
    "ExpireSessions",
    "HaltGrants",
    "InitializeCluster",
    "OperatorRequest",
    "OperatorStatement",
    "OverrideAdmission",
    "PlanRelease",
    "RecordComparison",
    "RecordZoneEvidence",
    "RegisterMember",
    "RequestPermits",
    "RestoreSession",
    "ReturnPermit",
    "SetBudgetDemand",
    "SetBudgets",
    "SetLimits",
    "SetZones",
    "UpdateTargets",
    "UpdateUnits",
]

AnyRequest = (
    SetLimits
    | RequestPermits
    | ReturnPermit
    | OperatorStatement
    | PlanRelease
    | ControlRelease
    | SetZones
    | ControlZone
    | SetBudgets
    | OverrideAdmission
)
AnyCommand = (
    AdvanceTime
    | RegisterMember
    | ExpireSessions
    | RestoreSession
    | EndMember
    | UpdateTargets
    | ConfirmDrained
    | UpdateUnits
    | HaltGrants
    | AdoptUnknownGrants
    | RecordComparison
    | RecordZoneEvidence
    | SetBudgetDemand
    | AcknowledgeOrders
    | InitializeCluster
    | AnyRequest
)
