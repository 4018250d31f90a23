"""Former name of `supervision.py`, for users that are not changed yet."""

from cedarmill.fleet.supervision import OrderApplied as Acted
from cedarmill.fleet.supervision import Process, Unit
from cedarmill.fleet.supervision import ProcessSupervisor as Steward
from cedarmill.fleet.supervision import StartProcess as Start
from cedarmill.fleet.supervision import StopProcess as Stop
from cedarmill.fleet.supervision import StoreUnits as Keep

__all__ = ["Acted", "Keep", "Process", "Start", "Steward", "Stop", "Unit"]
