"""Frames over one socket, both ways, and the greeting that comes first.

One coroutine runs a line by `next`; whoever has something to say calls `put`, which writes at once what the socket
takes and leaves the rest to that coroutine. Nothing here waits for a reader: what it does not take is held, bounded.
"""

from __future__ import annotations

import socket
from collections import deque

from loftweir.interface import Outcome
from loftweir.net.loop import READABLE, SECOND, WOKEN, WRITABLE, Coroutine, Loop, Task, Wait
from loftweir.net.stream import READ_SIZE, NotUp, TookTooLong, connect
from loftweir.replication.wire import BadFrame, ConnectionRejected, Frame, FrameReader, Hello, TurnedAway, encode_frame

GREETING_TIMEOUT = SECOND  # from a connection's opening until both have said who they are
TCP_USER_TIMEOUT_MS = 5_000  # ms without the other side's kernel taking what was sent, until the connection is given up
MAX_FRAMES_PER_WRITE = 64  # frames in one write
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # bytes held for one that does not read

CONNECTION_ERRORS = (TookTooLong, OSError, BadFrame)  # what ends a line


class FrameConnection:
    """Invariant: `held` is the length of all in `out`; `out` is not empty only where the socket took no more when it
    was last tried, and then whoever runs the line waits for it to be writable."""

    def __init__(self, loop: Loop, sock: socket.socket, most: int = MAX_UNSENT_BYTES) -> None:
        self.loop = loop
        self.sock = sock
        self.most = most
        self.task: Task | None = None  # who runs it
        self.reader = FrameReader()
        self.out: deque[tuple[memoryview, bool]] = deque()  # what is left of each frame, and whether it may be dropped
        self.held = 0
        self.told_to_write = False  # whoever runs it waits for it to be writable
        self.over = False

    # ---- out ----

    def put(self, frame: Frame, may_drop: bool = False) -> None:
        self.write(encode_frame(frame), may_drop)

    def write(self, data: bytes, may_drop: bool = False) -> None:
        """A frame as it goes out. Over the bound the oldest that may be dropped go; where that does not help, the line
        is of no use, and ends."""
        if self.over:
            return
        self.out.append((memoryview(data), may_drop))
        self.held += len(data)
        if len(self.out) == 1:
            self._flush()
        if self.held > self.most:
            self._drop()
        if self.out and self.task is not None and not self.told_to_write:
            self.task.wake()

    def _drop(self) -> None:
        kept: deque[tuple[memoryview, bool]] = deque()
        for number, (data, may_drop) in enumerate(self.out):
            if number and may_drop and self.held > self.most:  # the first may have gone out in part
                self.held -= len(data)
            else:
                kept.append((data, may_drop))
        self.out = kept
        if self.held > self.most:
            self.shut()

    def _flush(self) -> None:
        try:
            while self.out:
                sent = self.sock.sendmsg([data for data, _ in list(self.out)[:MAX_FRAMES_PER_WRITE]])
                self.held -= sent
                while sent:
                    data, may_drop = self.out[0]
                    if sent < len(data):
                        self.out[0] = data[sent:], may_drop
                        break
                    sent -= len(data)
                    self.out.popleft()
        except BlockingIOError:
            pass
        except OSError:
            self.shut()

    def alive(self) -> bool:
        """Whether the other side has not ended it, as far as its packets tell by now."""
        if self.over:
            return False
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def shut(self) -> None:
        """Nothing more goes out, and whoever runs the line finds it at its end."""
        if not self.over:
            self.over = True
            self.out.clear()
            self.held = 0
            if self.task is not None:
                self.task.wake()

    def close(self) -> None:
        self.shut()
        self.loop.close(self.sock)

    # ---- in ----

    def next(self, until: int | None) -> Coroutine[Frame]:
        """The next frame; one of `Broken` where none comes any more, or none in time."""
        while True:
            frame = self.reader.next()
            if frame is not None:
                return frame
            if self.over:
                raise ConnectionError("ended")
            self.told_to_write = bool(self.out)
            events = yield Wait(self.sock, READABLE | WRITABLE if self.out else READABLE, until)
            self.told_to_write = False
            if events == 0:
                raise TookTooLong
            if events == WOKEN or self.over:
                continue
            if self.out:
                self._flush()
            try:
                data = self.sock.recv(READ_SIZE)
            except BlockingIOError:
                continue
            if not data:
                raise ConnectionError("ended")
            self.reader.feed(data)

    def taken(self, until: int) -> Coroutine[None]:
        """Until the other side's kernel has taken all that was put; one of `Broken` where it doesn't in time."""
        while self.out and not self.over:
            self.told_to_write = True
            events = yield Wait(self.sock, WRITABLE, until)
            self.told_to_write = False
            if events == 0:
                raise TookTooLong
            self._flush()

    def greeting(self, until: int) -> Coroutine[Hello]:
        """The other side's first frame; `TurnedAway` where that says no, or says something else."""
        frame = yield from self.next(until)
        if isinstance(frame, ConnectionRejected):
            raise TurnedAway(f"{frame.why.value} {frame.about}".strip())
        if not isinstance(frame, Hello):
            raise TurnedAway("it did not say who it is")
        return frame


def dial(loop: Loop, address: str, hello: Hello, until: int) -> Coroutine[tuple[FrameConnection, Hello]]:
    """A line to an address, greeted. Raises `NotUp` where nobody answers there in time, and `TurnedAway`."""
    sock = yield from connect(loop, address, GREETING_TIMEOUT, until)
    line = FrameConnection(loop, sock)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        line.put(hello)
        there = yield from line.greeting(min(until, loop.now() + GREETING_TIMEOUT))
    except CONNECTION_ERRORS:
        line.close()
        raise NotUp(Outcome.CONNECT_FAILED) from None
    except BaseException:
        line.close()
        raise
    return line, there
