"""What the dispatch asks of its adapters: the client's side, the executors' side and discovery.

Adapters belong to `net/`. Times and spans are whole microseconds.
"""

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from cedarmill.core.requests import Attempt, Probe


class ClientPort(Protocol):
    """Takes the one final answer of a request."""

    def served(self, result: Any) -> None:
        """Give the result of the attempt that succeeded."""

    def refused(self, retry_after_us: int) -> None:
        """Say that nothing has run and a retry does no harm; 0: without advice when."""

    def failed(self) -> None:
        """Say that the request failed and that its effect is not known."""

    def present(self) -> bool:
        """Whether the client is still there: asked as bytes are written; one that has left is withdrawn."""


class ExecutorPort(Protocol):
    """Carries attempts and probes; each comes back once through `attempt_ended` or `probe_ended`."""

    def send(self, attempt: "Attempt") -> None:
        """Send an attempt to its executor."""

    def cancel(self, attempt: "Attempt", now_or_never: bool = False) -> bool:
        """Cancel an attempt; whether it is over here.

        False: it cannot be cancelled and goes on till its real end, unless `now_or_never`.
        """

    def probe(self, probe: "Probe") -> None:
        """Ask an executor for its load report."""

    def recall(self, probe: "Probe") -> None:
        """Take back a probe that has not been written."""


class DiscoveryPort(Protocol):
    """Asks for the endpoint list; news of it comes back through `on_endpoint_list`."""

    def watch(self) -> None:
        """Ask for changes now, and again whenever they stop coming."""


class AbsentClient:
    """The client port of a client that has left, where the settings let its work go on."""

    def served(self, result: Any) -> None:
        """Nobody waits for it."""

    def refused(self, retry_after_us: int) -> None:
        """Nobody waits for it."""

    def failed(self) -> None:
        """Nobody waits for it."""

    def present(self) -> bool:
        """Report the client as present: the work is wanted although nobody waits for the answer."""
        return True
