"""Random simulated runs of several sites in virtual time, checked against the fifth rule.

    python -m benchmarks.partners_virtual --runs 10000 [--jobs 8] [--first 0]

Prints the violations by seed and how many runs had each kind of event; exits with 1 after a violation.
"""

from __future__ import annotations

import argparse
import time
from collections import Counter
from multiprocessing import Pool

from loftweir.emulator.sites import simulate


def run_seed(seed: int) -> tuple[int, list[str], Counter[str], int]:
    """Runs one seed; returns its violations, its events and the number of checked operations."""
    simulation = simulate(seed)
    return seed, simulation.violations(), simulation.event_counts, simulation.oracle.acts


def main() -> int:
    """Runs all seeds and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--first", type=int, default=0)
    arguments = parser.parse_args()
    began = time.perf_counter()
    seen: Counter[str] = Counter()
    violated = acts = 0
    with Pool(arguments.jobs) as pool:
        for seed, found, counts, judged in pool.imap_unordered(
            run_seed, range(arguments.first, arguments.first + arguments.runs), 8
        ):
            seen.update(dict.fromkeys(counts, 1))
            acts += judged
            if found:
                violated += 1
                print(f"seed {seed}: {found[0]} ({len(found)} in all)", flush=True)
    took = time.perf_counter() - began
    print(f"{arguments.runs} runs in {took:.0f} s, {acts} acts judged, {violated} runs with a breach")
    print("runs that had: " + ", ".join(f"{name} {count}" for name, count in sorted(seen.items())))
    return 1 if violated else 0


if __name__ == "__main__":
    raise SystemExit(main())
