"""Closing: SIGTERM between any two steps of a request, and connections that are closed just as data arrives."""

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
from loftweir.net.memory import LEAST_READ, Body, MemoryBudget
from loftweir.net.stream import TimedOut

REQUEST = b"GET /api HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Kind: status-read\r\n\r\n"
LONG = bytes(range(256)) * 2048  # more than the machine of a slow client accepts at a time


# ---- data that arrives between the check of a connection and its close, forced in this process ----------


class Crossed(socket.socket):
    """A client's connection that calls `cross` right before the first of the calls in `at`."""

    def __init__(self, sock: socket.socket, at: tuple[str, ...], cross: Callable[[], None]) -> None:
        super().__init__(fileno=sock.detach())
        self.at, self.cross = at, cross

    def _before(self, name: str) -> None:
        if name in self.at:
            self.at = ()
            self.cross()

    def shutdown(self, how: int) -> None:
        self._before("shutdown")
        super().shutdown(how)

    def close(self) -> None:
        self._before("close")
        super().close()


def connected(rcvbuf: int = 0) -> tuple[socket.socket, socket.socket]:
    """Both ends of a new connection, the accepted one first."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.socket()
        if rcvbuf:
            far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        far.connect(listener.getsockname())
        return listener.accept()[0], far


class ClientOnLoop:
    """A frontend on a loop with one client; the machine of a slow client accepts little data at a time."""

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
        """Send a request that arrives now."""
        self.peer.send(REQUEST % b"crossing")
        assert select.select([self.near], [], [], 5)[0]

    def make_idle(self, answer: bytes) -> None:
        """Write a response to the client, and make its connection idle."""
        self.front.waiting(self.client).pop(self.client, None)
        assert self.near.send(answer) == len(answer)
        self.client.stage = Stage.IDLE
        self.front.set_idle(self.client)

    def read(self, pause: float = 0.0, pace: float = 0.0) -> bytes | str:
        """Run the loop until the connection ends; return what the client read, or a text about its reset.

        The client begins after `pause` seconds, and waits for `pace` seconds after each read.
        """
        received: list[bytes] = []
        why: list[str] = []

        def reads() -> None:
            try:
                time.sleep(pause)
                while part := self.peer.recv(65536):
                    received.append(part)
                    time.sleep(pace)
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
        return why[0] + f" after {sum(map(len, received))}" if why else b"".join(received)


def idle_too_long(setup):
    setup.client.since -= 60 * SECOND
    setup.loop.spawn(setup.front.expire_idle())


def too_many_idle(setup):
    setup.front.max_idle = 1
    another, far = connected()
    setup.front._add_client(another)
    other = next(c for c in setup.front.clients if c is not setup.client)
    setup.loop.after(0, far.close)
    setup.front.silent.pop(other)
    setup.front.loop.unwatch(other.sock.fileno())
    other.stage = Stage.IDLE
    setup.front.set_idle(other)


def closed_as_unused(setup):
    setup.front.close_unused(half=False)


def evicted(setup):
    assert setup.front.evict()


@pytest.mark.parametrize("at", [("shutdown", "close"), ("close",)], ids=["first step", "close"])
@pytest.mark.parametrize("ended", [idle_too_long, too_many_idle, closed_as_unused, evicted])
def test_a_request_between_the_check_and_the_close_leaves_the_client_its_response_and_a_clean_end(ended, at):
    setup = ClientOnLoop(at, slow=False)
    setup.make_idle(b"its answer")
    ended(setup)
    assert setup.read() == b"its answer"
    assert setup.near.at == (), "the request was sent at that moment"
    assert not setup.front.clients and not setup.front.ending


@pytest.mark.parametrize("ended", [idle_too_long, too_many_idle, closed_as_unused])
def test_a_response_to_a_slow_client_is_not_lost_to_a_request_that_arrives_at_the_close(ended):
    """Its machine accepts little data at a time, and it begins to read only after `linger_for`."""
    setup = ClientOnLoop(("shutdown", "close"), slow=True, linger_for=30 * MS)
    setup.make_idle(LONG)
    ended(setup)
    assert setup.read(pause=0.1) == LONG


@pytest.mark.parametrize("behind", [b"x" * 64, b"x" * 4096], ids=["within linger_bytes", "beyond"])
@pytest.mark.parametrize("pace", [0.0, 0.005])
def test_a_slow_client_reads_its_whole_last_response_although_it_goes_on_sending(behind, pace):
    """The time to discard its input is over, or the number of bytes is: the connection is closed with bytes unread.

    With a pace it reads for longer than `write_within`, which must not end it as long as it reads (review/6).
    """
    setup = ClientOnLoop(("close",), slow=True, linger_for=30 * MS, linger_bytes=1024, write_within=300 * MS)
    client = setup.client

    def answers():
        setup.front.waiting(client).pop(client, None)
        yield from client._write((200, b"OK", b"", [LONG]), True)
        setup.peer.send(behind)
        yield from client._linger(setup.front.options.limits.linger_bytes)
        setup.front.remove(client)

    client.stage = Stage.BUSY
    setup.loop.spawn(answers())
    received = setup.read(pause=0.1, pace=pace)
    assert isinstance(received, bytes) and received.endswith(LONG), received


def test_a_client_that_reads_nothing_is_awaited_no_longer_than_a_write():
    setup = ClientOnLoop((), slow=True, linger_for=10 * MS, write_within=60 * MS)
    setup.make_idle(LONG)
    setup.front.close_unused(half=False)
    began = time.monotonic()

    def until_ended():
        while setup.front.clients:
            yield Wait(None, 0, setup.loop.now() + MS)
        setup.loop.stopped = True

    setup.loop.spawn(until_ended())
    setup.loop.run()
    assert 0.05 < time.monotonic() - began < 2


def test_the_memory_of_a_response_is_free_once_its_client_is_given_up():
    """Guards against a reader without progress that keeps the memory of its response."""
    setup = ClientOnLoop((), slow=True, linger_for=10 * MS, write_within=60 * MS)
    setup.near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    front, client = setup.front, setup.client
    ended = []

    def answers():
        body = Body(front.budget)
        body.append(LONG)
        front.waiting(client).pop(client, None)
        try:
            yield from client._write((200, b"OK", b"", body), False)
        except TimedOut:
            ended.append(time.monotonic())
        del body
        setup.loop.stopped = True

    began = time.monotonic()
    setup.loop.spawn(answers())
    setup.loop.run()
    assert ended and ended[0] - began < 5
    assert front.budget.left == front.budget.size


def test_a_client_that_has_its_response_is_evicted_before_one_that_is_slow_to_read_it():
    setup = ClientOnLoop((), slow=True)
    front = setup.front
    setup.make_idle(LONG)
    front.close_unused(half=False)
    another, far = connected()
    front._add_client(another)
    other = next(c for c in front.clients if c is not setup.client)
    front.silent.pop(other)
    other.stage = Stage.IDLE
    front.set_idle(other)
    assert front.evict() and front.clients == {setup.client}
    assert far.recv(1) == b""
    far.close()
    assert setup.read() == LONG


def test_a_client_that_is_slow_to_read_its_response_is_evicted_if_there_is_no_other():
    setup = ClientOnLoop((), slow=True)
    setup.make_idle(LONG)
    setup.front.close_unused(half=False)
    assert setup.front.evict() and not setup.front.clients


def test_a_whole_request_that_waits_for_memory_is_not_closed_as_half_a_request():
    setup = ClientOnLoop((), slow=False)
    front, client = setup.front, setup.client
    size = 2 * LEAST_READ  # what one read returns does not wait
    front.budget = MemoryBudget(size)
    taken = Body(front.budget)
    taken.reserve(size)
    setup.peer.send(b"POST /_health HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s" % (size, bytes(size)))
    assert select.select([setup.near], [], [], 5)[0]
    setup.loop.unwatch(setup.near.fileno())
    client.begin()
    assert not front.evict()
    front.close_unused(half=True)
    front.host.balancer, front.accepting = SimpleNamespace(providers=[]), None
    del taken
    setup.loop.after(0, setup.peer.shutdown, socket.SHUT_WR)
    received = setup.read()
    assert isinstance(received, bytes) and b"not ready" in received, received


def test_a_request_that_one_read_returns_whole_does_not_wait_for_memory():
    """Guards against a small request that is answered after its client's time while other bodies take all memory."""
    setup = ClientOnLoop((), slow=False)
    front = setup.front
    front.budget = MemoryBudget(64)
    taken = Body(front.budget)
    taken.reserve(64)
    front.host.balancer, front.accepting = SimpleNamespace(providers=[]), None
    setup.peer.send(b"POST /_health HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
    assert select.select([setup.near], [], [], 5)[0]
    setup.loop.unwatch(setup.near.fileno())
    setup.client.begin()
    assert b"not ready" in setup.peer.recv(4096, socket.MSG_DONTWAIT)
    assert taken.taken == 64


def test_a_response_without_length_that_is_cut_off_ends_in_a_reset():
    """Otherwise the client would take the end of the stream for the end of the response."""
    setup = ClientOnLoop((), slow=False)
    client = setup.client
    pieces = [b"a piece"]

    def pull():
        if not pieces:
            yield Wait(None, 0, None)
        return pieces.pop()

    setup.front.waiting(client).pop(client)
    client.stage, client.http_1_0 = Stage.BUSY, True
    flow = SimpleNamespace(length=None, pull=pull, close=lambda: None)
    client.task = setup.loop.start(client._forward(b"HTTP/1.1 200 OK\r\n", flow))
    setup.peer.recv(64)
    assert setup.front.close() == 1
    received = setup.read()
    assert isinstance(received, str) and received.startswith("ConnectionResetError"), received


def test_half_a_request_that_is_evicted_gets_an_error_response():
    """The rest of the request may be in the kernel by the time of the close, so it must be answered."""
    setup = ClientOnLoop(("shutdown", "close"), slow=False)
    setup.peer.send(REQUEST[:20])
    assert select.select([setup.near], [], [], 5)[0]
    setup.loop.unwatch(setup.near.fileno())
    setup.client.begin()
    assert setup.client.stage is Stage.BEGUN
    assert setup.front.evict()
    received = setup.read()
    assert isinstance(received, bytes) and received.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in received, (
        received
    )


# ---- the real program ---------------------------------------------------------------------------


class EndsTest(SidecarTest):
    def settings(self, hard_limit=None):
        if hard_limit is None:
            return SETTINGS
        profiles = [p | {"hardLimit": hard_limit, "target": min(p["target"], hard_limit)} for p in SETTINGS["profiles"]]
        return SETTINGS | {"profiles": profiles}

    def begin(self, *answers, **changes):
        """Start the program, and wait until it is ready."""
        self.start(*answers, **changes)
        self.assertTrue(eventually(lambda: self.health() == 200))

    def connect(self, rcvbuf=0):
        """A new connection to the program."""
        host, port = self.listen.split(":")
        sock = socket.socket()
        self.addCleanup(sock.close)
        if rcvbuf:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        sock.settimeout(10)
        sock.connect((host, int(port)))
        return sock

    def read(self, sock):
        """All that arrives until the end, or until a reset."""
        received = b""
        try:
            while part := sock.recv(65536):
                received += part
        except ConnectionResetError:
            received += b" RESET"
        sock.close()
        return received

    def assert_one_answer(self, received, status=200):
        self.assertEqual(received.count(b"HTTP/1.1 "), 1, received)
        self.assertTrue(received.startswith(b"HTTP/1.1 %d " % status), received)
        self.assertIn(b"Connection: close", received)
        self.assertNotIn(b"RESET", received)

    def begin_stop(self):
        self.terminate()
        self.assertTrue(eventually(lambda: self.logged("stop.begun")))

    def ended(self):
        """Wait for the end of the program; return its `stop.done` record."""
        self.assertEqual(self.program.wait(10), 0)
        ((done),) = self.logged("stop.done")
        return done

    def test_requests_that_arrive_in_parts_around_sigterm_are_answered_once(self):
        """Between accept and the first read; a head in two halves; a head and then its body; a pipelined request."""
        self.begin(ok)
        post = b"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: p\r\nReq-Kind: apply-submit\r\nContent-Length: 4\r\n\r\nbody"
        parts = [(b"", REQUEST % b"a"), (REQUEST[:30], REQUEST[30:] % b"b"), (post[:-4], post[-4:])]
        parts += [(post[:-2].replace(b": p", b": q"), post[-2:] + REQUEST % b"behind")]
        socks = [self.connect() for _ in parts]
        for sock, (first, _) in zip(socks, parts, strict=True):
            sock.sendall(first)
        self.assertEqual(self.health(), 200)  # it was sent after them, so they have been read
        self.begin_stop()
        with self.paused():
            for sock, (_, rest) in zip(socks, parts, strict=True):
                sock.sendall(rest)
        for sock in socks:
            self.assert_one_answer(self.read(sock))
        self.assertEqual(len(self.providers[0].seen), 4, "a request behind the last response is not forwarded")
        self.assertEqual(self.ended()["left"], 0)

    def test_sigterm_and_sighup_together_with_a_request_in_the_kernel(self):
        """In both orders, and twice, with an attempt in flight."""
        for signals in (("TERM", "HUP"), ("HUP", "TERM"), ("TERM", "HUP", "TERM", "HUP")):
            with self.subTest(signals=signals):
                gate = threading.Event()
                self.begin(answer_after(gate))
                in_flight, arriving = self.connect(), self.connect()
                in_flight.sendall(REQUEST % b"in-flight")
                self.assertTrue(eventually(lambda: self.providers[0].seen))
                with self.paused():
                    arriving.sendall(REQUEST % b"arriving")
                    for name in signals:
                        self.terminate() if name == "TERM" else self.reload(json.dumps(self.config))
                self.assertTrue(eventually(lambda: len(self.providers[0].seen) == 2))
                self.assertTrue(self.logged("stop.begun"))
                gate.set()
                self.assert_one_answer(self.read(in_flight))
                self.assert_one_answer(self.read(arriving))
                self.assertEqual(self.ended()["left"], 0)

    def test_a_retry_that_is_due_after_sigterm_is_made(self):
        def decline(head, body):
            if not self.logged("stop.begun"):
                self.begin_stop()
            return http_response(503, b"", "Srv-Declined: 1")

        self.begin(decline, decline)
        self.providers[1].answer = lambda head, body: (
            ok(head, body) if self.logged("stop.begun") else decline(head, body)
        )
        sock = self.connect()
        sock.sendall(REQUEST % b"again")
        received = self.read(sock)
        self.assertEqual(received.count(b"HTTP/1.1 "), 1, received)
        self.assertIn(received[9:12], (b"200", b"503"))
        self.assertEqual(self.ended()["left"], 0)

    def test_with_half_of_the_providers_hanging_each_request_is_answered_in_time(self):
        gate = threading.Event()
        self.addCleanup(gate.set)
        self.begin(ok, answer_after(gate), settings=self.settings(500 * MS))
        socks = [self.connect() for _ in range(12)]
        with self.paused():
            for number, sock in enumerate(socks):
                sock.sendall(REQUEST % b"r%d" % number)
            self.terminate()
        began = time.monotonic()
        received = [self.read(sock) for sock in socks]
        self.assertLess(time.monotonic() - began, 1.0)
        for answer in received:
            self.assertEqual(answer.count(b"HTTP/1.1 "), 1, answer)
            self.assertNotIn(b"RESET", answer)
        self.assertGreaterEqual(sum(answer.startswith(b"HTTP/1.1 200") for answer in received), 6)
        self.assertEqual(self.ended()["left"], 0)

    def test_connections_in_the_listeners_queue_are_accepted_before_it_is_closed(self):
        """Also if all connections that there is room for have a request."""
        for limits in ({}, {"limits": {"sockets": 24, "memory_mb": 192}}):
            with self.subTest(**limits):
                gate = threading.Event()
                self.begin(answer_after(gate) if limits else ok, **limits)
                busy = [self.connect() for _ in range(12 if limits else 0)]
                for number, sock in enumerate(busy):
                    sock.sendall(REQUEST % b"busy%d" % number)
                self.begin_stop()
                with self.paused():
                    socks = [self.connect() for _ in range(40)]
                    for number, sock in enumerate(socks):
                        sock.sendall(REQUEST % b"r%d" % number)
                    time.sleep(0.8)  # longer than `accept_after_term`: its end and the connections come together
                gate.set()
                received = [self.read(sock) for sock in busy + socks]
                self.assertEqual([g for g in received if g.count(b"HTTP/1.1 ") != 1 or b"RESET" in g], [])
                if not limits:
                    self.assertEqual([g for g in received if not g.startswith(b"HTTP/1.1 200")], [])
                self.assertEqual(self.ended()["left"], 0)

    def test_a_request_that_arrived_before_its_idle_connection_was_closed_is_served(self):
        """By the loop's next turn its idle time is over, or the process is ending."""
        self.operator = '[limits]\nidle_for = "500ms"\n'
        for end in (lambda: None, self.terminate):
            with self.subTest(end=end):
                self.begin(ok)
                sock = self.connect()
                sock.sendall(REQUEST % b"first")
                self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200 "))
                end()
                with self.paused():
                    sock.sendall(REQUEST % b"second")
                    time.sleep(1.2)
                self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200 "))

    def test_idle_connections_are_closed_at_the_end_and_later_requests_are_not_forwarded(self):
        self.begin(ok)
        sock = self.connect()
        sock.sendall(REQUEST % b"first")
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200 "))
        self.begin_stop()
        self.assertEqual(sock.recv(1), b"")
        with self.paused():
            sock.sendall(REQUEST % b"second")
        self.assertEqual(self.read(sock), b"")
        self.assertEqual(self.ended()["left"], 0)
        self.assertEqual(len(self.providers[0].seen), 1)

    def test_a_request_with_a_long_deadline_keeps_it_if_sigkill_comes_late(self):
        gate = threading.Event()
        self.begin(answer_after(gate), settings=self.settings(6 * SECOND))
        sock = self.connect()
        sock.sendall(REQUEST % b"long")
        self.assertTrue(eventually(lambda: self.providers[0].seen))
        self.begin_stop()
        threading.Timer(4.4, gate.set).start()
        self.assert_one_answer(self.read(sock))
        self.assertEqual(self.ended()["left"], 0)

    def test_a_request_completed_too_late_for_an_answer_in_time_is_still_answered(self):
        """With short deadlines a request may be completed when no response can be in time any more."""
        self.begin(ok, settings=self.settings(300 * MS))
        sock = self.connect()
        sock.sendall(REQUEST[:30])
        self.begin_stop()
        time.sleep(0.9)  # the last response is due 0.7 s after SIGTERM, the end comes 0.6 s later
        sock.sendall(REQUEST[30:] % b"late")
        received = self.read(sock)
        self.assertEqual(received.count(b"HTTP/1.1 "), 1, received)
        self.assertNotIn(b"RESET", received)
        self.ended()

    def test_at_the_end_of_the_process_unread_bytes_do_not_cost_a_slow_client_its_response(self):
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
            time.sleep(1)  # longer than until the end: its time and the bytes come together
        self.assertEqual(self.ended()["left"], 1)
        self.assertEqual(self.read(sock).partition(b"\r\n\r\n")[2], body)

    def test_half_a_request_at_the_end_of_the_process_gets_an_error_response(self):
        self.begin(ok, settings=self.settings(300 * MS))
        sock = self.connect()
        sock.sendall(REQUEST[:30])
        self.begin_stop()
        self.assert_one_answer(self.read(sock), 503)
        self.ended()

    def test_sigterm_before_the_first_list(self):
        self.start(ok, known=[])
        self.discovery.fail(True)
        self.assertTrue(eventually(lambda: self.health() == 503))
        sock = self.connect()
        with self.paused():
            sock.sendall(REQUEST % b"r")
            self.terminate()
        self.assert_one_answer(self.read(sock), 503)
        self.assertEqual(self.ended()["left"], 0)

    def test_each_request_gets_one_response_when_a_drain_and_sigterm_cross(self):
        for state, drain_first in (("serving", True), ("serving", False), ("empty", True)):
            with self.subTest(state=state, drain_first=drain_first):
                gate = threading.Event()
                with listener() as free:
                    operator_address = address_of(free)
                self.begin(answer_after(gate), operator=operator_address)
                host, port = operator_address.split(":")
                in_flight, arriving, idle = self.connect(), self.connect(), self.connect()
                in_flight.sendall(REQUEST % b"in-flight")
                idle.sendall(b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
                self.assertTrue(idle.recv(4096).startswith(b"HTTP/1.1 200 "))
                self.assertTrue(eventually(lambda: self.providers[0].seen))
                operator_call = socket.create_connection((host, int(port)), timeout=5)
                self.addCleanup(operator_call.close)
                if state == "empty":
                    operator_call.sendall(b"DRAIN\n")
                    self.assertEqual(self.read(idle), b"")
                    self.assertTrue(eventually(lambda: self.logged("life.changed")[-1]["state"] == "empty"))
                    arriving = self.connect()
                with self.paused():
                    arriving.sendall(REQUEST % b"arriving")
                    for drains in (drain_first, not drain_first):
                        if not drains:
                            self.terminate()
                        elif state == "serving":
                            operator_call.sendall(b"DRAIN\n")
                self.assertTrue(eventually(lambda: len(self.providers[0].seen) == 2))
                gate.set()
                self.assert_one_answer(self.read(in_flight))
                self.assert_one_answer(self.read(arriving))
                self.assertTrue(self.read(operator_call).startswith(b"OK"))
                self.assertEqual(self.ended()["left"], 0)

    def test_a_client_that_writes_60_mb_first_reads_its_413(self):
        self.begin(ok)
        sock = self.connect()
        head = b"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: r\r\nReq-Kind: apply-submit\r\n"
        sock.sendall(head + b"Content-Length: 60000000\r\n\r\n")
        with suppress(ConnectionError):
            sock.sendall(b"x" * 60000000)
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 413 "))
        self.assertEqual(self.invoke()[0], 200)
