"""The program's log: `emit` an event of the catalogue with its fields. Saying something never waits.

The standard library's logging carries the records (structlog does the same for 7 MB more of resident memory, see
docs/design/command-line.md); one handler formats them and hands them to the `Writer`.
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

KEEP = 64 * 1024  # bytes that wait for a reader, until the configuration says otherwise
REPEAT_EVERY = 10_000_000_000
LAST_WORDS = 0.2  # seconds at the end of the program

logging.raiseExceptions = False  # its report of a fault would be a blocking write of its own
LOGGER = logging.getLogger("loftweir")
LOGGER.propagate = False


class Handler(logging.Handler):
    """Formats a record and gives it to the writer, where there is one."""

    def __init__(self) -> None:
        super().__init__()
        self.writer: Writer | None = None
        self.formatter = Console(colour=False)

    def emit(self, record: logging.LogRecord) -> None:
        if self.writer is None:
            self.writer = Writer(2, KEEP, self.notice)
        self.writer.write(self.line(record))

    def line(self, record: logging.LogRecord) -> bytes:
        return self.format(record).encode("utf-8", "backslashreplace") + b"\n"

    def notice(self, lines: int) -> bytes:
        return self.line(record_of(LOG_DROPPED, {"lines": lines}))


HANDLER = Handler()
LOGGER.addHandler(HANDLER)
LOGGER.setLevel(INFO)
REPEATS = Repeats(REPEAT_EVERY)


def configure(form: str, level: str, keep: int, repeat_every: int) -> None:
    """Sets the format, the least level, the bytes kept for a stalled reader and the interval of repeats (ns)."""
    HANDLER.setFormatter(FORMATS[form]())
    LOGGER.setLevel(LEVELS[level])
    writer().keep = keep
    REPEATS.interval = repeat_every


def writer() -> Writer:
    if HANDLER.writer is None:
        HANDLER.writer = Writer(2, KEEP, HANDLER.notice)
    return HANDLER.writer


def record_of(event: Event, fields: dict[str, Any]) -> logging.LogRecord:
    message = {"event": event.name} | {name: clean(value) for name, value in fields.items()}
    record = logging.LogRecord(LOGGER.name, event.level, "", 0, "", None, None)
    record.msg = message
    return record


def emit(event: Event, **fields: Any) -> None:
    """Logs an event. One that keeps coming is said once in the interval, with `left_out` where some were."""
    if not LOGGER.isEnabledFor(event.level):
        return
    if event.told_apart_by is not None:
        apart = tuple(str(clean(fields.get(name))) for name in event.told_apart_by)
        left_out = REPEATS.admit((event.name, apart), time.monotonic_ns())
        if left_out is None:
            return
        if left_out:
            fields["left_out"] = left_out
    LOGGER.handle(record_of(event, fields))


def tick() -> None:
    """Says what was left out of events that have not come again; due every now and then."""
    for key, left_out in REPEATS.due(time.monotonic_ns()):
        _left_out(key, left_out)


def _left_out(key: Hashable, left_out: int) -> None:
    assert isinstance(key, tuple)
    name, apart = key
    if LOGGER.isEnabledFor(EVENTS[name].level):
        emit(LOG_REPEATS, of=name, apart=" ".join(apart), left_out=left_out)


def close() -> None:
    """The last words: what was left out, and a moment for a slow reader."""
    for key, left_out in REPEATS.last():
        _left_out(key, left_out)
    if HANDLER.writer is not None:
        HANDLER.writer.close(LAST_WORDS)


def traceback_location(error: BaseException) -> str:
    """The innermost line of a traceback, for a log of one line."""
    at = error.__traceback__
    while at is not None and at.tb_next is not None:
        at = at.tb_next
    return "" if at is None else f"{at.tb_frame.f_code.co_filename}:{at.tb_lineno}"
