"""Counts over many sidecars' logs at once: what is harmless in one of them and hurts from all. No I/O.

It needs a line for every invocation (`log.access = "all"`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from loftweir.telemetry.reading import Record, seconds

# Of one span: what became of invocations, of invoker calls, and the calls to discovery that failed.
COLUMNS = (
    "invocations", "served", "rejected", "failed", "gone",
    "calls", "further", "connected", "ok", "error", "full", "timed_out", "connect_failed", "reset",
    "discovery_failed",
)  # fmt: skip
DISCOVERY = ("discovery.watch_failed", "discovery.list_failed")
WORST = ("error", "timed_out", "connect_failed", "reset", "full")


class Fleet(NamedTuple):
    """`spans`: for each span its beginning in Unix seconds and its counts; `providers`: for each provider the
    outcomes of the calls to it, the one with the most that were not ok first."""

    spans: list[tuple[float, Counter[str]]]
    providers: list[tuple[str, Counter[str]]]


def count(records: Iterable[Record], every: float) -> Fleet:
    """Counts records of any number of sidecars, in any order, by spans of `every` seconds."""
    spans: dict[int, Counter[str]] = {}
    providers: dict[str, Counter[str]] = {}
    for record in records:
        at = seconds(str(record.get("time", "")))
        if at is None:
            continue
        span = spans.setdefault(int(at // every), Counter())
        event, left_out = record["event"], int(record.get("left_out") or 0)
        if event in DISCOVERY:
            span["discovery_failed"] += 1 + left_out
        elif event == "log.repeats" and record.get("of") in DISCOVERY:
            span["discovery_failed"] += left_out
        if event != "access":
            continue
        span["invocations"] += 1
        span[str(record.get("how"))] += 1
        calls = record.get("calls")
        for number, call in enumerate(calls if isinstance(calls, list) else ()):
            outcome = str(call.get("outcome"))
            span.update(("calls", outcome))
            span["further"] += number > 0
            span["connected"] += float(call.get("connect_ms") or 0) > 0
            providers.setdefault(str(call.get("provider")), Counter())[outcome] += 1
    worst = sorted(providers.items(), key=lambda item: (-sum(item[1][name] for name in WORST), item[0]))
    return Fleet([(number * every, spans[number]) for number in sorted(spans)], worst)
