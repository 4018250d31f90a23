"""Server side of the gRPC health service, version 1 (Check, Watch, List), over HTTP/2; no I/O.

Sources: grpc/proto `grpc/health/v1/health.proto` (messages from the package grpcio-health-checking) and
"gRPC over HTTP2" (framing, statuses, trailers). The package h2 implements HTTP/2.
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
SERVICE_PATH = "/grpc.health.v1.Health/"
# gRPC status codes.
OK, INVALID_ARGUMENT, NOT_FOUND, UNIMPLEMENTED, RESOURCE_EXHAUSTED = 0, 3, 5, 12, 8
MAX_REQUEST_BYTES = 4096  # A request holds only the name of a service.
MAX_STREAMS = 64  # Concurrent calls on one connection.
_MESSAGE_PREFIX = struct.Struct("!BI")  # Compression flag and message length.


class GrpcError(Exception):
    """A call fails with a gRPC status and without a response message."""

    def __init__(self, status: int, payload: str) -> None:
        super().__init__(payload)
        self.status = status


class HealthConnection:
    """Server side of one HTTP/2 connection; `statuses` returns the status of each service by name.

    `watches` maps each Watch stream to its service and the status sent last; `answered` counts successful
    calls.
    """

    def __init__(self, statuses: Callable[[], dict[str, int]]) -> None:
        self.statuses = statuses
        self._h2 = H2Connection(H2Configuration(client_side=False, header_encoding="utf-8"))
        self._calls: dict[int, tuple[str, bytearray]] = {}  # Incomplete requests: path and body.
        self.watches: dict[int, tuple[str, int]] = {}
        self.answered_calls = 0
        self._h2.initiate_connection()
        self._h2.update_settings({SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS})

    def receive(self, data: bytes) -> bytes:
        """Process received bytes and return the bytes to send; raise ProtocolError for invalid HTTP/2."""
        for event in self._h2.receive_data(data):
            if isinstance(event, RequestReceived):
                headers: dict[Any, Any] = dict(event.headers)  # Decoded to text by h2.
                self._calls[event.stream_id] = headers.get(":path", ""), bytearray()
            elif isinstance(event, DataReceived):
                self._h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                self._on_data(event.stream_id, event.data)
            elif isinstance(event, StreamEnded):
                self._on_request_end(event.stream_id)
            elif isinstance(event, StreamReset):
                self._calls.pop(event.stream_id, None)
                self.watches.pop(event.stream_id, None)
        return self._h2.data_to_send()

    def encode_status_changes(self) -> bytes:
        """Return the bytes that notify each watch whose status has changed."""
        statuses = self.statuses()
        for stream, (service, sent_status) in list(self.watches.items()):
            status = statuses.get(service, Status.SERVICE_UNKNOWN)
            if status != sent_status:
                self._send_message(stream, pb.HealthCheckResponse(status=status))
                self.watches[stream] = service, status
        return self._h2.data_to_send()

    def _on_data(self, stream: int, data: bytes) -> None:
        if (call := self._calls.get(stream)) is None:
            return
        call[1].extend(data)
        if len(call[1]) > MAX_REQUEST_BYTES:
            self._calls.pop(stream)
            self._send_error(stream, GrpcError(RESOURCE_EXHAUSTED, "the request is too long"))

    def _on_request_end(self, stream: int) -> None:
        if (call := self._calls.pop(stream, None)) is None:
            return
        try:
            self._dispatch_call(stream, call[0], _unpack_message(bytes(call[1])))
        except GrpcError as error:
            self._send_error(stream, error)

    def _dispatch_call(self, stream: int, path: str, body: bytes) -> None:
        methods = {"Check": self._check, "Watch": self._watch, "List": self._list}
        method = methods.get(path.removeprefix(SERVICE_PATH)) if path.startswith(SERVICE_PATH) else None
        if method is None:
            raise GrpcError(UNIMPLEMENTED, "unknown method")
        method(stream, body)
        self.answered_calls += 1

    def _check(self, stream: int, body: bytes) -> None:
        status = self.statuses().get(_requested_service(body))
        if status is None:
            raise GrpcError(NOT_FOUND, "unknown service")
        self._send_response(stream, pb.HealthCheckResponse(status=status))

    def _list(self, stream: int, body: bytes) -> None:
        responses = {name: pb.HealthCheckResponse(status=status) for name, status in self.statuses().items()}
        self._send_response(stream, pb.HealthListResponse(statuses=responses))

    def _watch(self, stream: int, body: bytes) -> None:
        """Start a watch, also of an unknown service, which may be added later (health.proto, `Watch`)."""
        service = _requested_service(body)
        status = self.statuses().get(service, Status.SERVICE_UNKNOWN)
        self._h2.send_headers(stream, [(":status", "200"), ("content-type", "application/grpc")])
        self._send_message(stream, pb.HealthCheckResponse(status=status))
        self.watches[stream] = service, status

    def _send_response(self, stream: int, message: Any) -> None:
        self._h2.send_headers(stream, [(":status", "200"), ("content-type", "application/grpc")])
        self._send_message(stream, message)
        self._h2.send_headers(stream, [("grpc-status", str(OK))], end_stream=True)

    def _send_message(self, stream: int, message: Any) -> None:
        payload = message.SerializeToString()
        self._h2.send_data(stream, _MESSAGE_PREFIX.pack(0, len(payload)) + payload)

    def _send_error(self, stream: int, error: GrpcError) -> None:
        headers = [
            (":status", "200"),
            ("content-type", "application/grpc"),
            ("grpc-status", str(error.status)),
            ("grpc-message", str(error)),
        ]
        self._h2.send_headers(stream, headers, end_stream=True)


def _unpack_message(body: bytes) -> bytes:
    """Return the single message of a request body."""
    if len(body) < _MESSAGE_PREFIX.size:
        raise GrpcError(INVALID_ARGUMENT, "no message")
    compressed, length = _MESSAGE_PREFIX.unpack_from(body)
    if compressed:
        raise GrpcError(UNIMPLEMENTED, "compression is not offered")
    if length != len(body) - _MESSAGE_PREFIX.size:
        raise GrpcError(INVALID_ARGUMENT, "one whole message is expected")
    return body[_MESSAGE_PREFIX.size :]


def _requested_service(body: bytes) -> str:
    try:
        return str(pb.HealthCheckRequest.FromString(body).service)
    except Exception:  # The type of DecodeError depends on the protobuf implementation.
        raise GrpcError(INVALID_ARGUMENT, "no HealthCheckRequest") from None


__all__ = ["GrpcError", "HealthConnection", "ProtocolError", "Status"]
