"""Whether grants, refusals and returns, as their askers saw them, fit one order that keeps the limits.

After Wing and Gong (1993): each operation takes effect at one moment between its asking and its answer; the
search tries those that may come next, and remembers what it has tried. A request without an answer may have
taken effect or not.
"""

from typing import NamedTuple

from cedarmill.lab.cluster.limit_scopes import allowed, scope_of
from cedarmill.lab.cluster.record import Record

NEVER = 1 << 62
MAX_STATES = 400_000  # that are tried before the search gives up, and says so
ANSWERS = {"taken": "grant", "refused": "refuse"}  # the operation that an event of a history answers


class TooManyStates(OverflowError):
    """The search was given up."""


class Operation(NamedTuple):
    """`kind`: grant, refuse or give; `optional`: it may not have happened at all."""

    start: int
    end: int
    kind: str
    target: str
    optional: bool = False


class SearchState(NamedTuple):
    """Which operations have taken effect, a bit each by their number, and what is out then."""

    done: int
    out: frozenset[str]


def operations(record: Record) -> list[Operation]:
    """The operations of the history, by when they were asked."""
    asked: dict[tuple[str, str], int] = {}
    giving: dict[tuple[str, str], int] = {}
    answered: list[Operation] = []
    for event in record.events:
        key = event.who, event.target
        if event.what == "asked":
            asked[key] = event.at
        elif event.what in ANSWERS and key in asked:
            answered.append(Operation(asked.pop(key), event.at, ANSWERS[event.what], event.target))
        elif event.what == "giving":
            giving[key] = event.at
        elif event.what == "given" and key in giving:
            answered.append(Operation(giving.pop(key), event.at, "give", event.target))
    open_ones = [Operation(at, NEVER, "grant", target, True) for (_, target), at in asked.items()]
    open_ones += [Operation(at, NEVER, "give", target, True) for (_, target), at in giving.items()]
    return sorted(answered + open_ones)


class OrderSearch:
    """One search for an order."""

    def __init__(self, record: Record, operations: list[Operation]) -> None:
        self.operations = operations
        self.tried: set[SearchState] = set()
        limits = [limit for limit in record.limits if limit.kind == "executor" and limit.capacity_left < 0]
        names = sorted({operation.target for operation in operations})
        self.scopes = {name: [(limit, scope_of(record, limit, name)) for limit in limits] for name in names}
        self.caps = {
            (limit, scope): allowed(record, limit, scope)
            for scopes in self.scopes.values()
            for limit, scope in scopes
        }

    def apply(self, out: frozenset[str], operation: Operation) -> frozenset[str] | None:
        """What is out after an operation; None where it cannot take effect now."""
        target = operation.target
        if operation.kind == "give":
            return out - {target} if target in out else None
        if operation.kind == "refuse":
            return out  # for one that waits already, too: nothing to hold against it
        if target in out:
            return None
        after = out | {target}
        for scope in self.scopes[target]:
            if sum(scope in self.scopes[name] for name in after) > self.caps[scope]:
                return None
        return after

    def exists(self) -> bool:
        """Whether there is an order; raises TooManyStates when the search is given up."""
        stack = [SearchState(0, frozenset())]
        while stack:
            state = stack.pop()
            if state in self.tried:
                continue
            self.tried.add(state)
            if len(self.tried) > MAX_STATES:
                raise TooManyStates
            if self._is_complete(state):
                return True
            stack += self._next_states(state)
        return False

    def _is_complete(self, state: SearchState) -> bool:
        return all(
            state.done >> number & 1 or operation.optional for number, operation in enumerate(self.operations)
        )

    def _next_states(self, state: SearchState) -> list[SearchState]:
        """Those that may take effect next: asked before all that are left have been answered."""
        left = [(n, operation) for n, operation in enumerate(self.operations) if not state.done >> n & 1]
        first_end = min((operation.end for _, operation in left), default=NEVER)
        states = []
        for number, operation in left:
            if operation.start > first_end:
                break
            if (after := self.apply(state.out, operation)) is not None:
                states.append(SearchState(state.done | 1 << number, after))
        return states


def find_breach(record: Record) -> str:
    """What is wrong, in words; an empty text where an order was found."""
    asked = operations(record)
    try:
        fits = OrderSearch(record, asked).exists()
    except TooManyStates:
        return f"no order of {len(asked)} operations found among {MAX_STATES} states: undecided"
    return "" if fits else f"no order of {len(asked)} operations keeps the limits"
