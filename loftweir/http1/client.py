"""One connection of a client: one request at a time, with one whole response each.

A connection that waits for a request has no coroutine, no parser and no timer: the loop watches the object itself, and
when data arrives it starts a coroutine that ends with the response.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

from loftweir.config.spec import KIB
from loftweir.core.invocation import AnswerKind, FinalAnswer, Invocation
from loftweir.http1.access_trace import CLIENT_GONE, AccessTrace
from loftweir.http1.flow import Upload
from loftweir.http1.message import BodyStream, HttpResponse, RequestHead, text_response
from loftweir.http1.read_ahead import ReadAhead
from loftweir.http1.request import BadRequest, check_length, is_health_check, to_invocation
from loftweir.http1.request_reader import RequestReader, has_whole_request
from loftweir.http1.response import (
    BODY_RETRY_AFTER,
    begin_head,
    client_error,
    final_response,
    rejection,
    stream,
    whole_message,
)
from loftweir.http1.stage import Stage
from loftweir.net.loop import HUNG_UP, MS, READABLE, SECOND, WOKEN, Coroutine, Task, Wait
from loftweir.net.memory import LEAST_READ, READ_SIZE, OutOfBudget
from loftweir.net.progress import ReadProgress, send_as_read
from loftweir.net.stream import TimedOut, has_unacknowledged, unread_for
from loftweir.telemetry.catalogue import (
    CLIENT_CLOSED,
    INVOCATION_BROKEN,
    INVOCATION_OVERDUE,
    MEMORY_SHORT,
    REQUEST_REFUSED,
)
from loftweir.telemetry.log import emit, traceback_location

if TYPE_CHECKING:
    from loftweir.http1.front import Frontend

# Once connections are to end, for how long the rest of a request that was read in part behind another one is awaited.
READS_ON_FOR = SECOND
# A client whose end may be hidden counts as there if its last bytes arrived within this time; no attempt may begin over
# 0.1 s after its end.
UNSEEN_FOR = 80 * MS
ACK_CHECK = 20 * MS  # between checks whether the client has acknowledged its last response, once lingering is over
# The response to a client that is closed in the middle of sending a request.
HALF_REQUEST_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class Exchange(NamedTuple):
    """The response to a request, and what is known of the connection behind that request."""

    response: HttpResponse
    rest: bytes | None  # data read behind the request; None: the request's end is not known
    unread: int  # the most bytes of the client to discard after its last response
    ended: bool = False  # the client sends nothing more behind `rest`


class ClientConnection:
    """One connection of a client.

    Invariant: `task` runs while a request is read, decided or answered, and while the connection is closing. Otherwise
    it is None, the loop watches the connection itself (`ready`), and it is in the frontend's table for its stage.
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
        "ahead",
        "uploading",
        "method",
        "http_1_0",
        "trace",
    )

    def __init__(self, front: Frontend, sock: socket.socket) -> None:
        self.front = front
        self.host = front.host  # decides on its current request
        self.sock = sock
        self.task: Task | None = None
        self.stage = Stage.SILENT
        self.since = front.loop.time
        # Since when this process could have read the next request; 0: from its arrival, even before `accept`.
        self.free_at = 0
        self.mask = READABLE
        self.received = b""  # data that is read and not yet parsed
        self.ahead = ReadAhead(sock, front.budget)
        self.uploading = False  # whether the body of its request is forwarded as it arrives
        self.method = b""
        self.http_1_0 = False  # whether its request is of HTTP/1.0
        self.trace: AccessTrace | None = None  # of the current invocation, if an access line may be logged

    # ---- waiting for a request ------------------------------------------------------------------

    def ready(self, events: int) -> None:
        """Have the connection served: the loop has reported an event on it."""
        self.front.loop.new_work.append(self.begin)

    def begin(self) -> None:
        """Start the coroutine: data has arrived, or the client has gone. If that fails, the connection is closed."""
        try:
            self._begin()
        except Exception:
            self.front.remove(self)
            raise

    def _begin(self) -> None:
        if self.sock.fileno() >= 0 and self.stage is not Stage.ENDING:
            self.front.waiting(self).pop(self, None)
            self.task = self.front.loop.task(self.serve())
            self.task.step()

    def is_quiet(self, latest: Stage = Stage.IDLE) -> bool:
        """Whether the connection can be closed without losing a request or a response.

        That is so if no whole request has arrived that is not answered and no response is being written. `latest`: the
        latest stage at which it counts as quiet.
        """
        if self.stage is Stage.ENDING:
            return not has_unacknowledged(self.sock)
        if self.stage > latest:
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:  # there is nothing to read, or the connection is broken
            return True

    # ---- closing --------------------------------------------------------------------------------

    def end(self) -> None:
        """End a waiting connection gracefully, and close it once nothing more can cross its end.

        Data may still arrive after the last check. What is read from here on is never forwarded; the client sees the
        end of the connection before anything else, and sends its request again.
        """
        self.front.waiting(self).pop(self, None)
        self.task = self.front.loop.task(self._end())
        self.task.step()

    def _end(self) -> Coroutine[None]:
        """Let the connection linger, then remove it."""
        try:
            yield from self._linger(self.front.options.limits.linger_bytes)
        except OSError:
            pass
        finally:
            self.task = None
            self.front.remove(self)

    def _linger(self, left: int) -> Coroutine[None]:
        """Shut the connection down and discard up to `left` bytes of input, until the client closes it or time is up.

        Closing a connection with unread input resets it, and the response would be lost with it. As long as the client
        has not acknowledged all of its response, the connection stays open like one that is written to.
        """
        sock, limits, loop = self.sock, self.front.options.limits, self.front.loop
        self.stage, self.since = Stage.ENDING, loop.time
        self.front.ending[self] = None
        sock.shutdown(socket.SHUT_WR)
        until = loop.time + limits.linger_for
        progress = self._read_progress()
        progress.begin([])
        while True:
            if loop.time >= until or left <= 0:
                if progress.is_over([]) or not has_unacknowledged(sock):
                    return
                until = loop.time + ACK_CHECK
            if (yield Wait(sock if left > 0 else None, READABLE, until)) and left > 0:
                try:
                    read = len(sock.recv(READ_SIZE))
                except BlockingIOError:  # there is nothing to read after all
                    continue
                if not read:
                    return
                left -= read

    def log_closed(self, why: str) -> None:
        """Log why the sidecar closes the connection, or gives it up."""
        emit(CLIENT_CLOSED, why=why, stage=self.stage.name.lower(), connections=len(self.front.clients))

    def close(self) -> None:
        """Close the connection now: its descriptor is free when this returns.

        The client reads all that was written to it, a 503 if it has sent a part of a request, and the end of the stream
        ahead of any reset. Inside a response the stream is not ended like that, since the client would take that for
        the end of the response.
        """
        if self.stage is not Stage.BUSY:
            with suppress(OSError):  # the client is gone, or there is nothing to read
                self._end_stream()
        if self.task is not None:
            self.task.cancel()
        self.front.remove(self)

    def _end_stream(self) -> None:
        """End the stream to the client, and discard the input that is there."""
        if self.stage is Stage.BEGUN:
            self.sock.send(HALF_REQUEST_RESPONSE)
        self.sock.shutdown(socket.SHUT_WR)
        left = self.front.options.limits.linger_bytes
        while left > 0 and (read := len(self.sock.recv(READ_SIZE))):
            left -= read

    # ---- serving one request after another ------------------------------------------------------

    def serve(self) -> Coroutine[None]:
        """Answer the requests that arrive; ends when the connection waits for the next one or is closed."""
        waits = False
        try:
            waits = yield from self._serve_requests()
        except TimedOut:
            self.log_closed("slow")
        except OSError:
            self.log_closed("reset")
        finally:
            self.task = None
            try:
                self._log_access(CLIENT_GONE)
                if waits:
                    self.front.set_idle(self)
            except Exception:
                waits = False
                raise
            finally:
                if not waits:
                    self.front.remove(self)

    def _serve_requests(self) -> Coroutine[bool]:
        """Answer one request after another; return whether the connection then stays open for more."""
        try:
            self.received = self.sock.recv(LEAST_READ)
        except BlockingIOError:  # there is nothing to read after all
            return True
        behind = False  # whether the request came behind another one
        while self.received:
            exchange = yield from self._exchange_behind() if behind else self._exchange()
            if exchange is None:
                return False
            if exchange.rest is not None:
                exchange = exchange._replace(rest=self.ahead.behind(exchange.rest))
            last = self._is_last(exchange)
            self.stage = Stage.BUSY
            yield from self._write(exchange.response, last)
            self.free_at = self.front.loop.time
            self._log_access(exchange.response.status)
            if last:
                yield from self._linger(exchange.unread)
                return False
            if not exchange.rest:
                return not exchange.ended
            self.received, behind = exchange.rest, True
            del exchange  # else the waiting connection keeps the response in memory
            # A client that pipelines may never leave the socket empty, and a request that is answered at once never
            # waits. So other connections get a turn here. Busy: the data that was read may be a whole request.
            yield Wait(None, 0, self.front.loop.time)
            self.stage = Stage.IDLE
        return False

    def _exchange_behind(self) -> Coroutine[Exchange | None]:
        """Have a request answered that came behind another one; `_exchange` if the connection is not to end.

        The rest of one that was read in part is awaited for a while only. A client that never stops sending would
        always have one, and keep its connection.
        """
        if not self._is_ending():
            return (yield from self._exchange())
        read_by = self.front.ending_since + READS_ON_FOR
        if self.front.loop.time >= read_by and not has_whole_request(self.received):
            return Exchange(rejection(0), None, self.front.options.limits.linger_bytes)
        return (yield from self._exchange(read_by))

    def _is_ending(self) -> bool:
        """Whether the connection ends with the last request that was read."""
        return self.front.life.traits.last

    def _exchange(self, read_by: int | None = None) -> Coroutine[Exchange | None]:
        """Read a request and have it answered; return None if the connection ended before one began.

        `read_by`: until when it must have arrived, if that is earlier than its own time.
        """
        began = self.front.loop.time
        # A client has limited time for a request: for the first one on a connection from its opening, for a later one
        # from its first byte.
        started = self.since if self.stage is Stage.SILENT else began
        until = started + self.front.options.limits.request_within
        if read_by is not None:
            until = min(until, read_by)
        self.stage, self.method, self.http_1_0 = Stage.BEGUN, b"", False
        request = RequestReader(self, until)
        try:
            if not (yield from request.read()):
                return None
            if request.invocation is None:
                response = self._health_response()
            else:
                response = yield from self._decide(request.invocation, began, request.upload)
        except OSError:
            raise
        except Exception as error:
            return self._error_exchange(error, request.rest)
        unread = self.front.options.limits.linger_bytes
        if request.upload is not None and request.upload.length is not None:
            unread = request.upload.length  # it may not have arrived yet
        return Exchange(response, request.rest, unread, request.ended)

    def _error_exchange(self, error: Exception, rest: bytes | None) -> Exchange:
        """Return the response to a request that could not be read or decided; `rest`: what was read behind it.

        Behind a client's error nothing is served: such a client may have sent more invalid requests, or continue at
        full speed, and each one then costs it a new connection. Its response says so with `Connection: close`.
        """
        limits = self.front.options.limits
        if isinstance(error, OutOfBudget):
            emit(MEMORY_SHORT, of="requests", bytes=error.size, left_kb=self.front.budget.left // KIB)
            emit(REQUEST_REFUSED, status=503, why="no memory")
            after = min(BODY_RETRY_AFTER, self.front.host.settings.max_retry_after)
            # Most clients read the response only once they have written the whole request.
            return Exchange(rejection(max(1, after // MS)), rest, limits.body)
        response = client_error(error, limits.body)
        if response is not None:
            emit(REQUEST_REFUSED, status=response.status, why=str(error) or type(error).__name__)
            return Exchange(response, None, limits.linger_bytes)
        # A fault of this program: this request fails, and the process continues.
        emit(INVOCATION_BROKEN, error=repr(error), at=traceback_location(error))
        return Exchange(text_response(500, "failed"), rest, limits.linger_bytes)

    def _is_last(self, exchange: Exchange) -> bool:
        """Whether the connection is closed after this response.

        One that is to end has its last response once nothing more was read: a request that was read is answered.
        """
        if exchange.rest is None:
            return True
        return self._is_ending() and not exchange.rest

    def _write(self, response: HttpResponse, last: bool) -> Coroutine[None]:
        """Write a response; `last`: the connection is closed after it."""
        status, reason, lines, body = response
        head = begin_head(status, reason, lines, last)
        if not isinstance(body, list):
            return self._forward(head, body)
        parts = whole_message(head, body, with_body=self.method != b"HEAD")
        return send_as_read(self.sock, parts, self._read_progress())

    def _forward(self, head: bytes, body: BodyStream) -> Coroutine[None]:
        """Write a response whose body is forwarded as it arrives."""
        silent_for = self.front.options.limits.write_within
        return stream(self.front.loop, self.sock, head, body, not self.http_1_0, silent_for)

    def _read_progress(self) -> ReadProgress:
        """Return the progress of a client that is written to from now on."""
        return ReadProgress(self.front.loop, self.sock, self.front.options.limits.write_within)

    def _log_access(self, status: int) -> None:
        """Log the access line of the request that has ended, if one is wanted."""
        trace, self.trace = self.trace, None
        if trace is not None:
            trace.log(self.front.options, status, self.front.loop.time)

    # ---- deciding -------------------------------------------------------------------------------

    def admit(self, head: RequestHead, body: list[bytes]) -> Invocation | None:
        """Check a request's head, so that nothing is read of a request that can't be served.

        Returns the invocation, or None for a health check.
        """
        options = self.front.options
        check_length(head.fields, options.limits.body)
        if is_health_check(head):
            return None
        return to_invocation(head, body, self.host.settings, options.log.access != "off")

    def _health_response(self) -> HttpResponse:
        """Return the response to a health check."""
        return text_response(200, "ready") if self.front.ready() else text_response(503, "not ready")

    def _decide(self, invocation: Invocation, began: int, upload: Upload | None = None) -> Coroutine[HttpResponse]:
        """Have an invocation decided: wait for its final answer, or for the client to disconnect."""
        host = self.host
        if invocation.id in host.invocations:
            # A duplicate of a request in flight is not sent, as it could run twice. Nor is it rejected, as that would
            # promise that nothing has run.
            raise BadRequest("Req-Id is in use")
        self.stage = Stage.BUSY
        self.uploading = upload is not None
        if upload is None and self._may_have_left_unseen():
            return rejection(0)
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
        return final_response(final)

    def _has_left(self) -> bool:
        """Whether the client has disconnected.

        On a connection that is to end nothing more is read, since what was read is answered. A forwarded body is read
        by its upload.
        """
        return self.ahead.has_ended(may_read=not self.uploading and not self._is_ending())

    def _may_have_left_unseen(self) -> bool:
        """Whether the client may have gone a while ago: it sent so much, and nothing has shown since that it is there.

        The machine of a client that has gone resets the connection when a response arrives.
        """
        unseen_for = min(unread_for(self.sock), self.front.loop.time - self.free_at)
        if unseen_for < UNSEEN_FOR or not self.ahead.may_hide_end():
            return False
        return not self._has_left() and self.ahead.may_hide_end()

    def _submit(self, invocation: Invocation, began: int, upload: Upload | None) -> None:
        """Pass the invocation to the host, with the time that its request has been in the kernel unread."""
        front = self.front
        if front.ends_at:
            invocation.time_left = min(invocation.time_left, front.ends_at - front.loop.time)
        invocation.client_left = self._has_left
        if upload is None:
            invocation.client_hidden = self.ahead.may_hide_end
        age = unread_for(self.sock) if upload is None else 0
        invocation.receive_time = max(0, front.loop.time - age - began)
        self.host.accept(invocation, age, min(age, front.loop.time - self.free_at))

    def _wait_for_final(self, invocation: Invocation, upload: Upload | None) -> Coroutine[FinalAnswer | None]:
        """Wait until the invocation is closed or the client hangs up.

        Only a hang-up is watched for: requests that the client sends before it has its response stay in the kernel.
        """
        if self.task is not None:
            invocation.on_closed = self.task.wake
            if upload is not None:
                upload.on_over = self.task.wake
        host = self.host
        event = WOKEN
        while invocation.open and event == WOKEN:
            # The balancer answers by the deadline. If it ever fails to, the client still gets a final answer.
            until = invocation.deadline + host.settings.safety.answer_grace // 2
            uploading = upload is not None and not upload.over
            event = yield Wait(None if uploading else self.sock, HUNG_UP, until)
            if upload is not None and upload.error is not None:
                raise upload.error
        if invocation.open and event == 0:
            emit(INVOCATION_OVERDUE, id=invocation.id, **{"class": invocation.cls.name})
            return FinalAnswer(AnswerKind.LATE)
        return None
