"""A node: cores with a speed, a bounded queue, a cold start that warms with time, and falling over when pushed.

    able(t) = cold_from + (1 - cold_from) * min(1, (t - started) / warm_within)          the part it can do
    pace    = speed * able * (1 - full_tax * connections / cap) / slowdown               work per ns of a core

A job takes its work over the pace, on a core of its own or on its part of the cores (`processor`). `slowdown` is above
1 while the node is overdriven (`overdrive`).

It falls over where, while it is cold, the work that arrived within `fall_after` is more than `fall_multiple` times what
its cores can do in that time as it is now; then it is down for good.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from loftweir.emulator.clock import Clock
from loftweir.emulator.overdrive import OverdriveState
from loftweir.emulator.processor import DedicatedCores, Job, Processor, SharedCores
from loftweir.emulator.scenario import Connections, Overdrive, World
from loftweir.interface import Outcome

__all__ = ["Costs", "Job", "Node"]


class Costs(NamedTuple):
    """What a node pays beside its jobs' work."""

    connections: Connections = Connections()
    overdrive: Overdrive | None = None  # None: it is not prone


NO_COSTS = Costs()


class Node:
    """Owns its queue and its cores; tells each job's outcome through `reply`, once, unless it hangs or is cut."""

    def __init__(
        self,
        name: str,
        zone: str,
        cell: int,
        cores: int,
        speed: float,
        queue: int,
        clock: Clock,
        world: World,
        slots: int = 0,
        costs: Costs = NO_COSTS,
    ) -> None:
        self.name = name
        self.zone = zone
        self.cell = cell
        self.cores = cores
        self.speed = speed
        self.weight = cores * speed  # as the list says it
        self.room = queue
        self.slots = slots
        self.clock = clock
        self.world = world
        self.costs = costs
        self.started_at = 0  # 0: long ago
        self.waiting: deque[Job] = deque()
        self.processor: Processor = (
            SharedCores(cores, slots, clock, self.current_pace, self._finish)
            if slots
            else DedicatedCores(cores, clock, self.current_pace, self._finish, world.fall_after)
        )
        self.handshakes: list[Job] = []  # of connections that are being opened: in work, but no requests
        self.connections = 0
        self.overdrive = OverdriveState(costs.overdrive, cores, clock.now) if costs.overdrive else None
        self.looks_again_at: int | None = None  # at its overdriven state
        self.life = 0  # counts its processes
        self.up = True
        self.hangs = False
        self.cut = False  # silent: nothing comes in, nothing goes out
        self.leaving = False
        self.fell = False
        self.pace = 1.0  # of its speed, while it is slow
        self.error_part: dict[str, float] = {}  # by class, "" for all
        self.draw: Callable[[], float] = lambda: 1.0  # uniform, for errors
        self.arrived: deque[tuple[int, int]] = deque()  # when and how much, within fall_after
        self.pushed = 0
        self.done = 0

    def able(self) -> float:
        w = self.world
        if not self.started_at:
            return 1.0
        age = self.clock.now - self.started_at
        return w.cold_from + (1 - w.cold_from) * min(1.0, max(0, age) / w.warm_within)

    def current_pace(self) -> float:
        """Work per ns that one core does now."""
        pace = self.speed * self.pace * self.able()
        costly = self.costs.connections
        if costly.full_tax:
            pace *= 1 - costly.full_tax * self.connections / (costly.cap_per_core * self.cores)
        return pace / self.overdrive.slowdown if self.overdrive is not None else pace

    @property
    def held(self) -> int:
        """Requests that it holds, in work or waiting."""
        return len(self.waiting) + len(self.processor) - len(self.handshakes)

    # ---- what comes -----------------------------------------------------------------------------

    def reachable(self) -> bool:
        return self.up and not self.cut

    def take(self, job: Job) -> None:
        """A whole request has come."""
        if not self.up:
            job.reply(Outcome.CONNECT_FAILED)
        elif self.cut:
            return
        elif self.leaving or len(self.waiting) >= self.room and not self.processor.has_slot():
            job.reply(Outcome.FULL)
        else:
            self._count(job.work)
            if self.fell:
                return
            self.waiting.append(job)
            self._work()

    def _count(self, work: int) -> None:
        """How hard it is pushed; it falls over where that is too much for what it is now."""
        able = self.able()
        if able >= 1:
            return
        now, w = self.clock.now, self.world
        self.arrived.append((now, work))
        self.pushed += work
        while self.arrived[0][0] <= now - w.fall_after:
            self.pushed -= self.arrived.popleft()[1]
        if self.pushed > w.fall_multiple * able * self.speed * self.cores * w.fall_after:
            self.fell = True
            self.crash()

    # ---- what it does ---------------------------------------------------------------------------

    def _work(self) -> None:
        while self.waiting and self.processor.has_slot() and not self.hangs:
            job = self.waiting.popleft()
            job.ran(self.name, self.clock.now)
            self.processor.begin(job)
        self._observe()

    def _finish(self, job: Job) -> None:
        if any(job is handshake for handshake in self.handshakes):
            self.handshakes = [other for other in self.handshakes if other is not job]
            job.reply(Outcome.OK)
        else:
            self.done += 1
            part = max(self.error_part.get("", 0.0), self.error_part.get(job.class_name, 0.0))
            failed = part > 0 and self.draw() < part
            if not self.cut:
                job.reply(Outcome.ERROR if failed else Outcome.OK)
        self._work()

    def stop(self, job: Job) -> None:
        """Nobody waits for this job any more: it is given up, wherever it stands."""
        if not self.processor.stop(job):
            self.waiting = deque(other for other in self.waiting if other is not job)
        self._work()

    # ---- connections ----------------------------------------------------------------------------

    def open_connection(self, opened: Callable[[], None]) -> Job | None:
        """Begin the handshake of a new connection. None: it has as many as it accepts."""
        costly = self.costs.connections
        if self.connections >= costly.cap_per_core * self.cores:
            return None
        self.connections += 1
        handshake = Job("", "", "", costly.work, lambda _: opened(), lambda *_: None)
        self.handshakes.append(handshake)
        self.processor.begin(handshake)
        self._observe()
        return handshake

    def abandon_handshake(self, handshake: Job) -> None:
        """The other side waits no longer for this connection."""
        if any(handshake is other for other in self.handshakes):
            self.handshakes = [other for other in self.handshakes if other is not handshake]
            self.connections -= 1
            self.stop(handshake)

    # ---- the overdriven state -------------------------------------------------------------------

    def _observe(self) -> None:
        """Tell the overdriven state what has changed, and look again when it may change by itself."""
        state = self.overdrive
        if state is None:
            return
        before = state.overdriven
        state.observe(self.clock.now, self.held, min(self.cores, len(self.processor)))
        if state.overdriven is not before:
            self.processor.pace_changed()
        at = state.next_change_at()
        if at is not None and at != self.looks_again_at:
            self.looks_again_at = at
            self.clock.at(at, self._observe)

    # ---- what befalls it ------------------------------------------------------------------------

    def crash(self) -> None:
        """The process dies: its connections are reset, new ones refused."""
        in_work = [job for job in self.processor.clear() if not any(job is other for other in self.handshakes)]
        jobs = [*in_work, *self.waiting]
        self.up = False
        self._forget()
        if not self.cut:
            for job in jobs:
                job.reply(Outcome.RESET)

    def start(self, cold: bool) -> None:
        if self.fell:
            return
        self.up, self.hangs, self.cut, self.leaving = True, False, False, False
        self.processor.clear()
        self.processor.suspend(False)
        self._forget()
        self.arrived.clear()
        self.pushed = 0
        self.started_at = self.clock.now if cold else 0

    def _forget(self) -> None:
        """A process ends, and with it all that it held."""
        self.life += 1
        self.waiting.clear()
        self.handshakes.clear()
        self.connections = 0
        if self.overdrive is not None:
            self.overdrive.reset(self.clock.now)

    def slow_down(self, pace: float) -> None:
        """It runs at this part of its speed from now on."""
        self.pace = pace
        self.processor.pace_changed()

    def hang(self, on: bool) -> None:
        self.hangs = on
        self.processor.suspend(on)
        if not on:
            self._work()
