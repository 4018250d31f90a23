"""Judges a soak run from outside, by what clients, executors, discovery and the platform saw.

The limits are those of the protocol. A measured lateness of the stand-ins themselves is added to each, since
the time of a record then says less; a run that stalls the node's system calls adds that stall.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from tests.soak.history import (
    ClientAnswered,
    ClientCutOff,
    ClientGaveUp,
    ClientLeft,
    ClientSent,
    ClientSurplus,
    DiscoveryReachable,
    ExecutorBroke,
    ExecutorEnded,
    ExecutorLost,
    ExecutorReceived,
    History,
    ListingWritten,
    NodeEnded,
    NodeHeldUp,
    NodeQuiet,
    NodeReady,
    NodeStarted,
    RunStuck,
    SignalSent,
    StandInsLate,
    StatusChanged,
    to_json,
)
from tests.soak.schedule import PAGE_STALL_S, Schedule

ANSWER_GRACE_S = 0.5  # an answer counts until this long after its time
CROSSING_S = 0.5  # a request that crosses the end of a resting connection is cut off within this time
NEW_CONNECTIONS_S = 0.4  # after SIGTERM clients open new connections for this long
KILL_MAY_LOSE_S = 0.7  # SIGKILL may lose requests that came later than this after SIGTERM
LEFT_GRACE_S = 0.1  # no attempt begins later than this after its client has left
DEADLINE_SLACK_S = 0.15  # the time that an attempt tells its executor may exceed what is left by this
TOLD_WITHIN_S = 6.0  # a change counts as told this long after discovery had it and could be reached
SOCKET_SLACK_S = 0.05  # each time limit of the simulator is longer by this on sockets
READY_WITHIN_S = 10.0
NEAR_DEADLINE_S = 0.3  # an attempt that ends this close to its deadline may have timed out
PREEMPTION_S = 0.5  # a request that preempts another one reaches the executor within this time
SIGKILL_EXIT_CODE = -9
MAX_DESCRIBED_VIOLATIONS = 5  # of one run
REFUSED = (429, 503)
FAILED = 502


class Rule(Enum):
    """The rules that a run is judged by."""

    ANSWERED_ONCE = "each request gets one final answer in time"
    EFFECT_ONCE = "no effect is repeated, and each answer is the request's own"
    LIMITS_KEPT = "deadlines passed on and drains are kept"
    NO_CAUSELESS_FAILURE = "no request at a well executor is lost, and each failure has a reason"
    PROCESS_SOUND = "processes start, end and clean up as documented"


@dataclass(frozen=True)
class Violation:
    """One broken rule."""

    rule: Rule
    call_id: str  # empty if it concerns no single request
    text: str


@dataclass
class RequestView:
    """What was seen of one request."""

    sent: ClientSent
    answers: list[ClientAnswered] = field(default_factory=list)
    surplus: list[ClientSurplus] = field(default_factory=list)
    left: ClientLeft | None = None
    cut_off: ClientCutOff | None = None
    gave_up: ClientGaveUp | None = None
    received: list[ExecutorReceived] = field(default_factory=list)
    ended: list[ExecutorEnded] = field(default_factory=list)
    broke: list[ExecutorBroke] = field(default_factory=list)
    lost: list[ExecutorLost] = field(default_factory=list)

    @property
    def due(self) -> float:
        """Return when the client's time is over."""
        return self.sent.at + self.sent.budget_s

    @property
    def may_have_run(self) -> list[ExecutorReceived]:
        """Return the attempts that were received and not handed back unstarted."""
        rejected = [ended.executor for ended in self.ended if ended.state == "rejected"]
        found = []
        for attempt in self.received:
            if attempt.executor in rejected:
                rejected.remove(attempt.executor)
            else:
                found.append(attempt)
        return found


