"""Operators that send clients away from a zone, let it come back, and freeze the plan of traffic."""

from cedarmill.cluster.messages import SubmitReply
from cedarmill.cluster.state_machine import commands
from cedarmill.lab.cluster.operator_client import LabOperator
from cedarmill.net.cluster.operator import new_request_id

REASON = "the scenario"


async def _control(
    operator: LabOperator, act: str, zone: str = "", over_us: int = 0, reason: str = REASON
) -> SubmitReply:
    return await operator.submit(
        commands.ControlZone(0, operator.name, new_request_id(), act, zone, over_us, reason)
    )


async def drain_zone(operator: LabOperator, zone: str, over_us: int) -> None:
    """Drain a zone over that time, and wait until every node has said that it has nothing there."""
    reply = await _control(operator, "leave", zone, over_us)
    operator.tell("asked", zone)
    if not reply.ok or not reply.permits:
        operator.tell("refused", zone, note=reply.text)
        return
    await operator.wait_until_drained(zone, reply.summaries()[0].id)


async def return_zone(operator: LabOperator, zone: str) -> None:
    """Let a zone come back."""
    operator.tell("returning", zone)
    reply = await _control(operator, "stay", zone, reason="done")
    operator.tell("back", zone, note=reply.text)


async def control_plan(operator: LabOperator, act: str) -> None:
    """Freeze or thaw the plan of traffic."""
    reply = await _control(operator, act)
    operator.tell(act, note=reply.text)
