"""Peers that read or write slowly or unevenly are served; those that make no progress are given up in bounded time."""

import http.client
import os
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from types import SimpleNamespace

import pytest
from scene import MS, ONCE, READ, SECOND, SETTINGS, SidecarTest, StubServer, entry, eventually, http_response, ok
from support import settings

from loftweir.config.model import Options
from loftweir.core.invocation import Invocation
from loftweir.http1.message import HttpRequest
from loftweir.http1.request_reader import RequestReader
from loftweir.net import progress as progress_module
from loftweir.net.loop import Loop
from loftweir.net.memory import Body, MemoryBudget
from loftweir.net.progress import LONGEST_UNSEEN, LOWEST_READ_RATE, ReadProgress, send_as_read
from loftweir.net.stream import TimedOut

KIB = 1024
MIB = 1024 * KIB
SILENT_FOR = 400 * MS
CHUNKED = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
NO_LENGTH = b"HTTP/1.1 200 X\r\n\r\n"


# ---- what counts as progress of a reader, on a clock driven by hand ---------------------------------


class Reader:
    """A peer whose acknowledgements are set by hand."""

    def __init__(self, monkeypatch, silent_for=5 * SECOND):
        self.loop = SimpleNamespace(time=0, now=lambda: self.loop.time)
        self.unacknowledged = 0
        monkeypatch.setattr(progress_module, "unacknowledged", lambda sock: self.unacknowledged)
        self.progress = ReadProgress(self.loop, None, silent_for)

    def offer(self, size):
        """Write so many bytes, all of which the kernel takes and the peer does not."""
        self.progress.begin([bytes(size)])
        self.unacknowledged += size

    def given_up_after(self, steps=()):
        """When the peer is given up, ns, if it acknowledges `(at, bytes)`; None if it has taken all before."""
        steps = list(steps)
        while True:
            while steps and steps[0][0] <= self.loop.time:
                self.unacknowledged -= steps.pop(0)[1]
            if not self.unacknowledged:
                return None
            if self.progress.is_over([]):
                return self.loop.time
            self.loop.time = self.progress.next_check()


def test_a_reader_that_takes_nothing_is_given_up_after_the_silent_time(monkeypatch):
    reader = Reader(monkeypatch)
    reader.offer(MIB)
    assert reader.given_up_after() == 5 * SECOND


