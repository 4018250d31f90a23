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

EXECUTORS_LOOKED_AT = 8  # of a pool for one request: the cost of an event must not grow with the fleet
SUBSET = 128  # executors of a pool that requests go to first, so that connections and reports serve again
EXECUTORS_PROBED = 2  # at once, for a request that sees no fresh idle slot
PROBE_WAIT_CONNECTS = 0.06  # connect time-outs that it waits for their answers
PROBE_WAITS_LEFT = 4  # such waits that have to be left of its time
FRESH_RUNS = 1.0  # mean running times for which a report is believed without asking again
UNKNOWN_FADES = 3  # times in which a report fades, after which nothing is left of it
TRIED_SHARE = 0.05  # share by a plan that only tries a zone: what finds no place there goes to the others
RECENTLY_USED = 4  # executors where own attempts ended last


class Tier(IntEnum):
    """What is known of an executor; the lowest tier that has one is drawn from."""

    IDLE_NEAR = 0  # a slot is idle, or nothing is known
    IDLE_FAR = 1  # the same, in another zone
    QUEUE = 2  # a place in its queue
    LAST_RESORT = 3  # not trusted


class Candidate(NamedTuple):
    """An executor that has room, and its weight within its tier."""

    tier: Tier
    weight: float
    executor: Executor


@dataclass(slots=True)
class Survey:
    """What a look at a pool has found."""

    candidates: list[Candidate] = field(default_factory=list)
    unsure: list[Executor] = field(default_factory=list)  # trusted, without a fresh report
    found_idle: bool = False  # by a fresh report


def place(state: BalancerState, request: Request) -> bool:
    """Send to an executor drawn by its room, idle slots before queue places; or probe some and wait."""
    if _send_to_put_back(state, request):
        return True
    candidates: list[Candidate] = []
    pools = _pools_for(state, request)
    for pool in pools:
        survey = _look_at(state, request, pool)
        candidates += survey.candidates
        if survey.found_idle:
            break
        if _probe(state, request, survey.unsure, rounds=1 if pool is pools[0] else 2):
            return True
    if not candidates:
        return False
    best = min(candidate.tier for candidate in candidates)
    weights = [candidate.weight * (candidate.tier == best) for candidate in candidates]
    return send(state, request, state.random.choices(candidates, weights)[0].executor)


def _send_to_put_back(state: BalancerState, request: Request) -> bool:
    """Send to one that operators have just put back: idle by then, and they wait for it to serve.

    All balancers see it, so each does so for its part of all traffic.
    """
    if not state.put_back or state.random.random() >= quotas.traffic_part(state):
        return False
    return any(outliers.trust(state, one, request) and send(state, request, one) for one in state.put_back)


def _pools_for(state: BalancerState, request: Request) -> Sequence[list[Executor]]:
    """The pools in which to look, in order."""
    request_class = request.request_class
    ran = next((attempt for attempt in request.attempts if attempt.may_have_run), None)
    if ran and request_class.effect == Effect.KEYED and request_class.group == DeduplicationScope.CELL:
        return (state.pools.cells.get(ran.cell, []),)
    if shares := state.zone_shares.get(request.allowed_zones):
        return _pools_by_shares(state, shares)
    near, far = state.learned.idle_near, state.learned.idle_far  # the own first, less often the busier it is
    own_first = not state.pools.far or state.random.random() * far**2 <= near**2
    return (state.pools.near, state.pools.far) if own_first else (state.pools.far, state.pools.near)


def _pools_by_shares(state: BalancerState, shares: dict[int, float]) -> Sequence[list[Executor]]:
    """One zone by a plan's shares; where it is only tried, the one with the largest share as well."""
    drawn = state.random.choices([*shares], [*shares.values()])[0]
    zones = [drawn, max(shares, key=lambda zone: shares[zone])] if shares[drawn] < TRIED_SHARE else [drawn]
    return tuple(state.pools.zones.get(zone, []) for zone in zones)


def _look_at(state: BalancerState, request: Request, pool: list[Executor]) -> Survey:
    """Look at a few executors of a pool; in a large one first at those where own attempts ended last."""
    survey = Survey()
    recent = state.recently_used if len(pool) > EXECUTORS_LOOKED_AT else []
    looked_at = [one for one in recent if one.listed and state.pools.pools_of(one)[0] is pool]
    # a pool is in random order and stays so, so its first executors are a sample that changes little
    beyond = request.attempts or request.probe_rounds  # the sample has not served it
    size = len(pool) if beyond else min(len(pool), SUBSET)
    looked_at += ExecutorPools.stretch(pool, size, EXECUTORS_LOOKED_AT, state.random.random())
    fresh_us = FRESH_RUNS * state.learned.mean_run_us
    for executor in looked_at:
        trust = outliers.trust(state, executor, request)
        if not trust and executor.consecutive_failures:
            continue  # its connections fail at once, or its attempts are lost: no last resort
        if not retries.may_send(state, request, executor):
            continue
        room, age_us = learning.room(state, executor, request), state.now - executor.heard_at
        if trust and age_us > fresh_us and executor.probing_request is None:
            survey.unsure.append(executor)
        if room.with_queue:
            candidate = _candidate(state, executor, trust, room)
            survey.found_idle |= age_us <= fresh_us and candidate.tier < Tier.QUEUE
            survey.candidates.append(candidate)
    return survey


def _candidate(state: BalancerState, executor: Executor, trust: float, room: learning.Room) -> Candidate:
    """Weigh an executor that has room."""
    # nothing is known of an executor not heard of for long: it may be idle
    unknown = (
        state.now - executor.heard_at > UNKNOWN_FADES * learning.REPORT_FADE_RUNS * state.learned.mean_run_us
    )
    if not trust:
        tier = Tier.LAST_RESORT
    elif room.idle or unknown:
        tier = Tier.IDLE_NEAR if executor.zone == state.settings.zone else Tier.IDLE_FAR
    else:
        tier = Tier.QUEUE
    # as many slots of a larger executor are free again sooner, so what waits there waits less
    share = executor.size**2 * (room.idle or room.with_queue) / (1 + executor.held_slots) ** 2
    return Candidate(tier, share * (trust or executor.health), executor)


def _probe(state: BalancerState, request: Request, unsure: list[Executor], rounds: int) -> bool:
    """No fresh report shows an idle slot: probe a few executors, and let the request wait for them."""
    wait_us = int(PROBE_WAIT_CONNECTS * state.settings.connect_timeout_us)
    time_left = state.now + PROBE_WAITS_LEFT * wait_us < request.deadline
    if not unsure or not (time_left and state.settings.can_probe and request.probe_rounds < rounds):
        return False
    unsure.sort(key=lambda executor: state.random.random() ** (1 / executor.size), reverse=True)
    probed = unsure[:EXECUTORS_PROBED]
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
    state.put_back = [other for other in state.put_back if other is not executor]
    request.attempts.append(attempt)
    executor.attempts[request.id, attempt.number] = attempt
    attempt.reserve()
    slow_start.record_send(state, executor, request)
    state.actions.append(api.Send(request.id, executor.id))
    return True
