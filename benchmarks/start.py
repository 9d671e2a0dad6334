"""Start-up time and resident memory of one sidecar, this checkout's beside another's.

    python -m benchmarks.start [--other TREE] [--runs 9]

The two are started in turn; medians are printed.
"""

from __future__ import annotations

import argparse
import statistics
from pathlib import Path

from benchmarks.rig import ROOT, cores, program, providers


def main() -> None:
    """Starts the checkouts in turn and prints the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", type=Path, help="another checkout to start in turn with this one")
    parser.add_argument("--runs", type=int, default=9)
    arguments = parser.parse_args()
    trees = [ROOT, *([arguments.other.resolve()] if arguments.other else [])]
    seen: dict[Path, list[tuple[float, float]]] = {tree: [] for tree in trees}
    core_ids = cores()
    with providers(2, core_ids[2:]) as members:
        for _ in range(arguments.runs):
            for tree in trees:
                with program(members, core_ids[:1], tree) as running:
                    seen[tree].append((running.started_in * 1000, running.status("VmRSS") / 1024))
    for tree, runs in seen.items():
        started, memory = (statistics.median(column) for column in zip(*runs, strict=True))
        print(f"{'this' if tree == ROOT else 'other':6} ready in {started:6.1f} ms, resident {memory:5.2f} MB")


if __name__ == "__main__":
    main()
