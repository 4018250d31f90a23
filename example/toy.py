"""Two toy executors and a toy discovery service on loopback, to try a node with: `python example/toy.py`."""

import contextlib
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

CONFIG = json.loads((Path(__file__).parent / "config.json").read_text())
ENDPOINT_LIST = CONFIG["known"]
WORK_S = 0.3  # of each request
WATCH_LINE_S = 2  # between two empty lines, by which a watch shows that it lives
SLOTS = 2  # of each executor


class Handler(BaseHTTPRequestHandler):
    """A chunked answer, line by line."""

    protocol_version = "HTTP/1.1"

    def send_head(self) -> None:
        """Begin the answer."""
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_line(self, text: str) -> None:
        """Send one line as a chunk."""
        data = text.encode() + b"\n"
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def send_end(self) -> None:
        """Send the last chunk."""
        self.wfile.write(b"0\r\n\r\n")


class Executor(Handler):
    """Runs a request by sleeping, and answers with its body in capital letters."""

    running = 0

    def do_POST(self) -> None:  # noqa: N802 - http.server's name
        """Run one request."""
        body = self.rfile.read(int(self.headers["Content-Length"]))
        type(self).running += 1
        self.send_head()
        time.sleep(WORK_S)
        type(self).running -= 1
        result = body.decode("utf-8", "replace").upper()
        self.send_line(json.dumps({"id": self.headers["X-Call-Id"], "state": "done", "result": result}))
        self.send_end()

    def do_GET(self) -> None:  # noqa: N802 - http.server's name
        """Answer a probe: the free slots and the free memory."""
        free = max(0, SLOTS - self.running)
        body = json.dumps({"x0": free, "x1": free}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Discovery(Handler):
    """Sends the endpoint list of config.json, and then that nothing changes."""

    def do_GET(self) -> None:  # noqa: N802 - http.server's name
        """Answer a call for the list; one with `watch=1` stays open."""
        self.send_head()
        self.send_line(json.dumps(ENDPOINT_LIST))
        while "watch=1" in self.path:
            time.sleep(WATCH_LINE_S)
            self.send_line("")
        self.send_end()


def serve(address: str, handler: type[Handler]) -> None:
    """Serve at HOST:PORT in threads that end with the process."""
    host, port = address.split(":")
    server = ThreadingHTTPServer((host, int(port)), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()


if __name__ == "__main__":
    serve(CONFIG["discovery"], Discovery)
    for endpoint in ENDPOINT_LIST["endpoints"]:
        serve(endpoint["address"], type("OneExecutor", (Executor,), {}))  # each counts what it runs
    print("toy discovery and executors run; end them with Ctrl-C", flush=True)
    with contextlib.suppress(KeyboardInterrupt):
        threading.Event().wait()
