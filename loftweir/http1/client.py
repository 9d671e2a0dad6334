"""One connection of the application: one request at a time, one whole answer each.

A connection that says nothing has no coroutine, no parser and no timer: the object is watched by the loop, and what
comes begins a coroutine that ends with the answer.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

from loftweir.core.invocation import AnswerKind, FinalAnswer, Invocation
from loftweir.http1.access_trace import CLIENT_GONE, AccessTrace
from loftweir.http1.flow import Upload
from loftweir.http1.message import BodyStream, HttpRequest, HttpResponse, plain
from loftweir.http1.request import BadRequest, check_length, is_health_check, to_invocation
from loftweir.http1.request_reader import RequestReader
from loftweir.http1.response import (
    BODY_RETRY_AFTER,
    answered,
    begin_head,
    client_error,
    rejection,
    stream,
    whole_message,
)
from loftweir.http1.stage import Stage
from loftweir.net.loop import HUNG_UP, MS, READABLE, WOKEN, Coroutine, Task, Wait
from loftweir.net.stream import READ_SIZE, OutOfBudget, TimedOut, has_unacknowledged, hung_up, send, unread_for
from loftweir.telemetry.catalogue import INVOCATION_BROKEN, INVOCATION_OVERDUE
from loftweir.telemetry.log import emit, traceback_location

if TYPE_CHECKING:
    from loftweir.http1.front import Frontend

LOOK_FOR_TAKEN = 20 * MS  # how often an ended connection's answer is looked after, past its time
HALF_REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class Exchange(NamedTuple):
    """A request's answer, and what is known of the connection behind the request."""

    answer: HttpResponse
    rest: bytes | None  # what was read behind the request; None: where that ends is not known
    unread: int  # bytes of the client's that are read off behind its last answer, at most
    ended: bool = False  # nothing more comes behind `rest`


