"""Network links that fail on command: TCP proxies on loopback, each to one address, all on one thread.

Standard library only. A link is between clients that connect and one server that listens; `forward` is from the clients
to the server. A fault affects open and new connections alike until `heal`. A blocked direction holds back everything,
including ends and resets of connections, as a network does that loses packets while both sides retransmit them: after
`heal` all of it arrives, late and in order.
"""

from __future__ import annotations

import os
import select
import socket
import struct
import threading
import time
from collections import deque
from contextlib import suppress

from loftweir.standins.addresses import Addresses

MAX_BUFFERED = 256 * 1024  # bytes for each direction of a connection; more stay in the kernel
MAX_CONNECTIONS = 1024  # at a time over all links; more wait to be accepted
READ_SIZE = 64 * 1024  # bytes
BACKLOG = 128
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on with 0 s: closing sends a reset
CORRUPTED_BIT = 0x10
SECOND = 1_000_000_000  # ns


class _Direction:
    """One direction of a connection. Invariant: `buffered` is the length of everything in `queue`, which is in order of
    time."""

    def __init__(self, source: socket.socket, sink: socket.socket) -> None:
        self.source, self.sink = source, sink
        self.queue: deque[tuple[int, memoryview]] = deque()  # data, and the earliest time at which it may arrive
        self.buffered = 0
        self.ended = False  # the source has sent everything
        self.done = False  # the end was passed on to the sink


class _Connection:
    """A client's connection and the proxy's own one to the server."""

    def __init__(self, link: Link, client: socket.socket, server: socket.socket) -> None:
        self.link, self.client, self.server = link, client, server
        self.connected = False  # the connection to the server is established
        self.directions = (_Direction(client, server), _Direction(server, client))

    def due(self) -> list[int]:
        """When the first data of each direction that is not blocked may arrive."""
        blocked = self.link._blocked
        return [d.queue[0][0] for number, d in enumerate(self.directions) if d.queue and not blocked[number]]


class Link:
    """A proxy to one address. All methods may be called from any thread and have taken effect when they return."""

    def __init__(self, links: Links, target: str, address: str) -> None:
        self.target = target
        self._links = links
        self._blocked = [False, False]  # forward, backward
        self._delay = 0  # ns
        self._refuses = False
        self._reset_after: list[int | None] = [None, None]  # bytes that pass until all connections are reset
        self._corrupt_after: list[int | None] = [None, None]  # bytes that pass until one is changed
        host, port = address.split(":")
        # Bound by number, so that the port stays reserved while the link does not listen.
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, int(port)))
        self._listener.setblocking(False)
        self._listener.listen(BACKLOG)
        self.address = address
        self.passed = [0, 0]  # bytes forward and backward

    def heal(self) -> None:
        """Ends all faults of the link."""
        with self._links.changes(self):
            if self._refuses:
                self._listener.listen(BACKLOG)
            self._blocked, self._delay, self._refuses = [False, False], 0, False
            self._reset_after, self._corrupt_after = [None, None], [None, None]

    def block(self, forward: bool = True, backward: bool = True) -> None:
        """Holds back everything in these directions, without notice to either side. A direction that is False is
        open."""
        with self._links.changes(self):
            self._blocked = [forward, backward]

    def refuse(self) -> None:
        """Resets open connections and refuses new ones."""
        with self._links.changes(self):
            if not self._refuses:
                self._refuses = True
                self._listener.shutdown(socket.SHUT_RD)  # stops listening and keeps the port
            self._links.reset(self)

    def delay(self, seconds: float) -> None:
        """Delays everything that is sent from now on by this time in each direction."""
        with self._links.changes(self):
            self._delay = int(seconds * SECOND)

    def reset_after(self, after: int = 0, backward: bool = False) -> None:
        """Resets all connections once this many more bytes have passed in one direction, even within a frame."""
        with self._links.changes(self):
            self._reset_after[backward] = after

    def corrupt(self, after: int = 0, backward: bool = False) -> None:
        """Changes one bit of the byte that follows this many more bytes in one direction."""
        with self._links.changes(self):
            self._corrupt_after[backward] = after