class RunView:
    """The records of a run, arranged for the rules."""

    def __init__(self, history: History, schedule: Schedule) -> None:
        self.history, self.schedule = history, schedule
        self.late_s = max((record.late_s for record in history.of(StandInsLate)), default=0.0)
        self.stall_s = PAGE_STALL_S if schedule.is_under_faults else 0.0
        self.held_up = history.of(NodeHeldUp)
        self.requests = {sent.call_id: RequestView(sent) for sent in history.of(ClientSent)}
        self.starts = [record.at for record in history.of(NodeStarted)]
        self.terminated_at: dict[int, float] = {}
        for signal in history.of(SignalSent):
            if signal.name == "SIGTERM":
                self.terminated_at.setdefault(signal.process, signal.at)
        self.ready_at = {record.process: record.at for record in history.of(NodeReady)}
        self.exit_codes = {record.process: record.exit_code for record in history.of(NodeEnded)}
        self._arrange()

    def _arrange(self) -> None:
        lists = {
            ClientAnswered: "answers",
            ClientSurplus: "surplus",
            ExecutorReceived: "received",
            ExecutorEnded: "ended",
            ExecutorBroke: "broke",
            ExecutorLost: "lost",
        }
        singles = {ClientLeft: "left", ClientCutOff: "cut_off", ClientGaveUp: "gave_up"}
        for record in self.history.of(*lists, *singles):
            request = self.requests.get(record.call_id)
            if request is None:
                continue
            if name := singles.get(type(record)):
                setattr(request, name, record)
            else:
                getattr(request, lists[type(record)]).append(record)

    def process_at(self, at: float) -> int:
        """Return the number of the process that runs at a time."""
        return max(0, bisect_right(self.starts, at) - 1)

    def since_termination(self, at: float) -> float:
        """Return the time since SIGTERM of the process that runs at a time; negative before it."""
        return at - self.terminated_at.get(self.process_at(at), float("inf"))

    def allowance_s(self, begin: float, end: float) -> float:
        """Return the time by which records between two times may be late without the node's doing."""
        held_s = sum(r.waited_s for r in self.held_up if begin <= r.at <= end + r.waited_s)
        return self.late_s + self.stall_s + held_s

    def is_owed_on_new_connection(self, opened_at: float) -> bool:
        """Return whether a process had to accept a connection that was opened at a time.

        Clients may open connections for a while after SIGTERM. A socket that the platform holds takes
        connections at any time, and a process that has been told to end leaves them to the next one.
        """
        grace_s = 0.0 if self.schedule.held_socket else NEW_CONNECTIONS_S
        return self.since_termination(opened_at) < grace_s

    def waited_for_a_process(self, request: RequestView, attempt: ExecutorReceived) -> bool:
        """Return whether a request waited at the platform's socket while no process was ready.

        The next process cannot know for how long.
        """
        return request.sent.at < self.ready_at.get(self.process_at(attempt.began_at), float("inf"))

    def kill_may_lose(self, request: RequestView) -> bool:
        """Return whether SIGKILL ended the process of a request that came late after SIGTERM."""
        was_killed = self.exit_codes.get(self.process_at(request.sent.at)) == SIGKILL_EXIT_CODE
        return was_killed and self.since_termination(request.sent.at) > KILL_MAY_LOSE_S

    def has_trouble(self, executor: int, until: float) -> bool:
        """Return whether the schedule has made an executor hang or leave before a time."""
        return any(
            record.executor == executor and not record.call_id and record.at <= until
            for record in self.history.of(ExecutorBroke)
        )


# Rule 1.


def check_answers(run: RunView) -> Iterator[Violation]:
    """Each request whose client stays gets exactly one final answer in its time plus 0.5 s."""
    for call_id, request in run.requests.items():
        text = _unanswered_text(run, request)
        if text:
            yield Violation(Rule.ANSWERED_ONCE, call_id, text)
        limit = request.due + ANSWER_GRACE_S + run.allowance_s(request.sent.at, request.due)
        if request.answers and request.answers[0].at > limit:
            late_s = request.answers[0].at - request.due
            yield Violation(Rule.ANSWERED_ONCE, call_id, f"answered {late_s:.3f} s after its time")
        if len(request.answers) > 1 or request.surplus:
            yield Violation(Rule.ANSWERED_ONCE, call_id, "a second answer on its connection")


def _unanswered_text(run: RunView, request: RequestView) -> str:
    if request.answers or request.left is not None or run.kill_may_lose(request):
        return ""
    is_owed = not request.sent.is_first or run.is_owed_on_new_connection(request.sent.opened_at)
    if not request.received and not is_owed:
        return ""
    if request.cut_off is None:
        return "no answer" if request.gave_up is not None else ""
    if request.received:
        return "its connection was closed without an answer, and an executor had received it"
    waited_s = request.cut_off.at - request.sent.at
    if not request.sent.is_first:
        if waited_s <= CROSSING_S + run.late_s:
            return ""
        return f"its connection was closed without an answer after {waited_s:.3f} s"
    if run.schedule.may_fail_to_open_sessions:
        return ""
    return "its new connection was closed without an answer"


# Rule 2.


