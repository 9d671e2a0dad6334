"""When a response is begun towards its client: before its deadline if it may be long, and no earlier than needed."""

import http.client
import os
import socket
import struct
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import NamedTuple

from scene import ONCE, READ, SidecarTest, StubServer, entry, eventually

KIB = 1024
HELD = 64 * KIB
LONG = os.urandom(KIB) * 176
DEADLINE_MS = 600
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

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
