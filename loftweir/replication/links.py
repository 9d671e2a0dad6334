"""A voter's way to each other member: one connection, set up again when it fails. What is lost the core says anew."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.net.stream import ConnectError
from loftweir.replication.api import AnyMessage, Append, Piece
from loftweir.replication.line import Broken, Line, dial
from loftweir.replication.wire import Hello, Turned, TurnedAway, Why

LEAST_APART, MOST_APART = 20 * MS, 250 * MS  # from one attempt to connect to the next; twice as long after each failure
UP_WITHIN = SECOND
WAITING = 8  # messages held while there is no connection: what is older is said anew by the core
HELD = 4 * 1024 * 1024  # bytes held of a connection that does not take them; then the oldest entries are dropped


class Link:
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
        self.waiting: deque[AnyMessage] = deque(maxlen=WAITING)
        self.line: Line | None = None
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
            self.line.put(message, isinstance(message, Append | Piece))

    def close(self) -> None:
        self.task.cancel()

    def _run(self) -> Coroutine[None]:
        apart = LEAST_APART
        while True:
            self.rests = True
            while not self.waiting:
                yield Wait(None, 0, None)
            self.rests = False
            try:
                line, there = yield from dial(self.loop, self.address(), self.hello, self.loop.now() + UP_WITHIN)
            except (ConnectError, TurnedAway) as error:
                if isinstance(error, TurnedAway):
                    self.turned(self.id, str(error))
            else:
                try:
                    if there.id != self.id:
                        self.turned(self.id, f"{Why.ANOTHER_ID.value} {there.id}")
                    else:
                        apart = LEAST_APART
                        yield from self._talk(line)
                except Broken:
                    pass
                finally:
                    self.line = None
                    line.close()
            self.waiting.clear()
            yield Wait(None, 0, self.loop.now() + apart // 2 + self.random.randrange(apart))
            apart = min(2 * apart, MOST_APART)

    def _talk(self, line: Line) -> Coroutine[None]:
        line.most, line.task, self.line = HELD, self.task, line
        while self.waiting:
            self.put(self.waiting.popleft())
        while True:
            frame = yield from line.next(None)
            if isinstance(frame, Turned):
                self.turned(self.id, f"{frame.why.value} {frame.about}".strip())
                return
