"""Least-squares slopes of the raw points, with their spread, a plot of each, and what they give at a size.

    python -m benchmarks.scale.fit [--at 580]      (plots need matplotlib)

Prints a table, and writes docs/figures/scale-fits.csv and docs/figures/scale-*.png. Fitted are the fleets of three
voters and up to 580 hollow sidecars; `bend` is what a larger one measured, as a multiple of what the line has there.
"""

from __future__ import annotations

import argparse
import csv
import math
import statistics
from collections import defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

from benchmarks.scale import points
from benchmarks.scale.points import FIGURES
from benchmarks.scale.scenarios import IDLE, LISTS_CHANGES, LISTS_WHOLE, WORDS

FITS = "scale-fits.csv"
LARGEST, VOTERS = 580, 3  # of a fleet that is fitted: the most hollow sidecars, and the voters
LEADER, VOTER, REAL, HOLLOW, DISCOVERY = "leader", "voter", "real", "hollow", "discovery"
VOTING = (LEADER, VOTER)
MIB = 1024 * 1024
PARTNERS = ("follower", "voter", "discovery")

Row = dict[str, Any]


class Line(NamedTuple):
    """y = intercept + slope * x, with standard errors."""

    points: int
    slope: float
    slope_error: float
    intercept: float
    intercept_error: float
    residual: float  # standard deviation of the residuals

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x


def fitted(xs: list[float], ys: list[float]) -> Line | None:
    """None where the points do not make a line."""
    count = len(xs)
    if count < 3 or len(set(xs)) < 2:
        return None
    mean = statistics.fmean(xs)
    spread = sum((x - mean) ** 2 for x in xs)
    slope, intercept = statistics.linear_regression(xs, ys)
    residual = math.sqrt(sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True)) / (count - 2))
    slope_error = residual / math.sqrt(spread)
    intercept_error = residual * math.sqrt(1 / count + mean**2 / spread)
    return Line(count, slope, slope_error, intercept, intercept_error, residual)


class Quantity(NamedTuple):
    """What is fitted of one phase: against the followers of a voter, or against the sidecars of the fleet."""

    name: str
    unit: str
    phase: str
    roles: tuple[str, ...]
    value: Callable[[Row, Row], float]  # of a row and the same process's idle row
    power: int = 1  # of the sidecars that it is fitted against


def traffic(row: Row, kind: str, partners: tuple[str, ...]) -> float:
    return float(sum(row[f"{partner}_{kind}_{way}"] for partner in partners for way in ("out", "in")))


def partners_of(row: Row) -> tuple[str, ...]:
    """With whom the traffic is that grows: a voter's with its followers, a sidecar's with all."""
    return ("follower",) if row["role"] in VOTING else PARTNERS


def idle_share(row: Row, idle: Row) -> float:
    return float(100 * row["cpu"] / row["seconds"] / row["sidecars"])


def idle_traffic(kind: str) -> Callable[[Row, Row], float]:
    return lambda row, idle: traffic(row, kind, partners_of(row)) / row["seconds"] / row["sidecars"]


def cpu_per_change(row: Row, idle: Row) -> float:
    """Milliseconds, less what idling for as long would have taken."""
    above = row["cpu"] - idle["cpu"] / idle["seconds"] * row["seconds"]
    return float(1000 * above / row["changes"] / row["sidecars"])


def bytes_per_change(row: Row, idle: Row) -> float:
    partners = partners_of(row)
    usual = traffic(idle, "bytes", partners) / idle["seconds"] * row["seconds"]
    return float((traffic(row, "bytes", partners) - usual) / row["changes"] / row["sidecars"])


def resident(row: Row, idle: Row) -> float:
    return float(row["resident"] / MIB / row["sidecars"])


def descriptors(row: Row, idle: Row) -> float:
    return float(row["descriptors"] / row["sidecars"])


SIDECARS = (REAL, HOLLOW)
QUANTITIES = (
    Quantity("idle-processor", "% of a core", IDLE, (*VOTING, *SIDECARS, DISCOVERY), idle_share),
    Quantity("idle-bytes", "bytes/s", IDLE, (*VOTING, *SIDECARS), idle_traffic("bytes")),
    Quantity("idle-messages", "messages/s", IDLE, (*VOTING, *SIDECARS), idle_traffic("messages")),
    Quantity("memory", "MB", IDLE, (*VOTING, REAL), resident),
    Quantity("descriptors", "", IDLE, (*VOTING, REAL), descriptors),
    Quantity("word-processor", "ms a word", WORDS, (*VOTING, *SIDECARS), cpu_per_change),
    Quantity("word-bytes", "bytes a word", WORDS, (*VOTING, *SIDECARS), bytes_per_change),
    Quantity("list-changes-processor", "ms a change", LISTS_CHANGES, (*SIDECARS, DISCOVERY), cpu_per_change),
    Quantity("list-changes-bytes", "bytes a change", LISTS_CHANGES, SIDECARS, bytes_per_change),
    Quantity("list-whole-processor", "ms a change", LISTS_WHOLE, (HOLLOW,), cpu_per_change),
    Quantity("list-whole-processor-real", "ms a change", LISTS_WHOLE, (REAL,), cpu_per_change, power=2),
    Quantity("list-whole-bytes", "bytes a change", LISTS_WHOLE, SIDECARS, bytes_per_change),
)
TIMED = (WORDS, LISTS_CHANGES, LISTS_WHOLE)


