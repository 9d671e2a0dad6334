"""One TCP connection on the loop: coming up, writing whole messages gathered, being probed and closed."""

from __future__ import annotations

import errno
import fcntl
import os
import select
import socket
import struct
import termios
from contextlib import suppress
from typing import Any

from loftweir.config.units import split_host_port
from loftweir.interface import Outcome
from loftweir.net.loop import MS, WRITABLE, Coroutine, Loop, Wait
from loftweir.telemetry.catalogue import CONNECT_NOT_BEGUN
from loftweir.telemetry.log import emit

READ_SIZE = 64 * 1024
SMALL = 64 * 1024  # bytes of a body up to which it is held whole, and may take all the room there is
KEPT_FOR_SMALL = 4  # one part in so many of the room
PIECES, LEAST_PIECE = 64, 4 * 1024  # of long bodies on their way, that the room is shared out among
MERGED = 4 * 1024  # parts that come in tiny pieces are kept together up to this
LOOK_FOR_ROOM = 10 * MS
GATHER_LIMIT = 512  # parts in one write; the kernel takes 1,024
# Of connect(), before anything was sent: this machine has no port, route, memory or right for it.
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
RETRY_CONNECT = 10 * MS  # until a connection that was not begun is tried again
NO_BUFFER = (errno.ENOBUFS, errno.ENOMEM)  # of a write: the kernel has no memory for it now
RETRY_WRITE = 5 * MS
# Of Linux's struct tcp_info (linux/tcp.h): ms since the last bytes came, behind 8 bytes and eleven words.
TCP_INFO_SIZE, LAST_DATA_RECEIVED = 56, 52


class TimedOut(Exception):
    """The other side did not read or write in time."""


class TooLarge(Exception):
    """More bytes than there may be, or than there is room for."""


class OutOfBudget(TooLarge):
    """No more than there may be, but there is no room for it now."""


class ConnectError(Exception):
    """No connection: carries the outcome, which proves that nothing ran."""

    def __init__(self, outcome: Outcome) -> None:
        self.outcome = outcome


