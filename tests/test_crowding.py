"""Crowding read from how long answers take, and what the balancer makes of it. Pure, in virtual time."""

from support import MS, SECOND, attempts, ended, endpoint, full, make, of, request

from loftweir.crowding import (
    HIGH,
    LEAST_PRESSURE,
    LOW,
    MOST,
    MOST_PRESSURE,
    OVERRUN,
    USUAL_FROM,
    USUAL_MEMORY,
    Crowding,
    UsualTime,
)
from loftweir.interface import Effect, Fail, Outcome, Refuse, RequestClass, TimerFired

AIM = 1000 * MS
USUAL = 100 * MS


def usual_time():
    usual = UsualTime()
    for n in range(USUAL_FROM):
        usual.learn(n * USUAL, USUAL)
    return usual


def feel_for(crowding, start, length, stretch):
    """Answers of one stretch, a tenth of a usual time apart."""
    for now in range(start, start + length, USUAL // 10):
        crowding.feel(now, stretch, USUAL)
    return start + length


def test_the_usual_time_is_known_from_some_answers_on_and_bounds_what_is_late():
    usual = UsualTime()
    for n in range(USUAL_FROM - 1):
        usual.learn(n * USUAL, USUAL)
    assert (usual.overrun_after(AIM), usual.stretch(3 * USUAL, AIM)) == (AIM, 1.0)
    usual.learn(USUAL_FROM * USUAL, USUAL)
    assert (usual.overrun_after(AIM), usual.stretch(3 * USUAL, AIM)) == (OVERRUN * USUAL, 3.0)


def test_an_aim_shorter_than_that_goes_first():
    usual = usual_time()
    assert usual.overrun_after(2 * USUAL) == 2 * USUAL
    assert usual.stretch(2 * USUAL, 2 * USUAL) == MOST


def test_times_far_shorter_than_the_aim_are_no_queue():
    usual = usual_time()
    assert usual.overrun_after(100 * AIM) > 30 * AIM and usual.stretch(20 * USUAL, 100 * AIM) < 1


def test_a_queue_does_not_pass_for_the_usual_time_but_what_stays_becomes_it():
    usual = usual_time()
    for n in range(USUAL_MEMORY):
        usual.learn(n * USUAL, USUAL)
    start = USUAL_MEMORY * USUAL
    for n in range(10_000):
        usual.learn(start + n * USUAL // 1000, 10 * USUAL)
    assert usual.mean < 1.2 * USUAL, "in ten usual times, however many answers"
    for n in range(10_000):
        usual.learn(start + n * USUAL, 10 * USUAL)
    assert usual.mean > 9 * USUAL


def test_pressure_rises_with_the_stretch_rests_between_and_falls_below():
    crowding = Crowding()
    now = feel_for(crowding, 0, 20 * USUAL, MOST)
    high = crowding.pressure
    assert 0.9 < high <= MOST_PRESSURE
    crowding.stretch = 4.0
    now = feel_for(crowding, now, 20 * USUAL, 4.0)
    assert crowding.pressure == high
    crowding.stretch = 1.0
    feel_for(crowding, now, 80 * USUAL, 1.0)
    assert crowding.pressure == 0


def test_pressure_goes_by_time_and_not_by_the_number_of_answers():
    thin, thick = Crowding(stretch=MOST), Crowding(stretch=MOST)
    for now in range(0, 4 * USUAL, USUAL):
        thin.feel(now, MOST, USUAL)
    for now in range(0, 4 * USUAL, USUAL // 50):
        thick.feel(now, MOST, USUAL)
    assert abs(thin.pressure - thick.pressure) < 0.15


def test_a_crowd_of_which_nothing_is_heard_is_forgotten_with_its_stretch():
    crowding = Crowding(pressure=0.9, stretch=MOST)
    crowding.fade(SECOND, SECOND)
    assert crowding.pressure == 0.9
    crowding.fade(8 * SECOND, SECOND)
    assert crowding.pressure == 0 and crowding.stretch < LOW
    slightly = Crowding(pressure=2 * LEAST_PRESSURE)
    slightly.fade(int(1.5 * SECOND), SECOND)
    assert slightly.pressure > LEAST_PRESSURE


def test_another_groups_overflow_is_taken_where_nothing_queues_and_not_where_a_crowd_begins():
    assert Crowding(stretch=1.0).turns_away(0.8) == 0
    assert 0 < Crowding(stretch=(1 + HIGH) / 2).turns_away(0.8) < 0.8
    assert Crowding(stretch=HIGH).turns_away(0.8) == 0.8
    assert Crowding(stretch=1.0, pressure=0.3).turns_away(0.8) == 0.3


# ---- the balancer ---------------------------------------------------------------------------------------


def classes(late_worth):
    return {
        name: RequestClass(name, effect, AIM, 3 * AIM, late_worth=late_worth)
        for name, effect in (("read", Effect.REPEATABLE), ("push", Effect.ONCE))
    }


def learnt(servers=6, late_worth=0.5):
    """A balancer that knows its servers' usual time."""
    balancer = make(classes=classes(late_worth))
    balancer.handle(SECOND, [full(*(endpoint(f"a{n}") for n in range(servers)))])
    now = SECOND
    for n in range(60):
        now += 20 * MS
        (attempt,) = attempts(balancer.handle(now, [request(f"l{n}", patience=3 * AIM)]))
        balancer.handle(now + USUAL, [ended(attempt, Outcome.OK, elapsed=USUAL)])
        now += USUAL
    return balancer, now


def test_where_all_are_slow_long_before_their_aim_some_are_turned_away():
    balancer, now = learnt()
    refused = 0
    for n in range(400):
        now += 20 * MS
        actions = balancer.handle(now, [request(f"r{n}", patience=3 * AIM)])
        refused += len(of(Refuse, actions))
        for attempt in attempts(actions):
            balancer.handle(now, [ended(attempt, Outcome.OK, elapsed=8 * USUAL)])
    assert refused > 100


def test_a_call_is_given_up_at_its_aim_only_where_a_late_answer_is_worth_nothing():
    for late_worth, length in ((0.0, AIM), (0.5, 3 * AIM)):
        balancer, now = learnt(late_worth=late_worth)
        (attempt,) = attempts(balancer.handle(now, [request("r", "push", patience=3 * AIM)]))
        assert attempt.give_up_at == now + length


def test_an_effect_that_may_have_run_when_its_aim_has_passed_is_a_failure_and_no_refusal():
    balancer, now = learnt(late_worth=0.0)
    (attempt,) = attempts(balancer.handle(now, [request("r", "push", patience=3 * AIM)]))
    now += AIM
    balancer.handle(now, [TimerFired("late:0:r")])
    assert balancer.handle(now, [ended(attempt, Outcome.TIMED_OUT, elapsed=AIM)]) == [Fail("r")]
