"""Ends: SIGTERM between any two steps of a request, and connections ended in the moment in which bytes arrive."""

import json
import select
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from types import SimpleNamespace

import pytest
from scene import MS, SETTINGS, SidecarTest, address_of, answer_after, eventually, http_response, listener, ok

from loftweir.config.model import Limits, Options
from loftweir.core.life import SidecarLifecycle
from loftweir.http1.front import Frontend
from loftweir.http1.stage import Stage
from loftweir.net.loop import SECOND, Loop, Wait
from loftweir.net.stream import Body, MemoryBudget

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
        self.front = Frontend(self.loop, host, SidecarLifecycle(), options, 64, 1 << 20)
        near, self.peer = connected(4096 if slow else 0)
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 << 20)
        self.peer.settimeout(5)
        self.near = Crossed(near, at, self.cross)
        self.front._add_client(self.near)
        (self.client,) = self.front.clients

    def cross(self) -> None:
        self.peer.send(REQUEST % b"crossing")
        assert select.select([self.near], [], [], 5)[0]

    def rests(self, answer: bytes) -> None:
        """Its answer is written, and it rests."""
        self.front.waiting(self.client).pop(self.client, None)
        assert self.near.send(answer) == len(answer)
        self.client.stage = Stage.IDLE
        self.front.set_idle(self.client)

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
    scenery.loop.spawn(scenery.front.expire_idle())


def too_many(scenery):
    scenery.front.max_idle = 1
    another, far = connected()
    scenery.front._add_client(another)
    other = next(c for c in scenery.front.clients if c is not scenery.client)
    scenery.loop.after(0, far.close)
    scenery.front.silent.pop(other)
    scenery.front.loop.unwatch(other.sock.fileno())
    other.stage = Stage.IDLE
    scenery.front.set_idle(other)


def sent_away(scenery):
    scenery.front.close_unused(half=False)


def room_made(scenery):
    assert scenery.front.evict()


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
        scenery.front.waiting(client).pop(client, None)
        yield from client._write((200, b"OK", b"", [LONG]), True)
        scenery.peer.send(behind)
        yield from client._linger(scenery.front.options.limits.linger_bytes)
        scenery.front.remove(client)

    client.stage = Stage.BUSY
    scenery.loop.spawn(answers())
    got = scenery.read(pause=0.1)
    assert isinstance(got, bytes) and got.endswith(LONG), got


def test_who_reads_nothing_is_waited_for_no_longer_than_a_write():
    scenery = Scenery((), slow=True, linger_for=10 * MS, write_within=60 * MS)
    scenery.rests(LONG)
    scenery.front.close_unused(half=False)
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
    front.close_unused(half=False)
    another, far = connected()
    front._add_client(another)
    other = next(c for c in front.clients if c is not scenery.client)
    front.silent.pop(other)
    other.stage = Stage.IDLE
    front.set_idle(other)
    assert front.evict() and front.clients == {scenery.client}
    assert far.recv(1) == b""
    far.close()
    assert scenery.read() == LONG


def test_who_is_slow_to_take_its_answer_goes_where_nothing_else_makes_room():
    scenery = Scenery((), slow=True)
    scenery.rests(LONG)
    scenery.front.close_unused(half=False)
    assert scenery.front.evict() and not scenery.front.clients


