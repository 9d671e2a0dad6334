"""The four rules, case by case. Each answer is checked where it is allowed and where it is not."""

import pytest
from support import (
    MS,
    SECOND,
    attempt_ended,
    attempts,
    endpoint,
    full_list,
    list_changes,
    make_balancer,
    of_type,
    request,
)

from loftweir.interface import Fail, Lifecycle, Outcome, Reject, RequestCancelled, StreamStarted, Timer, TimerFired

FLEET = (
    endpoint("a1", cell=1),
    endpoint("a2", cell=1),
    endpoint("a3", cell=2),
    endpoint("b1", zone="b", cell=3),
    endpoint("b2", zone="b", cell=3),
)
ZONE_A = {"a1", "a2", "a3"}
GROUPS = {"log-zone": ZONE_A, "log-cell": ZONE_A}
CELL = {e.address: e.cell for e in FLEET}


def started(class_name, seed=1, fleet=FLEET, **more):
    balancer = make_balancer(seed, **more)
    balancer.handle(0, [full_list(*fleet)])
    (attempt,) = attempts(balancer.handle(SECOND, [request("r", class_name)]))
    return balancer, attempt


def answers(actions):
    return of_type(Reject, actions) + of_type(Fail, actions)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET, Outcome.UNKNOWN])
def test_a_once_request_that_may_have_run_is_neither_repeated_nor_refused(outcome):
    balancer, attempt = started("push")
    actions = balancer.handle(SECOND + 50 * MS, [attempt_ended(attempt, outcome)])
    assert not attempts(actions)
    assert answers(actions) == [Fail("r")]


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_a_once_request_that_never_ran_is_sent_elsewhere(outcome):
    balancer, attempt = started("push")
    (again,) = attempts(balancer.handle(SECOND + 50 * MS, [attempt_ended(attempt, outcome)]))
    assert again.provider != attempt.provider


def test_a_once_request_that_never_ran_anywhere_is_refused():
    balancer, attempt = started("push", fleet=FLEET[:1])
    actions = balancer.handle(SECOND + 50 * MS, [attempt_ended(attempt, Outcome.FULL)])
    assert answers(actions) == [Reject("r")]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("class_name", ["log-zone", "log-cell"])
def test_a_keyed_request_that_may_have_run_stays_in_its_group(class_name, seed):
    balancer, attempt = started(class_name, seed)
    actions = balancer.handle(SECOND + 50 * MS, [attempt_ended(attempt, Outcome.ERROR)])
    for again in attempts(actions):
        assert again.provider in GROUPS[class_name]
        assert class_name != "log-cell" or CELL[again.provider] == CELL[attempt.provider]
    if not attempts(actions):
        assert attempt.provider == "a3", "only a cell of one has no other server"
        assert answers(actions) == [Fail("r")]


def test_a_keyed_request_is_not_repeated_after_its_window():
    balancer, attempt = started("log-all")
    actions = balancer.handle(SECOND + 500 * MS, [attempt_ended(attempt, Outcome.ERROR)])
    assert not attempts(actions)
    assert answers(actions) == [Reject("r")], "the whole fleet drops its repeats: a refusal is harmless"


def test_a_keyed_request_of_a_zone_may_not_be_refused_once_it_may_have_run():
    balancer, attempt = started("log-zone")
    actions = balancer.handle(SECOND + 500 * MS, [attempt_ended(attempt, Outcome.ERROR)])
    assert answers(actions) == [Fail("r")]


def test_attempts_are_limited():
    balancer, attempt = started("read", max_attempts=2)
    (attempt,) = attempts(balancer.handle(SECOND + MS, [attempt_ended(attempt, Outcome.ERROR)]))
    actions = balancer.handle(SECOND + 2 * MS, [attempt_ended(attempt, Outcome.ERROR, number=1)])
    assert not attempts(actions)
    assert len(answers(actions)) == 1


def test_a_timed_out_attempt_at_the_deadline_is_answered_at_once():
    balancer, attempt = started("read")
    assert attempt.give_up_at <= 2 * SECOND
    actions = balancer.handle(2 * SECOND, [attempt_ended(attempt, Outcome.TIMED_OUT)])
    assert not attempts(actions)
    assert answers(actions) == [Reject("r")]


def test_with_no_server_a_request_is_held_and_answered_by_its_deadline():
    balancer = make_balancer()
    actions = balancer.handle(SECOND, [request("r", "push")])
    assert not attempts(actions)
    (timer,) = of_type(Timer, actions)
    assert timer.delay <= 1000 * MS
    assert answers(balancer.handle(SECOND + timer.delay, [TimerFired(timer.tag)])) == [Reject("r")]
    assert balancer.handle(SECOND + timer.delay, [TimerFired(timer.tag)]) == [], "one answer, not two"


def test_a_held_request_is_sent_when_a_server_comes():
    balancer = make_balancer()
    balancer.handle(SECOND, [request("r", "push")])
    (attempt,) = attempts(balancer.handle(SECOND + MS, [full_list(endpoint("b1", zone="b"))]))
    assert attempt.provider == "b1"


