"""The listener at which neighbours request this site's routes. It accepts few connections, and requests may wait for
changes.

    GET /routes?site=NEIGHBOUR&to=NONCE[&after=EPOCH.INDEX]&wait_ms=N

Responses: 200 with the whole table or the changes after a position. If there is none when the wait is over, the
response has no changes and confirms the neighbour's table. 403: no neighbour has this name, or the request does not
come from its addresses. 503: the request can't be answered now; the body has the reason. A neighbour is identified by
its name and address only, so the listener should be reachable for neighbours alone.
"""

from __future__ import annotations

import ipaddress
import re
import socket
from collections.abc import Mapping
from urllib.parse import parse_qsl

import h11

from loftweir.config.units import split_host_port
from loftweir.http1.strict import H11Reader, fixed
from loftweir.net.loop import MS, READABLE, SECOND, WOKEN, Coroutine, Loop, Task, Wait
from loftweir.net.standing import StandingTask
from loftweir.net.stream import TimedOut, send
from loftweir.partners.file import Neighbour
from loftweir.partners.shown import NeighbourOffers
from loftweir.telemetry.catalogue import PARTNERS_LISTENS, PARTNERS_TURNED_AWAY
from loftweir.telemetry.log import emit

PATH = "/routes"
BACKLOG = 64
IDLE_TIMEOUT = 30 * SECOND  # that a connection may be idle between two requests
HEAD_TIMEOUT = 5 * SECOND  # for the head of a request, from its first byte on
WRITE_TIMEOUT = 5 * SECOND
LINGER = 100 * MS  # for the client to close the connection after an error
MAX_WAIT = 60 * SECOND
UNAVAILABLE_WAIT = SECOND  # that a request waits for the table to become available before it gets a 503
RECHECK_INTERVAL = 50 * MS  # while the table is not available
RETRY_INTERVAL = 300 * MS  # between attempts to bind the address, which the previous process may still have
MAX_NONCE_LENGTH = 128  # characters
POSITION = re.compile(r"([0-9]{1,19})\.([0-9]{1,19})", re.ASCII)
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 503: "Service Unavailable"}


class RouteRequest:
    """The parameters of a request. If they are not valid, `error` is the reason and `status` the status of the
    response."""

    def __init__(self, target: str) -> None:
        path, _, query = target.partition("?")
        fields = dict(parse_qsl(query, keep_blank_values=True))
        self.site = fields.get("site", "").lower()[:64]
        self.to = fields.get("to", "")
        self.after: tuple[int, int] | None = None
        self.wait = 0
        self.error = "" if path == PATH else f"only GET {PATH} is here"
        self.status = 404
        if self.error:
            return
        self.status = 400
        position = POSITION.fullmatch(fields["after"]) if "after" in fields else None
        wait = fields.get("wait_ms", "0")
        if "after" in fields and position is None:
            self.error = "after: a mark as EPOCH.INDEX"
        elif not (wait.isascii() and wait.isdigit() and len(wait) < 8):
            self.error = "wait_ms: whole milliseconds"
        elif len(self.to) > MAX_NONCE_LENGTH or not self.to.isprintable():
            self.error = "to: plain text of at most 128 characters"
        else:
            self.after = (int(position[1]), int(position[2])) if position else None
            self.wait = min(int(wait) * MS, MAX_WAIT)


