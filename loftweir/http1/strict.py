"""Reads HTTP/1.1 messages from a socket with h11, the reference, for all messages that are not in the common form."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from socket import socket
from typing import Any

import h11

from loftweir.net.loop import READABLE, Coroutine, Wait
from loftweir.net.memory import KIB, READ_SIZE, TooLarge
from loftweir.net.stream import TimedOut

LONGEST_HEAD = 64 * KIB  # bytes of a head, a chunk's header or a trailer
MOST_FIELDS = 1000  # of a head that does not end with the first read; parsing takes some 3 us for each
PARTS_PER_TURN = 32  # parts of a body read without a pause: one in tiny chunks must not block the loop

# Returns until when to wait for more data, ns on the loop's clock, None without a limit. It is asked anew before each
# wait, so that a limit may run from the last byte that arrived, whatever the byte belongs to.
ReadBy = Callable[[], int | None]
# Makes room for a head, or another part that h11 returns only as a whole, of which so many bytes have been read.
MakeRoom = Callable[[int], Coroutine[None]]


def fixed(until: int | None) -> ReadBy:
    """Return a limit that does not move, whatever arrives."""
    return lambda: until


# Makes h11 expect a response. The request that is really sent is written without h11.
EXPECT_RESPONSE = h11.Request(method="GET", target="/", headers=[("host", "provider")])


class H11Reader:
    """Reads one message from one connection, at most `read_size` bytes at a time."""

    __slots__ = ("sock", "http", "parts", "read_size", "newest", "unfinished_size", "unfinished_lines")

    def __init__(
        self,
        sock: socket,
        role: type[h11.CLIENT] | type[h11.SERVER],
        data: bytes | None = None,
        read_size: int = READ_SIZE,
    ) -> None:
        """`data`: the part of the message that has been read already."""
        self.sock = sock
        self.read_size = read_size
        self.parts = 0  # parts of the body read so far
        self.newest = data or b""  # what was read last, if h11 has returned no event since
        # What was read, before `newest`, of a head or another part that h11 returns only as a whole.
        self.unfinished_size = 0
        self.unfinished_lines = 0
        self.http = h11.Connection(role, max_incomplete_event_size=LONGEST_HEAD)
        if role is h11.CLIENT:
            self.http.send_with_data_passthrough(EXPECT_RESPONSE)
        if data is not None:
            self.http.receive_data(data)

    def whole(self) -> bool:
        """Whether the peer's message is complete and another may follow it on this connection."""
        return self.http.their_state is h11.DONE

    def rest(self) -> bytes:
        """Return the data that was read behind the message."""
        return bytes(self.http.trailing_data[0])

    def rest_at_hand(self) -> bytes | None:
        """Skip the rest of the message without waiting; None if not all of it has arrived, or it is long."""
        left = READ_SIZE
        try:
            while left > 0:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    data = self.sock.recv(self.read_size)
                    self.http.receive_data(data)
                    left -= len(data)
                elif not isinstance(event, h11.Data):
                    break
        except (OSError, h11.RemoteProtocolError):
            return None
        return self.rest() if self.whole() else None

    def next_event(self, read_by: ReadBy, make_room: MakeRoom | None = None) -> Coroutine[Any]:
        """Return h11's next event; raise `TimedOut` if no data arrives in time.

        `make_room` is called before more is read of a head, or of another part that h11 returns only as a whole.
        """
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                self.newest, self.unfinished_size, self.unfinished_lines = b"", 0, 0
                return event
            if self.newest:
                self._count_unfinished()
                if make_room is not None:
                    yield from make_room(self.unfinished_size)
            try:
                data = self.sock.recv(self.read_size)
            except BlockingIOError:
                if not (yield Wait(self.sock, READABLE, read_by())):
                    raise TimedOut from None
            else:
                self.http.receive_data(data)
                self.newest = data

    def _count_unfinished(self) -> None:
        """Count what was read last, of which h11 has made no event; raise its error if there are too many lines."""
        self.unfinished_size += len(self.newest)
        self.unfinished_lines += self.newest.count(b"\n")
        self.newest = b""
        if self.unfinished_lines > MOST_FIELDS:
            raise h11.RemoteProtocolError("too many header fields", error_status_hint=431)

    def part(self, read_by: ReadBy, make_room: MakeRoom | None = None) -> Coroutine[bytes]:
        """Return the next part of a body, which is empty at its end; `make_room`: see `next_event`."""
        event = yield from self.next_event(read_by, make_room)
        if isinstance(event, h11.EndOfMessage):
            return b""
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the connection ended inside a body")
        self.parts += 1
        if self.parts % PARTS_PER_TURN == 0:
            yield Wait(None, 0, 0)
        return bytes(event.data)

    def body(
        self,
        read_by: Callable[[int], int],
        limit: int,
        keep: Callable[[bytes], Coroutine[None]] | None = None,
        make_room: MakeRoom | None = None,
    ) -> Coroutine[list[bytes]]:
        """Return the parts of a whole body as they were read; raise `TooLarge` above `limit` bytes.

        `read_by` returns until when to wait for more data, given the bytes of the body so far. `keep` stores each part
        instead of the returned list, once there is memory for it. `make_room`: see `next_event`.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            part = yield from self.part(partial(read_by, size), make_room)
            if not part:
                return parts
            size += len(part)
            if size > limit:
                raise TooLarge
            if keep is None:
                parts.append(part)
            else:
                yield from keep(part)
