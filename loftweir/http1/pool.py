"""The connections to providers: their number, their providers' addresses, the idle ones, and when these are closed."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from loftweir.config.model import Options
from loftweir.interface import Outcome, Settings
from loftweir.net.loop import READABLE, Coroutine, Loop, Wait
from loftweir.net.stream import ConnectError, connect


class ConnectionSlot:
    """A connection's place in all limits that it counts against. It is released once, however often that is asked."""

    __slots__ = ("_release",)

    def __init__(self, release: Callable[[], None]) -> None:
        self._release: Callable[[], None] | None = release

    def release(self) -> None:
        """Count the connection no more: it is closed, or could not be opened."""
        release, self._release = self._release, None
        if release is not None:
            release()


class ProviderConnection:
    """A connection to a provider.

    While it is idle it watches itself: whatever arrives then, a close or unexpected data, ends it.
    """

    __slots__ = ("pool", "sock", "name", "address", "started_at", "slot", "idle_since", "mask")

    def __init__(
        self, pool: Pool, sock: socket.socket, name: str, address: str, slot: ConnectionSlot, started_at: int = 0
    ) -> None:
        """`started_at`: when the provider's process had started, as the list told before the connection was opened."""
        self.pool = pool
        self.sock = sock
        self.name = name
        self.address = address
        self.started_at = started_at
        self.slot = slot
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


class Connections:
    """All connections of the sidecar to providers, of whichever pool.

    Invariants: `open_count` counts those in use and the idle ones; `idle` has the latter, the longest idle first.
    """

    def __init__(self, loop: Loop, settings: Settings, options: Options, max_connections: int) -> None:
        self.loop = loop
        self.settings = settings
        self.options = options  # replaced whole by a reload
        self.max_connections = max_connections  # in use and idle
        self.open_count = 0
        self.idle: dict[ProviderConnection, None] = {}

    def acquire_slot(self, pool: Pool) -> ConnectionSlot:
        """Count a connection that is about to be opened; raise `ConnectError` if there is no room for one."""
        if self.open_count >= self.max_connections and not self.evict_idle():
            raise ConnectError(Outcome.NOT_SENT)
        self.open_count += 1
        return ConnectionSlot(self._release_slot)

    def _release_slot(self) -> None:
        self.open_count -= 1

    def evict_idle(self) -> bool:
        """Close the connection that has been idle for longest, to make room; return whether there was one."""
        connection = next(iter(self.idle), None)
        if connection is not None:
            connection.pool.remove_idle(connection)
            connection.pool.close(connection)
        return connection is not None

    def max_idle_time(self) -> int:
        """Return how long a connection may be idle.

        The provider counts the idle time from its own last byte. The sidecar closes a connection earlier by a margin,
        so that no request is written to one that the provider is closing.
        """
        conn_idle = self.settings.conn_idle
        return max(conn_idle // 2, conn_idle - self.options.providers.idle_margin)

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


class SlotSource(Protocol):
    """What a pool's connections are counted by."""

    def acquire_slot(self, pool: Pool) -> ConnectionSlot:
        """Count a connection that is about to be opened; raise `ConnectError` if there is no room for one."""


class Pool:
    """The addresses of some providers, and the idle connections to them.

    Invariants: `idle_by_provider` has the pool's idle connections by provider, the one used last at the end; they are
    also in `idle`, which is that of all pools. `names_by_address` has each address of `addresses` once, so that a whole
    list is applied in time proportional to its length.
    """

    def __init__(self, connections: Connections, slots: SlotSource | None = None) -> None:
        """`slots`: what its connections are counted by, if there are further limits than that of all connections."""
        self.connections = connections
        self.loop = connections.loop
        self.idle = connections.idle
        self.slots = slots or connections
        self.addresses: dict[str, str] = {}  # by name: of the providers to which requests may be sent
        self.names_by_address: dict[str, str] = {}
        self.started_at: dict[str, int] = {}  # by name: when the provider's process started, as listed
        self.last_response_at: dict[str, int] = {}  # by name: when its last complete response was read
        self.idle_by_provider: dict[str, dict[ProviderConnection, None]] = {}

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.connections.settings

    @property
    def options(self) -> Options:
        """The options in force."""
        return self.connections.options

    def set_address(self, name: str, address: str, started_at: int = 0) -> None:
        """Set a provider's address, and when its process started, as listed.

        Connections to another address or an earlier start lead to a process that is gone, and so do those of another
        provider that had this address. All of them are closed.
        """
        if self.started_at.get(name, started_at) != started_at:
            self.close_idle(name)
        self.started_at[name] = started_at
        other = self.names_by_address.get(address)
        if other == name:
            return
        if other is not None:
            self.remove_provider(other)
        self.remove_provider(name)
        self.started_at[name] = started_at
        self.addresses[name] = address
        self.names_by_address[address] = name

    def remove_provider(self, name: str) -> None:
        """Remove a provider that is gone or drains: no new request is sent to it."""
        address = self.addresses.pop(name, None)
        if address is not None:
            del self.names_by_address[address]
            self.started_at.pop(name, None)
        self.last_response_at.pop(name, None)
        self.close_idle(name)

    def connect(self, name: str, until: int) -> Coroutine[ProviderConnection]:
        """Open a new connection; raise `ConnectError` if that fails or there is no room for one."""
        address = self.addresses.get(name)
        if address is None:  # gone since the attempt was decided
            raise ConnectError(Outcome.NOT_SENT)
        started_at = self.started_at.get(name, 0)
        slot = self.slots.acquire_slot(self)
        try:
            sock = yield from connect(self.loop, address, self.settings.connect_timeout, until)
        except BaseException:
            slot.release()
            raise
        connection = ProviderConnection(self, sock, name, address, slot, started_at)
        if not connection.is_usable():  # closed, or data arrived, before a request was sent: nothing ran
            self.close(connection)
            raise ConnectError(Outcome.CONNECT_FAILED)
        return connection

    def close(self, connection: ProviderConnection) -> None:
        """Close a connection that is in use or has been removed from the idle ones."""
        connection.slot.release()
        self.loop.close(connection.sock)

    def is_current(self, connection: ProviderConnection) -> bool:
        """Whether a connection leads to its provider's process as listed now."""
        name = connection.name
        at_address = connection.address == self.addresses.get(name)
        return at_address and connection.started_at == self.started_at.get(name, 0)

    def evict_oldest(self) -> bool:
        """Close this pool's connection that has been idle for longest; return whether there was one."""
        idle = (connection for connections in self.idle_by_provider.values() for connection in connections)
        oldest = min(idle, key=lambda connection: connection.idle_since, default=None)
        if oldest is not None:
            self.remove_idle(oldest)
            self.close(oldest)
        return oldest is not None

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
        """Make a connection idle after a complete response; close it if it leads to another process than the listed."""
        name = connection.name
        if not self.is_current(connection):
            self.close(connection)
            return
        self.last_response_at[name] = connection.idle_since = self.loop.time
        self.idle[connection] = None
        self.idle_by_provider.setdefault(name, {})[connection] = None
        self.loop.watch(connection.sock.fileno(), connection)

    def close_idle(self, name: str) -> None:
        """Close all idle connections to a provider."""
        for connection in list(self.idle_by_provider.get(name, ())):
            self.remove_idle(connection)
            self.close(connection)
