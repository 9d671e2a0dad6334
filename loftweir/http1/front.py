"""The clients' side: the listener, and the connections that it accepts."""

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
from loftweir.net.loop import EXCLUSIVE, MS, READABLE, Coroutine, Loop, Wait
from loftweir.net.memory import MemoryBudget
from loftweir.net.standing import StandingTask
from loftweir.net.stream import prepare
from loftweir.telemetry.catalogue import ACCEPT_FAILED, ACCEPT_NO_ROOM
from loftweir.telemetry.log import emit

ACCEPTS_PER_TURN = 16  # connections accepted in one turn; responses that are ready go before the rest
# Errors of accept() that concern only the connection that was next; the one after it may be fine.
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
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)  # errors of accept(): no descriptor is free
SHORTAGE_TOLERATED = 100 * MS  # once descriptors are short for this long, unused connections are closed for new ones


class Frontend(ClientConnections):
    """The listener and all connections that it has accepted."""

    def __init__(
        self, loop: Loop, host: Host, life: SidecarLifecycle, options: Options, sockets: int, budget: int
    ) -> None:
        super().__init__(loop, options, sockets)
        self.host = host
        self.client_class: type[ClientConnection] = ClientConnection  # the class of new connections
        self.has_other_providers: Callable[[], bool] = lambda: False  # besides those of `host`
        self.life = life
        self.budget = MemoryBudget(budget)
        self.listener: socket.socket | None = None
        self.accepting: StandingTask | None = None
        self.opens_at = 0  # until then, or `open`, clients wait in the listener's queue
        self.shared = False  # whether other processes accept from the same listener
        self.short_since: int | None = None  # since when no descriptor is free for a new connection
        self.ending_since = 0  # since when connections are to end, as of `life`
        self.ends_at = 0  # when this process ends, even with requests unanswered; 0: not known
        self.free_descriptor: Any = lambda: False  # closes an idle connection to a provider; whether there was one

    def ready(self) -> bool:
        """Whether the sidecar is ready, as its health check answers."""
        return self.life.traits.healthy and self.takes_clients()

    def takes_clients(self) -> bool:
        """Whether new connections are accepted and there is a provider to serve them."""
        accepts = self.accepting is not None and not self.accepting.over
        return accepts and (bool(self.host.balancer.providers) or self.has_other_providers())

    def apply_options(self, options: Options) -> None:
        """Use the options of a reload."""
        self.options = options

    # ---- the listener ---------------------------------------------------------------------------

    def inherit(self, descriptor: int) -> None:
        """Accept connections from a listening socket that other processes share.

        It is never shut down, and only one of the processes that wait on it is woken for a connection
        (`EPOLLEXCLUSIVE`).
        """
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        self.shared = True
        self._listen(sock)

    def listen(self, address: str) -> None:
        """Listen on an address of this process's own."""
        host, port = split_host_port(address)
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(self.options.limits.backlog)
        sock.setblocking(False)
        self._listen(sock)

    def _listen(self, sock: socket.socket) -> None:
        """Start accepting from a listening socket."""
        self.listener = sock
        self.accepting = StandingTask(self.loop, lambda: self._accept(sock), new_work=True)
        StandingTask(self.loop, self.expire_idle)

    def open(self) -> None:
        """Begin to accept clients: everything that had to be known before is known."""
        if self.opens_at and self.accepting is not None:
            self.accepting.wake()
        self.opens_at = 0

    def stop_accepting(self) -> bool:
        """Close the listener, unless it still has connections that can't be accepted; return whether it is closed.

        The kernel has already accepted the connections in the listener's queue. Their clients may have sent a request,
        and would be reset with the listener, so all of them are accepted first. While there is no room for one, the
        listener stays open, and the caller has to try again.
        """
        listener = self.listener
        if listener is None:
            return True
        if self.accepting is not None:
            self.accepting.cancel()
        # On a shared listener, a process that is woken for a connection and does not accept it would leave that
        # connection waiting until the next one arrives.
        self.loop.unregister(listener.fileno())
        if not self._empty_queue(listener):
            return False
        self.listener = None
        self.loop.close(listener)
        return True

    def _empty_queue(self, listener: socket.socket) -> bool:
        """Accept the connections in the listener's queue; return False if there is no room for one of them."""
        for _ in range(self.options.limits.backlog):
            try:
                if len(self.clients) >= self.max_clients and not self.shared and not self.evict():
                    return False
                sock, _ = listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in BROKEN_CONNECTION:
                    continue
                if self._shortage_lasts(error) and (self.free_descriptor() or self.evict()):
                    continue
                return self.shared
            self._add_client(sock)
        return True

    def _add_client(self, sock: socket.socket) -> None:
        """Set up an accepted connection."""
        try:
            prepare(sock)
            client = self.client_class(self, sock)
            self.clients.add(client)
            self.watch(client)
        except OSError:  # reset by the client already: no reason to stop accepting
            sock.close()

    def _accept(self, listener: socket.socket) -> Coroutine[None]:
        """Accept connections until it is cancelled.

        When connections run out, it closes one without a request; if there is none, new clients wait a moment.
        """
        accepted = 0
        ready = READABLE | (EXCLUSIVE if self.shared else 0)
        if self.opens_at:
            yield Wait(None, 0, self.opens_at)
        while True:
            if len(self.clients) >= self.max_clients:
                yield Wait(listener, ready, None)
                emit(ACCEPT_NO_ROOM, connections=len(self.clients), most=self.max_clients)
                yield from self._make_room()
                continue
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                accepted, self.short_since = 0, None
                yield Wait(listener, ready, None)
                continue
            except OSError as error:
                emit(ACCEPT_FAILED, why=error.strerror)
                if error.errno not in BROKEN_CONNECTION:
                    yield from self._wait_for_descriptor(error)
                    continue
            else:
                self.short_since = None
                self._add_client(sock)
            accepted += 1
            if accepted % ACCEPTS_PER_TURN == 0:
                yield Wait(listener, ready, None)

    def _wait_for_descriptor(self, error: OSError) -> Coroutine[None]:
        """Wait a moment after a connection that could not be accepted; free descriptors if the shortage lasts."""
        if self._shortage_lasts(error):
            self.free_descriptor()
            yield from self._make_room()
        else:
            yield Wait(None, 0, self.loop.time + self.options.limits.retry_accept)

    def _shortage_lasts(self, error: OSError) -> bool:
        """Whether accept() fails for lack of descriptors, and has done so for some time."""
        if error.errno not in NO_DESCRIPTOR:
            return False
        if self.short_since is None:
            self.short_since = self.loop.time
        return self.loop.time - self.short_since >= SHORTAGE_TOLERATED

    def _make_room(self) -> Coroutine[None]:
        """Close an unused connection, or wait a moment if there is none."""
        if not self.evict():
            yield Wait(None, 0, self.loop.time + self.options.limits.retry_accept)
