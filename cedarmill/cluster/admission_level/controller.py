"""The controller of the admission level, run while an entry is applied.

It sheds where requests are late and more is wanted than there is. What it admits then moves in small steps:
less while requests take too long, more while they do not or slots stand idle. Requests that may not leave
their zone or region are shed there alone, where only these find no room. A cluster that stays late though no
more is admitted than there is sustains its own overload: a deep cut of bounded length ends that state. An
operator's override holds together with the level until its end.
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

CLUSTER = "the fleet"  # as operators read it
PROMPT_SHARE = 50  # thousandths of requests that are late, up to which less is shed

# Thousandths of what is wanted, or of the slots, by which the slots shed move in a second.
SHED_RATE = 1500
RELEASE_RATE = 2000

# The fill share: thousandths of it a step.
FILL_STEP_DOWN = 60  # while requests take too long
FILL_STEP_UP = 40  # while they do not
FILL_STEP_UP_SHORT = 200  # while they hardly queue
MIN_FILL = 500  # thousandths of the slots
FULL_FILL = 1200  # thousandths of the slots, up to which it rises though none stands idle

# Queueing: thousandths of the time that a request may take.
LONG_QUEUEING = 1000
SHORT_QUEUEING = 700
NO_QUEUEING = 500  # hardly any: requests run for about half of the time that they may take
FALLING = 930  # thousandths of the queueing a step ago, below which it falls and nothing more is shed for it

IDLE_SHARE = 850  # thousandths of the slots in use, below which more is shed than has to be
IDLE_SHARE_LATE = 400  # the same while requests are late: these wait for something else
FEW_REJECTED_LOCALLY = 150  # thousandths, up to which more may be admitted
CALM_STEPS = 3  # in a row with nothing to shed, after which the level is not active any longer
PROVEN_DECAY = 10  # thousandths of the proven slots that are forgotten in a step

# An overload that sustains itself.
SUSTAINED_SHARE = 500  # thousandths of requests that are late
FITTING_SHARE = 1050  # thousandths of the slots, up to which what is admitted fits
SUSTAINED_US = 2_500_000  # after which a deep cut begins
DEEP_SHARE = 900  # thousandths of the slots that a deep cut leaves free
DEEP_US = 4_000_000  # the longest deep cut
DEEP_REST_US = 4_000_000  # between two of them

SAME_SHARE = 20  # thousandths by which a threshold's share may differ and stay as it is


def threshold_for(demand: Mapping[int, int], shed_slots: int) -> SheddingThreshold:
    """The threshold that rejects so many slots of the demand, the lowest priority weight first."""
    left = shed_slots
    for weight in sorted(demand):
        if left <= 0:
            break
        if demand[weight] > left:
            return SheddingThreshold(weight, left * WHOLE // demand[weight])
        left -= demand[weight]
        if left <= 0:
            return SheddingThreshold(weight, WHOLE)
    return SheddingThreshold(max(demand), WHOLE) if demand and shed_slots > 0 else SheddingThreshold()


def stricter(left: SheddingThreshold, right: SheddingThreshold) -> SheddingThreshold:
    """Of two thresholds the one that rejects more."""
    return max(left, right, key=lambda threshold: (threshold.weight, threshold.share))


def advance(
    state: "ClusterState", demand: Mapping[int, int], report: LoadReport, assessed_at: int = UNKNOWN
) -> None:
    """One step of the cluster's level, by the slots wanted at each priority weight and the load.

    Slots that were served lately are there, whatever is reported: a busy executor shows each node few slots.
    By an assessment of the same time as the last one nothing is moved twice; of one of an unknown time
    nothing is known.
    """
    level = state.admission
    level.stale = assessed_at != UNKNOWN and assessed_at <= level.assessed_at
    level.assessed_at = max(level.assessed_at, assessed_at)
    if state.clock - level.stepped_at >= STEP_US:
        remembered = level.proven_slots - level.proven_slots * PROVEN_DECAY // WHOLE
        level.proven_slots = max(report.slots_served, remembered)
    report = replace(report, slots=max(report.slots, level.proven_slots))
    if _step(state, level, sum(demand.values()), report, CLUSTER):
        _publish(state, threshold_for(demand, level.shed_slots))


def advance_scope(state: "ClusterState", key: str, demand: Mapping[int, int], slots: int, late: int) -> None:
    """The same for one zone's requests of one scope; `key` is `zone/scope`, `slots` the room they find.

    The level begins where they find no room that requests of other scopes have. What the cluster's level
    sheds of them already is not shed twice.
    """
    level = state.scoped_admission.get(key)
    wanted = sum(demand.values())
    if level is None and (wanted <= slots or late < LATE_SHARE):
        return
    level = state.scoped_admission.setdefault(key, AdmissionLevel())
    if not _step(state, level, wanted, LoadReport(slots, late), key):
        return
    threshold = threshold_for(demand, level.shed_slots)
    if not level.shed_slots and late < PROMPT_SHARE:
        del state.scoped_admission[key]
    if threshold != level.threshold:
        level.threshold, level.epoch, state.orders_epoch = threshold, state.epoch, state.epoch


def threshold_of(state: "ClusterState", zone: str, scope: str) -> SheddingThreshold:
    """What a node of that zone rejects of requests of that scope."""
    level = state.scoped_admission.get(f"{zone}/{scope}")
    cluster = state.admission.threshold
    return stricter(cluster, level.threshold) if level is not None else cluster


def override(state: "ClusterState", threshold: SheddingThreshold, lasts_us: int, author: str) -> None:
    """An operator's threshold, until its end; one with a weight below 0 ends it."""
    level = state.admission
    if threshold.weight < 0:
        level.override, level.override_until = SheddingThreshold(), 0
        state.note(f"{author} ends the cut")
        _publish(state, SheddingThreshold())
        return
    level.override, level.override_until = threshold, state.clock + lasts_us
    state.note(f"{author} cuts what is worth less than {threshold.weight / WHOLE:g}")
    _publish(state, stricter(level.threshold, level.override))


