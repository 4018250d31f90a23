"""The listener for gRPC health: HTTP/2 sessions whose watches hear of a change. Off on the platform."""

from cedarmill.health.codecs.grpc import HealthConnection, ProtocolError, Status
from cedarmill.net.health.listener import Listener, NodeHealth, Session
from cedarmill.net.loop import EventLoopDriver, callback

SERVICE = "cedarmill"  # beside "", which means the whole node
LOOK_US = 250_000  # between two looks at what the watches were told; a drain is told at once


class GrpcSession(Session):
    """One HTTP/2 connection; it may stay as long as it watches."""

    def opened(self) -> None:
        self.health = HealthConnection(self.listener.statuses)

    @callback
    def data_received(self, data: bytes) -> None:
        try:
            self.transport.write(self.health.receive(data))
        except ProtocolError:
            self.abort()
            return
        if self.health.watches:  # it stays as long as it watches
            self.driver.timers.cancel(self.deadline)
        elif self.health.answered:
            self.rest()

    def changed(self) -> None:
        """Tell the watches."""
        if text := self.health.changed():
            self.transport.write(text)


class GrpcListener(Listener):
    """Its sessions, told together."""

    def __init__(self, driver: EventLoopDriver, told: NodeHealth) -> None:
        super().__init__(driver, told, GrpcSession)
        driver.timers.add(driver.now() + LOOK_US, self._look)

    def statuses(self) -> dict[str, int]:
        """The node as a whole, and under its name: SERVING while it is ready."""
        ready = all(check.passed for check in self.told.checks())
        status = Status.SERVING if ready else Status.NOT_SERVING
        return {"": status, SERVICE: status}

    def changed(self) -> None:
        for session in list(self.sessions):
            session.changed()

    def _look(self, now: int) -> None:
        self.driver.timers.add(now + LOOK_US, self._look)
        self.changed()
