"""Test helper: many clients at once, each with a coroutine, and servers that answer them; all on one asyncio loop."""

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from contextlib import suppress
from functools import cache
from pathlib import Path

from scene import ROOT, SECOND, SETTINGS, StubDiscovery, address_of, entry, http_response, list_body, listener

KIB = 1024
MIB = 1024 * KIB


def resident(pid, field="VmHWM"):
    """The resident memory of a process in MiB as the kernel tells it; VmHWM: the highest so far, VmRSS: now."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(field + ":")) / 1024


def head(length=None, kind="apply-submit", deadline_ms=3000, fields=b"", method=b"POST", request_id=None):
    """The head of a request with the fields that each one needs; `length`: of its body, None for a chunked one."""
    name = request_id or os.urandom(8).hex()
    own = f"Host: h\r\nReq-Id: {name}\r\nReq-Kind: {kind}\r\nReq-Deadline-Ms: {deadline_ms}\r\n".encode()
    framing = b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
    return method + b" /api HTTP/1.1\r\n" + own + framing + fields + b"\r\n"


@cache
def short_fields(size):
    """As many of the shortest fields with different names as fit into `size` bytes."""
    fields = bytearray()
    number = 0
    while len(fields) < size - 8:
        fields += b"%x:\r\n" % number
        number += 1
    return bytes(fields)


def fields_of(top):
    """The fields of a head by their names in lower case."""
    lines = (line.partition(b":") for line in top.split(b"\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in lines}


class CrowdClient:
    """One connection of a crowd."""

    def __init__(self, address, receive_buffer=0):
        host, port = address.split(":")
        self.address = (host, int(port))
        self.sock = socket.socket()
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.setblocking(False)
        self.loop = asyncio.get_running_loop()

    async def connect(self):
        """Connect; the listener's queue may be full for a while."""
        await self.loop.sock_connect(self.sock, self.address)

    async def send(self, data, piece=0, pause=0.0):
        """Send bytes, in pieces of `piece` bytes with a pause in seconds after each if that is not 0."""
        for at in range(0, len(data), piece or len(data)):
            await self.loop.sock_sendall(self.sock, data[at : at + (piece or len(data))])
            if pause:
                await asyncio.sleep(pause)

    async def read(self, most=64 * KIB):
        """Return what arrives next; nothing at the end of the connection."""
        return await self.loop.sock_recv(self.sock, most)

    async def read_slowly(self, rate, until):
        """Read at `rate` bytes a second until the end of the connection or the loop's time `until`; return the size."""
        size = 0
        while self.loop.time() < until:
            try:
                data = await asyncio.wait_for(self.read(max(1, rate // 10)), max(0.01, until - self.loop.time()))
            except TimeoutError:
                break
            if not data:
                break
            size += len(data)
            await asyncio.sleep(0.1)
        return size

    async def response(self):
        """Read one response with a Content-Length; return its status and body, (0, b"") if the connection ends."""
        data = b""
        while b"\r\n\r\n" not in data:
            more = await self.read()
            if not more:
                return 0, b""
            data += more
        top, _, body = data.partition(b"\r\n\r\n")
        length = int(fields_of(top).get(b"content-length", 0))
        while len(body) < length:
            more = await self.read()
            if not more:
                return 0, b""
            body += more
        return int(top.split(b" ", 2)[1]), body

    async def ask(self, request):
        """Send a request and return the status of its response, 0 if the connection ends."""
        await self.send(request)
        return (await self.response())[0]

    def close(self):
        """Close the connection."""
        self.sock.close()


class CrowdServer:
    """A provider that answers a POST with what the coroutine `answer(writer, head, body)` writes, and a GET at once."""

    def __init__(self, answer):
        self.answer = answer
        self.ran = Counter()  # requests that have arrived whole, by id
        self.once = Counter()  # those that must run once
        self.address = ""
        self.writers = []

    async def start(self):
        """Listen at a free address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=MIB)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                top = await reader.readuntil(b"\r\n\r\n")
                fields = fields_of(top)
                body = await reader.readexactly(int(fields.get(b"content-length", 0)))
                name = fields[b"req-id"].decode()
                self.ran[name] += 1
                self.once[name] += top.startswith(b"POST")
                await (served if top.startswith(b"GET") else self.answer)(writer, top, body)
                await writer.drain()
        writer.close()

    async def stop(self):
        """End like a process that dies."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


def served_after(seconds):
    """The answer of a server that takes `seconds` for each request."""

    async def answer(writer, top, body):
        await asyncio.sleep(seconds)
        writer.write(http_response(200, b"served"))

    return answer


served = served_after(0.0)


def answer_with(size, chunk=0):
    """The answer of a server with bodies of `size` bytes; `chunk`: in chunks of so many bytes, if that is not 0."""
    body = os.urandom(size)
    chunks = (
        b"".join(b"%x\r\n%s\r\n" % (chunk, body[at : at + chunk]) for at in range(0, size, chunk)) if chunk else b""
    )

    async def answer(writer, top, _):
        if chunk:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n")
        else:
            writer.write(http_response(200, body))

    return answer


async def many_field_answer(writer, top, body):
    """The answer of a server with a head of very many short fields."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n" + short_fields(60_000) + b"\r\nserved")


class CrowdSidecar:
    """The program as a process before some servers, which answer with the coroutine `answer`."""

    def __init__(self, answer, memory_mb, sockets=1024, servers=4, long_deadlines=False):
        self.servers = [CrowdServer(answer) for _ in range(servers)]
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.settings = SETTINGS
        if long_deadlines:
            self.settings = SETTINGS | {"profiles": [p | {"hardLimit": 30 * SECOND} for p in SETTINGS["profiles"]]}
        self.folder = tempfile.TemporaryDirectory()
        self.errors = Path(self.folder.name, "log")

    async def __aenter__(self):
        for server in self.servers:
            await server.start()
        self.discovery = StubDiscovery()
        self.discovery.entries = [entry(f"s{n}", server.address) for n, server in enumerate(self.servers)]
        with listener() as free:
            self.address = address_of(free)
        config = {
            "name": "n0",
            "listen": self.address,
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": json.loads(list_body(0, self.discovery.entries, True)),
            "settings": self.settings,
        }
        path = Path(self.folder.name, "config.json")
        path.write_text(json.dumps(config), encoding="utf-8")
        environment = {"RELAY_CONFIG": str(path), "RELAY_DISCOVERY": self.discovery.address, "PYTHONPATH": str(ROOT)}
        limit = ["prlimit", f"--nofile={self.limits['sockets']}"]
        with self.errors.open("wb") as errors:
            self.program = subprocess.Popen(
                [*limit, sys.executable, "-m", "loftweir"],
                env=os.environ | environment,
                stderr=errors,
                cwd=self.folder.name,
            )
        await self.ready()
        return self

    async def ready(self):
        """Wait until the program accepts a connection and says that it is ready."""
        for _ in range(200):
            client = CrowdClient(self.address)
            with suppress(OSError):
                await client.connect()
                if await client.ask(b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n") == 200:
                    client.close()
                    return
            client.close()
            await asyncio.sleep(0.05)
        raise AssertionError(self.log())

    async def __aexit__(self, *_):
        self.program.kill()
        self.program.wait()
        self.discovery.close()
        for server in self.servers:
            await server.stop()
        self.folder.cleanup()

    def log(self):
        """The program's log so far."""
        return self.errors.read_text(encoding="utf-8")
