"""Where neighbours ask for this site's routes: a listener of its own, few connections, calls that wait for news.

    GET /routes?site=NEIGHBOUR&to=MARK[&after=EPOCH.INDEX]&wait_ms=N

200 with the table, whole or its changes after the mark; with no news, once the wait is over, no changes: that confirms
what the neighbour holds. 403: no neighbour of that name, or not from its addresses; 503: not now, and why, in words.
That is all that proves who asks: the address is to be reached by the neighbours alone.
"""

from __future__ import annotations

import ipaddress
import re
import socket
from collections.abc import Mapping
from urllib.parse import parse_qsl

import h11

from loftweir.config.units import host_and_port
from loftweir.http1.strict import H11Reader
from loftweir.net.loop import MS, READABLE, SECOND, WOKEN, Coroutine, Loop, Task, Wait
from loftweir.net.stream import TimedOut, send
from loftweir.partners.file import Neighbour
from loftweir.partners.shown import Shown
from loftweir.telemetry.catalogue import PARTNERS_LISTENS, PARTNERS_TURNED
from loftweir.telemetry.log import say

PATH = "/routes"
BACKLOG = 64
RESTS_FOR = 30 * SECOND  # a connection between two calls
HEAD_WITHIN = 5 * SECOND  # a call's head, from its first byte on
WRITE_WITHIN = 5 * SECOND
LONGEST_WAIT = 60 * SECOND
NOT_NOW_FOR = SECOND  # that a call is held where it can't be answered, until that is said
TRY_EVERY = 300 * MS  # for the address, that the process before this one may have yet
MARK = re.compile(r"([0-9]{1,19})\.([0-9]{1,19})", re.ASCII)
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 503: "Service Unavailable"}


class Question:
    """What is asked, as far as it can be read; `wrong` says why not."""

    def __init__(self, target: str) -> None:
        path, _, query = target.partition("?")
        fields = dict(parse_qsl(query, keep_blank_values=True))
        self.site = fields.get("site", "").lower()[:64]
        self.to = fields.get("to", "")
        self.after: tuple[int, int] | None = None
        self.wait = 0
        self.wrong = "" if path == PATH else f"only GET {PATH} is here"
        self.status = 404
        if self.wrong:
            return
        self.status = 400
        found = MARK.fullmatch(fields["after"]) if "after" in fields else None
        wait = fields.get("wait_ms", "0")
        if "after" in fields and found is None:
            self.wrong = "after: a mark as EPOCH.INDEX"
        elif not (wait.isascii() and wait.isdigit() and len(wait) < 8):
            self.wrong = "wait_ms: whole milliseconds"
        elif len(self.to) > 128 or not self.to.isprintable():
            self.wrong = "to: plain text of at most 128 characters"
        else:
            self.after = (int(found[1]), int(found[2])) if found else None
            self.wait = min(int(wait) * MS, LONGEST_WAIT)


