"""The connections of one instance when connections have a cost: at most one to each node, shared by all attempts.

Opening a connection takes round trips, and at the node the work of the handshake, which competes with its requests. It
fails if the node is down, accepts no more connections, or does not complete it within the connect timeout; all attempts
that wait for the connection fail with it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from loftweir.emulator.clock import Clock
from loftweir.emulator.node import Node
from loftweir.emulator.processor import Job


class Network(Protocol):
    """The network between instances and nodes."""

    clock: Clock

    def network_delay(self, one: str, other: str) -> int:
        """The one-way delay between two zones."""

    def is_partitioned(self, one: str, other: str) -> bool:
        """Whether no message passes between two zones."""


class Connection:
    """One connection that is established or being opened."""

    __slots__ = ("node", "node_generation", "established", "closed", "waiting", "handshake")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.node_generation = node.generation  # the node's process that the connection leads to
        self.established = False
        self.closed = False
        self.waiting: list[tuple[Callable[[], None], Callable[[], None]]] = []  # each: on_established, on_failed
        self.handshake: Job | None = None

    def usable(self) -> bool:
        """Whether it is not closed and the node's process is still the same."""
        return not self.closed and self.node_generation == self.node.generation


class ConnectionTable:
    """The connections of one instance, by node."""

    def __init__(self, network: Network, zone: str, round_trips: int, timeout: int) -> None:
        self.network = network
        self.zone = zone
        self.round_trips = round_trips
        self.timeout = timeout
        self.by_node: dict[str, Connection] = {}

    def connect(self, node: Node, on_established: Callable[[], None], on_failed: Callable[[], None]) -> None:
        """Calls `on_established` once there is a connection to the node, at once if there is one already; calls
        `on_failed` if it can't be opened."""
        connection = self.by_node.get(node.name)
        if connection is None or not connection.usable():
            connection = self.by_node[node.name] = Connection(node)
            self._open(connection)
        if connection.established:
            on_established()
        else:
            connection.waiting.append((on_established, on_failed))

    def discard(self, node: Node) -> None:
        """Removes the connection to a node that has closed it."""
        connection = self.by_node.pop(node.name, None)
        if connection is not None:
            connection.closed = True

    def close_all(self) -> None:
        """Closes all connections, because the instance's own process ends."""
        for connection in self.by_node.values():
            if connection.established and connection.usable():
                connection.node.connections -= 1
            elif connection.usable() and connection.handshake is not None:
                connection.node.abandon_handshake(connection.handshake)
            connection.closed = True
        self.by_node.clear()

    def _open(self, connection: Connection) -> None:
        node, clock = connection.node, self.network.clock
        clock.call_later(self.timeout, self._timed_out, connection)
        if not node.isolated and not self.network.is_partitioned(self.zone, node.zone):
            until_handshake = self._delay(node) * max(1, 2 * self.round_trips - 1)
            clock.call_later(until_handshake, self._start_handshake, connection)

    def _delay(self, node: Node) -> int:
        return self.network.network_delay(self.zone, node.zone)

    def _start_handshake(self, connection: Connection) -> None:
        """Starts the handshake at the node, once its last message has arrived there."""
        node, clock = connection.node, self.network.clock
        if connection.closed:
            return

        def done() -> None:
            clock.call_later(self._delay(node), self._established, connection)

        connection.node_generation = node.generation
        connection.handshake = node.open_connection(done) if node.up else None
        if connection.handshake is None:
            clock.call_later(self._delay(node), self._fail, connection)

    def _established(self, connection: Connection) -> None:
        if not connection.usable():
            return
        connection.established = True
        waiting, connection.waiting = connection.waiting, []
        for on_established, _ in waiting:
            on_established()

    def _timed_out(self, connection: Connection) -> None:
        if connection.established or connection.closed:
            return
        if connection.handshake is not None and connection.usable():
            connection.node.abandon_handshake(connection.handshake)
        self._fail(connection)

    def _fail(self, connection: Connection) -> None:
        if connection.closed:
            return
        connection.closed = True
        waiting, connection.waiting = connection.waiting, []
        for _, on_failed in waiting:
            on_failed()
