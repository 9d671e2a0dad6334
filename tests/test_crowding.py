"""A group's load measured by Little's law, and how the balancer uses it. Pure, in virtual time."""

import pytest
from support import MS, SECOND, attempt_ended, attempts, endpoint, full_list, make_balancer, of_type, request

from loftweir.crowding import (
    BASELINE_DOUBLING_TIME,
    BASELINE_MEMORY,
    BASELINE_MIN_ANSWERS,
    HIGH_SLOWDOWN,
    MAX_OVERLOAD,
    MIN_ACCEPTED_OVERFLOW,
    OVERFLOW_GROWTH_STEPS,
    OVERLOAD_FALL_STEPS,
    OVERRUN_FACTOR,
    SLOWDOWN_MEMORY,
    BaselineLatency,
    GroupLoad,
    step_length,
)
from loftweir.interface import Effect, Fail, Outcome, Reject, RequestClass, TimerFired

AIM = 1000 * MS
BASELINE = 100 * MS
STEP = 100 * MS


def known_baseline():
    baseline = BaselineLatency()
    for n in range(BASELINE_MIN_ANSWERS):
        baseline.update(n * BASELINE, BASELINE)
    return baseline


class SimulatedGroup:
    """A group of providers with attempts that begin at even intervals and all take the same time."""

    def __init__(self):
        self.load = GroupLoad()
        self.now = 0
        self.in_flight = []  # when each attempt ends, and its TrackedAttempt

    def run(self, length, interval, latency, overflow=False):
        end = self.now + length
        while self.now < end:
            self.now += interval
            while self.in_flight and self.in_flight[0][0] <= self.now:
                at, attempt = self.in_flight.pop(0)
                self.load.advance(at, STEP, overflow)
                attempt.end()
            self.load.advance(self.now, STEP, overflow)
            self.in_flight.append((self.now + latency, self.load.track(BASELINE)))
        return self.load

    def rest(self, length, overflow=False):
        self.now += length
        for at, attempt in self.in_flight:
            self.load.advance(at, STEP, overflow)
            attempt.end()
        self.in_flight = []
        self.load.advance(self.now, STEP, overflow)
        return self.load


# ---- the baseline latency -----------------------------------------------------------------------


def test_the_baseline_is_known_after_enough_answers_and_limits_the_time_until_an_attempt_is_late():
    baseline = BaselineLatency()
    for n in range(BASELINE_MIN_ANSWERS - 1):
        baseline.update(n * BASELINE, BASELINE)
    assert baseline.overrun_after(AIM) == AIM and 1 / baseline.unit(AIM) == 0
    baseline.update(BASELINE_MIN_ANSWERS * BASELINE, BASELINE)
    assert (baseline.overrun_after(AIM), baseline.unit(AIM)) == (OVERRUN_FACTOR * BASELINE, BASELINE)


def test_a_shorter_aim_takes_precedence_over_the_baseline():
    assert known_baseline().overrun_after(2 * BASELINE) == 2 * BASELINE


def test_latencies_far_below_the_aim_do_not_count_as_a_queue():
    assert known_baseline().overrun_after(100 * AIM) > 20 * AIM


