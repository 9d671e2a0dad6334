"""Throughput and latency on one core, by the number of connections, beside a minimal relay in the same run.

    python -m benchmarks.rate [--other TREE] [--seconds 4] [--connections 1,16,64,256]
    python -m benchmarks.rate --added [--rate 1000]      the latency that the program adds at a steady rate

The sidecar is pinned to one core; providers and clients have the others.
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from benchmarks.rig import (
    ROOT,
    Load,
    Program,
    address_of,
    cores,
    listener,
    program,
    providers,
    quantile,
    run_loads,
    wait_until_ready,
)
from loftweir.standins.toy import ProviderList


@contextmanager
def relay(members: ProviderList, core_ids: list[int]) -> Iterator[Program]:
    """Runs the minimal relay of `benchmarks.relay`."""
    sock = listener()
    address = address_of(sock)
    sock.close()
    targets = [str(entry["address"]) for entry in members.entries.values()]
    arguments = [sys.executable, "-m", "benchmarks.relay", address, *targets]
    with tempfile.TemporaryFile() as errors:
        process = subprocess.Popen(
            arguments, cwd=ROOT, stderr=errors, preexec_fn=lambda: os.sched_setaffinity(0, core_ids)
        )
        try:
            wait_until_ready(process, address)
            yield Program(process, address, 0.0)
        finally:
            process.kill()
            process.wait()


def measure(name: str, running: Program, loads: list[Load], core_ids: list[int]) -> float:
    """Runs the loads, prints a line, and returns the requests a second that were served."""
    before = running.cpu()
    seen = run_loads(loads, core_ids)
    cpu = running.cpu() - before
    good = [t * 1000 for s in seen for status, t in s.times if status == 200]
    other = sum(1 for s in seen for status, _ in s.times if status != 200)
    rate = len(good) / loads[0].seconds
    late = max(s.late for s in seen) * 1000
    print(
        f"{name:8} {sum(load.connections for load in loads):5} connections {rate:8.0f}/s"
        f"  p50 {quantile(good, 0.5):7.2f}  p99 {quantile(good, 0.99):7.2f}  p99.9 {quantile(good, 0.999):7.2f} ms"
        f"  cpu {cpu / max(1, len(good)) * 1e6:6.0f} us/request  not served {other}"
        + (f"  rig late {late:.1f} ms" if loads[0].rate else ""),
        flush=True,
    )
    return rate


def main() -> None:
    """Measures each checkout and the relay."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", type=Path, help="another checkout, measured in the same run")
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--connections", default="1,16,64,256")
    parser.add_argument("--added", action="store_true", help="measure at a steady rate, also without any relay")
    parser.add_argument("--rate", type=float, default=1000)
    arguments = parser.parse_args()
    core_ids = cores()
    trees = {"this": ROOT} | ({"other": arguments.other.resolve()} if arguments.other else {})
    operator = '[log]\nlevel = "error"\n[limits]\nidle_of_sockets = "50%"\n'
    clients = core_ids[3:7] or core_ids
    with providers(2, core_ids[1:3]) as members:
        if arguments.added:
            direct = str(next(iter(members.entries.values()))["address"])
            loads = [Load(direct, 16, arguments.seconds, arguments.rate / 2)] * 2
            seen = run_loads(loads, clients)
            good = [t * 1000 for s in seen for status, t in s.times if status == 200]
            print(f"direct   p50 {quantile(good, 0.5):.2f}  p99 {quantile(good, 0.99):.2f} ms")
        for count in [32] if arguments.added else [int(n) for n in arguments.connections.split(",")]:
            processes = min(len(clients), count)
            each = [count // processes] * processes
            for name, tree in trees.items():
                with program(members, core_ids[:1], tree, operator if tree == ROOT else "") as running:
                    rate = arguments.rate / processes if arguments.added else 0.0
                    measure(name, running, [Load(running.address, n, arguments.seconds, rate) for n in each], clients)
            with relay(members, core_ids[:1]) as running:
                rate = arguments.rate / processes if arguments.added else 0.0
                measure("relay", running, [Load(running.address, n, arguments.seconds, rate) for n in each], clients)


if __name__ == "__main__":
    main()