@pytest.mark.parametrize("size", [1, 64 * KIB, MIB, 32 * MIB])
def test_a_reader_that_stops_is_given_up_once_what_it_took_could_have_been_read(monkeypatch, size):
    reader = Reader(monkeypatch)
    reader.offer(2 * size)
    unseen = min(LONGEST_UNSEEN, size * SECOND // LOWEST_READ_RATE)
    given_up_at = reader.given_up_after([(SECOND, size)])
    assert SECOND + unseen < given_up_at <= SECOND + 5 * SECOND + unseen + progress_module.CHECK_INTERVAL


@pytest.mark.parametrize(
    ("step", "pause"),
    [(1, 4 * SECOND), (64 * KIB, 4 * SECOND), (93 * KIB, 10 * SECOND), (256 * KIB, 16 * SECOND), (MIB, 24 * SECOND)],
)
def test_a_reader_whose_machine_acknowledges_in_steps_is_not_given_up(monkeypatch, step, pause):
    """A kernel opens its window again only once a part of its buffer is free."""
    reader = Reader(monkeypatch)
    reader.offer(20 * step)
    steps = [(SECOND + number * pause, step) for number in range(20)]
    assert reader.given_up_after(steps) is None


def test_bytes_of_an_earlier_message_count_as_progress(monkeypatch):
    reader = Reader(monkeypatch)
    reader.unacknowledged = 4 * MIB
    reader.offer(64 * KIB)
    steps = [(number * 4 * SECOND, 64 * KIB) for number in range(1, 66)]
    assert reader.given_up_after(steps) is None


def test_the_time_between_two_writes_does_not_count_against_the_reader(monkeypatch):
    reader = Reader(monkeypatch)
    reader.offer(KIB)
    reader.loop.time += 100 * SECOND
    reader.offer(KIB)
    assert reader.given_up_after() == 105 * SECOND


# ---- writing to a real socket ---------------------------------------------------------------------


def connected(rcvbuf=0):
    """Both ends of a new connection, the accepted one first and non-blocking."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.socket()
        if rcvbuf:
            far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        far.connect(listener.getsockname())
        near = listener.accept()[0]
    near.setblocking(False)
    return near, far


def read_slowly(sock, size, piece, pause, first=0, slow=None):
    """Read `size` bytes: `first` at once, then `slow` of them in pieces with a pause after each, then the rest."""
    received = bytearray()
    slow_until = size if slow is None else first + slow
    while len(received) < size:
        part = sock.recv(first - len(received) if len(received) < first else piece)
        if not part:
            break
        received += part
        if first <= len(received) < slow_until:
            time.sleep(pause)
    return bytes(received)


READERS = {  # size of the answer, rcvbuf of the reader, and how it reads
    "steadily": (6 * MIB, 0, {"piece": 64 * KIB, "pause": 0.1, "slow": 2 * MIB}),
    "in tiny pieces": (6 * MIB, 0, {"piece": KIB, "pause": 0.002, "slow": MIB}),
    "with pauses": (8 * MIB, 0, {"piece": 512 * KIB, "pause": 1.0, "slow": 2 * MIB}),
    "first fast, then slowly": (24 * MIB, 0, {"piece": 64 * KIB, "pause": 0.1, "first": 12 * MIB, "slow": 2 * MIB}),
    "with a small buffer": (5 * MIB, 8 * KIB, {"piece": 4 * KIB, "pause": 0.02, "slow": 256 * KIB}),
    "a short message with a tiny buffer": (96 * KIB, 2 * KIB, {"piece": KIB, "pause": 0.02}),
}


@pytest.mark.parametrize("name", READERS)
def test_a_message_is_written_whole_to_a_peer_that_reads(name):
    """Guards against a time limit for a piece as a whole: a slow reader's socket is writable only after seconds."""
    size, rcvbuf, how = READERS[name]
    near, far = connected(rcvbuf)
    if rcvbuf and size < MIB:
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * KIB)
    body = os.urandom(KIB) * (size // KIB)
    loop, errors = Loop(), []

    def writes():
        progress = ReadProgress(loop, near, SILENT_FOR)
        try:
            for start in range(0, size, 64 * KIB):
                yield from send_as_read(near, [body[start : start + 64 * KIB]], progress)
        except (TimedOut, OSError) as error:
            errors.append(error)
        loop.close(near)
        loop.stopped = True

    with ThreadPoolExecutor() as pool, far:
        received = pool.submit(read_slowly, far, size, **how)
        loop.spawn(writes())
        loop.run()
        assert not errors
        assert received.result() == body


# ---- the real program: clients that read an answer --------------------------------------------------


class SlowReadersTest(SidecarTest):
    operator = '[limits]\nwrite_within = "400ms"\nsilent_for = "400ms"\n'

    def connect(self, kind=READ, rcvbuf=0, version="1.1", request_id="r"):
        """A new connection over which a request is sent."""
        host, port = self.listen.split(":")
        sock = socket.socket()
        self.addCleanup(sock.close)
        if rcvbuf:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        sock.settimeout(30)
        sock.connect((host, int(port)))
        sock.sendall(f"GET /api HTTP/{version}\r\nHost: h\r\nReq-Id: {request_id}\r\nReq-Kind: {kind}\r\n\r\n".encode())
        return sock

    def test_a_long_answer_of_every_framing_comes_whole_to_a_client_that_reads_slowly(self):
        """Guards against cutting off a client that reads without a stop (review/6)."""
        body = os.urandom(MIB) * 6
        pieces = [body[start : start + 64 * KIB] for start in range(0, len(body), 64 * KIB)]
        chunked = CHUNKED + b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"

        def until_the_end():
            yield NO_LENGTH + body
            raise ConnectionError("the end of the connection is that of the body")

        def answer(head, _):
            if "framing=length" in head:
                return http_response(200, body)
            return chunked if "framing=chunks" in head else until_the_end()

        self.start(answer)

        def read(framing, version):
            sock = self.connect(request_id=f"{version}&framing={framing}", version=version)
            response = http.client.HTTPResponse(sock)
            response.begin()
            received = bytearray()
            while len(received) < 3 * MIB and (piece := response.read(64 * KIB)):
                received += piece
                time.sleep(0.1)
            return bytes(received) + response.read()

        with ThreadPoolExecutor() as pool:
            clients = [("length", "1.1"), ("chunks", "1.1"), ("chunks", "1.0"), ("end", "1.1")]
            answers = list(pool.map(read, *zip(*clients, strict=True)))
        self.assertEqual([answer == body for answer in answers], [True] * len(clients))

    def test_a_client_that_stops_reading_is_reset_and_its_provider_is_released(self):
        """Guards against a client that makes no progress and keeps its connection, its provider's and the memory."""
        blocked, ended = threading.Event(), threading.Event()

        def answer(head, _):
            sock = self.providers[0].sockets[-1]
            sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % (32 * MIB))
            blocked.set()
            with suppress(OSError):
                for _ in range(32):
                    sock.sendall(bytes(MIB))
            ended.set()

        self.start(answer)
        for read in (0, 64 * KIB):
            with self.subTest(read=read):
                ended.clear()
                sock = self.connect(rcvbuf=4 * KIB, request_id=f"r{read}")
                received = 0
                while received < read and (piece := sock.recv(KIB)):
                    received += len(piece)
                began = time.monotonic()
                self.assertTrue(ended.wait(15))
                self.assertLess(time.monotonic() - began, 10)
                with self.assertRaises(ConnectionResetError):
                    while sock.recv(MIB):
                        pass


# ---- the real program: a provider that reads a forwarded body -----------------------------------------


