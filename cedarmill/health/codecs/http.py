"""Answers to HTTP health checks (/livez, /readyz, /healthz), as text or application/health+json.

Sources: Kubernetes API server, "API health endpoints" (the `?verbose` lines, `[+]name ok` and `[-]name
failed: reason`); draft-inadarei-api-health-check-06 (application/health+json); Envoy's HTTP health check
filter (`x-envoy-immediate-health-check-fail`, `x-envoy-degraded`, `x-envoy-upstream-healthchecked-cluster`).
"""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

JSON_CONTENT_TYPE = "application/health+json"
TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"
# A balancer that reads this header removes the host at the first failure.
IMMEDIATE_FAIL_HEADER = "x-envoy-immediate-health-check-fail"
DEGRADED_HEADER = "x-envoy-degraded"  # The host is used only if no healthy one is left.
CLUSTER_HEADER = "x-envoy-upstream-healthchecked-cluster"  # Identifies the host that answers.


@dataclass(frozen=True, slots=True)
class Check:
    """Result of one named check, with a reason if the check failed."""

    name: str
    passed: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """Status, content type, extra headers and body of an HTTP answer."""

    status: int
    content_type: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def compose(
    path: str,
    checks: Sequence[Check],
    verbose: bool,
    as_json: bool,
    cluster: str = "",
    degraded: bool = False,
    fail_at_once: bool = False,
) -> Answer:
    """Return the answer for these checks, 200 if all pass, else 503.

    `fail_at_once` adds IMMEDIATE_FAIL_HEADER.
    """
    passed = all(check.passed for check in checks)
    headers = [(IMMEDIATE_FAIL_HEADER, "true")] if fail_at_once else []
    headers += [(DEGRADED_HEADER, "true")] if degraded else []
    headers += [(CLUSTER_HEADER, cluster)] if cluster else []
    status = 200 if passed else 503
    if as_json:
        state = "fail" if not passed else "warn" if degraded else "pass"
        return Answer(status, JSON_CONTENT_TYPE, tuple(headers), _json_body(state, checks))
    return Answer(status, TEXT_CONTENT_TYPE, tuple(headers), _text_body(path, checks, verbose, passed))


def _json_body(state: str, checks: Sequence[Check]) -> bytes:
    return msgspec.json.encode(
        {"status": state, "checks": {check.name: [_json_check(check)] for check in checks}}
    )


def _text_body(path: str, checks: Sequence[Check], verbose: bool, passed: bool) -> bytes:
    if passed and not (verbose and checks):
        return b"ok\n"
    verdict = f"{path.strip('/')} check {'passed' if passed else 'failed'}"
    return "\n".join([*map(_text_check, checks), verdict]).encode() + b"\n"


def _json_check(check: Check) -> dict[str, str]:
    entry = {"status": "pass" if check.passed else "fail"}
    return entry | ({"output": check.reason} if check.reason else {})


def _text_check(check: Check) -> str:
    if check.passed:
        return f"[+]{check.name} ok"
    return f"[-]{check.name} failed: {check.reason or 'no reason given'}"


class _HealthDocument(msgspec.Struct):
    status: str


@dataclass(frozen=True, slots=True)
class Expected:
    """Expected answer of a checked host: a range of statuses, and a text that the body contains."""

    min_status: int = 200
    max_status: int = 399
    body_text: bytes = b""


def evaluate(expected: Expected, status: int, headers: dict[str, str], body: bytes) -> Check:
    """Return the check result for a host's answer; header names are in lower case."""
    if headers.get(IMMEDIATE_FAIL_HEADER) is not None:
        return Check("http", False, f"{IMMEDIATE_FAIL_HEADER} is set")
    if not expected.min_status <= status <= expected.max_status:
        return Check(
            "http", False, f"status {status} is not in {expected.min_status} to {expected.max_status}"
        )
    if expected.body_text not in body:
        return Check("http", False, "the body does not contain the expected text")
    if headers.get("content-type", "").partition(";")[0].strip().lower() == JSON_CONTENT_TYPE:
        try:
            state = msgspec.json.decode(body, type=_HealthDocument).status.lower()
        except msgspec.MsgspecError:
            return Check("http", False, f"the body is not a valid {JSON_CONTENT_TYPE} document")
        if state not in ("pass", "ok", "up", "warn"):  # Healthy states of the draft, section 3.1.
            return Check("http", False, f"the reported status is {state[:32]!r}")
    return Check("http", True)
