"""The event loop: epoll, generators as coroutines, and one timer of a library heap for each wait.

A coroutine yields a `Wait` and is sent back the epoll events that ended it, 0 when its time was up, or `WOKEN` when
another coroutine woke it. Nothing here knows of HTTP or of the balancer.

What costs little, and why:

- A descriptor stays registered with epoll from its first wait to its close. A wait for what it is registered for costs
  no system call; an event that nobody waits for takes the descriptor off what it reported, once.
- A wait that ends early leaves its timer in the heap. The next wait of the same task takes it over where it is due no
  later: when it comes up it looks at what is due now, and goes back into the heap. A connection so makes one entry in
  some seconds, however many requests go over it.
- A descriptor that epoll can't take now, for want of memory, is tried again until it does: its watcher waits on.
- Who is silent has no coroutine and no timer at all: a `Watcher` is an object that epoll's event is handed to.
"""

from __future__ import annotations

import errno
import heapq
import select
import time
from collections import deque
from collections.abc import Callable, Generator
from itertools import count
from socket import socket
from typing import Any, NamedTuple, Protocol, TypeVar

from loftweir.telemetry.catalogue import COROUTINE_BROKEN, LOOP_WATCH_FAILED
from loftweir.telemetry.log import emit, traceback_location

T = TypeVar("T")
MS = 1_000_000
SECOND = 1_000 * MS
WOKEN = -1
READABLE, WRITABLE, HUNG_UP = select.EPOLLIN, select.EPOLLOUT, select.EPOLLRDHUP
EXCLUSIVE = select.EPOLLEXCLUSIVE  # of a descriptor that others wait on too; it can't be changed once registered
ENDED = select.EPOLLERR | select.EPOLLHUP  # reported whether asked for or not
SWEEP_AT = 256  # dead timers
LONGEST_POLL = 60.0  # seconds; epoll's time-out is a 32-bit number of milliseconds
# A round: steps of what is under way, then new work. What is answered goes first: however much comes, an answer that is
# ready waits for no more than this many requests to be read.
DUE_A_ROUND, FRESH_A_ROUND = 256, 32
# A turn ends after the step in which this has passed, and the round goes on in the next one: epoll is asked again, and
# what is urgent goes first. In a process with a small share of a core a whole round can outlast the drain grace.
TURN_LASTS = 10 * MS
RETRY_WATCH = 5 * MS  # until epoll is asked again for a descriptor that it could not take


class Pollable(Protocol):
    """A socket, or whatever else has a descriptor that epoll takes."""

    def fileno(self) -> int: ...


class Watcher(Protocol):
    """Who waits for a descriptor's events `mask`. It is taken off before `ready` is called, which must not run
    anything: events of one poll are all handed out before any of them is acted on."""

    mask: int

    def ready(self, events: int) -> None: ...


class Wait(NamedTuple):
    """What a coroutine waits for: events on a socket, a point in time, or both."""

    sock: Pollable | None
    mask: int
    until: int | None


Coroutine = Generator[Wait, int, T]


class Task:
    """A running coroutine. It waits (`waiting` is set), is due to go on (`due` is set), runs, or is over.

    Invariant: `timer_at` is the time of its one live entry in the heap, 0 where it has none; every other entry that
    names it is dead and counted in `Loop.dead_timers`.
    """

    __slots__ = ("loop", "coroutine", "crashed", "lane", "mask", "waiting", "fd", "until", "timer_at", "due", "over")

    def __init__(
        self,
        loop: Loop,
        coroutine: Coroutine[None],
        crashed: Callable[[Exception], None] | None,
        lane: deque[Callable[[], None]],
    ) -> None:
        self.loop = loop
        self.coroutine = coroutine
        self.crashed = crashed
        self.lane = lane
        self.mask = 0
        self.waiting = False
        self.fd = -1
        self.until: int | None = None
        self.timer_at = 0
        self.due: int | None = None
        self.over = False

    def wake(self) -> None:
        """Ends the wait of another coroutine; does nothing to one that does not wait."""
        if self.waiting:
            self.resume(WOKEN)

    def cancel(self) -> None:
        """Ends a coroutine where it waits; its `finally` clauses run."""
        if not self.over:
            self.crashed = None
            self.disarm()
            self.end()
            self.coroutine.close()

    def ready(self, events: int) -> None:
        self.fd = -1  # the loop has taken it off
        self.waiting = False
        self.due = events
        self.lane.append(self.step)

    def resume(self, value: int) -> None:
        self.disarm()
        self.due = value
        (self.lane if self.lane is self.loop.urgent else self.loop.due).append(self.step)

    def disarm(self) -> None:
        if self.fd >= 0:
            del self.loop.watchers[self.fd]
            self.fd = -1
        self.waiting = False

    def end(self) -> None:
        self.over = True
        if self.timer_at:
            self.loop.dead_timers += 1

    def time_out(self) -> None:
        """Its entry in the heap came up: the wait is over, or the entry was left by an earlier one."""
        self.timer_at = 0
        if self.waiting and self.until is not None:
            if self.until <= self.loop.time:
                self.resume(0)
            else:
                self.loop.set_timer(self, self.until)

    def step(self) -> None:
        if self.over:
            return
        value, self.due = self.due, None
        loop = self.loop
        try:
            # A generator that has not begun takes None only, and so it is.
            sock, mask, until = self.coroutine.send(value)  # type: ignore[arg-type]
            if sock is not None:
                self.mask = mask
                self.fd = loop.watch(sock.fileno(), self)
            self.waiting = True  # last: a wait that could not be set up must not be taken down
            self.until = until
            if until is not None and not 0 < self.timer_at <= until:
                loop.set_timer(self, until)
        except StopIteration:
            self.end()
            self.crashed = None  # a dead timer may keep this task, and what it names, for a while
        except Exception as error:
            # One broken coroutine must not end the process: its owner answers for it.
            self.disarm()
            self.end()
            self.coroutine.close()
            name = getattr(self.coroutine, "__qualname__", "")
            emit(COROUTINE_BROKEN, coroutine=name, error=repr(error), at=traceback_location(error))
            if self.crashed is not None:
                self.crashed(error)


