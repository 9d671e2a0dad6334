"""The command line of the scale runs.

    python -m benchmarks.scale point --hollow 580            # idle, words, lists: a point of every slope
    python -m benchmarks.scale restart --hollow 580 --restarted 180 --words 570
    python -m benchmarks.scale zone --hollow 580 --restarted 97 --words 570
    python -m benchmarks.scale region --hollow 100 --changes 24 --idle 20
    python -m benchmarks.scale stalled --hollow 580 --restarted 180 --changes 24
    python -m benchmarks.scale leader --hollow 580 --idle 16
    python -m benchmarks.scale beside --hollow 10 --real 10  # hollow sidecars with decision cores beside real ones

Each takes under a minute. `--keep` appends the raw points to docs/figures; `python -m benchmarks.scale.fit` fits them.
"""

from __future__ import annotations

import argparse
import os
import signal
import sys

from benchmarks.scale import points, scenarios
from benchmarks.scale.fleet import Fleet, Size

CORES = 3  # of the machine, that all processes of a run share
LEAST_AVAILABLE = 1024  # MB of memory, before and after a run that is kept


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("scenario", choices=("point", "restart", "zone", "region", "stalled", "leader", "beside"))
    parser.add_argument("--hollow", type=int, default=100)
    parser.add_argument("--real", type=int, default=3)
    parser.add_argument("--voters", type=int, default=3)
    parser.add_argument("--kinds", default=",".join(scenarios.KINDS), help="of changes, in this order")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--idle", type=float, default=10.0, help="seconds of idle, under load, or apart")
    parser.add_argument("--within", type=float, default=10.0, help="seconds for the changes of one kind")
    parser.add_argument("--restarted", type=int, default=180, help="hollow sidecars that restart, or stall, together")
    parser.add_argument("--words", type=int, default=570, help="said before a restart")
    parser.add_argument("--cores", type=int, default=CORES)
    parser.add_argument("--keep", action="store_true", help="append the raw points to docs/figures")
    wanted = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # the fleet is closed on the way
    os.sched_setaffinity(0, sorted(os.sched_getaffinity(0))[-wanted.cores :])
    before = points.machine()
    usage, times = played(wanted)
    after = points.machine()
    print(f"load average {after.load:.1f}, {before.available} MB of memory free before, {after.available} after")
    if min(before.available, after.available) < LEAST_AVAILABLE:
        print("no points kept: with so little memory, times are those of reclaiming it")
    elif wanted.keep:
        points.append(usage)
        points.append(times)


def played(wanted: argparse.Namespace) -> scenarios.Rows:
    size = Size(wanted.hollow, wanted.real, wanted.voters)
    phases = tuple(wanted.kinds.split(","))
    if wanted.scenario == "point":
        return scenarios.of_phases(size, phases, wanted.changes, wanted.idle, wanted.within)
    if wanted.scenario == "beside":
        usage, times = scenarios.of_phases(
            size._replace(cores=True), phases, wanted.changes, wanted.idle, wanted.within
        )
        return [points.of_run(row, scenarios.BESIDE) for row in usage], [
            points.of_run(row, scenarios.BESIDE) for row in times
        ]
    if wanted.scenario == "restart":
        with Fleet(size._replace(a_process=wanted.restarted)) as fleet:
            fleet.begin()
            return scenarios.restart(fleet, fleet.hollows[0], wanted.words)
    if wanted.scenario == "region":
        with Fleet(size._replace(a_process=-(-wanted.hollow // 2), regions=2)) as fleet:
            fleet.begin()
            return scenarios.region(fleet, wanted.changes, wanted.idle)
    if wanted.scenario == "zone":
        with Fleet(size._replace(a_process=wanted.restarted)) as fleet:
            fleet.begin()
            return scenarios.zone(fleet, fleet.hollows[0], wanted.words)
    if wanted.scenario == "stalled":
        with Fleet(size._replace(a_process=wanted.restarted)) as fleet:
            fleet.begin()
            return scenarios.stalled(fleet, fleet.hollows[0], wanted.changes)
    with Fleet(size) as fleet:
        fleet.begin()
        return scenarios.leader_killed(fleet, wanted.idle)


if __name__ == "__main__":
    main()