def test_a_whole_request_that_waits_for_room_is_not_closed_as_half_of_one():
    scenery = Scenery((), slow=False)
    front, client = scenery.front, scenery.client
    front.budget = MemoryBudget(64)
    taken = Body(front.budget)
    taken.reserve(64)
    scenery.peer.send(b"POST /_health HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
    assert select.select([scenery.near], [], [], 5)[0]
    scenery.loop.unwatch(scenery.near.fileno())
    client.begin()
    assert not front.evict()
    front.close_unused(half=True)
    front.host.balancer, front.accepting = SimpleNamespace(providers=[]), None
    del taken
    scenery.loop.after(0, scenery.peer.shutdown, socket.SHUT_WR)
    got = scenery.read()
    assert isinstance(got, bytes) and b"not ready" in got, got


def test_an_answer_without_length_that_the_process_cuts_ends_in_a_reset():
    """Its reader takes the end of the stream for the answer's own."""
    scenery = Scenery((), slow=False)
    client = scenery.client
    pieces = [b"a piece"]

    def pull():
        if not pieces:
            yield Wait(None, 0, None)
        return pieces.pop()

    scenery.front.waiting(client).pop(client)
    client.stage, client.http_1_0 = Stage.BUSY, True
    flow = SimpleNamespace(length=None, pull=pull, close=lambda: None)
    client.task = scenery.loop.start(client._forward(b"HTTP/1.1 200 OK\r\n", flow))
    scenery.peer.recv(64)
    assert scenery.front.close() == 1
    got = scenery.read()
    assert isinstance(got, str) and got.startswith("ConnectionResetError"), got


def test_half_a_request_that_makes_room_is_refused_in_words():
    """The rest of it may be in the kernel by the time of the close: it is not left without an answer."""
    scenery = Scenery(("shutdown", "close"), slow=False)
    scenery.peer.send(REQUEST[:20])
    assert select.select([scenery.near], [], [], 5)[0]
    scenery.loop.unwatch(scenery.near.fileno())
    scenery.client.begin()
    assert scenery.client.stage is Stage.BEGUN
    assert scenery.front.evict()
    got = scenery.read()
    assert isinstance(got, bytes) and got.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in got, got


# ---- the real program ---------------------------------------------------------------------------


class EndsTest(SidecarTest):
    def settings(self, hard_limit=None):
        if hard_limit is None:
            return SETTINGS
        profiles = [p | {"hardLimit": hard_limit, "target": min(p["target"], hard_limit)} for p in SETTINGS["profiles"]]
        return SETTINGS | {"profiles": profiles}

    def begin(self, *answers, **changes):
        self.start(*answers, **changes)
        self.assertTrue(eventually(lambda: self.health() == 200))

    def connect(self, rcvbuf=0):
        """A connection that the program has accepted, and holds."""
        host, port = self.listen.split(":")
        sock = socket.socket()
        self.addCleanup(sock.close)
        if rcvbuf:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        sock.settimeout(10)
        sock.connect((host, int(port)))
        return sock

    def read(self, sock):
        """All that comes until the end, or until a reset."""
        got = b""
        try:
            while part := sock.recv(65536):
                got += part
        except ConnectionResetError:
            got += b" RESET"
        sock.close()
        return got

    def one_answer(self, got, status=200):
        self.assertEqual(got.count(b"HTTP/1.1 "), 1, got)
        self.assertTrue(got.startswith(b"HTTP/1.1 %d " % status), got)
        self.assertIn(b"Connection: close", got)
        self.assertNotIn(b"RESET", got)

    def stops(self):
        self.terminate()
        self.assertTrue(eventually(lambda: self.logged("stop.begun")))

    def ended(self):
        self.assertEqual(self.program.wait(10), 0)
        ((done),) = self.logged("stop.done")
        return done

    def test_what_comes_in_parts_around_sigterm_is_answered_once(self):
        """Between accept and the first read; a head in two halves; a head, then its body; pipelined behind it."""
        self.begin(ok)
        post = b"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: p\r\nReq-Kind: apply-submit\r\nContent-Length: 4\r\n\r\nbody"
        parts = [(b"", REQUEST % b"a"), (REQUEST[:30], REQUEST[30:] % b"b"), (post[:-4], post[-4:])]
        parts += [(post[:-2].replace(b": p", b": q"), post[-2:] + REQUEST % b"behind")]
        socks = [self.connect() for _ in parts]
        for sock, (first, _) in zip(socks, parts, strict=True):
            sock.sendall(first)
        self.assertEqual(self.health(), 200)  # they were there before this
        self.stops()
        with self.paused():
            for sock, (_, rest) in zip(socks, parts, strict=True):
                sock.sendall(rest)
        for sock in socks:
            self.one_answer(self.read(sock))
        self.assertEqual(len(self.providers[0].seen), 4, "what came behind a last answer is not sent on")
        self.assertEqual(self.ended()["left"], 0)

    def test_sigterm_and_sighup_together_with_a_request_in_the_kernel(self):
        """In both orders, and twice; an attempt is out by then."""
        for signals in (("TERM", "HUP"), ("HUP", "TERM"), ("TERM", "HUP", "TERM", "HUP")):
            with self.subTest(signals=signals):
                gate = threading.Event()
                self.begin(answer_after(gate))
                out, comes = self.connect(), self.connect()
                out.sendall(REQUEST % b"out")
                self.assertTrue(eventually(lambda: self.providers[0].seen))
                with self.paused():
                    comes.sendall(REQUEST % b"comes")
                    for name in signals:
                        self.terminate() if name == "TERM" else self.reload(json.dumps(self.config))
                self.assertTrue(eventually(lambda: len(self.providers[0].seen) == 2))
                self.assertTrue(self.logged("stop.begun"))
                gate.set()
                self.one_answer(self.read(out))
                self.one_answer(self.read(comes))
                self.assertEqual(self.ended()["left"], 0)

    def test_a_repeat_that_is_due_after_sigterm_is_made(self):
        def turned_away(head, body):
            if not self.logged("stop.begun"):
                self.stops()
            return http_response(503, b"", "Srv-Declined: 1")

        self.begin(turned_away, turned_away)
        self.providers[1].answer = lambda head, body: (
            ok(head, body) if self.logged("stop.begun") else turned_away(head, body)
        )
        sock = self.connect()
        sock.sendall(REQUEST % b"again")
        got = self.read(sock)
        self.assertEqual(got.count(b"HTTP/1.1 "), 1, got)
        self.assertIn(got[9:12], (b"200", b"503"))
        self.assertEqual(self.ended()["left"], 0)

    def test_with_half_of_the_servers_hanging_each_request_gets_its_answer_in_time(self):
        gate = threading.Event()
        self.addCleanup(gate.set)
        self.begin(ok, answer_after(gate), settings=self.settings(500 * MS))
        socks = [self.connect() for _ in range(12)]
        with self.paused():
            for number, sock in enumerate(socks):
                sock.sendall(REQUEST % b"r%d" % number)
            self.terminate()
        began = time.monotonic()
        got = [self.read(sock) for sock in socks]
        self.assertLess(time.monotonic() - began, 1.0)
        for answer in got:
            self.assertEqual(answer.count(b"HTTP/1.1 "), 1, answer)
            self.assertNotIn(b"RESET", answer)
        self.assertGreaterEqual(sum(answer.startswith(b"HTTP/1.1 200") for answer in got), 6)
        self.assertEqual(self.ended()["left"], 0)

    def test_connections_in_the_listeners_queue_when_it_is_closed_are_taken(self):
        """Also where all connections there is room for hold a request."""
        for limits in ({}, {"limits": {"sockets": 24, "memory_mb": 192}}):
            with self.subTest(**limits):
                gate = threading.Event()
                self.begin(answer_after(gate) if limits else ok, **limits)
                busy = [self.connect() for _ in range(12 if limits else 0)]
                for number, sock in enumerate(busy):
                    sock.sendall(REQUEST % b"busy%d" % number)
                self.stops()
                with self.paused():
                    socks = [self.connect() for _ in range(40)]
                    for number, sock in enumerate(socks):
                        sock.sendall(REQUEST % b"r%d" % number)
                    time.sleep(0.8)  # past `accept_after_term`: its time and the connections are there at once
                gate.set()
                got = [self.read(sock) for sock in busy + socks]
                self.assertEqual([g for g in got if g.count(b"HTTP/1.1 ") != 1 or b"RESET" in g], [])
                if not limits:
                    self.assertEqual([g for g in got if not g.startswith(b"HTTP/1.1 200")], [])
                self.assertEqual(self.ended()["left"], 0)

    def test_a_request_on_a_resting_connection_that_came_before_its_end_is_served(self):
        """Its rest is over, or the process shuts it, by the time that the loop has its next turn."""
        self.operator = '[limits]\nidle_for = "500ms"\n'
        for ends in (lambda: None, self.terminate):
            with self.subTest(ends=ends):
                self.begin(ok)
                sock = self.connect()
                sock.sendall(REQUEST % b"first")
                self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200 "))
                ends()
                with self.paused():
                    sock.sendall(REQUEST % b"second")
                    time.sleep(1.2)
                self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200 "))

    def test_who_rests_is_told_of_the_end_and_what_it_sends_then_is_not_sent_on(self):
        self.begin(ok)
        sock = self.connect()
        sock.sendall(REQUEST % b"first")
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200 "))
        self.stops()
        self.assertEqual(sock.recv(1), b"")
        with self.paused():
            sock.sendall(REQUEST % b"second")
        self.assertEqual(self.read(sock), b"")
        self.assertEqual(self.ended()["left"], 0)
        self.assertEqual(len(self.providers[0].seen), 1)

    def test_a_request_with_more_time_than_sigkill_leaves_has_it_where_sigkill_comes_later(self):
        gate = threading.Event()
        self.begin(answer_after(gate), settings=self.settings(6 * SECOND))
        sock = self.connect()
        sock.sendall(REQUEST % b"long")
        self.assertTrue(eventually(lambda: self.providers[0].seen))
        self.stops()
        threading.Timer(4.4, gate.set).start()
        self.one_answer(self.read(sock))
        self.assertEqual(self.ended()["left"], 0)

    def test_what_comes_past_the_last_due_time_is_answered_all_the_same(self):
        """With short deadlines half a request may become whole when no answer can be in time any more."""
        self.begin(ok, settings=self.settings(300 * MS))
        sock = self.connect()
        sock.sendall(REQUEST[:30])
        self.stops()
        time.sleep(0.9)  # the last answer is due 0.7 s after SIGTERM, the end 0.6 s later
        sock.sendall(REQUEST[30:] % b"late")
        got = self.read(sock)
        self.assertEqual(got.count(b"HTTP/1.1 "), 1, got)
        self.assertNotIn(b"RESET", got)
        self.ended()

    def test_at_the_end_of_the_process_a_slow_clients_answer_is_not_lost_to_bytes_unread(self):
        body = LONG[:60000]
        self.begin(lambda head, _: http_response(200, body), settings=self.settings(300 * MS))
        sock = self.connect(rcvbuf=4096)
        with self.paused():
            sock.sendall(REQUEST % b"r")
            self.terminate()
        self.assertTrue(eventually(lambda: self.providers[0].seen))
        self.assertTrue(eventually(lambda: self.logged("life.changed")[-1]["state"] == "shut"))
        with self.paused():
            sock.sendall(b"x" * 100)
            time.sleep(1)  # past the end: its time and the bytes are there at once
        self.assertEqual(self.ended()["left"], 1)
        self.assertEqual(self.read(sock).partition(b"\r\n\r\n")[2], body)

    def test_half_a_request_at_the_end_of_the_process_is_refused_in_words(self):
        self.begin(ok, settings=self.settings(300 * MS))
        sock = self.connect()
        sock.sendall(REQUEST[:30])
        self.stops()
        self.one_answer(self.read(sock), 503)
        self.ended()

    def test_sigterm_before_the_first_list(self):
        self.start(ok, known=[])
        self.catalog.fail(True)
        self.assertTrue(eventually(lambda: self.health() == 503))
        sock = self.connect()
        with self.paused():
            sock.sendall(REQUEST % b"r")
            self.terminate()
        self.one_answer(self.read(sock), 503)
        self.assertEqual(self.ended()["left"], 0)

    def test_a_drain_and_sigterm_that_cross_leave_each_request_its_one_answer(self):
        for state, drain_first in (("serving", True), ("serving", False), ("empty", True)):
            with self.subTest(state=state, drain_first=drain_first):
                gate = threading.Event()
                with listener() as free:
                    operator_address = address_of(free)
                self.begin(answer_after(gate), operator=operator_address)
                host, port = operator_address.split(":")
                out, comes, rests = self.connect(), self.connect(), self.connect()
                out.sendall(REQUEST % b"out")
                rests.sendall(b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
                self.assertTrue(rests.recv(4096).startswith(b"HTTP/1.1 200 "))
                self.assertTrue(eventually(lambda: self.providers[0].seen))
                call = socket.create_connection((host, int(port)), timeout=5)
                self.addCleanup(call.close)
                if state == "empty":
                    call.sendall(b"DRAIN\n")
                    self.assertEqual(self.read(rests), b"")
                    self.assertTrue(eventually(lambda: self.logged("life.changed")[-1]["state"] == "empty"))
                    comes = self.connect()
                with self.paused():
                    comes.sendall(REQUEST % b"comes")
                    for drains in (drain_first, not drain_first):
                        if not drains:
                            self.terminate()
                        elif state == "serving":
                            call.sendall(b"DRAIN\n")
                self.assertTrue(eventually(lambda: len(self.providers[0].seen) == 2))
                gate.set()
                self.one_answer(self.read(out))
                self.one_answer(self.read(comes))
                self.assertTrue(self.read(call).startswith(b"OK"))
                self.assertEqual(self.ended()["left"], 0)

    def test_a_413_is_read_by_who_writes_60_mb_first(self):
        self.begin(ok)
        sock = self.connect()
        head = b"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: r\r\nReq-Kind: apply-submit\r\n"
        sock.sendall(head + b"Content-Length: 60000000\r\n\r\n")
        with suppress(ConnectionError):
            sock.sendall(b"x" * 60000000)
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 413 "))
        self.assertEqual(self.invoke()[0], 200)
