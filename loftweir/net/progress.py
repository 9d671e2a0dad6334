"""Writing to a peer that may read slowly: what counts as progress, and when the peer is given up.

epoll reports a socket writable only once about a third of its send buffer is free. The buffer holds up to 4 MiB, so
that may take a slow reader very long. What its machine has acknowledged tells earlier that it reads.

A receiving machine acknowledges in steps: once its buffer is full it opens its window again only when a part of the
buffer is free. So bytes that were acknowledged may not be read yet, and reading them is progress that nobody sees.
"""

from __future__ import annotations

import socket
from typing import Any

from loftweir.net.loop import MS, SECOND, Coroutine, Loop
from loftweir.net.stream import TimedOut, send, unacknowledged

CHECK_INTERVAL = 250 * MS  # between two looks at what a peer has acknowledged
LOWEST_READ_RATE = 16 * 1024  # bytes a second: acknowledged bytes may be read at this rate without a further sign
LONGEST_UNSEEN = 20 * SECOND  # the most time for acknowledged bytes to be read without a further sign


class ReadProgress:
    """What a peer has taken of one message, and until when it may take nothing more.

    A peer is given up once its machine has acknowledged nothing for `silent_for` and the acknowledged bytes would have
    been read at `LOWEST_READ_RATE`, at the latest `LONGEST_UNSEEN` after that. The time between two writes does not
    count.
    """

    __slots__ = ("loop", "sock", "silent_for", "offered", "taken", "until", "latest")

    def __init__(self, loop: Loop, sock: socket.socket, silent_for: int) -> None:
        """`silent_for`: ns."""
        self.loop = loop
        self.sock = sock
        self.silent_for = silent_for
        self.offered = 0  # bytes of the message that were to be written so far
        # Bytes of them that are acknowledged, less those of earlier messages that are not; None: not looked at yet.
        self.taken: int | None = None
        self.until = 0
        self.latest: int | None = None  # when the peer is given up although it reads; None: never

    def begin(self, parts: list[Any]) -> None:
        """Begin to wait for the peer to take these parts."""
        self.offered += sum(map(len, parts))
        self.until = max(self.until, self.loop.time + self.silent_for)

    def next_check(self) -> int:
        """Return until when to wait before the next call of `is_over`."""
        check_at = min(self.until, self.loop.now() + CHECK_INTERVAL)
        return check_at if self.latest is None else min(check_at, self.latest)

    def is_over(self, parts: list[Any]) -> bool:
        """Whether the peer is to be given up; `parts`: what the kernel has not taken yet."""
        now = self.loop.now()
        taken = self.offered - sum(map(len, parts)) - unacknowledged(self.sock)
        newly_taken = max(0, taken) if self.taken is None else taken - self.taken
        self.taken = taken
        if newly_taken > 0:
            unseen = newly_taken * SECOND // LOWEST_READ_RATE
            silent_until = now + self.silent_for
            self.until = min(max(self.until, silent_until) + unseen, silent_until + LONGEST_UNSEEN)
        return now >= self.until or (self.latest is not None and now >= self.latest)


def send_as_read(sock: socket.socket, parts: list[Any], progress: ReadProgress, breaks: int = 0) -> Coroutine[None]:
    """Write parts of a message as the peer reads them; raise `TimedOut` once it is given up.

    Parts are removed from the list as they are written; `breaks`: see `send`.
    """
    progress.begin(parts)
    while True:
        try:
            yield from send(progress.loop, sock, parts, progress.next_check(), breaks)
            return
        except TimedOut:
            if progress.is_over(parts):
                raise
