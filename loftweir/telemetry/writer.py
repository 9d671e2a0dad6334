"""Writes lines to a descriptor whose reader may stall, close or reconnect, without ever waiting for it.

Lines that can't be written are buffered up to a limit. Beyond it, whole lines are dropped and counted until the buffer
has been written; then the count is written, and after it the next lines. The log is therefore always in order, reports
each gap with its size, and never contains half a line.
"""

from __future__ import annotations

import os
import select
import socket
import stat
from collections import deque
from collections.abc import Callable

# A pipe that polls as writable takes this many bytes at once. A larger write could block on a descriptor that this
# process may not make non-blocking (pipe(7)).
MAX_BLOCKING_WRITE = select.PIPE_BUF


class Writer:
    """Writes to the file that `fd` refers to, through a descriptor of its own.

    `blocked` is called when lines begin to wait. The event loop then has to call `flush` each time the descriptor is
    writable, until `flush` returns True.
    """

    def __init__(self, fd: int, max_buffered_bytes: int, dropped_line: Callable[[int], bytes]) -> None:
        """`dropped_line`: returns the line that reports a number of dropped lines."""
        self.max_buffered_bytes = max_buffered_bytes
        self.dropped_line = dropped_line
        self.blocked: Callable[[], None] | None = None
        self.buffered: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.dropped = 0
        self.fd, self._write = open_nonblocking(fd)

    def fileno(self) -> int:
        """Return the descriptor, for the event loop."""
        return self.fd

    def write(self, line: bytes) -> None:
        """Writes a line, or buffers or drops it."""
        if self.buffered or self.dropped:
            if self.dropped or self.buffered_bytes + len(line) > self.max_buffered_bytes:
                self.dropped += 1
                if not self.buffered:  # a reader that had closed may have been replaced
                    self.flush()
                return
            self._buffer(line)
            return
        written = self._try_write(line)
        if written is None:
            self.dropped += 1
        elif written < len(line):
            self._buffer(line[written:])
            if self.blocked is not None:
                self.blocked()

    def flush(self) -> bool:
        """Writes what can be written without waiting. Returns True if nothing is left to wait for."""
        while self.buffered:
            line = self.buffered[0]
            written = self._try_write(line)
            if written is None:  # the reader has closed: nobody will read the buffer
                self.dropped += len(self.buffered)
                self.buffered.clear()
                self.buffered_bytes = 0
                return True
            self.buffered_bytes -= written
            if written < len(line):
                self.buffered[0] = line[written:]
                return False
            self.buffered.popleft()
        if self.dropped:
            line = self.dropped_line(self.dropped)
            written = self._try_write(line)
            if written is not None:
                self.dropped = 0
                if written < len(line):
                    self._buffer(line[written:])
                    return False
        return True

    def close(self, timeout: float) -> None:
        """Flushes at the end of the program, and waits up to `timeout` seconds for the reader."""
        poll = select.poll()
        poll.register(self.fd, select.POLLOUT)
        if not self.flush() and poll.poll(timeout * 1000):
            self.flush()

    def _buffer(self, line: bytes) -> None:
        self.buffered.append(line)
        self.buffered_bytes += len(line)

    def _try_write(self, line: bytes) -> int | None:
        """Returns the number of bytes written, 0 if the write would block, None if there is no reader."""
        try:
            return self._write(line)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            return None


def open_nonblocking(fd: int) -> tuple[int, Callable[[bytes], int]]:
    """Returns a descriptor of this process's own for the same file, and a function that writes to it without waiting.

    O_NONBLOCK belongs to the open file, which other processes may share (a shell, the fleet's supervisor); setting it
    would make their writes fail. A pipe or terminal is therefore opened again, and a socket gets a flag per call.
    """
    try:
        mode = os.fstat(fd).st_mode
    except OSError:  # closed before the start: 2 may later become the descriptor of a socket
        fd = os.open(os.devnull, os.O_WRONLY | os.O_CLOEXEC)
        return fd, lambda line: os.write(fd, line)
    if stat.S_ISSOCK(mode):
        sock = socket.socket(fileno=os.dup(fd))
        return sock.fileno(), lambda line: sock.send(line, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
    if stat.S_ISFIFO(mode) or stat.S_ISCHR(mode):
        try:
            own = os.open(f"/proc/self/fd/{fd}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC)
        except OSError:  # no /proc, or a pipe of another user
            poll = select.poll()
            poll.register(fd, select.POLLOUT)
            return fd, lambda line: os.write(fd, line[:MAX_BLOCKING_WRITE]) if poll.poll(0) else 0
        return own, lambda line: os.write(own, line)
    return fd, lambda line: os.write(fd, line)  # a regular file: the kernel's cache takes the line at once
