"""Scenarios: changes and faults of executors and discovery while the node handles traffic."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarmill.lab.scale.run import ScaleRun

REPLACED_SHARE = 0.6  # share of all executors
REPLACE_DURATION_S = 7.0
REPLACE_STEPS = 14
START_DELAY_S = 3.0  # between the start of traffic and the first change
OUTAGE_S = 5.0
SILENCE_DURATION_S = 10.0
CHANGE_INTERVAL_S = 0.5  # between replacements of executors while the watch is silent
SNAPSHOT_INTERVAL_S = 1.0

Scenario = Callable[["ScaleRun"], Awaitable[None]]


async def calm(run: "ScaleRun") -> None:
    """Change nothing."""


async def replace(run: "ScaleRun") -> None:
    """Replace six in ten executors by cold ones, in steps spread over 7 s."""
    await asyncio.sleep(START_DELAY_S)
    replaced_names = run.sample_executors(REPLACED_SHARE)
    batch_size = -(-len(replaced_names) // REPLACE_STEPS)
    for start in range(0, len(replaced_names), batch_size):
        await run.replace_executors(replaced_names[start : start + batch_size])
        await asyncio.sleep(REPLACE_DURATION_S / REPLACE_STEPS)


async def lose_zone(run: "ScaleRun") -> None:
    """Silence all executors of one zone, then restart them cold."""
    await asyncio.sleep(START_DELAY_S)
    zone_executors = [
        executor for executor in run.cluster.executors.values() if executor.zone == run.zones[0]
    ]
    for executor in zone_executors:
        executor.is_silent = True
    await asyncio.sleep(OUTAGE_S)
    await run.restart_executors([executor.name for executor in zone_executors])


async def discovery_down(run: "ScaleRun") -> None:
    """Replace executors while discovery rejects all requests, then end the outage."""
    await asyncio.sleep(START_DELAY_S)
    run.discovery.is_down = True
    run.discovery.reset_connections()
    await run.replace_executors(run.sample_executors(0.05))
    await asyncio.sleep(OUTAGE_S)
    run.discovery.is_down = False


async def reload(run: "ScaleRun") -> None:
    """Reload the configuration twice, each time with a new address of discovery."""
    for _ in range(2):
        await asyncio.sleep(START_DELAY_S)
        await run.move_discovery_address()


async def silent_watch(run: "ScaleRun") -> None:
    """Stop all messages on the watch while executors are replaced."""
    await asyncio.sleep(START_DELAY_S)
    run.discovery.is_silent = True
    for _ in range(int(SILENCE_DURATION_S / CHANGE_INTERVAL_S)):
        await run.replace_executors(run.sample_executors(0.002))
        await asyncio.sleep(CHANGE_INTERVAL_S)
    run.discovery.is_silent = False


async def whole_lists(run: "ScaleRun") -> None:
    """Publish a snapshot of the endpoint list every second."""
    for _ in range(int((run.plan.duration_s - 1) / SNAPSHOT_INTERVAL_S)):
        await asyncio.sleep(SNAPSHOT_INTERVAL_S)
        run.discovery.publish_snapshot()


async def list_in_bytes(run: "ScaleRun") -> None:
    """Publish one snapshot of the endpoint list in chunks of one byte."""
    await asyncio.sleep(START_DELAY_S)
    run.discovery.chunk_bytes = 1
    run.discovery.publish_snapshot()
    run.discovery.chunk_bytes = 0


async def all_cold(run: "ScaleRun") -> None:
    """Restart all executors at the same time."""
    await asyncio.sleep(START_DELAY_S)
    await run.restart_executors(list(run.cluster.executors))


async def probes_unanswered(run: "ScaleRun") -> None:
    """Leave probes unanswered while requests are still answered."""
    run.cluster.answers_probes = False


SNAPSHOT_ONLY_SCENARIOS = frozenset({"whole-lists"})  # discovery sends snapshots instead of changes
SCENARIOS: dict[str, Scenario] = {
    "calm": calm,
    "replace": replace,
    "lose-zone": lose_zone,
    "discovery-down": discovery_down,
    "reload": reload,
    "silent-watch": silent_watch,
    "whole-lists": whole_lists,
    "list-in-bytes": list_in_bytes,
    "all-cold": all_cold,
    "probes-unanswered": probes_unanswered,
}
