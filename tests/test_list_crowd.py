"""A discovery that the calls of the fleet keep busy: every sidecar still reads each change in time."""

import itertools

import pytest
from discovery_scene import Busy, Clock, Counted, Full, Queued, Watching
from support import MS, SECOND

from loftweir import listclock
from loftweir.interface import UpdateKind


def lags(takes):
    """How late each change is read by each sidecar of a fleet, if discovery takes `takes` for a call."""
    clock = Clock()
    busy = Busy(takes, 3 * SECOND, [(20 + 6 * n) * SECOND for n in range(5)])
    fleet = [Queued(clock, busy, seed) for seed in range(230)]
    clock.run(80 * SECOND)
    return [read - busy.changes[version - 2] for sidecar in fleet for version, read in sidecar.read.items()]


def test_watches_answered_by_a_change_do_not_end_in_step():
    """When their next calls began at one moment, they waited over 600 ms for their turn, were given up, and were
    repeated in step: 436 of 1,150 readings of changes never happened."""
    late = lags(8 * MS)
    assert len(late) == 230 * 5 and max(late) <= listclock.NOTIFIED_AFTER


def test_a_fleet_with_more_calls_than_discovery_answers_in_time_reads_every_change():
    """Each call waits longer for its turn than its sidecar waits for the response. When late responses were dropped,
    all calls queued behind others that discovery handled for nothing, and no sidecar read any further change."""
    assert len(lags(12 * MS)) == 230 * 5


def late_readings(sidecars, takes, apart, knows_fleet=True):
    """How many readings of 25 x 5 changes, made `apart` from each other, are too late in a fleet.

    `knows_fleet`: the sidecars know how many of them call discovery.
    """
    late = 0
    for run in range(25):
        clock, busy = Clock(), Full(takes, 1400 * MS, [20 * SECOND + n * apart for n in range(5)])
        known_size = sidecars if knows_fleet else 1
        fleet = [Queued(clock, busy, 1000 * run + seed, known_size) for seed in range(sidecars)]
        clock.run(60 * SECOND)
        late += sum(
            sidecar.read.get(version, 1 << 62) - busy.changes[version - 2] > listclock.NOTIFIED_AFTER
            for sidecar in fleet
            for version in range(2, 7)
        )
    return late


def test_few_sidecars_do_not_keep_a_discovery_at_its_limit_overloaded():
    """Six calls at a time and 2.5 responses a second: a sidecar that was answered, and then refused, called again
    within a second, and 54 of 750 readings of changes were late."""
    assert late_readings(6, 400 * MS, 6 * SECOND) <= 25


def test_many_sidecars_do_not_overload_discovery_with_fresh_calls():
    """32 sidecars that start together, some eleven responses a second, and a change every 3 s: with the fresh calls of
    a small fleet, 3,988 of 4,000 readings of changes were late."""
    assert late_readings(32, 90 * MS, 3 * SECOND) < 3000


def notified_at(sidecar, change):
    """When a sidecar that started at 0 counts as notified of a change.

    6 s after it was made, if a call has failed or was given up by then. As long as none has, when the settings require
    the next call.
    """
    by = change + listclock.NOTIFIED_AFTER
    failed = any(at <= by for at in sidecar.failed_at)
    return by if failed else max(by, sidecar.balancer.settings.safety.ask_within)


# The times of the changes in the benchmark's scenario.
CHANGES = [1600 * MS, 4 * SECOND, 11_200 * MS, 14_400 * MS, 15_300 * MS]


@pytest.mark.parametrize("sidecars", [1, 6, 16, 17, 24, 32])
def test_a_fleet_that_starts_before_a_discovery_with_four_new_watches_a_second_reads_every_change_in_time(sidecars):
    """Requests went to providers that had been announced as draining, in fleets of 20 to 30 sidecars.

    A new watch takes discovery 0.25 s, the next call of an established one a twentieth of that. 32 sidecars that start
    together need 8 s for their first calls, so many of these are answered 1.4 to 3.2 s late. Such a call was given up,
    its late response was only passed on, its connection was closed, and the sidecar began another new watch, which was
    as late. One sidecar's calls were refused seven times ("answered 503"), then in 16 s three times "silent, 1400 ms"
    and "answered late, 2982 ms", without ever a watch. To the end, first calls took most of discovery's time.
    """
    late = []
    for run in range(10):
        clock, busy = Clock(), Counted(250 * MS, 12 * MS, 3200 * MS, CHANGES)
        fleet = [Watching(clock, busy, 1000 * run + me, sidecars) for me in range(sidecars)]
        clock.run(25 * SECOND)
        late += [
            (run, change // MS, sidecar.read.get(version, 1 << 62) // MS)
            for sidecar in fleet
            for version, change in enumerate(CHANGES, 2)
            if sidecar.read.get(version, 1 << 62) > notified_at(sidecar, change)
        ]
    assert not late, (len(late), late)


@pytest.mark.parametrize("sidecars", [17, 32, 200, 580])
def test_many_sidecars_take_turns_at_their_first_calls(sidecars):
    turns = [listclock.first_call_delay(10 * SECOND, sidecars, me) for me in range(sidecars)]
    assert all(before == least for (before, _), (_, least) in itertools.pairwise(turns))
    assert turns[0][1] == 0 and turns[-1][0] <= listclock.FIRST_CALL_WITHIN_LARGE_FLEET


def test_the_next_call_waits_for_the_whole_backoff_while_a_late_response_may_arrive():
    """A call made sooner takes a busy discovery's time again, for nothing if that response arrives."""
    for failures, sidecars in ((1, 1), (1, 32), (3, 32)):
        delays = listclock.backoff(60 * SECOND, failures, None, sidecars, response_pending=True)
        assert delays == (listclock.LONGEST_BACKOFF, listclock.LONGEST_BACKOFF)


def test_a_failure_tells_whether_a_late_response_may_still_arrive():
    updates = []
    sidecar = Watching(Clock(), Counted(2 * SECOND, MS, 3 * SECOND, []), 1, sidecars=32)
    sidecar.on_update = lambda update, _: updates.append((update.kind, update.response_pending))
    sidecar.watch(True)
    sidecar.loop.run(1500 * MS)
    assert updates == [(UpdateKind.FAILED, True)]
