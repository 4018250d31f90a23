"""The bytes of an answer to a client (HTTP/1.1, RFC 9112)."""

from cedarmill.net.clients.request import ClientRequest

REASONS = {
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
HEAD = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n"
LAST = b"Connection: close\r\n"


def compose(request: ClientRequest, status: int, body: bytes, headers: bytes, last: bool) -> bytes:
    """Compose the answer to a request; `headers` are whole lines, `last`: the connection ends with it."""
    if last:
        headers += LAST
    if status == 405:
        headers += b"Allow: GET\r\n" if request.target.startswith(b"/ready") else b"Allow: POST\r\n"
    text = HEAD % (status, REASONS[status], len(body), headers)
    return text if request.method == b"HEAD" else text + body


def error_body(status: int) -> bytes:
    """Return the body of an error that has no text of its own."""
    return REASONS[status].lower() + b"\n"
