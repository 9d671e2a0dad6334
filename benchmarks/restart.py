"""Time to full service after a mass restart with discovery down: five sidecars killed together and started again.

    python -m benchmarks.restart [--runs 20]

Each run is the test of `tests/test_mass_restart.py`; the time is from the first start until the last of the five serves
from its snapshot. Median and worst are printed.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from test_mass_restart import MassRestart  # noqa: E402


def main() -> None:
    """Runs the test repeatedly and prints the times."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=20)
    runs = parser.parse_args().runs
    times = []
    for _ in range(runs):
        case = MassRestart("test_all_restart_with_their_snapshots_while_discovery_is_down_and_a_drain_is_kept")
        result = unittest.TestResult()
        case.run(result)
        if result.failures or result.errors:
            sys.exit(f"a run failed: {(result.failures or result.errors)[0][1]}")
        times.append(case.restart_time * 1000)
    median, worst = statistics.median(times), max(times)
    print(f"{runs} runs of 5 sidecars: to full service median {median:.0f} ms, worst {worst:.0f} ms")


if __name__ == "__main__":
    main()
