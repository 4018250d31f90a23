"""The listener for gRPC health: HTTP/2 sessions whose watches hear of a change. Off on the platform."""

from cedarmill.health.codecs.grpc import HealthConnection, ProtocolError, Status
from cedarmill.net.health.listener import HealthListener, HealthSession, NodeHealth
from cedarmill.net.loop import EventLoopDriver, guarded_callback

SERVICE = "cedarmill"  # besides "", which means the whole node
LOOK_US = 250_000  # between two looks at what the watches were told; a drain is told at once


class GrpcSession(HealthSession):
    """One HTTP/2 connection; it may stay as long as it watches."""

    def __init__(self, listener: "GrpcListener") -> None:
        super().__init__(listener)
        self._connection = HealthConnection(listener.statuses)

    @guarded_callback
    def data_received(self, data: bytes) -> None:
        """Answer what was asked."""
        try:
            text = self._connection.receive(data)
        except ProtocolError:
            self.abort()
            return
        if not self.send(text):
            return
        if self._connection.watches:  # it stays as long as it watches
            self.cancel_deadline()
        elif self._connection.answered:
            self.idle()

    def changed(self) -> None:
        """Tell the watches."""
        if text := self._connection.changed():
            self.send(text)


class GrpcListener(HealthListener[GrpcSession]):
    """Its sessions, told together."""

    def __init__(self, driver: EventLoopDriver, health: NodeHealth) -> None:
        super().__init__(driver, health, lambda listener: GrpcSession(self))
        driver.timers.add(driver.now() + LOOK_US, self._look)

    def statuses(self) -> dict[str, int]:
        """Return the state of the node as a whole, and under its name: SERVING while it is ready."""
        ready = all(check.passed for check in self.health.checks())
        status = Status.SERVING if ready else Status.NOT_SERVING
        return {"": status, SERVICE: status}

    def on_health_changed(self) -> None:
        """Tell all watches."""
        for session in list(self.sessions):
            session.changed()

    def _look(self, now: int) -> None:
        self.driver.timers.add(now + LOOK_US, self._look)
        self.on_health_changed()
