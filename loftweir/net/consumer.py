"""The consumer's side: the listener, its connections, and the invocations that come over them."""

from __future__ import annotations

import socket
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from loftweir.interface import Effect, Request, Settings
from loftweir.net.http import Channel, TookTooLong, TooLarge, host_and_port, passed_on, value_of
from loftweir.net.loop import HUNG_UP, MS, READABLE, SECOND, WOKEN, Coroutine, Task, Wait, log, where
from loftweir.net.provider import Answer, InvokerCall

if TYPE_CHECKING:
    from loftweir.net.sidecar import Sidecar

BACKLOG = 512
IDLE_FOR = 120 * SECOND  # a consumer's connection with no request on it
BODY_WITHIN = 10 * SECOND
WRITE_WITHIN = 5 * SECOND
LINGER_FOR = SECOND
LOG_APART = 10 * SECOND


class Malformed(Exception):
    """A request that can't be served as it stands: says why."""


def plain(status: int, text: str, *headers: tuple[str, str]) -> Answer:
    """An answer of the sidecar's own."""
    body = f"{text}\n".encode()
    return h11.Response(
        status_code=status,
        reason=HTTPStatus(status).phrase,
        headers=[("content-type", "text/plain; charset=utf-8"), *headers],
    ), [body]


class Invocation:
    """A request that the sidecar has taken: owes exactly one final answer while it is open."""

    __slots__ = (
        "id",
        "head",
        "body",
        "class_name",
        "patience",
        "deadline",
        "task",
        "answer",
        "calls",
        "open",
    )

    def __init__(self, head: h11.Request, body: list[bytes], settings: Settings, now: int) -> None:
        self.id = text_of(head, b"req-id")
        self.class_name = text_of(head, b"req-kind")
        cls = settings.classes.get(self.class_name)
        if cls is None:
            raise Malformed(f"Req-Kind {self.class_name!r} is not a class of this service")
        if cls.effect is Effect.BY_KEY and not value_of(head, b"idempotency-key"):
            raise Malformed(f"Req-Kind {self.class_name} needs an Idempotency-Key")
        wait = value_of(head, b"req-deadline-ms")
        if wait is None:
            self.patience = cls.deadline
        elif wait.isdigit() and len(wait) < 10 and int(wait) > 0:
            self.patience = min(int(wait) * MS, cls.deadline)
        else:
            raise Malformed("Req-Deadline-Ms is not a whole number above 0")
        self.head = head
        self.body = body
        self.deadline = now + self.patience
        self.task: Task | None = None
        self.answer: Answer | None = None
        self.calls: list[InvokerCall] = []
        self.open = True

    def event(self) -> Request:
        return Request(
            self.id,
            self.class_name,
            self.patience,
            client_retry=value_of(self.head, b"req-retry") == b"1",
            write=self.head.method != b"GET",
        )

    def close(self, answer: Answer | None) -> None:
        """The final answer, or none where the consumer has gone."""
        self.open = False
        self.answer = answer
        if self.task is not None:
            self.task.wake()


def text_of(head: h11.Request, name: bytes) -> str:
    value = value_of(head, name)
    if not value or not value.isascii():
        raise Malformed(f"{name.decode().title()} is missing or not plain text")
    return value.decode("ascii")


