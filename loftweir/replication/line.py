"""Frames on one socket, in both directions, after an exchange of `Hello`.

One coroutine reads with `next`. Any code can call `put`, which writes at once what the socket accepts and leaves the
rest to that coroutine. Nothing here waits for the other side: what it does not read is buffered, up to a limit.
"""

from __future__ import annotations

import socket
from collections import deque

from loftweir.interface import Outcome
from loftweir.net.loop import READABLE, SECOND, WOKEN, WRITABLE, Coroutine, Loop, Task, Wait
from loftweir.net.memory import READ_SIZE
from loftweir.net.standing import StandingTask
from loftweir.net.stream import ConnectError, TimedOut, connect
from loftweir.replication.wire import BadFrame, ConnectionRejected, Frame, FrameReader, Hello, TurnedAway, encode_frame

GREETING_TIMEOUT = SECOND  # from the connection's start until both sides have sent a `Hello`
TCP_USER_TIMEOUT_MS = 5_000  # until the connection is closed if the other side's kernel acknowledges nothing
MAX_FRAMES_PER_WRITE = 64  # frames passed to one `sendmsg`
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # buffered for a peer that does not read

CONNECTION_ERRORS = (TimedOut, OSError, BadFrame)  # exceptions that end a connection


class FrameConnection:
    """A connection that carries frames.

    Invariant: `unsent_bytes` is the total length of `unsent`. `unsent` is only non-empty if the socket accepted no more
    at the last attempt, and then the coroutine waits until it is writable.
    """

    def __init__(self, loop: Loop, sock: socket.socket, max_unsent_bytes: int = MAX_UNSENT_BYTES) -> None:
        self.loop = loop
        self.sock = sock
        self.max_unsent_bytes = max_unsent_bytes
        self.task: Task | StandingTask | None = None  # the coroutine that reads
        self.reader = FrameReader()
        self.unsent: deque[tuple[memoryview, bool]] = deque()  # the rest of each frame, and whether it may be dropped
        self.unsent_bytes = 0
        self.waiting_writable = False  # the coroutine waits until the socket is writable
        self.closed = False

    # ---- sending ----

    def put(self, frame: Frame, may_drop: bool = False) -> None:
        """Sends a message. `may_drop`: it may be dropped if the peer does not read."""
        self.write(encode_frame(frame), may_drop)

    def write(self, data: bytes, may_drop: bool = False) -> None:
        """Sends an encoded frame. Above the limit, the oldest frames that may be dropped are; if that does not suffice,
        the connection is useless and is aborted.
        """
        if self.closed:
            return
        self.unsent.append((memoryview(data), may_drop))
        self.unsent_bytes += len(data)
        if len(self.unsent) == 1:
            self._flush()
        if self.unsent_bytes > self.max_unsent_bytes:
            self._drop()
        if self.unsent and self.task is not None and not self.waiting_writable:
            self.task.wake()

    def _drop(self) -> None:
        remaining: deque[tuple[memoryview, bool]] = deque()
        for number, (data, may_drop) in enumerate(self.unsent):
            if number and may_drop and self.unsent_bytes > self.max_unsent_bytes:  # the first one may be partly sent
                self.unsent_bytes -= len(data)
            else:
                remaining.append((data, may_drop))
        self.unsent = remaining
        if self.unsent_bytes > self.max_unsent_bytes:
            self.abort()

    def _flush(self) -> None:
        try:
            while self.unsent:
                sent = self.sock.sendmsg([data for data, _ in list(self.unsent)[:MAX_FRAMES_PER_WRITE]])
                self.unsent_bytes -= sent
                while sent:
                    data, may_drop = self.unsent[0]
                    if sent < len(data):
                        self.unsent[0] = data[sent:], may_drop
                        break
                    sent -= len(data)
                    self.unsent.popleft()
        except BlockingIOError:
            pass
        except OSError:
            self.abort()

    def alive(self) -> bool:
        """Whether the other side has not closed the connection, as far as its packets show."""
        if self.closed:
            return False
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def abort(self) -> None:
        """Sends nothing more; the reading coroutine finds the connection ended."""
        if not self.closed:
            self.closed = True
            self.unsent.clear()
            self.unsent_bytes = 0
            if self.task is not None:
                self.task.wake()

    def close(self) -> None:
        """Aborts the connection and closes the socket."""
        self.abort()
        self.loop.close(self.sock)

    # ---- receiving ----

    def next(self, until: int | None) -> Coroutine[Frame]:
        """The next frame. Raises one of `CONNECTION_ERRORS` if the connection ends, or at `until`."""
        while True:
            frame = self.reader.next()
            if frame is not None:
                return frame
            if self.closed:
                raise ConnectionError("ended")
            self.waiting_writable = bool(self.unsent)
            events = yield Wait(self.sock, READABLE | WRITABLE if self.unsent else READABLE, until)
            self.waiting_writable = False
            if events == 0:
                raise TimedOut
            if events == WOKEN or self.closed:
                continue
            if self.unsent:
                self._flush()
            try:
                data = self.sock.recv(READ_SIZE)
            except BlockingIOError:
                continue
            if not data:
                raise ConnectionError("ended")
            self.reader.feed(data)

    def flushed(self, until: int) -> Coroutine[None]:
        """Waits until the other side's kernel has accepted everything. Raises one of `CONNECTION_ERRORS`, also at
        `until`.
        """
        while self.unsent and not self.closed:
            self.waiting_writable = True
            events = yield Wait(self.sock, WRITABLE, until)
            self.waiting_writable = False
            if events == 0:
                raise TimedOut
            self._flush()

    def read_hello(self, until: int) -> Coroutine[Hello]:
        """The other side's first frame. Raises `TurnedAway` if it is a rejection or anything else than a `Hello`."""
        frame = yield from self.next(until)
        if isinstance(frame, ConnectionRejected):
            raise TurnedAway(f"{frame.why.value} {frame.about}".strip())
        if not isinstance(frame, Hello):
            raise TurnedAway("the first frame is not a Hello")
        return frame


def dial(loop: Loop, address: str, hello: Hello, until: int) -> Coroutine[tuple[FrameConnection, Hello]]:
    """Connects and exchanges `Hello`. Raises `ConnectError` if nobody answers in time, and `TurnedAway`."""
    sock = yield from connect(loop, address, GREETING_TIMEOUT, until)
    connection = FrameConnection(loop, sock)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        connection.put(hello)
        peer = yield from connection.read_hello(min(until, loop.now() + GREETING_TIMEOUT))
    except CONNECTION_ERRORS:
        connection.close()
        raise ConnectError(Outcome.CONNECT_FAILED) from None
    except BaseException:
        connection.close()
        raise
    return connection, peer