class SlowServer(StubServer):
    """A server that reads a body slowly: `piece` bytes, then `pause` seconds; it stops after `stop_after` bytes."""

    def __init__(self, piece, pause, slow, stop_after=None):
        self.piece, self.pause, self.slow, self.stop_after = piece, pause, slow, stop_after
        self.received = 0
        super().__init__(ok)

    def _serve(self, sock, number):
        with suppress(OSError):
            data = b""
            while b"\r\n\r\n" not in data:
                data += sock.recv(KIB)
            head, _, rest = data.partition(b"\r\n\r\n")
            size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            self.received = len(rest)
            while self.received < size:
                if self.stop_after is not None and self.received >= self.stop_after:
                    time.sleep(30)
                read = len(sock.recv(self.piece))
                if not read:
                    break
                self.received += read
                if self.received < self.slow:
                    time.sleep(self.pause)
            else:
                sock.sendall(http_response(200, b"%d" % self.received))
        self.ended_connections.append(number)
        sock.close()


class SlowUploadTest(SidecarTest):
    operator = '[limits]\nsilent_for = "400ms"\n'

    def start_before(self, server):
        """Start with this provider alone, and with less memory than the body needs."""
        self.addCleanup(server.close)
        profiles = [p | {"hardLimit": 30 * SECOND} for p in SETTINGS["profiles"]]
        self.start(
            known=[entry("slow", server.address)],
            limits={"sockets": 256, "memory_mb": 16},
            settings=SETTINGS | {"profiles": profiles},
        )
        self.assertTrue(eventually(lambda: self.health() == 200))

    def test_a_body_is_forwarded_whole_to_a_provider_that_reads_slowly(self):
        """Guards against the cause of review/6 in the other direction: a piece of a body had a time as a whole."""
        self.start_before(SlowServer(64 * KIB, 0.1, 2 * MIB))
        body = os.urandom(MIB) * 8
        self.assertEqual(self.invoke(ONCE, 20000, body=body)[:2], (200, b"%d" % len(body)))

    def test_a_provider_that_stops_reading_a_body_is_given_up(self):
        server = SlowServer(KIB, 0.0, 0, stop_after=8 * KIB)
        server.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * KIB)
        self.start_before(server)
        began = time.monotonic()
        self.assertEqual(self.invoke(ONCE, 29000, body=bytes(12 * MIB))[0], 503)
        self.assertLess(time.monotonic() - began, 8)


@pytest.mark.parametrize("length", [MIB, 8 * MIB, 32 * MIB])
def test_a_forwarded_body_has_the_time_that_its_bytes_take_at_the_lowest_rate(length):
    """Guards against a longest time for a whole body: 32 MiB at 64 kB/s take almost nine minutes."""
    cls = settings().classes["push"]
    front = SimpleNamespace(options=Options(), loop=None)
    reader = RequestReader(SimpleNamespace(front=front, sock=None), 0)
    invocation = Invocation("r", cls, 3 * SECOND, HttpRequest(b"POST", b"/api", b"", False, []))
    reader._upload(invocation, Body(MemoryBudget(MIB)), length)
    takes = length * SECOND // 64_000
    assert invocation.time_left >= 3 * SECOND + takes
    assert invocation.cls.deadline >= cls.deadline + takes
    assert invocation.time_after_body == 3 * SECOND


@pytest.mark.parametrize("pause_ms", [100, 500, 1000, 2000, 2400])
def test_a_body_that_arrives_unevenly_at_the_rate_of_the_pages_is_awaited(pause_ms):
    """Guards against a rate that only even writers keep: each burst comes at the end of its time."""
    pause = pause_ms * MS
    loop = SimpleNamespace(time=0)
    front = SimpleNamespace(options=Options(), loop=loop)
    limits = front.options.limits
    reader = RequestReader(SimpleNamespace(front=front), limits.request_within)
    reader._begin_body()
    size = 0
    for _ in range(20 * SECOND // pause):
        assert reader._read_by(size) >= loop.time + pause
        loop.time += pause
        size += 64_000 * pause // SECOND
    stopped_at = loop.time
    assert reader._read_by(size) <= stopped_at + 3 * SECOND  # the pages' time for a client that stops


class SlowWriterTest(SidecarTest):
    operator = '[limits]\nbody_silent = "500ms"\n'

    def test_every_byte_of_a_request_in_chunks_is_progress(self):
        """Guards against a time for a chunk's head or the trailer as a whole, each of which arrives byte by byte."""
        self.start(ok)
        host, port = self.listen.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            head = f"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: r\r\nReq-Kind: {ONCE}\r\n"
            sock.sendall(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
            for data in (b"4;slow=1\r\n", b"body\r\n0\r\n\r\n"):
                for byte in data:
                    sock.sendall(bytes([byte]))
                    time.sleep(0.08)
            response = http.client.HTTPResponse(sock)
            response.begin()
            self.assertEqual((response.status, response.read()), (200, b"served body"))
