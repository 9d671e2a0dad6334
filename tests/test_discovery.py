"""Following a list that must be asked for: jitter, backoff, and no ask where changes are pushed."""

from support import SECOND, endpoint, make_balancer, of_type

from loftweir.interface import MembershipUpdate, Timer, TimerFired, UpdateKind, Watch

ASK_WITHIN = 10 * SECOND
REMEMBERED = MembershipUpdate(UpdateKind.REMEMBERED, (endpoint("a1"),))
FAILED = MembershipUpdate(UpdateKind.FAILED)


def first_ask(seed):
    balancer = make_balancer(seed, discovery_pushes=False)
    (timer,) = of_type(Timer, balancer.handle(0, [REMEMBERED]))
    return balancer, timer


def test_first_asks_are_spread_and_in_time():
    delays = [first_ask(seed)[1].delay for seed in range(40)]
    assert max(delays) <= ASK_WITHIN
    assert max(delays) - min(delays) > ASK_WITHIN // 4


def test_a_lost_watch_is_asked_for_again_within_the_rule():
    balancer, timer = first_ask(1)
    now = timer.delay
    assert of_type(Watch, balancer.handle(now, [TimerFired(timer.tag)])) == [Watch(True)]
    for _ in range(8):
        (timer,) = of_type(Timer, balancer.handle(now, [FAILED]))
        assert timer.delay <= ASK_WITHIN
        now += timer.delay
        assert of_type(Watch, balancer.handle(now, [TimerFired(timer.tag)])) == [Watch(True)]


def test_nothing_is_asked_where_changes_are_pushed():
    assert make_balancer().handle(0, [REMEMBERED, FAILED]) == []
