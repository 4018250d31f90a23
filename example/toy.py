"""Run two toy executors and a toy discovery service on loopback, for trying out a node.

Usage: `python example/toy.py`
"""

import contextlib
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

CONFIG = json.loads((Path(__file__).parent / "config.json").read_text())
ENDPOINT_LIST = CONFIG["known"]
REQUEST_DURATION_S = 0.3
# Empty lines at this interval keep a watch alive.
WATCH_KEEPALIVE_INTERVAL_S = 2
SLOTS_PER_EXECUTOR = 2


class ChunkedHandler(BaseHTTPRequestHandler):
    """Handles requests, and can send a chunked response line by line."""

    protocol_version = "HTTP/1.1"

    def send_head(self) -> None:
        """Send the status line and the headers of a chunked response."""
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_line(self, text: str) -> None:
        """Send one line as a chunk."""
        data = text.encode() + b"\n"
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def send_end(self) -> None:
        """Send the empty chunk that ends the response."""
        self.wfile.write(b"0\r\n\r\n")


class Executor(ChunkedHandler):
    """Serves each request by sleeping, then answers with the request body in capital letters."""

    running_requests = 0

    def do_POST(self) -> None:  # noqa: N802 - name set by http.server
        """Serve one request."""
        body = self.rfile.read(int(self.headers["Content-Length"]))
        type(self).running_requests += 1
        self.send_head()
        time.sleep(REQUEST_DURATION_S)
        type(self).running_requests -= 1
        result = body.decode("utf-8", "replace").upper()
        self.send_line(json.dumps({"id": self.headers["X-Call-Id"], "state": "done", "result": result}))
        self.send_end()

    def do_GET(self) -> None:  # noqa: N802 - name set by http.server
        """Answer a probe with a load report: free slots and free memory."""
        free_slots = max(0, SLOTS_PER_EXECUTOR - self.running_requests)
        body = json.dumps({"x0": free_slots, "x1": free_slots}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Discovery(ChunkedHandler):
    """Serves the endpoint list of config.json, which never changes."""

    def do_GET(self) -> None:  # noqa: N802 - name set by http.server
        """Send the endpoint list; keep the response open for a request with `watch=1`."""
        self.send_head()
        self.send_line(json.dumps(ENDPOINT_LIST))
        while "watch=1" in self.path:
            time.sleep(WATCH_KEEPALIVE_INTERVAL_S)
            self.send_line("")
        self.send_end()


def serve(address: str, handler: type[ChunkedHandler]) -> None:
    """Start a server at HOST:PORT whose threads end with the process."""
    host, port = address.split(":")
    server = ThreadingHTTPServer((host, int(port)), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()


if __name__ == "__main__":
    serve(CONFIG["discovery"], Discovery)
    for endpoint in ENDPOINT_LIST["endpoints"]:
        # A separate class for each executor keeps a separate count of running requests.
        serve(endpoint["address"], type("OneExecutor", (Executor,), {}))
    print("toy discovery service and executors are running; press Ctrl-C to stop", flush=True)
    with contextlib.suppress(KeyboardInterrupt):
        threading.Event().wait()
