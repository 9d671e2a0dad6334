"""The four safety rules, case by case: each action is checked where it is allowed and where it is not."""

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


def start_request(class_name, seed=1, fleet=FLEET, **more):
    """Return a balancer that has sent one request, and its first attempt."""
    balancer = make_balancer(seed, **more)
    balancer.handle(0, [full_list(*fleet)])
    (attempt,) = attempts(balancer.handle(SECOND, [request("r", class_name)]))
    return balancer, attempt


def final_answers(actions):
    return of_type(Reject, actions) + of_type(Fail, actions)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET, Outcome.UNKNOWN])
def test_a_once_request_that_may_have_run_is_neither_retried_nor_rejected(outcome):
    balancer, attempt = start_request("push")
    actions = balancer.handle(SECOND + 50 * MS, [attempt_ended(attempt, outcome)])
    assert not attempts(actions)
    assert final_answers(actions) == [Fail("r")]


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_a_once_request_that_never_ran_is_retried_at_another_provider(outcome):
    balancer, attempt = start_request("push")
    (retry,) = attempts(balancer.handle(SECOND + 50 * MS, [attempt_ended(attempt, outcome)]))
    assert retry.provider != attempt.provider


def test_a_once_request_that_never_ran_is_rejected_if_there_is_no_other_provider():
    balancer, attempt = start_request("push", fleet=FLEET[:1])
    actions = balancer.handle(SECOND + 50 * MS, [attempt_ended(attempt, Outcome.FULL)])
    assert final_answers(actions) == [Reject("r")]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("class_name", ["log-zone", "log-cell"])
def test_a_keyed_request_that_may_have_run_stays_in_its_group(class_name, seed):
    balancer, attempt = start_request(class_name, seed)
    actions = balancer.handle(SECOND + 50 * MS, [attempt_ended(attempt, Outcome.ERROR)])
    for retry in attempts(actions):
        assert retry.provider in GROUPS[class_name]
        assert class_name != "log-cell" or CELL[retry.provider] == CELL[attempt.provider]
    if not attempts(actions):
        assert attempt.provider == "a3", "only the provider in a cell of its own has no other provider"
        assert final_answers(actions) == [Fail("r")]


def test_a_keyed_request_is_not_retried_after_its_window():
    balancer, attempt = start_request("log-all")
    actions = balancer.handle(SECOND + 500 * MS, [attempt_ended(attempt, Outcome.ERROR)])
    assert not attempts(actions)
    assert final_answers(actions) == [Reject("r")], "all providers drop its duplicates: a rejection is harmless"


def test_a_request_keyed_by_zone_is_not_rejected_once_it_may_have_run():
    balancer, attempt = start_request("log-zone")
    actions = balancer.handle(SECOND + 500 * MS, [attempt_ended(attempt, Outcome.ERROR)])
    assert final_answers(actions) == [Fail("r")]


def test_attempts_are_limited():
    balancer, attempt = start_request("read", max_attempts=2)
    (attempt,) = attempts(balancer.handle(SECOND + MS, [attempt_ended(attempt, Outcome.ERROR)]))
    actions = balancer.handle(SECOND + 2 * MS, [attempt_ended(attempt, Outcome.ERROR, number=1)])
    assert not attempts(actions)
    assert len(final_answers(actions)) == 1


def test_a_request_whose_attempt_times_out_at_the_deadline_is_answered_at_once():
    balancer, attempt = start_request("read")
    assert attempt.give_up_at <= 2 * SECOND
    actions = balancer.handle(2 * SECOND, [attempt_ended(attempt, Outcome.TIMED_OUT)])
    assert not attempts(actions)
    assert final_answers(actions) == [Reject("r")]


def test_without_providers_a_request_waits_and_is_answered_at_its_deadline():
    balancer = make_balancer()
    actions = balancer.handle(SECOND, [request("r", "push")])
    assert not attempts(actions)
    (timer,) = of_type(Timer, actions)
    assert timer.delay <= 1000 * MS
    assert final_answers(balancer.handle(SECOND + timer.delay, [TimerFired(timer.tag)])) == [Reject("r")]
    assert balancer.handle(SECOND + timer.delay, [TimerFired(timer.tag)]) == [], "one final answer, not two"


def test_a_waiting_request_is_sent_when_a_provider_is_listed():
    balancer = make_balancer()
    balancer.handle(SECOND, [request("r", "push")])
    (attempt,) = attempts(balancer.handle(SECOND + MS, [full_list(endpoint("b1", zone="b"))]))
    assert attempt.provider == "b1"


