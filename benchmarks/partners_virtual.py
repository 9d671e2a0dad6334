"""Random days of several sites in virtual time, judged by the fifth rule.

    python -m benchmarks.partners_virtual --runs 10000 [--jobs 8] [--first 0]

Prints what was found, by seed, and how often each thing happened; ends with 1 if anything was found.
"""

from __future__ import annotations

import argparse
import time
from collections import Counter
from multiprocessing import Pool

from loftweir.emulator.sites import simulate


def one(seed: int) -> tuple[int, list[str], Counter[str], int]:
    world = simulate(seed)
    return seed, world.violations(), world.event_counts, world.oracle.acts


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--first", type=int, default=0)
    words = parser.parse_args()
    begun = time.perf_counter()
    seen: Counter[str] = Counter()
    bad = acts = 0
    with Pool(words.jobs) as pool:
        for seed, found, counts, judged in pool.imap_unordered(one, range(words.first, words.first + words.runs), 8):
            seen.update(dict.fromkeys(counts, 1))
            acts += judged
            if found:
                bad += 1
                print(f"seed {seed}: {found[0]} ({len(found)} in all)", flush=True)
    took = time.perf_counter() - begun
    print(f"{words.runs} runs in {took:.0f} s, {acts} acts judged, {bad} runs with a breach")
    print("runs that had: " + ", ".join(f"{name} {count}" for name, count in sorted(seen.items())))
    return 1 if bad else 0


if __name__ == "__main__":
    raise SystemExit(main())
