"""Goodput against offered load, up to four times what the core can do.

    python -m benchmarks.overload [--other TREE] [--seconds 4] [--loads 0.5,1,1.5,2,4]

First clients in a closed loop measure the capacity; then requests are offered at a steady rate, whether or not they are
answered. Good is a 200 within the latency target (600 ms). `refused in` is the time until a 503.
"""

from __future__ import annotations

import argparse
from pathlib import Path

from benchmarks.rig import ROOT, Load, cores, program, providers, quantile, run_loads

AIM = 0.6  # s, the latency target
OPERATOR = '[log]\nlevel = "error"\n[limits]\nidle_of_sockets = "50%"\n'


def main() -> None:
    """Measures each checkout at each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", type=Path)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--loads", default="0.5,1,1.5,2,4")
    arguments = parser.parse_args()
    core_ids = cores()
    clients = core_ids[3:] or core_ids
    trees = {"this": ROOT} | ({"other": arguments.other.resolve()} if arguments.other else {})
    with providers(2, core_ids[1:3]) as members:
        for name, tree in trees.items():
            operator = OPERATOR if tree == ROOT else ""
            with program(members, core_ids[:1], tree, operator) as running:
                seen = run_loads([Load(running.address, 4, arguments.seconds)] * 4, clients)
                capacity = sum(status == 200 for s in seen for status, _ in s.times) / arguments.seconds
            print(f"{name}: capacity {capacity:.0f}/s")
            for part in map(float, arguments.loads.split(",")):
                with program(members, core_ids[:1], tree, operator) as running:
                    each = capacity * part / len(clients)
                    before = running.cpu()
                    seen = run_loads([Load(running.address, 150, arguments.seconds, each)] * len(clients), clients)
                    cpu = running.cpu() - before
                    after = run_loads(
                        [Load(running.address, 20, 2.0, capacity / 4 / len(clients))] * len(clients), clients
                    )
                times = [pair for s in seen for pair in s.times]
                offered = sum(s.offered for s in seen)
                good = sum(status == 200 and t <= AIM for status, t in times)
                refused = [t * 1000 for status, t in times if status == 503]
                lost = sum(status == 0 for status, _ in times)
                calm = [pair for s in after for pair in s.times]
                normal = sum(status == 200 and t <= AIM for status, t in calm) / max(1, len(calm))
                print(
                    f"  {part:4.2g} times {offered / arguments.seconds:7.0f}/s  good {good / arguments.seconds:6.0f}/s"
                    f"  refused {len(refused) / arguments.seconds:6.0f}/s in p50 {quantile(refused, 0.5):6.1f}"
                    f" p99 {quantile(refused, 0.99):6.1f} ms  other {len(times) - good - len(refused) - lost}"
                    f"  unanswered {lost}  cpu {cpu:4.1f} s  afterwards good {normal:.3f}"
                    f"  rig late {max(s.late for s in seen) * 1000:.0f} ms",
                    flush=True,
                )


if __name__ == "__main__":
    main()
