"""Listener of the gRPC health service, which notifies watches of status changes."""

from cedarmill.health.codecs.grpc import HealthConnection, ProtocolError, Status
from cedarmill.net.health.listener import HealthListener, HealthSession, NodeHealth
from cedarmill.net.loop import EventLoopDriver, guarded_callback

SERVICE_NAME = "cedarmill"  # Has the same status as "", the whole server.
STATUS_POLL_US = 250_000  # A drain is reported without this delay.


class GrpcSession(HealthSession):
    """One HTTP/2 connection, without a deadline while it has watches."""

    def __init__(self, listener: "GrpcListener") -> None:
        super().__init__(listener)
        self._connection = HealthConnection(listener.statuses)

    @guarded_callback
    def data_received(self, data: bytes) -> None:
        """Process received bytes and send the answers."""
        try:
            payload = self._connection.receive(data)
        except ProtocolError:
            self.abort()
            return
        if not self.send(payload):
            return
        if self._connection.watches:
            self.cancel_deadline()
        elif self._connection.answered_calls:
            self.wait_for_next_check()

    def send_status_changes(self) -> None:
        """Send changed statuses to the watches."""
        if payload := self._connection.encode_status_changes():
            self.send(payload)


class GrpcListener(HealthListener[GrpcSession]):
    """Listener that notifies the watches of all its sessions."""

    def __init__(self, driver: EventLoopDriver, health: NodeHealth) -> None:
        super().__init__(driver, health, lambda listener: GrpcSession(self))
        driver.timers.add(driver.now() + STATUS_POLL_US, self._poll_statuses)

    def statuses(self) -> dict[str, int]:
        """Return the status of each service: SERVING while the node is ready."""
        ready = all(check.passed for check in self.health.checks())
        status = Status.SERVING if ready else Status.NOT_SERVING
        return {"": status, SERVICE_NAME: status}

    def on_health_changed(self) -> None:
        """Send changed statuses to the watches of all sessions."""
        for session in list(self.sessions):
            session.send_status_changes()

    def _poll_statuses(self, now: int) -> None:
        self.driver.timers.add(now + STATUS_POLL_US, self._poll_statuses)
        self.on_health_changed()