class Loop:
    """Runs coroutines on epoll; `now` is Unix time in nanoseconds that only goes forward.

    `time` is that clock as of the beginning of the step that runs: what a step does takes well under a millisecond,
    and reading the clock at every turn of it would take a part of that.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        # Set once: the system's clock may be put back while this runs, and the balancer's may not.
        self.offset = time.time_ns() - time.monotonic_ns()
        self.time = self.now()
        self.timers: list[tuple[int, int, Task | None, Callable[..., None] | None, tuple[Any, ...]]] = []
        self.order = count()  # of entries at one time: first come, first due
        self.dead_timers = 0
        self.registered: dict[int, int] = {}  # what epoll reports of each descriptor
        self.watchers: dict[int, Watcher] = {}
        self.unheard: set[int] = set()  # those watched whose registration failed, and is tried again
        self.due: deque[Callable[[], None]] = deque()
        self.fresh: deque[Callable[[], None]] = deque()
        self.urgent: deque[Callable[[], None]] = deque()
        self.stopped = False

    def now(self) -> int:
        return time.monotonic_ns() + self.offset

    # ---- coroutines -----------------------------------------------------------------------------

    def spawn(
        self,
        coroutine: Coroutine[None],
        crashed: Callable[[Exception], None] | None = None,
        fresh: bool = False,
        urgent: bool = False,
    ) -> Task:
        """Begins a coroutine at this loop's next turn. `fresh`: it takes new work, and events wake it after all
        that is under way. `urgent`: it goes before all else, and must be seldom."""
        task = Task(self, coroutine, crashed, self.urgent if urgent else self.fresh if fresh else self.due)
        task.lane.append(task.step)
        return task

    def start(self, coroutine: Coroutine[None], crashed: Callable[[Exception], None] | None = None) -> Task:
        """Begins a coroutine now: it has run to its first wait, or its end, when this returns."""
        task = self.task(coroutine, crashed)
        task.step()
        return task

    def task(self, coroutine: Coroutine[None], crashed: Callable[[Exception], None] | None = None) -> Task:
        """A coroutine that whoever asked for it begins, by `step`."""
        return Task(self, coroutine, crashed, self.due)

    # ---- descriptors ----------------------------------------------------------------------------

    def watch(self, fd: int, watcher: Watcher) -> int:
        """Hands the next event of `watcher.mask` on a descriptor to its watcher, and takes it off then."""
        self.watchers[fd] = watcher
        self._register(fd, watcher.mask)
        return fd

    def _register(self, fd: int, wanted: int) -> None:
        have = self.registered.get(fd)
        try:
            if have is None:
                self.epoll.register(fd, wanted)
                self.registered[fd] = wanted
            elif have & wanted != wanted:
                self.epoll.modify(fd, have | wanted)
                self.registered[fd] = have | wanted
        except OSError as error:
            if error.errno not in (errno.ENOMEM, errno.ENOSPC):
                self.watchers.pop(fd, None)
                raise
            self._try_again(fd, error)

    def _try_again(self, fd: int, error: OSError) -> None:
        emit(LOOP_WATCH_FAILED, why=error.strerror)
        if not self.unheard:
            self.after(RETRY_WATCH, self._register_again)
        self.unheard.add(fd)

    def _register_again(self) -> None:
        unheard, self.unheard = self.unheard, set()
        for fd in unheard:
            watcher = self.watchers.get(fd)
            if watcher is None:
                continue
            try:
                self._register(fd, watcher.mask)
            except OSError:  # it can't be watched: whoever waits finds out what is wrong with it
                watcher.ready(ENDED)

    def _narrow(self, fd: int, wanted: int) -> None:
        """Epoll reports no more of a descriptor than what is waited for."""
        try:
            self.epoll.modify(fd, wanted)
            self.registered[fd] = wanted
        except OSError as error:
            self.epoll.unregister(fd)
            del self.registered[fd]
            self._try_again(fd, error)

    def unwatch(self, fd: int) -> None:
        self.watchers.pop(fd, None)

    def close(self, sock: socket) -> None:
        """Closes a socket that has been waited on. Only so: its number may be another's at once, and what is
        registered under it must not be taken for that one's."""
        fd = sock.fileno()
        if fd >= 0:
            self.forget(fd)
            sock.close()

    def forget(self, fd: int) -> None:
        """Nothing more is heard of a descriptor."""
        self.watchers.pop(fd, None)
        self.unheard.discard(fd)
        if self.registered.pop(fd, None) is not None:
            self.epoll.unregister(fd)

    # ---- time -----------------------------------------------------------------------------------

    def after(self, delay: int, call: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self.timers, (self.time + delay, next(self.order), None, call, arguments))

    def set_timer(self, task: Task, until: int) -> None:
        """A task's live entry. One that it had, due later, is dead from now on."""
        if task.timer_at:
            self.dead_timers += 1
        task.timer_at = until
        heapq.heappush(self.timers, (until, next(self.order), task, None, ()))

    def sweep(self) -> None:
        """Drops the timers of tasks that are over once they are the greater part."""
        self.timers = [e for e in self.timers if e[2] is None or (e[2].timer_at == e[0] and not e[2].over)]
        heapq.heapify(self.timers)
        self.dead_timers = 0

    def run_timers(self) -> None:
        """Everything that is due; `time` is now."""
        timers, now = self.timers, self.time
        while timers and timers[0][0] <= now:
            at, _, task, call, arguments = heapq.heappop(timers)
            if task is None:
                assert call is not None
                call(*arguments)
            elif task.over or task.timer_at != at:
                self.dead_timers -= 1
            else:
                task.time_out()

    # ---- turns ----------------------------------------------------------------------------------

    def run(self) -> None:
        """A turn: what is due by time, what is urgent, a part of the round, and what epoll has by then. Each turn is
        bounded in time (`TURN_LASTS` and one step): what is urgent, or is to be read for it, waits no longer."""
        due, fresh, urgent, watchers = self.due, self.fresh, self.urgent, self.watchers
        offset, monotonic = self.offset, time.monotonic_ns
        due_left, fresh_left = DUE_A_ROUND, FRESH_A_ROUND
        while not self.stopped:
            if self.dead_timers > SWEEP_AT and self.dead_timers * 2 > len(self.timers):
                self.sweep()
            self.time = monotonic() + offset
            self.run_timers()
            while urgent:
                urgent.popleft()()
                self.time = monotonic() + offset
            ends_at = self.time + TURN_LASTS
            while due and due_left and self.time < ends_at:
                due.popleft()()
                due_left -= 1
                self.time = monotonic() + offset
            if not due or not due_left:
                while fresh and fresh_left:
                    fresh.popleft()()
                    fresh_left -= 1
                    self.time = monotonic() + offset
                    if self.time >= ends_at:
                        break
                if not fresh or not fresh_left:
                    due_left, fresh_left = DUE_A_ROUND, FRESH_A_ROUND
            if due or fresh or urgent or self.stopped:
                seconds = 0.0
            elif self.timers:
                seconds = min(LONGEST_POLL, max(0, self.timers[0][0] - self.time) / SECOND)
            else:
                seconds = LONGEST_POLL
            # Every event is taken off its watcher before any task runs: a descriptor that one task closes and
            # another opens again must not be handed an event of its former life.
            for fd, events in self.epoll.poll(seconds):
                watcher = watchers.get(fd)
                if watcher is None:
                    del self.registered[fd]
                    self.epoll.unregister(fd)
                elif events & (watcher.mask | ENDED):
                    del watchers[fd]
                    watcher.ready(events)
                else:
                    self._narrow(fd, watcher.mask)
