"""Crowding measured by Little's law, and what the balancer makes of it. Pure, in virtual time."""

import pytest
from support import MS, SECOND, attempt_ended, attempts, endpoint, full_list, make_balancer, of_type, request

from loftweir.crowding import (
    FALL,
    HIGH,
    LEAST_OPEN,
    MEMORY,
    MOST_PRESSURE,
    OPENS,
    OVERRUN,
    USUAL_FROM,
    USUAL_GROWTH,
    USUAL_MEMORY,
    Crowding,
    UsualTime,
    step_length,
)
from loftweir.interface import Effect, Fail, Outcome, Reject, RequestClass, TimerFired

AIM = 1000 * MS
USUAL = 100 * MS
STEP = 100 * MS


def usual_time():
    usual = UsualTime()
    for n in range(USUAL_FROM):
        usual.learn(n * USUAL, USUAL)
    return usual


class Plant:
    """Calls that begin at even intervals and each take the same time."""

    def __init__(self):
        self.crowding = Crowding()
        self.now = 0
        self.out = []  # when each ends, and as it is counted

    def play(self, length, apart, taking, wanted=False):
        end = self.now + length
        while self.now < end:
            self.now += apart
            while self.out and self.out[0][0] <= self.now:
                at, call = self.out.pop(0)
                self.crowding.advance(at, STEP, wanted)
                call.end()
            self.crowding.advance(self.now, STEP, wanted)
            self.out.append((self.now + taking, self.crowding.count(USUAL)))
        return self.crowding

    def rest(self, length, wanted=False):
        self.now += length
        for at, call in self.out:
            self.crowding.advance(at, STEP, wanted)
            call.end()
        self.out = []
        self.crowding.advance(self.now, STEP, wanted)
        return self.crowding


# ---- the usual time ---------------------------------------------------------------------------------------


def test_the_usual_time_is_known_from_some_answers_on_and_bounds_what_is_late():
    usual = UsualTime()
    for n in range(USUAL_FROM - 1):
        usual.learn(n * USUAL, USUAL)
    assert usual.overrun_after(AIM) == AIM and 1 / usual.counted(AIM) == 0
    usual.learn(USUAL_FROM * USUAL, USUAL)
    assert (usual.overrun_after(AIM), usual.counted(AIM)) == (OVERRUN * USUAL, USUAL)


def test_an_aim_shorter_than_that_goes_first():
    assert usual_time().overrun_after(2 * USUAL) == 2 * USUAL


def test_times_far_shorter_than_the_aim_are_no_queue():
    assert usual_time().overrun_after(100 * AIM) > 20 * AIM


