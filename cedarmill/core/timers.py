"""The one sorted structure that holds every deadline of a node."""

from collections.abc import Callable, Iterator

from sortedcontainers import SortedDict

Deadline = tuple[int, int]  # when it is due (us), and its place among equals


class Deadlines:
    """Calls to make, sorted by the time they are due."""

    def __init__(self) -> None:
        self._calls = SortedDict()
        self._count = 0
        self.next: int | None = None  # when the earliest is due: asked after every callback, so kept

    def add(self, at: int, call: Callable[[int], None]) -> Deadline:
        """Enter a call, which is given the time of its sweep; the result serves to cancel it."""
        self._count += 1
        self._calls[at, self._count] = call
        if self.next is None or at < self.next:
            self.next = at
        return at, self._count

    def cancel(self, deadline: Deadline | None) -> None:
        """Take a deadline out; one that is past, or None, is passed over."""
        if deadline is not None and self._calls.pop(deadline, None) and deadline[0] == self.next:
            self._look()

    def _look(self) -> None:
        self.next = self._calls.peekitem(0)[0][0] if self._calls else None

    def sweep(self, now: int) -> Iterator[Callable[[int], None]]:
        """Take out what is due, earliest first; what the calls add waits for the next sweep."""
        last = self._count
        while self._calls:
            at, number = self._calls.peekitem(0)[0]
            if at > now or number > last:
                return
            call = self._calls.popitem(0)[1]
            self._look()
            yield call
