"""The command `cedarmill health probe`."""

import socket
import sys
import time

import click

MAX_ANSWER_BYTES = 64 * 1024
MAX_PORT = 65_535
MAX_PRINTED_BODY_LINES = 20


@click.group()
def health() -> None:
    """Probe health as other load balancers do, and explain the response."""


@health.command(epilog="Exit codes: 0 healthy; 1 not healthy, or no answer; 2 invalid usage.")
@click.argument("address")
@click.option(
    "--kind",
    type=click.Choice(["agent", "http"]),
    default="http",
    show_default=True,
    help="Kind of probe: HAProxy's agent-check, or an HTTP request.",
)
@click.option("--path", default="/readyz?verbose", show_default=True, help="For http: path of the request.")
@click.option("--send", default="", help="For agent: text to send first, as HAProxy's agent-send.")
@click.option("--proxy", is_flag=True, help="For http: send a PROXY header first, as send-proxy does.")
@click.option(
    "--wait", type=click.FloatRange(0.01, 60), default=3.0, show_default=True, help="Timeout in seconds."
)
def probe(address: str, kind: str, path: str, send: str, proxy: bool, wait: float) -> None:
    """Probe ADDRESS (HOST:PORT) once, and explain the response.

    \b
    Examples:
      cedarmill health probe 127.0.0.1:9100 --kind agent
      cedarmill health probe 127.0.0.1:9101 --path /healthz --proxy
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise click.BadParameter(f"{address!r} is not HOST:PORT", param_hint="ADDRESS")
    started_at = time.monotonic()
    try:
        with socket.create_connection((host.strip("[]"), int(port)), timeout=wait) as sock:
            run_probe = _probe_agent if kind == "agent" else _probe_http
            is_healthy, lines = run_probe(
                sock, host, send if kind == "agent" else path, proxy, started_at + wait
            )
    except OSError as error:
        is_healthy, lines = False, [f"no answer: {error.strerror or error}"]
    except ValueError as error:
        is_healthy, lines = False, [f"no answer of that kind: {error}"]
    for line in lines:
        click.echo(line)
    elapsed_ms = (time.monotonic() - started_at) * 1000
    click.echo(f"{'healthy' if is_healthy else 'not healthy'}, {elapsed_ms:.0f} ms")
    sys.exit(0 if is_healthy else 1)


def _read_until_close(sock: socket.socket, deadline: float) -> bytes:
    """Return the bytes received until the peer closes, at most MAX_ANSWER_BYTES; time out at the deadline."""
    received = b""
    while len(received) < MAX_ANSWER_BYTES:
        sock.settimeout(max(0.001, deadline - time.monotonic()))
        if not (data := sock.recv(MAX_ANSWER_BYTES - len(received))):
            break
        received += data
    return received


def _probe_agent(
    sock: socket.socket, host: str, send: str, proxy: bool, deadline: float
) -> tuple[bool, list[str]]:
    from cedarmill.health.codecs.agent import Admin, AgentReader, Status

    if send:
        sock.sendall(send.encode() + b"\n")
    reader = AgentReader()
    reply = reader.feed(_read_until_close(sock, deadline)) or reader.close()
    if reply is None:
        raise ValueError("nothing came")
    fields = (
        ("status", reply.status, "its own word on whether it works"),
        ("admin", reply.admin, "whether its owner wants new work there"),
        ("weight", None if reply.weight is None else f"{reply.weight}%", "share of its usual weight"),
        ("maxconn", reply.maxconn, "connections at once, at most"),
        ("reason", reply.reason or None, ""),
        ("passed over", " ".join(reply.unknown_words) or None, "words that agent-check does not know"),
    )
    present = [(name, value, meaning) for name, value, meaning in fields if value is not None]
    lines = [f"{name}: {value}" + (f" ({meaning})" if meaning else "") for name, value, meaning in present]
    is_healthy = (
        reply.status in (None, Status.UP) and reply.admin in (None, Admin.READY) and reply.weight != 0
    )
    return is_healthy, lines


def _probe_http(
    sock: socket.socket, host: str, path: str, proxy: bool, deadline: float
) -> tuple[bool, list[str]]:
    import http.client

    from cedarmill.health.codecs.http import IMMEDIATE_FAIL_HEADER, Expected, evaluate
    from cedarmill.health.codecs.proxy import ProxyHeader, compose_v1

    if proxy:
        sock.sendall(compose_v1(ProxyHeader(sock.getsockname()[:2], sock.getpeername()[:2])))
    sock.sendall(f"GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode())
    sock.settimeout(max(0.001, deadline - time.monotonic()))
    response = http.client.HTTPResponse(sock)
    try:
        response.begin()
        body = response.read(MAX_ANSWER_BYTES)
    except http.client.HTTPException as error:
        raise ValueError(f"not HTTP: {error!r}") from None
    headers = {name.lower(): value for name, value in response.getheaders()}
    result = evaluate(Expected(), response.status, headers, body)
    lines = [
        f"status: {response.status}",
        *body.decode("utf-8", "replace").splitlines()[:MAX_PRINTED_BODY_LINES],
    ]
    lines += (
        [f"{IMMEDIATE_FAIL_HEADER}: take it out without waiting for more"]
        if IMMEDIATE_FAIL_HEADER in headers
        else []
    )
    return result.passed, lines + ([] if result.passed else [f"why: {result.reason}"])
