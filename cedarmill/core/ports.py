"""Interfaces that the dispatch requires of its adapters for clients, executors and discovery.

The `net` package implements them. Times and durations are whole microseconds.
"""

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from cedarmill.core.requests import Attempt, Probe


class ClientPort(Protocol):
    """Receives the final answer of a request, exactly once."""

    def send_result(self, result: Any) -> None:
        """Send the result of the successful attempt to the client."""

    def send_refusal(self, retry_after_us: int) -> None:
        """Answer that nothing ran and a retry is safe; 0 means that no retry time is suggested."""

    def send_failure(self) -> None:
        """Answer that the request failed and its effect is unknown."""

    def is_connected(self) -> bool:
        """Return whether the client is known to be connected; withdraw the requests of one that has left."""


class ExecutorPort(Protocol):
    """Sends attempts and probes, and reports each one's end once by `attempt_ended` or `probe_ended`."""

    def send(self, attempt: "Attempt") -> None:
        """Send an attempt to its executor."""

    def cancel(self, attempt: "Attempt", force: bool = False) -> bool:
        """Cancel an attempt and return whether it has ended for this node.

        False means that it cannot be cancelled and runs on until its own end; `force` forces the end.
        """

    def is_unsent(self, attempt: "Attempt") -> bool:
        """Return whether an attempt's last byte has provably not been sent, so that it cannot have run."""

    def probe(self, probe: "Probe") -> None:
        """Request a load report from an executor."""

    def withdraw_probe(self, probe: "Probe") -> None:
        """Cancel a probe that has not been written."""


class DiscoveryPort(Protocol):
    """Watches the endpoint list and reports changes by `on_endpoint_list`."""

    def watch(self) -> None:
        """Start to watch for changes, and reconnect whenever the watch is lost."""


class AbsentClient:
    """Client port of a disconnected client whose work continues, as the setting `on_leave` allows."""

    def send_result(self, result: Any) -> None:
        """Discard the answer."""

    def send_refusal(self, retry_after_us: int) -> None:
        """Discard the answer."""

    def send_failure(self) -> None:
        """Discard the answer."""

    def is_connected(self) -> bool:
        """Return True, so that the work continues although nobody waits for the answer."""
        return True
