"""PreferClose itself: same zone while it has a ready server, else the whole fleet, evenly."""

from collections import Counter

from support import SECOND, attempts, endpoint, full_list, make_balancer, request

from loftweir.interface import Lifecycle


def test_sends_stay_in_the_zone_and_are_even():
    balancer = make_balancer()
    balancer.handle(0, [full_list(endpoint("a1"), endpoint("a2"), endpoint("b1", zone="b"))])
    seen = Counter()
    for i in range(20):
        seen.update(a.provider for a in attempts(balancer.handle(SECOND + i, [request(f"r{i}")])))
    assert seen == {"a1": 10, "a2": 10}


def test_a_zone_with_no_ready_server_opens_the_whole_fleet():
    balancer = make_balancer()
    draining = endpoint("a1", lifecycle=Lifecycle.DRAINING)
    balancer.handle(0, [full_list(draining, endpoint("b1", zone="b"), endpoint("c1", zone="c"))])
    seen = Counter()
    for i in range(20):
        seen.update(a.provider for a in attempts(balancer.handle(SECOND + i, [request(f"r{i}")])))
    assert seen == {"b1": 10, "c1": 10}