class Listener:
    """Invariant: `callers` has every connection with its coroutine, the one silent for longest first."""

    def __init__(self, loop: Loop, shown: Shown, most: int) -> None:
        self.loop = loop
        self.shown = shown
        self.most = most
        self.neighbours: Mapping[str, Neighbour] = {}
        self.callers: dict[socket.socket, Task] = {}
        self.waiting: dict[str, set[Task]] = {}  # by neighbour, calls that wait for news
        self.listener: socket.socket | None = None
        self.accepting: Task | None = None

    def listen(self, address: str) -> None:
        self.accepting = self.loop.spawn(self._listen(address))

    def close(self) -> None:
        for task in (self.accepting, *self.callers.values()):
            if task is not None:
                task.cancel()
        if self.listener is not None:
            self.loop.close(self.listener)
            self.listener = None

    def changed(self, to: str) -> None:
        for task in self.waiting.get(to, ()):
            task.wake()

    def _listen(self, address: str) -> Coroutine[None]:
        host, port = host_and_port(address)
        while True:
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((host, port))
                sock.listen(BACKLOG)
                break
            except OSError as error:
                sock.close()
                say(PARTNERS_LISTENS, address=address, why=error.strerror or str(error))
            yield Wait(None, 0, self.loop.now() + TRY_EVERY)
        sock.setblocking(False)
        self.listener = sock
        say(PARTNERS_LISTENS, address=address, why="")
        while True:
            yield Wait(sock, READABLE, None)
            try:
                caller, _ = sock.accept()
            except BlockingIOError:
                continue
            except OSError:  # most often no descriptor is free
                yield Wait(None, 0, self.loop.now() + TRY_EVERY)
                continue
            caller.setblocking(False)
            if len(self.callers) >= self.most:
                next(iter(self.callers.values())).cancel()
            self.callers[caller] = task = self.loop.task(self._serve(caller))
            task.step()  # to its first wait: from then on, what ends it closes the connection

    # ---- one call after another -----------------------------------------------------------------

    def _serve(self, sock: socket.socket) -> Coroutine[None]:
        data: bytes | None = None
        try:
            while True:
                if not data:
                    if not (yield Wait(sock, READABLE, self.loop.now() + RESTS_FOR)):
                        return
                    data = None
                wire = H11Reader(sock, h11.SERVER, data)
                until = self.loop.now() + HEAD_WITHIN
                request = yield from wire.next_event(until)
                if not isinstance(request, h11.Request):
                    return
                whole = isinstance((yield from wire.next_event(until)), h11.EndOfMessage)
                data = wire.rest()
                self.callers[sock] = self.callers.pop(sock)  # it is not silent
                target = request.target.decode("ascii", "replace") if request.method == b"GET" else ""
                answer = yield from self._answer(sock, target, bool(data))
                if answer is None:
                    return
                status, body, kind = answer
                last = not whole or not wire.whole() or status in (400, 404)
                head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n"
                close = "Connection: close\r\n" if last else ""
                yield from send(self.loop, sock, [f"{head}{close}\r\n".encode(), body], self.loop.now() + WRITE_WITHIN)
                if last:
                    sock.shutdown(socket.SHUT_WR)
                    until = self.loop.now() + 100 * MS
                    while (yield Wait(sock, READABLE, until)) and sock.recv(4096):
                        pass
                    return
        except (TimedOut, OSError, h11.RemoteProtocolError):
            pass
        finally:
            self.callers.pop(sock, None)
            self.loop.close(sock)

    def _answer(self, sock: socket.socket, target: str, more: bool) -> Coroutine[tuple[int, bytes, str] | None]:
        """None: the neighbour went away meanwhile."""
        asked = Question(target)
        if asked.wrong:
            return asked.status, f"{asked.wrong}\n".encode(), "text/plain"
        turned = self._turned(asked.site, sock)
        if turned:
            say(PARTNERS_TURNED, site=asked.site if asked.site.isprintable() else "", why=turned)
            return 403, f"{turned}\n".encode(), "text/plain"
        until = self.loop.now() + asked.wait
        not_now_at: int | None = None
        while True:
            now, why = self.loop.now(), self.shown.why_not(asked.site, asked.after)
            offer = self.shown.offers.get(asked.site)
            if not why and offer is not None and (now >= until or offer.news(asked.after)):
                return 200, offer.answer(asked.after, asked.to), "application/json"
            not_now_at = (not_now_at or now) if why else None
            if not_now_at is not None and now >= not_now_at + min(NOT_NOW_FOR, max(asked.wait, NOT_NOW_FOR // 4)):
                say(PARTNERS_TURNED, site=asked.site, why=why)
                return 503, f"not now: {why}\n".encode(), "text/plain"
            events = yield from self._wait(sock, asked.site, until if not_now_at is None else now + 50 * MS, more)
            if events not in (0, WOKEN):
                return None

    def _wait(self, sock: socket.socket, to: str, until: int, more: bool) -> Coroutine[int]:
        """For news, or for the neighbour to go: then it is no use to go on. What has come behind the call can wait."""
        waiting, task = self.waiting.setdefault(to, set()), self.callers[sock]
        waiting.add(task)
        try:
            return (yield Wait(None if more else sock, 0 if more else READABLE, until))
        finally:
            waiting.discard(task)

    def _turned(self, site: str, sock: socket.socket) -> str:
        """Why it is not answered, whatever there is; empty: it is."""
        neighbour = self.neighbours.get(site)
        if neighbour is None:
            return "no neighbour of that name"
        address = ipaddress.ip_address(sock.getpeername()[0])
        if neighbour.asks_from and not any(address in network for network in neighbour.asks_from):
            return f"{address} is none of its addresses"
        return ""

    def know(self, neighbours: Mapping[str, Neighbour]) -> None:
        self.neighbours = neighbours
        for to in [to for to in self.waiting if to not in self.neighbours]:
            self.changed(to)
            del self.waiting[to]
