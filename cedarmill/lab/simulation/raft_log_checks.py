"""What has to hold of the replicated log, checked while a run of the log alone goes on."""

from collections.abc import Callable

from cedarmill.cluster.raft.messages import Entry


class LogChecks:
    """Notes what replicas call committed, who leads and what reads see; `violations` are contradictions."""

    def __init__(self, on_new_leader: Callable[[str], None]) -> None:
        self._on_new_leader = on_new_leader
        self.violations: list[str] = []
        self.entries: dict[int, tuple[int, bytes]] = {}  # term and data, by index
        self.leaders: dict[int, str] = {}  # by term
        self._highest_committed = 0  # of any replica
        self._read_bounds: dict[int, int] = {}  # what was committed when a read was asked, by its token

    def on_committed(self, name: str, entry: Entry) -> None:
        """A replica calls an entry committed."""
        known = self.entries.setdefault(entry.index, (entry.term, entry.data))
        if known != (entry.term, entry.data):
            self.violations.append(f"{name} agrees on another entry {entry.index} than was agreed")
        self._highest_committed = max(self._highest_committed, entry.index)

    def on_leading(self, name: str, term: int) -> None:
        """A replica leads from now on."""
        if self.leaders.setdefault(term, name) != name:
            self.violations.append(f"{name} and {self.leaders[term]} both lead in term {term}")
        self._on_new_leader(name)

    def begin_read(self, token: int) -> None:
        """A read is asked now."""
        self._read_bounds[token] = self._highest_committed

    def on_read_confirmed(self, token: int, index: int) -> None:
        """A read sees what is committed up to an index."""
        bound = self._read_bounds.pop(token, 0)
        if index < bound:
            self.violations.append(f"a read sees {index}, and {bound} was agreed when it was asked")