def test_a_queue_does_not_raise_the_baseline_but_a_lasting_change_does():
    baseline = known_baseline()
    start = BASELINE_MEMORY * BASELINE
    baseline.update(start, BASELINE)
    for n in range(10_000):
        baseline.update(start + n * BASELINE // 1000, 10 * BASELINE)
    assert baseline.mean < 1.1 * BASELINE, "within ten baseline latencies, however many answers"
    for n in range(10 * BASELINE_DOUBLING_TIME):
        baseline.update(start + 10 * BASELINE + n * BASELINE, 10 * BASELINE)
    assert baseline.mean > 9 * BASELINE


def test_the_baseline_falls_as_soon_as_answers_are_faster():
    baseline = known_baseline()
    for n in range(3 * BASELINE_MEMORY):
        baseline.update(BASELINE_MIN_ANSWERS * BASELINE + n * MS, BASELINE // 4)
    assert baseline.mean < 0.35 * BASELINE


def test_a_step_is_an_eighth_of_the_aim_or_long_enough_for_two_requests():
    assert step_length(AIM, 10 * MS) == AIM / 8
    assert step_length(AIM, 300 * MS) == 600 * MS


# ---- slowdown and overload ------------------------------------------------------------------------


def test_the_slowdown_is_the_time_of_attempts_in_baseline_latencies():
    for latency, least, most in ((BASELINE, 0.9, 1.1), (3 * BASELINE, 2.5, 3.1)):
        group = SimulatedGroup()
        assert least < group.run(20 * STEP, BASELINE // 20, latency).slowdown < most


def test_a_queue_raises_the_slowdown_before_any_of_its_answers():
    group = SimulatedGroup()
    group.run(10 * STEP, BASELINE // 10, BASELINE)
    load = group.run(3 * STEP, BASELINE // 10, 100 * BASELINE)
    assert load.slowdown > HIGH_SLOWDOWN


def test_one_attempt_alone_is_no_overload_however_long_it_takes():
    load = GroupLoad()
    attempt = load.track(BASELINE)
    load.advance(OVERRUN_FACTOR * BASELINE, STEP)
    attempt.end()
    assert load.slowdown < HIGH_SLOWDOWN and not load.overload
    rejected = GroupLoad()
    rejected.track(BASELINE).end()
    rejected.add_rejected()
    rejected.advance(1, STEP)
    assert not rejected.overload


def test_an_attempt_is_counted_as_ended_once():
    load = GroupLoad()
    attempt = load.track(BASELINE)
    attempt.end()
    after = load.ended
    attempt.end()
    assert (load.in_flight, load.ended) == (0, after)


def test_the_overload_rises_above_the_high_slowdown_and_falls_below_it():
    group = SimulatedGroup()
    high = group.run(10 * STEP, BASELINE // 10, OVERRUN_FACTOR * BASELINE).overload
    assert 0.9 < high <= MAX_OVERLOAD
    for slowdown, sign in ((HIGH_SLOWDOWN * 1.05, 1), (HIGH_SLOWDOWN * 0.95, -1)):
        load = GroupLoad(overload=0.5, busy=slowdown * 103, ended=103.0)
        load.advance(STEP // 100, STEP)
        assert (load.overload - 0.5) * sign > 0
    falling = GroupLoad(overload=0.5, busy=HIGH_SLOWDOWN * 0.95 * 103, ended=103.0)
    falling.advance(STEP // 100, STEP)
    assert falling.overload == pytest.approx(0.5 - 0.01 / OVERLOAD_FALL_STEPS)
    group.rest(10 * STEP)
    assert group.rest((OVERLOAD_FALL_STEPS + 1) * STEP).overload == 0


@pytest.mark.parametrize("interval", [BASELINE // 50, BASELINE // 10, BASELINE // 2])
def test_the_overload_rises_by_time_and_not_by_the_number_of_answers(interval):
    group = SimulatedGroup()
    group.run(10 * STEP, interval, BASELINE)
    overload = group.run(8 * STEP, interval, OVERRUN_FACTOR * BASELINE).overload
    assert 0.75 < overload <= MAX_OVERLOAD


def test_an_overload_decays_as_fast_when_hardly_anything_is_sent():
    group = SimulatedGroup()
    group.run(10 * STEP, BASELINE // 10, OVERRUN_FACTOR * BASELINE)
    group.rest(OVERRUN_FACTOR * BASELINE)
    sparse = group.run(3 * SLOWDOWN_MEMORY * STEP, 5 * BASELINE, BASELINE)
    assert sparse.slowdown < HIGH_SLOWDOWN
    assert group.run(OVERLOAD_FALL_STEPS * STEP, 5 * BASELINE, BASELINE).overload == 0


# ---- overflow from another group ------------------------------------------------------------------


def test_overflow_is_accepted_slowly_while_it_causes_no_overload():
    group = SimulatedGroup()
    local = GroupLoad(overload=0.8)
    assert local.rejected_overflow(group.load) == 1 - MIN_ACCEPTED_OVERFLOW
    group.run(OVERFLOW_GROWTH_STEPS * STEP, BASELINE // 10, BASELINE, overflow=True)
    assert 2 * MIN_ACCEPTED_OVERFLOW < group.load.accepted_overflow < 4 * MIN_ACCEPTED_OVERFLOW
    group.run(4 * OVERFLOW_GROWTH_STEPS * STEP, BASELINE // 10, BASELINE, overflow=True)
    assert local.rejected_overflow(group.load) == 0


def test_overflow_is_rejected_as_soon_as_it_causes_overload():
    group = SimulatedGroup()
    group.load.accepted_overflow = 1.0
    load = group.run(12 * STEP, BASELINE // 10, OVERRUN_FACTOR * BASELINE, overflow=True)
    assert GroupLoad(overload=0.8).rejected_overflow(load) > 0.8


def test_overflow_of_unreachable_providers_is_sent_at_once():
    local = GroupLoad()
    for _ in range(20):
        local.track(BASELINE).end()
        local.add_unreachable()
    assert local.rejected_overflow(GroupLoad()) == 0
    assert local.rejected_overflow(GroupLoad(overload=0.3)) == 0.3, "but not to an overloaded group"


# ---- the balancer ---------------------------------------------------------------------------------------

PROVIDERS = 4


@pytest.mark.parametrize("seed", range(5))
def test_a_provider_with_more_attempts_in_flight_than_its_peers_gets_none_until_they_have_as_many(seed):
    balancer = make_balancer(seed=seed)
    balancer.handle(SECOND, [full_list(*(endpoint(f"a{n}") for n in range(PROVIDERS)))])
    now, unanswered = SECOND, []
    for n in range(40):  # a0 answers none, though not late yet; the others answer at once
        now += MS
        (attempt,) = attempts(balancer.handle(now, [request(f"r{n}")]))
        if attempt.provider == "a0":
            unanswered.append(attempt)
        else:
            balancer.handle(now + MS // 2, [attempt_ended(attempt, Outcome.OK, elapsed=MS // 2)])
    assert len(unanswered) == 2  # 1 and MAX_IN_FLIGHT_RATIO times the mean of these two over four providers
    for n in range(12):  # no provider answers any more: a0 gets its share
        now += MS
        unanswered += attempts(balancer.handle(now, [request(f"s{n}")]))
    assert max(sum(attempt.provider == f"a{n}" for attempt in unanswered) for n in range(PROVIDERS)) <= 6
    assert sum(attempt.provider == "a0" for attempt in unanswered) > 2


def classes(late_worth):
    return {
        name: RequestClass(name, effect, AIM, 3 * AIM, late_worth=late_worth)
        for name, effect in (("read", Effect.REPEATABLE), ("push", Effect.ONCE))
    }


def balancer_with_baseline(providers=6, late_worth=0.5):
    """Return a balancer that knows the baseline latency of its providers, and the time."""
    balancer = make_balancer(classes=classes(late_worth))
    balancer.handle(SECOND, [full_list(*(endpoint(f"a{n}") for n in range(providers)))])
    now = SECOND
    for n in range(60):
        now += 20 * MS
        (attempt,) = attempts(balancer.handle(now, [request(f"l{n}", time_left=3 * AIM)]))
        balancer.handle(now + BASELINE, [attempt_ended(attempt, Outcome.OK, elapsed=BASELINE)])
        now += BASELINE
    return balancer, now


def test_a_provider_that_is_overloaded_long_before_the_aim_gets_little_and_nothing_is_rejected():
    balancer, now = balancer_with_baseline()
    sent, in_flight = [], []
    for n in range(400):
        now += 25 * MS
        for end, began, attempt in sorted(in_flight, key=lambda entry: entry[0]):
            if end <= now:
                balancer.handle(now, [attempt_ended(attempt, Outcome.OK, elapsed=end - began)])
        in_flight = [entry for entry in in_flight if entry[0] > now]
        for attempt in attempts(balancer.handle(now, [request(f"r{n}", time_left=3 * AIM)])):
            sent.append(attempt.provider)
            in_flight.append((now + (8 * BASELINE if attempt.provider == "a0" else BASELINE), now, attempt))
    assert sent.count("a0") < 20, "an even share would be 67"
    assert len(sent) == 400


def test_requests_are_rejected_when_all_providers_are_slow_long_before_the_aim():
    balancer, now = balancer_with_baseline()
    rejected, in_flight = 0, []
    for n in range(400):
        now += 20 * MS
        while in_flight and in_flight[0][0] + 8 * BASELINE <= now:
            began, attempt = in_flight.pop(0)
            balancer.handle(now, [attempt_ended(attempt, Outcome.OK, elapsed=now - began)])
        actions = balancer.handle(now, [request(f"r{n}", time_left=3 * AIM)])
        rejected += len(of_type(Reject, actions))
        in_flight += [(now, attempt) for attempt in attempts(actions)]
    assert rejected > 100


def test_an_attempt_is_given_up_at_the_aim_only_if_a_late_answer_is_worth_nothing():
    for late_worth, length in ((0.0, AIM), (0.5, 3 * AIM)):
        balancer, now = balancer_with_baseline(late_worth=late_worth)
        (attempt,) = attempts(balancer.handle(now, [request("r", "push", time_left=3 * AIM)]))
        assert attempt.give_up_at == now + length


def test_a_once_request_that_may_have_run_fails_at_its_aim_and_is_not_rejected():
    balancer, now = balancer_with_baseline(late_worth=0.0)
    (attempt,) = attempts(balancer.handle(now, [request("r", "push", time_left=3 * AIM)]))
    now += AIM
    balancer.handle(now, [TimerFired("late:0:r")])
    assert balancer.handle(now, [attempt_ended(attempt, Outcome.TIMED_OUT, elapsed=AIM)]) == [Fail("r")]
