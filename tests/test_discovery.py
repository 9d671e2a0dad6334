"""Calls to discovery: jitter and backoff where the list has to be fetched, and no calls where changes are pushed."""

from support import SECOND, endpoint, make_balancer, of_type

from loftweir.interface import MembershipUpdate, Timer, TimerFired, UpdateKind, Watch

ASK_WITHIN = 10 * SECOND
REMEMBERED = MembershipUpdate(UpdateKind.REMEMBERED, (endpoint("a1"),))
FAILED = MembershipUpdate(UpdateKind.FAILED)


def start_balancer(seed):
    """Return a balancer that has started with a remembered list, and the timer of its first call."""
    balancer = make_balancer(seed, discovery_pushes=False)
    (timer,) = of_type(Timer, balancer.handle(0, [REMEMBERED]))
    return balancer, timer


def test_first_calls_are_spread_and_in_time():
    delays = [start_balancer(seed)[1].delay for seed in range(40)]
    assert max(delays) <= ASK_WITHIN
    assert max(delays) - min(delays) > ASK_WITHIN // 4


def test_a_failed_watch_is_requested_again_within_ask_within():
    balancer, timer = start_balancer(1)
    now = timer.delay
    assert of_type(Watch, balancer.handle(now, [TimerFired(timer.tag)])) == [Watch(True)]
    for _ in range(8):
        (timer,) = of_type(Timer, balancer.handle(now, [FAILED]))
        assert timer.delay <= ASK_WITHIN
        now += timer.delay
        assert of_type(Watch, balancer.handle(now, [TimerFired(timer.tag)])) == [Watch(True)]


def test_nothing_is_requested_where_changes_are_pushed():
    assert make_balancer().handle(0, [REMEMBERED, FAILED]) == []
