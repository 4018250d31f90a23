"""Health over HTTP: what /livez, /readyz and /healthz answer, as text or application/health+json.

Sources: Kubernetes API server, "API health endpoints" (the `?verbose` lines, `[+]name ok` and `[-]name
failed: reason`); draft-inadarei-api-health-check-06 (application/health+json); Envoy's HTTP health check
filter (`x-envoy-immediate-health-check-fail`, `x-envoy-degraded`, `x-envoy-upstream-healthchecked-cluster`).
"""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

JSON = "application/health+json"
TEXT = "text/plain; charset=utf-8"
# The balancer takes the host out without waiting for more failures.
FAIL_AT_ONCE = "x-envoy-immediate-health-check-fail"
DEGRADED = "x-envoy-degraded"  # it is used where no healthy host is left
CLUSTER = "x-envoy-upstream-healthchecked-cluster"  # who answers: a wrong host at the address shows


@dataclass(frozen=True, slots=True)
class Check:
    """One check by name; a reason where it fails."""

    name: str
    passed: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer without its framing."""

    status: int
    content_type: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def compose(
    path: str,
    checks: Sequence[Check],
    verbose: bool,
    json: bool,
    cluster: str = "",
    degraded: bool = False,
    leaving: bool = False,
) -> Answer:
    """Answer for these checks: 200 where all pass, else 503. `leaving`: do not wait for a second failure."""
    passed = all(check.passed for check in checks)
    headers = [(FAIL_AT_ONCE, "true")] if leaving else []
    headers += [(DEGRADED, "true")] if degraded else []
    headers += [(CLUSTER, cluster)] if cluster else []
    status = 200 if passed else 503
    if json:
        state = "fail" if not passed else "warn" if degraded else "pass"
        return Answer(status, JSON, tuple(headers), _json_body(state, checks))
    return Answer(status, TEXT, tuple(headers), _text_body(path, checks, verbose, passed))


def _json_body(state: str, checks: Sequence[Check]) -> bytes:
    return msgspec.json.encode({"status": state, "checks": {check.name: [_entry(check)] for check in checks}})


def _text_body(path: str, checks: Sequence[Check], verbose: bool, passed: bool) -> bytes:
    if passed and not (verbose and checks):
        return b"ok\n"
    verdict = f"{path.strip('/')} check {'passed' if passed else 'failed'}"
    return "\n".join([*map(_line, checks), verdict]).encode() + b"\n"


def _entry(check: Check) -> dict[str, str]:
    entry = {"status": "pass" if check.passed else "fail"}
    return entry | ({"output": check.reason} if check.reason else {})


def _line(check: Check) -> str:
    if check.passed:
        return f"[+]{check.name} ok"
    return f"[-]{check.name} failed: {check.reason or 'no reason given'}"


class _Document(msgspec.Struct):
    status: str


@dataclass(frozen=True, slots=True)
class Expected:
    """What a consumed check must bring: a range of statuses, and a part of the body where one is set."""

    low: int = 200
    high: int = 399
    part: bytes = b""


def evaluate(expected: Expected, status: int, headers: dict[str, str], body: bytes) -> Check:
    """Whether an answer to a check of ours counts as passed; header names in small letters."""
    if headers.get(FAIL_AT_ONCE) is not None:
        return Check("http", False, f"{FAIL_AT_ONCE} is set")
    if not expected.low <= status <= expected.high:
        return Check("http", False, f"status {status} is not in {expected.low} to {expected.high}")
    if expected.part not in body:
        return Check("http", False, "the body lacks what is expected")
    if headers.get("content-type", "").partition(";")[0].strip().lower() == JSON:
        try:
            state = msgspec.json.decode(body, type=_Document).status.lower()
        except msgspec.MsgspecError:
            return Check("http", False, f"no {JSON} document")
        if state not in ("pass", "ok", "up", "warn"):  # section 3.1: the words that count as healthy
            return Check("http", False, f"it says {state[:32]!r}")
    return Check("http", True)
