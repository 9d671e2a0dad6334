"""What the benchmarks share: the program pinned to a core, stub providers and load clients in other processes.

Everything is on loopback. Providers and clients speak just enough HTTP/1.1, on raw sockets, to cost little beside the
program measured; they are pinned to the other cores.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http.client import HTTPConnection
from pathlib import Path
from typing import Any, NamedTuple

from loftweir.standins.toy import SETTINGS, ProviderList

ROOT = Path(__file__).parent.parent
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 100\r\n\r\n" + b"x" * 100
HEAD_END = b"\r\n\r\n"
TICKS = os.sysconf("SC_CLK_TCK")  # ticks a second of the CPU times in /proc


def cores() -> list[int]:
    """The cores that this process may use."""
    return sorted(os.sched_getaffinity(0))


def listener(backlog: int = 4096) -> socket.socket:
    """A non-blocking listening socket on a free port of loopback."""
    sock = socket.create_server(("127.0.0.1", 0), backlog=backlog)
    sock.setblocking(False)
    return sock


def address_of(sock: socket.socket) -> str:
    """The local address as `host:port`."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def serve(sock: socket.socket, core_ids: list[int], delay: float) -> None:
    """Runs a stub provider: every complete head gets the same response after `delay` seconds."""
    os.sched_setaffinity(0, core_ids)
    poll = select.epoll()
    poll.register(sock.fileno(), select.EPOLLIN)
    connections: dict[int, tuple[socket.socket, bytearray]] = {}
    due: list[tuple[float, int]] = []
    while True:
        wait = -1.0 if not due else max(0.0, due[0][0] - time.monotonic())
        for fd, _ in poll.poll(wait):
            if fd == sock.fileno():
                new, _ = sock.accept()
                new.setblocking(False)
                new.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connections[new.fileno()] = new, bytearray()
                poll.register(new.fileno(), select.EPOLLIN)
                continue
            connection, data = connections[fd]
            try:
                received = connection.recv(65536)
            except OSError:
                received = b""
            if not received:
                del connections[fd]
                connection.close()
                continue
            data += received
            if data.endswith(HEAD_END):
                del data[:]
                if delay:
                    due.append((time.monotonic() + delay, fd))
                else:
                    connection.send(ANSWER)
        now = time.monotonic()
        while due and due[0][0] <= now:
            fd = due.pop(0)[1]
            if fd in connections:
                connections[fd][0].send(ANSWER)


def request(number: int, deadline_ms: int = 2000) -> bytes:
    """The bytes of one request."""
    return (
        f"GET /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {number:016x}\r\nReq-Kind: status-read\r\n"
        f"Req-Deadline-Ms: {deadline_ms}\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n"
    ).encode()


class Load(NamedTuple):
    """The load of one client process. With `rate` 0 (closed loop) each connection sends again after each response."""

    address: str
    connections: int
    seconds: float
    rate: float = 0.0  # requests a second of this process
    deadline_ms: int = 2000


class LoadResult(NamedTuple):
    """What one client process measured."""

    times: list[tuple[int, float]]  # status of each response (0: none in time) and its time in s
    offered: int  # requests
    late: float  # the longest time by which the client itself missed its schedule, s


