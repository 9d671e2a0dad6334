"""Least-squares lines through the raw points, with their errors, a plot of each, and their values at given sizes.

    python -m benchmarks.scale.fit [--at 580]      (plots need matplotlib)

Prints a table, and writes docs/figures/scale-fits.csv and docs/figures/scale-*.png. The lines are fitted to fleets of
three voters and up to 580 stub sidecars; `bend` is the mean ratio of the points of larger fleets to the line.
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
from benchmarks.scale.scenarios import IDLE, LISTS_CHANGES, LISTS_WHOLE, OVERRIDES

FITS = "scale-fits.csv"
LARGEST = 580  # stub sidecars of a fleet that lines are fitted to
VOTERS = 3  # of a fleet that lines are fitted to
# Roles of processes.
LEADER = "leader"
VOTER = "voter"
REAL = "real"
HOLLOW = "hollow"
DISCOVERY = "discovery"
VOTING = (LEADER, VOTER)
MIB = 1024 * 1024  # bytes
PEERS = ("follower", "voter", "discovery")  # prefixes of the columns of traffic

Row = dict[str, Any]


class LineFit(NamedTuple):
    """y = intercept + slope * x, with standard errors."""

    points: int
    slope: float
    slope_error: float
    intercept: float
    intercept_error: float
    residual: float  # standard deviation of the residuals

    def at(self, x: float) -> float:
        """The value of the line at x."""
        return self.intercept + self.slope * x


def fit_line(xs: list[float], ys: list[float]) -> LineFit | None:
    """Fits a line to the points; None if they are fewer than three or have one x."""
    count = len(xs)
    if count < 3 or len(set(xs)) < 2:
        return None
    mean = statistics.fmean(xs)
    spread = sum((x - mean) ** 2 for x in xs)
    slope, intercept = statistics.linear_regression(xs, ys)
    residual = math.sqrt(sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True)) / (count - 2))
    slope_error = residual / math.sqrt(spread)
    intercept_error = residual * math.sqrt(1 / count + mean**2 / spread)
    return LineFit(count, slope, slope_error, intercept, intercept_error, residual)


class Quantity(NamedTuple):
    """A quantity of one phase, fitted against the observers of a voter or the sidecars of the fleet."""

    name: str
    unit: str
    phase: str
    roles: tuple[str, ...]
    value: Callable[[Row, Row], float]  # from a row and the idle row of the same process
    power: int = 1  # of the number of sidecars, for the x axis


def traffic(row: Row, kind: str, peers: tuple[str, ...]) -> float:
    """Bytes or messages (`kind`) exchanged with these peers, in both directions."""
    return float(sum(row[f"{peer}_{kind}_{way}"] for peer in peers for way in ("out", "in")))


def peers_of(row: Row) -> tuple[str, ...]:
    """The peers whose traffic counts: those of a voter are its observers, those of a sidecar all."""
    return ("follower",) if row["role"] in VOTING else PEERS


def idle_share(row: Row, idle: Row) -> float:
    """Percent of a core, for each sidecar of the process."""
    return float(100 * row["cpu"] / row["seconds"] / row["sidecars"])


def idle_traffic(kind: str) -> Callable[[Row, Row], float]:
    """Bytes or messages a second, for each sidecar of the process."""
    return lambda row, idle: traffic(row, kind, peers_of(row)) / row["seconds"] / row["sidecars"]


def cpu_per_change(row: Row, idle: Row) -> float:
    """Milliseconds for each change and sidecar, without those of idling for as long."""
    above = row["cpu"] - idle["cpu"] / idle["seconds"] * row["seconds"]
    return float(1000 * above / row["changes"] / row["sidecars"])


def bytes_per_change(row: Row, idle: Row) -> float:
    """Bytes for each change and sidecar, without those of idling for as long."""
    peers = peers_of(row)
    usual = traffic(idle, "bytes", peers) / idle["seconds"] * row["seconds"]
    return float((traffic(row, "bytes", peers) - usual) / row["changes"] / row["sidecars"])


def resident(row: Row, idle: Row) -> float:
    """Resident memory in MiB, for each sidecar of the process."""
    return float(row["resident"] / MIB / row["sidecars"])


def descriptors(row: Row, idle: Row) -> float:
    """Open descriptors, for each sidecar of the process."""
    return float(row["descriptors"] / row["sidecars"])


SIDECARS = (REAL, HOLLOW)
QUANTITIES = (
    Quantity("idle-processor", "% of a core", IDLE, (*VOTING, *SIDECARS, DISCOVERY), idle_share),
    Quantity("idle-bytes", "bytes/s", IDLE, (*VOTING, *SIDECARS), idle_traffic("bytes")),
    Quantity("idle-messages", "messages/s", IDLE, (*VOTING, *SIDECARS), idle_traffic("messages")),
    Quantity("memory", "MB", IDLE, (*VOTING, REAL), resident),
    Quantity("descriptors", "", IDLE, (*VOTING, REAL), descriptors),
    Quantity("word-processor", "ms a word", OVERRIDES, (*VOTING, *SIDECARS), cpu_per_change),
    Quantity("word-bytes", "bytes a word", OVERRIDES, (*VOTING, *SIDECARS), bytes_per_change),
    Quantity("list-changes-processor", "ms a change", LISTS_CHANGES, (*SIDECARS, DISCOVERY), cpu_per_change),
    Quantity("list-changes-bytes", "bytes a change", LISTS_CHANGES, SIDECARS, bytes_per_change),
    Quantity("list-whole-processor", "ms a change", LISTS_WHOLE, (HOLLOW,), cpu_per_change),
    Quantity("list-whole-processor-real", "ms a change", LISTS_WHOLE, (REAL,), cpu_per_change, power=2),
    Quantity("list-whole-bytes", "bytes a change", LISTS_WHOLE, SIDECARS, bytes_per_change),
)
TIMED = (OVERRIDES, LISTS_CHANGES, LISTS_WHOLE)  # phases whose times are plotted


def number(text: str) -> Any:
    """The text as a number, if it is one."""
    try:
        return float(text)
    except ValueError:
        return text


def rows_of(name: str) -> list[Row]:
    """The rows of a CSV file, with numbers in place of their texts."""
    return [{key: number(value) for key, value in row.items()} for row in points.read(name)]


def x_of(row: Row) -> float:
    """The number of observers or sidecars that the row is plotted against."""
    return float(row["followers"] if row["role"] in VOTING else row["hollow"] + row["real"] + row["voters"])


Series = dict[str, tuple[list[float], list[float]]]  # x and y by role


def series_of(quantity: Quantity, rows: list[Row], larger: bool = False) -> Series:
    """The points of the fleets that lines are fitted to, or of the larger ones."""
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
    """By phase, median and worst time of each run's changes until the last stub sidecar and the last real one."""
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


