"""A voter's way to each other member: one connection, set up again when it fails. What is lost the core says anew."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.net.stream import NotUp
from loftweir.replication.api import AnyMessage, AppendEntries, InstallSnapshot
from loftweir.replication.line import CONNECTION_ERRORS, FrameConnection, dial
from loftweir.replication.wire import ConnectionRejected, Hello, RejectReason, TurnedAway

MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY = (
    20 * MS,
    250 * MS,
)  # from one attempt to connect to the next; twice as long after each failure
CONNECT_TIMEOUT = SECOND
MAX_QUEUED_MESSAGES = 8  # messages held while there is no connection: what is older is said anew by the core
MAX_UNSENT_BYTES = (
    4 * 1024 * 1024
)  # bytes held of a connection that does not take them; then the oldest entries are dropped


class MemberLink:
    """Invariant: messages leave in the order in which they were said, and none twice."""

    def __init__(
        self, loop: Loop, id: str, hello: Hello, address: Callable[[], str], turned: Callable[[str, str], None]
    ) -> None:
        """`address` is asked at each attempt; `turned` is told the id and why nothing is taken there."""
        self.loop = loop
        self.id = id
        self.hello = hello
        self.address = address
        self.turned = turned
        self.waiting: deque[AnyMessage] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.line: FrameConnection | None = None
        self.said_at = loop.now()
        self.rests = False  # it waits for something to say; woken in any other wait, it would take that for its end
        self.random = Random(f"{hello.id} {id}")
        self.task: Task = loop.spawn(self._run(), urgent=True)

    def put(self, message: AnyMessage) -> None:
        self.said_at = self.loop.now()
        if self.line is None:
            self.waiting.append(message)
            if self.rests:
                self.task.wake()
        else:
            self.line.put(message, isinstance(message, AppendEntries | InstallSnapshot))

    def close(self) -> None:
        self.task.cancel()

    def _run(self) -> Coroutine[None]:
        apart = MIN_RECONNECT_DELAY
        while True:
            self.rests = True
            while not self.waiting:
                yield Wait(None, 0, None)
            self.rests = False
            try:
                line, there = yield from dial(self.loop, self.address(), self.hello, self.loop.now() + CONNECT_TIMEOUT)
            except (NotUp, TurnedAway) as error:
                if isinstance(error, TurnedAway):
                    self.turned(self.id, str(error))
            else:
                try:
                    if there.id != self.id:
                        self.turned(self.id, f"{RejectReason.ANOTHER_ID.value} {there.id}")
                    else:
                        apart = MIN_RECONNECT_DELAY
                        yield from self._talk(line)
                except CONNECTION_ERRORS:
                    pass
                finally:
                    self.line = None
                    line.close()
            self.waiting.clear()
            yield Wait(None, 0, self.loop.now() + apart // 2 + self.random.randrange(apart))
            apart = min(2 * apart, MAX_RECONNECT_DELAY)

    def _talk(self, line: FrameConnection) -> Coroutine[None]:
        line.most, line.task, self.line = MAX_UNSENT_BYTES, self.task, line
        while self.waiting:
            self.put(self.waiting.popleft())
        while True:
            frame = yield from line.next(None)
            if isinstance(frame, ConnectionRejected):
                self.turned(self.id, f"{frame.why.value} {frame.about}".strip())
                return