def _step(state: "ClusterState", level: AdmissionLevel, wanted: int, report: LoadReport, where: str) -> bool:
    """Move the slots shed by one step; whether a step was due.

    The fill share moves slowly, since an assessment is a second old; what is wanted beyond it is shed at
    once, or nearly.
    """
    now = state.clock
    passed = min(now - level.stepped_at, 2 * STEP_US)
    if passed < STEP_US:
        return False
    _take_over(level, now, wanted, report)
    if level.late < PROMPT_SHARE or 0 <= level.queueing < SHORT_QUEUEING:
        level.deep_until = min(level.deep_until, now)  # it has done its work
    deep = now < level.deep_until
    if not deep and not level.stale:  # slots that stand idle by a deep cut say nothing
        _adjust_fill(level, _has_idle_slots(level))
    admitted_share = WHOLE - DEEP_SHARE if deep else level.fill_share
    excess = max(0, wanted - level.slots * admitted_share // WHOLE) if level.active else 0
    reference = max(wanted, level.slots) * passed // 1_000_000
    most = level.shed_slots + reference * SHED_RATE // WHOLE
    least = level.shed_slots - reference * RELEASE_RATE // WHOLE
    level.shed_slots = min(max(min(excess, most), least), wanted)
    if deep:
        level.reason = "a deep cut: late though what is admitted fits"
    elif level.shed_slots:
        level.reason = f"more is wanted than there is; {level.late / 10:g}% late"
    else:
        level.reason = ""
    _watch_sustained_overload(state, level, where)
    return True


def _take_over(level: AdmissionLevel, now: int, wanted: int, report: LoadReport) -> None:
    level.stepped_at = now
    level.wanted_slots, level.slots = wanted, report.slots
    level.late, level.slots_in_use = report.late, report.slots_in_use
    level.previous_queueing, level.queueing = level.queueing, report.queueing
    level.rejected_locally = report.rejected_locally


def _has_idle_slots(level: AdmissionLevel) -> bool:
    if level.slots_in_use == UNKNOWN:
        return False
    prompt = level.late < LATE_SHARE or 0 <= level.queueing < SHORT_QUEUEING
    return level.slots_in_use * WHOLE < level.slots * (IDLE_SHARE if prompt else IDLE_SHARE_LATE)


def _adjust_fill(level: AdmissionLevel, idle: bool) -> None:
    """Lower the fill share while requests take too long, raise it while they do not."""
    pressed = _is_pressed(level)
    if (pressed or level.late >= LATE_SHARE) and level.wanted_slots > level.slots:
        level.active = True
    if not level.active:
        return
    known = level.queueing != UNKNOWN
    falling = known and level.queueing * WHOLE < level.previous_queueing * FALLING
    if pressed and not falling:
        level.fill_share = max(MIN_FILL, level.fill_share - level.fill_share * FILL_STEP_DOWN // WHOLE)
    elif known and _may_raise(level):
        level.fill_share += level.fill_share * _step_up(level, idle) // WHOLE
    elif not known and idle:  # however many are late: more would fit
        level.fill_share += level.fill_share // 3
    elif max(level.late, level.rejected_locally) < PROMPT_SHARE and level.fill_share < WHOLE:
        level.fill_share += level.fill_share * FILL_STEP_UP // WHOLE
    fits = level.wanted_slots * WHOLE <= level.slots * level.fill_share
    level.calm_steps = level.calm_steps + 1 if fits else 0
    if level.calm_steps >= CALM_STEPS and level.late < LATE_SHARE:
        level.active, level.fill_share, level.calm_steps = False, WHOLE, 0


def _is_pressed(level: AdmissionLevel) -> bool:
    """Whether requests take too long, or nodes reject many of those admitted."""
    if level.queueing == UNKNOWN:
        return level.late >= LATE_SHARE or level.rejected_locally >= LATE_SHARE
    if level.queueing >= LONG_QUEUEING and level.late >= PROMPT_SHARE:
        return True
    # where requests hardly queue, the nodes' own estimates may be wrong
    return level.rejected_locally >= LATE_SHARE and level.queueing >= NO_QUEUEING


def _may_raise(level: AdmissionLevel) -> bool:
    if level.queueing >= SHORT_QUEUEING or not (level.shed_slots or level.fill_share < WHOLE):
        return False
    return level.rejected_locally < FEW_REJECTED_LOCALLY or level.queueing < NO_QUEUEING


def _step_up(level: AdmissionLevel, idle: bool) -> int:
    """Thousandths by which the fill share rises while requests queue shortly: fast where they hardly do."""
    if level.queueing < NO_QUEUEING or (idle and level.fill_share < WHOLE):
        return FILL_STEP_UP_SHORT
    if idle:
        return 2 * FILL_STEP_UP
    return FILL_STEP_UP if level.fill_share < FULL_FILL else 0


def _watch_sustained_overload(state: "ClusterState", level: AdmissionLevel, where: str) -> None:
    """Begin a deep cut once most requests were late for long though what is admitted fits.

    Queues and repeated requests sustain such an overload.
    """
    now = state.clock
    admitted = (level.wanted_slots - level.shed_slots) * WHOLE
    fits = level.slots * WHOLE // 2 <= admitted <= level.slots * FITTING_SHARE
    short = 0 <= level.queueing < LONG_QUEUEING
    if level.late < SUSTAINED_SHARE or short or not fits or now < level.deep_until:
        level.late_since = -1
        return
    level.late_since = level.late_since if level.late_since >= 0 else now
    if now - level.late_since < SUSTAINED_US or now < level.deep_rest_until:
        return
    level.deep_until, level.deep_rest_until = now + DEEP_US, now + DEEP_US + DEEP_REST_US
    level.late_since = -1
    level.active = True
    state.note(
        f"a deep cut in {where} for {DEEP_US / 1e6:g} s: {level.late / 10:g}% late, though what is "
        "admitted fits"
    )


def _publish(state: "ClusterState", threshold: SheddingThreshold) -> None:
    """Let the cluster's threshold hold, or an operator's where it is stricter; tiny changes are left out."""
    level = state.admission
    nothing = SheddingThreshold()
    if state.clock < level.override_until:
        threshold = stricter(threshold, level.override)
    elif level.override != nothing:
        level.override = nothing
        state.note("the cut by hand has ended")
    same_weight = threshold.weight == level.threshold.weight
    if same_weight and abs(threshold.share - level.threshold.share) < SAME_SHARE and threshold != nothing:
        return
    if threshold != level.threshold:
        level.threshold, level.epoch = threshold, state.epoch
        state.orders_epoch = state.epoch
