"""How crowded a group of servers is, measured by Little's law. Pure: no I/O, no clock, no randomness.

The aim of a class says what an answer is worth, but not what a server can carry: where aims are ten times the usual
time of an answer, servers are overrun long before an answer is late. So crowding is counted in usual times, which are
learnt from answers (`UsualTime`).

The *stretch* of a group is the mean time of its calls, in usual times. It is the number of calls held, integrated over
time, over the number that ended in that time, so that a queue tells while it builds up and not only when its answers
come. `Crowding` turns it into the part of a group's traffic to send elsewhere or to refuse (`pressure`), as concurrency
limits do that follow the gradient of the response time.

All memory goes by time, in *steps* (`step_length`), and not by answers: a balancer that has turned nearly all away must
forget a crowd as fast as one that sends all.

All times are in nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, inf

STEPS_OF_AIM = 8  # a step is this part of the mean aim: the time scale on which a queue costs worth,
REQUESTS_OF_STEP = 2  # or longer, so that so many requests come in it

USUAL_MEMORY = 64  # answers over which the time of answers is taken
USUAL_FROM = 16  # answers of a class from which its usual time is known
USUAL_GROWTH = 300  # usual times in which the usual time doubles at the fastest: a queue is not the rule
SHORTEST = 1 / 16  # of the aim: a queue of shorter times costs nobody an aim, and may be the noise of a busy machine
OVERRUN = 4  # usual times from which one call says that its server is overrun; the group's stretch has no more of it

MEMORY = 4  # steps over which the stretch is taken
PRIOR = 3.0  # calls of one usual time that are counted beside those seen: one slow call alone is no crowd
HIGH = 2.0  # the stretch from which pressure rises, and below which it falls
REFUSED = 5.0  # usual times that a call counts for which a server refused for want of room: one alone is no crowd
RISE, FALL = 1, 8  # steps in which pressure goes from none to most at twice `HIGH`, and back below it
MOST_PRESSURE = 0.95  # someone must be let in to tell when it is over

LEAST_OPEN = 0.02  # the part of another group's overflow that is taken before any of it was answered
OPENS, CLOSES, FORGETS = 20, 4, 100  # steps in which that part grows, shrinks in a crowd, and shrinks unwanted, e-fold


def step_length(aim: float, gap: float) -> float:
    """The unit of time of a balancer whose requests have this mean aim and come this far apart."""
    return max(aim / STEPS_OF_AIM, gap * REQUESTS_OF_STEP)


@dataclass(slots=True)
class UsualTime:
    """How long an answer to one class takes where its server is not crowded: the lower envelope of the mean time."""

    mean: float = 0.0
    recent: float = 0.0  # the mean of late, crowded or not
    answers: int = 0
    learnt_at: int = 0

    def known(self) -> bool:
        return self.answers >= USUAL_FROM

    def learn(self, now: int, elapsed: int) -> None:
        """Takes one answer. Down at once, up slowly however many answers a queue makes long: what stays is the rule."""
        self.answers += 1
        self.recent += (elapsed - self.recent) / min(self.answers, USUAL_MEMORY)
        if self.answers <= USUAL_FROM:
            self.mean = self.recent
        else:
            self.mean = min(self.recent, self.mean + (now - self.learnt_at) / USUAL_GROWTH)
        self.learnt_at = now

    def counted(self, aim: int) -> float:
        """What crowding is counted in: not much shorter than the aim; endless until the time is known."""
        return max(self.mean, aim * SHORTEST) if self.known() else inf

    def overrun_after(self, aim: int) -> int:
        """From how long on an answer, or none, says that its server is overrun."""
        return min(aim, int(OVERRUN * self.counted(aim))) if self.known() else aim


@dataclass(slots=True)
class Crowding:
    """The part of a group's traffic to turn away, from the calls it holds and those that end."""

    pressure: float = 0.0
    open: float = LEAST_OPEN  # the part of what overflows from another group that is taken
    held: float = 0.0  # calls out, each as one over its usual time
    time: float = PRIOR  # in memory: usual times that calls have taken, also such that are still out
    ended: float = PRIOR  # in memory: calls that have ended
    cut_off: float = 0.0  # in memory: those of them that found no connection
    at: int = 0

    @property
    def stretch(self) -> float:
        return self.time / self.ended

    def advance(self, now: int, step: float, wanted: bool = False) -> None:
        """Up to this moment, before any other call of the same moment; `wanted`: another group overflows."""
        passed = (now - self.at) / step
        if passed <= 0:
            return
        self.at = now
        kept = exp(-passed / MEMORY)
        self.time = PRIOR + (self.time - PRIOR) * kept + self.held * step * MEMORY * (1 - kept)
        self.ended = PRIOR + (self.ended - PRIOR) * kept
        self.cut_off *= kept
        self._move(passed, wanted)

    def _move(self, passed: float, wanted: bool) -> None:
        excess = min(1.0, self.stretch / HIGH - 1)
        if excess > 0:
            self.pressure += (1 - self.pressure) * min(1.0, excess * passed / RISE)
            self.open *= 1 - passed / CLOSES
        else:
            self.pressure -= passed / FALL
            self.open *= 1 + passed / OPENS if wanted else 1 - passed / FORGETS
        self.pressure = min(MOST_PRESSURE, max(0.0, self.pressure))
        self.open = min(1.0, max(LEAST_OPEN, self.open))

    def count(self, usual: float) -> CountedCall:
        """A call is out, whose class takes `usual`."""
        self.held += 1 / usual
        return CountedCall(self, usual)

    def refused(self) -> None:
        """A server had no room for a call, or a call is late and nothing is usual yet."""
        self.time += REFUSED

    def unreachable(self) -> None:
        """A server took no connection for a call."""
        self.refused()
        self.cut_off += 1

    def turned_away(self, other: Crowding) -> float:
        """The part of its overflow that the `other` group is not to be sent. That opens up slowly while it is wanted,
        so that groups which are crowded together do not push over the one that is not; what overflows because servers
        can't be reached goes at once."""
        ended = self.ended - PRIOR
        reachable = 1 - min(1.0, self.cut_off / ended) if ended > 0 else 1.0
        return max(other.pressure, (1 - other.open) * reachable)


@dataclass(slots=True)
class CountedCall:
    """A call that is out, as its group counts it."""

    crowding: Crowding
    usual: float
    counts: bool = True

    def end(self) -> None:
        """It has ended, or tells no more of the group because its own server is overrun; once ended it stays so."""
        if self.counts:
            self.crowding.held = max(0.0, self.crowding.held - 1 / self.usual)
            self.crowding.ended += 1
            self.counts = False
