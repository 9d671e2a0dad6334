"""The stand-in discovery of the scale runs: the list of `loftweir.standins.toy`, served to a thousand watches.

The stand-in of `make try` spends a thread on each watch; here all are coroutines of one loop. It answers a watch that
has something new with the whole list (as that stand-in does) or with the entries that changed: the protocol leaves both
to discovery.
"""

from __future__ import annotations

import json
import socket
import time
from multiprocessing.connection import Connection as Pipe
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from loftweir.net.loop import HUNG_UP, MS, READABLE, SECOND, WOKEN, Coroutine, Loop, Task, Wait
from loftweir.net.stream import send
from loftweir.standins.toy import MAX_WATCH_SECONDS, ProviderList

HEAD_END = b"\r\n\r\n"
BACKLOG = 4096
ANSWERED_WITHIN = 30 * SECOND
ZONES = [f"zone-{n}" for n in range(6)]


class Change(NamedTuple):
    """A command: an entry leaves, or is active again."""

    name: str
    status: str
    whole: bool  # how watches are told: by the whole list, or by this entry alone


class Changed(NamedTuple):
    version: int
    at: int  # Unix time, ns
    size: int  # bytes of the answer to a watch


def entry_names(count: int) -> list[str]:
    return [f"s-{n:08x}" for n in range(count)]


def members(count: int) -> ProviderList:
    """As many providers, over six zones; nobody listens there."""
    listed = ProviderList((name, f"10.{n >> 8}.{n & 255}.18:8081") for n, name in enumerate(entry_names(count)))
    for number, entry in enumerate(listed.entries.values()):
        entry["zone"] = ZONES[number % len(ZONES)]
    return listed


class Discovery:
    def __init__(self, loop: Loop, listed: ProviderList, listener: socket.socket, pipe: Pipe) -> None:
        self.loop = loop
        self.listed = listed
        self.listener = listener
        self.pipe = pipe
        self.waiting: dict[Task, None] = {}  # watches that nothing is new for
        self.last: Change | None = None
        self.answers: dict[int, bytes] = {}  # to the present list, by the version that was asked from
        loop.spawn(self._accept())
        loop.spawn(self._obey())

    def _accept(self) -> Coroutine[None]:
        while True:
            yield Wait(self.listener, READABLE, None)
            while True:
                try:
                    sock, _ = self.listener.accept()
                except BlockingIOError:
                    break
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                own: list[Task] = []
                own.append(self.loop.spawn(self._serve(sock, own)))

    def _obey(self) -> Coroutine[None]:
        while True:
            yield Wait(self.pipe, READABLE, None)
            change: Change = self.pipe.recv()
            self.listed.set(change.name, change.status)
            self.last, self.answers = change, {}
            answer = self._answer(self.listed.index - 1)
            at = time.time_ns()
            for task in list(self.waiting):
                task.wake()
            self.pipe.send(Changed(self.listed.index, at, len(answer)))

    def _serve(self, sock: socket.socket, own: list[Task]) -> Coroutine[None]:
        data = bytearray()
        try:
            while True:
                while HEAD_END not in data:
                    yield Wait(sock, READABLE, None)
                    got = sock.recv(65536)
                    if not got:
                        return
                    data += got
                head, _, rest = bytes(data).partition(HEAD_END)
                data = bytearray(rest)
                query = parse_qs(urlsplit(head.split(b" ", 2)[1].decode()).query)
                after = int(query.get("after", ["-1"])[0])
                until = self.loop.now() + min(int(query.get("wait_ms", ["0"])[0]) * MS, MAX_WATCH_SECONDS * SECOND)
                if after == self.listed.index and self.loop.now() < until:
                    self.waiting[own[0]] = None
                    ended = yield Wait(sock, HUNG_UP, until)
                    del self.waiting[own[0]]
                    if ended not in (0, WOKEN):
                        return
                yield from send(self.loop, sock, [self._answer(after)], self.loop.now() + ANSWERED_WITHIN)
        except OSError:
            return
        finally:
            self.loop.close(sock)

    def _answer(self, after: int) -> bytes:
        if after not in self.answers:
            body = json.dumps(self._list(after)).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            self.answers[after] = head.encode() + body
        return self.answers[after]

    def _list(self, after: int) -> dict[str, object]:
        last = self.last
        if last is not None and not last.whole and after == self.listed.index - 1:
            return {"index": self.listed.index, "snapshot": False, "endpoints": [self.listed.entries[last.name]]}
        return self.listed.snapshot(after)


def serve(listener: socket.socket, entries: int, pipe: Pipe) -> None:
    """A process of its own: runs until it is killed."""
    listener.listen(BACKLOG)
    listener.setblocking(False)
    loop = Loop()
    Discovery(loop, members(entries), listener, pipe)
    loop.run()
