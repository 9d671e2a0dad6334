"""A node: cores of a given speed, a bounded queue, a slow start, and failure under overload while it is cold.

    warmth(t) = cold_from + (1 - cold_from) * min(1, (t - started) / warm_within)          share of its full capacity
    pace      = speed * warmth * (1 - full_tax * connections / cap) / slowdown             work per ns on one core

A job takes its work divided by the pace, on a core of its own or on its share of the cores (`processor`). `slowdown` is
above 1 while the node is overdriven (`overdrive`).

A cold node fails for good if the work that arrived within `fall_after` is more than `fall_multiple` times what its
cores can do in that time at their current warmth.
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
    """What slows a node down besides the work of its jobs."""

    connections: Connections = Connections()
    overdrive: Overdrive | None = None  # None: the node never becomes overdriven


NO_COSTS = Costs()


class Node:
    """A server with its queue and cores. It passes the outcome of each job to the job's `reply` exactly once, unless it
    hangs or is isolated."""

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
        self.weight = cores * speed  # as in discovery's list
        self.queue_limit = queue
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
        self.handshakes: list[Job] = []  # of connections being opened: running jobs that are not requests
        self.connections = 0
        self.overdrive = OverdriveState(costs.overdrive, cores, clock.now) if costs.overdrive else None
        self.overdrive_check_at: int | None = None  # when the overdriven state is checked next
        self.generation = 0  # number of its current process
        self.up = True
        self.hung = False
        self.isolated = False  # the network drops everything to and from it
        self.leaving = False
        self.failed_cold = False  # failed for good under overload while it was cold
        self.speed_factor = 1.0  # share of its speed, below 1 while a fault slows it down
        self.error_shares: dict[str, float] = {}  # share of failing requests by class, "" for all classes
        self.draw_uniform: Callable[[], float] = lambda: 1.0  # decides which requests fail
        self.recent_arrivals: deque[tuple[int, int]] = deque()  # time and work of each within `fall_after`
        self.recent_work = 0
        self.done = 0

    def warmth(self) -> float:
        """The share of its full capacity that it has now."""
        world = self.world
        if not self.started_at:
            return 1.0
        age = self.clock.now - self.started_at
        return world.cold_from + (1 - world.cold_from) * min(1.0, max(0, age) / world.warm_within)

    def current_pace(self) -> float:
        """Work per ns that one core does now."""
        pace = self.speed * self.speed_factor * self.warmth()
        connections = self.costs.connections
        if connections.full_tax:
            pace *= 1 - connections.full_tax * self.connections / (connections.cap_per_core * self.cores)
        return pace / self.overdrive.slowdown if self.overdrive is not None else pace

    @property
    def in_flight(self) -> int:
        """Requests that are running or waiting."""
        return len(self.waiting) + len(self.processor) - len(self.handshakes)

    # ---- arriving requests ----------------------------------------------------------------------

    def reachable(self) -> bool:
        return self.up and not self.isolated

    def accept(self, job: Job) -> None:
        """Queues a request that has arrived, or rejects it."""
        if not self.up:
            job.reply(Outcome.CONNECT_FAILED)
        elif self.isolated:
            return
        elif self.leaving or len(self.waiting) >= self.queue_limit and not self.processor.has_slot():
            job.reply(Outcome.FULL)
        else:
            self._count_arrival(job.work)
            if self.failed_cold:
                return
            self.waiting.append(job)
            self._start_jobs()

    def _count_arrival(self, work: int) -> None:
        """Adds to the recent work of a cold node, which fails if that is too much for its current warmth."""
        warmth = self.warmth()
        if warmth >= 1:
            return
        now, world = self.clock.now, self.world
        self.recent_arrivals.append((now, work))
        self.recent_work += work
        while self.recent_arrivals[0][0] <= now - world.fall_after:
            self.recent_work -= self.recent_arrivals.popleft()[1]
        if self.recent_work > world.fall_multiple * warmth * self.speed * self.cores * world.fall_after:
            self.failed_cold = True
            self.crash()

    # ---- jobs -----------------------------------------------------------------------------------

    def _start_jobs(self) -> None:
        while self.waiting and self.processor.has_slot() and not self.hung:
            job = self.waiting.popleft()
            job.on_start(self.name, self.clock.now)
            self.processor.start(job)
        self._update_overdrive()

    def _finish(self, job: Job) -> None:
        if any(job is handshake for handshake in self.handshakes):
            self.handshakes = [other for other in self.handshakes if other is not job]
            job.reply(Outcome.OK)
        else:
            self.done += 1
            share = max(self.error_shares.get("", 0.0), self.error_shares.get(job.class_name, 0.0))
            failed = share > 0 and self.draw_uniform() < share
            if not self.isolated:
                job.reply(Outcome.ERROR if failed else Outcome.OK)
        self._start_jobs()

    def stop(self, job: Job) -> None:
        """Cancels a job whose answer is no longer awaited, whether it is running or waiting."""
        if not self.processor.stop(job):
            self.waiting = deque(other for other in self.waiting if other is not job)
        self._start_jobs()

    # ---- connections ----------------------------------------------------------------------------

    def open_connection(self, opened: Callable[[], None]) -> Job | None:
        """Starts the handshake of a new connection; returns None if there are as many connections as allowed."""
        connections = self.costs.connections
        if self.connections >= connections.cap_per_core * self.cores:
            return None
        self.connections += 1
        handshake = Job("", "", "", connections.work, lambda _: opened(), lambda *_: None)
        self.handshakes.append(handshake)
        self.processor.start(handshake)
        self._update_overdrive()
        return handshake

    def abandon_handshake(self, handshake: Job) -> None:
        """Cancels the handshake of a connection that its client no longer waits for."""
        if any(handshake is other for other in self.handshakes):
            self.handshakes = [other for other in self.handshakes if other is not handshake]
            self.connections -= 1
            self.stop(handshake)

    # ---- the overdriven state -------------------------------------------------------------------

    def _update_overdrive(self) -> None:
        """Reports the current load to the overdriven state, and schedules a check for when it may change by itself."""
        state = self.overdrive
        if state is None:
            return
        before = state.overdriven
        state.observe(self.clock.now, self.in_flight, min(self.cores, len(self.processor)))
        if state.overdriven is not before:
            self.processor.pace_changed()
        at = state.next_change_at()
        if at is not None and at != self.overdrive_check_at:
            self.overdrive_check_at = at
            self.clock.call_at(at, self._update_overdrive)

    # ---- faults ---------------------------------------------------------------------------------

    def crash(self) -> None:
        """Ends the process: its connections are reset, and new ones are refused."""
        running = [job for job in self.processor.clear() if not any(job is other for other in self.handshakes)]
        jobs = [*running, *self.waiting]
        self.up = False
        self._clear_process_state()
        if not self.isolated:
            for job in jobs:
                job.reply(Outcome.RESET)

    def start(self, cold: bool) -> None:
        """Starts a new process, unless the node has failed for good."""
        if self.failed_cold:
            return
        self.up, self.hung, self.isolated, self.leaving = True, False, False, False
        self.processor.clear()
        self.processor.suspend(False)
        self._clear_process_state()
        self.recent_arrivals.clear()
        self.recent_work = 0
        self.started_at = self.clock.now if cold else 0

    def _clear_process_state(self) -> None:
        """Removes everything that ends with a process."""
        self.generation += 1
        self.waiting.clear()
        self.handshakes.clear()
        self.connections = 0
        if self.overdrive is not None:
            self.overdrive.reset(self.clock.now)

    def set_speed_factor(self, factor: float) -> None:
        """Runs at this share of its speed from now on."""
        self.speed_factor = factor
        self.processor.pace_changed()

    def hang(self, on: bool) -> None:
        """Starts or ends a hang, during which it accepts requests and makes no progress."""
        self.hung = on
        self.processor.suspend(on)
        if not on:
            self._start_jobs()
