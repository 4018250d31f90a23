"""The log of all programs: each event with a fixed line and fields, as text or as JSON, a line an event.

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
from collections.abc import MutableMapping
from typing import TYPE_CHECKING, Any

from cedarmill.log_events import EVENTS

if TYPE_CHECKING:
    from structlog.typing import Processor

log = logging.getLogger("cedarmill")
FORMATS = ("text", "json")
TEXT_FORM = "%(asctime)s %(levelname)s %(message)s"


def log_event(event: str, error: Any = None, **fields: Any) -> None:
    """Log one event; `error` adds a traceback (True: of the exception being handled)."""
    kind = EVENTS[event]
    if log.isEnabledFor(kind.level):
        extra = {"event_name": event, "event_fields": fields}
        log.log(kind.level, kind.line.format(**fields), exc_info=error, extra=extra)


class RepeatFilter(logging.Filter):
    """Lets the same line through once in ten seconds: what fails for every request must not fill the log."""

    SECONDS = 10

    def __init__(self) -> None:
        super().__init__()
        self._last_logged: dict[str, float] = {}  # by line, seconds of the monotonic clock; the oldest first

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line goes through."""
        text, now = record.getMessage(), time.monotonic()  # a step back of Unix time would silence it
        while self._last_logged and now - next(iter(self._last_logged.values())) >= self.SECONDS:
            del self._last_logged[next(iter(self._last_logged))]  # a burst of new lines costs no look at all
        return self._last_logged.setdefault(text, now) == now


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
        extra = {"event_name": "log-lost", "event_fields": fields}
        line = kind.line.format(**fields)
        record = log.makeRecord(log.name, kind.level, "", 0, line, (), None, extra=extra)
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


def _add_event_fields(
    _logger: Any, _method: str, entry: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """The event's id and fields, with the line as `words`."""
    record, line = entry["_record"], entry.pop("event")
    name = getattr(record, "event_name", "other")
    return {**entry, "event": name, **getattr(record, "event_fields", {}), "words": line}


def _json_formatter() -> logging.Formatter:
    # Here alone: the platform's run renders text and must not load it.
    from structlog.processors import JSONRenderer, TimeStamper, format_exc_info
    from structlog.stdlib import ProcessorFormatter, add_log_level

    shared: list[Processor] = [add_log_level, TimeStamper(fmt="iso", utc=True), _add_event_fields]
    ends: list[Processor] = [format_exc_info, ProcessorFormatter.remove_processors_meta, JSONRenderer()]
    return ProcessorFormatter(foreign_pre_chain=shared, processors=ends)


def configure(form: str = "text") -> None:
    """Send the log to standard error from now on, in one of FORMATS."""
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    with contextlib.suppress(OSError, ValueError, AttributeError):  # closed, or none of the system's
        handler = StderrHandler(sys.stderr.fileno())
    handler.addFilter(RepeatFilter())
    handler.setFormatter(_json_formatter() if form == "json" else logging.Formatter(TEXT_FORM))
    logging.basicConfig(handlers=[handler], level=logging.INFO)
