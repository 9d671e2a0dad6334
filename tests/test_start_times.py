"""Slow start where the wall clock was stepped before this process read it."""

import pytest
from support import SECOND, endpoint, make_balancer

from loftweir.interface import Lifecycle, MembershipUpdate, UpdateKind

HOUR = 3600 * SECOND
NOW = 1_000_000 * SECOND  # on the list's clock
COLD, WARM = 0.2, 1.0  # parts of its capacity that a server can do


def balancer():
    return make_balancer(1, discovery_pushes=True)


def listed(*ages, kind=UpdateKind.FULL, at=NOW):
    """A list of servers, each started so long before `at`."""
    entries = tuple(endpoint(f"s{number}", started_at=at - age) for number, age in enumerate(ages))
    return MembershipUpdate(kind, entries, 1)


def able(balancer):
    return [round(balancer._able(server), 2) for server in balancer.providers.values()]


@pytest.mark.parametrize("behind", [5 * SECOND, HOUR])
def test_a_clock_that_is_behind_the_lists_does_not_keep_a_fleet_cold(behind):
    sidecar, now = balancer(), NOW - behind
    sidecar.handle(now, [listed(2 * SECOND, 100 * SECOND, 200 * SECOND, kind=UpdateKind.REMEMBERED)])
    assert able(sidecar)[0] == COLD
    sidecar.handle(now + 20 * SECOND, [])
    assert able(sidecar) == [WARM, WARM, WARM]


def test_a_clock_that_is_ahead_of_the_lists_does_not_take_a_restarted_server_for_warm():
    sidecar, now = balancer(), NOW + HOUR
    sidecar.handle(now, [listed(100 * SECOND, 200 * SECOND)])
    again = MembershipUpdate(UpdateKind.CHANGES, (endpoint("s1", started_at=NOW + 39 * SECOND),), 2)
    sidecar.handle(now + 40 * SECOND, [again])
    assert able(sidecar)[0] == WARM and able(sidecar)[1] == COLD


def test_starts_on_one_clock_are_taken_as_they_are():
    sidecar = balancer()
    sidecar.handle(NOW, [listed(0, 10 * SECOND, 30 * SECOND, kind=UpdateKind.REMEMBERED)])
    assert able(sidecar) == [COLD, 0.6, WARM]
    late = MembershipUpdate(UpdateKind.CHANGES, (endpoint("s2", started_at=NOW + 10 * SECOND),), 2)
    sidecar.handle(NOW + 15 * SECOND, [MembershipUpdate(UpdateKind.CHANGES, (), 1)])
    sidecar.handle(NOW + 20 * SECOND, [late])
    assert able(sidecar) == [WARM, WARM, 0.6]


def test_a_server_started_long_ago_that_comes_back_is_taken_as_it_is():
    sidecar = balancer()
    sidecar.handle(NOW, [listed(100 * SECOND, 200 * SECOND)])
    gone = MembershipUpdate(UpdateKind.CHANGES, (endpoint("s1", lifecycle=Lifecycle.GONE),), 2)
    back = MembershipUpdate(UpdateKind.CHANGES, (endpoint("s1", started_at=NOW - 200 * SECOND),), 3)
    sidecar.handle(NOW + SECOND, [gone])
    sidecar.handle(NOW + 60 * SECOND, [back])
    assert able(sidecar) == [WARM, WARM]
