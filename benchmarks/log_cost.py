"""The cost of logging: requests a second on one core, and the slowest response, for each configuration of the log.

    python -m benchmarks.log_cost [--seconds 5] [--rounds 3]

`stuck`: access logging is on, and nothing reads the pipe that the log is written to.
"""

from __future__ import annotations

import argparse
import os
import statistics
import subprocess

from benchmarks.rig import Load, cores, program, providers, run_loads

# By name: the operator's file, and where the log goes.
LOGGING = {
    "nothing said": ('[log]\nlevel = "error"\n', "null"),
    "info": ("", "null"),
    "access sampled 1%": ('[log]\naccess = "sampled"\n', "null"),
    "access all, json": ('[log]\naccess = "all"\n', "null"),
    "access all, logfmt": ('[log]\naccess = "all"\nformat = "logfmt"\n', "null"),
    "access all, stuck": ('[log]\naccess = "all"\n', "stuck"),
}


def main() -> None:
    """Runs all configurations in turn and prints the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--rounds", type=int, default=3)
    arguments = parser.parse_args()
    core_ids = cores()
    rates: dict[str, list[tuple[float, float]]] = {name: [] for name in LOGGING}
    with providers(2, core_ids[1:3]) as members:
        for _ in range(arguments.rounds):
            for name, (operator, where) in LOGGING.items():
                reads, writes = os.pipe()
                stderr = writes if where == "stuck" else subprocess.DEVNULL
                with program(members, core_ids[:1], operator=operator, stderr=stderr) as running:
                    seen = run_loads([Load(running.address, 8, arguments.seconds) for _ in range(2)], core_ids[3:])
                os.close(reads)
                os.close(writes)
                times = [t for s in seen for status, t in s.times if status == 200]
                rates[name].append((len(times) / arguments.seconds, max(times) * 1000))
    for name, runs in rates.items():
        rate, slowest = (statistics.median(column) for column in zip(*runs, strict=True))
        print(f"{name:20} {rate:7.0f} requests/s, slowest answer {slowest:6.1f} ms")


if __name__ == "__main__":
    main()
