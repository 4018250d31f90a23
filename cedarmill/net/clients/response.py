"""Serialization of HTTP/1.1 responses to clients (RFC 9112)."""

from cedarmill.net.clients.request import ClientRequest

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n"
CONNECTION_CLOSE = b"Connection: close\r\n"


def compose(request: ClientRequest, status: int, body: bytes, headers: bytes, is_last: bool) -> bytes:
    """Return the serialized response to a request.

    `headers` holds complete header lines; `is_last` announces that the connection closes after this response.
    """
    if is_last:
        headers += CONNECTION_CLOSE
    if status == 405:
        headers += b"Allow: GET\r\n" if request.target.startswith(b"/ready") else b"Allow: POST\r\n"
    head = RESPONSE_HEAD % (status, REASON_PHRASES[status], len(body), headers)
    return head if request.method == b"HEAD" else head + body


def error_body(status: int) -> bytes:
    """Return the default body of an error response."""
    return REASON_PHRASES[status].lower() + b"\n"
