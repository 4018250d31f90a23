"""Whether a run kept the rules: each is a function over the history, and names every breach it finds.

The rules are those of the operators' brief and the simulator's page (`Four things never to do`), seen from
outside: at the clients and at the executors.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator

from cedarmill.lab.history import ClassRules, History, Visit

SLACK_US = 50_000  # past a budget in which an answer still counts (protocol page)
DRAIN_US = 1_500_000  # after a drain was told, in which work may still come
LEAVE_US = 5_000  # after a client left: what was on its way is not called back
LATE_TIMES = 4  # the node waits its turn on the same machine as we do: so many times our own loop's lateness
UNKNOWN_JOB = -1  # of a visit that no client asked for


def one_final_answer(history: History) -> Iterator[str]:
    """Each call that stayed has exactly one, in time, unless its connection broke; who left has none."""
    for call in history.calls:
        if len(call.answers) > 1:
            yield f"call {call.id}: {len(call.answers)} answers"
        if call.left is None and not call.answers and not call.broken:
            yield f"call {call.id}: no answer"
        late = [answer for answer in call.answers if answer.at > call.sent + call.budget + SLACK_US]
        if late and history.kept_promise:
            yield f"call {call.id}: answered {(late[0].at - call.sent) / 1e6:.3f} s after it was sent"
        if call.left is not None and any(answer.at > call.left for answer in call.answers):
            yield f"call {call.id}: answered after it left"


def true_results(history: History) -> Iterator[str]:
    """A served call got what an executor made for that very call."""
    made = {f"{visit.id} by {visit.executor}" for visit in history.visits if visit.outcome == "done"}
    for call in history.calls:
        for answer in call.answers:
            if answer.status == 200 and (answer.result not in made or not answer.result.startswith(call.id)):
                yield f"call {call.id}: served with {answer.result!r}, which no box made for it"


def _may_have_run(history: History) -> dict[int, list[Visit]]:
    """The visits of each job that may have run, in order, over all tries of its client."""
    jobs = {call.id: call.job for call in history.calls}
    by_job: dict[int, list[Visit]] = defaultdict(list)
    for visit in sorted(history.visits, key=lambda visit: visit.at):
        if visit.outcome != "rejected":
            by_job[jobs.get(visit.id, UNKNOWN_JOB)].append(visit)
    return by_job


def no_forbidden_repeat(history: History) -> Iterator[str]:
    """Unsafe: once. Keyed: again only in the same zone, and within its window."""
    for job, visits in _may_have_run(history).items():
        rules = history.classes.get(visits[0].job_class)
        if rules is None or job == UNKNOWN_JOB:
            yield f"job {job}: a box was sent what no client asked for"
            continue
        for again in visits[1:]:
            if breach := _forbidden_repeat(rules, visits[0], again):
                yield f"job {job}: {again.job_class} {breach}"


def _forbidden_repeat(rules: ClassRules, first: Visit, again: Visit) -> str:
    """How a further visit of a job breaks the rules of its class; empty where it does not."""
    if rules.effect == "unsafe":
        return f"reached {again.executor} after {first.executor}"
    if rules.effect == "keyed" and again.id == first.id:  # a client's own retry is its own affair
        if again.zone != first.zone:
            return f"again at {again.executor}, in another zone"
        if again.at > first.at + rules.window:
            return f"again at {again.executor}, past its window"
    return ""


def nothing_after_a_drain(history: History) -> Iterator[str]:
    """No executor gets work later than DRAIN_US after its drain was told."""
    told = {drain.executor: drain.at for drain in history.drains}
    for visit in history.visits:
        if visit.executor in told and visit.at > told[visit.executor] + DRAIN_US:
            after = (visit.at - told[visit.executor]) / 1e6
            yield f"call {visit.id}: reached {visit.executor} {after:.3f} s after its drain"


def late_starts(history: History) -> list[tuple[Visit, int]]:
    """Attempts whose last byte reached an executor though the client had left; how long before (us).

    Not those that a node could not have called back: within LEAVE_US, and on a machine that ran late no
    sooner than it let the node hear of the leave.
    """
    left = history.leave_times()
    grace = LEAVE_US + LATE_TIMES * history.lag
    return [
        (visit, visit.at - left[visit.id])
        for visit in history.visits
        if visit.id in left and visit.at > left[visit.id] + grace
    ]


def nothing_for_who_left(history: History) -> Iterator[str]:
    """No attempt starts for a client that has left, where nodes stop work for those."""
    for visit, after in late_starts(history) if history.stops else ():
        yield f"call {visit.id}: reached {visit.executor} {after / 1e3:.1f} ms after its client left"


RULES: dict[str, Callable[[History], Iterator[str]]] = {
    "exactly one final answer": one_final_answer,
    "served with true results": true_results,
    "no forbidden repeat": no_forbidden_repeat,
    "nothing new after a drain": nothing_after_a_drain,
    "nothing started for who has left": nothing_for_who_left,
}


def check_history(history: History) -> dict[str, list[str]]:
    """The breaches of each rule, by its name."""
    return {name: list(rule(history)) for name, rule in RULES.items()}
