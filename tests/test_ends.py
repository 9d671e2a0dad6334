"""Ends: connections to clients that are ended in the moment in which bytes arrive."""

import select
import socket
import threading
import time
from collections.abc import Callable
from types import SimpleNamespace

import pytest
from scene import MS

from loftweir.config.model import Limits, Options
from loftweir.core.life import Life
from loftweir.http1.front import Front, Stage
from loftweir.net.loop import SECOND, Loop, Wait
from loftweir.net.stream import Body, Room

REQUEST = b"GET /api HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Kind: status-read\r\n\r\n"
LONG = bytes(range(256)) * 2048  # more than a slow client's machine takes


# ---- the loop's order driven by hand: bytes arrive between the look and what follows it ----------


class Crossed(socket.socket):
    """A client's connection on which `cross` happens right before the first of the calls in `at`."""

    def __init__(self, sock: socket.socket, at: tuple[str, ...], cross: Callable[[], None]) -> None:
        super().__init__(fileno=sock.detach())
        self.at, self.cross = at, cross

    def _now(self, name: str) -> None:
        if name in self.at:
            self.at = ()
            self.cross()

    def shutdown(self, how: int) -> None:
        self._now("shutdown")
        super().shutdown(how)

    def close(self) -> None:
        self._now("close")
        super().close()


def connected(rcvbuf: int = 0) -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.socket()
        if rcvbuf:
            far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        far.connect(listener.getsockname())
        return listener.accept()[0], far


class Scenery:
    """A front on a loop, with one client whose machine takes little at a time where it is slow."""

    def __init__(self, at: tuple[str, ...], slow: bool, **limits: int) -> None:
        self.loop = Loop()
        host = SimpleNamespace(loop=self.loop, invocations={})
        options = Options(limits=Limits(**limits))
        self.front = Front(self.loop, host, Life(), options, 64, 1 << 20)
        near, self.peer = connected(4096 if slow else 0)
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 << 20)
        self.peer.settimeout(5)
        self.near = Crossed(near, at, self.cross)
        self.front._welcome(self.near)
        (self.client,) = self.front.clients

    def cross(self) -> None:
        self.peer.send(REQUEST % b"crossing")
        assert select.select([self.near], [], [], 5)[0]

    def rests(self, answer: bytes) -> None:
        """Its answer is written, and it rests."""
        self.front.row(self.client).pop(self.client, None)
        assert self.near.send(answer) == len(answer)
        self.client.stage = Stage.IDLE
        self.front.rests(self.client)

    def read(self, pause: float = 0.0) -> bytes | str:
        """What the client reads, by the loop's turns, until the connection's end or its reset."""
        got: list[bytes] = []
        why: list[str] = []

        def reads() -> None:
            try:
                time.sleep(pause)
                while part := self.peer.recv(65536):
                    got.append(part)
            except OSError as error:
                why.append(type(error).__name__)
            self.peer.close()

        reader = threading.Thread(target=reads)
        reader.start()

        def until_read():
            while reader.is_alive() or self.front.clients:
                yield Wait(None, 0, self.loop.now() + MS)
            self.loop.stopped = True

        self.loop.spawn(until_read())
        self.loop.run()
        reader.join()
        return why[0] + f" after {sum(map(len, got))}" if why else b"".join(got)


def too_long(scenery):
    scenery.client.since -= 60 * SECOND
    scenery.loop.spawn(scenery.front.keep())


def too_many(scenery):
    scenery.front.most_idle = 1
    another, far = connected()
    scenery.front._welcome(another)
    other = next(c for c in scenery.front.clients if c is not scenery.client)
    scenery.loop.after(0, far.close)
    scenery.front.silent.pop(other)
    scenery.front.loop.unwatch(other.sock.fileno())
    other.stage = Stage.IDLE
    scenery.front.rests(other)


def sent_away(scenery):
    scenery.front.send_away(half=False)


def room_made(scenery):
    assert scenery.front.spare()


@pytest.mark.parametrize("at", [("shutdown", "close"), ("close",)], ids=["first step", "close"])
@pytest.mark.parametrize("ended", [too_long, too_many, sent_away, room_made])
def test_a_request_between_the_look_and_the_end_leaves_the_client_its_answer_and_a_plain_end(ended, at):
    scenery = Scenery(at, slow=False)
    scenery.rests(b"its answer")
    ended(scenery)
    assert scenery.read() == b"its answer"
    assert scenery.near.at == (), "it has crossed"
    assert not scenery.front.clients and not scenery.front.ending


