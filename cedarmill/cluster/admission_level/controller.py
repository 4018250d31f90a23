"""The controller that adjusts the admission level while a log entry is applied.

The controller sheds requests when requests are late and demand exceeds the available slots. It then adjusts
the admitted share in small steps: down while requests queue too long, up while queues are short or slots are
idle. Requests confined to their zone or region are shed separately when only they lack capacity. If requests
stay late although the admitted demand fits, the overload sustains itself (queues and retries), and a deep cut
of bounded length ends it. An operator's override applies in addition to the level until it expires.
"""

from collections.abc import Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

from cedarmill.cluster.admission_level.state import (
    LATE_SHARE,
    STEP_US,
    UNKNOWN,
    AdmissionLevel,
    LoadReport,
    SheddingThreshold,
)
from cedarmill.cluster.observations.digest import WHOLE

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState

CLUSTER_LABEL = "the fleet"  # names the whole cluster in log notes
LOW_LATE_SHARE = 50  # thousandths of late requests, below which shedding is relaxed

# The most by which the shed slots change in a second: thousandths of the demand or of the slots, the larger.
SHED_RATE = 1500
MAX_RELEASE_RATE = 2000

# Changes of the fill share: thousandths of its value, per step.
FILL_STEP_DOWN = 60  # while requests take too long
FILL_STEP_UP = 40  # while queues are short
FILL_STEP_UP_FAST = 200  # while there is almost no queueing
MIN_FILL = 500  # thousandths of the slots
MAX_FILL_WITHOUT_IDLE_SLOTS = 1200  # thousandths of the slots

# Queueing: the running time of requests in thousandths of the time allotted to them.
LONG_QUEUEING = 1000
SHORT_QUEUEING = 700
MINIMAL_QUEUEING = 500
FALLING_SHARE = 930  # thousandths of the queueing one step ago, below which queues are draining

MIN_BUSY_SHARE = 850  # thousandths of the slots in use, below which slots count as idle
MIN_BUSY_SHARE_LATE = 400  # the same bound while many requests are late
MAX_LOCAL_REJECTIONS_TO_RAISE = 150  # thousandths rejected by nodes, below which the fill share may rise
MIN_STEPS_WITHOUT_EXCESS = 3  # consecutive steps without excess demand that deactivate the level
PROVEN_DECAY = 10  # thousandths by which the proven slots decay in a step

# Detection of an overload that sustains itself, and the deep cut that ends it.
SUSTAINED_LATE_SHARE = 500  # thousandths of late requests
MAX_FITTING_SHARE = 1050  # thousandths of the slots, up to which the admitted demand fits
SUSTAINED_OVERLOAD_US = 2_500_000  # duration of a sustained overload before a deep cut begins
DEEP_CUT_FREE_SHARE = 900  # thousandths of the slots that a deep cut leaves free
DEEP_CUT_US = 4_000_000  # longest duration of a deep cut
DEEP_CUT_REST_US = 4_000_000  # minimum interval between two deep cuts

MIN_SHARE_CHANGE = 20  # thousandths; smaller changes of a threshold's share are not published


