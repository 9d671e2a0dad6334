"""Draws the chart of docs/data-path.md from docs/figures/data-path.csv.

python -m benchmarks.chart        (needs matplotlib)
"""

from __future__ import annotations

import csv
from collections import defaultdict

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

from benchmarks.rig import ROOT  # noqa: E402

FIGURES = ROOT / "docs" / "figures"
# The labels of the axes of each chart.
AXES = {
    "goodput": ("offered load, times the capacity", "answered in time, requests/s"),
    "idle": ("silent connections", "resident memory, MB"),
}


def main() -> None:
    """Writes docs/figures/data-path.png."""
    rows: dict[str, dict[str, list[tuple[float, float]]]] = defaultdict(lambda: defaultdict(list))
    with (FIGURES / "data-path.csv").open(encoding="utf-8") as file:
        for row in csv.DictReader(file):
            rows[row["figure"]][row["series"]].append((float(row["x"]), float(row["y"])))
    figure, axes = plt.subplots(1, len(AXES), figsize=(10, 4))
    for axis, (name, (x, y)) in zip(axes, AXES.items(), strict=True):
        for series, points in rows[name].items():
            axis.plot(*zip(*points, strict=True), marker="o", label=series)
        axis.set(xlabel=x, ylabel=y, ylim=(0, None))
        axis.grid(alpha=0.3)
        axis.legend()
    figure.tight_layout()
    figure.savefig(FIGURES / "data-path.png", dpi=110)


if __name__ == "__main__":
    main()