def check_effects(run: RunView) -> Iterator[Violation]:
    """No effect is repeated, nothing starts for a client that has left, and answers are not mixed up."""
    for call_id, request in run.requests.items():
        for text in (
            *_repeat_texts(run, request),
            *_refusal_texts(run, request),
            *_left_texts(run, request),
            *_body_texts(request),
        ):
            yield Violation(Rule.EFFECT_ONCE, call_id, text)


def _repeat_texts(run: RunView, request: RequestView) -> Iterator[str]:
    plan, attempts = run.schedule.class_plan(request.sent.job_class), request.may_have_run
    if plan.repeat == "single_shot" and len(attempts) > 1:
        yield f"received by {len(attempts)} executors, and must not be repeated"
    if plan.repeat == "guarded" and attempts:
        window_end = attempts[0].at + plan.repeat_window_s
        for attempt in attempts[1:]:
            if attempt.began_at > window_end + run.allowance_s(attempts[0].at, window_end):
                yield f"repeated {attempt.began_at - window_end:.3f} s after its window"


def _refusal_texts(run: RunView, request: RequestView) -> Iterator[str]:
    plan = run.schedule.class_plan(request.sent.job_class)
    is_harmless = plan.repeat == "free" or (plan.repeat == "guarded" and plan.group == "all")
    is_refused = any(answer.status in REFUSED for answer in request.answers)
    if is_refused and not is_harmless and request.may_have_run:
        yield "refused as safe to repeat after an executor had received it"


def _left_texts(run: RunView, request: RequestView) -> Iterator[str]:
    if request.left is None:
        return
    for attempt in request.received:
        if attempt.began_at > request.left.at + LEFT_GRACE_S + run.allowance_s(
            request.left.at, attempt.began_at
        ):
            yield f"an attempt began {attempt.began_at - request.left.at:.3f} s after its client had left"


def _body_texts(request: RequestView) -> Iterator[str]:
    for answer in request.answers:
        if answer.status == 200 and answer.body != f"result of {request.sent.call_id}":
            yield f"answered with another request's result: {answer.body!r}"


# Rule 3.


def check_limits(run: RunView) -> Iterator[Violation]:
    """An attempt tells its executor no more time than is left, and none goes to a drained executor."""
    listings, changes = run.history.of(ListingWritten), run.history.of(StatusChanged)
    reachable = run.history.of(DiscoveryReachable)
    for call_id, request in run.requests.items():
        for attempt in request.received:
            allowance_s = run.allowance_s(request.sent.at, attempt.began_at)
            allowed_s = request.due - attempt.began_at + DEADLINE_SLACK_S + allowance_s
            if attempt.budget_s > allowed_s and not run.waited_for_a_process(request, attempt):
                text = f"told an executor {attempt.budget_s:.3f} s where {allowed_s:.3f} s are allowed"
                yield Violation(Rule.LIMITS_KEPT, call_id, text)
            over_s = attempt.began_at - _send_limit(run, attempt, listings, changes, reachable)
            if over_s > 0:
                text = f"sent to drained executor {attempt.executor}, {over_s:.3f} s past the limit"
                yield Violation(Rule.LIMITS_KEPT, call_id, text)


def _send_limit(
    run: RunView,
    attempt: ExecutorReceived,
    listings: list[ListingWritten],
    changes: list[StatusChanged],
    reachable: list[DiscoveryReachable],
) -> float:
    """Return the time until which an attempt may begin at its executor, as the list has it by then."""
    own_changes = [c for c in changes if c.executor == attempt.executor and c.at <= attempt.began_at]
    if not own_changes or own_changes[-1].status == "SERVING":
        return float("inf")
    first = own_changes[-1]
    for change in reversed(own_changes):  # a drain that becomes a leave is told from the drain on
        if change.status == "SERVING":
            break
        first = change
    started_at = run.starts[run.process_at(attempt.began_at)]
    known_at = max(first.at, started_at)
    last_reachable = [r for r in reachable if r.at <= attempt.began_at]
    if last_reachable and not last_reachable[-1].is_reachable:
        return float("inf")  # the change may not have been told
    reachable_at = last_reachable[-1].at if last_reachable else 0.0
    told_at = max(known_at, reachable_at) + TOLD_WITHIN_S
    written = [r.at for r in listings if r.executor == attempt.executor and r.status != "SERVING"]
    told_at = min([told_at, *(at for at in written if at >= known_at)])
    stop_within_s = run.schedule.settings()["rules"]["stop_sending_within"] / 1e6
    return told_at + stop_within_s + SOCKET_SLACK_S + run.late_s


