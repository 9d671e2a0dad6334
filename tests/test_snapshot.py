"""The snapshot of the list: damage is detected, and a start uses it only if it is newer and recent enough."""

import pytest

from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind
from loftweir.state.sealed import Damaged, seal, unseal
from loftweir.state.snapshot import ListSource, ListTracker, choose_list, decode, encode, without_removed

SECOND = 1_000_000_000  # ns


def snapshot_of(*names, index=3, taken_at=100 * SECOND):
    """The snapshot of a list with these providers."""
    tracker = ListTracker(epoch=6)
    endpoints = tuple(
        Endpoint(n, "a", "m", 0, Lifecycle.DRAINING if n == "gone-soon" else Lifecycle.READY) for n in names
    )
    tracker.apply(
        MembershipUpdate(UpdateKind.FULL, endpoints, index), {n: f"127.0.0.1:{9000 + i}" for i, n in enumerate(names)}
    )
    return tracker.snapshot(taken_at)


def test_a_stored_snapshot_is_read_back_with_its_drain_and_the_next_epoch():
    snapshot = decode(encode(snapshot_of("s1", "gone-soon")))
    update, addresses = snapshot.update()
    assert snapshot.epoch == 7 and update.version == 3 and update.kind is UpdateKind.REMEMBERED
    assert [(e.address, e.lifecycle) for e in update.endpoints] == [
        ("gone-soon", Lifecycle.DRAINING),
        ("s1", Lifecycle.READY),
    ]
    assert addresses == {"s1": "127.0.0.1:9000", "gone-soon": "127.0.0.1:9001"}


def test_changes_are_merged_and_a_provider_that_is_gone_is_removed():
    tracker = ListTracker(0)
    tracker.apply(MembershipUpdate(UpdateKind.FULL, (Endpoint("s1", "a", "m", 0, Lifecycle.READY),), 1), {"s1": "x:1"})
    gone, new = Endpoint("s1", "a", "m", 0, Lifecycle.GONE), Endpoint("s2", "b", "m", 1, Lifecycle.READY)
    tracker.apply(MembershipUpdate(UpdateKind.CHANGES, (gone, new), 2), {"s2": "x:2"})
    snapshot = tracker.snapshot(0)
    assert snapshot.index == 2 and [(e.name, e.address, e.zone) for e in snapshot.entries] == [("s2", "x:2", "b")]


@pytest.mark.parametrize(
    "damage, reason, at",
    [
        (lambda data: data[:-9], "cut short", 20),
        (lambda data: data[:10], "not a file of", 0),
        (lambda data: data.replace(b"kept 1 ", b"kept 2 ", 1), "version 2", 5),
        (lambda data: data[:-4] + b"xyz\n", "changed", 16),
    ],
)
def test_a_damaged_file_is_detected_with_the_byte(damage, reason, at):
    data = seal(b"kept", 1, b'{"index": 3}')
    assert unseal(b"kept", 1, data) == b'{"index": 3}'
    with pytest.raises(Damaged, match=reason) as caught:
        unseal(b"kept", 1, damage(data))
    assert caught.value.at == at


def test_a_valid_file_without_a_snapshot_is_damaged():
    with pytest.raises(Damaged, match="not in its form"):
        decode(seal(b"loftweir-snapshot", 1, b'{"epoch": 1}'))


def platform_list(index, *names):
    """The list that the platform gives, at a version of discovery's."""
    return MembershipUpdate(
        UpdateKind.REMEMBERED, tuple(Endpoint(n, "a", "m", 0, Lifecycle.READY) for n in names), index
    )


@pytest.mark.parametrize(
    "given, now, source",
    [
        (platform_list(0), 110 * SECOND, ListSource.SNAPSHOT),  # the platform gives no list
        (platform_list(2, "s0"), 110 * SECOND, ListSource.SNAPSHOT),  # the platform gives an older list
        (platform_list(3, "s0"), 110 * SECOND, ListSource.GIVEN),  # of the same version
        (platform_list(4, "s0"), 110 * SECOND, ListSource.STALE),  # newer than the snapshot
        (platform_list(0), 161 * SECOND, ListSource.OLD),  # past trust_for
        (platform_list(0), 99 * SECOND, ListSource.OLD),  # written before the clock was set back
    ],
)
def test_a_start_uses_the_snapshot_only_if_it_is_newer_and_recent_enough(given, now, source):
    assert choose_list(given, decode(encode(snapshot_of("s1"))), now, 60 * SECOND) is source
    assert choose_list(given, None, now, 60 * SECOND) is ListSource.GIVEN


@pytest.mark.parametrize(
    "given, usable",
    [
        (platform_list(2, "s1", "gone-soon"), ["s1"]),  # drained since
        (platform_list(2, "s1", "s2"), ["s1"]),  # gone since
        (platform_list(2, "gone-soon", "s2"), []),
        (platform_list(3, "s1", "gone-soon"), ["s1", "gone-soon"]),  # as new as the snapshot
        (platform_list(4, "s1", "s2"), ["s1", "s2"]),  # newer
        (platform_list(2, "s8", "s9"), ["s8", "s9"]),  # of another history: it has none of them
        (platform_list(0), []),
    ],
)
def test_an_old_snapshot_takes_out_of_an_older_list_what_is_leaving_or_gone(given, usable):
    update = without_removed(given, decode(encode(snapshot_of("s1", "gone-soon"))))
    assert [e.address for e in update.endpoints if e.lifecycle is Lifecycle.READY] == usable
    assert (update.kind, update.version) == (given.kind, given.version)
