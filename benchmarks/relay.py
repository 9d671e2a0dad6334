"""A minimal relay as a baseline: asyncio and httptools, no decisions, no limits, no pipelining.

    python -m benchmarks.relay LISTEN PROVIDER [PROVIDER ...]

It parses each request, opens or reuses a connection to the next provider in turn, and forwards head and body.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from itertools import cycle
from typing import Any

import httptools


class ProviderConnection(asyncio.Protocol):
    """A connection to a provider; `client` is the connection that gets its next response."""

    def __init__(self, pool: deque[ProviderConnection]) -> None:
        self.pool = pool
        self.client: ClientConnection | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.reset()

    def reset(self) -> None:
        """Prepares for the next response."""
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []

    def data_received(self, data: bytes) -> None:
        self.parts.append(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        client, self.client = self.client, None
        response = b"".join(self.parts)
        self.reset()
        self.pool.append(self)
        if client is not None:
            client.transport.write(response)

    def connection_lost(self, error: Exception | None) -> None:
        if self in self.pool:
            self.pool.remove(self)
        if self.client is not None:
            self.client.transport.close()


class ClientConnection(asyncio.Protocol):
    """A client's connection."""

    def __init__(self, next_pool: Any) -> None:
        self.next_pool = next_pool

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.reset()

    def reset(self) -> None:
        """Prepares for the next request."""
        self.parser = httptools.HttpRequestParser(self)
        self.headers: list[bytes] = []
        self.body: list[bytes] = []

    def on_url(self, url: bytes) -> None:
        self.url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append(b"%s: %s\r\n" % (name, value))

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        head = b"%s %s HTTP/1.1\r\n" % (self.parser.get_method(), self.url)
        message = b"".join([head, *self.headers, b"\r\n", *self.body])
        if self.url == b"/_health":
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        else:
            address, pool = self.next_pool()
            if pool:
                self.send(pool.popleft(), message)
            else:
                asyncio.ensure_future(self.connect(address, pool, message))
        self.reset()

    async def connect(self, address: str, pool: deque[ProviderConnection], message: bytes) -> None:
        """Opens a connection to a provider and sends the request on it."""
        host, port = address.split(":")
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: ProviderConnection(pool), host, int(port)
        )
        self.send(connection, message)

    def send(self, connection: ProviderConnection, message: bytes) -> None:
        """Sends the request on a connection that is idle."""
        connection.client = self
        connection.transport.write(message)


async def main(listen: str, providers: list[str]) -> None:
    """Serves until it is killed."""
    pools = {address: deque[ProviderConnection]() for address in providers}
    turns = cycle(pools.items())
    host, port = listen.split(":")
    server = await asyncio.get_running_loop().create_server(
        lambda: ClientConnection(lambda: next(turns)), host, int(port)
    )
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2:]))