class MemoryBudget:
    """The bytes that may be held at a time, over all who take from it.

    A part of it is for small bodies alone: however many long ones there are, small requests go on being served.
    """

    def __init__(self, size: int) -> None:
        self.size = self.left = size

    def has(self, wanted: int, held: int) -> bool:
        """Whether there is room for `wanted` bytes more of a body that holds `held`."""
        kept = self.size // KEPT_FOR_SMALL if wanted + held > SMALL else 0
        return self.left - wanted >= kept

    def most(self) -> int:
        """That one body may take."""
        return self.size - self.size // KEPT_FOR_SMALL

    def piece(self) -> int:
        """How much of a long body to read at a time: the less, the less room there is."""
        return max(LEAST_PIECE, min(READ_SIZE, self.left // PIECES))


class Body(list[bytes]):
    """The parts of a body. They take room for as long as they are kept, whoever keeps them.

    Invariant: `taken`, of the room, is what was reserved or what is held, whichever is more."""

    __slots__ = ("room", "size", "taken")

    def __init__(self, room: MemoryBudget) -> None:
        super().__init__()
        self.room = room
        self.size = 0
        self.taken = 0

    def reserve(self, size: int) -> None:
        """MemoryBudget for so many bytes in all; `OutOfBudget` where there is none now."""
        wanted = size - self.taken
        if wanted > 0:
            if not self.room.has(wanted, self.taken):
                raise OutOfBudget
            self.room.left -= wanted
            self.taken = size

    def append(self, part: bytes) -> None:
        self.reserve(self.size + len(part))
        self.size += len(part)
        if self and len(self[-1]) + len(part) <= MERGED:
            self[-1] += part  # a byte for itself takes forty times its room
        else:
            super().append(part)

    def __del__(self) -> None:
        self.room.left += self.taken


def reserved(loop: Loop, body: Body, size: int, within: int) -> Coroutine[None]:
    """MemoryBudget for `size` bytes in all, waited for; `OutOfBudget` where there is none within that time."""
    until = loop.time + within
    while True:
        try:
            body.reserve(size)
            return
        except OutOfBudget:
            if loop.time >= until or size > body.room.size:
                raise
        yield Wait(None, 0, loop.time + LOOK_FOR_ROOM)


class LocalError(OSError):
    """Something was not begun, through a fault of this machine: nothing was sent."""


def prepare(sock: socket.socket) -> None:
    """No call on it waits, and small writes go out at once, where the machine grants that."""
    sock.setblocking(False)
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def unread_for(sock: socket.socket) -> int:
    """How long ago the last bytes came on a connection, ns, to some milliseconds: what is read now has been in the
    kernel for as long, unread."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        (ms,) = struct.unpack_from("=I", info, LAST_DATA_RECEIVED)
    except (OSError, struct.error):
        return 0
    return int(ms) * MS


def has_unacknowledged(sock: socket.socket) -> bool:
    """Whether the other side's machine has not taken all that was written: a reset would lose it. The end of the
    stream itself may be still on its way."""
    return unacknowledged(sock) > 1


def hung_up(sock: socket.socket) -> bool:
    """Whether the other side has ended the connection, or its half of it, or broken it off. Asked of the kernel, which
    knows it before epoll has said so, whatever else lies there unread before the end."""
    look = select.poll()
    look.register(sock, select.POLLRDHUP)
    return bool(look.poll(0))


def connect(loop: Loop, address: str, connect_timeout: int, until: int) -> Coroutine[socket.socket]:
    """A new connection, up within `connect_timeout`; else a `ConnectError`.

    A fault of this machine says nothing of the other one, which must not be blamed for it: the connection is begun
    again for as long, and `NOT_SENT` is its outcome where that never works.
    """
    try:
        host, port = split_host_port(address)
    except ValueError:
        raise ConnectError(Outcome.CONNECT_FAILED) from None  # the list gave no address that can be called
    up_by = loop.now() + connect_timeout
    while True:
        try:
            return (yield from _connect(loop, host, port, up_by, until))
        except LocalError as fault:
            emit(CONNECT_NOT_BEGUN, why=fault.strerror)
            if loop.now() + RETRY_CONNECT >= min(up_by, until):
                raise ConnectError(Outcome.NOT_SENT) from None
        yield Wait(None, 0, loop.now() + RETRY_CONNECT)


def _connect(loop: Loop, host: str, port: int, up_by: int, until: int) -> Coroutine[socket.socket]:
    """One try of `connect`. Raises `ConnectError`, or `LocalError` where it was not begun."""
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise LocalError(error.errno, error.strerror) from None
    try:
        prepare(sock)
        fault = sock.connect_ex((host, port))
        if fault in NOT_BEGUN:
            raise LocalError(fault, os.strerror(fault))
        if fault == errno.EINPROGRESS:
            if not (yield Wait(sock, WRITABLE, min(up_by, until))):
                raise ConnectError(Outcome.CONNECT_FAILED if up_by <= until else Outcome.NOT_SENT)
            fault = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if fault:
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
    """Bytes written that the other side's machine has not said to have; 0 where that isn't known."""
    try:
        (left,) = struct.unpack("=i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))
    except (OSError, ValueError):
        return 0
    return int(left)


def send(
    loop: Loop, sock: socket.socket, parts: list[Any], until: int | None, breaks: int = 0, begins: bool = False
) -> Coroutine[None]:
    """Writes a whole message, gathered; takes the parts off the list as they go out. `breaks`: events that end it, as
    a reset does, while it waits to write on. Where the kernel has no memory for it, it is tried again; with `begins`
    that is a `LocalError` as long as nothing of it is out."""
    while parts:
        try:
            written = sock.sendmsg(parts[:GATHER_LIMIT])
        except BlockingIOError:
            event = yield Wait(sock, WRITABLE | breaks, until)
            if not event:
                raise TimedOut from None
            if event & breaks:
                raise ConnectionResetError("spoken on before the message was whole") from None
            continue
        except OSError as error:
            if error.errno not in NO_BUFFER:
                raise
            if begins:
                raise LocalError(error.errno, error.strerror) from None
            yield from _wait_for_buffer(loop, until)
            continue
        begins = False
        # A short write leaves whole parts and perhaps the rest of one.
        whole = 0
        while whole < len(parts) and written >= len(parts[whole]):
            written -= len(parts[whole])
            whole += 1
        del parts[:whole]
        if written:
            parts[0] = memoryview(parts[0])[written:]


def _wait_for_buffer(loop: Loop, until: int | None) -> Coroutine[None]:
    again_at = loop.now() + RETRY_WRITE
    if until is not None and again_at >= until:
        raise TimedOut
    yield Wait(None, 0, again_at)
