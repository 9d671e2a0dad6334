"""Slow start where the wall clock or this process's clock is off: how cold a provider is taken to be."""

import pytest
from support import SECOND, endpoint, make_balancer

from loftweir.interface import Lifecycle, MembershipUpdate, UpdateKind

HOUR = 3600 * SECOND
NOW = 1_000_000 * SECOND  # on the list's clock
# Capacities of a provider, as shares of the full one.
COLD = 0.2
WARM = 1.0


def new_balancer():
    return make_balancer(1, discovery_pushes=True)


def listed(*ages, kind=UpdateKind.FULL, at=NOW):
    """A list of providers that started the given times before `at`."""
    endpoints = tuple(endpoint(f"s{number}", started_at=at - age) for number, age in enumerate(ages))
    return MembershipUpdate(kind, endpoints, 1)


def capacities(balancer):
    return [round(balancer._capacity(provider), 2) for provider in balancer.providers.values()]


@pytest.mark.parametrize("behind", [5 * SECOND, HOUR])
def test_a_clock_behind_that_of_the_list_does_not_keep_a_fleet_cold(behind):
    balancer, now = new_balancer(), NOW - behind
    balancer.handle(now, [listed(2 * SECOND, 100 * SECOND, 200 * SECOND, kind=UpdateKind.REMEMBERED)])
    assert capacities(balancer)[0] == COLD
    balancer.handle(now + 20 * SECOND, [])
    assert capacities(balancer) == [WARM, WARM, WARM]


def test_a_clock_ahead_of_that_of_the_list_does_not_make_a_restarted_provider_warm():
    balancer, now = new_balancer(), NOW + HOUR
    balancer.handle(now, [listed(100 * SECOND, 200 * SECOND)])
    restarted = MembershipUpdate(UpdateKind.CHANGES, (endpoint("s1", started_at=NOW + 39 * SECOND),), 2)
    balancer.handle(now + 40 * SECOND, [restarted])
    assert capacities(balancer)[0] == WARM and capacities(balancer)[1] == COLD


def test_start_times_are_used_unchanged_if_the_clocks_agree():
    balancer = new_balancer()
    balancer.handle(NOW, [listed(0, 10 * SECOND, 30 * SECOND, kind=UpdateKind.REMEMBERED)])
    assert capacities(balancer) == [COLD, 0.6, WARM]
    restarted = MembershipUpdate(UpdateKind.CHANGES, (endpoint("s2", started_at=NOW + 10 * SECOND),), 2)
    balancer.handle(NOW + 15 * SECOND, [MembershipUpdate(UpdateKind.CHANGES, (), 1)])
    balancer.handle(NOW + 20 * SECOND, [restarted])
    assert capacities(balancer) == [WARM, WARM, 0.6]


def test_the_start_time_of_a_provider_that_is_listed_again_is_used_unchanged():
    balancer = new_balancer()
    balancer.handle(NOW, [listed(100 * SECOND, 200 * SECOND)])
    gone = MembershipUpdate(UpdateKind.CHANGES, (endpoint("s1", lifecycle=Lifecycle.GONE),), 2)
    back = MembershipUpdate(UpdateKind.CHANGES, (endpoint("s1", started_at=NOW - 200 * SECOND),), 3)
    balancer.handle(NOW + SECOND, [gone])
    balancer.handle(NOW + 60 * SECOND, [back])
    assert capacities(balancer) == [WARM, WARM]