class ClientConnection:
    """One connection of the application.

    Invariant: `task` runs while a request is being read, decided or answered, and while the connection ends; else it is
    None and the loop watches the connection itself (`ready`), which stands in the front's row of its stage.
    """

    __slots__ = (
        "front",
        "host",
        "sock",
        "task",
        "stage",
        "since",
        "free_at",
        "mask",
        "received",
        "method",
        "old",
        "trace",
    )

    def __init__(self, front: Frontend, sock: socket.socket) -> None:
        self.front = front
        self.host = front.host  # that its request is decided by
        self.sock = sock
        self.task: Task | None = None
        self.stage = Stage.SILENT
        self.since = front.loop.time
        self.free_at = 0  # from when on what comes next could be read; 0: at once, though it came before `accept`
        self.mask = READABLE
        self.received = b""  # and not looked at yet
        self.method = b""
        self.old = False  # its request is of HTTP/1.0
        self.trace: AccessTrace | None = None  # of the invocation now open, where an access line may be due

    # ---- at rest --------------------------------------------------------------------------------

    def ready(self, events: int) -> None:
        """The loop has seen something on the connection: it is served in this turn."""
        self.front.loop.new_work.append(self.begin)

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
            return not has_unacknowledged(self.sock)
        if self.stage > most:
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:  # nothing there, or broken
            return True

    # ---- the end --------------------------------------------------------------------------------

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
                if loop.time >= latest or not has_unacknowledged(sock):
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

    def close(self) -> None:
        """Ends it now: its descriptor is free when this returns. The client reads all that was written to it, a
        refusal of the half request where there is one, and the end of the stream ahead of any reset. Inside an answer
        there is no such end: it would be taken for the answer's own."""
        if self.stage is not Stage.BUSY:
            with suppress(OSError):  # gone, or nothing there
                self._end_stream()
        if self.task is not None:
            self.task.cancel()
        self.front.forget(self)

    def _end_stream(self) -> None:
        if self.stage is Stage.BEGUN:
            self.sock.send(HALF_REFUSED)
        self.sock.shutdown(socket.SHUT_WR)
        left = self.front.options.limits.linger_bytes
        while left > 0 and (read := len(self.sock.recv(READ_SIZE))):
            left -= read

    # ---- one request after another --------------------------------------------------------------

    def serve(self) -> Coroutine[None]:
        """Answers what has come; ends when the connection rests or is closed."""
        rests = False
        try:
            rests = yield from self._serve_requests()
        except (TimedOut, OSError):
            rests = False
        finally:
            self.task = None
            self._log_access(CLIENT_GONE)
            if rests:
                self.front.rests(self)
            else:
                self.front.forget(self)

    def _serve_requests(self) -> Coroutine[bool]:
        """Answers one request after another; whether the connection may rest then, and wait for more."""
        try:
            self.received = self.sock.recv(READ_SIZE)
        except BlockingIOError:  # nothing after all
            return True
        while self.received:
            exchange = yield from self._exchange()
            if exchange is None:
                return False
            last = self._is_last(exchange)
            self.stage = Stage.BUSY
            yield from self._write(exchange.answer, last)
            self.free_at = self.front.loop.time
            self._log_access(exchange.answer.status)
            if last:
                yield from self._linger(exchange.unread)
                return False
            if not exchange.rest:
                return not exchange.ended
            self.received = exchange.rest
            del exchange  # or the waiting connection keeps the answer's room
            # Whoever sends ahead may never leave the socket empty, and what is answered at once waits for nothing:
            # the others have a turn between. Busy: what was read may be a whole request.
            yield Wait(None, 0, self.front.loop.time)
            self.stage = Stage.IDLE
        return False

    def _exchange(self) -> Coroutine[Exchange | None]:
        """Reads a request and has it answered; None: the connection ended before one began."""
        began = self.front.loop.time
        # What a client owes: the first request on a new connection within a time from its opening on, a later one
        # from its first byte on.
        owed_from = self.since if self.stage is Stage.SILENT else began
        until = owed_from + self.front.options.limits.request_within
        self.stage, self.method, self.old = Stage.BEGUN, b"", False
        request = RequestReader(self, until)
        try:
            if not (yield from request.read()):
                return None
            if request.invocation is None:
                answer = self._health()
            else:
                answer = yield from self._decided(request.invocation, began, request.upload)
        except OSError:
            raise
        except Exception as error:
            return self._refusal(error)
        unread = self.front.options.limits.linger_bytes
        if request.upload is not None and request.upload.length is not None:
            unread = request.upload.length  # it was sent on, if at all, and may be coming still
        return Exchange(answer, request.rest, unread, request.ended)

    def _refusal(self, error: Exception) -> Exchange:
        """What a request is answered that could not be read or decided."""
        limits = self.front.options.limits
        if isinstance(error, OutOfBudget):
            after = min(BODY_RETRY_AFTER, self.front.host.settings.max_retry_after)
            # A usual client reads its answer once it has written all.
            return Exchange(rejection(max(1, after // MS)), None, limits.body)
        answer = client_error(error, limits.body)
        if answer is None:
            # A fault of the program's own: this request is answered failed, the process lives.
            emit(INVOCATION_BROKEN, error=repr(error), at=traceback_location(error))
            answer = plain(500, "failed")
        return Exchange(answer, None, limits.linger_bytes)

    def _is_last(self, exchange: Exchange) -> bool:
        """Whether the connection ends with this answer. One who sends what can't be served may have sent more of it,
        or may go on at full speed: each further one costs it a new connection."""
        return exchange.rest is None or self.front.life.traits.last or 400 <= exchange.answer.status < 500

    def _write(self, answer: HttpResponse, last: bool) -> Coroutine[None]:
        status, reason, lines, body = answer
        head = begin_head(status, reason, lines, last)
        if not isinstance(body, list):
            return self._pass_on(head, body)
        parts = whole_message(head, body, with_body=self.method != b"HEAD")
        within = self.front.options.limits.write_within
        return send(self.front.loop, self.sock, parts, self.front.loop.time + within)

    def _pass_on(self, head: bytes, flow: BodyStream) -> Coroutine[None]:
        within = self.front.options.limits.write_within
        return stream(self.front.loop, self.sock, head, flow, not self.old, within)

    def _log_access(self, status: int) -> None:
        trace, self.trace = self.trace, None
        if trace is not None:
            trace.log(self.front.options, status, self.front.loop.time)

    # ---- deciding -------------------------------------------------------------------------------

    def admit(self, request: HttpRequest) -> Invocation | None:
        """The head is looked at first: what can't be served is not waited for. None: it is asked for our health."""
        options = self.front.options
        check_length(request.fields, options.limits.body)
        if is_health_check(request):
            return None
        return to_invocation(request, self.host.settings, options.log.access != "off")

    def left(self) -> bool:
        """Whether the client has gone."""
        return hung_up(self.sock)

    def _health(self) -> HttpResponse:
        return plain(200, "ready") if self.front.ready() else plain(503, "not ready")

    def _decided(self, invocation: Invocation, began: int, upload: Upload | None = None) -> Coroutine[HttpResponse]:
        """Takes an invocation, and waits for its answer or for the client to go."""
        host = self.host
        if invocation.id in host.invocations:
            # A second copy of something still out: neither sent (it could run twice) nor called a rejection.
            raise BadRequest("Req-Id is in use")
        self.stage = Stage.BUSY
        final: FinalAnswer | None = None
        try:
            self._submit(invocation, began, upload)
            if invocation.open:
                final = yield from self._wait_for_final(invocation, upload)
            final = invocation.final or final
        finally:
            invocation.on_closed = None
            host.release(invocation)
            if invocation.traced:
                self.trace = AccessTrace(invocation, began, self.front.loop.time)
        if final is None:
            raise ConnectionResetError("the client has gone")
        return answered(final)

    def _submit(self, invocation: Invocation, began: int, upload: Upload | None) -> None:
        """Hands the invocation to the host, with the time that its request has been in the kernel unread."""
        front = self.front
        if front.ends_at:
            invocation.time_left = min(invocation.time_left, front.ends_at - front.loop.time)
        invocation.client_left = self.left
        age = unread_for(self.sock) if upload is None else 0
        invocation.receive_time = max(0, front.loop.time - age - began)
        self.host.accept(invocation, age, min(age, front.loop.time - self.free_at))

    def _wait_for_final(self, invocation: Invocation, upload: Upload | None) -> Coroutine[FinalAnswer | None]:
        """Waits until the invocation is closed or the client hangs up. Only a hang-up is looked for: what a client
        sends ahead of its answer stays in the kernel."""
        if self.task is not None:
            invocation.on_closed = self.task.wake
            if upload is not None:
                upload.told = self.task.wake
        host = self.host
        event = WOKEN
        while invocation.open and event == WOKEN:
            # The balancer answers by the deadline; should it ever fail to, the client still gets an answer.
            until = invocation.deadline + host.settings.safety.answer_grace // 2
            coming = upload is not None and not upload.over
            event = yield Wait(None if coming else self.sock, HUNG_UP, until)
            if upload is not None and upload.broken is not None:
                raise upload.broken
        if invocation.open and event == 0:
            emit(INVOCATION_OVERDUE, id=invocation.id, **{"class": invocation.cls.name})
            return FinalAnswer(AnswerKind.LATE)
        return None
