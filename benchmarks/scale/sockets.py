"""The traffic of each TCP connection of this machine, as the kernel counts it (`sock_diag(7)`, `tcp_info`).

The counters are the kernel's own, so measuring costs the measured processes nothing. Only connections that are open at
a sample are seen: the traffic of one that was opened and closed between two samples is not counted.
"""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Iterator
from typing import NamedTuple

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_REQUEST_DUMP = 0x301
NLMSG_ERROR = 2
NLMSG_DONE = 3
INET_DIAG_INFO = 2  # the attribute that contains a `tcp_info`
TCP_ESTABLISHED = 1

MESSAGE_HEADER = struct.Struct("=IHHII")  # length, type, flags, sequence, port
REQUEST = struct.Struct("=BBBBI48x")  # family, protocol, extensions, padding, states, and any socket id
SOCKET_HEADER = struct.Struct("=BBBB2s2s16s16s4x8x4x4x4x4xI")  # ..., ports, addresses, ..., inode
ATTRIBUTE_HEADER = struct.Struct("=HH")
BYTES_ACKED_AND_RECEIVED = struct.Struct("=QQ")
BYTES_OFFSET = 120  # of BYTES_ACKED_AND_RECEIVED in a tcp_info
DATA_SEGMENTS_IN_AND_OUT = struct.Struct("=II")
SEGMENTS_OFFSET = 152  # of DATA_SEGMENTS_IN_AND_OUT in a tcp_info

Address = tuple[str, int]


class Counters(NamedTuple):
    """Payload without the headers of TCP and IP.

    A segment on loopback has up to 64 KiB, so a message of the protocols measured here is one segment, a long list a
    few.
    """

    bytes_out: int = 0
    bytes_in: int = 0
    segments_out: int = 0
    segments_in: int = 0

    def plus(self, other: Counters) -> Counters:
        """The sum of both."""
        return Counters(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other: Counters) -> Counters:
        """The difference of both."""
        return Counters(*(a - b for a, b in zip(self, other, strict=True)))


class Connection(NamedTuple):
    """One end of an established connection."""

    inode: int
    local: Address
    remote: Address
    counters: Counters


def connections() -> Iterator[Connection]:
    """All established IPv4 connections of the machine, one for each local end."""
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as netlink:
        extensions = 1 << (INET_DIAG_INFO - 1)
        request = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, extensions, 0, 1 << TCP_ESTABLISHED)
        netlink.send(
            MESSAGE_HEADER.pack(MESSAGE_HEADER.size + len(request), SOCK_DIAG_BY_FAMILY, NLM_REQUEST_DUMP, 1, 0)
            + request
        )
        while True:
            data, at = netlink.recv(1 << 18), 0
            while at < len(data):
                length, kind, *_ = MESSAGE_HEADER.unpack_from(data, at)
                if kind == NLMSG_DONE:
                    return
                if kind == NLMSG_ERROR:
                    raise OSError("the kernel answered the request for the list of connections with an error")
                yield _connection(data[at + MESSAGE_HEADER.size : at + length])
                at += _aligned(length)


def _connection(data: bytes) -> Connection:
    *_, local_port, remote_port, local, remote, inode = SOCKET_HEADER.unpack_from(data)
    counters, at = Counters(), SOCKET_HEADER.size
    while at + ATTRIBUTE_HEADER.size <= len(data):
        length, kind = ATTRIBUTE_HEADER.unpack_from(data, at)
        if kind == INET_DIAG_INFO:
            info = at + ATTRIBUTE_HEADER.size
            acked, received = BYTES_ACKED_AND_RECEIVED.unpack_from(data, info + BYTES_OFFSET)
            segments_in, segments_out = DATA_SEGMENTS_IN_AND_OUT.unpack_from(data, info + SEGMENTS_OFFSET)
            counters = Counters(acked, received, segments_out, segments_in)
        at += max(_aligned(length), ATTRIBUTE_HEADER.size)
    return Connection(inode, _address(local, local_port), _address(remote, remote_port), counters)


def _address(host: bytes, port: bytes) -> Address:
    return socket.inet_ntoa(host[:4]), int.from_bytes(port, "big")


def _aligned(length: int) -> int:
    return (length + 3) & ~3


def inodes(pid: int) -> set[int]:
    """The inodes of all sockets of a process; none if it has ended."""
    found: set[int] = set()
    try:
        descriptors = os.listdir(f"/proc/{pid}/fd")
    except OSError:
        return found
    for descriptor in descriptors:
        try:
            target = os.readlink(f"/proc/{pid}/fd/{descriptor}")
        except OSError:
            continue
        if target.startswith("socket:["):
            found.add(int(target[len("socket:[") : -1]))
    return found
