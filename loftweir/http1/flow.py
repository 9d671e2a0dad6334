"""Long bodies that are forwarded as they arrive: responses from their provider, requests from their client.

The writing side pulls the next piece once the previous one is written. So one piece is in memory at a time, and a side
that does not read stops the other. No deadline ends a body as long as more of it arrives.
"""

from __future__ import annotations

from collections.abc import Callable
from socket import socket

import h11

from loftweir.http1.buffering import PartTimes
from loftweir.http1.strict import H11Reader
from loftweir.net.loop import MS, READABLE, Coroutine, Loop, Wait
from loftweir.net.memory import KIB, SMALL, Body, Held, MemoryBudget, TooLarge
from loftweir.net.stream import TimedOut, largest_send_buffer, unread_size

# A response of up to `SMALL` bytes counts by its last byte, and as lost if that comes LOST_AFTER past its deadline. One
# of unknown length that may be so short is ended before that if it is silent for SILENT_LATE and for longer than its
# provider has paused before, and counts as failed.
SILENT_LATE = 300 * MS
LOST_AFTER = 500 * MS


TURN_SIZE = 64 * KIB  # bytes of a body that are forwarded before other coroutines get a turn


class Turns:
    """Gives other coroutines a turn, however much of a body is there and its receiver takes."""

    __slots__ = ("loop", "size")

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.size = 0  # bytes forwarded in this turn

    def take(self, size: int) -> Coroutine[None]:
        """Count a piece of `size` bytes, and wait for the next turn if this one has had its share."""
        self.size += size
        if self.size >= TURN_SIZE:
            self.size = 0
            yield Wait(None, 0, self.loop.time)


class ResponseStream:
    """The body of a response that is forwarded as it arrives.

    Invariant: it owns the provider's connection until `close`, which releases it exactly once.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket,
        received: Body,
        length: int | None,
        reader: H11Reader | None,
        budget: MemoryBudget,
        silent_for: int,
        limit: int,
        deadline: int,
        release: Callable[[bool], None],
        times: PartTimes | None = None,
    ) -> None:
        """`received` is what has arrived so far. The body has `length` bytes, read from the socket, or `reader` reads
        it.

        `deadline` is that of its request. `release` is called with whether the connection can be used again. `times`:
        of the parts that have arrived so far.
        """
        self.loop = loop
        self.sock = sock
        self.received: Body | None = received
        self.length = length
        self.reader = reader
        self.budget = budget
        self.head_size = received.head_size
        self.held = Held(budget)  # the piece that is being written, and the head
        self.silent_for = silent_for
        self.limit = limit
        self.deadline = deadline
        self.release: Callable[[bool], None] | None = release
        self.times = times or PartTimes()
        self.turns = Turns(loop)
        self.returned = 0

    def pull(self) -> Coroutine[bytes]:
        """Return the next piece; see `BodyStream.pull`."""
        received, self.received = self.received, None
        # The head may have arrived alone, and an empty piece would mean the end.
        if received is not None and received.size:
            piece = b"".join(received)
        else:
            piece = yield from self._next()
        self.held.replace(self.head_size + len(piece))
        yield from self.turns.take(len(piece))
        self.returned += len(piece)
        if self.returned > self.limit:
            raise TooLarge
        if not piece:
            self.close(self.reader is None or (self.reader.whole() and not self.reader.rest()))
        return piece

    def _next(self) -> Coroutine[bytes]:
        """Read the next piece from the connection."""
        if self.reader is not None:
            self.reader.read_size = self.budget.piece()
            try:
                part = yield from self.reader.part(self._silent_until)
                self.times.add(self.loop.time)
                return part
            except h11.RemoteProtocolError as error:
                raise ConnectionResetError(str(error)) from None
        assert self.length is not None
        left = self.length - self.returned
        while left:
            try:
                piece = self.sock.recv(min(left, self.budget.piece()))
            except BlockingIOError:
                if not (yield Wait(self.sock, READABLE, self._silent_until())):
                    raise TimedOut from None
                continue
            if not piece:
                raise ConnectionResetError("the provider closed the connection inside its response")
            return piece
        return b""

    def _silent_until(self) -> int:
        """Return until when the provider may be silent from now on."""
        now = self.loop.time
        until = now + self.silent_for
        if self.length is None and self.returned <= SMALL:
            ended_at = max(now, self.deadline) + max(SILENT_LATE, self.times.longest_pause * 3 // 2)
            if ended_at <= self.deadline + LOST_AFTER:
                until = min(until, ended_at)
        return until

    def close(self, reusable: bool = False) -> None:
        """Release the connection, once; `reusable`: the body was read to its end."""
        release, self.release = self.release, None
        if release is not None:
            self.received = None
            self.held.replace(0)
            release(reusable)

    def __del__(self) -> None:
        self.close()


class UploadFailed(Exception):
    """A request's body did not arrive whole, or can't be sent a second time: the request did not run."""


class Upload:
    """The body of a request that is larger than the memory budget allows. It can be pulled once.

    Invariant: until `over` is set, only `pull` waits on the client's socket.
    """

    def __init__(self, loop: Loop, sock: socket, received: Body, length: int, silent_for: int) -> None:
        self.loop = loop
        self.sock = sock
        self.received = received
        self.budget = received.budget
        self.length: int | None = length
        self.remaining = length - received.size
        self.silent_for = silent_for
        self.held = Held(self.budget)  # the piece that is being written
        self.turns = Turns(loop)
        self.written_from: int | None = None  # the earliest time at which the client may have written its last byte
        self.begun = False
        self.over = False
        self.error: Exception | None = None  # why it failed, which is the client's fault
        self.on_over: Callable[[], None] = lambda: None  # called when it is over, whole or not

    def pull(self) -> Coroutine[bytes]:
        """Return the next piece; see `BodyStream.pull`. Raises `UploadFailed` if the client did not send it all."""
        if not self.begun:
            self.begun = True
            if self.received.size:  # none may have arrived with its head, and an empty piece would mean the end
                return b"".join(self.received)  # they stay counted with `received`
        while self.remaining and self.error is None:
            self._note_written()
            try:
                data = self.sock.recv(min(self.remaining, self.budget.piece()))
            except BlockingIOError:
                if not (yield Wait(self.sock, READABLE, self.loop.time + self.silent_for)):
                    self._end(TimedOut())
                self.written_from = None  # all that the client had written has been read
                continue
            except OSError as error:
                self._end(error)
                continue
            if not data:
                self._end(ConnectionResetError("the client closed the connection inside its body"))
                continue
            self.remaining -= len(data)
            self.held.replace(len(data))
            yield from self.turns.take(len(data))
            return data
        if self.error is not None:
            raise UploadFailed
        self._note_written()
        self._end(None)
        return b""

    def _note_written(self) -> None:
        """Note the time if the client may have written its last byte by now, and could not have before.

        Its machine holds a part of the body that this one has no room for, as long as the provider reads slowly.
        """
        if self.written_from is None and self.remaining <= unread_size(self.sock) + largest_send_buffer():
            self.written_from = self.loop.time

    def answer_due(self, time_left: int) -> int | None:
        """Return when the answer is due, if that is known; the client waits `time_left` ns from its last byte on."""
        return None if self.written_from is None else self.written_from + time_left

    def _end(self, error: Exception | None) -> None:
        """End it; `error`: why it did not arrive whole, None if it did."""
        self.error = error
        self.close()

    def close(self) -> None:
        """End it: nothing more is pulled."""
        if not self.over:
            self.over = True
            self.held.replace(0)
            self.on_over()
