"""The node's log: each event with fixed words and fields, as text or as JSON, a line an event.

`docs/on-call.md` lists every event with its fields. The text form needs the standard library only; the JSON
form is rendered by structlog, which is loaded when it is asked for.
"""

import contextlib
import logging
import os
import select
import stat
import sys
import time
from typing import Any, NamedTuple

log = logging.getLogger("cedarmill")
FORMATS = ("text", "json")
TEXT_FORM = "%(asctime)s %(levelname)s %(message)s"


class Event(NamedTuple):
    """One kind of event: its level, and its words with places for its fields."""

    level: int
    words: str


EVENTS = {
    "serves": Event(logging.INFO, "node {name} serves on {host} port {port}"),
    "ended": Event(logging.INFO, "node {name} has ended"),
    "draining": Event(logging.INFO, "draining: {held} reqs held"),
    "closed": Event(logging.INFO, "draining: no new sessions from now on, {held} reqs held"),
    "reloaded": Event(logging.INFO, "reloaded: the director is at {host} port {port}"),
    "reload-failed": Event(logging.ERROR, "reload failed, the old configuration holds: {reason}"),
    "reload-ignored": Event(logging.WARNING, "reload: a change of {names} takes a restart"),
    "health": Event(logging.INFO, "health by {kind} on {host} port {port}"),
    "watching": Event(logging.INFO, "director: watching from index {index} at {host} port {port}"),
    "watch-lost": Event(logging.WARNING, "director: watch lost ({reason}), the last list holds"),
    "entry-passed-over": Event(logging.WARNING, "director: entry {name} passed over: {reason}"),
    "sessions-full": Event(logging.WARNING, "client sessions at their bound of {bound}, new ones wait"),
    "accept-failed": Event(logging.WARNING, "accept failed: {reason}"),
    "session-not-opened": Event(logging.WARNING, "client session did not open: {reason}"),
    "backends-full": Event(logging.WARNING, "backend connections at their bound of {bound}"),
    "spent-for-nobody": Event(logging.INFO, "spent for nobody: {summary}"),
    "clock-off": Event(logging.WARNING, "a client's deadline cannot be: {reason}"),
    "overdue-unanswered": Event(logging.ERROR, "req overdue without an answer from the brain"),
    "frame-bad": Event(logging.WARNING, "a frame of {peer} not read: {reason}"),
    "lease-lapsed": Event(logging.WARNING, "fleet: the lease has run out, no keeper renews it"),
    "lease-holds": Event(logging.INFO, "fleet: the lease holds, orders of epoch {epoch}"),
    "keeper-refuses": Event(logging.ERROR, "fleet: keeper {keeper} refuses: {reason}"),
    "zones-followed": Event(
        logging.INFO, "fleet: plan of epoch {epoch}: reqs go to {shares}; not reached: {cannot}"
    ),
    "news-shared": Event(
        logging.INFO, "fleet: of {peers} peers {followed} reports followed, {passed_over} passed over"
    ),
    "cut-followed": Event(
        logging.INFO, "fleet: refused at once: {part} of what is worth {rank}, all below; by reach: {tight}"
    ),
    "fleet-orders": Event(logging.INFO, "fleet: orders of epoch {epoch}, out: {out}, clients away: {away}"),
    "keeper-serves": Event(logging.INFO, "keeper {name} of {cluster} serves on {host} port {port}"),
    "keeper-store": Event(logging.INFO, "store: disk {disk}, start {boot}, entries up to {index}"),
    "keeper-torn": Event(logging.WARNING, "store: a torn tail of {bytes} bytes was cut off"),
    "keeper-doubtful": Event(logging.WARNING, "store: {reason}: no vote till it is brought up to date"),
    "keeper-disk": Event(logging.ERROR, "store: the disk failed, this keeper ends: {reason}"),
    "replica-disk-failed": Event(
        logging.ERROR, "store: the disk failed, nothing is promised till it works again: {reason}"
    ),
    "replica-disk-retry": Event(logging.WARNING, "store: the disk still fails, tried again soon: {reason}"),
    "replica-disk-recovered": Event(logging.INFO, "store: the disk works again after {seconds:.1f} s"),
    "keeper-role": Event(logging.INFO, "keeper: {part}, leader {leader}, term {term}"),
    "keeper-alarm": Event(logging.ERROR, "keeper: {reason}"),
    "steward-serves": Event(logging.INFO, "steward {name} runs {units}"),
    "steward-acts": Event(logging.INFO, "unit {unit}: order of {epoch}, lease for {left:.2f} s more"),
    "steward-starts": Event(logging.INFO, "unit {unit}: version {version} starts as {life}, process {pid}"),
    "steward-ready": Event(logging.INFO, "unit {unit}: {life} is ready with version {version}"),
    "steward-stops": Event(logging.INFO, "unit {unit}: {life} is told to end"),
    "steward-ended": Event(logging.INFO, "unit {unit}: {life} has ended with {code}"),
    "steward-adopts": Event(logging.INFO, "unit {unit}: {life}, process {pid}, outlived the last steward"),
    "steward-waits": Event(logging.WARNING, "unit {unit}: cannot start yet: {reason}"),
    "door": Event(logging.INFO, "operators' door on {host} port {port}"),
    "inherited": Event(logging.INFO, "clients' listening socket inherited as descriptor {fd}"),
    "excluded": Event(logging.INFO, "executor {executor} out by hand: the module sees it draining"),
    "included": Event(logging.INFO, "executor {executor} back in by hand, as a new and cold process"),
    "exclusions-taken": Event(logging.INFO, "marks of executors taken from the kept file: {names}"),
    "exclusions-unread": Event(logging.WARNING, "kept marks of executors not read: {reason}"),
    "exclusions-unkept": Event(logging.ERROR, "an executor's mark not kept, so not made: {reason}"),
    "recalled": Event(
        logging.INFO, "took up what this node's last process learned of {workers} executors {age:.1f} s ago"
    ),
    "memory-unread": Event(logging.WARNING, "what an earlier process learned not taken up: {reason}"),
    "memory-unkept": Event(logging.WARNING, "what this process learned not kept: {reason}"),
    "beside-failed": Event(logging.WARNING, "what this node's other process has out not exchanged: {reason}"),
    "beside-unread": Event(logging.WARNING, "what this node's other process has out not read: {reason}"),
    "beside": Event(logging.INFO, "other processes of this node that live: {others}"),
    "boot-unknown": Event(
        logging.WARNING, "this machine's start has no id, documents are aged by Unix time: {reason}"
    ),
    "log-lost": Event(logging.WARNING, "lines of this log that could not be written: {lines}"),
    "evacuated": Event(logging.INFO, "evacuated: /ready says no, answers end their connections, {held} held"),
    "rejoined": Event(logging.INFO, "rejoined: /ready says yes again"),
    "defect": Event(logging.ERROR, "{what} failed"),
    "loop": Event(logging.ERROR, "loop: {what}"),
}