def threshold_for(demand: Mapping[int, int], shed_slots: int) -> SheddingThreshold:
    """Return the threshold that rejects `shed_slots` of the demand, lowest priority weight first."""
    remaining_slots = shed_slots
    for weight in sorted(demand):
        if remaining_slots <= 0:
            break
        if demand[weight] > remaining_slots:
            return SheddingThreshold(weight, remaining_slots * WHOLE // demand[weight])
        remaining_slots -= demand[weight]
        if remaining_slots <= 0:
            return SheddingThreshold(weight, WHOLE)
    return SheddingThreshold(max(demand), WHOLE) if demand and shed_slots > 0 else SheddingThreshold()


def stricter(first: SheddingThreshold, second: SheddingThreshold) -> SheddingThreshold:
    """Return the threshold that rejects more requests."""
    return max(first, second, key=lambda threshold: (threshold.weight, threshold.share))


def advance(
    state: "ClusterState", demand: Mapping[int, int], report: LoadReport, assessed_at: int = UNKNOWN
) -> None:
    """Advance the cluster's level by one step.

    `demand` maps each priority weight to the slots requested. Slots whose requests were served recently count
    as available even when fewer are reported, since a busy executor offers few slots to each node. An
    assessment no newer than the previous one doesn't change the fill share again; UNKNOWN skips that check.
    """
    level = state.admission
    level.stale = assessed_at != UNKNOWN and assessed_at <= level.assessed_at
    level.assessed_at = max(level.assessed_at, assessed_at)
    if state.clock - level.stepped_at >= STEP_US:
        decayed_slots = level.proven_slots - level.proven_slots * PROVEN_DECAY // WHOLE
        level.proven_slots = max(report.slots_served, decayed_slots)
    report = replace(report, slots=max(report.slots, level.proven_slots))
    if _advance_level(state, level, sum(demand.values()), report, CLUSTER_LABEL):
        _publish(state, threshold_for(demand, level.shed_slots))


def advance_scope(state: "ClusterState", key: str, demand: Mapping[int, int], slots: int, late: int) -> None:
    """Advance the level of one zone's requests of one scope by one step.

    `key` is `zone/scope`, `slots` the capacity available to these requests, `late` the share of late ones in
    thousandths. The level is created when their demand exceeds these slots and requests are late.
    """
    level = state.scoped_admission.get(key)
    wanted_slots = sum(demand.values())
    if level is None and (wanted_slots <= slots or late < LATE_SHARE):
        return
    level = state.scoped_admission.setdefault(key, AdmissionLevel())
    if not _advance_level(state, level, wanted_slots, LoadReport(slots, late), key):
        return
    threshold = threshold_for(demand, level.shed_slots)
    if not level.shed_slots and late < LOW_LATE_SHARE:
        del state.scoped_admission[key]
    if threshold != level.threshold:
        level.threshold, level.epoch, state.orders_epoch = threshold, state.epoch, state.epoch


def threshold_of(state: "ClusterState", zone: str, scope: str) -> SheddingThreshold:
    """Return the threshold that nodes of a zone apply to requests of a scope."""
    level = state.scoped_admission.get(f"{zone}/{scope}")
    cluster = state.admission.threshold
    return stricter(cluster, level.threshold) if level is not None else cluster


def set_override(state: "ClusterState", threshold: SheddingThreshold, duration_us: int, author: str) -> None:
    """Apply an operator's threshold for a duration; a weight below 0 ends the current override."""
    level = state.admission
    if threshold.weight < 0:
        level.override, level.override_until = SheddingThreshold(), 0
        state.log_for_operators(f"{author} ends the cut")
        _publish(state, SheddingThreshold())
        return
    level.override, level.override_until = threshold, state.clock + duration_us
    state.log_for_operators(f"{author} cuts what is worth less than {threshold.weight / WHOLE:g}")
    _publish(state, stricter(level.threshold, level.override))


def _advance_level(
    state: "ClusterState", level: AdmissionLevel, wanted_slots: int, report: LoadReport, scope_label: str
) -> bool:
    """Advance one level if a step is due, and return whether it was.

    The fill share changes slowly since assessments lag by about a second. Excess demand is shed quickly.
    """
    now = state.clock
    elapsed_us = min(now - level.stepped_at, 2 * STEP_US)
    if elapsed_us < STEP_US:
        return False
    _store_report(level, now, wanted_slots, report)
    if level.late < LOW_LATE_SHARE or 0 <= level.queueing < SHORT_QUEUEING:
        level.deep_cut_until = min(level.deep_cut_until, now)  # end the cut early
    in_deep_cut = now < level.deep_cut_until
    if not in_deep_cut and not level.stale:  # slots left idle by a deep cut are no evidence
        _adjust_fill_share(level, _has_idle_slots(level))
    admitted_share = WHOLE - DEEP_CUT_FREE_SHARE if in_deep_cut else level.fill_share
    excess_slots = max(0, wanted_slots - level.slots * admitted_share // WHOLE) if level.active else 0
    reference_slots = max(wanted_slots, level.slots) * elapsed_us // 1_000_000
    max_shed_slots = level.shed_slots + reference_slots * SHED_RATE // WHOLE
    min_shed_slots = level.shed_slots - reference_slots * MAX_RELEASE_RATE // WHOLE
    level.shed_slots = min(max(min(excess_slots, max_shed_slots), min_shed_slots), wanted_slots)
    if in_deep_cut:
        level.reason = "a deep cut: late though what is admitted fits"
    elif level.shed_slots:
        level.reason = f"more is wanted than there is; {level.late / 10:g}% late"
    else:
        level.reason = ""
    _watch_sustained_overload(state, level, scope_label)
    return True


def _store_report(level: AdmissionLevel, now: int, wanted_slots: int, report: LoadReport) -> None:
    level.stepped_at = now
    level.wanted_slots, level.slots = wanted_slots, report.slots
    level.late, level.slots_in_use = report.late, report.slots_in_use
    level.previous_queueing, level.queueing = level.queueing, report.queueing
    level.rejected_locally = report.rejected_locally


def _has_idle_slots(level: AdmissionLevel) -> bool:
    if level.slots_in_use == UNKNOWN:
        return False
    is_prompt = level.late < LATE_SHARE or 0 <= level.queueing < SHORT_QUEUEING
    return level.slots_in_use * WHOLE < level.slots * (MIN_BUSY_SHARE if is_prompt else MIN_BUSY_SHARE_LATE)


def _adjust_fill_share(level: AdmissionLevel, has_idle_slots: bool) -> None:
    """Lower the fill share while requests take too long; raise it while queues are short."""
    is_overloaded = _is_overloaded(level)
    if (is_overloaded or level.late >= LATE_SHARE) and level.wanted_slots > level.slots:
        level.active = True
    if not level.active:
        return
    is_queueing_known = level.queueing != UNKNOWN
    is_falling = is_queueing_known and level.queueing * WHOLE < level.previous_queueing * FALLING_SHARE
    if is_overloaded and not is_falling:
        level.fill_share = max(MIN_FILL, level.fill_share - level.fill_share * FILL_STEP_DOWN // WHOLE)
    elif is_queueing_known and _may_raise_fill(level):
        level.fill_share += level.fill_share * _fill_increase(level, has_idle_slots) // WHOLE
    elif not is_queueing_known and has_idle_slots:  # more requests fit, however many are late
        level.fill_share += level.fill_share // 3
    elif max(level.late, level.rejected_locally) < LOW_LATE_SHARE and level.fill_share < WHOLE:
        level.fill_share += level.fill_share * FILL_STEP_UP // WHOLE
    demand_fits = level.wanted_slots * WHOLE <= level.slots * level.fill_share
    level.steps_without_excess = level.steps_without_excess + 1 if demand_fits else 0
    if level.steps_without_excess >= MIN_STEPS_WITHOUT_EXCESS and level.late < LATE_SHARE:
        level.active, level.fill_share, level.steps_without_excess = False, WHOLE, 0


def _is_overloaded(level: AdmissionLevel) -> bool:
    """Return whether requests take too long or nodes reject many admitted requests."""
    if level.queueing == UNKNOWN:
        return level.late >= LATE_SHARE or level.rejected_locally >= LATE_SHARE
    if level.queueing >= LONG_QUEUEING and level.late >= LOW_LATE_SHARE:
        return True
    # Without queueing, local rejections may stem from wrong estimates of the nodes.
    return level.rejected_locally >= LATE_SHARE and level.queueing >= MINIMAL_QUEUEING


def _may_raise_fill(level: AdmissionLevel) -> bool:
    if level.queueing >= SHORT_QUEUEING or not (level.shed_slots or level.fill_share < WHOLE):
        return False
    return level.rejected_locally < MAX_LOCAL_REJECTIONS_TO_RAISE or level.queueing < MINIMAL_QUEUEING


def _fill_increase(level: AdmissionLevel, has_idle_slots: bool) -> int:
    """Return the increase of the fill share for this step, in thousandths of its value."""
    if level.queueing < MINIMAL_QUEUEING or (has_idle_slots and level.fill_share < WHOLE):
        return FILL_STEP_UP_FAST
    if has_idle_slots:
        return 2 * FILL_STEP_UP
    return FILL_STEP_UP if level.fill_share < MAX_FILL_WITHOUT_IDLE_SLOTS else 0


def _watch_sustained_overload(state: "ClusterState", level: AdmissionLevel, scope_label: str) -> None:
    """Begin a deep cut if most requests have stayed late although the admitted demand fits the slots."""
    now = state.clock
    admitted = (level.wanted_slots - level.shed_slots) * WHOLE
    demand_fits = level.slots * WHOLE // 2 <= admitted <= level.slots * MAX_FITTING_SHARE
    is_queueing_short = 0 <= level.queueing < LONG_QUEUEING
    if (
        level.late < SUSTAINED_LATE_SHARE
        or is_queueing_short
        or not demand_fits
        or now < level.deep_cut_until
    ):
        level.late_since = -1
        return
    level.late_since = level.late_since if level.late_since >= 0 else now
    if now - level.late_since < SUSTAINED_OVERLOAD_US or now < level.next_deep_cut_at:
        return
    level.deep_cut_until, level.next_deep_cut_at = now + DEEP_CUT_US, now + DEEP_CUT_US + DEEP_CUT_REST_US
    level.late_since = -1
    level.active = True
    state.log_for_operators(
        f"a deep cut in {scope_label} for {DEEP_CUT_US / 1e6:g} s: {level.late / 10:g}% late, though what is "
        "admitted fits"
    )


def _publish(state: "ClusterState", threshold: SheddingThreshold) -> None:
    """Publish the stricter of the level's and the operator's threshold; ignore small changes of the share."""
    level = state.admission
    empty = SheddingThreshold()
    if state.clock < level.override_until:
        threshold = stricter(threshold, level.override)
    elif level.override != empty:
        level.override = empty
        state.log_for_operators("the cut by hand has ended")
    same_weight = threshold.weight == level.threshold.weight
    if same_weight and abs(threshold.share - level.threshold.share) < MIN_SHARE_CHANGE and threshold != empty:
        return
    if threshold != level.threshold:
        level.threshold, level.epoch = threshold, state.epoch
        state.orders_epoch = state.epoch