def run_client(load: Load, number: int, core_ids: list[int], start_at: float, out: Any) -> None:
    """Runs one load from the monotonic time `start_at` on, and puts the `LoadResult` into the queue `out`."""
    os.sched_setaffinity(0, core_ids)
    host, port = load.address.split(":")
    poll = select.epoll()
    idle: list[socket.socket] = []
    every: dict[int, socket.socket] = {}

    def connect() -> None:
        sock = socket.create_connection((host, int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        every[sock.fileno()] = sock
        poll.register(sock.fileno(), select.EPOLLIN)
        idle.append(sock)

    for _ in range(load.connections):
        connect()
    began: dict[int, float] = {}
    received: dict[int, bytearray] = {}
    times: list[tuple[int, float]] = []
    waiting: list[float] = []  # scheduled and not sent, as no connection was free
    sent, late = 0, 0.0
    while time.monotonic() < start_at:
        time.sleep(0.001)
    end = start_at + load.seconds

    def send(sock: socket.socket, since: float) -> None:
        nonlocal sent
        began[sock.fileno()] = since
        received[sock.fileno()] = bytearray()
        sock.send(request((number << 32) + sent, load.deadline_ms))
        sent += 1

    scheduled = 0
    while (now := time.monotonic()) < end + (load.deadline_ms / 1000 if load.rate else 0):
        if load.rate:
            while now < end and scheduled < (now - start_at) * load.rate:
                due = start_at + scheduled / load.rate
                late = max(late, now - due)
                waiting.append(due)
                scheduled += 1
            while waiting and idle:
                send(idle.pop(), waiting.pop(0))
            if now >= end and not began and not waiting:
                break
        else:
            while idle and now < end:
                send(idle.pop(), now)
        next_due = start_at + scheduled / load.rate - now if load.rate and now < end else 0.01
        for fd, _ in poll.poll(max(0.0, min(0.01, next_due))):
            sock = every[fd]
            try:
                data = sock.recv(65536)
            except OSError:
                data = b""
            if not data:
                poll.unregister(fd)
                del every[fd]
                sock.close()
                if sock in idle:
                    idle.remove(sock)
                elif fd in began:
                    times.append((0, time.monotonic() - began.pop(fd)))
                connect()
                continue
            buffer = received.setdefault(fd, bytearray())
            buffer += data
            head = buffer.find(HEAD_END)
            if head < 0 or fd not in began:
                continue
            length = int(buffer[: head + 2].lower().partition(b"content-length: ")[2].split(b"\r", 1)[0])
            if len(buffer) < head + 4 + length:
                continue
            times.append((int(buffer[9:12]), time.monotonic() - began.pop(fd)))
            if b"connection: close" not in buffer[:head].lower():
                idle.append(sock)
    if load.rate:  # a closed loop ends during exchanges, which are not lost requests
        times += [(0, 0.0)] * (len(began) + len(waiting))
    out.put(LoadResult(times, max(sent, scheduled), late))


def run_loads(loads: list[Load], core_ids: list[int], lead: float = 0.5) -> list[LoadResult]:
    """Runs each load in a process of its own, all at once, on the given cores."""
    queue: Any = multiprocessing.Queue()
    start_at = time.monotonic() + lead
    processes = [
        multiprocessing.Process(target=run_client, args=(load, n, [core_ids[n % len(core_ids)]], start_at, queue))
        for n, load in enumerate(loads)
    ]
    for process in processes:
        process.start()
    seen = [queue.get(timeout=max(load.seconds for load in loads) + 60) for _ in processes]
    for process in processes:
        process.join()
    return seen


def quantile(values: list[float], q: float) -> float:
    """The quantile `q`, from 0 to 1; NaN if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * q))] if ordered else float("nan")


class Program(NamedTuple):
    """The program being measured, and its address."""

    process: subprocess.Popen[bytes]
    address: str
    started_in: float  # seconds to its first 200 on /_health

    def status(self, field: str) -> int:
        """A number in /proc/PID/status, such as VmRSS (kB)."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(next(line for line in text.splitlines() if line.startswith(f"{field}:")).split()[1])

    def cpu(self) -> float:
        """Seconds of CPU time so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS


@contextmanager
def providers(number: int, core_ids: list[int], delay: float = 0.0) -> Iterator[ProviderList]:
    """Stub providers, each in a process of its own, and the list that names them."""
    socks = [listener() for _ in range(number)]
    processes = [
        multiprocessing.Process(target=serve, args=(sock, [core_ids[n % len(core_ids)]], delay), daemon=True)
        for n, sock in enumerate(socks)
    ]
    for process in processes:
        process.start()
    try:
        yield ProviderList((f"s-{n}", address_of(sock)) for n, sock in enumerate(socks))
    finally:
        for process in processes:
            process.kill()
            process.join()
        for sock in socks:
            sock.close()


@contextmanager
def program(
    members: ProviderList,
    core_ids: list[int],
    tree: Path = ROOT,
    operator: str = "",
    stderr: int = subprocess.DEVNULL,
    limits: dict[str, Any] | None = None,
    before: Callable[[], None] | None = None,
) -> Iterator[Program]:
    """Runs one sidecar of the checkout `tree` on the given cores.

    Nothing listens at the address of discovery; the list is in `known`.
    """
    with tempfile.TemporaryDirectory() as folder:
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = address_of(free)
        with socket.create_server(("127.0.0.1", 0)) as closed:
            nowhere = address_of(closed)
        config = {
            "name": "n0",
            "listen": address,
            "discovery": nowhere,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096} | (limits or {}),
            "known": members.snapshot(),
            "settings": SETTINGS | {"quantum": 0, "weights": "rough"},
        }
        path = Path(folder, "config.json")
        path.write_text(json.dumps(config))
        environment = os.environ | {"RELAY_CONFIG": str(path), "PYTHONPATH": str(tree)}
        if operator:
            Path(folder, "loftweir.toml").write_text(operator)
            environment["LOFTWEIR_OPERATOR"] = str(Path(folder, "loftweir.toml"))

        def pinned() -> None:
            os.sched_setaffinity(0, core_ids)
            if before is not None:
                before()

        began = time.monotonic()
        process = subprocess.Popen(
            [sys.executable, "-m", "loftweir"], env=environment, cwd=folder, stderr=stderr, preexec_fn=pinned
        )
        try:
            yield Program(process, address, wait_until_ready(process, address) - began)
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()


def wait_until_ready(process: subprocess.Popen[bytes], address: str) -> float:
    """Waits for a 200 on /_health and returns the monotonic time."""
    host, port = address.split(":")
    until = time.monotonic() + 20
    while time.monotonic() < until and process.poll() is None:
        client = HTTPConnection(host, int(port), timeout=1)
        try:
            client.request("GET", "/_health")
            if client.getresponse().status == 200:
                return time.monotonic()
        except OSError:
            time.sleep(0.002)
        finally:
            client.close()
    raise RuntimeError("the program did not become ready in time")
