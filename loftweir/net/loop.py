"""The event loop: epoll, generators as coroutines, and one timer heap.

A coroutine yields a `Wait` and is sent back the epoll events that ended it, 0 when its time was up, or `WOKEN` when
another coroutine woke it. This module knows nothing of HTTP or of the balancer.

Design choices that keep the cost low:

- A descriptor stays registered with epoll from its first wait until it is closed. A wait for events that are already
  registered costs no system call. An event that nobody waits for narrows the registration once.
- A wait that ends early leaves its timer in the heap, and the task's next wait reuses it if it is due no later: when
  the timer fires, the task looks at what is due now and puts it back into the heap. So a connection makes one heap
  entry every few seconds, however many requests it carries.
- A descriptor that epoll can't take for lack of memory is registered again later, and its watcher keeps waiting.
- An idle connection has neither a coroutine nor a timer: epoll's event is handed to an object, its `Watcher`.
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
MS = 1_000_000  # nanoseconds
SECOND = 1_000 * MS
WOKEN = -1  # sent to a coroutine that another one woke
READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
HUNG_UP = select.EPOLLRDHUP  # the peer has closed its sending side
# For a descriptor that other processes wait on too. Such a registration can't be modified later.
EXCLUSIVE = select.EPOLLEXCLUSIVE
ENDED = select.EPOLLERR | select.EPOLLHUP  # epoll reports these whether requested or not
SWEEP_THRESHOLD = 256  # dead timers in the heap
LONGEST_POLL = 60.0  # seconds; epoll's timeout is a 32-bit number of milliseconds
# A round is a number of steps of running work, then a few of new work. Running work goes first: however many requests
# arrive, a response that is ready waits for no more than NEW_STEPS_PER_ROUND of them to be read.
STEPS_PER_ROUND = 256
NEW_STEPS_PER_ROUND = 32
# A turn ends after the step in which this time has passed, and the next turn continues the round: epoll is polled
# again, and urgent work goes first. In a process with a small share of a core, a whole round can take longer than the
# drain grace period.
MAX_TURN_TIME = 10 * MS
RETRY_WATCH = 5 * MS  # until a descriptor that epoll could not take is registered again


class Pollable(Protocol):
    """A socket or any other object whose descriptor epoll takes."""

    def fileno(self) -> int:
        """Return the descriptor."""


class Watcher(Protocol):
    """An object that waits for the events `mask` of a descriptor.

    The loop removes it before it calls `ready`. `ready` may only queue work, never run it: all events of one poll are
    handed out before any of them is acted on.
    """

    mask: int

    def ready(self, events: int) -> None:
        """Handle the events of the descriptor."""


class Wait(NamedTuple):
    """What a coroutine waits for: events on a socket, a point in time, or both."""

    sock: Pollable | None
    mask: int
    until: int | None


Coroutine = Generator[Wait, int, T]


class Task:
    """A running coroutine.

    It is in one of four states: waiting (`waiting` is set), runnable (`event` is set), running, or over.

    Invariant: `timer_at` is the time of its one live entry in the heap, 0 if it has none. Every other entry for it is
    dead and counted in `Loop.dead_timers`.
    """

    __slots__ = (
        "loop",
        "coroutine",
        "on_crash",
        "queue",
        "mask",
        "waiting",
        "fd",
        "until",
        "timer_at",
        "event",
        "over",
    )

    def __init__(
        self,
        loop: Loop,
        coroutine: Coroutine[None],
        on_crash: Callable[[Exception], None] | None,
        queue: deque[Callable[[], None]],
    ) -> None:
        self.loop = loop
        self.coroutine = coroutine
        self.on_crash = on_crash
        self.queue = queue  # where it is queued when it can run
        self.mask = 0
        self.waiting = False
        self.fd = -1  # the descriptor that it waits on; -1: none
        self.until: int | None = None
        self.timer_at = 0
        self.event: int | None = None  # what the next step sends to the coroutine
        self.over = False

    def wake(self) -> None:
        """End the wait with `WOKEN`; does nothing if the coroutine does not wait."""
        if self.waiting:
            self.resume(WOKEN)

    def cancel(self) -> None:
        """End the coroutine where it waits; its `finally` clauses run."""
        if not self.over:
            self.on_crash = None
            self.stop_waiting()
            self.end()
            self.coroutine.close()

    def ready(self, events: int) -> None:
        """Queue the next step: epoll has reported events that it waits for."""
        self.fd = -1  # the loop has already removed the watcher
        self.waiting = False
        self.event = events
        self.queue.append(self.step)

    def resume(self, value: int) -> None:
        """End the wait and queue the next step, which sends `value` to the coroutine."""
        self.stop_waiting()
        self.event = value
        (self.queue if self.queue is self.loop.urgent else self.loop.runnable).append(self.step)

    def stop_waiting(self) -> None:
        """Remove the watch on the descriptor, if there is one; the timer stays in the heap."""
        if self.fd >= 0:
            del self.loop.watchers[self.fd]
            self.fd = -1
        self.waiting = False

    def end(self) -> None:
        """Mark the task as over, and its timer as dead."""
        self.over = True
        if self.timer_at:
            self.loop.dead_timers += 1

    def timer_fired(self) -> None:
        """Handle the task's heap entry: the wait timed out, or the entry was left over from an earlier wait."""
        self.timer_at = 0
        if self.waiting and self.until is not None:
            if self.until <= self.loop.time:
                self.resume(0)
            else:
                self.loop.set_timer(self, self.until)

    def step(self) -> None:
        """Run the coroutine up to its next wait or its end."""
        if self.over:
            return
        value, self.event = self.event, None
        loop = self.loop
        try:
            # `value` is None before the first step, which is what a generator that has not begun takes.
            sock, mask, until = self.coroutine.send(value)  # type: ignore[arg-type]
            if sock is not None:
                self.mask = mask
                self.fd = loop.watch(sock.fileno(), self)
            self.waiting = True  # set last: a wait that could not be set up must not be undone
            self.until = until
            if until is not None and not 0 < self.timer_at <= until:
                loop.set_timer(self, until)
        except StopIteration:
            self.end()
            self.on_crash = None  # a dead timer may keep this task, and all that it refers to, for a while
        except Exception as error:
            # One broken coroutine must not end the process: its owner handles the error.
            self.stop_waiting()
            self.end()
            self.coroutine.close()
            name = getattr(self.coroutine, "__qualname__", "")
            emit(COROUTINE_BROKEN, coroutine=name, error=repr(error), at=traceback_location(error))
            if self.on_crash is not None:
                self.on_crash(error)