# Rule 4.


def check_causes(run: RunView) -> Iterator[Violation]:
    """No executor that is well loses a request to the node, and each failure has a reason in the schedule."""
    arrivals = defaultdict(list)
    for attempt in run.history.of(ExecutorReceived):
        arrivals[attempt.executor].append(attempt)
    for call_id, request in run.requests.items():
        for lost in request.lost:
            if not _explains_loss(run, request, lost, arrivals[lost.executor]):
                text = f"the node closed its connection at executor {lost.executor}, which is well"
                yield Violation(Rule.NO_CAUSELESS_FAILURE, call_id, text)
        for answer in request.answers:
            if answer.status == FAILED and not _explains_failure(run, request, answer):
                text = "failed without a reason"
                if not request.received:
                    text = "failed, and never reached an executor"
                yield Violation(Rule.NO_CAUSELESS_FAILURE, call_id, text)


def _explains_loss(
    run: RunView, request: RequestView, lost: ExecutorLost, arrivals: list[ExecutorReceived]
) -> bool:
    if request.left is not None and request.left.at <= lost.at + run.late_s:
        return True
    if lost.at >= request.due - NEAR_DEADLINE_S or run.has_trouble(lost.executor, lost.at):
        return True
    if run.since_termination(lost.at) >= run.schedule.kill_delay_s - NEAR_DEADLINE_S:
        return True  # all requests are answered before the kill
    return _is_preempted(run, request, lost, arrivals)


def _is_preempted(
    run: RunView, request: RequestView, lost: ExecutorLost, arrivals: list[ExecutorReceived]
) -> bool:
    value = run.schedule.class_plan(request.sent.job_class).value
    for attempt in arrivals:
        other = run.requests.get(attempt.call_id)
        if other is None or abs(attempt.began_at - lost.at) > PREEMPTION_S:
            continue
        if run.schedule.class_plan(other.sent.job_class).value > value:
            return True
    return False


def _explains_failure(run: RunView, request: RequestView, answer: ClientAnswered) -> bool:
    if request.broke or request.lost or any(ended.state == "failed" for ended in request.ended):
        return True
    if any(run.has_trouble(attempt.executor, answer.at) for attempt in request.received):
        return True
    is_near_kill = run.since_termination(answer.at) >= run.schedule.kill_delay_s - NEAR_DEADLINE_S
    return answer.at >= request.due - NEAR_DEADLINE_S or (is_near_kill and bool(request.received))


# Rule 5.


def check_processes(run: RunView) -> Iterator[Violation]:
    """Processes are ready in time, end by themselves with exit code 0, and leave no descriptor behind."""
    for started in run.history.of(NodeStarted):
        waited_s = run.ready_at.get(started.process, float("inf")) - started.at
        if waited_s > READY_WITHIN_S:
            yield Violation(Rule.PROCESS_SOUND, "", f"process {started.process} was not ready in time")
    for ended in run.history.of(NodeEnded):
        if ended.exit_code:
            text = f"process {ended.process} ended with code {ended.exit_code}"
            yield Violation(Rule.PROCESS_SOUND, "", text)
        for line in ended.bad_lines:
            yield Violation(Rule.PROCESS_SOUND, "", f"process {ended.process} logged: {line}")
    if run.history.of(RunStuck):
        yield Violation(Rule.PROCESS_SOUND, "", "the run did not end in its time")
    for quiet in run.history.of(NodeQuiet):
        if quiet.surplus_descriptors:
            text = f"{quiet.surplus_descriptors} descriptors are left without a request or a client"
            yield Violation(Rule.PROCESS_SOUND, "", text)


CHECKS: tuple[Callable[[RunView], Iterator[Violation]], ...] = (
    check_answers,
    check_effects,
    check_limits,
    check_causes,
    check_processes,
)


def check(history: History, schedule: Schedule) -> list[Violation]:
    """Return all violations of a run."""
    run = RunView(history, schedule)
    return [violation for rule in CHECKS for violation in rule(run)]


def describe_violations(history: History, violations: list[Violation]) -> list[str]:
    """Return lines with the first violations, each with the records of its request in order."""
    lines = []
    for violation in violations[:MAX_DESCRIBED_VIOLATIONS]:
        lines.append(f"  {violation.rule.value}: {violation.call_id} {violation.text}")
        if violation.call_id:
            lines += [f"    {to_json(record)}" for record in history.about(violation.call_id)]
    return lines
