"""The program's log: `emit` logs an event of the catalogue with its fields, and never waits for the log's reader.

Records go through the standard library's logging (structlog would need 7 MB more resident memory, see
docs/design/command-line.md). One handler formats them and passes them to the `Writer`.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Hashable
from typing import Any

from loftweir.telemetry.catalogue import EVENTS, INFO, LEVELS, LOG_DROPPED, LOG_REPEATS, Event
from loftweir.telemetry.formats import FORMATS, Console, clean
from loftweir.telemetry.repeats import Repeats
from loftweir.telemetry.writer import Writer

# In force until the configuration has been read.
DEFAULT_BUFFER_BYTES = 64 * 1024
DEFAULT_REPEAT_INTERVAL = 10_000_000_000  # ns

CLOSE_TIMEOUT = 0.2  # seconds for a slow reader at the end of the program

logging.raiseExceptions = False  # logging reports its own faults with a write that can block
LOGGER = logging.getLogger("loftweir")
LOGGER.propagate = False


class Handler(logging.Handler):
    """Formats records and passes them to the writer, which it creates for the first one."""

    def __init__(self) -> None:
        super().__init__()
        self.writer: Writer | None = None
        self.formatter = Console(colour=False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line for a record."""
        if self.writer is None:
            self.writer = Writer(2, DEFAULT_BUFFER_BYTES, self.dropped_line)
        self.writer.write(self.line(record))

    def line(self, record: logging.LogRecord) -> bytes:
        """The line for a record, with its end."""
        return self.format(record).encode("utf-8", "backslashreplace") + b"\n"

    def dropped_line(self, lines: int) -> bytes:
        """The line that reports how many lines were dropped."""
        return self.line(record_of(LOG_DROPPED, {"lines": lines}))


HANDLER = Handler()
LOGGER.addHandler(HANDLER)
LOGGER.setLevel(INFO)
REPEATS = Repeats(DEFAULT_REPEAT_INTERVAL)


def configure(form: str, level: str, buffer_bytes: int, repeat_interval: int) -> None:
    """Sets the format, the lowest level, the bytes buffered for a stalled reader, and the interval of repeats (ns)."""
    HANDLER.setFormatter(FORMATS[form]())
    LOGGER.setLevel(LEVELS[level])
    writer().max_buffered_bytes = buffer_bytes
    REPEATS.interval = repeat_interval


def writer() -> Writer:
    """The writer of the log, which the event loop flushes."""
    if HANDLER.writer is None:
        HANDLER.writer = Writer(2, DEFAULT_BUFFER_BYTES, HANDLER.dropped_line)
    return HANDLER.writer


def record_of(event: Event, fields: dict[str, Any]) -> logging.LogRecord:
    """A record whose message is the event's name and its cleaned fields."""
    message = {"event": event.name} | {name: clean(value) for name, value in fields.items()}
    record = logging.LogRecord(LOGGER.name, event.level, "", 0, "", None, None)
    record.msg = message
    return record


def emit(event: Event, **fields: Any) -> None:
    """Logs an event. One that repeats is logged once per interval; `left_out` then has the number of those skipped."""
    if not LOGGER.isEnabledFor(event.level):
        return
    if event.distinguished_by is not None:
        apart = tuple(str(clean(fields.get(name))) for name in event.distinguished_by)
        left_out = REPEATS.admit((event.name, apart), time.monotonic_ns())
        if left_out is None:
            return
        if left_out:
            fields["left_out"] = left_out
    LOGGER.handle(record_of(event, fields))


def tick() -> None:
    """Logs the numbers of events that were skipped and did not repeat afterwards; to be called regularly."""
    for key, left_out in REPEATS.due(time.monotonic_ns()):
        _emit_left_out(key, left_out)


def _emit_left_out(key: Hashable, left_out: int) -> None:
    assert isinstance(key, tuple)
    name, apart = key
    if LOGGER.isEnabledFor(EVENTS[name].level):
        emit(LOG_REPEATS, of=name, apart=" ".join(apart), left_out=left_out)


def close() -> None:
    """Logs what was skipped, and gives a slow reader a moment to take the remaining lines."""
    for key, left_out in REPEATS.last():
        _emit_left_out(key, left_out)
    if HANDLER.writer is not None:
        HANDLER.writer.close(CLOSE_TIMEOUT)


def traceback_location(error: BaseException) -> str:
    """File and line where an exception was raised; empty if it has no traceback."""
    at = error.__traceback__
    while at is not None and at.tb_next is not None:
        at = at.tb_next
    return "" if at is None else f"{at.tb_frame.f_code.co_filename}:{at.tb_lineno}"
