"""Reads structured logs: parses lines of JSON or logfmt, and filters and counts the records. No I/O."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple

import ujson

from loftweir.telemetry.catalogue import LEVELS

Record = dict[str, Any]
PAIR = r'([^\s="]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)'
LOGFMT_PAIR = re.compile(PAIR)
LOGFMT_LINE = re.compile(f"{PAIR}(?: {PAIR})*")


class Filter(NamedTuple):
    """Conditions that a record has to meet; an empty one is met by all."""

    level: str = "debug"
    events: tuple[str, ...] = ()  # names, or their first parts: `discovery` matches `discovery.watch_failed`
    request_id: str = ""
    provider: str = ""
    since: float = float("-inf")  # Unix seconds
    until: float = float("inf")

    def matches(self, record: Record) -> bool:
        """Whether a record meets all conditions."""
        if LEVELS.get(str(record.get("level")), 0) < LEVELS[self.level]:
            return False
        event = str(record.get("event", ""))
        if self.events and not any(event == name or event.startswith(f"{name}.") for name in self.events):
            return False
        if self.request_id and record.get("id") != self.request_id:
            return False
        if self.provider and self.provider not in providers_of(record):
            return False
        if (self.since, self.until) == (float("-inf"), float("inf")):
            return True
        at = parse_time(str(record.get("time", "")))
        return at is not None and self.since <= at < self.until


def providers_of(record: Record) -> set[str]:
    """The providers that a record names, in its own field or in those of its attempts."""
    attempts = record.get("calls")
    named = {str(record.get("provider", ""))}
    return named | {str(attempt.get("provider")) for attempt in attempts or () if isinstance(attempt, dict)}


def parse_time(text: str) -> float | None:
    """Converts an RFC 3339 time to Unix seconds; returns None if it is not one."""
    try:
        return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()
    except ValueError:
        return None


def parse_line(line: str) -> Record | None:
    """Parses a line; returns None if it is not a whole line of this log."""
    line = line.strip()
    if line.startswith("{"):
        try:
            record = ujson.loads(line)
        except ValueError:
            return None
        return record if isinstance(record, dict) and "event" in record else None
    if not line.startswith("time=") or LOGFMT_LINE.fullmatch(line) is None:
        return None
    return {name: _unquote(value) for name, value in LOGFMT_PAIR.findall(line)}


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return re.sub(r"\\(.)", lambda match: "\n" if match[1] == "n" else match[1], value[1:-1])


def read_records(lines: Iterable[str], record_filter: Filter) -> Iterator[tuple[Record | None, str]]:
    """Yields the records that match, each with its line, and None with each line that is not of this log."""
    for line in lines:
        record = parse_line(line)
        if record is None:
            if line.strip():
                yield None, line
        elif record_filter.matches(record):
            yield record, line


def count_events(records: Iterable[Record], every: float) -> list[tuple[float, Counter[str]]]:
    """Counts the events of each span of `every` seconds, including those that were skipped as repeats."""
    spans: dict[int, Counter[str]] = {}
    for record in records:
        at = parse_time(str(record.get("time", "")))
        if at is None:
            continue
        event = str(record["event"])
        times = 1
        if event == "log.repeats":
            event, times = str(record.get("of")), int(record.get("left_out") or 0)
        elif "left_out" in record:
            times += int(record["left_out"])
        spans.setdefault(int(at // every), Counter())[event] += times
    return [(number * every, spans[number]) for number in sorted(spans)]
