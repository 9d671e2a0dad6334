"""One sidecar put together: the loop, the host, the HTTP front and back, discovery, signals, and its end."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable

from loftweir.config.model import MIB, Options
from loftweir.config.platform import Platform
from loftweir.core.host import Host
from loftweir.core.life import Life, State, Step
from loftweir.http1.back import Back
from loftweir.http1.discovery import Discovery
from loftweir.http1.front import Front
from loftweir.interface import MembershipUpdate, Settings
from loftweir.net.loop import MS, READABLE, SECOND, WRITABLE, Coroutine, Loop, Task, Wait
from loftweir.operations.address import DESCRIPTORS, Address
from loftweir.operations.desk import Desk
from loftweir.telemetry import log
from loftweir.telemetry.catalogue import DISCOVERY_LIST_IS, LIFE_CHANGED, STOP_BEGUN, STOP_DONE
from loftweir.telemetry.log import say

TICK = SECOND  # how often the log is asked for what it owes
LEAVES_FOR = SECOND  # from a drain on, until connections that rest are closed
SWEEP_EVERY = 50 * MS
HALF_FOR = 2 * SECOND  # from SIGTERM on, that half a request is waited for
LONGEST_COUNTED = 3 * SECOND  # of a deadline, before SIGKILL
ENDS_BEFORE = 600 * MS  # the end, that the last answer is due: SIGKILL may come 0.3 s before the end


class Sidecar:
    """Owns the parts and the order in which they begin and end."""

    def __init__(self, loop: Loop, platform: Platform, options: Options) -> None:
        self.loop = loop
        self.options = options
        self.platform = platform
        limits, memory = options.limits, platform.memory_mb * MIB
        self.life = Life()
        self.life.changed = self._changed
        self.left_at = 0  # when the latest drain began
        self.desk = Desk(loop, self.life, self.listed, self._takes_clients)
        self.discovery = Discovery(loop, platform.discovery, options, self.desk.listed)
        shared = max(int(platform.sockets * limits.consumers_of_sockets), 1)
        others = limits.other_sockets + (DESCRIPTORS if platform.operator else 0)
        most_calls = max(platform.sockets - shared - others, 1)
        self.back = Back(loop, platform.settings, options, most_calls, int(memory * limits.answers_of_memory))
        self.host = Host(loop, platform.settings, platform.seed, self.back, self.discovery)
        self.back.ended = self.host.ended
        bodies = int(memory * limits.requests_of_memory)
        self.front = Front(loop, self.host, self.life, options, platform.sockets, bodies)
        self.front.spare_descriptor = self.back.pool.spare

    def listed(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        self.host.listed(update, addresses)
        say(
            DISCOVERY_LIST_IS,
            kind=update.kind.value,
            index=update.version,
            providers=len(self.back.pool.addresses),
            changes=len(update.endpoints),
        )

    def use(self, options: Options, discovery: str, settings: Settings) -> None:
        """Other options and settings, whole, from now on; what was spent at the start waits for the next one."""
        self.options = self.discovery.options = options
        self.front.use(options)
        self.back.use(options, settings)
        if settings != self.host.settings:
            self.host.use(settings)
        self.discovery.move(discovery)
        self.discovery.push(settings.discovery_pushes)

    # ---- life -----------------------------------------------------------------------------------

    def start(self, reload: Callable[[], None]) -> None:
        """`reload` is called on SIGHUP, and answers for what it can't use."""
        platform = self.platform
        if platform.known.endpoints:
            self.discovery.version = platform.known.version
        woken, wakes = socket.socketpair()
        woken.setblocking(False)
        wakes.setblocking(False)
        signal.set_wakeup_fd(wakes.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
        if platform.operator:
            self.desk.begin(os.environ.get("TMPDIR"))
        self.desk.listed(platform.known, platform.addresses)
        if platform.listen_fd is None:
            self.front.listen(platform.listen)
        else:
            self.front.inherit(platform.listen_fd)
        if platform.operator:
            Address(self.loop, self.desk.do).listen(platform.operator)
        if self.desk.store is not None:
            self.desk.store.serve()
        if self.desk.follows:
            # News bind soon after this process says that it is ready, and there is one of it: no crowd to spread.
            self.discovery.watch(True)
        self.discovery.push(platform.settings.discovery_pushes)
        self.loop.spawn(self._obey(woken, wakes, reload))
        self.loop.spawn(self._keep_log())

    def _obey(self, woken: socket.socket, wakes: socket.socket, reload: Callable[[], None]) -> Coroutine[None]:
        """Reads the numbers of the signals that came. One that sets off nothing is no reason to stop."""
        while True:
            yield Wait(woken, READABLE, None)
            for number in woken.recv(4096):
                if number == signal.SIGHUP:
                    reload()
                elif number in (signal.SIGTERM, signal.SIGINT) and self.life.step(Step.END):
                    say(STOP_BEGUN, signal=signal.Signals(number).name, open=len(self.host.invocations))
                    self.loop.spawn(self._stop(wakes))

    def _keep_log(self) -> Coroutine[None]:
        """Gives the log its turns: lines that wait for their reader, and numbers of those left out."""
        writer = log.writer()
        waiting: list[Task] = []

        def drain() -> Coroutine[None]:
            while not writer.flush():
                yield Wait(writer, WRITABLE, None)

        def blocked() -> None:
            if not waiting or waiting[0].over:
                waiting[:] = [self.loop.spawn(drain())]

        writer.blocked = blocked
        while True:
            yield Wait(None, 0, self.loop.now() + TICK)
            log.tick()

    def _takes_clients(self) -> bool:
        return self.front.takes_clients()

    def _changed(self, before: State) -> None:
        say(LIFE_CHANGED, state=self.life.state.value, before=before.value, open=len(self.host.invocations))
        if self.life.state is State.LEAVING:
            self.loop.spawn(self._empty())

    def _empty(self) -> Coroutine[None]:
        """A drain: who sends clients looks at health, and sends new ones a little longer. Kept connections go with
        their next answer, those that nobody used by then are closed, and so is what comes later and rests."""
        left_at = self.left_at = self.loop.now()
        yield Wait(None, 0, left_at + LEAVES_FOR)
        if self.life.state is State.LEAVING and self.left_at == left_at:
            self.life.step(Step.EMPTIED)
        while self.life.state is State.EMPTY:
            self.front.send_away(half=False)
            yield Wait(None, 0, self.loop.now() + SWEEP_EVERY)

    def _stop(self, wakes: socket.socket) -> Coroutine[None]:
        """What was taken is answered. Where another process takes clients, this one stops at once; else it goes on
        for as long as clients may not know. What comes late gets an answer while there is one to give it."""
        front, limits = self.front, self.options.limits
        now = self.loop.now()
        longest = max(c.deadline for c in self.host.settings.classes.values())
        last = now + min(longest, LONGEST_COUNTED) + SECOND
        front.ends_at = last - ENDS_BEFORE
        if self.desk.store is not None and not self.desk.store.alone():
            front.stop_accepting()
        yield Wait(None, 0, now + limits.accept_after_term)
        front.stop_accepting()
        self.life.step(Step.SHUT)
        while front.consumers and self.loop.now() < last:
            front.send_away(half=self.loop.now() > now + HALF_FOR)
            yield Wait(None, 0, self.loop.now() + 5 * MS)
        say(STOP_DONE, left=len(front.consumers))
        wakes.close()
        self.loop.stopped = True
