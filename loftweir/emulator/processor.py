"""How the cores of a node are assigned to its jobs: one core for each job, or all cores shared evenly."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple, Protocol

from loftweir.emulator.clock import Clock
from loftweir.interface import Outcome

Reply = Callable[[Outcome], None]


class Job(NamedTuple):
    """One attempt at a node, or the handshake of a connection."""

    request: str  # id of the sidecar's request; empty for a handshake
    class_name: str
    key: str
    work: int  # ns on a core of speed 1
    reply: Reply  # receives the outcome
    on_start: Callable[[str, int], None]  # receives the node's name and the time at which the job started


class Processor(Protocol):
    """Runs jobs at a pace that it is given (work per ns on one core) and reports each job whose work is done."""

    def __len__(self) -> int:
        """The number of running jobs."""

    def has_slot(self) -> bool:
        """Whether one more job can be started."""

    def start(self, job: Job) -> None:
        """Starts a job."""

    def stop(self, job: Job) -> bool:
        """Cancels a job; returns False if it is not running."""

    def clear(self) -> list[Job]:
        """Cancels all jobs and returns them in the order in which they were started."""

    def suspend(self, suspended: bool) -> None:
        """Suspends or resumes the progress of all jobs."""

    def pace_changed(self) -> None:
        """Applies a changed pace to the running jobs."""


class DedicatedCores:
    """One core for each job, at the pace that was current when the job started."""

    def __init__(
        self, cores: int, clock: Clock, pace: Callable[[], float], finished: Callable[[Job], None], retry_every: int
    ) -> None:
        self.cores = cores
        self.clock = clock
        self.pace = pace
        self.finished = finished
        self.retry_every = retry_every  # ns between two checks whether a suspended job may finish
        self.running: dict[int, Job] = {}
        self.started = 0
        self.suspended = False

    def __len__(self) -> int:
        return len(self.running)

    def has_slot(self) -> bool:
        return len(self.running) < self.cores

    def start(self, job: Job) -> None:
        self.started += 1
        self.running[self.started] = job
        self.clock.call_later(int(job.work / self.pace()), self._finish, self.started)

    def _finish(self, number: int) -> None:
        if number not in self.running:
            return
        if self.suspended:
            self.clock.call_later(self.retry_every, self._finish, number)
            return
        self.finished(self.running.pop(number))

    def stop(self, job: Job) -> bool:
        number = _number_of(job, self.running)
        return number is not None and self.running.pop(number) is job

    def clear(self) -> list[Job]:
        jobs = list(self.running.values())
        self.running.clear()
        return jobs

    def suspend(self, suspended: bool) -> None:
        self.suspended = suspended

    def pace_changed(self) -> None:
        """Does nothing: running jobs keep their pace."""


class SharedCores:
    """Processor sharing: all running jobs share the cores evenly, and none gets more than one core.

    `served` is the work done so far for a job that has been running all the time. A job that starts now ends when
    `served` has grown by the job's work.
    """

    def __init__(
        self, cores: int, slots: int, clock: Clock, pace: Callable[[], float], finished: Callable[[Job], None]
    ) -> None:
        self.cores = cores
        self.slots = slots
        self.clock = clock
        self.pace = pace
        self.finished = finished
        self.running: dict[int, Job] = {}
        self.ends: list[tuple[float, int]] = []  # heap: the value of `served` at which a job ends, the job's number
        self.started = 0
        self.served = 0.0
        self.rate = 0.0  # growth of `served` per ns since `updated_at`
        self.updated_at = clock.now
        self.schedule_number = 0  # number of the valid event in the clock; events with lower numbers are ignored
        self.suspended = False

    def __len__(self) -> int:
        return len(self.running)

    def has_slot(self) -> bool:
        return len(self.running) < self.slots

    def start(self, job: Job) -> None:
        self._advance()
        self.started += 1
        self.running[self.started] = job
        heapq.heappush(self.ends, (self.served + job.work, self.started))
        self._schedule()

    def stop(self, job: Job) -> bool:
        number = _number_of(job, self.running)
        if number is None:
            return False
        self._advance()
        del self.running[number]
        self._schedule()
        return True

    def clear(self) -> list[Job]:
        jobs = list(self.running.values())
        self.running.clear()
        self.ends.clear()
        self._advance()
        self._schedule()
        return jobs

    def suspend(self, suspended: bool) -> None:
        self._advance()
        self.suspended = suspended
        self._schedule()

    def pace_changed(self) -> None:
        self._advance()
        self._schedule()

    def _advance(self) -> None:
        """Updates `served` to the current time."""
        now = self.clock.now
        self.served += self.rate * (now - self.updated_at)
        self.updated_at = now

    def _schedule(self) -> None:
        """Sets the current rate and schedules the end of the next job at that rate."""
        while self.ends and self.ends[0][1] not in self.running:
            heapq.heappop(self.ends)
        self.schedule_number += 1
        if self.suspended or not self.ends:
            self.rate = 0.0
            return
        self.rate = self.pace() * min(1.0, self.cores / len(self.running))
        left = max(0.0, self.ends[0][0] - self.served)
        self.clock.call_later(int(left / self.rate) + 1, self._end_next, self.schedule_number)

    def _end_next(self, schedule_number: int) -> None:
        if schedule_number != self.schedule_number:
            return
        self._advance()
        _, number = heapq.heappop(self.ends)
        job = self.running.pop(number)
        self._schedule()
        self.finished(job)


def _number_of(job: Job, running: dict[int, Job]) -> int | None:
    return next((number for number, other in running.items() if other is job), None)