@pytest.mark.parametrize("ended", [too_long, too_many, sent_away])
def test_an_answer_still_on_its_way_to_a_slow_client_is_not_lost_to_a_request_that_crosses_the_end(ended):
    """Its machine takes little at a time, and it begins to read only after `linger_for`."""
    scenery = Scenery(("shutdown", "close"), slow=True, linger_for=30 * MS)
    scenery.rests(LONG)
    ended(scenery)
    assert scenery.read(pause=0.1) == LONG


@pytest.mark.parametrize("behind", [b"x" * 64, b"x" * 4096], ids=["within linger_bytes", "beyond"])
def test_a_last_answer_is_read_whole_by_a_slow_client_though_it_goes_on_sending(behind):
    """Its time to be read off is over, or the bytes are: it comes to the close with bytes unread."""
    scenery = Scenery(("close",), slow=True, linger_for=30 * MS, linger_bytes=1024)
    client = scenery.client

    def answers():
        scenery.front.row(client).pop(client, None)
        yield from client._write((200, b"OK", b"", [LONG]), True)
        scenery.peer.send(behind)
        yield from client._linger(scenery.front.options.limits.linger_bytes)
        scenery.front.forget(client)

    client.stage = Stage.BUSY
    scenery.loop.spawn(answers())
    got = scenery.read(pause=0.1)
    assert isinstance(got, bytes) and got.endswith(LONG), got


def test_who_reads_nothing_is_waited_for_no_longer_than_a_write():
    scenery = Scenery((), slow=True, linger_for=10 * MS, write_within=60 * MS)
    scenery.rests(LONG)
    scenery.front.send_away(half=False)
    began = time.monotonic()

    def until_ended():
        while scenery.front.clients:
            yield Wait(None, 0, scenery.loop.now() + MS)
        scenery.loop.stopped = True

    scenery.loop.spawn(until_ended())
    scenery.loop.run()
    assert 0.05 < time.monotonic() - began < 2


def test_room_is_made_by_who_has_its_answer_before_who_is_slow_to_take_it():
    scenery = Scenery((), slow=True)
    front = scenery.front
    scenery.rests(LONG)
    front.send_away(half=False)
    another, far = connected()
    front._welcome(another)
    other = next(c for c in front.clients if c is not scenery.client)
    front.silent.pop(other)
    other.stage = Stage.IDLE
    front.rests(other)
    assert front.spare() and front.clients == {scenery.client}
    assert far.recv(1) == b""
    far.close()
    assert scenery.read() == LONG


def test_who_is_slow_to_take_its_answer_goes_where_nothing_else_makes_room():
    scenery = Scenery((), slow=True)
    scenery.rests(LONG)
    scenery.front.send_away(half=False)
    assert scenery.front.spare() and not scenery.front.clients


def test_a_whole_request_that_waits_for_room_is_not_closed_as_half_of_one():
    scenery = Scenery((), slow=False)
    front, client = scenery.front, scenery.client
    front.room = Room(64)
    taken = Body(front.room)
    taken.reserve(64)
    scenery.peer.send(b"POST /_health HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
    assert select.select([scenery.near], [], [], 5)[0]
    scenery.loop.unwatch(scenery.near.fileno())
    client.begin()
    assert not front.spare()
    front.send_away(half=True)
    front.host.balancer, front.accepting = SimpleNamespace(servers=[]), None
    del taken
    scenery.loop.after(0, scenery.peer.shutdown, socket.SHUT_WR)
    got = scenery.read()
    assert isinstance(got, bytes) and b"not ready" in got, got


def test_half_a_request_that_makes_room_is_refused_in_words():
    """The rest of it may be in the kernel by the time of the close: it is not left without an answer."""
    scenery = Scenery(("shutdown", "close"), slow=False)
    scenery.peer.send(REQUEST[:20])
    assert select.select([scenery.near], [], [], 5)[0]
    scenery.loop.unwatch(scenery.near.fileno())
    scenery.client.begin()
    assert scenery.client.stage is Stage.BEGUN
    assert scenery.front.spare()
    got = scenery.read()
    assert isinstance(got, bytes) and got.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in got, got
