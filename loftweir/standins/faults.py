"""Links that fail on command: TCP proxies on loopback, each to one address, all on one thread. Standard library only.

A link stands between those who connect and one who listens. `forth` is from the first to the second. What fails, fails
for open connections and new ones alike, until `heal`. A silent way holds what it has, ends and resets included, as a
network that loses packets does while both sides send them again: after `heal` all of it goes on, late and in order.
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

ROOM = 256 * 1024  # bytes held of each way of a connection; more stay in the kernel
MOST = 1024  # connections at a time over all links; more wait to be accepted
READ_SIZE = 64 * 1024
BACKLOG = 128
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing resets
SECOND = 1_000_000_000


class _Way:
    """One direction of a connection. Invariant: `held` is the length of all in `queue`, which is in order of times."""

    def __init__(self, source: socket.socket, sink: socket.socket) -> None:
        self.source, self.sink = source, sink
        self.queue: deque[tuple[int, memoryview]] = deque()  # what is on its way, and from when on it may arrive
        self.held = 0
        self.ended = False  # the source said that nothing more comes
        self.done = False  # ... and the sink was told


class _Connection:
    def __init__(self, link: Link, near: socket.socket, far: socket.socket) -> None:
        self.link, self.near, self.far = link, near, far
        self.up = False  # the far side is connected
        self.ways = (_Way(near, far), _Way(far, near))

    def due(self) -> list[int]:
        """When what is first on each way may arrive."""
        silent = self.link._blocked
        return [way.queue[0][0] for number, way in enumerate(self.ways) if way.queue and not silent[number]]


class Link:
    """One way to an address. All calls may be made by any thread, and hold when they return."""

    def __init__(self, links: Links, to: str, host: str) -> None:
        self.to = to
        self._links = links
        self._blocked = [False, False]  # forth, back
        self._delay = 0
        self._refuses = False
        self._reset_after: list[int | None] = [None, None]  # bytes that pass until all connections are reset
        self._corrupt_after: list[int | None] = [None, None]  # bytes that pass until one is changed
        with socket.create_server((host, 0)) as free:
            port = free.getsockname()[1]
        # By its number, so that the port stays this one's also while it does not listen.
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, port))
        self._listener.setblocking(False)
        self._listener.listen(BACKLOG)
        self.address = f"{host}:{port}"
        self.passed = [0, 0]  # bytes, forth and back

    def heal(self) -> None:
        with self._links.changes(self):
            if self._refuses:
                self._listener.listen(BACKLOG)
            self._blocked, self._delay, self._refuses = [False, False], 0, False
            self._reset_after, self._corrupt_after = [None, None], [None, None]

    def block(self, forward: bool = True, backward: bool = True) -> None:
        """Nothing passes on these ways, and nobody is told; one way alone is open if the other is not named."""
        with self._links.changes(self):
            self._blocked = [forward, backward]

    def refuse(self) -> None:
        """Open connections are reset, and new ones refused."""
        with self._links.changes(self):
            if not self._refuses:
                self._refuses = True
                self._listener.shutdown(socket.SHUT_RD)  # no longer listens, and keeps the port
            self._links.reset(self)

    def delay(self, seconds: float) -> None:
        """All that comes from now on arrives so much later, both ways."""
        with self._links.changes(self):
            self._delay = int(seconds * SECOND)

    def reset_after(self, after: int = 0, backward: bool = False) -> None:
        """Once so many bytes more have passed one way, in the middle of a frame or not, all connections are reset."""
        with self._links.changes(self):
            self._reset_after[backward] = after

    def corrupt(self, after: int = 0, backward: bool = False) -> None:
        """Of what passes one way, one bit of the byte behind so many more is changed."""
        with self._links.changes(self):
            self._corrupt_after[backward] = after


class Links:
    """The thread that runs them. Everything is under `_lock`, but for waiting."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self._host = host
        self._lock = threading.RLock()
        self._poll = select.epoll()
        self._masks: dict[int, int] = {}  # as registered
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._poll.register(self._wake, select.EPOLLIN)
        self._links: dict[int, Link] = {}  # by their listeners' descriptors
        self._connections: dict[int, _Connection] = {}  # by both descriptors
        self._touched: set[_Connection] = set()
        self._late: set[_Connection] = set()  # with something that may not arrive yet
        self._over = False
        self._thread = threading.Thread(target=self._run, name="links", daemon=True)
        self._thread.start()

    def add(self, to: str) -> Link:
        """A new link to an address, whole."""
        with self._lock:
            link = Link(self, to, self._host)
            self._links[link._listener.fileno()] = link
        self._tell()
        return link

    def close(self) -> None:
        self._over = True
        self._tell()
        self._thread.join()
        for connection in set(self._connections.values()):
            self._drop(connection)
        for link in self._links.values():
            link._listener.close()
        self._poll.close()
        os.close(self._wake)

    # ---- for the links ----

    def changes(self, link: Link) -> _Changes:
        return _Changes(self, link)

    def reset(self, link: Link) -> None:
        for connection in [c for c in set(self._connections.values()) if c.link is link]:
            self._drop(connection)

    def _tell(self) -> None:
        os.eventfd_write(self._wake, 1)

    # ---- the thread ----

    def _run(self) -> None:
        while not self._over:
            with self._lock:
                wait = self._settle()
            events = self._poll.poll(wait)
            with self._lock:
                for descriptor, _ in events:
                    self._happened(descriptor)

    def _settle(self) -> float:
        """Moves what can be moved, and says for how many seconds nothing is to be done but by events."""
        now = time.monotonic_ns()
        self._touched |= {c for c in self._late if any(due <= now for due in c.due())}
        while self._touched:
            self._move(self._touched.pop())
        full = len(self._connections) >= 2 * MOST
        for descriptor, link in self._links.items():
            self._watch(descriptor, 0 if full or link._refuses or any(link._blocked) else select.EPOLLIN)
        due = [at for connection in self._late for at in connection.due()]
        return max(0.0, (min(due) - time.monotonic_ns()) / SECOND) if due else -1

    def _watch(self, descriptor: int, mask: int) -> None:
        """A descriptor with nothing to wait for is taken out: its end would be told all the time."""
        before = self._masks.get(descriptor, 0)
        if mask == before:
            return
        if not mask:
            self._poll.unregister(descriptor)
            del self._masks[descriptor]
            return
        (self._poll.modify if before else self._poll.register)(descriptor, mask)
        self._masks[descriptor] = mask

    def _happened(self, descriptor: int) -> None:
        if descriptor == self._wake:
            with suppress(BlockingIOError):
                os.eventfd_read(self._wake)
        elif descriptor in self._links:
            self._accept(self._links[descriptor])
        elif descriptor in self._connections:
            connection = self._connections[descriptor]
            self._touched.add(connection)
            if not connection.up and descriptor == connection.far.fileno():
                connection.up = connection.far.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
                if not connection.up:
                    self._drop(connection)

    def _accept(self, link: Link) -> None:
        try:
            near, _ = link._listener.accept()
        except OSError:
            return
        far = socket.socket()
        connection = _Connection(link, near, far)
        for sock in (near, far):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections[sock.fileno()] = connection
        host, port = link.to.rsplit(":", 1)
        try:
            far.connect((host, int(port)))
        except BlockingIOError:
            pass
        except OSError:
            self._drop(connection)
            return
        self._touched.add(connection)

    def _drop(self, connection: _Connection, reset: bool = True) -> None:
        for sock in (connection.near, connection.far):
            self._watch(sock.fileno(), 0)
            del self._connections[sock.fileno()]
            if reset:
                with suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
        self._touched.discard(connection)
        self._late.discard(connection)

    def _move(self, connection: _Connection) -> None:
        """Reads and writes what can be, then sees to it that it is told of what can't yet."""
        link, masks = connection.link, {connection.near: 0, connection.far: 0}
        if not connection.up:
            masks[connection.far] = select.EPOLLOUT
        late = False
        for number, way in enumerate(connection.ways):
            if not connection.up or way.done or link._blocked[number]:
                continue
            try:
                self._read(link, number, way)
                open_, first = self._write(link, number, way)
                if way.ended and not way.queue:
                    way.sink.shutdown(socket.SHUT_WR)
                    way.done = True
            except OSError:  # reset by one side, or by a cut
                self._drop(connection)
                if link._reset_after[number] == 0:
                    link._reset_after[number] = None
                    self.reset(link)
                return
            late = late or first
            if not open_:
                masks[way.sink] |= select.EPOLLOUT
            if not way.ended and way.held < ROOM:
                masks[way.source] |= select.EPOLLIN
        if all(way.done for way in connection.ways):
            self._drop(connection, reset=False)
            return
        (self._late.add if late else self._late.discard)(connection)
        for sock, mask in masks.items():
            self._watch(sock.fileno(), mask)

    def _read(self, link: Link, number: int, way: _Way) -> None:
        while not way.ended and way.held < ROOM:
            try:
                data = way.source.recv(READ_SIZE)
            except BlockingIOError:
                return
            way.ended = not data
            if data:
                way.queue.append((time.monotonic_ns() + link._delay, memoryview(data)))
                way.held += len(data)

    def _write(self, link: Link, number: int, way: _Way) -> tuple[bool, bool]:
        """Whether the sink took all that it was given, and whether something may not arrive yet. ConnectionError where
        the link is to be cut here."""
        while way.queue:
            due, data = way.queue[0]
            if due > time.monotonic_ns():
                return True, True
            cut, flip = link._reset_after[number], link._corrupt_after[number]
            if cut is not None:
                if cut == 0:
                    raise ConnectionError("cut")
                data = data[:cut]
            if flip is not None and flip < len(data):
                data = memoryview(bytes(data[:flip]) + bytes([data[flip] ^ 0x10]) + bytes(data[flip + 1 :]))
            try:
                sent = way.sink.send(data)
            except BlockingIOError:
                return False, False
            if cut is not None:
                link._reset_after[number] = cut - sent
            if flip is not None:
                link._corrupt_after[number] = flip - sent if sent <= flip else None
            whole = way.queue.popleft()[1]
            if sent < len(whole):
                way.queue.appendleft((due, whole[sent:]))
            way.held -= sent
            link.passed[number] += sent
        if link._reset_after[number] == 0:
            raise ConnectionError("cut")
        return True, False


class _Changes:
    """A change of a link: its connections are looked at anew, and the thread is told."""

    def __init__(self, links: Links, link: Link) -> None:
        self.links, self.link = links, link

    def __enter__(self) -> None:
        self.links._lock.acquire()

    def __exit__(self, *_: object) -> None:
        links = self.links
        links._touched |= {c for c in links._connections.values() if c.link is self.link}
        links._lock.release()
        links._tell()