def say(event: str, error: Any = None, **fields: Any) -> None:
    """Log one event; `error` adds a traceback (True: of the exception being handled)."""
    kind = EVENTS[event]
    if log.isEnabledFor(kind.level):
        extra = {"event_name": event, "event_fields": fields}
        log.log(kind.level, kind.words.format(**fields), exc_info=error, extra=extra)


class Sparing(logging.Filter):
    """Lets the same line through once in ten seconds: what goes wrong for every req must not fill the log."""

    SECONDS = 10

    def __init__(self) -> None:
        super().__init__()
        self._said: dict[str, float] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        text, now = record.getMessage(), time.monotonic()  # a step back of Unix time would silence it
        while self._said and now - next(iter(self._said.values())) >= self.SECONDS:
            del self._said[next(iter(self._said))]  # the oldest stands first: a burst costs no look at all
        return self._said.setdefault(text, now) == now


class StderrHandler(logging.Handler):
    """Writes lines to a descriptor, and never waits for whoever reads them: what it cannot take is counted.

    A reader that stands still would stop the loop's thread, and with it each request. The descriptor is
    shared with other processes, so it is not made non-blocking; one that is no file is asked whether it
    takes more.
    """

    CHUNK = select.PIPE_BUF  # bytes that a pipe which can be written takes without a wait

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lost = 0  # lines since the last that was written
        self._torn = False  # the last write ended within a line
        self._poll: select.poll | None = None
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            self._poll = select.poll()
            self._poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write it, after how many before it were lost."""
        try:
            line = self.format(record)
            if self.lost and self._write(self._lost_line()):
                self.lost = 0
        except Exception:
            self.handleError(record)
            return
        self.lost += not self._write(line)

    def _lost_line(self) -> str:
        kind, fields = EVENTS["log-lost"], {"lines": self.lost}
        record = log.makeRecord(log.name, kind.level, "", 0, kind.words.format(**fields), (), None,
                                extra={"event_name": "log-lost", "event_fields": fields})  # fmt: skip
        return self.format(record)

    def _write(self, line: str) -> bool:
        rest = ("\n" * self._torn + line + "\n").encode(errors="backslashreplace")
        try:
            while rest and (self._poll is None or self._poll.poll(0)):
                written = os.write(self.descriptor, rest[: self.CHUNK])
                self._torn = rest[written - 1 : written] != b"\n"
                rest = rest[written:]
        except OSError:  # nobody reads it any more, the disk is full
            return False
        return not rest


def _json() -> logging.Formatter:
    import structlog  # here alone: the platform's run renders text and must not load it

    def fields(_logger: Any, _method: str, entry: dict[str, Any]) -> dict[str, Any]:
        record = entry["_record"]
        words, name = entry.pop("event"), getattr(record, "event_name", "other")
        return {**entry, "event": name, **getattr(record, "event_fields", {}), "words": words}

    shared = [structlog.stdlib.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True), fields]
    ends = [structlog.processors.format_exc_info, structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer()]  # fmt: skip
    return structlog.stdlib.ProcessorFormatter(foreign_pre_chain=shared, processors=ends)


def begin(form: str = "text") -> None:
    """Send the log to standard error in one of FORMATS."""
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    with contextlib.suppress(OSError, ValueError, AttributeError):  # closed, or none of the system's
        handler = StderrHandler(sys.stderr.fileno())
    handler.addFilter(Sparing())
    handler.setFormatter(_json() if form == "json" else logging.Formatter(TEXT_FORM))
    logging.basicConfig(handlers=[handler], level=logging.INFO)
