"""Reads one request from a client's connection: its head, and its body as far as the memory budget allows."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import h11

from loftweir.config.model import Limits
from loftweir.core.invocation import Invocation
from loftweir.http1 import grammar
from loftweir.http1.flow import Upload
from loftweir.http1.message import RequestHead, by_name
from loftweir.http1.request import BadRequest, origin_form
from loftweir.http1.stage import Stage
from loftweir.http1.strict import H11Reader, fixed
from loftweir.net.loop import MS, READABLE, SECOND, Coroutine, Wait
from loftweir.net.memory import LEAST_READ, READ_SIZE, Body, OutOfBudget, reserved
from loftweir.net.stream import TimedOut

if TYPE_CHECKING:
    from loftweir.http1.client import ClientConnection

# How long a body waits for memory, and half of its client's time at most: its last byte may have arrived already.
BUDGET_WAIT = 1500 * MS
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def has_whole_request(data: bytes) -> bool:
    """Whether data that was read begins with a whole request, or with one whose errors show already."""
    head = grammar.request(data)
    if head is not None:
        return len(data) >= head.end + head.length
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(data)
    try:
        event = parser.next_event()
        while isinstance(event, (h11.Request, h11.Data)):
            event = parser.next_event()
    except h11.RemoteProtocolError:
        return True
    return isinstance(event, h11.EndOfMessage)


class RequestReader:
    """Reads the request that begins with the data which the client's connection has received.

    It then has the whole request, or the request without its body if that is forwarded as it arrives.
    """

    __slots__ = ("client", "front", "until", "limits", "body_until", "invocation", "rest", "upload", "ended")

    limits: Limits  # as of when the body begins
    body_until: int  # until when a body must be read, not counting the time that its size allows

    def __init__(self, client: ClientConnection, until: int) -> None:
        """`until`: when the whole request must have arrived."""
        self.client = client
        self.front = client.front
        self.until = until
        self.invocation: Invocation | None = None  # None: a health check of the sidecar
        # Data read behind the request, also if there is no memory for that; None: its end is unknown or not reached.
        self.rest: bytes | None = None
        self.upload: Upload | None = None  # its body, if that is forwarded as it arrives
        self.ended = False  # the client sends nothing more behind `rest`

    def read(self) -> Coroutine[bool]:
        """Read the request; return False if the connection ended before one began.

        Raises `BadRequest`, `TooLarge`, `TimedOut` or h11's error for a request that can't be served.
        """
        client = self.client
        data, client.received = client.received, b""
        head = grammar.request(data)
        if head is None and len(data) >= LEAST_READ:
            data += self._more_of_head(data)
            head = grammar.request(data)
        if head is None:
            return self._read_strictly(H11Reader(client.sock, h11.SERVER, data, LEAST_READ))
        client.method = head.first
        return self._read_common(head, data)

    def _more_of_head(self, data: bytes) -> bytes:
        """Return what else has arrived of a head in the common form, if `data` may be the beginning of one."""
        longest = grammar.HEAD_LIMIT + len(grammar.END)
        if len(data) >= longest or grammar.END in data:
            return b""
        try:
            return self.client.sock.recv(longest - len(data))
        except BlockingIOError:
            return b""

    # ---- requests in the common form ------------------------------------------------------------

    def _read_common(self, head: grammar.Head, data: bytes) -> Coroutine[bool]:
        """Read the rest of a request whose head is parsed; `data` is what has been read of it."""
        body = Body(self.front.budget)
        end = head.end + head.length
        if len(data) >= end:
            self.rest = data[end:]
        length = head.length
        self.invocation = self.client.admit(RequestHead(head.first, head.second, head.pairs, head.fields), body)
        if head.end > LEAST_READ:
            body.head_size = head.end
        data = data[head.end : end]
        del head  # it takes far more memory than its bytes
        if self.invocation is not None and length > body.budget.most():
            yield from self._reserve(body, len(data))
            body.append(data)
            self.upload = self._upload(self.invocation, body, length)
            self.rest = None
            return True
        if len(data) < length or body.head_size:  # otherwise one small read has it all
            try:
                yield from self._reserve(body, length)
            except OutOfBudget:
                if self.rest is None:
                    self.rest = self._skip(length - len(data))
                raise
        if data:
            body.hold(data)
        del data  # else its bytes are in memory twice while the rest is awaited
        if body.size < length:
            yield from self._fill(body, length)
            self.rest = b""
        return True

    def _skip(self, size: int) -> bytes | None:
        """Skip `size` bytes of a body without waiting; return what is read behind it, None if its end is not there."""
        if size > READ_SIZE:
            return None
        try:
            while size and (data := self.client.sock.recv(min(LEAST_READ, size))):
                size -= len(data)
        except OSError:  # nothing more has arrived, or the connection broke
            return None
        return None if size else b""

    def _fill(self, body: Body, length: int) -> Coroutine[None]:
        """Read the rest of a body of `length` bytes."""
        self._begin_body()
        while body.size < length:
            try:
                data = self.client.sock.recv(min(READ_SIZE, length - body.size))
            except BlockingIOError:
                if not (yield Wait(self.client.sock, READABLE, self._read_by(body.size))):
                    raise TimedOut from None
                continue
            if not data:
                raise BadRequest("malformed HTTP")
            body.append(data)

    def _upload(self, invocation: Invocation, body: Body, length: int) -> Upload:
        """Return the stream for a body that is too large for the memory budget.

        The request is taken once its head is there, and its body is forwarded as it arrives. The time that the body may
        take is added to the aim and the deadline of its class, so that the balancer counts it against no provider.
        """
        limits = self.front.options.limits
        upload = Upload(self.front.loop, self.client.sock, body, length, limits.body_silent)
        invocation.payload = invocation.payload._replace(body=upload)
        allowed = length * SECOND // limits.body_rate
        cls = invocation.cls
        invocation.cls = replace(cls, aim=cls.aim + allowed, deadline=cls.deadline + allowed)
        invocation.time_after_body = invocation.time_left
        invocation.time_left += allowed
        return upload

    # ---- all other requests, read by h11 ---------------------------------------------------------

    def _read_strictly(self, reader: H11Reader) -> Coroutine[bool]:
        """Read a request with h11; return False if the connection ended before one began."""
        body = Body(self.front.budget)
        length = yield from self._strict_head(reader, body)
        if length is None:
            return False
        if reader.http.they_are_waiting_for_100_continue and self.invocation is not None:
            self.client.sock.send(CONTINUE)
        try:
            yield from self._strict_body(reader, body, length)
        except OutOfBudget:
            self.rest = reader.rest_at_hand()
            raise
        self.rest = reader.rest() if reader.whole() else None
        self.ended = reader.http.trailing_data[1]
        return True

    def _strict_head(self, reader: H11Reader, body: Body) -> Coroutine[int | None]:
        """Read a head with h11 and admit its request, whose body will be read into `body`.

        Returns the length of the body that the head announces, 0 if none; None if the connection ended before a head.
        """
        head = yield from reader.next_event(fixed(self.until), partial(self._make_room, body))
        if not isinstance(head, h11.Request):
            return None
        client = self.client
        client.method, client.http_1_0 = head.method, head.http_version < b"1.1"
        pairs = list(head.headers.raw_items())
        request = RequestHead(head.method, origin_form(head.target), pairs, by_name(pairs))
        self.invocation = client.admit(request, body)
        return int(request.fields.get(b"content-length", 0))

    def _strict_body(self, reader: H11Reader, body: Body, length: int) -> Coroutine[None]:
        """Read a body with h11; `length`: what its head announces, 0 if nothing."""
        yield from self._reserve(body, length)

        def keep(part: bytes) -> Coroutine[None]:
            yield from self._reserve(body, body.size + len(part))
            body.append(part)

        self._begin_body()
        yield from reader.body(self._read_by, self.limits.body, keep, partial(self._make_room, body))

    def _make_room(self, body: Body, size: int) -> Coroutine[None]:
        """Wait for memory for a head, or a trailer, of which `size` bytes have been read."""
        if size > max(LEAST_READ, body.head_size):
            body.head_size = size
            yield from self._reserve(body, body.size)

    # ---- memory and time ------------------------------------------------------------------------

    def _reserve(self, body: Body, size: int) -> Coroutine[None]:
        """Wait for memory for a body.

        Meanwhile the client is not the cause of the wait, and its whole request may have arrived. So its connection is
        not closed like one that has sent half a request.
        """
        self.client.stage = Stage.BUSY
        within = BUDGET_WAIT
        if self.invocation is not None:
            within = min(within, self.invocation.time_left // 2)
        yield from reserved(self.front.loop, body, size, within)
        self.client.stage = Stage.BEGUN

    def _begin_body(self) -> None:
        """Start the time in which the body must arrive."""
        self.limits = self.front.options.limits
        self.body_until = self.front.loop.time + self.limits.body_within

    def _read_by(self, size: int) -> int:
        """Return until when to wait for more of a body of which `size` bytes have arrived.

        A slow client has the time that its bytes take at the minimum rate; one that stops sending has not.
        """
        earned = self.body_until + size * SECOND // self.limits.body_rate
        return min(self.front.loop.time + self.limits.body_silent, max(self.until, earned))