def _report_broken(call: Callable[..., None], error: Exception) -> None:
    """Log an error of a function that the loop called."""
    name = getattr(call, "__qualname__", repr(call))
    emit(COROUTINE_BROKEN, coroutine=name, error=repr(error), at=traceback_location(error))


class Loop:
    """Runs coroutines on epoll.

    `now` is Unix time in nanoseconds that only goes forward. `time` is that clock as of the beginning of the current
    step: a step takes well under a millisecond, and reading the clock each time would take a noticeable part of it.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        # Set once: the system's clock may be set back while the process runs, and the balancer's may not go back.
        self.offset = time.time_ns() - time.monotonic_ns()
        self.time = self.now()
        self.timers: list[tuple[int, int, Task | None, Callable[..., None] | None, tuple[Any, ...]]] = []
        self.order = count()  # numbers the entries, so that those due at one time run in the order of their creation
        self.dead_timers = 0
        self.registered: dict[int, int] = {}  # by descriptor: the events that epoll reports
        self.watchers: dict[int, Watcher] = {}
        self.unregistered: set[int] = set()  # watched descriptors that epoll could not take; they are tried again
        self.runnable: deque[Callable[[], None]] = deque()
        self.new_work: deque[Callable[[], None]] = deque()
        self.urgent: deque[Callable[[], None]] = deque()
        self.stopped = False

    def now(self) -> int:
        """Return the current time of the loop's clock."""
        return time.monotonic_ns() + self.offset

    # ---- coroutines -----------------------------------------------------------------------------

    def spawn(
        self,
        coroutine: Coroutine[None],
        on_crash: Callable[[Exception], None] | None = None,
        new_work: bool = False,
        urgent: bool = False,
    ) -> Task:
        """Begin a coroutine at the loop's next turn; `on_crash` is called with an exception that it raises.

        `new_work`: it accepts new work, and its events are handled after all running work. `urgent`: it runs before
        everything else, so it must run rarely.
        """
        queue = self.urgent if urgent else self.new_work if new_work else self.runnable
        task = Task(self, coroutine, on_crash, queue)
        task.queue.append(task.step)
        return task

    def start(self, coroutine: Coroutine[None], on_crash: Callable[[Exception], None] | None = None) -> Task:
        """Begin a coroutine now: it has run to its first wait, or to its end, when this returns."""
        task = self.task(coroutine, on_crash)
        task.step()
        return task

    def task(self, coroutine: Coroutine[None], on_crash: Callable[[Exception], None] | None = None) -> Task:
        """Return a task whose first `step` the caller runs."""
        return Task(self, coroutine, on_crash, self.runnable)

    # ---- descriptors ----------------------------------------------------------------------------

    def watch(self, fd: int, watcher: Watcher) -> int:
        """Hand the next event of `watcher.mask` on a descriptor to the watcher, which is removed then; return `fd`."""
        self.watchers[fd] = watcher
        self._register(fd, watcher.mask)
        return fd

    def _register(self, fd: int, events: int) -> None:
        """Register at least these events with epoll."""
        registered = self.registered.get(fd)
        try:
            if registered is None:
                self.epoll.register(fd, events)
                self.registered[fd] = events
            elif registered & events != events:
                self.epoll.modify(fd, registered | events)
                self.registered[fd] = registered | events
        except OSError as error:
            if error.errno not in (errno.ENOMEM, errno.ENOSPC):
                self.watchers.pop(fd, None)
                raise
            self._retry_later(fd, error)

    def _retry_later(self, fd: int, error: OSError) -> None:
        """Log that a descriptor could not be registered, and register it again after `RETRY_WATCH`."""
        emit(LOOP_WATCH_FAILED, why=error.strerror)
        if not self.unregistered:
            self.after(RETRY_WATCH, self._register_again)
        self.unregistered.add(fd)

    def _register_again(self) -> None:
        """Register the descriptors that epoll could not take before."""
        unregistered, self.unregistered = self.unregistered, set()
        for fd in unregistered:
            watcher = self.watchers.get(fd)
            if watcher is None:
                continue
            try:
                self._register(fd, watcher.mask)
            except OSError:  # it can't be watched: the watcher finds out what is wrong with it
                watcher.ready(ENDED)

    def _narrow(self, fd: int, events: int) -> None:
        """Reduce the events that epoll reports for a descriptor to those that are waited for."""
        try:
            self.epoll.modify(fd, events)
            self.registered[fd] = events
        except OSError as error:
            self.epoll.unregister(fd)
            del self.registered[fd]
            self._retry_later(fd, error)

    def unwatch(self, fd: int) -> None:
        """Remove the watcher of a descriptor, which stays registered with epoll."""
        self.watchers.pop(fd, None)

    def close(self, sock: socket) -> None:
        """Close a socket that has been watched.

        Such a socket must be closed only here: its number may be reused at once, and events that are registered under
        it must not be taken for those of the new descriptor.
        """
        fd = sock.fileno()
        if fd >= 0:
            self.unregister(fd)
            sock.close()

    def unregister(self, fd: int) -> None:
        """Remove a descriptor from the loop and from epoll: no further event of it is reported."""
        self.watchers.pop(fd, None)
        self.unregistered.discard(fd)
        if self.registered.pop(fd, None) is not None:
            self.epoll.unregister(fd)

    # ---- time -----------------------------------------------------------------------------------

    def after(self, delay: int, call: Callable[..., None], *arguments: Any) -> None:
        """Call a function once `delay` nanoseconds have passed."""
        heapq.heappush(self.timers, (self.time + delay, next(self.order), None, call, arguments))

    def set_timer(self, task: Task, until: int) -> None:
        """Set the task's live heap entry. An earlier one, which was due later, becomes dead."""
        if task.timer_at:
            self.dead_timers += 1
        task.timer_at = until
        heapq.heappush(self.timers, (until, next(self.order), task, None, ()))

    def sweep(self) -> None:
        """Remove the dead entries from the heap."""
        self.timers = [e for e in self.timers if e[2] is None or (e[2].timer_at == e[0] and not e[2].over)]
        heapq.heapify(self.timers)
        self.dead_timers = 0

    def run_timers(self) -> None:
        """Run all timers that are due at `time`."""
        timers, now = self.timers, self.time
        while timers and timers[0][0] <= now:
            at, _, task, call, arguments = heapq.heappop(timers)
            if task is None:
                assert call is not None
                try:
                    call(*arguments)
                except Exception as error:
                    _report_broken(call, error)
            elif task.over or task.timer_at != at:
                self.dead_timers -= 1
            else:
                task.timer_fired()

    # ---- turns ----------------------------------------------------------------------------------

    def run(self) -> None:
        """Run turns until `stopped` is set.

        A turn runs the timers that are due, all urgent work and a part of the round, then polls epoll. It takes at most
        `MAX_TURN_TIME` and one step, so that urgent work, or what has to be read for it, waits no longer. A step or a
        timer's function that raises is logged, and ends nothing but itself.
        """
        runnable, new_work, urgent, watchers = self.runnable, self.new_work, self.urgent, self.watchers
        offset, monotonic = self.offset, time.monotonic_ns
        steps_left, new_steps_left = STEPS_PER_ROUND, NEW_STEPS_PER_ROUND
        while not self.stopped:
            if self.dead_timers > SWEEP_THRESHOLD and self.dead_timers * 2 > len(self.timers):
                self.sweep()
            self.time = monotonic() + offset
            self.run_timers()
            while urgent:
                step = urgent.popleft()
                try:
                    step()
                except Exception as error:
                    _report_broken(step, error)
                self.time = monotonic() + offset
            ends_at = self.time + MAX_TURN_TIME
            while runnable and steps_left and self.time < ends_at:
                step = runnable.popleft()
                try:
                    step()
                except Exception as error:
                    _report_broken(step, error)
                steps_left -= 1
                self.time = monotonic() + offset
            if not runnable or not steps_left:
                while new_work and new_steps_left:
                    step = new_work.popleft()
                    try:
                        step()
                    except Exception as error:
                        _report_broken(step, error)
                    new_steps_left -= 1
                    self.time = monotonic() + offset
                    if self.time >= ends_at:
                        break
                if not new_work or not new_steps_left:
                    steps_left, new_steps_left = STEPS_PER_ROUND, NEW_STEPS_PER_ROUND
            if runnable or new_work or urgent or self.stopped:
                seconds = 0.0
            elif self.timers:
                seconds = min(LONGEST_POLL, max(0, self.timers[0][0] - self.time) / SECOND)
            else:
                seconds = LONGEST_POLL
            # All events are handed out before any task runs: one task may close a descriptor and another may open one
            # with the same number, which must not get the closed one's event.
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
