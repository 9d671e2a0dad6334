"""Counts over the logs of many sidecars: they show what is harmless in one sidecar and harmful in all. No I/O.

The logs need a line for every invocation (`log.access = "all"`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from loftweir.telemetry.reading import Record, parse_time

# The counts of one span: results of invocations, outcomes of attempts, and failed calls to discovery.
COLUMNS = (
    "invocations", "served", "rejected", "failed", "gone",
    "calls", "further", "connected", "ok", "error", "full", "timed_out", "connect_failed", "reset",
    "discovery_failed",
)  # fmt: skip
DISCOVERY_FAILURES = ("discovery.watch_failed", "discovery.list_failed")
BAD_OUTCOMES = ("error", "timed_out", "connect_failed", "reset", "full")


class FleetCounts(NamedTuple):
    """Counts over time, and for each provider.

    `spans`: the beginning of each span in Unix seconds, and its counts. `providers`: the outcomes of the attempts at
    each provider, the one with the most bad outcomes first.
    """

    spans: list[tuple[float, Counter[str]]]
    providers: list[tuple[str, Counter[str]]]


def count_records(records: Iterable[Record], every: float) -> FleetCounts:
    """Counts the records of any number of sidecars, in any order, in spans of `every` seconds."""
    spans: dict[int, Counter[str]] = {}
    providers: dict[str, Counter[str]] = {}
    for record in records:
        at = parse_time(str(record.get("time", "")))
        if at is None:
            continue
        span = spans.setdefault(int(at // every), Counter())
        event, left_out = record["event"], int(record.get("left_out") or 0)
        if event in DISCOVERY_FAILURES:
            span["discovery_failed"] += 1 + left_out
        elif event == "log.repeats" and record.get("of") in DISCOVERY_FAILURES:
            span["discovery_failed"] += left_out
        if event != "access":
            continue
        span["invocations"] += 1
        span[str(record.get("how"))] += 1
        attempts = record.get("calls")
        for number, attempt in enumerate(attempts if isinstance(attempts, list) else ()):
            outcome = str(attempt.get("outcome"))
            span.update(("calls", outcome))
            span["further"] += number > 0
            span["connected"] += float(attempt.get("connect_ms") or 0) > 0
            providers.setdefault(str(attempt.get("provider")), Counter())[outcome] += 1
    worst_first = sorted(
        providers.items(), key=lambda item: (-sum(item[1][outcome] for outcome in BAD_OUTCOMES), item[0])
    )
    return FleetCounts([(number * every, spans[number]) for number in sorted(spans)], worst_first)
