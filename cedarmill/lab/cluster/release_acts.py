"""Operators that drive releases: plan and start one, halt the newest, resume it, take it back."""

import asyncio
from collections.abc import Sequence

from cedarmill.cluster.messages import SubmitReply
from cedarmill.cluster.state import ReleasePlan
from cedarmill.cluster.state_machine import commands
from cedarmill.lab.cluster.operator_client import LOOK_S, TRIES, LabOperator
from cedarmill.net.cluster.operator import new_request_id

REASON = "the scenario"
END_STATES = ("done", "backed", "halted", "back-halted")
MAX_CONCURRENT = 2
BAKE_US = 3_000_000
READY_TIMEOUT_US = 8_000_000
MIN_SAMPLE = 30  # requests on each side, before the versions are compared


async def start_release(operator: LabOperator, units: Sequence[str], version: str) -> None:
    """Plan and start: one canary, then all the rest; until it has ended or halted."""
    plan = ReleasePlan(
        version,
        ((units[0],), tuple(units[1:])),
        max_concurrent=MAX_CONCURRENT,
        bake_us=BAKE_US,
        ready_timeout_us=READY_TIMEOUT_US,
        min_sample=MIN_SAMPLE,
    )
    reply = await _plan(operator, plan)
    for _ in range(TRIES):  # units are known once their supervisors have told of them
        if reply.ok:
            break
        await asyncio.sleep(LOOK_S)
        reply = await _plan(operator, plan)
    if not reply.ok:
        operator.tell("release-refused", note=reply.text)
        return
    await _control(operator, "start", reply.release_id)
    await _watch(operator, reply.release_id)


async def _plan(operator: LabOperator, plan: ReleasePlan) -> SubmitReply:
    return await operator.submit(commands.PlanRelease(0, operator.name, new_request_id(), plan))


async def control_newest(operator: LabOperator, act: str) -> None:
    """Halt, resume or take back the newest release; until it has ended or halted."""
    numbers = [row["id"] for row in await operator.view("releases")]
    if numbers:
        await _control(operator, act, max(numbers))
        await _watch(operator, max(numbers))


async def _control(operator: LabOperator, act: str, number: int) -> None:
    reply = await operator.submit(
        commands.ControlRelease(0, operator.name, new_request_id(), number, act, REASON)
    )
    operator.tell(f"release-{act}", note=reply.text, number=number)


async def _watch(operator: LabOperator, number: int) -> None:
    state = ""
    while state not in END_STATES:
        row = next(row for row in await operator.view("releases") if row["id"] == number)
        if row["state"] != state:
            state = row["state"]
            operator.tell(f"release {state}", note="; ".join(row["why"][-1:]), number=number)
        await asyncio.sleep(LOOK_S)
