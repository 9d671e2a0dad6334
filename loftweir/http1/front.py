"""The clients' side: the listener, its connections, and the invocations that come over them.

A connection that says nothing has no coroutine, no parser and no timer: the object is watched by the loop, and what
comes begins a coroutine that ends with the answer. All that are silent, or rest between requests, have one time to
rest; they stand in the order in which that ends, and one coroutine closes those due.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from enum import IntEnum
from functools import lru_cache
from itertools import islice
from typing import Any

import h11

from loftweir.config.model import Options
from loftweir.config.units import host_and_port
from loftweir.core.host import Host
from loftweir.core.invocation import Final, Invocation, Kind, Unfit, check
from loftweir.core.life import Life
from loftweir.http1 import grammar
from loftweir.http1.flow import Upload
from loftweir.http1.message import Answer, Fields, Flow, Message, by_name, plain
from loftweir.http1.strict import Strict
from loftweir.interface import Settings
from loftweir.net.loop import EXCLUSIVE, HUNG_UP, MS, READABLE, SECOND, WOKEN, Coroutine, Loop, Task, Wait
from loftweir.net.stream import (
    READ_SIZE,
    Body,
    NoRoom,
    Room,
    TookTooLong,
    TooLarge,
    hung_up,
    prepare,
    reserved,
    send,
    untaken,
    waited,
)
from loftweir.telemetry.access import wanted
from loftweir.telemetry.catalogue import ACCEPT_FAILED, ACCESS, INVOCATION_BROKEN, OVERDUE, ROOM_NONE
from loftweir.telemetry.log import say, where

OURS = (b"req-id", b"req-kind", b"req-deadline-ms", b"idempotency-key")
ACCEPTS_A_TURN = 16  # a wave of new connections waits for the answers that are ready
CLOSES_A_TURN = 64  # so does a wave of connections whose time is over
LONGEST_UPLOAD = 60 * SECOND  # that a body which is sent on while it comes may take
ROOM_WITHIN = 1500 * MS  # that a long body waits for room: its request's time has not begun
COME_BACK = 500 * MS  # where it had none
LOOK_FOR_TAKEN = 20 * MS  # how often an ended connection's answer is looked after, past its time
LOOKS_AT = 16  # connections that `spare` looks at in each row, the longest there first
HALF_REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class Malformed(Exception):
    """A request that can't be served as it stands: says why."""

    def __init__(self, why: str, status: int = 400, *headers: tuple[str, str]) -> None:
        super().__init__(why)
        self.status = status
        self.headers = headers


class Stage(IntEnum):
    """Where a client's connection stands. Where room is short, the lowest stage is closed first."""

    ENDING = -1  # its last answer is out or it rested too long, what comes is not looked at any more
    SILENT = 0  # nothing has come on it yet
    IDLE = 1  # between requests
    BEGUN = 2  # part of a request has come
    BUSY = 3  # a whole one has, or its answer is being written


def taken(request: Message, settings: Settings, traced: bool) -> Invocation:
    """The invocation that a request makes, but for its body; `Malformed` where it can't be taken."""
    fields = request.fields
    if len(fields) < len(request.pairs):
        names = [name for name, _ in request.pairs if name.lower() in OURS]
        if len(names) > len({name.lower() for name in names}):
            raise Malformed("a Req field or Idempotency-Key comes twice")
    request_id, class_name = text_of(fields, b"req-id"), text_of(fields, b"req-kind", "utf-8")
    try:
        cls = check(settings.classes.get(class_name), class_name, bool(fields.get(b"idempotency-key")))
    except Unfit as error:
        raise Malformed(f"Req-Kind: {error}") from None
    patience = cls.deadline
    wait = fields.get(b"req-deadline-ms")
    if wait is not None:
        if not wait.isdigit() or len(wait) >= 10 or int(wait) <= 0:
            raise Malformed("Req-Deadline-Ms is not a whole number above 0")
        patience = min(int(wait) * MS, cls.deadline)
    return Invocation(
        request_id,
        cls,
        patience,
        request,
        write=request.method != b"GET",
        client_retry=fields.get(b"req-retry") == b"1",
        traced=traced,
        key=key_of(fields.get(b"req-key")),
    )


