"""`cedarmill health probe`."""

import socket
import sys
import time

import click

MAX_ANSWER = 64 * 1024  # bytes
MAX_PORT = 65_535
MAX_BODY_LINES = 20  # of an HTTP answer, that are printed


@click.group()
def health() -> None:
    """Ask for health as load balancers do, and explain the answer."""


@health.command(epilog="Exit codes: 0 healthy; 1 not healthy, or no answer; 2 bad use.")
@click.argument("address")
@click.option(
    "--kind",
    type=click.Choice(["agent", "http"]),
    default="http",
    show_default=True,
    help="How to ask: HAProxy's agent-check, or an HTTP request.",
)
@click.option("--path", default="/readyz?verbose", show_default=True, help="For http: what to ask for.")
@click.option("--send", default="", help="For agent: the words of agent-send.")
@click.option("--proxy", is_flag=True, help="For http: send a PROXY header first, as send-proxy does.")
@click.option(
    "--wait", type=click.FloatRange(0.01, 60), default=3.0, show_default=True, help="For an answer, seconds."
)
def probe(address: str, kind: str, path: str, send: str, proxy: bool, wait: float) -> None:
    """Ask ADDRESS (HOST:PORT) once, and explain the answer.

    \b
    Examples:
      cedarmill health probe 127.0.0.1:9100 --kind agent
      cedarmill health probe 127.0.0.1:9101 --path /healthz --proxy
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise click.BadParameter(f"{address!r} is not HOST:PORT", param_hint="ADDRESS")
    began = time.monotonic()
    try:
        with socket.create_connection((host.strip("[]"), int(port)), timeout=wait) as sock:
            ask = _agent if kind == "agent" else _http
            healthy, lines = ask(sock, host, send if kind == "agent" else path, proxy, began + wait)
    except OSError as error:
        healthy, lines = False, [f"no answer: {error.strerror or error}"]
    except ValueError as error:
        healthy, lines = False, [f"no answer of that kind: {error}"]
    for line in lines:
        click.echo(line)
    took = (time.monotonic() - began) * 1000
    click.echo(f"{'healthy' if healthy else 'not healthy'}, {took:.0f} ms")
    sys.exit(0 if healthy else 1)


def _read(sock: socket.socket, till: float) -> bytes:
    """All that comes till the other side closes, within the time and the bound."""
    found = b""
    while len(found) < MAX_ANSWER:
        sock.settimeout(max(0.001, till - time.monotonic()))
        if not (data := sock.recv(MAX_ANSWER - len(found))):
            break
        found += data
    return found


def _agent(sock: socket.socket, host: str, send: str, proxy: bool, till: float) -> tuple[bool, list[str]]:
    from cedarmill.health.codecs.agent import Admin, AgentReader, Status

    if send:
        sock.sendall(send.encode() + b"\n")
    reader = AgentReader()
    reply = reader.feed(_read(sock, till)) or reader.close()
    if reply is None:
        raise ValueError("nothing came")
    meanings = (
        ("status", reply.status, "its own word on whether it works"),
        ("admin", reply.admin, "whether its owner wants new work there"),
        ("weight", None if reply.weight is None else f"{reply.weight}%", "share of its usual weight"),
        ("maxconn", reply.maxconn, "connections at once, at most"),
        ("reason", reply.reason or None, ""),
        ("passed over", " ".join(reply.unknown) or None, "words that agent-check does not know"),
    )
    named = [(name, value, why) for name, value, why in meanings if value is not None]
    lines = [f"{name}: {value}" + (f" ({why})" if why else "") for name, value, why in named]
    working = reply.status in (None, Status.UP) and reply.admin in (None, Admin.READY) and reply.weight != 0
    return working, lines


def _http(sock: socket.socket, host: str, path: str, proxy: bool, till: float) -> tuple[bool, list[str]]:
    import http.client

    from cedarmill.health.codecs.http import FAIL_AT_ONCE, Expected, evaluate
    from cedarmill.health.codecs.proxy import ProxyHeader, compose_1

    if proxy:
        sock.sendall(compose_1(ProxyHeader(sock.getsockname()[:2], sock.getpeername()[:2])))
    sock.sendall(f"GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode())
    sock.settimeout(max(0.001, till - time.monotonic()))
    answer = http.client.HTTPResponse(sock)
    try:
        answer.begin()
        body = answer.read(MAX_ANSWER)
    except http.client.HTTPException as error:
        raise ValueError(f"not HTTP: {error!r}") from None
    headers = {name.lower(): value for name, value in answer.getheaders()}
    check = evaluate(Expected(), answer.status, headers, body)
    lines = [f"status: {answer.status}", *body.decode("utf-8", "replace").splitlines()[:MAX_BODY_LINES]]
    lines += [f"{FAIL_AT_ONCE}: take it out without waiting for more"] if FAIL_AT_ONCE in headers else []
    return check.passed, lines + ([] if check.passed else [f"why: {check.reason}"])
