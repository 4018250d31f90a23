"""Selection: which executor an attempt goes to, and which are probed first where nothing fresh is known.

The cost of a request does not grow with the number of executors: a few of a pool are looked at, from a random
place on, and one of the best is drawn by its weight.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from cedarmill.decisions import interface as api
from cedarmill.decisions import learning, outliers, quotas, retries, slow_start
from cedarmill.decisions.interface import DeduplicationScope, Effect
from cedarmill.decisions.state import Attempt, BalancerState, Executor, ExecutorPools, ProbeTimeout, Request

EXECUTORS_SAMPLED = 8  # of a pool for one request: the cost of an event must not grow with the fleet
PREFERRED_SUBSET_SIZE = (
    128  # executors of a pool that requests go to first, so that connections and reports serve again
)
PROBES_PER_ROUND = 2  # at once, for a request that sees no fresh idle slot
PROBE_WAIT_CONNECT_TIMEOUTS = 0.06  # connect time-outs that it waits for their answers
MIN_PROBE_WAITS_LEFT = 4  # such waits that have to be left of its time
FRESH_REPORT_RUNS = 1.0  # mean running times for which a report is believed without asking again
UNKNOWN_AFTER_DECAYS = 3  # times in which a report fades, after which nothing is left of it
TRIAL_ZONE_SHARE = (
    0.05  # share by a plan that only tries a zone: what finds no place there goes to the others
)
MAX_RECENTLY_USED = 4  # executors where own attempts ended last


class Tier(IntEnum):
    """What is known of an executor; the lowest tier that has one is drawn from."""

    IDLE_LOCAL = 0  # a slot is idle, or nothing is known
    IDLE_REMOTE = 1  # the same, in another zone
    QUEUE = 2  # a place in its queue
    LAST_RESORT = 3  # not trusted


class Candidate(NamedTuple):
    """An executor that has room, and its weight within its tier."""

    tier: Tier
    weight: float
    executor: Executor


@dataclass(slots=True)
class PoolSample:
    """What a look at a pool has found."""

    candidates: list[Candidate] = field(default_factory=list)
    without_fresh_report: list[Executor] = field(default_factory=list)  # trusted, without a fresh report
    has_fresh_idle: bool = False  # by a fresh report


def select_and_send(state: BalancerState, request: Request) -> bool:
    """Send to an executor drawn by its room, idle slots before queue places; or probe some and wait."""
    if _send_to_reinstated(state, request):
        return True
    candidates: list[Candidate] = []
    pools = _pools_for(state, request)
    for pool in pools:
        sample = _sample_pool(state, request, pool)
        candidates += sample.candidates
        if sample.has_fresh_idle:
            break
        if _probe(state, request, sample.without_fresh_report, rounds=1 if pool is pools[0] else 2):
            return True
    if not candidates:
        return False
    best_tier = min(candidate.tier for candidate in candidates)
    weights = [candidate.weight * (candidate.tier == best_tier) for candidate in candidates]
    return send(state, request, state.random.choices(candidates, weights)[0].executor)


def _send_to_reinstated(state: BalancerState, request: Request) -> bool:
    """Send to one that operators have just put back: idle by then, and they wait for it to serve.

    All balancers see it, so each does so for its part of all traffic.
    """
    if not state.reinstated or state.random.random() >= quotas.traffic_share(state):
        return False
    return any(
        outliers.health_weight(state, executor, request) and send(state, request, executor)
        for executor in state.reinstated
    )


def _pools_for(state: BalancerState, request: Request) -> Sequence[list[Executor]]:
    """The pools in which to look, in order."""
    request_class = request.request_class
    earlier_attempt = next((attempt for attempt in request.attempts if attempt.may_have_run), None)
    if (
        earlier_attempt
        and request_class.effect == Effect.KEYED
        and request_class.group == DeduplicationScope.CELL
    ):
        return (state.pools.cells.get(earlier_attempt.cell, []),)
    if shares := state.zone_shares.get(request.allowed_zones):
        return _pools_by_shares(state, shares)
    local, remote = (
        state.learned.idle_slots_local,
        state.learned.idle_slots_remote,
    )  # the own first, less often the busier it is
    is_local_first = not state.pools.remote or state.random.random() * remote**2 <= local**2
    return (
        (state.pools.local, state.pools.remote) if is_local_first else (state.pools.remote, state.pools.local)
    )


def _pools_by_shares(state: BalancerState, shares: dict[int, float]) -> Sequence[list[Executor]]:
    """One zone by a plan's shares; where it is only tried, the one with the largest share as well."""
    drawn_zone = state.random.choices([*shares], [*shares.values()])[0]
    zones = (
        [drawn_zone, max(shares, key=lambda zone: shares[zone])]
        if shares[drawn_zone] < TRIAL_ZONE_SHARE
        else [drawn_zone]
    )
    return tuple(state.pools.zones.get(zone, []) for zone in zones)