def test_a_queue_does_not_pass_for_the_usual_time_but_what_stays_becomes_it():
    usual = usual_time()
    start = USUAL_MEMORY * USUAL
    usual.learn(start, USUAL)
    for n in range(10_000):
        usual.learn(start + n * USUAL // 1000, 10 * USUAL)
    assert usual.mean < 1.1 * USUAL, "in ten usual times, however many answers"
    for n in range(10 * USUAL_GROWTH):
        usual.learn(start + 10 * USUAL + n * USUAL, 10 * USUAL)
    assert usual.mean > 9 * USUAL


def test_the_usual_time_falls_as_soon_as_answers_are_shorter():
    usual = usual_time()
    for n in range(3 * USUAL_MEMORY):
        usual.learn(USUAL_FROM * USUAL + n * MS, USUAL // 4)
    assert usual.mean < 0.35 * USUAL


def test_a_step_is_an_eighth_of_the_aim_or_long_enough_for_two_requests():
    assert step_length(AIM, 10 * MS) == AIM / 8
    assert step_length(AIM, 300 * MS) == 600 * MS


# ---- the stretch and what follows from it -----------------------------------------------------------------


def test_the_stretch_is_what_calls_take_in_usual_times():
    for taking, least, most in ((USUAL, 0.9, 1.1), (3 * USUAL, 2.5, 3.1)):
        plant = Plant()
        assert least < plant.play(20 * STEP, USUAL // 20, taking).stretch < most


def test_a_queue_tells_while_it_builds_up_and_before_any_of_its_answers():
    plant = Plant()
    plant.play(10 * STEP, USUAL // 10, USUAL)
    crowding = plant.play(3 * STEP, USUAL // 10, 100 * USUAL)
    assert crowding.stretch > HIGH


def test_one_call_alone_is_no_crowd_however_long_it_takes():
    crowding = Crowding()
    call = crowding.count(USUAL)
    crowding.advance(OVERRUN * USUAL, STEP)
    call.end()
    assert crowding.stretch < HIGH and not crowding.pressure
    refused = Crowding()
    refused.count(USUAL).end()
    refused.refused()
    refused.advance(1, STEP)
    assert not refused.pressure


def test_a_call_ends_once():
    crowding = Crowding()
    call = crowding.count(USUAL)
    call.end()
    after = crowding.ended
    call.end()
    assert (crowding.held, crowding.ended) == (0, after)


def test_pressure_rises_with_the_stretch_and_falls_below_it():
    plant = Plant()
    high = plant.play(10 * STEP, USUAL // 10, OVERRUN * USUAL).pressure
    assert 0.9 < high <= MOST_PRESSURE
    for stretch, sign in ((HIGH * 1.05, 1), (HIGH * 0.95, -1)):
        crowding = Crowding(pressure=0.5, time=stretch * 103, ended=103.0)
        crowding.advance(STEP // 100, STEP)
        assert (crowding.pressure - 0.5) * sign > 0
    falling = Crowding(pressure=0.5, time=HIGH * 0.95 * 103, ended=103.0)
    falling.advance(STEP // 100, STEP)
    assert falling.pressure == pytest.approx(0.5 - 0.01 / FALL)
    plant.rest(10 * STEP)
    assert plant.rest((FALL + 1) * STEP).pressure == 0


@pytest.mark.parametrize("apart", [USUAL // 50, USUAL // 10, USUAL // 2])
def test_pressure_goes_by_time_and_not_by_the_number_of_answers(apart):
    plant = Plant()
    plant.play(10 * STEP, apart, USUAL)
    pressure = plant.play(8 * STEP, apart, OVERRUN * USUAL).pressure
    assert 0.75 < pressure <= MOST_PRESSURE


def test_a_crowd_is_forgotten_as_fast_where_nearly_nothing_is_sent_any_more():
    plant = Plant()
    plant.play(10 * STEP, USUAL // 10, OVERRUN * USUAL)
    plant.rest(OVERRUN * USUAL)
    few = plant.play(3 * MEMORY * STEP, 5 * USUAL, USUAL)
    assert few.stretch < HIGH
    assert plant.play(FALL * STEP, 5 * USUAL, USUAL).pressure == 0


# ---- what overflows from another group --------------------------------------------------------------------


def test_overflow_is_taken_in_slowly_while_it_is_wanted_and_comes_well():
    plant = Plant()
    near = Crowding(pressure=0.8)
    assert near.turned_away(plant.crowding) == 1 - LEAST_OPEN
    plant.play(OPENS * STEP, USUAL // 10, USUAL, wanted=True)
    assert 2 * LEAST_OPEN < plant.crowding.open < 4 * LEAST_OPEN
    plant.play(4 * OPENS * STEP, USUAL // 10, USUAL, wanted=True)
    assert near.turned_away(plant.crowding) == 0


def test_overflow_is_shut_out_as_soon_as_it_crowds():
    plant = Plant()
    plant.crowding.open = 1.0
    crowding = plant.play(12 * STEP, USUAL // 10, OVERRUN * USUAL, wanted=True)
    assert Crowding(pressure=0.8).turned_away(crowding) > 0.8


def test_what_overflows_because_servers_cant_be_reached_goes_at_once():
    near = Crowding()
    for _ in range(20):
        near.count(USUAL).end()
        near.unreachable()
    assert near.turned_away(Crowding()) == 0
    assert near.turned_away(Crowding(pressure=0.3)) == 0.3, "but not onto a crowd"


# ---- the balancer ---------------------------------------------------------------------------------------

PEERS = 4


@pytest.mark.parametrize("seed", range(5))
def test_a_server_that_holds_more_calls_than_its_peers_gets_none_until_they_hold_as_many(seed):
    balancer = make_balancer(seed=seed)
    balancer.handle(SECOND, [full_list(*(endpoint(f"a{n}") for n in range(PEERS)))])
    now, held = SECOND, []
    for n in range(40):  # a0 answers none, within a time in which that is no fault; all others at once
        now += MS
        (attempt,) = attempts(balancer.handle(now, [request(f"r{n}")]))
        if attempt.provider == "a0":
            held.append(attempt)
        else:
            balancer.handle(now + MS // 2, [attempt_ended(attempt, Outcome.OK, elapsed=MS // 2)])
    assert len(held) == 2  # 1 and `MOST_HELD` times the mean of these two over four servers
    for n in range(12):  # nobody answers any more: it takes its part
        now += MS
        held += attempts(balancer.handle(now, [request(f"s{n}")]))
    assert max(sum(attempt.provider == f"a{n}" for attempt in held) for n in range(PEERS)) <= 6
    assert sum(attempt.provider == "a0" for attempt in held) > 2


def classes(late_worth):
    return {
        name: RequestClass(name, effect, AIM, 3 * AIM, late_worth=late_worth)
        for name, effect in (("read", Effect.REPEATABLE), ("push", Effect.ONCE))
    }


def learnt(servers=6, late_worth=0.5):
    """A balancer that knows its servers' usual time."""
    balancer = make_balancer(classes=classes(late_worth))
    balancer.handle(SECOND, [full_list(*(endpoint(f"a{n}") for n in range(servers)))])
    now = SECOND
    for n in range(60):
        now += 20 * MS
        (attempt,) = attempts(balancer.handle(now, [request(f"l{n}", time_left=3 * AIM)]))
        balancer.handle(now + USUAL, [attempt_ended(attempt, Outcome.OK, elapsed=USUAL)])
        now += USUAL
    return balancer, now


def test_one_server_overrun_long_before_its_aim_gets_little_and_nothing_is_turned_away():
    balancer, now = learnt()
    sent, out = [], []
    for n in range(400):
        now += 25 * MS
        for end, began, attempt in sorted(out, key=lambda call: call[0]):
            if end <= now:
                balancer.handle(now, [attempt_ended(attempt, Outcome.OK, elapsed=end - began)])
        out = [call for call in out if call[0] > now]
        for attempt in attempts(balancer.handle(now, [request(f"r{n}", time_left=3 * AIM)])):
            sent.append(attempt.provider)
            out.append((now + (8 * USUAL if attempt.provider == "a0" else USUAL), now, attempt))
    assert sent.count("a0") < 20, "an even share were 67"
    assert len(sent) == 400


def test_where_all_are_slow_long_before_their_aim_some_are_turned_away():
    balancer, now = learnt()
    refused, out = 0, []
    for n in range(400):
        now += 20 * MS
        while out and out[0][0] + 8 * USUAL <= now:
            began, attempt = out.pop(0)
            balancer.handle(now, [attempt_ended(attempt, Outcome.OK, elapsed=now - began)])
        actions = balancer.handle(now, [request(f"r{n}", time_left=3 * AIM)])
        refused += len(of_type(Reject, actions))
        out += [(now, attempt) for attempt in attempts(actions)]
    assert refused > 100


def test_a_call_is_given_up_at_its_aim_only_where_a_late_answer_is_worth_nothing():
    for late_worth, length in ((0.0, AIM), (0.5, 3 * AIM)):
        balancer, now = learnt(late_worth=late_worth)
        (attempt,) = attempts(balancer.handle(now, [request("r", "push", time_left=3 * AIM)]))
        assert attempt.give_up_at == now + length


def test_an_effect_that_may_have_run_when_its_aim_has_passed_is_a_failure_and_no_refusal():
    balancer, now = learnt(late_worth=0.0)
    (attempt,) = attempts(balancer.handle(now, [request("r", "push", time_left=3 * AIM)]))
    now += AIM
    balancer.handle(now, [TimerFired("late:0:r")])
    assert balancer.handle(now, [attempt_ended(attempt, Outcome.TIMED_OUT, elapsed=AIM)]) == [Fail("r")]
