"""A voter's connection to another member, which is re-established after a failure. The core retransmits lost
messages.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Wait
from loftweir.net.standing import StandingTask
from loftweir.net.stream import ConnectError
from loftweir.replication.api import AnyMessage, AppendEntries, InstallSnapshot
from loftweir.replication.line import CONNECTION_ERRORS, FrameConnection, dial
from loftweir.replication.wire import ConnectionRejected, Hello, RejectReason, TurnedAway

# Delay between two attempts to connect; doubled after each failure.
MIN_RECONNECT_DELAY = 20 * MS
MAX_RECONNECT_DELAY = 250 * MS

CONNECT_TIMEOUT = SECOND
# Messages queued while there is no connection; older ones are dropped, as the core retransmits them.
MAX_QUEUED_MESSAGES = 8
# Buffered for a member that does not read; above this the oldest AppendEntries and snapshot chunks are dropped.
MAX_UNSENT_BYTES = 4 * 1024 * 1024


class MemberLink:
    """Sends messages to one member.

    Invariant: messages are sent in the order of `put`, and none twice.
    """

    def __init__(
        self, loop: Loop, id: str, hello: Hello, address: Callable[[], str], on_rejected: Callable[[str, str], None]
    ) -> None:
        """`address` is called at each attempt to connect; `on_rejected` gets the id and the reason if the member
        rejects the connection.
        """
        self.loop = loop
        self.id = id
        self.hello = hello
        self.address = address
        self.on_rejected = on_rejected
        self.queue: deque[AnyMessage] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.connection: FrameConnection | None = None
        self.last_used_at = loop.now()
        self.idle = False  # waits for a message; in any other wait, a wake-up would be taken for its end
        self.random = Random(f"{hello.id} {id}")
        self.task = StandingTask(loop, self._run, urgent=True)

    def put(self, message: AnyMessage) -> None:
        """Sends a message, or queues it while there is no connection."""
        self.last_used_at = self.loop.now()
        if self.connection is None:
            self.queue.append(message)
            if self.idle:
                self.task.wake()
        else:
            self.connection.put(message, isinstance(message, AppendEntries | InstallSnapshot))

    def close(self) -> None:
        """Stops sending and closes the connection."""
        self.task.cancel()

    def _run(self) -> Coroutine[None]:
        delay = MIN_RECONNECT_DELAY
        while True:
            self.idle = True
            while not self.queue:
                yield Wait(None, 0, None)
            self.idle = False
            try:
                connection, peer = yield from dial(
                    self.loop, self.address(), self.hello, self.loop.now() + CONNECT_TIMEOUT
                )
            except (ConnectError, TurnedAway) as error:
                if isinstance(error, TurnedAway):
                    self.on_rejected(self.id, str(error))
            else:
                try:
                    if peer.id != self.id:
                        self.on_rejected(self.id, f"{RejectReason.ANOTHER_ID.value} {peer.id}")
                    else:
                        delay = MIN_RECONNECT_DELAY
                        yield from self._send_queued(connection)
                except CONNECTION_ERRORS:
                    pass
                finally:
                    self.connection = None
                    connection.close()
            self.queue.clear()
            yield Wait(None, 0, self.loop.now() + delay // 2 + self.random.randrange(delay))
            delay = min(2 * delay, MAX_RECONNECT_DELAY)

    def _send_queued(self, connection: FrameConnection) -> Coroutine[None]:
        connection.max_unsent_bytes, connection.task, self.connection = MAX_UNSENT_BYTES, self.task, connection
        while self.queue:
            self.put(self.queue.popleft())
        while True:
            frame = yield from connection.next(None)
            if isinstance(frame, ConnectionRejected):
                self.on_rejected(self.id, f"{frame.why.value} {frame.about}".strip())
                return
