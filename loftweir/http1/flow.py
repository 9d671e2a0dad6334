"""Long bodies, passed on as they come: of an answer from its provider, of a request from its client.

Whoever writes one on pulls the next piece when the last one is out: one piece of it is in memory, and a side that does
not read stops the other. No deadline ends it while there is more to come.
"""

from __future__ import annotations

from collections.abc import Callable
from socket import socket

import h11

from loftweir.http1.strict import H11Reader
from loftweir.net.loop import MS, READABLE, Coroutine, Loop, Wait
from loftweir.net.stream import SMALL, Body, MemoryBudget, TimedOut, TooLarge

SILENT_LATE = 300 * MS  # past its deadline; the platform counts an answer as lost 500 ms past it


class ResponseStream:
    """Invariant: the provider's connection is its own until `close`, which gives it back exactly once."""

    def __init__(
        self,
        loop: Loop,
        sock: socket,
        held: Body,
        length: int | None,
        wire: H11Reader | None,
        room: MemoryBudget,
        silent_for: int,
        limit: int,
        deadline: int,
        give_back: Callable[[bool], None],
    ) -> None:
        """`held`: what has come of it. `length` bytes follow on the socket as they are, or `wire` reads them.
        `deadline`: its request's. `give_back` is told whether the connection can be used again."""
        self.loop = loop
        self.sock = sock
        self.held: Body | None = held
        self.length = length
        self.wire = wire
        self.room = room
        self.silent_for = silent_for
        self.limit = limit
        self.deadline = deadline
        self.give_back: Callable[[bool], None] | None = give_back
        self.given = 0

    def pull(self) -> Coroutine[bytes]:
        held, self.held = self.held, None
        if held is not None and held.size:  # its head may have come alone, and an empty piece is its end
            piece = b"".join(held)
        else:
            piece = yield from self._next()
        self.given += len(piece)
        if self.given > self.limit:
            raise TooLarge
        if not piece:
            self.close(self.wire is None or (self.wire.whole() and not self.wire.rest()))
        return piece

    def _next(self) -> Coroutine[bytes]:
        now = self.loop.time
        until = now + self.silent_for
        if self.length is None and self.given <= SMALL:
            until = min(until, max(now, self.deadline) + SILENT_LATE)
        if self.wire is not None:
            try:
                return (yield from self.wire.part(until))
            except h11.RemoteProtocolError as error:
                raise ConnectionResetError(str(error)) from None
        assert self.length is not None
        left = self.length - self.given
        while left:
            try:
                piece = self.sock.recv(min(left, self.room.piece()))
            except BlockingIOError:
                if not (yield Wait(self.sock, READABLE, until)):
                    raise TimedOut from None
                continue
            if not piece:
                raise ConnectionResetError("the provider ended inside its answer")
            return piece
        return b""

    def close(self, reusable: bool = False) -> None:
        give_back, self.give_back = self.give_back, None
        if give_back is not None:
            self.held = None
            give_back(reusable)

    def __del__(self) -> None:
        self.close()


class UploadFailed(Exception):
    """A request's body that did not come whole, or can't be sent a second time: nothing of it has run."""


class Upload:
    """The body of a request that is greater than the room for it. It can be pulled once.

    Invariant: until `over`, only `pull` waits on the client's socket."""

    def __init__(self, loop: Loop, sock: socket, held: Body, length: int, silent_for: int) -> None:
        self.loop = loop
        self.sock = sock
        self.held = held
        self.room = held.room
        self.length: int | None = length
        self.left = length - held.size
        self.silent_for = silent_for
        self.begun = False
        self.over = False
        self.broken: Exception | None = None  # the client's fault
        self.told: Callable[[], None] = lambda: None  # it is over, one way or the other

    def pull(self) -> Coroutine[bytes]:
        if not self.begun:
            self.begun = True
            if self.held.size:  # nothing of it may have come with its head, and an empty piece is its end
                return b"".join(self.held)
        while self.left and self.broken is None:
            try:
                data = self.sock.recv(min(self.left, self.room.piece()))
            except BlockingIOError:
                if not (yield Wait(self.sock, READABLE, self.loop.time + self.silent_for)):
                    self._end(TimedOut())
                continue
            except OSError as error:
                self._end(error)
                continue
            if not data:
                self._end(ConnectionResetError("the client ended inside its body"))
                continue
            self.left -= len(data)
            return data
        if self.broken is not None:
            raise UploadFailed
        self._end(None)
        return b""

    def _end(self, broken: Exception | None) -> None:
        self.broken = broken
        self.close()

    def close(self) -> None:
        """Nothing more is pulled."""
        if not self.over:
            self.over = True
            self.told()