def number(text: str) -> Any:
    try:
        return float(text)
    except ValueError:
        return text


def rows_of(name: str) -> list[Row]:
    return [{key: number(value) for key, value in row.items()} for row in points.read(name)]


def x_of(row: Row) -> float:
    return float(row["followers"] if row["role"] in VOTING else row["hollow"] + row["real"] + row["voters"])


Series = dict[str, tuple[list[float], list[float]]]  # x and y by role


def series_of(quantity: Quantity, rows: list[Row], larger: bool = False) -> Series:
    """Of the fleets that are fitted, or of the larger ones."""
    idle = {(row["run"], row["process"]): row for row in rows if row["phase"] == IDLE}
    rows = [row for row in rows if row["voters"] == VOTERS and (row["hollow"] > LARGEST) is larger]
    found: Series = defaultdict(lambda: ([], []))
    for row in rows:
        at = row["run"], row["process"]
        if row["phase"] != quantity.phase or row["role"] not in quantity.roles or at not in idle:
            continue
        xs, ys = found[row["role"]]
        xs.append(x_of(row) ** quantity.power)
        ys.append(quantity.value(row, idle[at]))
    return dict(found)


def times_of(rows: list[Row]) -> dict[str, Series]:
    """By phase, the median and the worst of each run's changes, to the last hollow sidecar and the last real one."""
    runs: dict[tuple[str, Any], list[Row]] = defaultdict(list)
    for row in rows:
        runs[row["phase"], row["run"]].append(row)
    found: dict[str, Series] = {}
    for (phase, _), changes in sorted(runs.items()):
        if phase not in TIMED:
            continue
        series = found.setdefault(phase, defaultdict(lambda: ([], [])))
        x = changes[0]["hollow"] + changes[0]["real"]
        for which, key in (("hollow", "last"), ("real", "last_real")):
            taken = [1000 * row[key] for row in changes]
            for measure, value in (("median", statistics.median(taken)), ("worst", max(taken))):
                xs, ys = series[f"{which}, {measure}"]
                xs.append(x)
                ys.append(value)
    return found


def bend(line: Line, larger: tuple[list[float], list[float]] | None) -> float:
    if larger is None:
        return math.nan
    return statistics.fmean(y / line.at(x) for x, y in zip(*larger, strict=True))


def joined(first: Series, second: Series) -> Series:
    empty: tuple[list[float], list[float]] = ([], [])
    return {
        role: (
            first.get(role, empty)[0] + second.get(role, empty)[0],
            first.get(role, empty)[1] + second.get(role, empty)[1],
        )
        for role in [*first, *(role for role in second if role not in first)]
    }


def plot(name: str, x_label: str, y_label: str, series: Series, lines: dict[str, Line | None]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axis = plt.subplots(figsize=(5, 3.4))
    for role, (xs, ys) in series.items():
        drawn = axis.plot(xs, ys, "o", markersize=4, label=role)
        line = lines.get(role)
        if line is not None:
            ends = [0.0, max(xs)]
            axis.plot(ends, [line.at(x) for x in ends], color=drawn[0].get_color(), linewidth=1)
    axis.set(xlabel=x_label, ylabel=y_label, ylim=(0, None))
    axis.grid(alpha=0.3)
    axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(FIGURES / f"scale-{name}.png", dpi=80)
    plt.close(figure)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--at", type=float, nargs="*", default=[193.0, 580.0], help="sizes to work out")
    wanted = parser.parse_args()
    usage = rows_of(points.USAGE)
    heads = ["quantity", "role", "unit", "points", "slope", "slope_error", "intercept", "intercept_error", "residual"]
    heads += ["bend", *(f"at {x:g}" for x in wanted.at)]
    table: list[list[Any]] = []
    for quantity in QUANTITIES:
        series, larger = series_of(quantity, usage), series_of(quantity, usage, larger=True)
        lines = {role: fitted(*found) for role, found in series.items()}
        for role, line in lines.items():
            if line is not None:
                worked_out = [line.at(x**quantity.power) for x in wanted.at]
                values = [f"{value:.4g}" for value in (*line[1:], bend(line, larger.get(role)), *worked_out)]
                table.append([quantity.name, role, quantity.unit, line.points, *values])
        x_label = "followers of the voter; else sidecars of the fleet" + (", squared" if quantity.power == 2 else "")
        plot(quantity.name, x_label, quantity.unit, joined(series, larger), lines)
    for phase, series in times_of(rows_of(points.TIMES)).items():
        plot(f"time-{phase}", "sidecars that follow", "ms from the change to the last one", series, {})
    with (FIGURES / FITS).open("w", newline="", encoding="utf-8") as file:
        csv.writer(file, lineterminator="\n").writerows([heads, *table])
    print(" | ".join(heads))
    for row in table:
        print(" | ".join(map(str, row)))


if __name__ == "__main__":
    main()