class Consumer:
    """One connection of the application: one request at a time, one whole answer each."""

    def __init__(self, sidecar: Sidecar, sock: socket.socket) -> None:
        self.sidecar = sidecar
        self.channel = Channel(sock, h11.SERVER)
        self.task: Task | None = None
        self.method = b""
        self.busy = False

    def quiet(self) -> bool:
        """Whether nothing has come that is not answered: closing the connection loses no request."""
        if self.busy or self.channel.http.trailing_data[0]:
            return False
        try:
            return not self.channel.sock.recv(1, socket.MSG_PEEK)
        except OSError:  # nothing there, or broken
            return True

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self.channel.close()
        self.sidecar.consumers.discard(self)

    def serve(self) -> Coroutine[None]:
        now = self.sidecar.loop.now
        channel = self.channel
        try:
            while True:
                self.busy, self.method = False, b""
                try:
                    head = yield from channel.next_event(now() + IDLE_FOR)
                    if not isinstance(head, h11.Request):
                        return
                    self.busy, self.method = True, head.method
                    answer = yield from self._answer(head)
                except h11.RemoteProtocolError as error:
                    answer = plain(error.error_status_hint, "malformed HTTP")
                except TooLarge:
                    answer = plain(413, "a body holds 64 KiB at most")
                except (TookTooLong, OSError):
                    raise
                except Exception as error:
                    # A fault of the program's own: this request is answered failed, the process lives.
                    log(f"broken invocation: {error!r} {where(error)}")
                    answer = plain(500, "failed")
                if not (yield from self._write(answer)):
                    return
                channel.http.start_next_cycle()
        except (TookTooLong, OSError):
            pass
        finally:
            channel.close()
            self.sidecar.consumers.discard(self)

    def _write(self, answer: Answer) -> Coroutine[bool]:
        """Writes an answer; False: it was the last on this connection."""
        http, channel = self.channel.http, self.channel
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        head, body = answer
        headers = [*passed_on(head), (b"content-length", b"%d" % sum(map(len, body)))]
        ends = self.sidecar.stopping or http.their_state is not h11.DONE
        if ends:
            headers.append((b"connection", b"close"))
        if self.method == b"HEAD":
            body = []
        response = h11.Response(status_code=head.status_code, headers=headers, reason=head.reason)
        yield from channel.send(response, body, self.sidecar.loop.now() + WRITE_WITHIN)
        if channel.finished():
            return True
        # Closing with something unread resets the connection, and the answer with it: read it off first.
        channel.sock.shutdown(socket.SHUT_WR)
        until = self.sidecar.loop.now() + LINGER_FOR
        while (yield Wait(channel.sock, READABLE, until)) and channel.sock.recv(65536):
            pass
        return False

    def _answer(self, head: h11.Request) -> Coroutine[Answer]:
        sidecar, http = self.sidecar, self.channel.http
        if http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.channel.sock.sendmsg(http.send_with_data_passthrough(go_on) or [])
        try:
            body = yield from self.channel.body(sidecar.loop.now() + BODY_WITHIN)
        except TookTooLong:
            return plain(408, "the body did not come")
        path = head.target.partition(b"?")[0]
        if path == b"/_health":
            return plain(200, "ready") if sidecar.ready() else plain(503, "not ready")
        if path != b"/api":
            return plain(404, "no such path")
        if head.method not in (b"GET", b"POST"):
            return plain(405, "GET or POST", ("allow", "GET, POST"))
        try:
            invocation = Invocation(head, body, sidecar.settings, sidecar.loop.now())
        except Malformed as error:
            return plain(400, str(error))
        if invocation.id in sidecar.invocations:
            # A second copy of something still out: neither sent (it could run twice) nor called a rejection.
            return plain(400, "Req-Id is in use")
        invocation.task = self.task
        try:
            yield from self._wait(invocation)
        finally:
            sidecar.leave(invocation)
        if invocation.answer is None:
            raise ConnectionResetError("the consumer has gone")
        return invocation.answer

    def _wait(self, invocation: Invocation) -> Coroutine[None]:
        """Until there is an answer or the consumer goes. Only a hang-up is looked for: what a consumer
        sends ahead of its answer stays in the kernel."""
        sidecar = self.sidecar
        sidecar.take(invocation)
        # The balancer answers by the deadline; should it ever fail to, the consumer still gets an answer.
        last = invocation.deadline + sidecar.settings.safety.answer_grace // 2
        while invocation.open:
            event = yield Wait(self.channel.sock, HUNG_UP, last)
            if not invocation.open:
                return
            if event == 0:
                log(f"overdue invocation {invocation.id}")
                invocation.answer = plain(504, "failed")
                return
            if event != WOKEN:
                return


def listen(address: str) -> socket.socket:
    host, port = host_and_port(address)
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


def accept(sidecar: Sidecar, listener: socket.socket) -> Coroutine[None]:
    """Takes connections until the sidecar stops; out of descriptors, it leaves them waiting a moment."""
    quiet_until = 0
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            yield Wait(listener, READABLE, None)
            continue
        except ConnectionAbortedError:
            continue
        except OSError as error:
            now = sidecar.loop.now()
            if now >= quiet_until:  # a shortage may last, and comes round ten times a second
                log(f"accept failed: {error}")
                quiet_until = now + LOG_APART
            sidecar.spare()
            yield Wait(None, 0, now + 100 * MS)
            continue
        try:
            consumer = Consumer(sidecar, sock)
        except OSError:  # reset before it was looked at: no reason to stop accepting
            sock.close()
            continue
        consumer.task = sidecar.loop.spawn(consumer.serve())
        sidecar.consumers.add(consumer)