class Links:
    """All links and the thread that runs them. Everything happens under `_lock`, except waiting."""

    def __init__(self, addresses: Addresses | None = None) -> None:
        """`addresses`: of the links; None: of a host of their own."""
        self._addresses = addresses or Addresses()
        self._lock = threading.RLock()
        self._poll = select.epoll()
        self._masks: dict[int, int] = {}  # registered events by descriptor
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._poll.register(self._wake, select.EPOLLIN)
        self._links: dict[int, Link] = {}  # by descriptor of the listener
        self._connections: dict[int, _Connection] = {}  # by both descriptors
        self._ready: set[_Connection] = set()  # connections that may be able to pass data
        self._delayed: set[_Connection] = set()  # connections with data that may not arrive yet
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="links", daemon=True)
        self._thread.start()

    def add(self, target: str) -> Link:
        """Adds a link without faults to an address."""
        with self._lock:
            link = Link(self, target, self._addresses.unused())
            self._links[link._listener.fileno()] = link
        self._wake_thread()
        return link

    def close(self) -> None:
        """Stops the thread and resets all connections."""
        self._closing = True
        self._wake_thread()
        self._thread.join()
        for connection in set(self._connections.values()):
            self._drop(connection)
        for link in self._links.values():
            link._listener.close()
        self._poll.close()
        os.close(self._wake)

    # ---- for the links ----

    def changes(self, link: Link) -> _LinkChange:
        """A context in which a link's faults may be changed."""
        return _LinkChange(self, link)

    def reset(self, link: Link) -> None:
        """Resets all connections of a link."""
        for connection in [c for c in set(self._connections.values()) if c.link is link]:
            self._drop(connection)

    def _wake_thread(self) -> None:
        os.eventfd_write(self._wake, 1)

    # ---- the thread ----

    def _run(self) -> None:
        while not self._closing:
            with self._lock:
                timeout = self._pass_ready_data()
            events = self._poll.poll(timeout)
            with self._lock:
                for descriptor, _ in events:
                    self._handle_event(descriptor)

    def _pass_ready_data(self) -> float:
        """Passes all data that can be passed; returns the seconds until delayed data is due, or -1 if there is none."""
        now = time.monotonic_ns()
        self._ready |= {c for c in self._delayed if any(due <= now for due in c.due())}
        while self._ready:
            self._pass_data(self._ready.pop())
        full = len(self._connections) >= 2 * MAX_CONNECTIONS
        for descriptor, link in self._links.items():
            self._watch(descriptor, 0 if full or link._refuses or any(link._blocked) else select.EPOLLIN)
        due = [at for connection in self._delayed for at in connection.due()]
        return max(0.0, (min(due) - time.monotonic_ns()) / SECOND) if due else -1

    def _watch(self, descriptor: int, mask: int) -> None:
        """Registers the events to wait for. A descriptor without any is unregistered, since epoll would report its end
        all the time."""
        before = self._masks.get(descriptor, 0)
        if mask == before:
            return
        if not mask:
            self._poll.unregister(descriptor)
            del self._masks[descriptor]
            return
        (self._poll.modify if before else self._poll.register)(descriptor, mask)
        self._masks[descriptor] = mask

    def _handle_event(self, descriptor: int) -> None:
        if descriptor == self._wake:
            with suppress(BlockingIOError):
                os.eventfd_read(self._wake)
        elif descriptor in self._links:
            self._accept(self._links[descriptor])
        elif descriptor in self._connections:
            connection = self._connections[descriptor]
            self._ready.add(connection)
            if not connection.connected and descriptor == connection.server.fileno():
                connection.connected = connection.server.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
                if not connection.connected:
                    self._drop(connection)

    def _accept(self, link: Link) -> None:
        try:
            client, _ = link._listener.accept()
        except OSError:
            return
        server = socket.socket()
        connection = _Connection(link, client, server)
        for sock in (client, server):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections[sock.fileno()] = connection
        host, port = link.target.rsplit(":", 1)
        try:
            server.connect((host, int(port)))
        except BlockingIOError:
            pass
        except OSError:
            self._drop(connection)
            return
        self._ready.add(connection)

    def _drop(self, connection: _Connection, reset: bool = True) -> None:
        for sock in (connection.client, connection.server):
            self._watch(sock.fileno(), 0)
            del self._connections[sock.fileno()]
            if reset:
                with suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()
        self._ready.discard(connection)
        self._delayed.discard(connection)

    def _pass_data(self, connection: _Connection) -> None:
        """Reads and writes what is possible now, and registers the events for what is not."""
        link, masks = connection.link, {connection.client: 0, connection.server: 0}
        if not connection.connected:
            masks[connection.server] = select.EPOLLOUT
        has_delayed = False
        for number, direction in enumerate(connection.directions):
            if not connection.connected or direction.done or link._blocked[number]:
                continue
            try:
                self._read(link, direction)
                writable, delayed = self._write(link, number, direction)
                if direction.ended and not direction.queue:
                    direction.sink.shutdown(socket.SHUT_WR)
                    direction.done = True
            except OSError:  # reset by one side, or by `Link.reset_after`
                self._drop(connection)
                if link._reset_after[number] == 0:
                    link._reset_after[number] = None
                    self.reset(link)
                return
            has_delayed = has_delayed or delayed
            if not writable:
                masks[direction.sink] |= select.EPOLLOUT
            if not direction.ended and direction.buffered < MAX_BUFFERED:
                masks[direction.source] |= select.EPOLLIN
        if all(direction.done for direction in connection.directions):
            self._drop(connection, reset=False)
            return
        (self._delayed.add if has_delayed else self._delayed.discard)(connection)
        for sock, mask in masks.items():
            self._watch(sock.fileno(), mask)

    def _read(self, link: Link, direction: _Direction) -> None:
        while not direction.ended and direction.buffered < MAX_BUFFERED:
            try:
                data = direction.source.recv(READ_SIZE)
            except BlockingIOError:
                return
            direction.ended = not data
            if data:
                direction.queue.append((time.monotonic_ns() + link._delay, memoryview(data)))
                direction.buffered += len(data)

    def _write(self, link: Link, number: int, direction: _Direction) -> tuple[bool, bool]:
        """Writes the data that is due. Returns whether the sink took all of it, and whether there is delayed data.
        Raises ConnectionError where the link's connections have to be reset."""
        while direction.queue:
            due, data = direction.queue[0]
            if due > time.monotonic_ns():
                return True, True
            reset_after, corrupt_after = link._reset_after[number], link._corrupt_after[number]
            if reset_after is not None:
                if reset_after == 0:
                    raise ConnectionError("reset by the link")
                data = data[:reset_after]
            if corrupt_after is not None and corrupt_after < len(data):
                changed = bytes([data[corrupt_after] ^ CORRUPTED_BIT])
                data = memoryview(bytes(data[:corrupt_after]) + changed + bytes(data[corrupt_after + 1 :]))
            try:
                sent = direction.sink.send(data)
            except BlockingIOError:
                return False, False
            if reset_after is not None:
                link._reset_after[number] = reset_after - sent
            if corrupt_after is not None:
                link._corrupt_after[number] = corrupt_after - sent if sent <= corrupt_after else None
            whole = direction.queue.popleft()[1]
            if sent < len(whole):
                direction.queue.appendleft((due, whole[sent:]))
            direction.buffered -= sent
            link.passed[number] += sent
        if link._reset_after[number] == 0:
            raise ConnectionError("reset by the link")
        return True, False


class _LinkChange:
    """Holds the lock while a link's faults are changed, then has the thread look at all of its connections."""

    def __init__(self, links: Links, link: Link) -> None:
        self.links, self.link = links, link

    def __enter__(self) -> None:
        self.links._lock.acquire()

    def __exit__(self, *_: object) -> None:
        links = self.links
        links._ready |= {c for c in links._connections.values() if c.link is self.link}
        links._lock.release()
        links._wake_thread()
