"""Selection of the executor for an attempt, probing executors first when reports are out of date.

The cost per request does not grow with the number of executors: a few executors of a pool are sampled, and
one of the best is drawn by weight.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from cedarmill.decisions import interface as api
from cedarmill.decisions import learning, outliers, quotas, rejections, retries, slow_start
from cedarmill.decisions.interface import DeduplicationScope, Effect
from cedarmill.decisions.state import Attempt, BalancerState, Executor, ExecutorPools, ProbeTimeout, Request

EXECUTORS_SAMPLED = 8  # per pool and request; bounds the cost of an event
# Executors of a pool that are preferred, so that connections and reports are reused.
PREFERRED_SUBSET_SIZE = 128
PROBES_PER_ROUND = 2  # sent together, for a request that finds no fresh report of an idle slot
PROBE_WAIT_CONNECT_TIMEOUTS = 0.06  # time to wait for probes, as a share of the connect time-out
MIN_PROBE_WAITS_LEFT = 4  # probe waits that must remain before the deadline
FRESH_REPORT_RUNS = 1.0  # age up to which a report is used without a new probe, in mean running times
UNKNOWN_AFTER_DECAYS = 3  # age at which a report is worthless, in its decay times
# Zones with a smaller share are on trial; their requests may fall back to another zone.
TRIAL_ZONE_SHARE = 0.05
MAX_RECENTLY_USED = 4  # executors that are remembered


class Tier(IntEnum):
    """Preference tiers of executors; one is drawn from the lowest non-empty tier."""

    IDLE_LOCAL = 0  # has an idle slot, or its state is unknown
    IDLE_REMOTE = 1  # same, in another zone
    QUEUE = 2  # has a queue place
    LAST_RESORT = 3  # unhealthy, reporting errors, or with an ambiguous rejection of the request


class Candidate(NamedTuple):
    """An executor with free capacity, and its weight within its tier."""

    tier: Tier
    weight: float
    executor: Executor


@dataclass(slots=True)
class PoolSample:
    """Result of sampling a pool."""

    candidates: list[Candidate] = field(default_factory=list)
    without_fresh_report: list[Executor] = field(default_factory=list)  # healthy executors
    has_fresh_idle: bool = False  # a fresh report shows an idle slot


def select_and_send(state: BalancerState, request: Request) -> bool:
    """Send a request to an executor drawn by free capacity, or probe some executors first.

    Return whether the request was sent or waits for probes.
    """
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
    """Send a request to an executor just reinstated by operators: it is idle, and they expect it to serve.

    Every balancer sees the same list, so each does this with the probability of its traffic share.
    """
    if not state.reinstated or state.random.random() >= quotas.traffic_share(state):
        return False
    return any(
        outliers.health_weight(state, executor, request) and send(state, request, executor)
        for executor in state.reinstated
    )


def _pools_for(state: BalancerState, request: Request) -> Sequence[list[Executor]]:
    """Return the pools to select from, in order of preference."""
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
    # The local zone comes first, less often the busier it is.
    local, remote = state.learned.idle_slots_local, state.learned.idle_slots_remote
    is_local_first = not state.pools.remote or state.random.random() * remote**2 <= local**2
    return (
        (state.pools.local, state.pools.remote) if is_local_first else (state.pools.remote, state.pools.local)
    )


def _pools_by_shares(state: BalancerState, shares: dict[int, float]) -> Sequence[list[Executor]]:
    """Draw a zone by its share; add the zone with the largest share when the drawn one is on trial."""
    drawn_zone = state.random.choices([*shares], [*shares.values()])[0]
    zones = (
        [drawn_zone, max(shares, key=lambda zone: shares[zone])]
        if shares[drawn_zone] < TRIAL_ZONE_SHARE
        else [drawn_zone]
    )
    return tuple(state.pools.zones.get(zone, []) for zone in zones)


def _sample_pool(state: BalancerState, request: Request, pool: list[Executor]) -> PoolSample:
    """Sample a few executors of a pool; a large pool includes those used recently."""
    sample = PoolSample()
    recent = state.recently_used if len(pool) > EXECUTORS_SAMPLED else []
    executors = [used for used in recent if used.listed and state.pools.pools_of(used)[0] is pool]
    # The order of a pool is random and stable, so its first executors are a stable sample.
    use_whole_pool = request.attempts or request.probe_rounds  # the preferred subset did not serve it
    size = len(pool) if use_whole_pool else min(len(pool), PREFERRED_SUBSET_SIZE)
    executors += ExecutorPools.wrapping_slice(pool, size, EXECUTORS_SAMPLED, state.random.random())
    fresh_us = FRESH_REPORT_RUNS * state.learned.mean_run_us
    for executor in executors:
        health_weight = outliers.health_weight(state, executor, request)
        if not health_weight and executor.consecutive_failures:
            continue  # unreachable, so it is no last resort
        if not retries.may_send(state, request, executor):
            continue
        free_capacity = rejections.available_capacity(state, executor, request)
        news_at = max(executor.last_response_at, rejections.last_rejection_at(request, executor))
        age_us = state.now - news_at
        if health_weight and age_us > fresh_us and executor.probing_request is None:
            sample.without_fresh_report.append(executor)
        if free_capacity.slots_with_queue:
            candidate = _weigh_candidate(state, executor, health_weight, free_capacity)
            if rejections.may_resolve_at_once(request, executor):
                candidate = candidate._replace(tier=Tier.LAST_RESORT)
            sample.has_fresh_idle |= age_us <= fresh_us and candidate.tier < Tier.QUEUE
            sample.candidates.append(candidate)
    return sample


def _weigh_candidate(
    state: BalancerState, executor: Executor, health_weight: float, free_capacity: learning.FreeCapacity
) -> Candidate:
    """Return the tier and the weight of an executor that has free capacity."""
    # An executor without any news for long may be idle.
    is_unknown = (
        state.now - executor.last_response_at
        > UNKNOWN_AFTER_DECAYS * learning.REPORT_DECAY_RUNS * state.learned.mean_run_us
    )
    if not health_weight:
        tier = Tier.LAST_RESORT
    elif free_capacity.idle_slots or is_unknown:
        tier = Tier.IDLE_LOCAL if executor.zone == state.settings.zone else Tier.IDLE_REMOTE
    else:
        tier = Tier.QUEUE
    # The slots of a larger executor become free more often, so requests queue there for less time.
    share = (
        executor.size**2
        * (free_capacity.idle_slots or free_capacity.slots_with_queue)
        / (1 + executor.held_slots) ** 2
    )
    return Candidate(tier, share * (health_weight or executor.health), executor)


def _probe(state: BalancerState, request: Request, without_fresh_report: list[Executor], rounds: int) -> bool:
    """Probe a few executors without fresh reports for a request; return whether probes were sent."""
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
    """Send the next attempt of a request to an executor if permitted, and return whether it was sent."""
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
