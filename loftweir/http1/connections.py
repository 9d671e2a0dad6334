"""All client connections: the idle ones in the order in which they expire, and which to close when connections run out.

All connections that are silent, or idle between requests, may be so for the same time. They are kept in the order in
which that time ends, and one coroutine closes those that are due.
"""

from __future__ import annotations

from itertools import islice

from loftweir.config.model import Options
from loftweir.http1.client import ClientConnection
from loftweir.http1.stage import Stage
from loftweir.net.loop import SECOND, Coroutine, Loop, Wait
from loftweir.net.stream import has_unacknowledged

CLOSES_PER_TURN = 64  # idle connections closed in one turn; responses that are ready go before the rest
EXPIRY_CHECK = SECOND  # the longest time between two checks for connections that have expired
EVICTION_CANDIDATES = 16  # connections of each kind that `evict` examines, the oldest first


class ClientConnections:
    """The table of client connections.

    Invariants: `clients` has every connection. `silent` and `idle` have those that wait for a request, in the order in
    which they expire, and `ending` those that are half-closed and whose remaining input is discarded. Every other one
    has a coroutine and is in none of the three.
    """

    def __init__(self, loop: Loop, options: Options, sockets: int) -> None:
        self.loop = loop
        self.options = options  # replaced whole by a reload
        limits = options.limits
        # Descriptors are divided between clients and providers: however many connections one side takes, the other
        # can still open some. An invocation needs one of each.
        self.max_clients = max(int(sockets * limits.consumers_of_sockets), 1)
        # Clients limit their number of connections too: idle ones that they don't use again, kept open for long,
        # would leave them none for new requests.
        self.max_idle = max(int(sockets * limits.idle_of_sockets), 1)
        self.clients: set[ClientConnection] = set()
        self.silent: dict[ClientConnection, None] = {}
        self.ending: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}

    # ---- idle connections -----------------------------------------------------------------------

    def waiting(self, client: ClientConnection) -> dict[ClientConnection, None]:
        """Return the table, `silent` or `idle`, in which a connection at this stage waits."""
        return self.silent if client.stage is Stage.SILENT else self.idle

    def watch(self, client: ClientConnection) -> None:
        """Have the loop watch a connection that waits for a request."""
        self.waiting(client)[client] = None
        self.loop.watch(client.sock.fileno(), client)

    def set_idle(self, client: ClientConnection) -> None:
        """Make a connection idle after its response; if too many are idle, end the one unused for longest."""
        if client.stage is not Stage.SILENT:
            client.stage = Stage.IDLE
            client.since = self.loop.time
        self.watch(client)
        if len(self.idle) > self.max_idle:
            oldest = next((c for c in self.idle if c is not client and c.is_quiet()), None)
            if oldest is not None:
                oldest.end()

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection that is over from all tables and close its descriptor."""
        self.clients.discard(client)
        self.silent.pop(client, None)
        self.ending.pop(client, None)
        self.idle.pop(client, None)
        self.loop.close(client.sock)

    def expire_idle(self) -> Coroutine[None]:
        """Close connections that have waited too long. One timer serves all: the first in each table is due next."""
        while True:
            limits = self.options.limits
            wake_silent, closed = self._end_overdue(self.silent, limits.request_within, CLOSES_PER_TURN)
            wake_idle, _ = self._end_overdue(self.idle, limits.idle_for, CLOSES_PER_TURN - closed)
            yield Wait(None, 0, min(wake_silent, wake_idle))

    def _end_overdue(self, waiting: dict[ClientConnection, None], allowed: int, limit: int) -> tuple[int, int]:
        """End at most `limit` connections that have waited for longer than allowed.

        Returns when to check again (0: at once), and how many were closed or put back.
        """
        now = self.loop.time
        closed = 0
        while waiting:
            first = next(iter(waiting))
            if first.since + allowed > now:
                return min(first.since + allowed, now + EXPIRY_CHECK), closed
            if closed == limit:
                return 0, closed
            closed += 1
            if first.is_quiet(Stage.IDLE):
                first.end()
            else:  # its request has arrived, and the loop has not handled the event yet
                del waiting[first]
                waiting[first] = None
                first.since = now
        return now + EXPIRY_CHECK, closed

    # ---- making room for new connections --------------------------------------------------------

    def evict(self) -> bool:
        """Close a connection to make room for a new client; return whether there was one that could be closed.

        The order is: one whose last response has been taken, one on which nothing has arrived, one between requests,
        one with a part of a request, and one that is slow to take its last response. Among equals, the oldest goes.
        """
        client = self._oldest_quiet() or self._oldest_begun() or next(iter(self.ending), None)
        if client is not None:
            client.log_closed("room")
            client.close()
        return client is not None

    def _oldest_quiet(self) -> ClientConnection | None:
        """Return a connection that can be closed without loss, if there is one among the candidates.

        A new connection is given a moment to send its first request.
        """
        opened_by = self.loop.time - self.options.limits.sends_within
        for table in (self.ending, self.silent, self.idle):
            for client in islice(table, EVICTION_CANDIDATES):
                if table is self.silent and client.since > opened_by:
                    break
                if client.is_quiet():
                    return client
        return None

    def _oldest_begun(self) -> ClientConnection | None:
        """Return the oldest connection that has sent at most a part of a request."""
        begun = [client for client in self.clients if client.stage in (Stage.SILENT, Stage.BEGUN)]
        begun.sort(key=lambda client: client.since)
        return next((client for client in begun if client.is_quiet(Stage.BEGUN)), None)

    # ---- the end --------------------------------------------------------------------------------

    def close_unused(self, half: bool) -> None:
        """Close all connections without a request; `half`: also those with a part of one.

        A new connection is given a moment to send its first request.
        """
        opened_by = self.loop.time - self.options.limits.sends_within
        for client in [c for c in self.clients if c.stage is not Stage.SILENT or half or c.since <= opened_by]:
            if client.stage is not Stage.ENDING and client.is_quiet(Stage.BEGUN if half else Stage.IDLE):
                if client.task is None:
                    client.end()
                else:
                    client.close()

    def has_unanswered(self) -> bool:
        """Whether a whole request has arrived whose response is not yet written."""
        return any(client.stage is Stage.BUSY for client in self.clients)

    def close(self) -> int:
        """Close all connections at the end of the process; return how many clients lack a part of their response.

        The system still sends what the process has written, unless something was left unread on the connection.
        """
        left = sum(client.stage is not Stage.ENDING or has_unacknowledged(client.sock) for client in self.clients)
        for client in list(self.clients):
            client.close()
        return left
