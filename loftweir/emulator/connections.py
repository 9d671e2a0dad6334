"""The connections of one instance, where they are costly: one to a node at most, shared by all calls to it.

Opening one takes round trips, and at the node the handshake's work, done among its requests. It fails where the node is
down or accepts no more, and where it is not up within the connect timeout; all calls that wait for it fail with it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from loftweir.emulator.clock import Clock
from loftweir.emulator.node import Node
from loftweir.emulator.processor import Job


class Network(Protocol):
    """What the emulation says of the way between an instance and a node."""

    clock: Clock

    def delay(self, one: str, other: str) -> int:
        """The time one way."""

    def cut_between(self, one: str, other: str) -> bool:
        """Whether nothing passes."""


class Connection:
    """One connection, being opened or up."""

    __slots__ = ("node", "life", "up", "over", "waiting", "handshake")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.life = node.life  # the node's process that it is to
        self.up = False
        self.over = False
        self.waiting: list[tuple[Callable[[], None], Callable[[], None]]] = []  # of each call: when up, when failed
        self.handshake: Job | None = None

    def usable(self) -> bool:
        return not self.over and self.life == self.node.life


class ConnectionTable:
    """The connections of one instance by node."""

    def __init__(self, network: Network, zone: str, round_trips: int, timeout: int) -> None:
        self.network = network
        self.zone = zone
        self.round_trips = round_trips
        self.timeout = timeout
        self.by_node: dict[str, Connection] = {}

    def reach(self, node: Node, up: Callable[[], None], failed: Callable[[], None]) -> None:
        """Call `up` once there is a connection to the node, at once where there is one, or `failed`."""
        connection = self.by_node.get(node.name)
        if connection is None or not connection.usable():
            connection = self.by_node[node.name] = Connection(node)
            self._open(connection)
        if connection.up:
            up()
        else:
            connection.waiting.append((up, failed))

    def drop(self, node: Node) -> None:
        """The node's process has ended it."""
        connection = self.by_node.pop(node.name, None)
        if connection is not None:
            connection.over = True

    def close_all(self) -> None:
        """The instance's own process ends."""
        for connection in self.by_node.values():
            if connection.up and connection.usable():
                connection.node.connections -= 1
            elif connection.usable() and connection.handshake is not None:
                connection.node.abandon_handshake(connection.handshake)
            connection.over = True
        self.by_node.clear()

    def _open(self, connection: Connection) -> None:
        node, clock = connection.node, self.network.clock
        clock.after(self.timeout, self._timed_out, connection)
        if not node.cut and not self.network.cut_between(self.zone, node.zone):
            there = self._delay(node) * max(1, 2 * self.round_trips - 1)
            clock.after(there, self._shake_hands, connection)

    def _delay(self, node: Node) -> int:
        return self.network.delay(self.zone, node.zone)

    def _shake_hands(self, connection: Connection) -> None:
        """The connection's opening has reached the node."""
        node, clock = connection.node, self.network.clock
        if connection.over:
            return

        def done() -> None:
            clock.after(self._delay(node), self._is_up, connection)

        connection.life = node.life
        connection.handshake = node.open_connection(done) if node.up else None
        if connection.handshake is None:
            clock.after(self._delay(node), self._fail, connection)

    def _is_up(self, connection: Connection) -> None:
        if not connection.usable():
            return
        connection.up = True
        waiting, connection.waiting = connection.waiting, []
        for up, _ in waiting:
            up()

    def _timed_out(self, connection: Connection) -> None:
        if connection.up or connection.over:
            return
        if connection.handshake is not None and connection.usable():
            connection.node.abandon_handshake(connection.handshake)
        self._fail(connection)

    def _fail(self, connection: Connection) -> None:
        if connection.over:
            return
        connection.over = True
        waiting, connection.waiting = connection.waiting, []
        for _, failed in waiting:
            failed()
