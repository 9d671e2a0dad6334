"""The clients' side: the listener, and the connections that come over it."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any

from loftweir.config.model import Options
from loftweir.config.units import split_host_port
from loftweir.core.host import Host
from loftweir.core.life import SidecarLifecycle
from loftweir.http1.client import ClientConnection
from loftweir.http1.connections import ClientConnections
from loftweir.net.loop import EXCLUSIVE, MS, READABLE, Coroutine, Loop, Task, Wait
from loftweir.net.stream import MemoryBudget, prepare
from loftweir.telemetry.catalogue import ACCEPT_FAILED, ACCEPT_NO_ROOM
from loftweir.telemetry.log import emit

ACCEPTS_A_TURN = 16  # a wave of new connections waits for the answers that are ready
# Of accept(): the connection that was next is broken, and the one after it may be sound.
BROKEN_CONNECTION = (
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
    errno.EPERM,
)
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)
LACK_LASTS = 100 * MS  # of descriptors, from which on connections that hold no request are closed for new ones


class Frontend(ClientConnections):
    """The listener and all connections to it."""

    def __init__(
        self, loop: Loop, host: Host, life: SidecarLifecycle, options: Options, sockets: int, room: int
    ) -> None:
        super().__init__(loop, options, sockets)
        self.host = host
        self.kind: type[ClientConnection] = ClientConnection  # of each connection
        self.also: Callable[[], bool] = lambda: False  # others than the host's own providers are there to serve
        self.life = life
        self.room = MemoryBudget(room)
        self.listener: socket.socket | None = None
        self.accepting: Task | None = None
        self.opens_at = 0  # clients wait in the listener's queue until then, or `open`
        self.shared = False  # the listener: other processes take from it too
        self.lacks_since: int | None = None  # that no descriptor is free for a new connection
        self.ends_at = 0  # when this process is over, whatever it still owes; 0: not known
        self.spare_descriptor: Any = lambda: False  # the back's way to make room, where there is one

    def ready(self) -> bool:
        """Whether the sidecar is ready, as its health check answers."""
        return self.life.traits.healthy and self.takes_clients()

    def takes_clients(self) -> bool:
        """Whether new connections are accepted and there is somebody to serve them."""
        accepts = self.accepting is not None and not self.accepting.over
        return accepts and (bool(self.host.balancer.providers) or self.also())

    def apply_options(self, options: Options) -> None:
        """Takes the options of a reload."""
        self.options = options

    # ---- the listener ---------------------------------------------------------------------------

    def inherit(self, descriptor: int) -> None:
        """Takes connections from a listening socket that is not this process's alone: it is never shut down, and
        whoever waits on it is woken for a connection of its own (`EPOLLEXCLUSIVE`)."""
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        self.shared = True
        self._listen(sock)

    def listen(self, address: str) -> None:
        """Listens on an address of this process's own."""
        host, port = split_host_port(address)
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(self.options.limits.backlog)
        sock.setblocking(False)
        self._listen(sock)

    def _listen(self, sock: socket.socket) -> None:
        self.listener = sock
        self.accepting = self.loop.spawn(self._accept(sock), new_work=True)
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
        self.loop.unregister(listener.fileno())
        if not self._empty_queue(listener):
            return False
        self.listener = None
        self.loop.close(listener)
        return True

    def _empty_queue(self, listener: socket.socket) -> bool:
        """Takes the connections that wait in the listener's queue; False: there is no room for one of them."""
        for _ in range(self.options.limits.backlog):
            try:
                if len(self.clients) >= self.most_clients and not self.shared and not self.spare():
                    return False
                sock, _ = listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in BROKEN_CONNECTION:
                    continue
                if self._lack_lasts(error) and (self.spare_descriptor() or self.spare()):
                    continue
                return self.shared
            self._welcome(sock)
        return True

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
            if len(self.clients) >= self.most_clients:
                yield Wait(listener, ready, None)
                emit(ACCEPT_NO_ROOM, connections=len(self.clients), most=self.most_clients)
                yield from self._make_room()
                continue
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                turn, self.lacks_since = 0, None
                yield Wait(listener, ready, None)
                continue
            except OSError as error:
                emit(ACCEPT_FAILED, why=error.strerror)
                if error.errno not in BROKEN_CONNECTION:
                    yield from self._wait_for_descriptor(error)
                    continue
            else:
                self.lacks_since = None
                self._welcome(sock)
            turn += 1
            if turn % ACCEPTS_A_TURN == 0:
                yield Wait(listener, ready, None)

    def _wait_for_descriptor(self, error: OSError) -> Coroutine[None]:
        """After a connection that could not be taken: a moment, and room for it where there was none for long."""
        if self._lack_lasts(error):
            self.spare_descriptor()
            yield from self._make_room()
        else:
            yield Wait(None, 0, self.loop.time + self.options.limits.retry_accept)

    def _lack_lasts(self, error: OSError) -> bool:
        """Whether accept() fails for want of descriptors, and has done so for long."""
        if error.errno not in NO_DESCRIPTOR:
            return False
        if self.lacks_since is None:
            self.lacks_since = self.loop.time
        return self.loop.time - self.lacks_since >= LACK_LASTS

    def _make_room(self) -> Coroutine[None]:
        if not self.spare():
            yield Wait(None, 0, self.loop.time + self.options.limits.retry_accept)
