"""Whether a run kept the rules: each is a function over the story, and names every breach it finds.

The rules are those of the operators' brief and the simulator's page (`Four things never to do`), seen from
outside: at the clients and at the boxes.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator

from cedarmill.lab.history import History, Visit

SLACK_US = 50_000  # past a budget in which an answer still counts (protocol page)
DRAIN_US = 1_500_000  # after a drain was told, in which work may still come
LEAVE_US = 5_000  # after a client left: what was on its way is not called back
LATE_TIMES = 4  # the node waits its turn on the same machine as we do: so many times our own loop's lateness


def one_final_answer(story: History) -> Iterator[str]:
    """Each call that stayed has exactly one, in time, unless its connection broke; who left has none."""
    for call in story.calls:
        if len(call.answers) > 1:
            yield f"call {call.id}: {len(call.answers)} answers"
        if call.left is None and not call.answers and not call.broken:
            yield f"call {call.id}: no answer"
        late = [answer for answer in call.answers if answer.at > call.sent + call.budget + SLACK_US]
        if late and story.kept_promise:
            yield f"call {call.id}: answered {(late[0].at - call.sent) / 1e6:.3f} s after it was sent"
        if call.left is not None and any(answer.at > call.left for answer in call.answers):
            yield f"call {call.id}: answered after it left"


def true_results(story: History) -> Iterator[str]:
    """A served call got what a box made for that very call."""
    made = {f"{visit.id} by {visit.executor}" for visit in story.visits if visit.outcome == "done"}
    for call in story.calls:
        for answer in call.answers:
            if answer.status == 200 and (answer.result not in made or not answer.result.startswith(call.id)):
                yield f"call {call.id}: served with {answer.result!r}, which no box made for it"


def _may_have_run(story: History) -> dict[int, list[Visit]]:
    """The visits of each job that may have run, in order, over all tries of its client."""
    jobs = {call.id: call.job for call in story.calls}
    found: dict[int, list[Visit]] = defaultdict(list)
    for visit in sorted(story.visits, key=lambda visit: visit.at):
        if visit.outcome != "rejected":
            found[jobs.get(visit.id, -1)].append(visit)
    return found


def no_forbidden_repeat(story: History) -> Iterator[str]:
    """Unsafe: once. Keyed: again only in the same zone, and within its window."""
    for job, visits in _may_have_run(story).items():
        rules = story.classes.get(visits[0].job_class)
        if rules is None or job < 0:
            yield f"job {job}: a box was sent what no client asked for"
            continue
        for again in visits[1:]:
            if rules.effect == "unsafe":
                yield f"job {job}: {again.job_class} reached {again.executor} after {visits[0].executor}"
            elif (
                rules.effect == "keyed" and again.id == visits[0].id
            ):  # a client's own retry is its own affair
                far = again.zone != visits[0].zone
                if far or again.at > visits[0].at + rules.window:
                    how = "in another zone" if far else "past its window"
                    yield f"job {job}: {again.job_class} again at {again.executor}, {how}"


def nothing_after_a_drain(story: History) -> Iterator[str]:
    """No box gets work later than DRAIN_US after its drain was told."""
    told = {drain.executor: drain.at for drain in story.drains}
    for visit in story.visits:
        if visit.executor in told and visit.at > told[visit.executor] + DRAIN_US:
            after = (visit.at - told[visit.executor]) / 1e6
            yield f"call {visit.id}: reached {visit.executor} {after:.3f} s after its drain"


def late_starts(story: History) -> list[tuple[Visit, int]]:
    """Attempts whose last byte reached a box though the client had left before, and how long before (us).

    Not those that a node could not have called back: within LEAVE_US, and on a machine that ran late no
    sooner than it let the node hear of the leave.
    """
    left = {call.id: call.left for call in story.calls if call.left is not None}
    grace = LEAVE_US + LATE_TIMES * story.lag
    return [(visit, visit.at - left[visit.id]) for visit in story.visits
            if visit.id in left and visit.at > left[visit.id] + grace]  # fmt: skip


def nothing_for_who_left(story: History) -> Iterator[str]:
    """No attempt starts for a client that has left, where nodes stop work for those."""
    for visit, after in late_starts(story) if story.stops else ():
        yield f"call {visit.id}: reached {visit.executor} {after / 1e3:.1f} ms after its client left"


RULES: dict[str, Callable[[History], Iterator[str]]] = {
    "exactly one final answer": one_final_answer,
    "served with true results": true_results,
    "no forbidden repeat": no_forbidden_repeat,
    "nothing new after a drain": nothing_after_a_drain,
    "nothing started for who has left": nothing_for_who_left,
}


def check_history(story: History) -> dict[str, list[str]]:
    """The breaches of each rule, by its name."""
    return {name: list(rule(story)) for name, rule in RULES.items()}
