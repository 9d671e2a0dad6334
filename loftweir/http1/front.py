"""The clients' side: the listener, and the connections that come over it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from loftweir.config.model import Options
from loftweir.config.units import host_and_port
from loftweir.core.host import Host
from loftweir.core.life import Life
from loftweir.http1.client import Client
from loftweir.http1.connections import Connections
from loftweir.net.loop import EXCLUSIVE, READABLE, Coroutine, Loop, Task, Wait
from loftweir.net.stream import Room, prepare
from loftweir.telemetry.catalogue import ACCEPT_FAILED, ROOM_NONE
from loftweir.telemetry.log import say

ACCEPTS_A_TURN = 16  # a wave of new connections waits for the answers that are ready


class Front(Connections):
    """The listener and all connections to it."""

    def __init__(self, loop: Loop, host: Host, life: Life, options: Options, sockets: int, room: int) -> None:
        super().__init__(loop, options, sockets)
        self.host = host
        self.kind: type[Client] = Client  # of each connection
        self.also: Callable[[], bool] = lambda: False  # others than the host's own providers are there to serve
        self.life = life
        self.room = Room(room)
        self.listener: socket.socket | None = None
        self.accepting: Task | None = None
        self.opens_at = 0  # clients wait in the listener's queue until then, or `open`
        self.shared = False  # the listener: other processes take from it too
        self.ends_at = 0  # when this process is over, whatever it still owes; 0: not known
        self.spare_descriptor: Any = lambda: False  # the back's way to make room, where there is one

    def ready(self) -> bool:
        """Whether the sidecar is ready, as its health check answers."""
        return self.life.traits.healthy and self.takes_clients()

    def takes_clients(self) -> bool:
        """Whether new connections are accepted and there is somebody to serve them."""
        accepts = self.accepting is not None and not self.accepting.over
        return accepts and (bool(self.host.balancer.servers) or self.also())

    def use(self, options: Options) -> None:
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
            except ConnectionAbortedError:
                continue
            except OSError:  # no descriptor
                if self.spare_descriptor() or self.spare():
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
                say(ROOM_NONE, connections=len(self.clients), most=self.most_clients)
                yield from self._make_room()
                continue
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                turn = 0
                yield Wait(listener, ready, None)
                continue
            except ConnectionAbortedError:
                continue
            except OSError as error:
                fault = str(error)
                self.spare_descriptor()
            else:
                self._welcome(sock)
                turn += 1
                if turn % ACCEPTS_A_TURN == 0:
                    yield Wait(listener, ready, None)
                continue
            yield Wait(listener, ready, None)
            say(ACCEPT_FAILED, why=fault)
            yield from self._make_room()

    def _make_room(self) -> Coroutine[None]:
        if not self.spare():
            yield Wait(None, 0, self.loop.time + self.options.limits.retry_accept)
