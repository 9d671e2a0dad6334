"""The snapshot of the list: found out where it can't be trusted, and taken at a start only where it should be."""

import pytest

from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind
from loftweir.state.sealed import Damaged, seal, unseal
from loftweir.state.snapshot import ListSource, ListTracker, choose_list, decode, encode

SECOND = 1_000_000_000


def held(*names, index=3, taken_at=100 * SECOND):
    tracker = ListTracker(epoch=6)
    ends = tuple(Endpoint(n, "a", "m", 0, Lifecycle.DRAINING if n == "gone-soon" else Lifecycle.READY) for n in names)
    tracker.apply(
        MembershipUpdate(UpdateKind.FULL, ends, index), {n: f"127.0.0.1:{9000 + i}" for i, n in enumerate(names)}
    )
    return tracker.snapshot(taken_at)


def test_a_snapshot_comes_back_as_it_was_held_with_a_drain_kept_and_a_greater_epoch():
    snapshot = decode(encode(held("s1", "gone-soon")))
    update, addresses = snapshot.update()
    assert snapshot.epoch == 7 and update.version == 3 and update.kind is UpdateKind.REMEMBERED
    assert [(e.address, e.lifecycle) for e in update.endpoints] == [
        ("gone-soon", Lifecycle.DRAINING),
        ("s1", Lifecycle.READY),
    ]
    assert addresses == {"s1": "127.0.0.1:9000", "gone-soon": "127.0.0.1:9001"}


def test_changes_are_merged_and_one_that_left_is_dropped():
    tracker = ListTracker(0)
    tracker.apply(MembershipUpdate(UpdateKind.FULL, (Endpoint("s1", "a", "m", 0, Lifecycle.READY),), 1), {"s1": "x:1"})
    gone, new = Endpoint("s1", "a", "m", 0, Lifecycle.GONE), Endpoint("s2", "b", "m", 1, Lifecycle.READY)
    tracker.apply(MembershipUpdate(UpdateKind.CHANGES, (gone, new), 2), {"s2": "x:2"})
    body = tracker.snapshot(0)
    assert body.index == 2 and [(e.name, e.address, e.zone) for e in body.entries] == [("s2", "x:2", "b")]


@pytest.mark.parametrize(
    "spoil, why, at",
    [
        (lambda data: data[:-9], "cut short", 20),
        (lambda data: data[:10], "not a file of", 0),
        (lambda data: data.replace(b"kept 1 ", b"kept 2 ", 1), "version 2", 5),
        (lambda data: data[:-4] + b"xyz\n", "changed", 16),
    ],
)
def test_a_spoilt_file_is_damaged_with_its_place(spoil, why, at):
    data = seal(b"kept", 1, b'{"index": 3}')
    assert unseal(b"kept", 1, data) == b'{"index": 3}'
    with pytest.raises(Damaged, match=why) as caught:
        unseal(b"kept", 1, spoil(data))
    assert caught.value.at == at


def test_a_sound_file_that_is_no_snapshot_is_damaged():
    with pytest.raises(Damaged, match="not in its form"):
        decode(seal(b"loftweir-snapshot", 1, b'{"epoch": 1}'))


def given(index, *names):
    return MembershipUpdate(
        UpdateKind.REMEMBERED, tuple(Endpoint(n, "a", "m", 0, Lifecycle.READY) for n in names), index
    )


@pytest.mark.parametrize(
    "platform, now, chosen",
    [
        (given(0), 110 * SECOND, ListSource.SNAPSHOT),  # nothing given: the snapshot
        (given(2, "s0"), 110 * SECOND, ListSource.SNAPSHOT),  # an older list given
        (given(3, "s0"), 110 * SECOND, ListSource.GIVEN),  # as new
        (given(4, "s0"), 110 * SECOND, ListSource.STALE),  # newer than the snapshot
        (given(0), 161 * SECOND, ListSource.OLD),  # past trust_for
        (given(0), 99 * SECOND, ListSource.OLD),  # written before the clock was put back
    ],
)
def test_a_start_takes_the_snapshot_only_where_it_is_newer_and_young_enough(platform, now, chosen):
    assert choose_list(platform, decode(encode(held("s1"))), now, 60 * SECOND) is chosen
    assert choose_list(platform, None, now, 60 * SECOND) is ListSource.GIVEN
