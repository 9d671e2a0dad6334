"""The pool of connections to providers: their addresses, the idle connections, and when these are closed."""

from __future__ import annotations

import socket

from loftweir.config.model import Options
from loftweir.interface import Outcome, Settings
from loftweir.net.loop import READABLE, Coroutine, Loop, Wait
from loftweir.net.stream import ConnectError, connect


class ProviderConnection:
    """A connection to a provider.

    While it is idle it watches itself: whatever arrives then, a close or unexpected data, ends it.
    """

    __slots__ = ("pool", "sock", "name", "address", "idle_since", "mask")

    def __init__(self, pool: Pool, sock: socket.socket, name: str, address: str) -> None:
        self.pool = pool
        self.sock = sock
        self.name = name
        self.address = address
        self.idle_since = 0
        self.mask = READABLE

    def ready(self, events: int) -> None:
        """Handle an event of the loop in its turn."""
        self.pool.loop.runnable.append(self.on_event)

    def on_event(self) -> None:
        """Close the connection, unless it is in use or closed by now."""
        if self in self.pool.idle:
            try:
                self.pool.remove_idle(self)
            finally:
                self.pool.close(self)

    def is_usable(self) -> bool:
        """Whether it is open and nothing has arrived on it.

        The provider may have closed it while epoll had no turn yet to report that; a request on it would be lost.
        """
        try:
            self.sock.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False


class Pool:
    """The addresses of the providers, and the idle connections to them.

    Invariants: `idle` has every idle connection, the one idle for longest first, and `idle_by_provider` the same by
    provider, the one used last at the end. `open_count` counts these and the connections in use. `names_by_address` has
    each address of `addresses` once, so that a whole list is applied in time proportional to its length.
    """

    def __init__(self, loop: Loop, settings: Settings, options: Options, max_connections: int) -> None:
        self.loop = loop
        self.settings = settings
        self.options = options  # replaced whole by a reload
        self.max_connections = max_connections  # in use and idle
        self.open_count = 0
        self.addresses: dict[str, str] = {}  # by name: of the providers to which requests may be sent
        self.names_by_address: dict[str, str] = {}
        self.last_response_at: dict[str, int] = {}  # by name: when its last complete response was read
        self.idle_by_provider: dict[str, dict[ProviderConnection, None]] = {}
        self.idle: dict[ProviderConnection, None] = {}

    def max_idle_time(self) -> int:
        """Return how long a connection may be idle.

        The provider counts the idle time from its own last byte. The sidecar closes a connection earlier by a margin,
        so that no request is written to one that the provider is closing.
        """
        conn_idle = self.settings.conn_idle
        return max(conn_idle // 2, conn_idle - self.options.providers.idle_margin)

    def set_address(self, name: str, address: str) -> None:
        """Set a provider's address as listed.

        Connections to another address lead to a process that is gone, and so do those of another provider that had this
        address. Both are closed.
        """
        other = self.names_by_address.get(address)
        if other == name:
            return
        if other is not None:
            self.remove_provider(other)
        self.remove_provider(name)
        self.addresses[name] = address
        self.names_by_address[address] = name

    def remove_provider(self, name: str) -> None:
        """Remove a provider that is gone or drains: no new request is sent to it."""
        address = self.addresses.pop(name, None)
        if address is not None:
            del self.names_by_address[address]
        self.last_response_at.pop(name, None)
        self.close_idle(name)

    def connect(self, name: str, until: int) -> Coroutine[ProviderConnection]:
        """Open a new connection; raise `ConnectError` if that fails or there is no room for one."""
        address = self.addresses.get(name)
        if address is None:  # gone since the attempt was decided
            raise ConnectError(Outcome.NOT_SENT)
        self.acquire_slot()
        try:
            sock = yield from connect(self.loop, address, self.settings.connect_timeout, until)
        except BaseException:
            self.release_slot()
            raise
        connection = ProviderConnection(self, sock, name, address)
        if not connection.is_usable():  # closed, or data arrived, before a request was sent: nothing ran
            self.close(connection)
            raise ConnectError(Outcome.CONNECT_FAILED)
        return connection

    def close(self, connection: ProviderConnection) -> None:
        """Close a connection that is in use or has been removed from the idle ones."""
        self.release_slot()
        self.loop.close(connection.sock)

    def acquire_slot(self) -> None:
        """Count a connection that is about to be opened; raise `ConnectError` if there is no room for one."""
        if self.open_count >= self.max_connections and not self.evict_idle():
            raise ConnectError(Outcome.NOT_SENT)
        self.open_count += 1

    def release_slot(self) -> None:
        """Count a connection no more: it is closed, or could not be opened. Its slot is released nowhere else."""
        self.open_count -= 1

    def evict_idle(self) -> bool:
        """Close the connection that has been idle for longest, to make room; return whether there was one."""
        connection = next(iter(self.idle), None)
        if connection is not None:
            connection.pool.remove_idle(connection)  # its pool may be that of a service
            connection.pool.close(connection)
        return connection is not None

    def remove_idle(self, connection: ProviderConnection) -> None:
        """Remove a connection from the idle ones."""
        del self.idle[connection]
        idle = self.idle_by_provider[connection.name]
        del idle[connection]
        if not idle:
            del self.idle_by_provider[connection.name]
        self.loop.unwatch(connection.sock.fileno())

    def acquire(self, name: str) -> ProviderConnection | None:
        """Return a usable idle connection; None if there is none.

        It prefers the one used last of those that have been idle for a moment: a provider may close the connection
        right after its response, or send more data, and that may not have arrived yet.
        """
        while idle := self.idle_by_provider.get(name):
            settled_since = self.loop.time - self.options.providers.rest_least
            connection = next((c for c in reversed(idle) if c.idle_since <= settled_since), None) or next(iter(idle))
            self.remove_idle(connection)
            if connection.is_usable():
                return connection
            self.close(connection)
        return None

    def release(self, connection: ProviderConnection) -> None:
        """Make a connection idle after a complete response; close it if the provider is no longer at its address."""
        name = connection.name
        if connection.address != self.addresses.get(name):
            self.close(connection)
            return
        self.last_response_at[name] = connection.idle_since = self.loop.time
        self.idle[connection] = None
        self.idle_by_provider.setdefault(name, {})[connection] = None
        self.loop.watch(connection.sock.fileno(), connection)

    def reap_idle(self) -> Coroutine[None]:
        """Close idle connections before their providers do.

        All may be idle for the same time, so the one idle for longest is due next, and one timer serves all.
        """
        while True:
            expired = self.loop.time - self.max_idle_time()
            oldest = next(iter(self.idle), None)
            while oldest is not None and oldest.idle_since <= expired:
                self.evict_idle()
                oldest = next(iter(self.idle), None)
            yield Wait(None, 0, (self.loop.time if oldest is None else oldest.idle_since) + self.max_idle_time())

    def close_idle(self, name: str) -> None:
        """Close all idle connections to a provider."""
        for connection in list(self.idle_by_provider.get(name, ())):
            self.remove_idle(connection)
            self.close(connection)
