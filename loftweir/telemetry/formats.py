"""The formats of the log: JSON, logfmt, and a format for people at a console.

What a client sent (an id, a path) is only ever the value of a field: no value can end a line, hide in a terminal or
look like another field. A record's message is a dict of the event's name and fields.
"""

from __future__ import annotations

import logging
import os
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any

MAX_VALUE_CHARACTERS = 400  # keeps a line small enough for a single write to a pipe


def clean(value: Any) -> Any:
    """Makes a value printable and short. Values that are neither text nor numbers become text."""
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, bytes):
        value = value.decode("utf-8", "backslashreplace")
    elif isinstance(value, Mapping):
        return {str(clean(str(key))): clean(inner) for key, inner in value.items()}
    elif isinstance(value, list | tuple):
        return [clean(inner) for inner in value]
    text = str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = f"{text[:MAX_VALUE_CHARACTERS]}... ({len(text)} characters)"
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else c.encode("unicode_escape", "surrogatepass").decode() for c in text)


def stamp(created: float) -> str:
    """Formats a Unix time as RFC 3339, in UTC with milliseconds."""
    whole = int(created)
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(whole))}.{int((created - whole) * 1000):03d}Z"


def json_formatter() -> logging.Formatter:
    """Returns the formatter of JSON lines; its library is imported only if it is configured."""
    import ujson
    from pythonjsonlogger.json import JsonFormatter

    class Json(JsonFormatter):
        """Puts time and level before the event."""

        def add_fields(self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]) -> None:
            """Add time, level, and the fields of the event."""
            log_data["time"] = stamp(record.created)
            log_data["level"] = record.levelname.lower()
            log_data.update(message_dict)

    return Json(json_serializer=lambda data, **_: ujson.dumps(data, escape_forward_slashes=False))


def logfmt_formatter() -> logging.Formatter:
    """Returns the formatter of logfmt lines; its library is imported only if it is configured."""
    from logfmter import Logfmter

    class Logfmt(logging.Formatter):
        """Puts time and level before the event."""

        def format(self, record: logging.LogRecord) -> str:
            """Return the line for a record."""
            assert isinstance(record.msg, dict)
            head = {"time": stamp(record.created), "level": record.levelname.lower()}
            return str(Logfmter.format_params(head | record.msg))

    return Logfmt()


# ANSI codes of the levels.
COLOURS = {"debug": "2", "info": "32", "warning": "33", "error": "31;1"}


def console_line(data: Mapping[str, Any], colour: bool) -> str:
    """Formats a record for people: time, level, event, and the fields as name=value."""
    level = str(data.get("level", ""))
    shown = f"{level:7}"
    if colour and level in COLOURS:
        shown = f"\x1b[{COLOURS[level]}m{shown}\x1b[0m"
    rest = " ".join(
        f"{name}={value if not isinstance(value, str) else repr(value) if ' ' in value or not value else value}"
        for name, value in data.items()
        if name not in ("time", "level", "event")
    )
    return f"{data.get('time', '')} {shown} {data.get('event', '')} {rest}".rstrip()


class Console(logging.Formatter):
    """Formats records for people at a console."""

    def __init__(self, colour: bool) -> None:
        super().__init__()
        self.colour = colour

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record."""
        assert isinstance(record.msg, dict)
        head = {"time": stamp(record.created), "level": record.levelname.lower()}
        return console_line(head | record.msg, self.colour)


def coloured() -> bool:
    """Whether standard error takes colours: it is a terminal and NO_COLOR is not set (no-color.org)."""
    return sys.stderr is not None and sys.stderr.isatty() and not os.environ.get("NO_COLOR")


FORMATS: dict[str, Callable[[], logging.Formatter]] = {
    "json": json_formatter,
    "logfmt": logfmt_formatter,
    "console": lambda: Console(coloured()),
}