def origin_form(target: bytes) -> bytes:
    """A target in absolute form names the sidecar too, and providers are asked for its path alone."""
    scheme, sign, rest = target.partition(b"://")
    if not sign or scheme.lower() not in (b"http", b"https"):
        return target
    authority, slash, path = rest.partition(b"/")
    return slash + path if slash else b"/" + authority[len(authority.partition(b"?")[0]) :]


def text_of(fields: Fields, name: bytes, encoding: str = "ascii") -> str:
    try:
        text = fields.get(name, b"").decode(encoding)
    except UnicodeDecodeError:
        text = ""
    if not text:
        raise Malformed(f"{name.decode().title()} is missing or not plain text")
    return text


def key_of(value: bytes | None) -> str | None:
    """`Req-Key`, where it is plain text: the balancer may do without it, and a request is not lost over it."""
    return value.decode("ascii") if value and value.isascii() else None


def answered(final: Final) -> Answer:
    """A final answer in HTTP's words."""
    if final.kind is Kind.SERVED:
        assert isinstance(final.payload, Answer)
        return final.payload
    if final.kind is Kind.REJECTED:
        return rejection(max(1, final.after // MS) if final.after > 0 else 0)
    return plain({Kind.FAILED: 502, Kind.LATE: 504, Kind.BROKEN: 500}[final.kind], "failed")


@lru_cache(maxsize=4096)
def rejection(after_ms: int) -> Answer:
    """Kept for each whole millisecond: when there is most to reject, there is least time for it."""
    headers = [("retry-after", f"{after_ms / 1000:.3f}")] if after_ms > 0 else []
    return plain(503, "rejected", *headers)


class Trace:
    """What the access line says of one invocation, taken once it is decided and before it is forgotten."""

    __slots__ = ("id", "class_name", "patience", "began", "taken_at", "decided_at", "answered_at", "calls")

    def __init__(self, invocation: Invocation, began: int, now: int) -> None:
        self.id = invocation.id
        self.class_name = invocation.cls.name
        self.patience = invocation.patience
        self.began = began
        self.taken_at = invocation.deadline - invocation.patience
        self.answered_at = now
        self.calls = invocation.told
        self.decided_at = self.calls[0].pop("at") if self.calls else now
        for call in self.calls[1:]:
            call["after_ms"] = round((call.pop("at") - self.taken_at) / MS, 3)

    def tell(self, options: Options, status: int, now: int) -> None:
        """`status` 0: the client went before its answer was written."""
        log = options.log
        ms = (now - self.began) / MS
        why = wanted(log.access, self.id, status, ms, log.access_slow / MS, log.access_sample)
        if not why:
            return
        say(
            ACCESS,
            id=self.id,
            **{"class": self.class_name},
            status=status,
            how=HOW.get(status, "failed"),
            ms=round(ms, 3),
            head_ms=round((self.taken_at - self.began) / MS, 3),
            decision_ms=round((self.decided_at - self.taken_at) / MS, 3),
            calls=self.calls,
            write_ms=round((now - self.answered_at) / MS, 3),
            patience_ms=self.patience // MS,
            why=why,
        )


HOW = {0: "gone", 200: "served", 503: "rejected"}


class Client:
    """One connection of the application: one request at a time, one whole answer each.

    Invariant: `task` runs while a request is being read, decided or answered, and while the connection ends; else it is
    None and the loop watches the connection itself (`ready`), which stands in the front's row of its stage.
    """

    __slots__ = ("front", "host", "sock", "task", "stage", "since", "free_at", "mask", "method", "old", "trace")

    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front = front
        self.host = front.host  # that its request is decided by
        self.sock = sock
        self.task: Task | None = None
        self.stage = Stage.SILENT
        self.since = front.loop.time
        self.free_at = 0  # from when on what comes next could be read; 0: at once, though it came before `accept`
        self.mask = READABLE
        self.method = b""
        self.old = False  # its request is of HTTP/1.0
        self.trace: Trace | None = None  # of the invocation now open, where an access line may be due

    # ---- at rest --------------------------------------------------------------------------------

    def ready(self, events: int) -> None:
        self.front.loop.fresh.append(self.begin)

    def begin(self) -> None:
        """Something has come, or the client has gone."""
        if self.sock.fileno() >= 0 and self.stage is not Stage.ENDING:
            self.front.row(self).pop(self, None)
            self.task = self.front.loop.task(self.serve())
            self.task.step()

    def quiet(self, most: Stage = Stage.IDLE) -> bool:
        """Whether no whole request has come that is not answered, and no answer is on its way: closing the connection
        loses none."""
        if self.stage is Stage.ENDING:
            return not untaken(self.sock)
        if self.stage > most:
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:  # nothing there, or broken
            return True

    def end(self) -> None:
        """Ends a connection at rest, once nothing more can cross it: bytes may come after the last look. Whatever is
        read from here on is never sent on, and the client, told of the end before anything else, sends it again."""
        self.front.row(self).pop(self, None)
        self.task = self.front.loop.task(self._end())
        self.task.step()

    def _end(self) -> Coroutine[None]:
        try:
            yield from self._linger(self.front.options.limits.linger_bytes)
        except OSError:
            pass
        finally:
            self.task = None
            self.front.forget(self)

    def close(self) -> None:
        """Ends it now: its descriptor is free when this returns. The client reads all that was written to it, a
        refusal of the half request where there is one, and the end of the stream ahead of any reset. Inside an answer
        there is no such end: it would be taken for the answer's own."""
        if self.stage is not Stage.BUSY:
            with suppress(OSError):  # gone, or nothing there
                if self.stage is Stage.BEGUN:
                    self.sock.send(HALF_REFUSED)
                self.sock.shutdown(socket.SHUT_WR)
                left = self.front.options.limits.linger_bytes
                while left > 0 and (read := len(self.sock.recv(READ_SIZE))):
                    left -= read
        if self.task is not None:
            self.task.cancel()
        self.front.forget(self)

    # ---- one request after another --------------------------------------------------------------

    def serve(self) -> Coroutine[None]:
        """Answers what has come; ends when the connection rests or is closed."""
        front, sock = self.front, self.sock
        loop = front.loop
        goes_on = False
        data: bytes | None = None
        try:
            while True:
                if data is None:
                    try:
                        data = sock.recv(READ_SIZE)
                    except BlockingIOError:  # nothing after all
                        goes_on = True
                        return
                    if not data:
                        return
                began = loop.time
                # What a client owes: the first request on a new connection within a time from its opening on, a
                # later one from its first byte on.
                until = (self.since if self.stage is Stage.SILENT else began) + front.options.limits.request_within
                self.stage, self.method, self.old = Stage.BEGUN, b"", False
                rest: bytes | None = b""
                unread = front.options.limits.linger_bytes
                wire: Strict | None = None
                try:
                    head = grammar.request(data)
                    if head is None:
                        wire = Strict(sock, h11.SERVER, data)
                        data = b""
                        answer = yield from self._strictly(wire, until, began)
                        rest = wire.rest() if wire.whole() else None
                    else:
                        self.method = head.first
                        rest = None
                        answer, rest = yield from self._plainly(head, data, until, began)
                        if rest is None:
                            unread = head.length  # its body was sent on, if at all, and may be coming still
                except h11.RemoteProtocolError as error:
                    answer, rest = plain(error.error_status_hint, "malformed HTTP"), None
                except Malformed as error:
                    answer, rest = plain(error.status, str(error), *error.headers), None
                except NoRoom:
                    after = min(COME_BACK, front.host.settings.max_retry_after)
                    answer, rest = rejection(max(1, after // MS)), None
                    unread = front.options.limits.body  # of a usual client, who may read once it has written all
                except TooLarge:
                    answer, rest = plain(413, f"a body holds {front.options.limits.body} bytes at most"), None
                except TookTooLong:
                    answer, rest = plain(408, "the request did not come"), None
                except OSError:
                    raise
                except Exception as error:
                    # A fault of the program's own: this request is answered failed, the process lives.
                    say(INVOCATION_BROKEN, error=repr(error), at=where(error))
                    answer, rest = plain(500, "failed"), None
                if answer is None:
                    return
                self.stage = Stage.BUSY
                # One who sends what can't be served may have sent more of it, or may go on at full speed: each
                # further one costs it a new connection.
                last = rest is None or front.life.traits.last or 400 <= answer.status < 500
                yield from self._write(answer, last)
                self.free_at = loop.time
                if self.trace is not None:
                    self.trace.tell(front.options, answer.status, loop.time)
                    self.trace = None
                if last:
                    yield from self._linger(unread)
                    return
                ended = wire is not None and wire.http.trailing_data[1]
                del answer, head, wire  # or the resting connection keeps their room
                if not rest:
                    goes_on = not ended
                    return
                # Whoever sends ahead may never leave the socket empty, and what is answered at once waits for nothing:
                # the others have a turn between. Busy: what was read may be a whole request.
                yield Wait(None, 0, loop.time)
                data, self.stage = rest, Stage.IDLE
        except (TookTooLong, OSError):
            goes_on = False
        finally:
            self.task = None
            if self.trace is not None:
                self.trace.tell(front.options, 0, loop.time)
                self.trace = None
            if goes_on:
                front.rests(self)
            else:
                front.forget(self)

    def _write(self, answer: Answer, last: bool) -> Coroutine[None]:
        status, reason, lines, body = answer
        close = b"Connection: close\r\n" if last else b""
        if not isinstance(body, list):
            yield from self._pass_on(b"HTTP/1.1 %d %s\r\n%s%s" % (status, reason, lines, close), body)
            return
        size = len(body[0]) if len(body) == 1 else sum(map(len, body))
        head = b"HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n" % (status, reason, lines, close, size)
        parts = [head] if self.method == b"HEAD" else [head, *body]
        front = self.front
        yield from send(self.sock, parts, front.loop.time + front.options.limits.write_within)

    def _pass_on(self, head: bytes, flow: Flow) -> Coroutine[None]:
        """A long answer, a piece at a time. One that breaks ends in a reset: whatever its framing, the client can
        tell that it is not whole."""
        loop, limits = self.front.loop, self.front.options.limits
        chunked = flow.length is None and not self.old
        if flow.length is not None:
            head += b"Content-Length: %d\r\n\r\n" % flow.length
        else:  # one that knows no chunks reads until the end of the connection, which follows its answer
            head += b"Transfer-Encoding: chunked\r\n\r\n" if chunked else b"\r\n"
        parts = [head]
        whole = False
        try:
            while not whole:
                piece = yield from flow.pull()
                whole = not piece
                if chunked:
                    parts += [b"%x\r\n" % len(piece), piece, b"\r\n"]
                elif piece:
                    parts.append(piece)
                yield from send(self.sock, parts, loop.time + limits.write_within)
        except TooLarge:
            raise ConnectionAbortedError("the answer is over limits.answer") from None
        finally:
            flow.close()
            if not whole:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def _linger(self, left: int) -> Coroutine[None]:
        """Closing with something unread resets the connection, and the answer with it: read it off first, but not
        without end. What the client has not taken of its answer keeps it open for as long as a write may wait."""
        sock, limits, loop = self.sock, self.front.options.limits, self.front.loop
        self.stage, self.since = Stage.ENDING, loop.time
        self.front.ending[self] = None
        sock.shutdown(socket.SHUT_WR)
        until, latest = loop.time + limits.linger_for, loop.time + limits.write_within
        while True:
            if loop.time >= until or left <= 0:
                if loop.time >= latest or not untaken(sock):
                    return
                until = min(latest, loop.time + LOOK_FOR_TAKEN)
            if (yield Wait(sock if left > 0 else None, READABLE, until)) and left > 0:
                try:
                    read = len(sock.recv(READ_SIZE))
                except BlockingIOError:  # nothing after all
                    continue
                if not read:
                    return
                left -= read

    # ---- reading a request ----------------------------------------------------------------------

    def _plainly(
        self, head: grammar.Head, data: bytes, until: int, began: int
    ) -> Coroutine[tuple[Answer | None, bytes | None]]:
        """A request of the common form: its answer, and what was read behind it."""
        body = Body(self.front.room)
        invocation = self._admit(Message(head.first, head.second, head.pairs, head.fields, body))
        end = head.end + head.length
        if invocation is not None and head.length > self.front.room.most():
            body.append(data[head.end : end])
            return (yield from self._sent_on(invocation, body, head.length, began)), None
        if head.length:
            yield from self._room(body, head.length)
            body.append(data[head.end : end])
        rest = data[end:]
        due = self._body_due(until)
        while body.size < head.length:
            try:
                data = self.sock.recv(min(READ_SIZE, head.length - body.size))
            except BlockingIOError:
                if not (yield Wait(self.sock, READABLE, due(body.size))):
                    raise TookTooLong from None
                continue
            if not data:
                raise Malformed("malformed HTTP")
            body.append(data)
        if invocation is None:
            return self._health(), rest
        return (yield from self._decided(invocation, began)), rest

    def _sent_on(self, invocation: Invocation, body: Body, length: int, began: int) -> Coroutine[Answer | None]:
        """A request whose body is greater than the room: taken from its head on, and sent on while it comes. The
        balancer is given its class with the time that the body may take, and blames nobody for that."""
        front, limits = self.front, self.front.options.limits
        upload = Upload(front.loop, self.sock, body, length, limits.body_silent)
        invocation.payload = invocation.payload._replace(body=upload)
        allowed = min(length * SECOND // limits.body_rate, LONGEST_UPLOAD)
        cls = invocation.cls
        invocation.cls = replace(cls, aim=cls.aim + allowed, deadline=cls.deadline + allowed)
        invocation.after_body = invocation.patience
        invocation.patience += allowed
        return (yield from self._decided(invocation, began, upload))

    def _strictly(self, wire: Strict, until: int, began: int) -> Coroutine[Answer | None]:
        """A request that is not of the common form, as h11 reads it. None: the connection ended before one began."""
        head = yield from wire.next_event(until)
        if not isinstance(head, h11.Request):
            return None
        self.method, self.old = head.method, head.http_version < b"1.1"
        pairs = list(head.headers.raw_items())
        request = Message(head.method, origin_form(head.target), pairs, by_name(pairs), [])
        invocation = self._admit(request)
        if wire.http.they_are_waiting_for_100_continue and invocation is not None:
            self.sock.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        front, body = self.front, Body(self.front.room)
        length = int(request.fields.get(b"content-length", 0))
        yield from self._room(body, length)

        def keep(part: bytes) -> Coroutine[None]:
            yield from self._room(body, body.size + len(part))
            body.append(part)

        yield from wire.body(self._body_due(until), front.options.limits.body, keep)
        if invocation is None:
            return self._health()
        invocation.payload = request._replace(body=body)
        return (yield from self._decided(invocation, began))

    def _room(self, body: Body, size: int) -> Coroutine[None]:
        """Waits for room. What is waited for is not the client, whose whole request may have come: it is not closed
        as one that has sent half of it."""
        self.stage = Stage.BUSY
        yield from reserved(self.front.loop, body, size, ROOM_WITHIN)
        self.stage = Stage.BEGUN

    def _body_due(self, until: int) -> Callable[[int], int]:
        """Until when more of a body is waited for, by how much has come: a slow one has the time that its bytes take
        at the least rate, one that falls silent has not."""
        loop, limits = self.front.loop, self.front.options.limits
        began = loop.time + limits.body_within

        def due(size: int) -> int:
            earned = began + size * SECOND // limits.body_rate
            return min(loop.time + limits.body_silent, max(until, earned))

        return due

    def _admit(self, request: Message) -> Invocation | None:
        """The head is looked at first: what can't be served is not waited for. None: it is asked for our health."""
        front, fields = self.front, request.fields
        length = fields.get(b"content-length")
        if length is not None:
            if b"transfer-encoding" in fields:
                # Whoever reads it by the other length finds another request in the body.
                raise Malformed("Content-Length and Transfer-Encoding together")
            if int(length) > front.options.limits.body:
                raise TooLarge
        path = request.target.partition(b"?")[0]
        if path == b"/_health":
            return None
        if path != b"/api":
            raise Malformed("no such path", 404)
        if request.method not in (b"GET", b"POST"):
            raise Malformed("GET or POST", 405, ("allow", "GET, POST"))
        return taken(request, self.host.settings, front.options.log.access != "off")

    def _health(self) -> Answer:
        return plain(200, "ready") if self.front.ready() else plain(503, "not ready")

    # ---- deciding -------------------------------------------------------------------------------

    def left(self) -> bool:
        return hung_up(self.sock)

    def _decided(self, invocation: Invocation, began: int, upload: Upload | None = None) -> Coroutine[Answer]:
        """Takes an invocation, and waits for its answer or for the client to go. Only a hang-up is looked for:
        what a client sends ahead of its answer stays in the kernel."""
        front = self.front
        host = self.host
        if invocation.id in host.invocations:
            # A second copy of something still out: neither sent (it could run twice) nor called a rejection.
            raise Malformed("Req-Id is in use")
        self.stage = Stage.BUSY
        final: Final | None = None
        try:
            if front.ends_at:
                invocation.patience = min(invocation.patience, front.ends_at - front.loop.time)
            invocation.left = self.left
            age = waited(self.sock) if upload is None else 0
            host.take(invocation, age, min(age, front.loop.time - self.free_at))
            if invocation.open:
                task = self.task
                if task is not None:
                    invocation.closed = task.wake
                    if upload is not None:
                        upload.told = task.wake
                event = WOKEN
                while invocation.open and event == WOKEN:
                    # The balancer answers by the deadline; should it ever fail to, the client still gets an answer.
                    last = invocation.deadline + host.settings.safety.answer_grace // 2
                    coming = upload is not None and not upload.over
                    event = yield Wait(None if coming else self.sock, HUNG_UP, last)
                    if upload is not None and upload.broken is not None:
                        raise upload.broken
                if invocation.open and event == 0:
                    say(OVERDUE, id=invocation.id, **{"class": invocation.cls.name})
                    final = Final(Kind.LATE)
            final = invocation.final or final
        finally:
            invocation.closed = None
            host.leave(invocation)
            if invocation.traced:
                self.trace = Trace(invocation, began, front.loop.time)
        if final is None:
            raise ConnectionResetError("the client has gone")
        return answered(final)


class Front:
    """The listener and all connections to it.

    Invariants: `clients` has every connection; `silent` and `idle` those at rest, in the order in which their time
    ends; `ending` those that are half-closed and read off. Every other one has a coroutine and is in no row.
    """

    def __init__(self, loop: Loop, host: Host, life: Life, options: Options, sockets: int, room: int) -> None:
        self.loop = loop
        self.host = host
        self.kind: type[Client] = Client  # of each connection
        self.also: Callable[[], bool] = lambda: False  # others than the host's own providers are there to serve
        self.life = life
        self.options = options  # replaced whole by a reload
        limits = options.limits
        # Descriptors are shared out: however many connections clients open, providers are reached, and the other
        # way round. An invocation needs one of each kind.
        self.most_clients = max(int(sockets * limits.consumers_of_sockets), 1)
        # Clients hold connections up to a number of their own: idle ones that they don't use again, kept for long,
        # would leave them none for new requests.
        self.most_idle = max(int(sockets * limits.idle_of_sockets), 1)
        self.room = Room(room)
        self.clients: set[Client] = set()
        self.silent: dict[Client, None] = {}
        self.ending: dict[Client, None] = {}
        self.idle: dict[Client, None] = {}
        self.listener: socket.socket | None = None
        self.accepting: Task | None = None
        self.opens_at = 0  # clients wait in the listener's queue until then, or `open`
        self.shared = False  # the listener: other processes take from it too
        self.ends_at = 0  # when this process is over, whatever it still owes; 0: not known
        self.spare_descriptor: Any = lambda: False  # the back's way to make room, where there is one

    def ready(self) -> bool:
        return self.life.traits.healthy and self.takes_clients()

    def takes_clients(self) -> bool:
        return (
            self.accepting is not None and not self.accepting.over and (bool(self.host.balancer.servers) or self.also())
        )

    def use(self, options: Options) -> None:
        self.options = options

    # ---- connections at rest --------------------------------------------------------------------

    def row(self, client: Client) -> dict[Client, None]:
        return self.silent if client.stage is Stage.SILENT else self.idle

    def watch(self, client: Client) -> None:
        self.row(client)[client] = None
        self.loop.watch(client.sock.fileno(), client)

    def rests(self, client: Client) -> None:
        """A client has its answer. Of too many that rest, the one unused for longest goes."""
        if client.stage is not Stage.SILENT:
            client.stage = Stage.IDLE
            client.since = self.loop.time
        self.watch(client)
        if len(self.idle) > self.most_idle:
            oldest = next((c for c in self.idle if c is not client and c.quiet()), None)
            if oldest is not None:
                oldest.end()

    def forget(self, client: Client) -> None:
        self.clients.discard(client)
        self.silent.pop(client, None)
        self.ending.pop(client, None)
        self.idle.pop(client, None)
        self.loop.close(client.sock)

    def keep(self) -> Coroutine[None]:
        """Closes those whose rest is over. One timer for all of them: the first in each row is the next one due."""
        loop = self.loop
        while True:
            limits, closed, wake = self.options.limits, 0, loop.time + SECOND
            for row, rest in ((self.silent, limits.request_within), (self.idle, limits.idle_for)):
                while row:
                    first = next(iter(row))
                    if first.since + rest > loop.time:
                        wake = min(wake, first.since + rest)
                        break
                    if closed == CLOSES_A_TURN:
                        wake = 0
                        break
                    closed += 1
                    if first.quiet(Stage.IDLE):
                        first.end()
                    else:  # its request has come, and the loop had no turn for it yet
                        del row[first]
                        row[first] = None
                        first.since = loop.time
            yield Wait(None, 0, wake)

    def spare(self) -> bool:
        """Makes room for a client: ends a connection whose last answer is out, else closes one that holds no whole
        request. One that never said anything goes first, then one between requests, then half a request, then one
        that is slow to take its last answer; in each, the one longest there. A new connection is given a moment to
        send what it is opened for."""
        settled = self.loop.time - self.options.limits.sends_within
        for row in (self.ending, self.silent, self.idle):
            for client in islice(row, LOOKS_AT):
                if row is self.silent and client.since > settled:
                    break
                if client.quiet():
                    client.close()
                    return True
        begun = [c for c in self.clients if c.stage in (Stage.SILENT, Stage.BEGUN)]
        for client in sorted(begun, key=lambda c: c.since):
            if client.quiet(Stage.BEGUN):
                client.close()
                return True
        slow = next(iter(self.ending), None)
        if slow is not None:
            slow.close()
        return slow is not None

    # ---- the listener ---------------------------------------------------------------------------

    def inherit(self, descriptor: int) -> None:
        """Takes connections from a listening socket that is not this process's alone: it is never shut down, and
        whoever waits on it is woken for a connection of its own (`EPOLLEXCLUSIVE`)."""
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        self.shared = True
        self._listen(sock)

    def listen(self, address: str) -> None:
        host, port = host_and_port(address)
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(self.options.limits.backlog)
        sock.setblocking(False)
        self._listen(sock)

    def _listen(self, sock: socket.socket) -> None:
        self.listener = sock
        self.accepting = self.loop.spawn(self._accept(sock), fresh=True)
        self.loop.spawn(self.keep())

    def open(self) -> None:
        """What was to be known before a client is taken is known."""
        if self.opens_at and self.accepting is not None:
            self.accepting.wake()
        self.opens_at = 0

    def stop_accepting(self) -> bool:
        """Whether the listener is closed now. Who waits in its queue has been accepted by the machine, may have sent
        a request, and would be reset with it: each is taken first. While there is no room for one, the listener
        stays, and this is to be asked again."""
        listener = self.listener
        if listener is None:
            return True
        if self.accepting is not None:
            self.accepting.cancel()
        # Of one that others listen on too: woken for a connection and not taking it, this process would leave it
        # waiting for the next one's.
        self.loop.forget(listener.fileno())
        for _ in range(self.options.limits.backlog):
            try:
                if len(self.clients) >= self.most_clients and not self.shared and not self.spare():
                    return False
                sock, _ = listener.accept()
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue
            except OSError:  # no descriptor
                if self.spare_descriptor() or self.spare():
                    continue
                if self.shared:
                    break
                return False
            self._welcome(sock)
        self.listener = None
        self.loop.close(listener)
        return True

    def send_away(self, half: bool) -> None:
        """Closes who holds no request; `half`: also who has sent a part of one. A new connection has a moment to
        send what it is opened for."""
        settled = self.loop.time - self.options.limits.sends_within
        for client in [c for c in self.clients if c.stage is not Stage.SILENT or half or c.since <= settled]:
            if client.stage is not Stage.ENDING and client.quiet(Stage.BEGUN if half else Stage.IDLE):
                if client.task is None:
                    client.end()
                else:
                    client.close()

    def owes(self) -> bool:
        """A whole request has come that has no whole answer yet."""
        return any(client.stage is Stage.BUSY for client in self.clients)

    def close(self) -> int:
        """The process ends: what it has written goes out after it, unless something unread is left here. How many
        clients have not been given all that they are owed."""
        left = sum(client.stage is not Stage.ENDING or untaken(client.sock) for client in self.clients)
        for client in list(self.clients):
            client.close()
        return left

    def _welcome(self, sock: socket.socket) -> None:
        try:
            prepare(sock)
            client = self.kind(self, sock)
            self.clients.add(client)
            self.watch(client)
        except OSError:  # reset before it was looked at: no reason to stop accepting
            sock.close()

    def _accept(self, listener: socket.socket) -> Coroutine[None]:
        """Takes connections until it is stopped. Out of room it closes what holds no request, and where all do,
        leaves new ones waiting a moment."""
        turn = 0
        ready = READABLE | (EXCLUSIVE if self.shared else 0)
        if self.opens_at:
            yield Wait(None, 0, self.opens_at)
        while True:
            try:
                if len(self.clients) < self.most_clients:
                    fault = None
                    sock, _ = listener.accept()
                else:
                    fault = ""
            except BlockingIOError:
                turn = 0
                yield Wait(listener, ready, None)
                continue
            except ConnectionAbortedError:
                continue
            except OSError as error:
                fault = str(error)
                self.spare_descriptor()
            if fault is None:
                self._welcome(sock)
                turn += 1
                if turn % ACCEPTS_A_TURN == 0:
                    yield Wait(listener, ready, None)
                continue
            yield Wait(listener, ready, None)
            if fault:
                say(ACCEPT_FAILED, why=fault)
            else:
                say(ROOM_NONE, connections=len(self.clients), most=self.most_clients)
            if not self.spare():
                yield Wait(None, 0, self.loop.time + self.options.limits.retry_accept)
