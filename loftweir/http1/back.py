"""The providers' side: the pool of warm connections, and invoker calls over them.

A call ends with exactly one outcome, and says "never ran" only where the protocol proves it. Nothing here sends a
second time: that is the balancer's to decide.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import h11

from loftweir.config.model import Options
from loftweir.core.invocation import ProviderAttempt
from loftweir.http1 import grammar
from loftweir.http1.flow import ResponseStream, UploadFailed
from loftweir.http1.message import BodyStream, HttpRequest, HttpResponse, by_name, end_to_end_lines
from loftweir.http1.strict import H11Reader
from loftweir.interface import Lifecycle, MembershipUpdate, Outcome, Settings, UpdateKind
from loftweir.net.loop import MS, READABLE, Coroutine, Loop, Wait
from loftweir.net.stream import (
    READ_SIZE,
    RETRY_WRITE,
    Body,
    ConnectError,
    LocalError,
    MemoryBudget,
    OutOfBudget,
    TimedOut,
    TooLarge,
    connect,
    send,
    unacknowledged,
    unread_for,
)

Ended = Callable[[ProviderAttempt, Outcome, Any], None]
Exchanged = tuple[Outcome, HttpResponse | None, bool | None]
HELD_FOR = 200 * MS  # an answer of unknown length, from its first part on,
HELD_UNKNOWN = 4  # or up to so many times `limits.held`: what has begun and is reset then is no answer


class ProviderConnection:
    """A connection to a provider. At rest it watches itself: whatever comes then, a close or something unasked, ends
    it."""

    __slots__ = ("pool", "sock", "name", "address", "idle_since", "mask")

    def __init__(self, pool: Pool, sock: socket.socket, name: str, address: str) -> None:
        self.pool = pool
        self.sock = sock
        self.name = name
        self.address = address
        self.idle_since = 0
        self.mask = READABLE

    def ready(self, events: int) -> None:
        self.pool.loop.runnable.append(self.on_event)

    def on_event(self) -> None:
        if self in self.pool.idle:
            self.pool.remove_idle(self)
            self.pool.close(self)

    def is_usable(self) -> bool:
        """Whether it still stands and is quiet. Closed by the provider, with epoll having had no turn to say so yet,
        a request on it would be lost."""
        try:
            self.sock.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False


class Pool:
    """Where each provider is, and the connections to it that wait for their next use.

    Invariants: `resting` has every connection at rest, the longest there first; `idle` the same by provider, the
    one used last at the end; `open` counts these and those in use. `names` has each address of `addresses` once: a
    whole list of hundreds of providers is taken in time that goes with its length.
    """

    def __init__(self, loop: Loop, settings: Settings, options: Options, max_connections: int) -> None:
        self.loop = loop
        self.settings = settings
        self.options = options  # replaced whole by a reload
        self.max_connections = max_connections  # connections, in use and at rest
        self.open_count = 0
        self.addresses: dict[str, str] = {}  # of those that may be sent to
        self.names_by_address: dict[str, str] = {}  # the same the other way round
        self.last_response_at: dict[str, int] = {}  # when each gave its last whole answer
        self.idle_by_provider: dict[str, dict[ProviderConnection, None]] = {}
        self.idle: dict[ProviderConnection, None] = {}

    def max_idle_time(self) -> int:
        """A provider counts idle time from its own last byte: closing this much earlier than it does, nothing is
        written too late."""
        conn_idle = self.settings.conn_idle
        return max(conn_idle // 2, conn_idle - self.options.providers.idle_margin)

    def set_address(self, name: str, address: str) -> None:
        """The list names an address: connections to another one lead to a process that is gone, and so do those of
        another provider that had this one."""
        other = self.names_by_address.get(address)
        if other == name:
            return
        if other is not None:
            self.remove_provider(other)
        self.remove_provider(name)
        self.addresses[name] = address
        self.names_by_address[address] = name

    def remove_provider(self, name: str) -> None:
        """One that is gone or drains: nothing more is sent to it, and nothing of it is kept."""
        address = self.addresses.pop(name, None)
        if address is not None:
            del self.names_by_address[address]
        self.last_response_at.pop(name, None)
        self.close_idle(name)

    def connect(self, name: str, until: int) -> Coroutine[ProviderConnection]:
        address = self.addresses.get(name)
        if address is None:  # gone since the call was decided on
            raise ConnectError(Outcome.NOT_SENT)
        if self.open_count >= self.max_connections and not self.evict_idle():
            raise ConnectError(Outcome.NOT_SENT)
        self.open_count += 1
        try:
            sock = yield from connect(self.loop, address, self.settings.connect_timeout, until)
        except BaseException:
            self.open_count -= 1
            raise
        connection = ProviderConnection(self, sock, name, address)
        if not connection.is_usable():  # ended, or spoken on, before anything was asked: nothing ran
            self.close(connection)
            raise ConnectError(Outcome.CONNECT_FAILED)
        return connection

    def close(self, connection: ProviderConnection) -> None:
        self.open_count -= 1
        self.loop.close(connection.sock)

    def evict_idle(self) -> bool:
        """Makes room: closes the connection that has been at rest for longest."""
        connection = next(iter(self.idle), None)
        if connection is not None:
            connection.pool.remove_idle(connection)  # which may be a service's own
            connection.pool.close(connection)
        return connection is not None

    def remove_idle(self, connection: ProviderConnection) -> None:
        """Takes a connection from its rest."""
        del self.idle[connection]
        idle = self.idle_by_provider[connection.name]
        del idle[connection]
        if not idle:
            del self.idle_by_provider[connection.name]
        self.loop.unwatch(connection.sock.fileno())

    def acquire(self, name: str) -> ProviderConnection | None:
        """A warm connection that still stands: the one used last of those that have rested for a moment. A provider
        may close right behind its answer, or send more: what has rested for less has not shown it yet."""
        while idle := self.idle_by_provider.get(name):
            rested = self.loop.time - self.options.providers.rest_least
            connection = next((c for c in reversed(idle) if c.idle_since <= rested), None) or next(iter(idle))
            self.remove_idle(connection)
            if connection.is_usable():
                return connection
            self.close(connection)
        return None

    def release(self, connection: ProviderConnection) -> None:
        name = connection.name
        if connection.address != self.addresses.get(name):
            self.close(connection)
            return
        self.last_response_at[name] = connection.idle_since = self.loop.time
        self.idle[connection] = None
        self.idle_by_provider.setdefault(name, {})[connection] = None
        self.loop.watch(connection.sock.fileno(), connection)

    def reap_idle(self) -> Coroutine[None]:
        """Closes resting connections before their providers do. They rest for one time all, so the longest at rest
        is the next one due, and one timer serves them all."""
        while True:
            due = self.loop.time - self.max_idle_time()
            oldest = next(iter(self.idle), None)
            while oldest is not None and oldest.idle_since <= due:
                self.evict_idle()
                oldest = next(iter(self.idle), None)
            yield Wait(None, 0, (self.loop.time if oldest is None else oldest.idle_since) + self.max_idle_time())

    def close_idle(self, name: str) -> None:
        for connection in list(self.idle_by_provider.get(name, ())):
            self.remove_idle(connection)
            self.close(connection)


class Backend:
    """Carries invoker calls out. `on_attempt_ended` is told each call's outcome and, with OK, its `HttpResponse`."""

    def __init__(self, loop: Loop, settings: Settings, options: Options, max_connections: int, budget: int) -> None:
        self.loop = loop
        self.pool = Pool(loop, settings, options, max_connections)
        self.budget = MemoryBudget(budget)
        self.on_attempt_ended: Ended = lambda call, outcome, payload: None  # the host's, once there is one
        loop.spawn(self.pool.reap_idle())

    def apply_settings(self, options: Options, settings: Settings) -> None:
        self.pool.options, self.pool.settings = options, settings

    def close_idle(self, provider: str) -> None:
        self.pool.close_idle(provider)

    def update_list(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        latest = {e.address: e for e in update.endpoints}  # of two entries for one provider the later one holds
        ready = [e for e in latest.values() if e.lifecycle is Lifecycle.READY]
        gone = latest.keys() - {e.address for e in ready}
        if update.kind in (UpdateKind.FULL, UpdateKind.REMEMBERED):
            gone |= self.pool.addresses.keys() - addresses.keys()  # a whole list merely omits them
        for name in gone:
            self.pool.remove_provider(name)
        # Where two have one address, it is the later one's.
        for endpoint in sorted(ready, key=lambda e: e.started_at):
            self.pool.set_address(endpoint.address, addresses[endpoint.address])

    def begin(self, call: ProviderAttempt) -> None:
        task = self.loop.start(self.run(call), lambda _: self.on_attempt_ended(call, Outcome.UNKNOWN, None))
        if not task.over:
            call.running = task

    def run(self, call: ProviderAttempt) -> Coroutine[None]:
        pool, body = self.pool, call.invocation.payload.body
        if getattr(body, "begun", False):  # sent on already, and can't be again
            self.on_attempt_ended(call, Outcome.NOT_SENT, None)
            return
        connection = pool.acquire(call.provider)
        try:
            if connection is None:
                connection = yield from pool.connect(call.provider, call.send_by)
        except ConnectError as error:
            self.on_attempt_ended(call, error.outcome, None)
            return
        call.connected_at = self.loop.time
        reusable: bool | None = False
        try:
            if not self._may_send(call, connection):
                reusable = True
                outcome, answer = Outcome.NOT_SENT, None
            else:
                outcome, answer, reusable = yield from self._exchange(call, connection)
        finally:
            # Given up, broken or cancelled: closed before the balancer hears of it, so that whatever it sends next
            # is the only copy out.
            if reusable:
                pool.release(connection)
            elif reusable is not None:
                pool.close(connection)
        self.on_attempt_ended(call, outcome, answer)
        if answer is not None and not isinstance(answer.body, list):
            final = call.invocation.final
            if final is None or final.payload is not answer:
                answer.body.close()  # it came too late for anyone

    def _may_send(self, call: ProviderAttempt, connection: ProviderConnection) -> bool:
        """Whether the request can still go out: not to a provider that has gone, drains or moved meanwhile, nor for a
        client that has gone, nor too late, nor where another attempt has begun its body."""
        if connection.address != self.pool.addresses.get(call.provider):
            return False
        begun = getattr(call.invocation.payload.body, "begun", False)
        return call.invocation.is_wanted() and not begun and self.loop.now() < call.send_by

    def _send(self, call: ProviderAttempt, connection: ProviderConnection) -> Coroutine[bool]:
        """Writes the request, its body but for one that is sent on; False: it must not go out any more."""
        while True:
            try:
                yield from send(self.loop, connection.sock, self.message(call), call.send_by, READABLE, begins=True)
                return True
            except LocalError:
                yield Wait(None, 0, self.loop.now() + RETRY_WRITE)
            if not self._may_send(call, connection):
                return False

    def _exchange(self, call: ProviderAttempt, connection: ProviderConnection) -> Coroutine[Exchanged]:
        """The outcome, the answer with OK, and whether the connection can be used again; None: it went with the
        answer."""
        sock, give_up_at = connection.sock, call.give_up_at
        body = call.invocation.payload.body
        try:
            if not (yield from self._send(call, connection)):
                return Outcome.NOT_SENT, None, True
            if not isinstance(body, list):
                give_up_at = yield from self._send_on(call, connection, body)
        except (TimedOut, UploadFailed):
            return Outcome.NOT_SENT, None, False
        except OSError:
            return Outcome.CONNECT_FAILED, None, False  # before the last byte: it can't have run
        call.sent_at = self.loop.time
        try:
            if not (yield Wait(sock, READABLE, give_up_at)):
                raise TimedOut
            try:
                data = sock.recv(READ_SIZE)
            except BlockingIOError:
                return (yield from self._strictly(call, connection, None))
            if unacknowledged(sock):
                # What answers a request acknowledges all of it: this was on its way before, and is another's.
                return Outcome.RESET, None, False
            head = grammar.response(data)
            if head is None:
                return (yield from self._strictly(call, connection, data))
            limits = self.pool.options.limits
            if head.length > limits.answer:
                return Outcome.ERROR, None, False  # known from its head: not waited for
            body = Body(self.budget)
            if len(data) > head.end:
                body.append(data[head.end :])
            if head.length > limits.held and body.size < head.length:
                return self._passed_on(call, connection, int(head.first), head, body, head.length, None)
            while body.size < head.length:
                try:
                    data = sock.recv(READ_SIZE)
                except BlockingIOError:
                    if not (yield Wait(sock, READABLE, give_up_at)):
                        raise TimedOut from None
                    continue
                if not data:
                    return Outcome.RESET, None, False
                body.append(data)
            # What came behind the answer, a second copy or noise, would be taken for the next one's.
            whole = body.size == head.length
            if not whole:
                body[-1] = body[-1][: head.length - body.size]
            return self._outcome(int(head.first), head.second, head.pairs, head.fields, body, whole)
        except TimedOut:
            # A machine that vanished leaves its warm connections open and silent. Only a new one can tell, and one
            # that does not come up proves that nothing ran: rest no longer on these. Where others were answered
            # meanwhile, it was this one alone.
            if self.pool.last_response_at.get(call.provider, 0) < call.started_at:
                self.pool.close_idle(call.provider)
            return Outcome.TIMED_OUT, None, False
        except TooLarge:
            return Outcome.ERROR, None, False
        except (OSError, h11.RemoteProtocolError):
            return Outcome.RESET, None, False

    def _strictly(
        self, call: ProviderAttempt, connection: ProviderConnection, data: bytes | None
    ) -> Coroutine[Exchanged]:
        """An answer that is not of the common form, as h11 reads it."""
        options, until = self.pool.options, call.give_up_at
        wire = H11Reader(connection.sock, h11.CLIENT, data)
        for _ in range(options.providers.information + 1):
            head = yield from wire.next_event(until)
            if not isinstance(head, h11.InformationalResponse):
                break
        if not isinstance(head, h11.Response):
            return Outcome.RESET, None, False
        pairs = list(head.headers.raw_items())
        fields = by_name(pairs)
        # Transfer-Encoding goes before a length: passed on with that, what is over it would be the next answer.
        told = b"content-length" in fields and b"transfer-encoding" not in fields
        known = int(fields[b"content-length"]) if told else None
        if (known or 0) > options.limits.answer:
            return Outcome.ERROR, None, False
        body, begun_at = Body(self.budget), self.loop.time
        while part := (yield from self._part(wire, body, known, begun_at, until)):
            body.append(part)
            if self._is_passed_on(body, known, begun_at):
                break
        if part or part is None:
            read = grammar.Head(b"", head.reason, pairs, fields, 0, 0)
            return self._passed_on(call, connection, head.status_code, read, body, known, wire)
        reusable = wire.whole() and not wire.rest()
        return self._outcome(head.status_code, head.reason, pairs, fields, body, reusable)

    def _part(
        self, wire: H11Reader, body: Body, known: int | None, begun_at: int, until: int
    ) -> Coroutine[bytes | None]:
        """The next part of an answer; None: a long one of unknown length is not to be held any more."""
        hold_until = until
        if known is None and body.size > self.pool.options.limits.held:
            if not self._may_hold(body):
                return None
            hold_until = min(until, begun_at + HELD_FOR)
        try:
            return (yield from wire.part(hold_until))
        except TimedOut:
            if hold_until == until:
                raise
            return None

    def _may_hold(self, body: Body) -> bool:
        """Whether a long answer can be held further: the next part has its room by then, and half of all is left to
        other answers."""
        if self.budget.left < self.budget.size // 2:
            return False
        try:
            body.reserve(body.size + READ_SIZE)
        except OutOfBudget:
            return False
        return True

    def _is_passed_on(self, body: Body, known: int | None, begun_at: int) -> bool:
        """Whether an answer is passed on as it comes, and no longer held until it is whole. One of unknown length may
        be reset at any time: it is held for a while, so that its request is not owed the rest of it."""
        held = self.pool.options.limits.held
        if known is not None:
            return known > held
        return self.loop.time - begun_at > HELD_FOR or body.size > HELD_UNKNOWN * held

    def _passed_on(
        self,
        call: ProviderAttempt,
        connection: ProviderConnection,
        status: int,
        head: grammar.Head,
        body: Body,
        length: int | None,
        wire: H11Reader | None,
    ) -> tuple[Outcome, HttpResponse | None, bool | None]:
        """A long answer: its outcome is known, and its rest comes with the connection to whoever passes it on."""
        outcome, answer, _ = self._outcome(status, head.second, head.pairs, head.fields, body, False)
        if answer is None:
            return outcome, None, False
        pool, limits = self.pool, self.pool.options.limits

        def give_back(reusable: bool) -> None:
            # A slow client has the last of it long after its provider wrote it: from then on that counts it as idle.
            if reusable and unread_for(connection.sock) < pool.options.providers.idle_margin:
                pool.release(connection)
            else:
                pool.close(connection)

        flow = ResponseStream(
            self.loop,
            connection.sock,
            body,
            length,
            wire,
            self.budget,
            limits.silent_for,
            limits.answer,
            call.invocation.deadline,
            give_back,
        )
        return outcome, answer._replace(body=flow), None

    @staticmethod
    def _outcome(
        status: int,
        reason: bytes,
        pairs: list[tuple[bytes, bytes]],
        fields: dict[bytes, bytes],
        body: list[bytes],
        reusable: bool,
    ) -> tuple[Outcome, HttpResponse | None, bool]:
        if status == 200:
            return Outcome.OK, HttpResponse(200, reason, end_to_end_lines(pairs, fields), body), reusable
        declined = status in (503, 504) and fields.get(b"srv-declined") == b"1"
        return Outcome.FULL if declined else Outcome.ERROR, None, reusable

    def _send_on(self, call: ProviderAttempt, connection: ProviderConnection, body: BodyStream) -> Coroutine[int]:
        """A body that is sent on while it comes; the time that its call has from its last byte on."""
        try:
            while piece := (yield from body.pull()):
                if not connection.is_usable():
                    raise ConnectionResetError("spoken on before the request was whole")
                until = self.loop.time + self.pool.options.limits.silent_for
                yield from send(self.loop, connection.sock, [piece], until, READABLE)
        finally:
            body.close()
        invocation = call.invocation
        invocation.deadline = call.give_up_at = self.loop.time + invocation.time_after_body
        return call.give_up_at

    def message(self, call: ProviderAttempt) -> list[Any]:
        request = call.invocation.payload
        assert isinstance(request, HttpRequest)
        method, target, pairs, fields, body = request
        head = b"%s %s HTTP/1.1\r\n%s" % (method, target, end_to_end_lines(pairs, fields))
        if b"host" not in fields:  # HTTP/1.0
            head += b"Host: service.internal\r\n"
        if not isinstance(body, list):
            head += b"Content-Length: %d\r\n" % (body.length or 0)
        elif body or method != b"GET":
            head += b"Content-Length: %d\r\n" % sum(map(len, body))
        # The client's time may run from its first byte on, the attempt's runs from the last one.
        left = max(1, (call.give_up_at - self.loop.time - call.invocation.receive_time) // MS)
        head += b"Req-Deadline-Ms: %d\r\n\r\n" % left
        return [head, *body] if isinstance(body, list) else [head]
