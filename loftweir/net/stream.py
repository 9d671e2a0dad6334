"""TCP connections on the loop: opening them, writing whole messages with gathered writes, and querying their state."""

from __future__ import annotations

import errno
import fcntl
import os
import select
import socket
import struct
import termios
from contextlib import suppress
from functools import cache
from pathlib import Path
from typing import Any

from loftweir.config.units import split_host_port
from loftweir.interface import Outcome
from loftweir.net.loop import MS, WRITABLE, Coroutine, Loop, Wait
from loftweir.telemetry.catalogue import CONNECT_NOT_BEGUN
from loftweir.telemetry.log import emit

GATHER_LIMIT = 512  # parts in one write; the kernel takes up to 1,024
# Errors of connect() before anything was sent: this machine lacks a port, a route, memory or the permission.
NOT_BEGUN = (
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.EAGAIN,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPERM,
    errno.EACCES,
)
RETRY_CONNECT = 10 * MS  # until a connection that this machine could not begin is tried again
LARGEST_SEND_BUFFER = 4 * 1024 * 1024  # bytes: Linux's default, where the kernel does not tell
NO_BUFFER = (errno.ENOBUFS, errno.ENOMEM)  # errors of a write: the kernel has no memory for it at the moment
RETRY_WRITE = 5 * MS  # until such a write is tried again
# Of Linux's struct tcp_info (linux/tcp.h): `tcpi_last_data_recv`, the ms since the last bytes were received, follows 8
# bytes and eleven 32-bit words.
TCP_INFO_SIZE = 56  # bytes
LAST_DATA_RECEIVED = 52  # offset in bytes


class TimedOut(Exception):
    """The peer did not read or write in time."""


class ConnectError(Exception):
    """A connection could not be opened. The `outcome` of the attempt proves that the request did not run."""

    def __init__(self, outcome: Outcome) -> None:
        self.outcome = outcome


class LocalError(OSError):
    """An operation failed on this machine before anything was sent."""


def prepare(sock: socket.socket) -> None:
    """Make a socket non-blocking, and have small writes sent at once if the system permits that."""
    sock.setblocking(False)
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def unread_for(sock: socket.socket) -> int:
    """Return how long ago the last bytes of a connection arrived, ns, accurate to a few milliseconds.

    Bytes that are read now have been in the kernel, unread, for that long. 0 if it is not known.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        (ms,) = struct.unpack_from("=I", info, LAST_DATA_RECEIVED)
    except (OSError, struct.error):
        return 0
    return int(ms) * MS


def has_unacknowledged(sock: socket.socket) -> bool:
    """Whether the peer's machine has not acknowledged all bytes written, which a reset would lose.

    The end of the stream, which counts as one byte, may still be unacknowledged.
    """
    return unacknowledged(sock) > 1


def hung_up(sock: socket.socket) -> bool:
    """Whether the peer has closed the connection or its half of it, or reset it.

    The kernel knows that before epoll reports it, and whatever is still unread before the end.
    """
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def connect(loop: Loop, address: str, connect_timeout: int, until: int) -> Coroutine[socket.socket]:
    """Open a connection within `connect_timeout`; raise `ConnectError` if that fails.

    An error of this machine must not count against the peer: the connection is tried again for that time, and the
    outcome is `NOT_SENT` if it could not even begin.
    """
    try:
        host, port = split_host_port(address)
    except ValueError:
        raise ConnectError(Outcome.CONNECT_FAILED) from None  # the list has an address that can't be used
    open_by = loop.now() + connect_timeout
    while True:
        try:
            return (yield from _connect(loop, host, port, open_by, until))
        except LocalError as error:
            emit(CONNECT_NOT_BEGUN, why=error.strerror)
            if loop.now() + RETRY_CONNECT >= min(open_by, until):
                raise ConnectError(Outcome.NOT_SENT) from None
        yield Wait(None, 0, loop.now() + RETRY_CONNECT)


def _connect(loop: Loop, host: str, port: int, open_by: int, until: int) -> Coroutine[socket.socket]:
    """Try once to connect. Raises `ConnectError`, or `LocalError` if the connection could not even begin."""
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise LocalError(error.errno, error.strerror) from None
    try:
        prepare(sock)
        code = sock.connect_ex((host, port))
        if code in NOT_BEGUN:
            raise LocalError(code, os.strerror(code))
        if code == errno.EINPROGRESS:
            if not (yield Wait(sock, WRITABLE, min(open_by, until))):
                raise ConnectError(Outcome.CONNECT_FAILED if open_by <= until else Outcome.NOT_SENT)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise ConnectError(Outcome.CONNECT_FAILED)
    except LocalError:
        loop.close(sock)
        raise
    except OSError:
        loop.close(sock)
        raise ConnectError(Outcome.CONNECT_FAILED) from None
    except BaseException:
        loop.close(sock)
        raise
    return sock


def unacknowledged(sock: socket.socket) -> int:
    """Return how many bytes written the peer's machine has not acknowledged; 0 if that is not known."""
    return _queued_size(sock, termios.TIOCOUTQ)


def unread_size(sock: socket.socket) -> int:
    """Return how many bytes have arrived and were not read; 0 if that is not known."""
    return _queued_size(sock, termios.FIONREAD)


def _queued_size(sock: socket.socket, queue: int) -> int:
    """Return the size that the kernel tells for one of a socket's queues; 0 if it tells none."""
    try:
        (size,) = struct.unpack("=i", fcntl.ioctl(sock, queue, bytes(4)))
    except (OSError, ValueError):
        return 0
    return int(size)


@cache
def largest_send_buffer() -> int:
    """Return how many bytes a peer of this machine may have written that have not arrived here."""
    try:
        return int(Path("/proc/sys/net/ipv4/tcp_wmem").read_text().split()[2])
    except (OSError, ValueError, IndexError):
        return LARGEST_SEND_BUFFER


def send(
    loop: Loop, sock: socket.socket, parts: list[Any], until: int | None, breaks: int = 0, begins: bool = False
) -> Coroutine[None]:
    """Write a whole message with gathered writes; parts are removed from the list as they are written.

    `breaks`: events that end it like a reset while it waits to continue. If the kernel has no memory for a write, it is
    tried again; with `begins` it raises `LocalError` instead as long as nothing has been written.
    """
    while parts:
        try:
            written = sock.sendmsg(parts[:GATHER_LIMIT])
        except BlockingIOError:
            event = yield Wait(sock, WRITABLE | breaks, until)
            if not event:
                raise TimedOut from None
            if event & breaks:
                raise ConnectionResetError("the peer sent data before it had the whole message") from None
            continue
        except OSError as error:
            if error.errno not in NO_BUFFER:
                raise
            if begins:
                raise LocalError(error.errno, error.strerror) from None
            yield from _wait_for_buffer(loop, until)
            continue
        begins = False
        # After a short write there may be whole parts left, and the rest of one.
        whole = 0
        while whole < len(parts) and written >= len(parts[whole]):
            written -= len(parts[whole])
            whole += 1
        del parts[:whole]
        if written:
            parts[0] = memoryview(parts[0])[written:]


def _wait_for_buffer(loop: Loop, until: int | None) -> Coroutine[None]:
    """Wait until a write is tried again for which the kernel had no memory."""
    again_at = loop.now() + RETRY_WRITE
    if until is not None and again_at >= until:
        raise TimedOut
    yield Wait(None, 0, again_at)
