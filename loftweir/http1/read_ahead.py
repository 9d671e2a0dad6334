"""Reads ahead of a client's open request, so that the end of its stream can be seen behind what it has sent.

The kernel tells of a client's close only once everything before it has arrived. If so much is unread that the receive
window is full, the close waits in the client's own kernel.
"""

from __future__ import annotations

import socket

from loftweir.net.memory import KIB, LEAST_READ, READ_SIZE, Held, MemoryBudget
from loftweir.net.stream import hung_up, unread_size

HIDES_END = 16 * KIB  # bytes unread behind which the end of a stream may wait: well below the smallest full window
MOST_AHEAD = 64 * KIB  # bytes


class ReadAhead:
    """What has been read of a client's connection behind its open request; it takes from the budget."""

    __slots__ = ("sock", "held", "data", "kept")

    def __init__(self, sock: socket.socket, budget: MemoryBudget) -> None:
        self.sock = sock
        self.held = Held(budget)
        self.data = b""
        self.kept = 0  # bytes that were read before, of which the open request and what follows it are a part

    def has_ended(self, may_read: bool) -> bool:
        """Whether the client has disconnected; reads ahead, if it may, where the end may be hidden."""
        if hung_up(self.sock):
            return True
        if not may_read or not self.may_hide_end():
            return False
        self._read()
        return hung_up(self.sock)

    def may_hide_end(self) -> bool:
        """Whether so much is unread that the client may have disconnected unseen."""
        return unread_size(self.sock) >= HIDES_END

    def _read(self) -> None:
        """Read what has arrived, as far as the limit and the budget allow."""
        while self.kept + len(self.data) < MOST_AHEAD and self.held.budget.has_room(READ_SIZE, READ_SIZE):
            try:
                data = self.sock.recv(READ_SIZE)
            except OSError:  # nothing more has arrived, or the connection broke
                return
            if not data:
                return
            self.data += data
            self.held.replace(self.kept + len(self.data))

    def behind(self, rest: bytes) -> bytes:
        """Return all that was read behind a request, given what was read together with it."""
        data, self.data = rest + self.data, b""
        self.kept = len(data) if len(data) > LEAST_READ else 0
        self.held.replace(self.kept)
        return data