def test_nothing_is_sent_for_a_cancelled_request():
    balancer, attempt = start_request("read")
    assert balancer.handle(SECOND + MS, [RequestCancelled("r"), attempt_ended(attempt, Outcome.ERROR)]) == []


def test_nothing_is_sent_or_answered_after_a_stream_has_started():
    balancer, attempt = start_request("read")
    assert balancer.handle(SECOND + MS, [StreamStarted("r", 0, attempt.provider, MS)]) == []
    assert final_answers(balancer.handle(SECOND + 2 * MS, [attempt_ended(attempt, Outcome.RESET, over=True)])) == []


@pytest.mark.parametrize("lifecycle", [Lifecycle.DRAINING, Lifecycle.GONE])
def test_a_draining_or_gone_provider_gets_nothing_from_the_notification_on(lifecycle):
    balancer = make_balancer()
    balancer.handle(0, [full_list(endpoint("a1"), endpoint("a2"))])
    balancer.handle(SECOND, [request("r0")])
    balancer.handle(SECOND, [list_changes(endpoint("a1", lifecycle=lifecycle))])
    for i in range(10):
        (attempt,) = attempts(balancer.handle(2 * SECOND + i, [request(f"s{i}")]))
        assert attempt.provider == "a2"


def test_a_provider_that_is_missing_from_a_full_list_is_gone():
    balancer = make_balancer()
    balancer.handle(0, [full_list(endpoint("a1"), endpoint("a2"))])
    balancer.handle(SECOND, [full_list(endpoint("a2"))])
    for i in range(10):
        (attempt,) = attempts(balancer.handle(2 * SECOND + i, [request(f"s{i}")]))
        assert attempt.provider == "a2"


def test_a_cold_provider_gets_no_more_than_it_can_handle():
    """Of 4 providers one has just started: 20 balancers send it a share near its capacity, not a quarter."""
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
    capacity, whole = 0.2, 3.2  # of the cold provider at its start, and of all four together
    assert 0.5 * capacity / whole < cold / sent < 1.5 * capacity / whole


def test_a_zone_of_cold_providers_overflows():
    balancer = make_balancer()
    cold = [endpoint(f"a{i}", started_at=100 * SECOND) for i in range(3)]
    balancer.handle(100 * SECOND, [full_list(*cold, endpoint("b1", zone="b"))])
    remote = 0
    for i in range(200):
        (attempt,) = attempts(balancer.handle(100 * SECOND + i * MS, [request(f"r{i}")]))
        remote += attempt.provider == "b1"
    assert remote > 120, "the zone has a fifth of its capacity"


def test_a_retry_does_not_go_to_a_cold_provider():
    """During overload, retries made providers fail that had just started (incident i19a69d)."""
    for seed in range(10):
        balancer = make_balancer(seed)
        cold = [endpoint(f"c{i}", started_at=100 * SECOND) for i in range(6)]
        balancer.handle(100 * SECOND, [full_list(endpoint("a1"), endpoint("a2"), *cold)])
        for i in range(10):
            for first in attempts(balancer.handle(101 * SECOND + i * MS, [request(f"r{i}")])):
                actions = balancer.handle(101 * SECOND + i * MS, [attempt_ended(first, Outcome.FULL)])
                assert all(a.provider in ("a1", "a2") for a in attempts(actions))


def test_an_overloaded_zone_does_not_overflow_to_cold_providers():
    """The other zone had only providers that had just restarted, and the overflow made them fail (i19a69d).

    Where there are fewer balancers than zones, cold providers get an even share of the traffic of all zones, and no
    more during overload: 2 to 3 attempts per second here.
    """
    for balancers, most in ((3, 0), (1, 12)):
        balancer = make_balancer(balancers=balancers)
        local = [endpoint(f"a{i}") for i in range(4)]
        balancer.handle(100 * SECOND, [full_list(*local, endpoint("b1", zone="b", started_at=100 * SECOND))])
        cold = 0
        for i in range(200):
            for first in attempts(balancer.handle(100 * SECOND + i * 20 * MS, [request(f"r{i}")])):
                cold += first.provider == "b1"
                balancer.handle(100 * SECOND + i * 20 * MS, [attempt_ended(first, Outcome.FULL)])
        assert cold <= most


def test_a_fleet_of_cold_providers_gets_what_it_can_handle_and_the_rest_is_rejected():
    balancer = make_balancer()
    cold = [endpoint(f"b{i}", zone="b", started_at=100 * SECOND) for i in range(4)]
    balancer.handle(100 * SECOND, [full_list(*cold)])
    sent = sum(len(attempts(balancer.handle(100 * SECOND + i * MS, [request(f"r{i}")]))) for i in range(300))
    assert 30 < sent < 90, "a fifth of 300"
