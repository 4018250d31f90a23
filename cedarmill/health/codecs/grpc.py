"""gRPC health, version 1 (Check, Watch, List), over HTTP/2: bytes in, bytes out, no I/O.

Sources: grpc/proto `grpc/health/v1/health.proto` (its messages by grpcio-health-checking) and "gRPC over
HTTP2" (framing, statuses, trailers). HTTP/2 itself is h2's.
"""

import struct
from collections.abc import Callable
from typing import Any

from grpc_health.v1 import health_pb2 as pb  # type: ignore[import-untyped]
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import DataReceived, RequestReceived, StreamEnded, StreamReset
from h2.exceptions import ProtocolError
from h2.settings import SettingCodes

Status = pb.HealthCheckResponse.ServingStatus
SERVICE = "/grpc.health.v1.Health/"
OK, INVALID, NOT_FOUND, UNIMPLEMENTED, EXHAUSTED = 0, 3, 5, 12, 8  # gRPC status codes
MAX_MESSAGE = 4096  # bytes of a request: the name of a service
MAX_STREAMS = 64  # watches and checks at once on one connection
_PREFIX = struct.Struct("!BI")  # compressed or not, and the message's length


class GrpcError(Exception):
    """A call that ends with a status and no message."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class HealthConnection:
    """The server's side of one HTTP/2 connection. `statuses` gives the status of each service by name.

    `watches` holds for each stream of a Watch its service and the status sent last; `answered` counts good
    calls.
    """

    def __init__(self, statuses: Callable[[], dict[str, int]]) -> None:
        self.statuses = statuses
        self._h2 = H2Connection(H2Configuration(client_side=False, header_encoding="utf-8"))
        self._calls: dict[int, tuple[str, bytearray]] = {}  # that still arrive: method and body
        self.watches: dict[int, tuple[str, int]] = {}
        self.answered = 0
        self._h2.initiate_connection()
        self._h2.update_settings({SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS})

    def receive(self, data: bytes) -> bytes:
        """Take what has come, return what is to be sent. Raises h2's ProtocolError for what is no HTTP/2."""
        for event in self._h2.receive_data(data):
            if isinstance(event, RequestReceived):
                headers: dict[Any, Any] = dict(event.headers)  # text, by the configuration
                self._calls[event.stream_id] = headers.get(":path", ""), bytearray()
            elif isinstance(event, DataReceived):
                self._h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                self._body(event.stream_id, event.data)
            elif isinstance(event, StreamEnded):
                self._ended(event.stream_id)
            elif isinstance(event, StreamReset):
                self._calls.pop(event.stream_id, None)
                self.watches.pop(event.stream_id, None)
        return self._h2.data_to_send()

    def changed(self) -> bytes:
        """Statuses may have changed: the bytes for the watches whose status has."""
        statuses = self.statuses()
        for stream, (service, sent) in list(self.watches.items()):
            status = statuses.get(service, Status.SERVICE_UNKNOWN)
            if status != sent:
                self._message(stream, pb.HealthCheckResponse(status=status))
                self.watches[stream] = service, status
        return self._h2.data_to_send()

    def _body(self, stream: int, data: bytes) -> None:
        if (call := self._calls.get(stream)) is None:
            return
        call[1].extend(data)
        if len(call[1]) > MAX_MESSAGE:
            self._calls.pop(stream)
            self._fail(stream, GrpcError(EXHAUSTED, "the request is too long"))

    def _ended(self, stream: int) -> None:
        if (call := self._calls.pop(stream, None)) is None:
            return
        try:
            self._answer(stream, call[0], _unpack(bytes(call[1])))
        except GrpcError as error:
            self._fail(stream, error)

    def _answer(self, stream: int, path: str, body: bytes) -> None:
        methods = {"Check": self._check, "Watch": self._watch, "List": self._list}
        method = methods.get(path.removeprefix(SERVICE)) if path.startswith(SERVICE) else None
        if method is None:
            raise GrpcError(UNIMPLEMENTED, "unknown method")
        method(stream, body)
        self.answered += 1

    def _check(self, stream: int, body: bytes) -> None:
        status = self.statuses().get(_service(body))
        if status is None:
            raise GrpcError(NOT_FOUND, "unknown service")
        self._whole(stream, pb.HealthCheckResponse(status=status))

    def _list(self, stream: int, body: bytes) -> None:
        found = {name: pb.HealthCheckResponse(status=status) for name, status in self.statuses().items()}
        self._whole(stream, pb.HealthListResponse(statuses=found))

    def _watch(self, stream: int, body: bytes) -> None:
        """An unknown service is watched too: it may become known (health.proto, `Watch`)."""
        service = _service(body)
        status = self.statuses().get(service, Status.SERVICE_UNKNOWN)
        self._h2.send_headers(stream, [(":status", "200"), ("content-type", "application/grpc")])
        self._message(stream, pb.HealthCheckResponse(status=status))
        self.watches[stream] = service, status

    def _whole(self, stream: int, message: Any) -> None:
        self._h2.send_headers(stream, [(":status", "200"), ("content-type", "application/grpc")])
        self._message(stream, message)
        self._h2.send_headers(stream, [("grpc-status", str(OK))], end_stream=True)

    def _message(self, stream: int, message: Any) -> None:
        text = message.SerializeToString()
        self._h2.send_data(stream, _PREFIX.pack(0, len(text)) + text)

    def _fail(self, stream: int, error: GrpcError) -> None:
        headers = [
            (":status", "200"),
            ("content-type", "application/grpc"),
            ("grpc-status", str(error.status)),
            ("grpc-message", str(error)),
        ]
        self._h2.send_headers(stream, headers, end_stream=True)


def _unpack(body: bytes) -> bytes:
    """The one message of a request."""
    if len(body) < _PREFIX.size:
        raise GrpcError(INVALID, "no message")
    compressed, length = _PREFIX.unpack_from(body)
    if compressed:
        raise GrpcError(UNIMPLEMENTED, "compression is not offered")
    if length != len(body) - _PREFIX.size:
        raise GrpcError(INVALID, "one whole message is expected")
    return body[_PREFIX.size :]


def _service(body: bytes) -> str:
    try:
        return str(pb.HealthCheckRequest.FromString(body).service)
    except Exception:  # protobuf's DecodeError differs between its implementations
        raise GrpcError(INVALID, "no HealthCheckRequest") from None


__all__ = ["GrpcError", "HealthConnection", "ProtocolError", "Status"]
