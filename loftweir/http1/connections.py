"""All connections of the application: those at rest in the order in which their time ends, and who goes for want of
room.

All that are silent, or rest between requests, have one time to rest; they stand in the order in which that ends, and
one coroutine closes those due.
"""

from __future__ import annotations

from itertools import islice

from loftweir.config.model import Options
from loftweir.http1.client import ClientConnection
from loftweir.http1.stage import Stage
from loftweir.net.loop import SECOND, Coroutine, Loop, Wait
from loftweir.net.stream import has_unacknowledged

CLOSES_A_TURN = 64  # a wave of connections whose time is over waits for the answers that are ready
LOOK_AGAIN = SECOND  # at the latest, for connections whose time is over
LOOKS_AT = 16  # connections that `spare` looks at in each row, the longest there first


class ClientConnections:
    """The table of connections.

    Invariants: `clients` has every connection; `silent` and `idle` those at rest, in the order in which their time
    ends; `ending` those that are half-closed and read off. Every other one has a coroutine and is in no row.
    """

    def __init__(self, loop: Loop, options: Options, sockets: int) -> None:
        self.loop = loop
        self.options = options  # replaced whole by a reload
        limits = options.limits
        # Descriptors are shared out: however many connections clients open, providers are reached, and the other
        # way round. An invocation needs one of each kind.
        self.most_clients = max(int(sockets * limits.consumers_of_sockets), 1)
        # Clients hold connections up to a number of their own: idle ones that they don't use again, kept for long,
        # would leave them none for new requests.
        self.most_idle = max(int(sockets * limits.idle_of_sockets), 1)
        self.clients: set[ClientConnection] = set()
        self.silent: dict[ClientConnection, None] = {}
        self.ending: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}

    # ---- connections at rest --------------------------------------------------------------------

    def row(self, client: ClientConnection) -> dict[ClientConnection, None]:
        """The row in which a connection of this stage rests."""
        return self.silent if client.stage is Stage.SILENT else self.idle

    def watch(self, client: ClientConnection) -> None:
        """A connection rests: the loop watches it."""
        self.row(client)[client] = None
        self.loop.watch(client.sock.fileno(), client)

    def rests(self, client: ClientConnection) -> None:
        """A client has its answer. Of too many that rest, the one unused for longest goes."""
        if client.stage is not Stage.SILENT:
            client.stage = Stage.IDLE
            client.since = self.loop.time
        self.watch(client)
        if len(self.idle) > self.most_idle:
            oldest = next((c for c in self.idle if c is not client and c.quiet()), None)
            if oldest is not None:
                oldest.end()

    def forget(self, client: ClientConnection) -> None:
        """A connection is over: it stands in no row, and its descriptor is free."""
        self.clients.discard(client)
        self.silent.pop(client, None)
        self.ending.pop(client, None)
        self.idle.pop(client, None)
        self.loop.close(client.sock)

    def keep(self) -> Coroutine[None]:
        """Closes those whose rest is over. One timer for all of them: the first in each row is the next one due."""
        while True:
            limits = self.options.limits
            wake_silent, closed = self._end_overdue(self.silent, limits.request_within, CLOSES_A_TURN)
            wake_idle, _ = self._end_overdue(self.idle, limits.idle_for, CLOSES_A_TURN - closed)
            yield Wait(None, 0, min(wake_silent, wake_idle))

    def _end_overdue(self, row: dict[ClientConnection, None], rest: int, most: int) -> tuple[int, int]:
        """Ends those of a row whose rest is over, so many at most: when to look again (0: at once), and how many."""
        now = self.loop.time
        closed = 0
        while row:
            first = next(iter(row))
            if first.since + rest > now:
                return min(first.since + rest, now + LOOK_AGAIN), closed
            if closed == most:
                return 0, closed
            closed += 1
            if first.quiet(Stage.IDLE):
                first.end()
            else:  # its request has come, and the loop had no turn for it yet
                del row[first]
                row[first] = None
                first.since = now
        return now + LOOK_AGAIN, closed

    # ---- room -----------------------------------------------------------------------------------

    def spare(self) -> bool:
        """Makes room for a client: ends a connection whose last answer is out, else closes one that holds no whole
        request. One that never said anything goes first, then one between requests, then half a request, then one
        that is slow to take its last answer; in each, the one longest there."""
        client = self._oldest_quiet() or self._oldest_begun() or next(iter(self.ending), None)
        if client is not None:
            client.close()
        return client is not None

    def _oldest_quiet(self) -> ClientConnection | None:
        """One that ends or rests and is quiet. A new connection is given a moment to send what it is opened for."""
        settled = self.loop.time - self.options.limits.sends_within
        for row in (self.ending, self.silent, self.idle):
            for client in islice(row, LOOKS_AT):
                if row is self.silent and client.since > settled:
                    break
                if client.quiet():
                    return client
        return None

    def _oldest_begun(self) -> ClientConnection | None:
        """One that has sent a part of a request at most."""
        begun = [client for client in self.clients if client.stage in (Stage.SILENT, Stage.BEGUN)]
        begun.sort(key=lambda client: client.since)
        return next((client for client in begun if client.quiet(Stage.BEGUN)), None)

    # ---- the end --------------------------------------------------------------------------------

    def send_away(self, half: bool) -> None:
        """Closes who holds no request; `half`: also who has sent a part of one. A new connection has a moment to
        send what it is opened for."""
        settled = self.loop.time - self.options.limits.sends_within
        for client in [c for c in self.clients if c.stage is not Stage.SILENT or half or c.since <= settled]:
            if client.stage is not Stage.ENDING and client.quiet(Stage.BEGUN if half else Stage.IDLE):
                if client.task is None:
                    client.end()
                else:
                    client.close()

    def owes(self) -> bool:
        """A whole request has come that has no whole answer yet."""
        return any(client.stage is Stage.BUSY for client in self.clients)

    def close(self) -> int:
        """The process ends: what it has written goes out after it, unless something unread is left here. How many
        clients have not been given all that they are owed."""
        left = sum(client.stage is not Stage.ENDING or has_unacknowledged(client.sock) for client in self.clients)
        for client in list(self.clients):
            client.close()
        return left
