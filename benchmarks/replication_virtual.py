"""Simulates replication in virtual time with faults from seeds, and counts runs, acknowledged writes and violations.

    python -m benchmarks.replication_virtual [--runs 10000] [--first 0] [--jobs 3] [--walk DEPTH]

Each seed is one run of `loftweir/emulator/replication_world.py`, independent of the number of jobs. A violation is
printed with its seed, which reproduces it: `--first SEED --runs 1`. `--walk` instead explores every order of events of
small clusters, up to that depth.
"""

from __future__ import annotations

import argparse
import sys
import time
import traceback
from collections import Counter
from multiprocessing import Pool

from loftweir.emulator.replication_world import Simulation
from loftweir.emulator.walk import ModelChecker


def run_seed(seed: int) -> tuple[int, int, int, int, Counter[str], str]:
    """Runs one seed; returns its counts and the violation, empty if there is none."""
    simulation = Simulation(seed)
    try:
        simulation.run()
    except Exception:  # any exception is a violation that this seed found
        return (
            seed,
            simulation.completions,
            simulation.reads,
            simulation.steps,
            simulation.fault_counts,
            traceback.format_exc(limit=-2),
        )
    return seed, simulation.completions, simulation.reads, simulation.steps, simulation.fault_counts, ""


def main() -> None:
    """Runs all seeds, or the model checker, and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=10_000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--walk", type=int, default=0)
    arguments = parser.parse_args()
    began = time.perf_counter()
    if arguments.walk:
        seen = ModelChecker().run(arguments.walk)
        took, cpu = time.perf_counter() - began, time.process_time()
        print(f"walk to depth {seen.depth}: {seen.states} states, {seen.completions} promises, 0 violations")
        print(f"{took:.0f} s, {cpu:.0f} s of processor time")
        return
    promises = reads = steps = violations = 0
    faults: Counter[str] = Counter()
    with Pool(arguments.jobs) as pool:
        for seed, *counts, kinds, error in pool.imap_unordered(
            run_seed, range(arguments.first, arguments.first + arguments.runs), 20
        ):
            promises, reads, steps = (a + b for a, b in zip((promises, reads, steps), counts, strict=True))
            faults += kinds
            if error:
                violations += 1
                print(f"seed {seed}:\n{error}", flush=True)
    took = time.perf_counter() - began
    print(f"{arguments.runs} runs from seed {arguments.first}, {arguments.jobs} jobs: {took:.0f} s, {steps} steps")
    print(f"promises {promises}, reads {reads}, violations {violations}")
    print("faults: " + ", ".join(f"{kind} {count}" for kind, count in faults.most_common()))
    sys.exit(violations > 0)


if __name__ == "__main__":
    main()
