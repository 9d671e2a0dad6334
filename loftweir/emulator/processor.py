"""How a node's cores are given to its jobs: a core each, or shared evenly by all that are in work."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple, Protocol

from loftweir.emulator.clock import Clock
from loftweir.interface import Outcome

Reply = Callable[[Outcome], None]


class Job(NamedTuple):
    """One attempt as the node has it. `work` is ns on a core of speed 1."""

    request: str  # the sidecar's request: what may run once
    class_name: str
    key: str
    work: int
    reply: Reply
    ran: Callable[[str, int], None]  # the oracle's: the node's name, when it began


class Processor(Protocol):
    """Works on jobs at a pace (work per ns on a core) that it asks for; hands each over when its work is done."""

    def __len__(self) -> int:
        """How many jobs are in work."""

    def has_slot(self) -> bool:
        """Whether one more job can be begun."""

    def begin(self, job: Job) -> None:
        """Takes a job into work."""

    def stop(self, job: Job) -> bool:
        """Gives a job up. False: it is not in work."""

    def clear(self) -> list[Job]:
        """Gives all jobs up and returns them, in the order in which they were begun."""

    def suspend(self, suspended: bool) -> None:
        """Makes no progress while it is suspended."""

    def pace_changed(self) -> None:
        """The pace that holds for jobs in work is another one from now on."""


class DedicatedCores:
    """A core for each job, at the pace that held when the job began."""

    def __init__(
        self, cores: int, clock: Clock, pace: Callable[[], float], finished: Callable[[Job], None], retry_every: int
    ) -> None:
        self.cores = cores
        self.clock = clock
        self.pace = pace
        self.finished = finished
        self.retry_every = retry_every  # how often a suspended one looks whether it may finish its jobs
        self.running: dict[int, Job] = {}
        self.begun = 0
        self.suspended = False

    def __len__(self) -> int:
        return len(self.running)

    def has_slot(self) -> bool:
        return len(self.running) < self.cores

    def begin(self, job: Job) -> None:
        self.begun += 1
        self.running[self.begun] = job
        self.clock.after(int(job.work / self.pace()), self._finish, self.begun)

    def _finish(self, number: int) -> None:
        if number not in self.running:
            return
        if self.suspended:
            self.clock.after(self.retry_every, self._finish, number)
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
        """Jobs in work keep their pace."""


class SharedCores:
    """All jobs in work share the cores evenly, none has more than one core (processor sharing).

    `served` is the work that a job which was there all the time has had. A job ends when `served` has grown by its
    work.
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
        self.ends: list[tuple[float, int]] = []  # a heap: the value of `served` at which the job of a number ends
        self.begun = 0
        self.served = 0.0
        self.rate = 0.0  # of `served`, since `updated_at`
        self.updated_at = clock.now
        self.plan = 0  # the number of the event in the clock that counts; earlier ones are out of date
        self.suspended = False

    def __len__(self) -> int:
        return len(self.running)

    def has_slot(self) -> bool:
        return len(self.running) < self.slots

    def begin(self, job: Job) -> None:
        self._advance()
        self.begun += 1
        self.running[self.begun] = job
        heapq.heappush(self.ends, (self.served + job.work, self.begun))
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
        """Bring `served` up to this moment."""
        now = self.clock.now
        self.served += self.rate * (now - self.updated_at)
        self.updated_at = now

    def _schedule(self) -> None:
        """Set the rate that holds from now on, and the event of the next job that ends at it."""
        while self.ends and self.ends[0][1] not in self.running:
            heapq.heappop(self.ends)
        self.plan += 1
        if self.suspended or not self.ends:
            self.rate = 0.0
            return
        self.rate = self.pace() * min(1.0, self.cores / len(self.running))
        left = max(0.0, self.ends[0][0] - self.served)
        self.clock.after(int(left / self.rate) + 1, self._end_next, self.plan)

    def _end_next(self, plan: int) -> None:
        if plan != self.plan:
            return
        self._advance()
        _, number = heapq.heappop(self.ends)
        job = self.running.pop(number)
        self._schedule()
        self.finished(job)


def _number_of(job: Job, running: dict[int, Job]) -> int | None:
    return next((number for number, other in running.items() if other is job), None)
