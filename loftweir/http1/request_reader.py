"""Reading one request from a client's connection: its head, and its body as far as there is room for it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import h11

from loftweir.config.model import Limits
from loftweir.core.invocation import Invocation
from loftweir.http1 import grammar
from loftweir.http1.flow import Upload
from loftweir.http1.message import HttpRequest, by_name
from loftweir.http1.request import BadRequest, origin_form
from loftweir.http1.stage import Stage
from loftweir.http1.strict import H11Reader
from loftweir.net.loop import MS, READABLE, SECOND, Coroutine, Wait
from loftweir.net.stream import READ_SIZE, Body, TimedOut, reserved

if TYPE_CHECKING:
    from loftweir.http1.client import ClientConnection

LONGEST_UPLOAD = 60 * SECOND  # that a body which is sent on while it comes may take
ROOM_WITHIN = 1500 * MS  # that a long body waits for room: its request's time has not begun
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestReader:
    """Reads the request that begins with what the client's connection has received, and holds what came of it: the
    request whole, or up to its body where that is sent on while it comes."""

    __slots__ = ("client", "front", "until", "limits", "body_until", "invocation", "rest", "upload", "ended")

    limits: Limits  # as they are when the body begins
    body_until: int  # when a body is to be there, but for the time that its bytes take

    def __init__(self, client: ClientConnection, until: int) -> None:
        """`until`: when the request is to be there."""
        self.client = client
        self.front = client.front
        self.until = until
        self.invocation: Invocation | None = None  # None: it asks for the sidecar's health
        self.rest: bytes | None = None  # what was read behind it; None: where it ends is not known or not reached
        self.upload: Upload | None = None  # its body, where that is sent on while it comes
        self.ended = False  # nothing more comes behind `rest`

    def read(self) -> Coroutine[bool]:
        """False: the connection ended before a request began. What can't be served raises `BadRequest`, `TooLarge`,
        `TimedOut` or h11's error."""
        client = self.client
        data, client.received = client.received, b""
        head = grammar.request(data)
        if head is None:
            return self._read_strictly(H11Reader(client.sock, h11.SERVER, data))
        client.method = head.first
        return self._read_common(head, data)

    # ---- a request of the common form -----------------------------------------------------------

    def _read_common(self, head: grammar.Head, data: bytes) -> Coroutine[bool]:
        body = Body(self.front.room)
        self.invocation = self.client.admit(HttpRequest(head.first, head.second, head.pairs, head.fields, body))
        end = head.end + head.length
        if self.invocation is not None and head.length > body.room.most():
            body.append(data[head.end : end])
            self.upload = self._upload(self.invocation, body, head.length)
            return True
        if head.length:
            yield from self._reserve(body, head.length)
            body.append(data[head.end : end])
        rest = data[end:]
        del data  # or its room is taken twice while more is waited for
        if body.size < head.length:
            yield from self._fill(body, head.length)
        self.rest = rest
        return True

    def _fill(self, body: Body, length: int) -> Coroutine[None]:
        """Reads the rest of a body of so many bytes."""
        self._begin_body()
        while body.size < length:
            try:
                data = self.client.sock.recv(min(READ_SIZE, length - body.size))
            except BlockingIOError:
                if not (yield Wait(self.client.sock, READABLE, self._due(body.size))):
                    raise TimedOut from None
                continue
            if not data:
                raise BadRequest("malformed HTTP")
            body.append(data)

    def _upload(self, invocation: Invocation, body: Body, length: int) -> Upload:
        """The body that is greater than the room for it: the request is taken from its head on, and its body sent on
        while it comes. The balancer is given its class with the time that the body may take, and blames nobody for
        that."""
        limits = self.front.options.limits
        upload = Upload(self.front.loop, self.client.sock, body, length, limits.body_silent)
        invocation.payload = invocation.payload._replace(body=upload)
        allowed = min(length * SECOND // limits.body_rate, LONGEST_UPLOAD)
        cls = invocation.cls
        invocation.cls = replace(cls, aim=cls.aim + allowed, deadline=cls.deadline + allowed)
        invocation.time_after_body = invocation.time_left
        invocation.time_left += allowed
        return upload

    # ---- any other request, as h11 reads it ------------------------------------------------------

    def _read_strictly(self, wire: H11Reader) -> Coroutine[bool]:
        client = self.client
        head = yield from wire.next_event(self.until)
        if not isinstance(head, h11.Request):
            return False
        client.method, client.old = head.method, head.http_version < b"1.1"
        pairs = list(head.headers.raw_items())
        request = HttpRequest(head.method, origin_form(head.target), pairs, by_name(pairs), [])
        self.invocation = client.admit(request)
        if wire.http.they_are_waiting_for_100_continue and self.invocation is not None:
            client.sock.send(CONTINUE)
        body = yield from self._strict_body(wire, int(request.fields.get(b"content-length", 0)))
        if self.invocation is not None:
            self.invocation.payload = request._replace(body=body)
        self.rest = wire.rest() if wire.whole() else None
        self.ended = wire.http.trailing_data[1]
        return True

    def _strict_body(self, wire: H11Reader, length: int) -> Coroutine[Body]:
        body = Body(self.front.room)
        yield from self._reserve(body, length)

        def keep(part: bytes) -> Coroutine[None]:
            yield from self._reserve(body, body.size + len(part))
            body.append(part)

        self._begin_body()
        yield from wire.body(self._due, self.limits.body, keep)
        return body

    # ---- room and time --------------------------------------------------------------------------

    def _reserve(self, body: Body, size: int) -> Coroutine[None]:
        """Waits for room. What is waited for is not the client, whose whole request may have come: it is not closed
        as one that has sent half of it."""
        self.client.stage = Stage.BUSY
        yield from reserved(self.front.loop, body, size, ROOM_WITHIN)
        self.client.stage = Stage.BEGUN

    def _begin_body(self) -> None:
        self.limits = self.front.options.limits
        self.body_until = self.front.loop.time + self.limits.body_within

    def _due(self, size: int) -> int:
        """Until when more of a body is waited for, where so much has come: a slow one has the time that its bytes take
        at the least rate, one that falls silent has not."""
        earned = self.body_until + size * SECOND // self.limits.body_rate
        return min(self.front.loop.time + self.limits.body_silent, max(self.until, earned))
