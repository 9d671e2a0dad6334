"""HTTP/1.1 on a socket: h11 parses, heads stay as h11 read them, and writes are gathered."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from socket import IPPROTO_TCP, TCP_NODELAY, socket
from typing import Any

import h11

from loftweir.net.loop import READABLE, WRITABLE, Coroutine, Wait

BODY_LIMIT = 64 * 1024
READ_SIZE = 64 * 1024
GATHER_LIMIT = 512  # parts in one write; the kernel takes 1,024
# Heads that speak of one connection only, or that a sidecar writes anew: never passed on.
OF_THE_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
    + (b"content-length", b"expect", b"srv-declined", b"srv-load", b"req-deadline-ms")
)
# A message means something else without these: naming them in its Connection field takes none of them off.
OF_THE_MESSAGE = frozenset((b"host", b"req-id", b"req-kind", b"idempotency-key", b"content-type"))
PARTS_A_TURN = 32  # a body in tiny chunks must not keep the loop from all else

Headers = Iterable[tuple[bytes, bytes]]


class TookTooLong(Exception):
    """The other side did not read or write in time."""


class TooLarge(Exception):
    """A body over the limit."""


def value_of(head: h11.Request | h11.Response, name: bytes) -> bytes | None:
    return next((value for key, value in head.headers if key == name), None)


def passed_on(head: h11.Request | h11.Response) -> list[tuple[bytes, bytes]]:
    """The end-to-end fields of a head, as they came."""
    named = {name.strip() for name in (value_of(head, b"connection") or b"").lower().split(b",")}
    named -= OF_THE_MESSAGE
    fields = zip(head.headers, head.headers.raw_items(), strict=True)
    return [raw for (name, _), raw in fields if name not in OF_THE_HOP and name not in named]


def host_and_port(address: str) -> tuple[str, int]:
    host, sign, port = address.rpartition(":")
    if not sign or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)


class Channel:
    """One connection: its socket, and where h11 stands on it."""

    __slots__ = ("sock", "http", "address")

    def __init__(self, sock: socket, role: type[h11.CLIENT] | type[h11.SERVER], address: str = "") -> None:
        sock.setblocking(False)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.sock = sock
        self.http = h11.Connection(role)
        self.address = address

    def close(self) -> None:
        self.sock.close()

    def finished(self) -> bool:
        """Whether one exchange is whole on both sides and another may follow."""
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def more(self) -> bool:
        """Whether bytes behind the last message have been read already: the socket does not show them."""
        return bool(self.http.trailing_data[0])

    def broken(self) -> bool:
        """Whether a connection that should be quiet has been closed, or has something unasked to read."""
        try:
            self.sock.recv(1)
        except BlockingIOError:
            return self.more()
        except OSError:
            pass
        return True

    def next_event(self, until: int | None) -> Coroutine[Any]:
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = self.sock.recv(READ_SIZE)
            except BlockingIOError:
                if not (yield Wait(self.sock, READABLE, until)):
                    raise TookTooLong from None
            else:
                self.http.receive_data(data)

    def body(self, until: int | None) -> Coroutine[list[bytes]]:
        """The parts of a whole body, as they were read."""
        parts: list[bytes] = []
        size = 0
        while True:
            event = yield from self.next_event(until)
            if isinstance(event, h11.EndOfMessage):
                return parts
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("the connection ended inside a body")
            size += len(event.data)
            if size > BODY_LIMIT:
                raise TooLarge
            parts.append(bytes(event.data))
            if len(parts) % PARTS_A_TURN == 0:
                yield Wait(None, 0, 0)

    def send(
        self, head: h11.Request | h11.Response, body: Sequence[bytes], until: int | None
    ) -> Coroutine[None]:
        """Writes a whole message, head and body gathered."""
        parts: list[Any] = list(self.http.send_with_data_passthrough(head) or ())
        for data in body:
            parts += self.http.send_with_data_passthrough(h11.Data(data=data)) or ()
        parts += self.http.send_with_data_passthrough(h11.EndOfMessage()) or ()
        while parts:
            try:
                written = self.sock.sendmsg(parts[:GATHER_LIMIT])
            except BlockingIOError:
                if not (yield Wait(self.sock, WRITABLE, until)):
                    raise TookTooLong from None
                continue
            # A short write leaves whole parts and perhaps the rest of one.
            whole = 0
            while whole < len(parts) and written >= len(parts[whole]):
                written -= len(parts[whole])
                whole += 1
            del parts[:whole]
            if written:
                parts[0] = memoryview(parts[0])[written:]
