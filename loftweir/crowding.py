"""How crowded a group of servers is, read from how long its answers take. Pure: no I/O, no clock, no randomness.

An answer's *stretch* is its time over the usual time of its class, which is learnt from answers (`UsualTime`). The aim
of a class says what an answer is worth; it says nothing of what a server can carry: where aims are ten times the usual
time, servers are long overrun before an answer is late. So crowding is counted in usual times, and in aims only until
those are known and where they are shorter.

`Crowding` holds the part of a group's traffic that is to be sent elsewhere or refused (`pressure`). It rises while the
mean stretch is above `HIGH`, the faster the further above, falls evenly while it is below `LOW`, and rests in between,
so that many balancers, each with a few answers a second, do not swing together. As in gradient concurrency limits the
signal is the queue itself, not the failures that follow from it. All times are in nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

USUAL_MEMORY = 64  # answers over which the usual time is taken
USUAL_FROM = 8  # answers of a class from which it is known
LONGEST_TAKEN = 3  # usual times that one answer counts for at most: a queue is not the rule
SHORTEST = 1 / 16  # of the aim: a queue of shorter times costs nobody an aim, and may be the noise of a busy machine
DOUBLES_IN = 300  # usual times in which the usual time doubles at the fastest, once it has its memory
CROWD_MEMORY = 12  # answers over which the mean stretch is taken
HIGH, LOW = 5.0, 3.5  # mean stretches at which servers queue far more than their cores, and no longer
OVERRUN = 5  # usual times from which one answer says that its server is overrun
MOST = 10.0  # the stretch of what is late for its aim, and of a server that is full
FULL_PRESSURE, NO_PRESSURE = 2, 40  # usual times from none to most pressure at twice `HIGH`, and back below `LOW`
LONGEST_STEP = 2  # usual times that one answer speaks for at most
MOST_PRESSURE = 0.95  # someone must be let in to tell when it is over
LEAST_PRESSURE = 0.05  # faded below that, the crowd is forgotten


@dataclass(slots=True)
class UsualTime:
    """How long an answer to one class takes where its server is not crowded: a mean of the shorter ones."""

    mean: float = 0.0
    answers: int = 0
    learnt_at: int = 0

    def known(self) -> bool:
        return self.answers >= USUAL_FROM

    def learn(self, now: int, elapsed: int) -> None:
        """Takes one answer. It rises slowly, however many answers a queue makes long; what stays long is the rule."""
        self.answers += 1
        if self.answers == 1:
            self.mean = elapsed
        step = (min(elapsed, LONGEST_TAKEN * self.mean) - self.mean) / min(self.answers, USUAL_MEMORY)
        if self.answers > USUAL_MEMORY:
            step = min(step, (now - self.learnt_at) / DOUBLES_IN)
        self.mean += step
        self.learnt_at = now

    def counted(self, aim: int) -> float:
        """What crowding is counted in: not much shorter than the aim, and the aim itself until the time is known."""
        return max(self.mean, aim * SHORTEST) if self.known() else aim

    def overrun_after(self, aim: int) -> int:
        """From how long on an answer, or none, says that its server is overrun."""
        return min(aim, int(OVERRUN * self.counted(aim)))

    def stretch(self, elapsed: int, aim: int) -> float:
        """Of an answer that took `elapsed`, or of a call out for so long. Until the usual time is known, one in time
        counts as usual."""
        if elapsed >= aim:
            return MOST
        return min(MOST, elapsed / self.counted(aim)) if self.known() else 1.0


@dataclass(slots=True)
class Crowding:
    """The part of a group's traffic to turn away, from the stretch of its answers."""

    pressure: float = 0.0
    stretch: float = 1.0  # the mean of late
    felt_at: int = 0
    faded_at: int = 0

    def feel(self, now: int, stretch: float, usual: float) -> None:
        """One answer's stretch; `usual`: the usual time of the classes together. It goes by time, not by count: a
        balancer with much traffic must not swing faster than the queues it feeds."""
        self.stretch += (stretch - self.stretch) / CROWD_MEMORY
        passed = min((now - self.felt_at) / max(1.0, usual), LONGEST_STEP)
        self.felt_at = now
        if self.stretch < LOW and not self.pressure:
            return
        if self.stretch > HIGH:
            excess = min(1.0, self.stretch / HIGH - 1)
            self.pressure += (1 - self.pressure) * excess * passed / FULL_PRESSURE
        elif self.stretch < LOW:
            self.pressure -= passed / NO_PRESSURE
        self.pressure = min(MOST_PRESSURE, max(0.0, self.pressure))

    def turns_away(self, pressure: float) -> float:
        """The part of what another group sends on, having this `pressure` of its own, that is to be turned away: none
        where answers come here as if it were alone, and all of that pressure where they are about to be a crowd."""
        crowded = (self.stretch - 1) / (HIGH - 1)
        return max(self.pressure, pressure * min(1.0, max(0.0, crowded)))

    def fade(self, now: int, half: int) -> None:
        """Where all are turned away, nobody is left to tell that a crowd is over."""
        since = max(self.faded_at, self.felt_at + half)
        if now > since:
            kept = 0.5 ** ((now - since) / half)
            self.pressure *= kept
            self.stretch = 1 + (self.stretch - 1) * kept**0.5  # more slowly: a crowd that is still there is known again
            self.faded_at = now
            if self.pressure < LEAST_PRESSURE:
                self.pressure = 0.0