def test_nothing_follows_a_client_that_has_gone():
    balancer, attempt = started("read")
    assert balancer.handle(SECOND + MS, [RequestCancelled("r"), attempt_ended(attempt, Outcome.ERROR)]) == []


def test_nothing_follows_a_stream_that_has_started():
    balancer, attempt = started("read")
    assert balancer.handle(SECOND + MS, [StreamStarted("r", 0, attempt.provider, MS)]) == []
    assert answers(balancer.handle(SECOND + 2 * MS, [attempt_ended(attempt, Outcome.RESET, over=True)])) == []


@pytest.mark.parametrize("lifecycle", [Lifecycle.DRAINING, Lifecycle.GONE])
def test_a_drain_is_kept_from_the_moment_it_is_told(lifecycle):
    balancer = make_balancer()
    balancer.handle(0, [full_list(endpoint("a1"), endpoint("a2"))])
    balancer.handle(SECOND, [request("r0")])
    balancer.handle(SECOND, [list_changes(endpoint("a1", lifecycle=lifecycle))])
    for i in range(10):
        (attempt,) = attempts(balancer.handle(2 * SECOND + i, [request(f"s{i}")]))
        assert attempt.provider == "a2"


def test_what_is_missing_from_a_full_list_is_gone():
    balancer = make_balancer()
    balancer.handle(0, [full_list(endpoint("a1"), endpoint("a2"))])
    balancer.handle(SECOND, [full_list(endpoint("a2"))])
    for i in range(10):
        (attempt,) = attempts(balancer.handle(2 * SECOND + i, [request(f"s{i}")]))
        assert attempt.provider == "a2"


def test_a_cold_server_gets_no_more_than_it_can_do():
    """20 balancers, one of 4 servers just started: its part stays near what it can do, not a quarter."""
    sent = cold = 0
    for seed in range(20):
        balancer = make_balancer(seed)
        warm = [endpoint(f"a{i}") for i in range(3)]
        balancer.handle(100 * SECOND, [full_list(*warm, endpoint("cold", started_at=100 * SECOND))])
        for i in range(60):
            now = 100 * SECOND + i * MS
            for attempt in attempts(balancer.handle(now, [request(f"r{i}")])):
                sent += 1
                cold += attempt.provider == "cold"
    able, whole = 0.2, 3.2  # of its size when it starts; of the four together
    assert 0.5 * able / whole < cold / sent < 1.5 * able / whole


def test_a_zone_of_cold_servers_overflows():
    balancer = make_balancer()
    cold = [endpoint(f"a{i}", started_at=100 * SECOND) for i in range(3)]
    balancer.handle(100 * SECOND, [full_list(*cold, endpoint("b1", zone="b"))])
    far = 0
    for i in range(200):
        (attempt,) = attempts(balancer.handle(100 * SECOND + i * MS, [request(f"r{i}")]))
        far += attempt.provider == "b1"
    assert far > 120, "four fifths of the zone's capacity is not there yet"


def test_a_further_attempt_does_not_go_to_a_cold_server():
    """A crowd's repeats must not push over what has just started (incident i19a69d)."""
    for seed in range(10):
        balancer = make_balancer(seed)
        cold = [endpoint(f"c{i}", started_at=100 * SECOND) for i in range(6)]
        balancer.handle(100 * SECOND, [full_list(endpoint("a1"), endpoint("a2"), *cold)])
        for i in range(10):
            for first in attempts(balancer.handle(101 * SECOND + i * MS, [request(f"r{i}")])):
                actions = balancer.handle(101 * SECOND + i * MS, [attempt_ended(first, Outcome.FULL)])
                assert all(a.provider in ("a1", "a2") for a in attempts(actions))


def test_a_crowd_does_not_overflow_onto_cold_servers():
    """The other zone had only servers that had just come back: overflow pushed them over (i19a69d). Where balancers
    are fewer than zones they get their even share of all traffic, and no more of a crowd's: 2 to 3 a second here."""
    for balancers, most in ((3, 0), (1, 12)):
        balancer = make_balancer(balancers=balancers)
        near = [endpoint(f"a{i}") for i in range(4)]
        balancer.handle(100 * SECOND, [full_list(*near, endpoint("b1", zone="b", started_at=100 * SECOND))])
        cold = 0
        for i in range(200):
            for first in attempts(balancer.handle(100 * SECOND + i * 20 * MS, [request(f"r{i}")])):
                cold += first.provider == "b1"
                balancer.handle(100 * SECOND + i * 20 * MS, [attempt_ended(first, Outcome.FULL)])
        assert cold <= most


def test_a_fleet_of_cold_servers_takes_what_it_can_do_and_the_rest_is_refused():
    balancer = make_balancer()
    cold = [endpoint(f"b{i}", zone="b", started_at=100 * SECOND) for i in range(4)]
    balancer.handle(100 * SECOND, [full_list(*cold)])
    sent = sum(len(attempts(balancer.handle(100 * SECOND + i * MS, [request(f"r{i}")]))) for i in range(300))
    assert 30 < sent < 90, "a fifth of 300"
