"""Reads HTTP/1.1 messages from a socket with h11, the reference, for all messages that are not in the common form."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from socket import socket
from typing import Any

import h11

from loftweir.net.loop import READABLE, Coroutine, Wait
from loftweir.net.memory import READ_SIZE, TooLarge
from loftweir.net.stream import TimedOut

PARTS_PER_TURN = 32  # parts of a body read without a pause: one in tiny chunks must not block the loop

# Returns until when to wait for more data, ns on the loop's clock, None without a limit. It is asked anew before each
# wait, so that a limit may run from the last byte that arrived, whatever the byte belongs to.
ReadBy = Callable[[], int | None]


def fixed(until: int | None) -> ReadBy:
    """Return a limit that does not move, whatever arrives."""
    return lambda: until


# Makes h11 expect a response. The request that is really sent is written without h11.
EXPECT_RESPONSE = h11.Request(method="GET", target="/", headers=[("host", "provider")])


class H11Reader:
    """Reads one message from one connection. `data` is the part of it that has been read already."""

    __slots__ = ("sock", "http", "parts")

    def __init__(self, sock: socket, role: type[h11.CLIENT] | type[h11.SERVER], data: bytes | None = None) -> None:
        self.sock = sock
        self.parts = 0  # parts of the body read so far
        self.http = h11.Connection(role)
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
        """Skip the rest of the message without reading any more; None if its end has not been read."""
        try:
            while isinstance(self.http.next_event(), h11.Data):
                pass
        except h11.RemoteProtocolError:
            return None
        return self.rest() if self.whole() else None

    def next_event(self, read_by: ReadBy) -> Coroutine[Any]:
        """Return h11's next event; raise `TimedOut` if no data arrives in time."""
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = self.sock.recv(READ_SIZE)
            except BlockingIOError:
                if not (yield Wait(self.sock, READABLE, read_by())):
                    raise TimedOut from None
            else:
                self.http.receive_data(data)

    def part(self, read_by: ReadBy) -> Coroutine[bytes]:
        """Return the next part of a body, which is empty at its end."""
        event = yield from self.next_event(read_by)
        if isinstance(event, h11.EndOfMessage):
            return b""
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the connection ended inside a body")
        self.parts += 1
        if self.parts % PARTS_PER_TURN == 0:
            yield Wait(None, 0, 0)
        return bytes(event.data)

    def body(
        self, read_by: Callable[[int], int], limit: int, keep: Callable[[bytes], Coroutine[None]] | None = None
    ) -> Coroutine[list[bytes]]:
        """Return the parts of a whole body as they were read; raise `TooLarge` above `limit` bytes.

        `read_by` returns until when to wait for more data, given the bytes of the body so far. `keep` stores each part
        instead of the returned list, once there is memory for it.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            part = yield from self.part(partial(read_by, size))
            if not part:
                return parts
            size += len(part)
            if size > limit:
                raise TooLarge
            if keep is None:
                parts.append(part)
            else:
                yield from keep(part)
