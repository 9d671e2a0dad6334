"""The operators' address: a listener of its own, one line to a connection, one line back.

It has its turn before all else (`Loop.spawn(urgent=True)`), and descriptors of its own. Callers that finish no call
are few and have a time: of too many, the one longest there goes.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from loftweir.config.units import split_host_port
from loftweir.net.loop import MS, READABLE, SECOND, Coroutine, Loop, Task, Wait
from loftweir.net.stream import TookTooLong, send
from loftweir.operations.calls import MAX_LINE_BYTES, No, OperatorCommand, error_answer, ok_answer, parse_command
from loftweir.telemetry.catalogue import OPERATOR_CALL
from loftweir.telemetry.log import emit

MOST = 16  # callers at a time
DESCRIPTORS = MOST + 4  # with the listener, the record's lock and file, and the lock of who serves
CALL_WITHIN = 8 * SECOND  # for a caller to finish its line
ANSWER_WITHIN = SECOND  # for it to read the answer
BACKLOG = 64

Execute = Callable[[OperatorCommand], Coroutine[str]]


class Address:
    """Invariant: `callers` has every connection, the longest there first, each with its coroutine."""

    def __init__(self, loop: Loop, execute: Execute) -> None:
        self.loop = loop
        self.execute = execute
        self.callers: dict[socket.socket, Task] = {}
        self.listener: socket.socket | None = None

    def listen(self, address: str) -> None:
        """OSError where it can't be had."""
        host, port = split_host_port(address)
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self.listener = sock
        self.loop.spawn(self._accept(sock), urgent=True)

    def _accept(self, listener: socket.socket) -> Coroutine[None]:
        while True:
            yield Wait(listener, READABLE, None)
            for _ in range(MOST):
                try:
                    sock, _ = listener.accept()
                except OSError:
                    break
                sock.setblocking(False)
                if len(self.callers) >= MOST:
                    next(iter(self.callers.values())).cancel()
                self.callers[sock] = self.loop.spawn(self._serve(sock), urgent=True)

    def _serve(self, sock: socket.socket) -> Coroutine[None]:
        try:
            answer = yield from self._answer(sock)
            if answer:
                yield from send(self.loop, sock, [answer], self.loop.now() + ANSWER_WITHIN)
                sock.shutdown(socket.SHUT_WR)
                # Closing with something unread would reset the connection, and the answer with it.
                until = self.loop.now() + 100 * MS
                while (yield Wait(sock, READABLE, until)) and sock.recv(4096):
                    pass
        except (TookTooLong, OSError):
            pass
        finally:
            del self.callers[sock]
            self.loop.close(sock)

    def _answer(self, sock: socket.socket) -> Coroutine[bytes]:
        """The line that answers; empty: the caller went or took too long, and nothing is answered."""
        until = self.loop.now() + CALL_WITHIN
        data = b""
        try:
            while b"\n" not in data:
                if len(data) > MAX_LINE_BYTES:
                    parse_command(data)
                if not (yield Wait(sock, READABLE, until)):
                    raise No("no end of the line came")
                read = sock.recv(4096)
                if not read:
                    if data:
                        raise No("the line has no end")
                    return b""
                data += read
            line = data[: data.index(b"\n")].removesuffix(b"\r")
            command = parse_command(line)
            text = yield from self.execute(command)
        except No as reason:
            emit(OPERATOR_CALL, call=repr(data[:80])[2:-1], answer="ERR", why=reason)
            return error_answer(reason)
        if command.verb.value != "READY":
            emit(OPERATOR_CALL, call=f"{command.verb.value} {command.id}".strip(), answer="OK", why="")
        return ok_answer(text)
