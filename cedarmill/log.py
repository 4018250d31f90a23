"""Logging of predefined events to standard error, one line per event, as text or as JSON.

`docs/on-call.md` lists every event with its fields. The text format needs only the standard library. The
JSON format needs structlog, which is imported only when that format is configured.
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
TEXT_FORMAT = "%(asctime)s %(levelname)s %(message)s"


def log_event(event: str, error: Any = None, **fields: Any) -> None:
    """Log one event; `error` adds the traceback of an exception (True: the one being handled)."""
    definition = EVENTS[event]
    if log.isEnabledFor(definition.level):
        extra = {"event_name": event, "event_fields": fields}
        log.log(definition.level, definition.line.format(**fields), exc_info=error, extra=extra)


class RepeatFilter(logging.Filter):
    """Suppresses repeats of a line within an interval, so that recurring failures cannot flood the log."""

    INTERVAL_S = 10

    def __init__(self) -> None:
        super().__init__()
        self._last_logged: dict[str, float] = {}  # monotonic seconds by line, oldest first

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is logged."""
        text, now = record.getMessage(), time.monotonic()  # Unix time can step back
        while self._last_logged and now - next(iter(self._last_logged.values())) >= self.INTERVAL_S:
            del self._last_logged[next(iter(self._last_logged))]  # expired entries come first
        return self._last_logged.setdefault(text, now) == now


class StderrHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking; lines that cannot be written are counted.

    A blocked write would stop the event loop and every request with it. The descriptor is shared with other
    processes, so it stays in blocking mode; unless it is a regular file, it is polled before each write.
    """

    CHUNK_BYTES = select.PIPE_BUF  # a writable pipe accepts this many bytes without blocking

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lost_lines = 0  # since the last line that was written
        self._has_partial_line = False  # the last write ended in the middle of a line
        self._poll: select.poll | None = None
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            self._poll = select.poll()
            self._poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record, preceded by the number of lost lines if there are any."""
        try:
            line = self.format(record)
            if self.lost_lines and self._write(self._lost_lines_notice()):
                self.lost_lines = 0
        except Exception:
            self.handleError(record)
            return
        self.lost_lines += not self._write(line)

    def _lost_lines_notice(self) -> str:
        definition, fields = EVENTS["log-lost"], {"lines": self.lost_lines}
        extra = {"event_name": "log-lost", "event_fields": fields}
        line = definition.line.format(**fields)
        record = log.makeRecord(log.name, definition.level, "", 0, line, (), None, extra=extra)
        return self.format(record)

    def _write(self, line: str) -> bool:
        remaining = ("\n" * self._has_partial_line + line + "\n").encode(errors="backslashreplace")
        try:
            while remaining and (self._poll is None or self._poll.poll(0)):
                written = os.write(self.descriptor, remaining[: self.CHUNK_BYTES])
                self._has_partial_line = remaining[written - 1 : written] != b"\n"
                remaining = remaining[written:]
        except OSError:  # the reader has closed the pipe, or the disk is full
            return False
        return not remaining


def _add_event_fields(
    _logger: Any, _method: str, entry: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Return the entry with the event's id and fields, and with the line as `words`."""
    record, line = entry["_record"], entry.pop("event")
    name = getattr(record, "event_name", "other")
    return {**entry, "event": name, **getattr(record, "event_fields", {}), "words": line}


def _json_formatter() -> logging.Formatter:
    # Imported here because the text format must work without structlog.
    from structlog.processors import JSONRenderer, TimeStamper, format_exc_info
    from structlog.stdlib import ProcessorFormatter, add_log_level

    shared_processors: list[Processor] = [add_log_level, TimeStamper(fmt="iso", utc=True), _add_event_fields]
    processors: list[Processor] = [format_exc_info, ProcessorFormatter.remove_processors_meta, JSONRenderer()]
    return ProcessorFormatter(foreign_pre_chain=shared_processors, processors=processors)


def configure(log_format: str = "text") -> None:
    """Configure logging to standard error in one of FORMATS."""
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    with contextlib.suppress(OSError, ValueError, AttributeError):  # closed, or without a descriptor
        handler = StderrHandler(sys.stderr.fileno())
    handler.addFilter(RepeatFilter())
    handler.setFormatter(_json_formatter() if log_format == "json" else logging.Formatter(TEXT_FORMAT))
    logging.basicConfig(handlers=[handler], level=logging.INFO)
