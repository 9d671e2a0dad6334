"""The providers' side: the attempts that are sent over the connections of the pool.

An attempt ends with exactly one outcome, and reports that the request never ran only if the protocol proves it. Nothing
here sends a request twice: retries are the balancer's decision.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import h11

from loftweir.config.model import Options
from loftweir.config.spec import KIB
from loftweir.core.invocation import ProviderAttempt
from loftweir.http1 import grammar
from loftweir.http1.buffering import PartTimes, ResponseBuffering
from loftweir.http1.flow import ResponseStream, Upload, UploadFailed
from loftweir.http1.message import HttpRequest, HttpResponse, by_name, end_to_end_lines
from loftweir.http1.pool import Connections, Pool, ProviderConnection
from loftweir.http1.strict import H11Reader, fixed
from loftweir.interface import Lifecycle, MembershipUpdate, Outcome, Settings, UpdateKind
from loftweir.net.loop import MS, READABLE, Coroutine, Loop, Wait
from loftweir.net.memory import READ_SIZE, Body, MemoryBudget, OutOfBudget, TooLarge
from loftweir.net.progress import ReadProgress, send_as_read
from loftweir.net.standing import StandingTask
from loftweir.net.stream import (
    RETRY_WRITE,
    ConnectError,
    LocalError,
    TimedOut,
    send,
    unacknowledged,
    unread_for,
)
from loftweir.telemetry.catalogue import MEMORY_SHORT
from loftweir.telemetry.log import emit

OnAttemptEnded = Callable[[ProviderAttempt, Outcome, Any], None]
# The outcome of an attempt, the response with OK, and whether the connection can be used again; None: the response owns
# the connection.
ExchangeResult = tuple[Outcome, HttpResponse | None, bool | None]


class Backend:
    """Carries out attempts; `on_attempt_ended` is called with the outcome of each and, with OK, its `HttpResponse`."""

    def __init__(self, loop: Loop, settings: Settings, options: Options, max_connections: int, budget: int) -> None:
        self.loop = loop
        self.connections = Connections(loop, settings, options, max_connections)
        self.pool = Pool(self.connections)
        self.budget = MemoryBudget(budget)
        # Replaced by the host's method once there is a host.
        self.on_attempt_ended: OnAttemptEnded = lambda attempt, outcome, payload: None
        StandingTask(loop, self.connections.reap_idle)

    def apply_settings(self, options: Options, settings: Settings) -> None:
        """Use new options and settings from now on."""
        self.connections.options, self.connections.settings = options, settings

    def close_idle(self, provider: str) -> None:
        """Close all idle connections to a provider."""
        self.pool.close_idle(provider)

    def update_list(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        """Apply an update of the endpoint list to the pool."""
        latest = {e.address: e for e in update.endpoints}  # of two entries for one provider, the later one counts
        ready = [e for e in latest.values() if e.lifecycle is Lifecycle.READY]
        gone = latest.keys() - {e.address for e in ready}
        if update.kind in (UpdateKind.FULL, UpdateKind.REMEMBERED):
            gone |= self.pool.addresses.keys() - addresses.keys()  # a whole list omits those that are gone
        for name in gone:
            self.pool.remove_provider(name)
        # If two endpoints have one address, it belongs to the one that started later.
        for endpoint in sorted(ready, key=lambda e: e.started_at):
            self.pool.set_address(endpoint.address, addresses[endpoint.address], endpoint.started_at)

    def begin(self, attempt: ProviderAttempt) -> None:
        """Carry out an attempt; see `core.host.Backend.begin`."""
        task = self.loop.start(self.run(attempt), lambda _: self.on_attempt_ended(attempt, Outcome.UNKNOWN, None))
        if not task.over:
            attempt.running = task

    def run(self, attempt: ProviderAttempt) -> Coroutine[None]:
        """Connect if needed, send the request, read the response, and report the outcome."""
        pool, body = self.pool, attempt.invocation.payload.body
        if getattr(body, "begun", False):  # a forwarded body can be sent only once
            self.on_attempt_ended(attempt, Outcome.NOT_SENT, None)
            return
        connection = pool.acquire(attempt.provider)
        try:
            if connection is None:
                connection = yield from pool.connect(attempt.provider, attempt.send_by)
        except ConnectError as error:
            self.on_attempt_ended(attempt, error.outcome, None)
            return
        attempt.connected_at = self.loop.time
        reusable: bool | None = False
        try:
            if not self._may_send(attempt, connection):
                reusable = True
                outcome, response = Outcome.NOT_SENT, None
            else:
                outcome, response, reusable = yield from self._exchange(attempt, connection)
        finally:
            # After a timeout, an error or a cancellation the connection is closed before the balancer is notified, so
            # that whatever it sends next is the only copy in flight.
            if reusable:
                pool.release(connection)
            elif reusable is not None:
                pool.close(connection)
        self.on_attempt_ended(attempt, outcome, response)
        if response is not None and not isinstance(response.body, list):
            final = attempt.invocation.final
            if final is None or final.payload is not response:
                response.body.close()  # it arrived too late to be the final answer

    def _may_send(self, attempt: ProviderAttempt, connection: ProviderConnection) -> bool:
        """Whether the request may still be sent.

        Not if the provider has gone, drains or has another address by now, if the client has gone, if it is too late,
        or if another attempt has begun to forward its body.
        """
        if not self.pool.is_current(connection):
            return False
        begun = getattr(attempt.invocation.payload.body, "begun", False)
        return attempt.invocation.is_wanted() and not begun and self.loop.now() < attempt.send_by

    def _send(self, attempt: ProviderAttempt, connection: ProviderConnection) -> Coroutine[bool]:
        """Write the request, without a body that is forwarded; return False if it must not be sent any more."""
        while True:
            try:
                yield from send(
                    self.loop, connection.sock, self.message(attempt), attempt.send_by, READABLE, begins=True
                )
                return True
            except LocalError:
                yield Wait(None, 0, self.loop.now() + RETRY_WRITE)
            if not self._may_send(attempt, connection):
                return False

    def _exchange(self, attempt: ProviderAttempt, connection: ProviderConnection) -> Coroutine[ExchangeResult]:
        """Send the request over a connection and read the response."""
        sock, give_up_at = connection.sock, attempt.give_up_at
        body = attempt.invocation.payload.body
        try:
            if not (yield from self._send(attempt, connection)):
                return Outcome.NOT_SENT, None, True
            if isinstance(body, Upload):
                give_up_at = yield from self._forward_body(attempt, connection, body)
        except (TimedOut, UploadFailed):
            return Outcome.NOT_SENT, None, False
        except OSError:
            return Outcome.CONNECT_FAILED, None, False  # its last byte was not written: it can't have run
        attempt.sent_at = self.loop.time
        try:
            if not (yield Wait(sock, READABLE, give_up_at)):
                raise TimedOut
            try:
                data = sock.recv(self.budget.piece())
            except BlockingIOError:
                return (yield from self._strictly(attempt, connection, None))
            if unacknowledged(sock):
                # A response to this request would acknowledge all of it. So this data belongs to an earlier request.
                return Outcome.RESET, None, False
            head = grammar.response(data)
            if head is None:
                return (yield from self._strictly(attempt, connection, data))
            limits, length = self.pool.options.limits, head.length
            if length > limits.answer:
                return Outcome.ERROR, None, False  # its head tells its length: it is not read
            body = Body(self.budget)
            if len(data) > head.end:
                body.hold(data[head.end :])
            outcome, response = self._outcome(int(head.first), head.second, head.pairs, head.fields, body)
            del head  # it takes far more memory than its bytes
            if body.size < length and (length > limits.held or not self._can_take(body, length + 1)):
                if not body.size:
                    buffering = ResponseBuffering(length, limits.held, self.loop.time, give_up_at)
                    yield from self._await_body(sock, buffering.latest)
                return self._forwarded(attempt, connection, outcome, response, body, length, None)
            while body.size < length:
                try:
                    # One byte more, if there is one, tells that something follows the response.
                    data = sock.recv(min(READ_SIZE, length - body.size + 1))
                except BlockingIOError:
                    if not (yield Wait(sock, READABLE, give_up_at)):
                        raise TimedOut from None
                    continue
                if not data:
                    return Outcome.RESET, None, False
                body.append(data)
            # Data behind the response, a duplicate or garbage, would be taken for the next response.
            whole = body.size == length
            if not whole:
                body[-1] = body[-1][: length - body.size]
            return outcome, response, whole
        except TimedOut:
            # A machine that vanished leaves its connections open and silent. Only a new connection can tell, and if it
            # fails, that proves that nothing ran. So the idle connections are closed, unless the provider has answered
            # another request since: then only this one was affected.
            if self.pool.last_response_at.get(attempt.provider, 0) < attempt.started_at:
                self.pool.close_idle(attempt.provider)
            return Outcome.TIMED_OUT, None, False
        except TooLarge as error:
            if isinstance(error, OutOfBudget):
                emit(MEMORY_SHORT, of="answers", bytes=error.size, left_kb=self.budget.left // KIB)
            return Outcome.ERROR, None, False
        except (OSError, h11.RemoteProtocolError):
            return Outcome.RESET, None, False

    def _strictly(
        self, attempt: ProviderAttempt, connection: ProviderConnection, data: bytes | None
    ) -> Coroutine[ExchangeResult]:
        """Read a response with h11, as it is not in the common form."""
        options, until = self.pool.options, attempt.give_up_at
        reader = H11Reader(connection.sock, h11.CLIENT, data, self.budget.piece())
        del data
        body = Body(self.budget)

        def make_room(size: int) -> Coroutine[None]:
            body.hold_head(size)
            yield from ()

        for _ in range(options.providers.information + 1):
            head = yield from reader.next_event(fixed(until), make_room)
            if not isinstance(head, h11.InformationalResponse):
                break
        if not isinstance(head, h11.Response):
            return Outcome.RESET, None, False
        pairs = list(head.headers.raw_items())
        fields = by_name(pairs)
        # Transfer-Encoding overrides Content-Length. If that length were forwarded, the rest of the body would be taken
        # for the next response.
        has_length = b"content-length" in fields and b"transfer-encoding" not in fields
        length = int(fields[b"content-length"]) if has_length else None
        if (length or 0) > options.limits.answer:
            return Outcome.ERROR, None, False
        outcome, response = self._outcome(head.status_code, head.reason, pairs, fields, body)
        del head, pairs, fields  # they take far more memory than their bytes
        buffering = ResponseBuffering(length, options.limits.held, self.loop.time, until)
        if not buffering.may_be_long() and not self._can_take(body, length or 0):
            return self._forwarded(attempt, connection, outcome, response, body, length, reader)
        while part := (yield from self._part(reader, body, buffering, until)):
            body.append(part)
            buffering.add_part(self.loop.time)
            if buffering.is_begun(body.size, self.loop.time):
                break
        if part or part is None:
            return self._forwarded(attempt, connection, outcome, response, body, length, reader, buffering.times)
        return outcome, response, reader.whole() and not reader.rest()

    def _part(self, reader: H11Reader, body: Body, buffering: ResponseBuffering, until: int) -> Coroutine[bytes | None]:
        """Return the next part of a response; None if the response must not be buffered any longer."""
        if not buffering.may_be_long():
            return (yield from reader.part(fixed(until)))
        reader.read_size = self.budget.piece()
        if body.size > buffering.held and self.budget.left < self.budget.size // 2:
            return None  # half of the budget is left for other responses
        if not self._can_take(body, body.size + reader.read_size):
            return None
        try:
            return (yield from reader.part(lambda: buffering.begin_by(body.size)))
        except TimedOut:
            return None

    @staticmethod
    def _await_body(sock: socket.socket, until: int) -> Coroutine[None]:
        """Wait for the first bytes of a long body. Until they arrive, a provider that breaks off can be replaced."""
        if not (yield Wait(sock, READABLE, until)):
            return
        with suppress(BlockingIOError):
            if not sock.recv(1, socket.MSG_PEEK):
                raise ConnectionResetError("the provider closed the connection before the body of its response")

    def _can_take(self, body: Body, size: int) -> bool:
        """Reserve memory for `size` bytes of a response; without, it is forwarded as it arrives."""
        try:
            body.reserve(size)
        except OutOfBudget as error:
            emit(MEMORY_SHORT, of="answers", bytes=error.size, left_kb=self.budget.left // KIB)
            return False
        return True

    def _forwarded(
        self,
        attempt: ProviderAttempt,
        connection: ProviderConnection,
        outcome: Outcome,
        response: HttpResponse | None,
        body: Body,
        length: int | None,
        reader: H11Reader | None,
        times: PartTimes | None = None,
    ) -> ExchangeResult:
        """Return the result for a long response: its outcome is known, and the response owns the connection."""
        if response is None:
            return outcome, None, False
        pool, limits = self.pool, self.pool.options.limits

        def release(reusable: bool) -> None:
            # A slow client may take the last bytes long after the provider wrote them, and the provider counts the idle
            # time from then on.
            if reusable and unread_for(connection.sock) < pool.options.providers.idle_margin:
                pool.release(connection)
            else:
                pool.close(connection)

        stream = ResponseStream(
            self.loop,
            connection.sock,
            body,
            length,
            reader,
            self.budget,
            limits.silent_for,
            limits.answer,
            attempt.invocation.deadline,
            release,
            times,
        )
        return outcome, response._replace(body=stream), None

    @staticmethod
    def _outcome(
        status: int, reason: bytes, pairs: list[tuple[bytes, bytes]], fields: dict[bytes, bytes], body: Body
    ) -> tuple[Outcome, HttpResponse | None]:
        """Return the outcome that a response means and, with OK, the response; its body may not have arrived.

        Raises `OutOfBudget` if there is no memory for its fields.
        """
        if status == 200:
            lines = end_to_end_lines(pairs, fields)
            body.hold_head(len(lines))
            return Outcome.OK, HttpResponse(200, reason, lines, body)
        declined = status in (503, 504) and fields.get(b"srv-declined") == b"1"
        return Outcome.FULL if declined else Outcome.ERROR, None

    def _forward_body(self, attempt: ProviderAttempt, connection: ProviderConnection, body: Upload) -> Coroutine[int]:
        """Forward a body as it arrives; return the attempt's new timeout, which runs from the client's last byte.

        The client may have written that byte long before a slow provider reads it.
        """
        time_left = attempt.invocation.time_after_body
        progress = ReadProgress(self.loop, connection.sock, self.pool.options.limits.silent_for)
        try:
            while piece := (yield from body.pull()):
                if not connection.is_usable():
                    raise ConnectionResetError("the provider sent data before it had the whole request")
                progress.latest = body.answer_due(time_left)
                yield from send_as_read(connection.sock, [piece], progress, READABLE)
        finally:
            body.close()
        due = body.answer_due(time_left) or self.loop.time + time_left
        attempt.invocation.deadline = attempt.give_up_at = due
        return due

    def message(self, attempt: ProviderAttempt) -> list[Any]:
        """Return the parts of the request as it is sent, without a body that is forwarded."""
        request = attempt.invocation.payload
        assert isinstance(request, HttpRequest)
        method, target, lines, has_host, body = request
        head = b"%s %s HTTP/1.1\r\n%s" % (method, target, lines)
        if not has_host:  # HTTP/1.0
            head += b"Host: service.internal\r\n"
        if not isinstance(body, list):
            head += b"Content-Length: %d\r\n" % (body.length or 0)
        elif body or method != b"GET":
            head += b"Content-Length: %d\r\n" % sum(map(len, body))
        # The client may count its time from its first byte; the attempt counts from the last one.
        left = max(1, (attempt.give_up_at - self.loop.time - attempt.invocation.receive_time) // MS)
        head += b"Req-Deadline-Ms: %d\r\n\r\n" % left
        return [head, *body] if isinstance(body, list) else [head]
