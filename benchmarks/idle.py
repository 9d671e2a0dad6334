"""The cost of silent connections: memory and CPU against their number, while requests are served.

    python -m benchmarks.idle [--counts 0,1000,5000,10000,19000] [--rate 500] [--seconds 5] [--other TREE]

The descriptor limit of the machine bounds the number; the connections come from several loopback addresses. With
`--wave` all of them time out in the same second while the requests go on.
"""

from __future__ import annotations

import argparse
import multiprocessing
import os
import resource
import socket
import time
from pathlib import Path
from typing import Any

from benchmarks.rig import ROOT, Load, cores, program, providers, quantile, request, run_loads

PER_PROCESS = 9_000  # silent connections of one client process
BODY = b"POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: slow-%d\r\nReq-Kind: apply-submit\r\nContent-Length: 1000\r\n\r\n"


def open_silent_connections(
    address: str, number: int, first: int, core_ids: list[int], prefix: bytes, drip: float, opened: Any, stop: Any
) -> None:
    """Opens connections and sends `prefix` on each; with `drip`, also one byte every so many seconds."""
    os.sched_setaffinity(0, core_ids)
    host, port = address.split(":")
    socks = []
    for n in range(number):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((f"127.0.0.{2 + (first + n) // PER_PROCESS}", 0))  # one address has about 28,000 ephemeral ports
        sock.connect((host, int(port)))
        if prefix:
            sock.send(prefix)
        socks.append(sock)
    opened.put(number)
    step = 0
    while not stop.wait(drip or None):
        step += 1
        for n, sock in enumerate(socks):  # a third each: a slow head, a slow body, a slow reader of the response
            try:
                if n % 3 == 2:
                    if step == 1:
                        sock.send(request(first + n))
                    sock.recv(1)
                elif n % 3 == 1 and step == 1:
                    sock.send(BODY % (first + n))
                else:
                    sock.send(request(first + n)[step - 1 : step] if n % 3 == 0 else b"x")
            except OSError:
                pass


def main() -> None:
    """Measures each checkout with each number of connections."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--counts", default="0,1000,2500,5000,10000,15000,19000")
    parser.add_argument("--rate", type=float, default=500)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--other", type=Path)
    parser.add_argument("--wave", type=float, default=0, help="seconds after which all silent connections time out")
    parser.add_argument("--said", default="", help="what each connection sends before it falls silent")
    parser.add_argument(
        "--drip", type=float, default=0, help="seconds between two bytes that each connection sends or reads"
    )
    arguments = parser.parse_args()
    core_ids = cores()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    timeout = f"{arguments.wave:g}s" if arguments.wave else "1h"
    operator = (
        f'[log]\nlevel = "error"\n[limits]\nrequest_within = "{timeout}"\nidle_for = "{timeout}"\nbacklog = 4096\n'
        'consumers_of_sockets = "90%"\nidle_of_sockets = "90%"\n'
    )
    limits = {"sockets": hard, "memory_mb": 2048}
    base: dict[str, float] = {}
    with providers(2, core_ids[1:2]) as members:
        for count in map(int, arguments.counts.split(",")):
            for name, tree in {
                "this": ROOT,
                **({"other": arguments.other.resolve()} if arguments.other else {}),
            }.items():
                with program(members, core_ids[:1], tree, operator if tree == ROOT else "", limits=limits) as running:
                    opened: Any = multiprocessing.Queue()
                    stop = multiprocessing.Event()
                    parts = [min(PER_PROCESS, count - n) for n in range(0, count, PER_PROCESS)]
                    processes = [
                        multiprocessing.Process(
                            target=open_silent_connections,
                            args=(
                                running.address,
                                part,
                                n * PER_PROCESS,
                                core_ids[2:4],
                                arguments.said.encode(),
                                arguments.drip,
                                opened,
                                stop,
                            ),  # fmt: skip
                        )
                        for n, part in enumerate(parts)
                    ]
                    for process in processes:
                        process.start()
                    for _ in processes:
                        opened.get(timeout=120)
                    time.sleep(0.5)
                    resident = running.status("VmRSS") / 1024
                    base.setdefault(name, resident)
                    seconds = arguments.wave + 3 if arguments.wave else arguments.seconds
                    before = running.cpu()
                    seen = run_loads([Load(running.address, 16, seconds, arguments.rate / 2)] * 2, core_ids[4:6])
                    cpu = (running.cpu() - before) / seconds
                    stop.set()
                    for process in processes:
                        process.join()
                times = [t * 1000 for s in seen for status, t in s.times if status == 200]
                lost = sum(status != 200 for s in seen for status, _ in s.times)
                each = (resident - base[name]) * 1024 / count if count else 0
                print(
                    f"{name} {count:6} silent  {resident:6.1f} MB  {each:5.2f} kB each  cpu {cpu * 100:4.1f} %"
                    f"  p50 {quantile(times, 0.5):5.2f}  p99 {quantile(times, 0.99):6.2f}  max {max(times):6.1f} ms"
                    f"  not served {lost}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