def _sample_pool(state: BalancerState, request: Request, pool: list[Executor]) -> PoolSample:
    """Look at a few executors of a pool; in a large one first at those where own attempts ended last."""
    sample = PoolSample()
    recent = state.recently_used if len(pool) > EXECUTORS_SAMPLED else []
    executors = [used for used in recent if used.listed and state.pools.pools_of(used)[0] is pool]
    # a pool is in random order and stays so, so its first executors are a sample that changes little
    use_whole_pool = request.attempts or request.probe_rounds  # the sample has not served it
    size = len(pool) if use_whole_pool else min(len(pool), PREFERRED_SUBSET_SIZE)
    executors += ExecutorPools.wrapping_slice(pool, size, EXECUTORS_SAMPLED, state.random.random())
    fresh_us = FRESH_REPORT_RUNS * state.learned.mean_run_us
    for executor in executors:
        health_weight = outliers.health_weight(state, executor, request)
        if not health_weight and executor.consecutive_failures:
            continue  # its connections fail at once, or its attempts are lost: no last resort
        if not retries.may_send(state, request, executor):
            continue
        free_capacity, age_us = (
            learning.free_capacity(state, executor, request),
            state.now - executor.heard_at,
        )
        if health_weight and age_us > fresh_us and executor.probing_request is None:
            sample.without_fresh_report.append(executor)
        if free_capacity.with_queue:
            candidate = _weigh_candidate(state, executor, health_weight, free_capacity)
            sample.has_fresh_idle |= age_us <= fresh_us and candidate.tier < Tier.QUEUE
            sample.candidates.append(candidate)
    return sample


def _weigh_candidate(
    state: BalancerState, executor: Executor, health_weight: float, free_capacity: learning.FreeCapacity
) -> Candidate:
    """Weigh an executor that has room."""
    # nothing is known of an executor not heard of for long: it may be idle
    is_unknown = (
        state.now - executor.heard_at
        > UNKNOWN_AFTER_DECAYS * learning.REPORT_DECAY_RUNS * state.learned.mean_run_us
    )
    if not health_weight:
        tier = Tier.LAST_RESORT
    elif free_capacity.idle or is_unknown:
        tier = Tier.IDLE_LOCAL if executor.zone == state.settings.zone else Tier.IDLE_REMOTE
    else:
        tier = Tier.QUEUE
    # as many slots of a larger executor are free again sooner, so what waits there waits less
    share = (
        executor.size**2 * (free_capacity.idle or free_capacity.with_queue) / (1 + executor.held_slots) ** 2
    )
    return Candidate(tier, share * (health_weight or executor.health), executor)


def _probe(state: BalancerState, request: Request, without_fresh_report: list[Executor], rounds: int) -> bool:
    """No fresh report shows an idle slot: probe a few executors, and let the request wait for them."""
    wait_us = int(PROBE_WAIT_CONNECT_TIMEOUTS * state.settings.connect_timeout_us)
    has_time_left = state.now + MIN_PROBE_WAITS_LEFT * wait_us < request.deadline
    if not without_fresh_report or not (
        has_time_left and state.settings.can_probe and request.probe_rounds < rounds
    ):
        return False
    without_fresh_report.sort(key=lambda executor: state.random.random() ** (1 / executor.size), reverse=True)
    probed = without_fresh_report[:PROBES_PER_ROUND]
    request.probe_rounds += 1
    request.probes_pending = len(probed)
    for executor in probed:
        executor.probing_request = request
        state.actions.append(api.Probe(executor.id, request.id))
    state.set_timer(wait_us, ProbeTimeout(request, request.probe_rounds))
    return True


def send(state: BalancerState, request: Request, executor: Executor, preempted_running: bool = False) -> bool:
    """Send the request's next attempt to an executor, if it may go there; whether it did."""
    if not retries.may_send(state, request, executor):
        return False
    outliers.record_send(state, executor)
    attempt = Attempt(
        request, executor, len(request.attempts), state.now, executor.zone, executor.cell, preempted_running
    )
    if not state.settings.tells_start:
        attempt.started_at = state.now
    if preempted_running:
        state.preempting_attempt = attempt
    request.probe_rounds = 0
    state.reinstated = [other for other in state.reinstated if other is not executor]
    request.attempts.append(attempt)
    executor.attempts[request.id, attempt.number] = attempt
    attempt.reserve()
    slow_start.record_send(state, executor, request)
    state.actions.append(api.Send(request.id, executor.id))
    return True