def bend(line: LineFit, larger: tuple[list[float], list[float]] | None) -> float:
    """The mean ratio of the points of larger fleets to the line; NaN if there are none."""
    if larger is None:
        return math.nan
    return statistics.fmean(y / line.at(x) for x, y in zip(*larger, strict=True))


def joined(first: Series, second: Series) -> Series:
    """The points of both, by role."""
    empty: tuple[list[float], list[float]] = ([], [])
    return {
        role: (
            first.get(role, empty)[0] + second.get(role, empty)[0],
            first.get(role, empty)[1] + second.get(role, empty)[1],
        )
        for role in [*first, *(role for role in second if role not in first)]
    }


def plot(name: str, x_label: str, y_label: str, series: Series, lines: dict[str, LineFit | None]) -> None:
    """Writes the plot of one quantity to docs/figures."""
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
    """Fits all quantities, and writes the table and the plots."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--at", type=float, nargs="*", default=[193.0, 580.0], help="sizes to evaluate the lines at")
    arguments = parser.parse_args()
    usage = rows_of(points.USAGE)
    headings = [
        "quantity",
        "role",
        "unit",
        "points",
        "slope",
        "slope_error",
        "intercept",
        "intercept_error",
        "residual",
    ]
    headings += ["bend", *(f"at {x:g}" for x in arguments.at)]
    table: list[list[Any]] = []
    for quantity in QUANTITIES:
        series, larger = series_of(quantity, usage), series_of(quantity, usage, larger=True)
        lines = {role: fit_line(*found) for role, found in series.items()}
        for role, line in lines.items():
            if line is not None:
                worked_out = [line.at(x**quantity.power) for x in arguments.at]
                values = [f"{value:.4g}" for value in (*line[1:], bend(line, larger.get(role)), *worked_out)]
                table.append([quantity.name, role, quantity.unit, line.points, *values])
        x_label = "followers of the voter; else sidecars of the fleet" + (", squared" if quantity.power == 2 else "")
        plot(quantity.name, x_label, quantity.unit, joined(series, larger), lines)
    for phase, series in times_of(rows_of(points.TIMES)).items():
        plot(f"time-{phase}", "sidecars that follow", "ms from the change to the last one", series, {})
    with (FIGURES / FITS).open("w", newline="", encoding="utf-8") as file:
        csv.writer(file, lineterminator="\n").writerows([headings, *table])
    print(" | ".join(headings))
    for row in table:
        print(" | ".join(map(str, row)))


if __name__ == "__main__":
    main()
