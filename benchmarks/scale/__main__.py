"""The command line of the scale runs.

    python -m benchmarks.scale point --hollow 580            # idle, overrides, lists: a point of every fit
    python -m benchmarks.scale restart --hollow 580 --restarted 180 --words 570
    python -m benchmarks.scale zone --hollow 580 --restarted 97 --words 570
    python -m benchmarks.scale region --hollow 100 --changes 24 --idle 20
    python -m benchmarks.scale stalled --hollow 580 --restarted 180 --changes 24
    python -m benchmarks.scale leader --hollow 580 --idle 16
    python -m benchmarks.scale beside --hollow 10 --real 10  # stub sidecars with a balancer beside real ones

Each takes under a minute. `--keep` appends the raw points to docs/figures; `python -m benchmarks.scale.fit` fits lines
to them.
"""

from __future__ import annotations

import argparse
import os
import signal
import sys

from benchmarks.scale import points, scenarios
from benchmarks.scale.fleet import Fleet, Size

CORES = 3  # cores that all processes of a run share
LEAST_AVAILABLE = 1024  # MB of free memory before and after a run; with less, reclaiming it distorts the times


def main() -> None:
    """Parses the arguments, runs the scenario, and keeps its points if asked to."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("scenario", choices=("point", "restart", "zone", "region", "stalled", "leader", "beside"))
    parser.add_argument("--hollow", type=int, default=100)
    parser.add_argument("--real", type=int, default=3)
    parser.add_argument("--voters", type=int, default=3)
    parser.add_argument("--kinds", default=",".join(scenarios.CHANGE_PHASES), help="phases of changes, in this order")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--idle", type=float, default=10.0, help="seconds of idle, of load, or of the partition")
    parser.add_argument("--within", type=float, default=10.0, help="seconds for the changes of one phase")
    parser.add_argument("--restarted", type=int, default=180, help="stub sidecars that restart, or stall, together")
    parser.add_argument("--words", type=int, default=570, help="overrides that are set before a restart")
    parser.add_argument("--cores", type=int, default=CORES)
    parser.add_argument("--keep", action="store_true", help="append the raw points to docs/figures")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # the exit closes the fleet
    os.sched_setaffinity(0, sorted(os.sched_getaffinity(0))[-arguments.cores :])
    before = points.machine()
    usage, times = run_scenario(arguments)
    after = points.machine()
    print(f"load average {after.load:.1f}, {before.available} MB of memory free before, {after.available} after")
    if min(before.available, after.available) < LEAST_AVAILABLE:
        print("no points kept: with so little memory, times are those of reclaiming it")
    elif arguments.keep:
        points.append(usage)
        points.append(times)


def run_scenario(arguments: argparse.Namespace) -> scenarios.Rows:
    """Runs the chosen scenario on a fleet of its own and returns its points."""
    size = Size(arguments.hollow, arguments.real, arguments.voters)
    phases = tuple(arguments.kinds.split(","))
    if arguments.scenario == "point":
        return scenarios.run_phases(size, phases, arguments.changes, arguments.idle, arguments.within)
    if arguments.scenario == "beside":
        usage, times = scenarios.run_phases(
            size._replace(cores=True), phases, arguments.changes, arguments.idle, arguments.within
        )
        return [points.under_scenario(row, scenarios.BESIDE) for row in usage], [
            points.under_scenario(row, scenarios.BESIDE) for row in times
        ]
    if arguments.scenario == "restart":
        with Fleet(size._replace(per_process=arguments.restarted)) as fleet:
            fleet.start()
            return scenarios.restart(fleet, fleet.stubs[0], arguments.words)
    if arguments.scenario == "region":
        with Fleet(size._replace(per_process=-(-arguments.hollow // 2), regions=2)) as fleet:
            fleet.start()
            return scenarios.region(fleet, arguments.changes, arguments.idle)
    if arguments.scenario == "zone":
        with Fleet(size._replace(per_process=arguments.restarted)) as fleet:
            fleet.start()
            return scenarios.zone(fleet, fleet.stubs[0], arguments.words)
    if arguments.scenario == "stalled":
        with Fleet(size._replace(per_process=arguments.restarted)) as fleet:
            fleet.start()
            return scenarios.stalled(fleet, fleet.stubs[0], arguments.changes)
    with Fleet(size) as fleet:
        fleet.start()
        return scenarios.leader_killed(fleet, arguments.idle)


if __name__ == "__main__":
    main()
