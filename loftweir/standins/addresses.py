"""Loopback addresses for programs that begin to listen some time after their address was chosen.

A port that the kernel chose may be chosen again before the program listens on it: for an outgoing connection, or for
another socket without a port of its own. So the ports here are below the kernel's range, and the hosts are those of one
process.
"""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from itertools import count
from pathlib import Path

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
FIRST_EPHEMERAL_PORT = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
PORT_COUNT = FIRST_EPHEMERAL_PORT - FIRST_PORT
# Processes that share a host begin at ports that are this far apart.
PORTS_PER_PROCESS = 311
_hosts = count(1)


class NoAddress(OSError):
    """All ports of a host are in use."""


def own_host() -> str:
    """Another loopback address at each call, up to 250, which belongs to this process alone."""
    process = os.getpid()
    return f"127.{1 + process // 250 % 250}.{process % 250}.{1 + next(_hosts) % 250}"


class Addresses:
    """Addresses of one host; one is handed out again only after all others."""

    def __init__(self, host: str | None = None) -> None:
        """`host`: one that other processes use too; None: one of this process alone."""
        self.host = host or own_host()
        self._next = os.getpid() * PORTS_PER_PROCESS % PORT_COUNT

    def listener(self, backlog: int = 128) -> socket.socket:
        """A listening socket. Once it is closed, a program can use its address. Raises `NoAddress`."""
        for _ in range(PORT_COUNT):
            port = FIRST_PORT + self._next
            self._next = (self._next + 1) % PORT_COUNT
            with suppress(OSError):
                return socket.create_server((self.host, port), backlog=backlog)
        raise NoAddress(f"{self.host}: no port from {FIRST_PORT} to {FIRST_EPHEMERAL_PORT - 1} is free")

    def unused(self) -> str:
        """An address on which nothing listens, as `host:port`. Raises `NoAddress`."""
        with self.listener() as sock:
            host, port = sock.getsockname()
            return f"{host}:{port}"
