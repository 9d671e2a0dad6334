"""Copies in virtual time, with troubles from seeds: how many runs, promises and faults, and whether anything broke.

    python -m benchmarks.replication_virtual [--runs 10000] [--first 0] [--jobs 3] [--walk DEPTH]

Each seed is one run of `loftweir/emulator/replication_world.py`, the same whatever the jobs. A violation is printed
with its seed, which plays it again: `--first SEED --runs 1`. `--walk` goes through every order of events in small sizes
instead, to that depth.
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


def one(seed: int) -> tuple[int, int, int, int, Counter[str], str]:
    world = Simulation(seed)
    try:
        world.run()
    except Exception:  # whatever it was, this seed found it
        return seed, world.completions, world.reads, world.steps, world.fault_counts, traceback.format_exc(limit=-2)
    return seed, world.completions, world.reads, world.steps, world.fault_counts, ""


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=10_000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--walk", type=int, default=0)
    words = parser.parse_args()
    began = time.perf_counter()
    if words.walk:
        seen = ModelChecker().run(words.walk)
        took, cpu = time.perf_counter() - began, time.process_time()
        print(f"walk to depth {seen.depth}: {seen.states} states, {seen.completions} promises, 0 violations")
        print(f"{took:.0f} s, {cpu:.0f} s of processor time")
        return
    promises = reads = steps = violations = 0
    faults: Counter[str] = Counter()
    with Pool(words.jobs) as pool:
        for seed, *counts, kinds, broke in pool.imap_unordered(one, range(words.first, words.first + words.runs), 20):
            promises, reads, steps = (a + b for a, b in zip((promises, reads, steps), counts, strict=True))
            faults += kinds
            if broke:
                violations += 1
                print(f"seed {seed}:\n{broke}", flush=True)
    took = time.perf_counter() - began
    print(f"{words.runs} runs from seed {words.first}, {words.jobs} jobs: {took:.0f} s, {steps} steps")
    print(f"promises {promises}, reads {reads}, violations {violations}")
    print("faults: " + ", ".join(f"{kind} {count}" for kind, count in faults.most_common()))
    sys.exit(violations > 0)


if __name__ == "__main__":
    main()
