"""The load of a group of providers, measured by Little's law. Pure: no I/O, no clock, no randomness.

The aim of a class (its latency target) says what an answer is worth, but not what a provider can carry. Where aims are
ten times the latency without a queue, providers are overloaded long before an answer is late. So load is measured in
baseline latencies, which are learnt from answers (`BaselineLatency`).

The *slowdown* of a group is the mean time of its attempts, in baseline latencies. It is the number of attempts in
flight, integrated over time, divided by the number of attempts that ended in that time, so that a queue is noticed
while it builds up and not only when its answers arrive. `GroupLoad` derives from it the share of a group's traffic to
send elsewhere or to reject (`overload`), as concurrency limits do that follow the gradient of the response time.

All averages decay by time, in *steps* (`step_length`), and not by the number of answers: a balancer that has
rejected nearly all requests must forget an overload as fast as one that sends all of them.

All times are in nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, inf

# Steps in the mean aim, which is the time scale on which a queue costs worth.
STEPS_PER_AIM = 8
# Requests that arrive in a step at least: a step is longer where traffic is thin.
REQUESTS_PER_STEP = 2

# Answers over which the recent latency of a class is averaged.
BASELINE_MEMORY = 64
# Answers of a class from which its baseline latency is known.
BASELINE_MIN_ANSWERS = 16
# The baseline latency doubles in no less than this many baseline latencies: a queue must not become the baseline.
BASELINE_DOUBLING_TIME = 300
# The least baseline that is used, as a share of the aim: queues of shorter times cost nobody an aim, and may be the
# noise of a busy machine.
MIN_BASELINE = 1 / 16
# An attempt that takes this many baseline latencies shows that its provider is overloaded. It counts no longer towards
# the slowdown of the group.
OVERRUN_FACTOR = 4

# Steps over which the slowdown is averaged.
SLOWDOWN_MEMORY = 4
# Attempts of one baseline latency each that are counted beside the observed ones: one slow attempt is no overload.
PRIOR_ATTEMPTS = 3.0
# The slowdown above which the overload rises and below which it falls.
HIGH_SLOWDOWN = 2.0
# Baseline latencies that an attempt counts for which a provider had no room: one such attempt alone is no overload.
REJECTION_COST = 5.0
# Steps in which the overload rises from 0 to its maximum at twice HIGH_SLOWDOWN.
OVERLOAD_RISE_STEPS = 1
# Steps in which it falls from its maximum to 0 below HIGH_SLOWDOWN.
OVERLOAD_FALL_STEPS = 8
# The maximum of the overload: some requests must be sent to notice when it is over.
MAX_OVERLOAD = 0.95

# The share of another group's overflow that is accepted before any of it has been answered.
MIN_ACCEPTED_OVERFLOW = 0.02
# Steps in which the accepted share grows by a factor of e while there is overflow.
OVERFLOW_GROWTH_STEPS = 20
# Steps in which it shrinks by a factor of e during overload.
OVERFLOW_OVERLOAD_STEPS = 4
# Steps in which it shrinks by a factor of e while there is no overflow.
OVERFLOW_IDLE_STEPS = 100


def step_length(aim: float, interval: float) -> float:
    """Return the unit of time of a balancer with this mean aim and this mean interval between requests."""
    return max(aim / STEPS_PER_AIM, interval * REQUESTS_PER_STEP)


@dataclass(slots=True)
class BaselineLatency:
    """The latency of a class at a provider without a queue: the lower envelope of the mean latency."""

    mean: float = 0.0
    recent: float = 0.0  # the recent mean, with queues or without
    answers: int = 0
    updated_at: int = 0

    def is_known(self) -> bool:
        """Return whether there were enough answers."""
        return self.answers >= BASELINE_MIN_ANSWERS

    def update(self, now: int, elapsed: int) -> None:
        """Add the latency of one answer.

        The baseline falls at once, but rises slowly, however many answers a queue delays: only a lasting change counts.
        """
        self.answers += 1
        self.recent += (elapsed - self.recent) / min(self.answers, BASELINE_MEMORY)
        if self.answers <= BASELINE_MIN_ANSWERS:
            self.mean = self.recent
        else:
            self.mean = min(self.recent, self.mean + (now - self.updated_at) / BASELINE_DOUBLING_TIME)
        self.updated_at = now

    def unit(self, aim: int) -> float:
        """Return the unit in which load is measured, at least MIN_BASELINE of the aim; infinite until it is known."""
        return max(self.mean, aim * MIN_BASELINE) if self.is_known() else inf

    def overrun_after(self, aim: int) -> int:
        """Return after what time an attempt, answered or not, shows that its provider is overloaded."""
        return min(aim, int(OVERRUN_FACTOR * self.unit(aim))) if self.is_known() else aim


@dataclass(slots=True)
class GroupLoad:
    """Measures a group's load from its attempts in flight and those that ended, and derives its overload."""

    overload: float = 0.0  # the share of the traffic to send elsewhere or to reject
    accepted_overflow: float = MIN_ACCEPTED_OVERFLOW  # the share of another group's overflow that this one accepts
    in_flight: float = 0.0  # attempts, each as 1 / its baseline latency
    busy: float = PRIOR_ATTEMPTS  # decayed: the time that attempts have taken so far, in baseline latencies
    ended: float = PRIOR_ATTEMPTS  # decayed: attempts that have ended
    unreachable: float = 0.0  # decayed: those of them that got no connection
    updated_at: int = 0

    @property
    def slowdown(self) -> float:
        """The mean time of attempts, in baseline latencies."""
        return self.busy / self.ended

    def advance(self, now: int, step: float, overflow: bool = False) -> None:
        """Advance to this time, before any other call for it; `overflow`: another group overflows to this one."""
        passed = (now - self.updated_at) / step
        if passed <= 0:
            return
        self.updated_at = now
        kept = exp(-passed / SLOWDOWN_MEMORY)
        self.busy = (
            PRIOR_ATTEMPTS + (self.busy - PRIOR_ATTEMPTS) * kept + self.in_flight * step * SLOWDOWN_MEMORY * (1 - kept)
        )
        self.ended = PRIOR_ATTEMPTS + (self.ended - PRIOR_ATTEMPTS) * kept
        self.unreachable *= kept
        self._update_overload(passed, overflow)

    def _update_overload(self, passed: float, overflow: bool) -> None:
        excess = min(1.0, self.slowdown / HIGH_SLOWDOWN - 1)
        if excess > 0:
            self.overload += (1 - self.overload) * min(1.0, excess * passed / OVERLOAD_RISE_STEPS)
            self.accepted_overflow *= 1 - passed / OVERFLOW_OVERLOAD_STEPS
        else:
            self.overload -= passed / OVERLOAD_FALL_STEPS
            self.accepted_overflow *= (
                1 + passed / OVERFLOW_GROWTH_STEPS if overflow else 1 - passed / OVERFLOW_IDLE_STEPS
            )
        self.overload = min(MAX_OVERLOAD, max(0.0, self.overload))
        self.accepted_overflow = min(1.0, max(MIN_ACCEPTED_OVERFLOW, self.accepted_overflow))

    def track(self, baseline: float) -> TrackedAttempt:
        """Add an attempt in flight of a class with this baseline latency."""
        self.in_flight += 1 / baseline
        return TrackedAttempt(self, baseline)

    def add_rejected(self) -> None:
        """Record that a provider had no room for an attempt, or that one is late and no baseline is known yet."""
        self.busy += REJECTION_COST

    def add_unreachable(self) -> None:
        """Record that a provider accepted no connection for an attempt."""
        self.add_rejected()
        self.unreachable += 1

    def rejected_overflow(self, other: GroupLoad) -> float:
        """Return the share of this group's overflow that the `other` group is not to be sent.

        The other group accepts more only slowly while there is overflow, so that several overloaded groups do not
        overload the one that is not. What overflows because providers can't be reached is sent at once.
        """
        ended = self.ended - PRIOR_ATTEMPTS
        reachable = 1 - min(1.0, self.unreachable / ended) if ended > 0 else 1.0
        return max(other.overload, (1 - other.accepted_overflow) * reachable)


@dataclass(slots=True)
class TrackedAttempt:
    """An attempt in flight as its group counts it."""

    load: GroupLoad
    baseline: float  # of its class
    active: bool = True

    def end(self) -> None:
        """Count it as ended, or as telling nothing more about the group as its own provider is overloaded.

        Further calls have no effect.
        """
        if self.active:
            self.load.in_flight = max(0.0, self.load.in_flight - 1 / self.baseline)
            self.load.ended += 1
            self.active = False