class Listener:
    """Accepts connections of neighbours and answers their requests.

    Invariant: `connections` has every connection with its coroutine, in the order of the last request.
    """

    def __init__(self, loop: Loop, offers: NeighbourOffers, max_connections: int) -> None:
        self.loop = loop
        self.offers = offers
        self.max_connections = max_connections
        self.neighbours: Mapping[str, Neighbour] = {}
        self.connections: dict[socket.socket, Task] = {}
        self.waiting: dict[str, set[Task]] = {}  # by neighbour: requests that wait for changes
        self.listener: socket.socket | None = None
        self.accepting: StandingTask | None = None

    def listen(self, address: str) -> None:
        """Starts to listen at host:port."""
        self.accepting = StandingTask(self.loop, lambda: self._listen(address))

    def close(self) -> None:
        """Closes the listener and all connections."""
        for task in (self.accepting, *self.connections.values()):
            if task is not None:
                task.cancel()
        if self.listener is not None:
            self.loop.close(self.listener)
            self.listener = None

    def wake_waiting(self, to: str) -> None:
        """Wakes the waiting requests of a neighbour whose table changed."""
        for task in self.waiting.get(to, ()):
            task.wake()

    def _listen(self, address: str) -> Coroutine[None]:
        host, port = split_host_port(address)
        while True:
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((host, port))
                sock.listen(BACKLOG)
                break
            except OSError as error:
                sock.close()
                emit(PARTNERS_LISTENS, address=address, why=error.strerror or str(error))
            yield Wait(None, 0, self.loop.now() + RETRY_INTERVAL)
        sock.setblocking(False)
        self.listener = sock
        emit(PARTNERS_LISTENS, address=address, why="")
        try:
            yield from self._accept(sock)
        finally:
            self.loop.close(sock)

    def _accept(self, listener: socket.socket) -> Coroutine[None]:
        while True:
            yield Wait(listener, READABLE, None)
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                continue
            except OSError:  # usually no descriptor is free
                yield Wait(None, 0, self.loop.now() + RETRY_INTERVAL)
                continue
            connection.setblocking(False)
            if len(self.connections) >= self.max_connections:
                next(iter(self.connections.values())).cancel()
            self.connections[connection] = task = self.loop.task(self._serve(connection))
            task.step()  # runs to its first wait; from then on, whatever ends it closes the connection

    # ---- requests of one connection --------------------------------------------------------------

    def _serve(self, sock: socket.socket) -> Coroutine[None]:
        data: bytes | None = None
        try:
            while True:
                if not data:
                    if not (yield Wait(sock, READABLE, self.loop.now() + IDLE_TIMEOUT)):
                        return
                    data = None
                wire = H11Reader(sock, h11.SERVER, data)
                until = self.loop.now() + HEAD_TIMEOUT
                request = yield from wire.next_event(fixed(until))
                if not isinstance(request, h11.Request):
                    return
                complete = isinstance((yield from wire.next_event(fixed(until))), h11.EndOfMessage)
                data = wire.rest()
                self.connections[sock] = self.connections.pop(sock)  # moves to the end: the most recently active one
                target = request.target.decode("ascii", "replace") if request.method == b"GET" else ""
                response = yield from self._respond(sock, target, bool(data))
                if response is None:
                    return
                status, body, kind = response
                closes = not complete or not wire.whole() or status in (400, 404)
                head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n"
                close = "Connection: close\r\n" if closes else ""
                yield from send(self.loop, sock, [f"{head}{close}\r\n".encode(), body], self.loop.now() + WRITE_TIMEOUT)
                if closes:
                    sock.shutdown(socket.SHUT_WR)
                    until = self.loop.now() + LINGER
                    while (yield Wait(sock, READABLE, until)) and sock.recv(4096):
                        pass
                    return
        except (TimedOut, OSError, h11.RemoteProtocolError):
            pass
        finally:
            self.connections.pop(sock, None)
            self.loop.close(sock)

    def _respond(
        self, sock: socket.socket, target: str, has_further_request: bool
    ) -> Coroutine[tuple[int, bytes, str] | None]:
        """The status, body and content type of a response; None if the neighbour disconnected."""
        request = RouteRequest(target)
        if request.error:
            return request.status, f"{request.error}\n".encode(), "text/plain"
        until = self.loop.now() + request.wait
        unavailable_since: int | None = None
        while True:
            rejection = self._rejection_reason(request.site, sock)  # a reload may remove a neighbour that waits
            if rejection:
                emit(PARTNERS_TURNED_AWAY, site=request.site if request.site.isprintable() else "", why=rejection)
                return 403, f"{rejection}\n".encode(), "text/plain"
            now, reason = self.loop.now(), self.offers.rejection_reason(request.site, request.after)
            offer = self.offers.offers.get(request.site)
            if not reason and offer is not None and (now >= until or offer.has_changes(request.after)):
                return 200, offer.response(request.after, request.to), "application/json"
            unavailable_since = (unavailable_since or now) if reason else None
            if unavailable_since is not None and now >= unavailable_since + min(
                UNAVAILABLE_WAIT, max(request.wait, UNAVAILABLE_WAIT // 4)
            ):
                emit(PARTNERS_TURNED_AWAY, site=request.site, why=reason)
                return 503, f"not now: {reason}\n".encode(), "text/plain"
            events = yield from self._wait_for_change(
                sock, request.site, until if unavailable_since is None else now + RECHECK_INTERVAL, has_further_request
            )
            if events not in (0, WOKEN):
                return None

    def _wait_for_change(self, sock: socket.socket, to: str, until: int, has_further_request: bool) -> Coroutine[int]:
        """Waits for changes, or for the neighbour to disconnect. A further request that was already received stays in
        the buffer."""
        waiting, task = self.waiting.setdefault(to, set()), self.connections[sock]
        waiting.add(task)
        try:
            return (yield Wait(None if has_further_request else sock, 0 if has_further_request else READABLE, until))
        finally:
            waiting.discard(task)

    def _rejection_reason(self, site: str, sock: socket.socket) -> str:
        """The reason for a 403; empty if the neighbour may ask."""
        neighbour = self.neighbours.get(site)
        if neighbour is None:
            return "no neighbour of that name"
        address = ipaddress.ip_address(sock.getpeername()[0])
        if neighbour.asks_from and not any(address in network for network in neighbour.asks_from):
            return f"{address} is none of its addresses"
        return ""

    def set_neighbours(self, neighbours: Mapping[str, Neighbour]) -> None:
        """Replaces the configured neighbours."""
        self.neighbours = neighbours
        for to in [to for to in self.waiting if to not in self.neighbours]:
            self.wake_waiting(to)
            del self.waiting[to]
