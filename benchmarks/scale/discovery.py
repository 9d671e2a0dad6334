"""The stub discovery of the scale runs: it serves the list of `loftweir.standins.toy` to a thousand watches.

The stub of `make try` spends a thread on each watch; here all watches are coroutines of one loop. After a change it
answers a watch with the whole list (as that stub does) or with the changed entry alone: the protocol allows both.
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
BACKLOG = 4096  # connections that may wait to be accepted
WRITE_TIMEOUT = 30 * SECOND
ZONES = [f"zone-{n}" for n in range(6)]


class EntryChange(NamedTuple):
    """A command to the stub: sets the status of one entry."""

    name: str
    status: str
    whole: bool  # watches get the whole list; otherwise this entry alone


class ListVersion(NamedTuple):
    """The answer to a command: the version of the list that has the change."""

    version: int
    at: int  # Unix time, ns
    size: int  # bytes of the response to a watch


def entry_names(count: int) -> list[str]:
    """The names of the entries of a list of this size."""
    return [f"s-{n:08x}" for n in range(count)]


def members(count: int) -> ProviderList:
    """A list of providers in six zones; nothing listens at their addresses."""
    listed = ProviderList((name, f"10.{n >> 8}.{n & 255}.18:8081") for n, name in enumerate(entry_names(count)))
    for number, entry in enumerate(listed.entries.values()):
        entry["zone"] = ZONES[number % len(ZONES)]
    return listed


class Discovery:
    """Serves the list on a listener, and takes commands from a pipe."""

    def __init__(self, loop: Loop, listed: ProviderList, listener: socket.socket, pipe: Pipe) -> None:
        self.loop = loop
        self.listed = listed
        self.listener = listener
        self.pipe = pipe
        self.waiting: dict[Task, None] = {}  # watches that have the present version
        self.last: EntryChange | None = None
        self.answers: dict[int, bytes] = {}  # responses with the present list, by the version that the watch has
        loop.spawn(self._accept())
        loop.spawn(self._apply_changes())

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
                own_task: list[Task] = []
                own_task.append(self.loop.spawn(self._serve(sock, own_task)))

    def _apply_changes(self) -> Coroutine[None]:
        while True:
            yield Wait(self.pipe, READABLE, None)
            change: EntryChange = self.pipe.recv()
            self.listed.set_status(change.name, change.status)
            self.last, self.answers = change, {}
            answer = self._answer(self.listed.index - 1)
            at = time.time_ns()
            for task in list(self.waiting):
                task.wake()
            self.pipe.send(ListVersion(self.listed.index, at, len(answer)))

    def _serve(self, sock: socket.socket, own_task: list[Task]) -> Coroutine[None]:
        data = bytearray()
        try:
            while True:
                while HEAD_END not in data:
                    yield Wait(sock, READABLE, None)
                    received = sock.recv(65536)
                    if not received:
                        return
                    data += received
                head, _, rest = bytes(data).partition(HEAD_END)
                data = bytearray(rest)
                query = parse_qs(urlsplit(head.split(b" ", 2)[1].decode()).query)
                after = int(query.get("after", ["-1"])[0])
                until = self.loop.now() + min(int(query.get("wait_ms", ["0"])[0]) * MS, MAX_WATCH_SECONDS * SECOND)
                if after == self.listed.index and self.loop.now() < until:
                    self.waiting[own_task[0]] = None
                    ended = yield Wait(sock, HUNG_UP, until)
                    del self.waiting[own_task[0]]
                    if ended not in (0, WOKEN):
                        return
                yield from send(self.loop, sock, [self._answer(after)], self.loop.now() + WRITE_TIMEOUT)
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
    """The body of a process of its own; it runs until it is killed."""
    listener.listen(BACKLOG)
    listener.setblocking(False)
    loop = Loop()
    Discovery(loop, members(entries), listener, pipe)
    loop.run()
