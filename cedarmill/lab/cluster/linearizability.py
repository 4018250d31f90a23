"""Whether grants, refusals and returns, as their askers saw them, fit one order that keeps the limits.

After Wing and Gong (1993): each operation takes effect at one moment between its asking and its answer; the
search tries those that may come next, and remembers what it has tried. A request without an answer may have
taken effect or not.
"""

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cedarmill.lab.cluster.invariants import Record

NEVER = 1 << 62
MOST = 400_000  # states that are tried before the search gives up, and says so


class Operation(NamedTuple):
    """`kind`: grant, refuse or give; `optional`: it may not have happened at all."""

    start: int
    end: int
    kind: str
    target: str
    optional: bool = False


def operations(record: "Record") -> list[Operation]:
    """The operations of the history, by when they were asked."""
    asked: dict[tuple[str, str], int] = {}
    giving: dict[tuple[str, str], int] = {}
    found: list[Operation] = []
    for event in record.events:
        key = event.who, event.target
        if event.what == "asked":
            asked[key] = event.at
        elif event.what == "taken" and key in asked:
            found.append(Operation(asked.pop(key), event.at, "grant", event.target))
        elif event.what == "refused" and key in asked:
            found.append(Operation(asked.pop(key), event.at, "refuse", event.target))
        elif event.what == "giving":
            giving[key] = event.at
        elif event.what == "given" and key in giving:
            found.append(Operation(giving.pop(key), event.at, "give", event.target))
    found += [Operation(at, NEVER, "grant", target, True) for (_, target), at in asked.items()]
    found += [Operation(at, NEVER, "give", target, True) for (_, target), at in giving.items()]
    return sorted(found)


class Search:
    """One search for an order."""

    def __init__(self, record: "Record", ops: list[Operation]) -> None:
        from cedarmill.lab.cluster.invariants import allowed, scope

        self.ops, self.tried = ops, set()
        self.whole = (1 << len(ops)) - 1
        limits = [limit for limit in record.limits if limit.kind == "executor" and limit.capacity_left < 0]
        names = sorted({op.target for op in ops})
        self.scopes = {name: [(limit, scope(record, limit, name)) for limit in limits] for name in names}
        self.caps = {at: allowed(record, *at) for pairs in self.scopes.values() for at in pairs}

    def fits(self, out: frozenset[str], op: Operation) -> frozenset[str] | None:
        """What is out after an operation; None where it cannot take effect now."""
        if op.kind == "give":
            return out - {op.target} if op.target in out else None
        if op.kind == "refuse":
            return out  # for one that waits already, too: nothing to hold against it
        if op.target in out:
            return None
        after = out | {op.target}
        for at in self.scopes[op.target]:
            if sum(at in self.scopes[name] for name in after) > self.caps[at]:
                return None
        return after

    def found(self) -> bool:
        """Whether there is an order; raises OverflowError when the search is given up."""
        stack = [(0, frozenset())]
        while stack:
            state = stack.pop()
            if state in self.tried:
                continue
            self.tried.add(state)
            if len(self.tried) > MOST:
                raise OverflowError
            done, out = state
            if all(done >> n & 1 or op.optional for n, op in enumerate(self.ops)):
                return True
            stack += self._next(done, out)
        return False

    def _next(self, done: int, out: frozenset[str]) -> list[tuple[int, frozenset[str]]]:
        """Those that may take effect next: asked before all that are left have been answered."""
        first = min((op.end for n, op in enumerate(self.ops) if not done >> n & 1), default=NEVER)
        found = []
        for number, op in enumerate(self.ops):
            if op.start > first:
                break
            if not done >> number & 1 and (after := self.fits(out, op)) is not None:
                found.append((done | 1 << number, after))
        return found


def fault(record: "Record") -> str:
    """An empty text where an order was found."""
    ops = operations(record)
    try:
        return "" if Search(record, ops).found() else f"no order of {len(ops)} operations keeps the limits"
    except OverflowError:
        return f"no order of {len(ops)} operations found among {MOST} states: undecided"
