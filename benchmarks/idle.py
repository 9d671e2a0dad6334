"""What silent connections cost: memory and CPU against their number, while requests are served.

    python -m benchmarks.idle [--counts 0,1000,5000,10000,19000] [--rate 500] [--seconds 5] [--other TREE]

The descriptor limit of the machine bounds the number; the connections come from several loopback addresses. `wave`:
all of them time out in the same second while the requests go on.
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

from benchmarks.rig import ROOT, Load, cores, offer, program, providers, quantile, request

PER_PROCESS = 9_000
BODY = b"POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: slow-%d\r\nReq-Kind: apply-submit\r\nContent-Length: 1000\r\n\r\n"


def hold(address: str, number: int, first: int, on: list[int], said: bytes, drip: float, up: Any, end: Any) -> None:
    """Opens connections and says no more than `said` on each."""
    os.sched_setaffinity(0, on)
    host, port = address.split(":")
    socks = []
    for n in range(number):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((f"127.0.0.{2 + (first + n) // PER_PROCESS}", 0))  # one address has some 28,000 ports
        sock.connect((host, int(port)))
        if said:
            sock.send(said)
        socks.append(sock)
    up.put(number)
    at = 0
    while not end.wait(drip or None):
        at += 1
        for n, sock in enumerate(socks):  # a third each: heads, bodies, and answers read a byte at a time
            try:
                if n % 3 == 2:
                    if at == 1:
                        sock.send(request(first + n))
                    sock.recv(1)
                elif n % 3 == 1 and at == 1:
                    sock.send(BODY % (first + n))
                else:
                    sock.send(request(first + n)[at - 1 : at] if n % 3 == 0 else b"x")
            except OSError:
                pass


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--counts", default="0,1000,2500,5000,10000,15000,19000")
    parser.add_argument("--rate", type=float, default=500)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--other", type=Path)
    parser.add_argument("--wave", type=float, default=0, help="let them time out after so many seconds")
    parser.add_argument("--said", default="", help="what each says before it falls silent")
    parser.add_argument("--drip", type=float, default=0, help="seconds from byte to byte that each sends or reads")
    words = parser.parse_args()
    on = cores()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    rest = f"{words.wave:g}s" if words.wave else "1h"
    operator = (
        f'[log]\nlevel = "error"\n[limits]\nrequest_within = "{rest}"\nidle_for = "{rest}"\nbacklog = 4096\n'
        'consumers_of_sockets = "90%"\nidle_of_sockets = "90%"\n'
    )
    limits = {"sockets": hard, "memory_mb": 2048}
    base: dict[str, float] = {}
    with providers(2, on[1:2]) as members:
        for count in map(int, words.counts.split(",")):
            for name, tree in {"this": ROOT, **({"other": words.other.resolve()} if words.other else {})}.items():
                with program(members, on[:1], tree, operator if tree == ROOT else "", limits=limits) as running:
                    up: Any = multiprocessing.Queue()
                    end = multiprocessing.Event()
                    parts = [min(PER_PROCESS, count - n) for n in range(0, count, PER_PROCESS)]
                    processes = [
                        multiprocessing.Process(
                            target=hold,
                            args=(
                                running.address,
                                part,
                                n * PER_PROCESS,
                                on[2:4],
                                words.said.encode(),
                                words.drip,
                                up,
                                end,
                            ),  # fmt: skip
                        )
                        for n, part in enumerate(parts)
                    ]
                    for process in processes:
                        process.start()
                    for _ in processes:
                        up.get(timeout=120)
                    time.sleep(0.5)
                    held = running.status("VmRSS") / 1024
                    base.setdefault(name, held)
                    seconds = words.wave + 3 if words.wave else words.seconds
                    before = running.cpu()
                    seen = offer([Load(running.address, 16, seconds, words.rate / 2)] * 2, on[4:6])
                    cpu = (running.cpu() - before) / seconds
                    end.set()
                    for process in processes:
                        process.join()
                times = [t * 1000 for s in seen for status, t in s.times if status == 200]
                lost = sum(status != 200 for s in seen for status, _ in s.times)
                each = (held - base[name]) * 1024 / count if count else 0
                print(
                    f"{name} {count:6} silent  {held:6.1f} MB  {each:5.2f} kB each  cpu {cpu * 100:4.1f} %"
                    f"  p50 {quantile(times, 0.5):5.2f}  p99 {quantile(times, 0.99):6.2f}  max {max(times):6.1f} ms"
                    f"  not served {lost}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
