"""Requests a second and times on one core, by the number of connections, beside a bare relay in the same run.

    python -m benchmarks.rate [--other TREE] [--seconds 4] [--connections 1,16,64,256]
    python -m benchmarks.rate --added [--rate 1000]      what the program adds at a steady rate

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

from benchmarks.rig import ROOT, Load, Program, address_of, cores, listener, offer, program, providers, quantile, ready
from loftweir.standins.toy import ProviderList


@contextmanager
def relay(members: ProviderList, on: list[int]) -> Iterator[Program]:
    sock = listener()
    address = address_of(sock)
    sock.close()
    targets = [str(entry["address"]) for entry in members.entries.values()]
    words = [sys.executable, "-m", "benchmarks.relay", address, *targets]
    with tempfile.TemporaryFile() as errors:
        process = subprocess.Popen(words, cwd=ROOT, stderr=errors, preexec_fn=lambda: os.sched_setaffinity(0, on))
        try:
            ready(process, address)
            yield Program(process, address, 0.0)
        finally:
            process.kill()
            process.wait()


def shown(name: str, running: Program, loads: list[Load], on: list[int]) -> float:
    before = running.cpu()
    seen = offer(loads, on)
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
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", type=Path, help="another checkout, measured in the same run")
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--connections", default="1,16,64,256")
    parser.add_argument("--added", action="store_true", help="at a steady rate, beside no relay at all")
    parser.add_argument("--rate", type=float, default=1000)
    words = parser.parse_args()
    on = cores()
    trees = {"this": ROOT} | ({"other": words.other.resolve()} if words.other else {})
    operator = '[log]\nlevel = "error"\n[limits]\nidle_of_sockets = "50%"\n'
    clients = on[3:7] or on
    with providers(2, on[1:3]) as members:
        if words.added:
            direct = str(next(iter(members.entries.values()))["address"])
            loads = [Load(direct, 16, words.seconds, words.rate / 2)] * 2
            seen = offer(loads, clients)
            good = [t * 1000 for s in seen for status, t in s.times if status == 200]
            print(f"direct   p50 {quantile(good, 0.5):.2f}  p99 {quantile(good, 0.99):.2f} ms")
        for count in [32] if words.added else [int(n) for n in words.connections.split(",")]:
            processes = min(len(clients), count)
            each = [count // processes] * processes
            for name, tree in trees.items():
                with program(members, on[:1], tree, operator if tree == ROOT else "") as running:
                    rate = words.rate / processes if words.added else 0.0
                    shown(name, running, [Load(running.address, n, words.seconds, rate) for n in each], clients)
            with relay(members, on[:1]) as running:
                rate = words.rate / processes if words.added else 0.0
                shown("relay", running, [Load(running.address, n, words.seconds, rate) for n in each], clients)


if __name__ == "__main__":
    main()
