"""The node's log: each event with fixed words and fields, as text or as JSON, a line an event.

`docs/on-call.md` lists every event with its fields. The text form needs the standard library only; the JSON
form is rendered by structlog, which is loaded when it is asked for.
"""

import logging
import sys
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
        text = record.getMessage()
        self._said = {t: at for t, at in self._said.items() if record.created - at < self.SECONDS}
        return self._said.setdefault(text, record.created) == record.created


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
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(Sparing())
    handler.setFormatter(_json() if form == "json" else logging.Formatter(TEXT_FORM))
    logging.basicConfig(handlers=[handler], level=logging.INFO)
