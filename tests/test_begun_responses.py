"""When a response is begun towards its client: before its deadline if it may be long, and no earlier than needed."""

import http.client
import itertools
import os
import socket
import struct
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import NamedTuple

import pytest
from scene import MS, ONCE, READ, SECOND, SidecarTest, StubServer, entry, eventually, http_response

from loftweir.http1.buffering import (
    BEGIN_MARGIN,
    MAX_BUFFER_FACTOR,
    MAX_BUFFER_TIME,
    MAX_PAUSED_BUFFER_TIME,
    ResponseBuffering,
)

KIB = 1024
HELD = 64 * KIB
LONG = os.urandom(KIB) * 176
DEADLINE_MS = 600
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# ---- the rule -------------------------------------------------------------------------------------


def buffering(length=None, deadline=3 * SECOND, head_at=0):
    """The rule for a response whose head arrived at `head_at`, with `deadline` left from 0 on."""
    return ResponseBuffering(length, HELD, head_at, deadline)


@pytest.mark.parametrize("length", [None, HELD + 1])
def test_a_head_alone_is_begun_before_the_deadline_and_not_earlier(length):
    assert buffering(length).begin_by(0) == 3 * SECOND - BEGIN_MARGIN


@pytest.mark.parametrize("size", [1, 16 * KIB, HELD])
@pytest.mark.parametrize("deadline", [100 * MS, 1200 * MS, 3 * SECOND])
def test_a_paused_response_is_begun_before_its_deadline_and_within_the_longest_pause(size, deadline):
    rule = buffering(deadline=deadline)
    rule.add_part(0)
    begin_by = rule.begin_by(size)
    assert begin_by < deadline
    assert begin_by == min(MAX_PAUSED_BUFFER_TIME, deadline - min(BEGIN_MARGIN, deadline // 2))


def test_the_time_to_buffer_counts_from_the_first_part():
    rule = buffering()
    rule.add_part(SECOND)
    rule.add_part(1100 * MS)
    assert rule.begin_by(HELD + 1) == SECOND + MAX_BUFFER_TIME
    assert not rule.is_begun(HELD + 1, SECOND + MAX_BUFFER_TIME)
    assert rule.is_begun(1, SECOND + MAX_BUFFER_TIME + 1)
    assert rule.is_begun(MAX_BUFFER_FACTOR * HELD + 1, 1100 * MS)


def test_a_short_response_of_known_length_is_never_begun_early():
    assert not buffering(HELD).may_be_long()
    rule = buffering(HELD + 1)
    rule.add_part(0)
    assert rule.is_begun(1, 0)


# ---- the real program -------------------------------------------------------------------------------


def chunk(data):
    """One chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


FRAMINGS = {  # the head, how a part of the body is framed, the end, and whether the connection is closed then
    "chunked": (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, b"0\r\n\r\n", False),
    "no length": (b"HTTP/1.1 200 X\r\n\r\n", bytes, b"", True),
    "HTTP/1.0": (b"HTTP/1.0 200 X\r\n\r\n", bytes, b"", True),
    "length": (b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(LONG), bytes, b"", False),
    "length, uncommon": (b"HTTP/1.1 200 X\r\ncontent-length:%d\r\n\r\n" % len(LONG), bytes, b"", False),
}


class ScriptedServer(StubServer):
    """A server that gives each request's socket and id to `respond`, which may close the connection."""

    def __init__(self, respond):
        self.respond = respond
        self.received = []  # ids of the requests
        super().__init__(None)

    def _serve(self, sock, number):
        data = b""
        with suppress(OSError), sock:
            while part := sock.recv(KIB):
                data += part
                if data.endswith(b"\r\n\r\n"):
                    name = data.lower().split(b"req-id: ")[1].split(b"\r\n")[0].decode()
                    self.received.append(name)
                    data = b""
                    self.respond(sock, name)


class Response(NamedTuple):
    """What a client received. Times are in seconds from the beginning of its request."""

    status: int
    body: bytes | None  # None: visibly incomplete
    first_byte: float
    last_byte: float


def stays_open(sock):
    """Keep a connection open until the program closes it."""
    sock.settimeout(15)
    sock.recv(1)


def reset(sock):
    """Close a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


class BegunTest(SidecarTest):
    operator = '[limits]\nsilent_for = "1s"\n'

    def start_servers(self, respond, servers=6):
        """Start with so many servers, all of which respond in this way."""
        self.servers = [ScriptedServer(respond) for _ in range(servers)]
        for server in self.servers:
            self.addCleanup(server.close)
        self.start(known=[entry(f"s{n}", server.address) for n, server in enumerate(self.servers)])
        self.assertTrue(eventually(lambda: self.health() == 200), self.log())

    def request(self, name, kind=ONCE, deadline_ms=DEADLINE_MS):
        """Send a request on a new connection until a server has received it; return its response."""
        while True:
            response = self.send_once(name, kind, deadline_ms)
            if any(name in server.received for server in self.servers):
                return response
            self.assertEqual(response.status, 503)  # refused for the moment, which the test is not about
            time.sleep(0.1)

    def send_once(self, name, kind, deadline_ms):
        host, port = self.listen.split(":")
        began = time.monotonic()
        method, length = ("GET", "") if kind == READ else ("POST", "Content-Length: 0\r\n")
        head = f"{method} /api HTTP/1.1\r\nHost: h\r\nReq-Id: {name}\r\nReq-Kind: {kind}\r\n{length}"
        with socket.create_connection((host, int(port)), timeout=20) as sock:
            sock.sendall(f"{head}Req-Deadline-Ms: {deadline_ms}\r\n\r\n".encode())
            self.assertTrue(sock.recv(1, socket.MSG_PEEK), "closed with no answer")
            first_byte = time.monotonic() - began
            response = http.client.HTTPResponse(sock)
            response.begin()
            body = None
            with suppress(http.client.IncompleteRead, ConnectionResetError):
                body = response.read()
        return Response(response.status, body, first_byte, time.monotonic() - began)

    def request_each(self, names, **how):
        """Send a request for each name, some at a time; return the responses by name."""
        with ThreadPoolExecutor(6) as pool:
            return dict(zip(names, pool.map(lambda name: self.request(name, **how), names), strict=True))

    def test_a_long_response_that_pauses_past_its_deadline_comes_whole_in_every_framing(self):
        """Guards against giving up a response whose first bytes came in time (review/9)."""
        cases = {
            f"{number}-{first}": (framing, first)
            for (number, framing), first in itertools.product(enumerate(FRAMINGS), (0, 1, 16 * KIB, 60 * KIB))
        }

        def respond(sock, name):
            framing, first = cases[name]
            head, frame, end, closes = FRAMINGS[framing]
            sock.sendall(head + (frame(LONG[:first]) if first else b""))
            time.sleep(DEADLINE_MS / 1000 + 0.15)
            for start in range(first, len(LONG), 16 * KIB):
                sock.sendall(frame(LONG[start : start + 16 * KIB]))
                time.sleep(0.01)
            sock.sendall(end)
            if closes:
                sock.close()

        self.start_servers(respond)
        for name, response in self.request_each(cases).items():
            with self.subTest(framing=cases[name][0], first=cases[name][1]):
                self.assertEqual((response.status, response.body == LONG), (200, True))
                self.assertLess(response.first_byte, DEADLINE_MS / 1000)

    def test_a_response_that_pauses_is_not_withheld_for_long(self):
        """What has arrived of a response that may be long must reach the client within 2 s."""

        def respond(sock, name):
            sock.sendall(FRAMINGS["chunked"][0] + chunk(LONG[: 16 * KIB]))
            time.sleep(1.8)
            sock.sendall(chunk(LONG[16 * KIB :]) + b"0\r\n\r\n")

        self.start_servers(respond)
        response = self.request("r", deadline_ms=2900)
        self.assertEqual((response.status, response.body == LONG), (200, True))
        self.assertLess(response.first_byte, 1.6)

    def test_a_provider_that_breaks_off_before_its_response_is_begun_is_not_seen_by_the_client(self):
        """Guards against a connection that is closed with no answer, and an answer that is begun too early."""
        cases = {
            f"{number}-{first}-{end.__name__}": (framing, first, end)
            for (number, framing), first, end in itertools.product(
                enumerate(FRAMINGS), (0, 16 * KIB), (reset, socket.socket.close)
            )
            if (first == 0 or "length" not in framing or framing == "no length")  # a long one has begun by then
            and (end is reset or FRAMINGS[framing][2:] != (b"", True))  # with no length, a close is the end
        }

        def respond(sock, name):
            framing, first, end = cases[name]
            head, frame, _, _ = FRAMINGS[framing]
            sock.sendall(head + (frame(LONG[:first]) if first else b""))
            time.sleep(0.5)
            end(sock)

        self.start_servers(respond)
        for name, response in self.request_each(cases, deadline_ms=2000).items():
            with self.subTest(case=cases[name]):
                self.assertEqual((response.status, response.body), (502, b"failed\n"))

    def test_a_repeatable_request_is_served_by_another_provider_if_the_first_breaks_off_early(self):
        tries = []

        def respond(sock, name):
            tries.append(name)
            if len(tries) == 1:
                sock.sendall(FRAMINGS["chunked"][0] + chunk(LONG[: 16 * KIB]))
                time.sleep(0.5)
                reset(sock)
            else:
                sock.sendall(http_response(200, b"served"))

        self.start_servers(respond)
        self.assertEqual(self.request("r", READ, 2000)[:2], (200, b"served"))
        self.assertEqual(len(tries), 2)

    def test_a_provider_that_stays_silent_is_given_up_and_the_client_can_tell(self):
        """Guards against a peer without progress: a short response must end before it counts as lost."""
        cases = dict.fromkeys(("0-0", "0-3", "1-0", "1-3", "3-0", "3-3", "4-0"))

        def respond(sock, name):
            number, first = map(int, name.split("-"))
            head, frame, _, _ = list(FRAMINGS.values())[number]
            sock.sendall(head + (frame(LONG[:first]) if first else b""))
            stays_open(sock)
            ended.append(name)

        ended = []
        self.start_servers(respond)
        for name, response in self.request_each(cases).items():
            with self.subTest(name):
                self.assertEqual((response.status, response.body), (200, None))
                self.assertLess(response.first_byte, DEADLINE_MS / 1000)
                long = name.startswith(("3", "4"))  # by its length: `silent_for` from the beginning on
                self.assertLess(response.last_byte, DEADLINE_MS / 1000 + (1.5 if long else 0.5))
        self.assertTrue(eventually(lambda: len(ended) == len(cases)), "the providers' connections are closed")

    def test_every_byte_of_a_forwarded_response_is_progress(self):
        """Guards against a time for a chunk's head or the trailer as a whole, each of which arrives byte by byte."""
        first = chunk(LONG[: 100 * KIB])
        head_of_chunk = b"%x;extension=slow\r\n" % (76 * KIB)
        trailer = b"0\r\nTrailer: slow\r\n\r\n"

        def respond(sock, name):
            sock.sendall(FRAMINGS["chunked"][0] + first)
            for data in (head_of_chunk, LONG[100 * KIB :] + b"\r\n", trailer):
                if len(data) > 100:
                    sock.sendall(data)
                    continue
                for byte in data:
                    sock.sendall(bytes([byte]))
                    time.sleep(0.1)

        self.start_servers(respond)
        response = self.request("r")
        self.assertEqual((response.status, response.body == LONG), (200, True))

    def test_a_response_that_may_be_short_and_goes_on_half_a_second_late_is_given_its_whole_silence(self):
        """Once a short one would be lost in any case, ending it helps nobody, and a long one must not be cut off."""

        def respond(sock, name):
            sock.sendall(FRAMINGS["chunked"][0] + chunk(LONG[: 16 * KIB]))
            time.sleep(DEADLINE_MS / 1000 + 0.25)
            sock.sendall(chunk(LONG[16 * KIB : 32 * KIB]))
            time.sleep(0.8)
            sock.sendall(chunk(LONG[32 * KIB :]) + b"0\r\n\r\n")

        self.start_servers(respond)
        response = self.request("r")
        self.assertEqual((response.status, response.body == LONG), (200, True))
