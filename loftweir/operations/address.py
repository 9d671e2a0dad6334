"""The operators' address: a listener of its own that takes one command line per connection and answers with one line.

Its coroutines run before all others (`Loop.spawn(urgent=True)`) and it has descriptors of its own, so that operators
get an answer under full load. Connections that send no complete command are limited in number and time: one connection
too many closes the oldest.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from loftweir.config.units import split_host_port
from loftweir.net.loop import MS, READABLE, SECOND, Coroutine, Loop, Task, Wait
from loftweir.net.standing import StandingTask
from loftweir.net.stream import TimedOut, send
from loftweir.operations.calls import MAX_LINE_BYTES, No, OperatorCommand, error_answer, ok_answer, parse_command
from loftweir.telemetry.catalogue import OPERATOR_CALL
from loftweir.telemetry.log import emit

MAX_CONNECTIONS = 16
# Beside the connections: the listener, the record's lock, the record's file, and the lock of the serving processes.
DESCRIPTORS = MAX_CONNECTIONS + 4
READ_TIMEOUT = 8 * SECOND  # for the client to send its whole line
WRITE_TIMEOUT = SECOND  # for the client to read the answer
LINGER = 100 * MS  # for unread input before a connection is closed
BACKLOG = 64

Execute = Callable[[OperatorCommand], Coroutine[str]]


class Address:
    """Invariant: `connections` has every open connection with its coroutine, the oldest first."""

    def __init__(self, loop: Loop, execute: Execute) -> None:
        self.loop = loop
        self.execute = execute
        self.connections: dict[socket.socket, Task] = {}
        self.listener: socket.socket | None = None

    def listen(self, address: str) -> None:
        """Starts to listen; raises OSError if the address can't be bound."""
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
        StandingTask(self.loop, lambda: self._accept(sock), urgent=True)

    def _accept(self, listener: socket.socket) -> Coroutine[None]:
        while True:
            yield Wait(listener, READABLE, None)
            for _ in range(MAX_CONNECTIONS):
                try:
                    sock, _ = listener.accept()
                except OSError:
                    break
                sock.setblocking(False)
                if len(self.connections) >= MAX_CONNECTIONS:
                    next(iter(self.connections.values())).cancel()
                self.connections[sock] = self.loop.spawn(self._serve(sock), urgent=True)

    def _serve(self, sock: socket.socket) -> Coroutine[None]:
        try:
            answer = yield from self._answer(sock)
            if answer:
                yield from send(self.loop, sock, [answer], self.loop.now() + WRITE_TIMEOUT)
                sock.shutdown(socket.SHUT_WR)
                # Closing a socket with unread input resets the connection, and the client would lose the answer.
                until = self.loop.now() + LINGER
                while (yield Wait(sock, READABLE, until)) and sock.recv(4096):
                    pass
        except (TimedOut, OSError):
            pass
        finally:
            del self.connections[sock]
            self.loop.close(sock)

    def _answer(self, sock: socket.socket) -> Coroutine[bytes]:
        """Reads a command, carries it out and returns the answer's line; empty if the client closed without sending."""
        until = self.loop.now() + READ_TIMEOUT
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
