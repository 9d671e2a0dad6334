"""HTTP/1.1 on a socket as h11 reads it: the reference, for every message that is not of the common form."""

from __future__ import annotations

from collections.abc import Callable
from socket import socket
from typing import Any

import h11

from loftweir.net.loop import READABLE, Coroutine, Wait
from loftweir.net.stream import READ_SIZE, TimedOut, TooLarge

PARTS_A_TURN = 32  # a body in tiny chunks must not keep the loop from all else

# Tells h11 that an answer is due: the head that goes out is written from the parts of the client's own.
DUE = h11.Request(method="GET", target="/", headers=[("host", "provider")])


class H11Reader:
    """One message on one connection. `data` is what of it has been read already."""

    __slots__ = ("sock", "http", "parts")

    def __init__(self, sock: socket, role: type[h11.CLIENT] | type[h11.SERVER], data: bytes | None = None) -> None:
        self.sock = sock
        self.parts = 0  # of the body, so far
        self.http = h11.Connection(role)
        if role is h11.CLIENT:
            self.http.send_with_data_passthrough(DUE)
        if data is not None:
            self.http.receive_data(data)

    def whole(self) -> bool:
        """Whether the other side's message is whole and another may follow it on this connection."""
        return self.http.their_state is h11.DONE

    def rest(self) -> bytes:
        """What was read behind the message."""
        return bytes(self.http.trailing_data[0])

    def next_event(self, until: int | None) -> Coroutine[Any]:
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = self.sock.recv(READ_SIZE)
            except BlockingIOError:
                if not (yield Wait(self.sock, READABLE, until)):
                    raise TimedOut from None
            else:
                self.http.receive_data(data)

    def part(self, until: int | None) -> Coroutine[bytes]:
        """The next part of a body; empty: it has ended."""
        event = yield from self.next_event(until)
        if isinstance(event, h11.EndOfMessage):
            return b""
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the connection ended inside a body")
        self.parts += 1
        if self.parts % PARTS_A_TURN == 0:
            yield Wait(None, 0, 0)
        return bytes(event.data)

    def body(
        self, due: Callable[[int], int], limit: int, keep: Callable[[bytes], Coroutine[None]] | None = None
    ) -> Coroutine[list[bytes]]:
        """The parts of a whole body, as they were read; TooLarge over `limit` bytes. `due`: until when the next is
        waited for, by how much has come; `keep`: keeps a part, where there is room for it."""
        parts: list[bytes] = []
        size = 0
        while True:
            part = yield from self.part(due(size))
            if not part:
                return parts
            size += len(part)
            if size > limit:
                raise TooLarge
            if keep is None:
                parts.append(part)
            else:
                yield from keep(part)
