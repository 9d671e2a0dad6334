"""The stable storage of one voter: stable data survives any failure, and damage is detected."""

import errno
import os
import random
import select
import shutil
import subprocess
import sys
from contextlib import suppress
from functools import partial
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from scene import ROOT

from loftweir.replication import journal
from loftweir.replication.api import (
    BatchSynced,
    Entry,
    EntryKind,
    HardState,
    Member,
    PersistBatch,
    PersistentState,
    Snapshot,
    StorageBroken,
)
from loftweir.replication.disk import open_disk
from loftweir.replication.folder import Folder, FolderInUse, StorageDamaged, StorageFailed
from loftweir.replication.reading import read_folder
from loftweir.state.sealed import seal, unseal

OPEN, WRITE, KIND = os.open, os.write, journal.SNAPSHOT
MEMBERS = (Member("0" * 32, "m1", "127.0.0.1:1"),)
COPY, (FIRST, SECOND, THIRD, LAST) = "snapshot-0000000001", [f"segment-000000000{n}" for n in range(1, 5)]


def entries(start, count, term=1, size=20):
    return tuple(Entry(i, term, EntryKind.WRITE, bytes([i % 256]) * size) for i in range(start, start + count))


def snapshot(index, data=b"machine"):
    return Snapshot(index, 1, MEMBERS, data)


def possible_states(batches, stable, state=PersistentState()):  # noqa: B008
    """All states that a disk may have once batch `stable` is stable, by a simple model; the last one: with
    all batches.
    """
    states = [state]
    for batch in batches:
        hard, remaining, snapshot_ = batch.hard or state.hard, state.entries, batch.snapshot or state.snapshot
        states.append(PersistentState(hard, state.snapshot, remaining))
        remaining = tuple(e for e in remaining if batch.cut is None or e.index < batch.cut)
        states.append(PersistentState(hard, state.snapshot, remaining))
        if batch.snapshot:
            remaining = tuple(e for e in remaining if e.index > snapshot_.index and not batch.all_gone)
        states += [
            PersistentState(hard, snapshot_, remaining + batch.entries[:n]) for n in range(len(batch.entries) + 1)
        ]
        state = states[-1]
        states = [state] if batch.batch <= stable else states
    return states


def reports_until(disk, batch, seconds=20):
    """The reports up to the one for this batch, or up to a failure."""
    reports = []
    while not reports or (reports[-1] != BatchSynced(batch) and not isinstance(reports[-1], StorageBroken)):
        assert select.select([disk], [], [], seconds)[0], "there was no report"
        reports += disk.take_reports()
    return reports


def persist_all(disk, *batches):
    """Persists each batch before the next one is handed over."""
    for batch in batches:
        disk.persist(batch)
        assert reports_until(disk, batch.batch)[-1] == BatchSynced(batch.batch)
    return disk


def reopen(path, cluster="c"):
    disk, state, report = open_disk(path, cluster)
    disk.close()
    return state, report


BATCHES = (
    PersistBatch(1, hard=HardState(1, "a"), entries=entries(1, 9)),
    PersistBatch(2, entries=entries(10, 9)),
    PersistBatch(3, hard=HardState(2), cut=15, entries=entries(15, 8, term=2)),
    PersistBatch(4, snapshot=snapshot(3), entries=entries(23, 9, term=2)),
)


@pytest.fixture
def folder(tmp_path):
    """A folder with four segments, all of them needed, and a snapshot."""
    persist_all(open_disk(tmp_path / "m", "c", 300)[0], *BATCHES).close()
    return tmp_path / "m"


def test_stable_data_is_recovered_and_only_one_process_opens_the_folder(folder):
    disk, _, _ = open_disk(folder, "c")
    with pytest.raises(FolderInUse):
        open_disk(folder, "c")
    disk.close()
    state, report = reopen(folder)
    assert state == PersistentState(HardState(2), snapshot(3), entries(4, 11) + entries(15, 17, term=2))
    assert not report.begun and report.damage is None and report.torn == 0
    assert sorted(os.listdir(folder))[2:] == [FIRST, SECOND, THIRD, LAST, COPY]


def record_ends(data):
    """The byte after each record."""
    return [end for _, _, _, end in journal.scan_records(data)]


def forge_last_record(data, size=20):
    """Replaces the last record by another one with a valid checksum."""
    *_, (_, _, seed, at), (_, last, _, _) = journal.scan_records(data)
    return data[:at] + journal.encode_record(msgspec.structs.replace(last, data=b"z" * size), seed)[0]


# The damaged file, its new content (text: copied from there; None: removed), the file in which it is detected, and why.
DAMAGES = {
    "cut before the mark": (LAST, lambda d: d[:-1], LAST, "a record of"),
    "cut between records": (LAST, lambda d: d[: record_ends(d)[-2]], LAST, "were stable"),
    "cut to nothing": (LAST, lambda d: b"", LAST, "cut short in its first line"),
    "cut identity": ("identity", lambda d: d[:-1], "identity", "cut short"),
    "another record": (LAST, forge_last_record, LAST, "another record than the mark names"),
    "a longer record": (LAST, lambda d: forge_last_record(d, 21), "mark", "no record ends"),
    "another record before": (SECOND, forge_last_record, THIRD, "does not continue"),
    "a record left out": (
        SECOND,
        lambda d: d[: record_ends(d)[0]] + d[record_ends(d)[1] :],
        SECOND,
        "a record has a wrong checksum",
    ),
    "another snapshot": (COPY, lambda d: seal(KIND, 1, unseal(KIND, 1, d)[:-1] + b"!"), COPY, "not the snapshot"),
    "other version": (LAST, lambda d: d.replace(b"log 1\n", b"log 2\n"), LAST, "version 2, this one reads 1"),
    "other identity": ("identity", lambda d: d.replace(b" 1 ", b" 2 "), "identity", "version 2"),
    "another cluster's": (LAST, f"../d/{LAST}", LAST, "another cluster, 'd'"),
    "another member's": (LAST, f"../c/{LAST}", LAST, "another member"),
    "another's mark": ("mark", "../c/mark", "mark", "another member"),
    "another's snapshot": (COPY, f"../c/{COPY}", COPY, "another member"),
    "another's identity": ("identity", "../c/identity", "mark", "another member"),
    "swapped": (SECOND, THIRD, SECOND, "segment 3 in the place of 2"),
    "no first": (FIRST, None, SECOND, "entries 4 to 9 are missing"),
    **{f"no {name}": (name, None, name, "missing") for name in (SECOND, LAST, COPY, "mark", "identity")},
}


@pytest.mark.parametrize("file, how, name, why", DAMAGES.values(), ids=DAMAGES)
def test_damage_is_reported_and_a_new_disk_is_initialized_under_another_id(folder, file, how, name, why):
    own = journal.decode_identity((folder / "identity").read_bytes()).member
    if how is None:
        (folder / file).unlink()
    elif isinstance(how, str):
        if how.startswith(".."):
            persist_all(open_disk((folder / how).parent, how[3], 300)[0], *BATCHES).close()
        shutil.copy(folder / how, folder / file)
    else:
        (folder / file).write_bytes(how((folder / file).read_bytes()))
    before = {f.name: f.read_bytes() for f in folder.iterdir()}
    state, report = reopen(folder)
    assert report.damage.file == folder / name and why in report.damage.what, report.damage
    assert state == PersistentState() and report.begun and report.member != report.before
    assert report.before == own or how == "../c/identity"
    assert {f.name: f.read_bytes() for f in report.aside.iterdir()} == before
    assert reopen(folder)[1] == (report.member, False, 0, None, "", None)


def test_every_changed_byte_is_detected(folder):
    locked_folder, seeded = Folder(folder), random.Random(7)
    for file in sorted(folder.iterdir()):
        whole = file.read_bytes()
        for at in range(seeded.randrange(3), len(whole), 3):
            file.write_bytes(whole[:at] + bytes([whole[at] ^ 1 << seeded.randrange(8)]) + whole[at + 1 :])
            with pytest.raises(StorageDamaged) as caught:
                read_folder(locked_folder, "c")
            assert caught.value.file == file and 0 <= caught.value.at <= len(whole)
        file.write_bytes(whole)
    assert read_folder(locked_folder, "c").state.hard == HardState(2)
    locked_folder.close()


def test_the_last_three_damaged_folders_are_kept_and_other_clusters_are_rejected(folder):
    reports = [reopen(folder, f"c{n}")[1] for n in range(5)]
    assert [r.aside.name for r in reports] == [f"damaged-{n}" for n in range(1, 6)]
    assert sorted(f.name for f in folder.glob("damaged-*")) == ["damaged-3", "damaged-4", "damaged-5"]


@pytest.mark.parametrize("remaining", [1, 7, 8, 9, 30])
def test_a_torn_record_after_the_mark_is_cut_off_and_complete_ones_are_used(folder, remaining):
    """As after a loss of power, which may leave an older mark and the end of a write that was never synced."""
    mark = (folder / "mark").read_bytes()
    disk, state, _ = open_disk(folder, "c")
    persist_all(disk, PersistBatch(1, entries=entries(32, 2, term=2))).close()
    os.truncate(folder / LAST, record_ends((folder / LAST).read_bytes())[-2] + remaining)
    (folder / "mark").write_bytes(mark)
    again, report = reopen(folder)
    assert again.entries == state.entries + entries(32, 1, term=2) and report.torn == remaining and not report.damage
    assert reopen(folder) == (again, report._replace(torn=0))


@pytest.mark.parametrize(
    "data", [b"", journal.FIRST_LINE[:7], journal.FIRST_LINE, journal.FIRST_LINE + b"\x40\0\0\0\0"]
)
def test_a_segment_without_its_header_after_the_mark_is_removed(folder, data):
    state, report = reopen(folder)
    (folder / "segment-0000000005").write_bytes(data)
    assert reopen(folder) == (state, report._replace(torn=len(data)))
    persist_all(
        open_disk(folder, "c", 300)[0], PersistBatch(1, entries=entries(32, 1)), PersistBatch(2, entries=entries(33, 1))
    ).close()
    assert reopen(folder)[0].entries == state.entries + entries(32, 2)


class FailingCalls:
    """Makes the system calls that change files fail, from the given number on; the first failing write does half of its
    work.
    """

    def __init__(self, patch, number, code=errno.ENOSPC):
        self.left, self.code = number, code
        for name in ("open", "write", "pwrite", "fsync", "fdatasync", "rename", "unlink", "mkdir"):
            patch.setattr(os, name, partial(self.call, getattr(os, name)))

    def call(self, real, first, *arguments, **more):
        self.left -= real is not OPEN or bool(arguments[0] & os.O_CREAT)
        if self.left == 0 and real is WRITE:
            return real(first, arguments[0][: len(arguments[0]) // 2])
        if self.left <= 0:
            raise OSError(self.code, os.strerror(self.code))
        return real(first, *arguments, **more)


MORE_BATCHES = (
    *BATCHES,
    PersistBatch(5, snapshot=snapshot(30)),
    PersistBatch(6, entries=entries(32, 2, 2)),
    PersistBatch(7, cut=33, hard=HardState(3, "b")),
)


@pytest.mark.parametrize("first", range(1, 81, 10))
def test_a_failure_of_any_system_call_is_reported_once_and_loses_no_stable_data(tmp_path, monkeypatch, first):
    for number in range(first, first + 10):
        path, reports = tmp_path / str(number), []
        with monkeypatch.context() as patch:
            failing = FailingCalls(patch, number, random.Random(number).choice([errno.ENOSPC, errno.EIO, errno.EDQUOT]))
            try:
                disk, _, _ = open_disk(path, "c", 300)
                for batch in MORE_BATCHES:
                    if not disk.failure:
                        disk.persist(batch)
                        reports += reports_until(disk, batch.batch)
                calls, _ = failing.left, disk.persist(MORE_BATCHES[0]) if disk.failure else None
                reports, failure = reports + disk.close(), disk.failure
                assert [r for r in reports if isinstance(r, StorageBroken)] == [StorageBroken(str(failure))] * bool(
                    failure
                )
                assert calls == failing.left and reports[-1] == (
                    StorageBroken(str(failure)) if failure else BatchSynced(7)
                )
            except StorageFailed as failed:
                failure = failed
        assert bool(failure) == (failing.left <= 0) and (number > 60 or failure) and (number < 80 or not failure)
        assert not failure or (os.strerror(failing.code) in failure.what and str(path) in failure.where)
        stable = max((r.batch for r in reports if isinstance(r, BatchSynced)), default=0)
        state, report = reopen(path)
        assert report.damage is None and state in possible_states(MORE_BATCHES, stable), (number, stable)
        assert not [*path.glob("*.new"), *list(path.glob("snapshot-*"))[1:]]


def test_every_batch_reported_as_stable_survives_a_loss_of_power(tmp_path, monkeypatch):
    """Of each file and of the folder only what was synced remains, and of the mark what was written at the start."""
    contents, listing, real = {}, {}, os.fsync

    def sync(descriptor):
        real(descriptor)
        if os.path.isdir(path := f"/proc/self/fd/{descriptor}"):
            listing[os.readlink(path)] = {f.name: f.stat().st_ino for f in os.scandir(path)}
        else:
            contents[os.fstat(descriptor).st_ino] = Path(path).read_bytes()

    monkeypatch.setattr(os, "fsync", sync)
    monkeypatch.setattr(os, "fdatasync", sync)
    monkeypatch.setattr(os, "write", lambda descriptor, data: WRITE(descriptor, data[:100]))
    disk, _, _ = open_disk(tmp_path / "m", "c", 200)
    for batch in MORE_BATCHES:
        persist_all(disk, batch)
        (remaining := tmp_path / f"left-{batch.batch}").mkdir()
        for name, inode in dict(listing[str(tmp_path / "m")]).items():
            (remaining / name).write_bytes(contents.get(inode, b""))
        damaged = shutil.copytree(remaining, tmp_path / f"damaged-{batch.batch}")
        state, report = reopen(remaining)
        assert report.damage is None and state == possible_states(MORE_BATCHES, batch.batch)[0], batch.batch
        if batch.batch == 3:
            # after the old mark, but not at the end
            os.truncate(damaged / SECOND, (damaged / SECOND).stat().st_size - 1)
            assert reopen(damaged)[1].damage.file == damaged / SECOND
    disk.close()
    assert "m" in listing[str(tmp_path)]


def test_data_whose_sync_failed_is_rewritten_into_another_file(folder, monkeypatch):
    """The pages of the first file are in memory and seem written; a later sync of it would prove nothing."""
    disk, _, _ = open_disk(folder, "c")
    monkeypatch.setattr(os, "fdatasync", lambda descriptor: (_ for _ in ()).throw(OSError(errno.EIO, "failed")))
    disk.persist(PersistBatch(1, entries=entries(32, 1, term=2)))
    assert [type(report) for report in reports_until(disk, 1)] == [StorageBroken] and disk.failure.where == str(
        folder / LAST
    )
    disk.close()
    inode = (folder / LAST).stat().st_ino
    assert reopen(folder)[0].entries[-1].index == 32 and (folder / LAST).stat().st_ino != inode


def test_an_interrupted_set_aside_never_leaves_a_folder_that_seems_complete(folder, monkeypatch):
    os.truncate(folder / LAST, 100)
    old = journal.decode_identity((folder / "identity").read_bytes()).member
    for number in range(1, 20):
        with monkeypatch.context() as patch:
            FailingCalls(patch, number)
            with suppress(StorageFailed):
                open_disk(folder, "c")[0].close()
                break
    state, report = reopen(folder)
    assert number > 9 and state == PersistentState() and report.member != old


def test_a_batch_that_can_not_follow_is_not_written(folder):
    state, _ = reopen(folder)
    for wrong in (entries(33, 1), entries(31, 1), 3, snapshot(2), HardState(1, "a")):
        name = {tuple: "entries", int: "cut", Snapshot: "snapshot", HardState: "hard"}[type(wrong)]
        disk, _, _ = open_disk(folder, "c")
        disk.persist(PersistBatch(1, **{name: wrong}))
        assert "can't follow" in reports_until(disk, 1)[-1].why
        disk.close()
        assert reopen(folder)[0] == state


CHILD_PROGRAM = """
import select, sys
from pathlib import Path
from loftweir.replication.api import Entry, EntryKind, PersistBatch, Snapshot
from loftweir.replication.disk import open_disk
disk, state, report = open_disk(Path(sys.argv[1]), "c", 4000)
first = state.entries[-1].index + 1 if state.entries else 1
for batch in range(1, 100_000):
    at = first + 5 * batch - 5
    copy = Snapshot(at - 10, 1, (), b"machine") if batch % 7 == 0 else None
    entries = [Entry(i, 1, EntryKind.WRITE, b"x" * 40) for i in range(at, at + 5)]
    disk.persist(PersistBatch(batch, entries=entries, snapshot=copy))
    if batch % 3 == 0:
        select.select([disk], [], [])
        print(first - 1 + 5 * disk.take_reports()[-1].batch, flush=True)
"""


def test_every_batch_reported_as_stable_survives_a_killed_process(tmp_path):
    for lines in (1, 20, 61, 130):
        arguments = [sys.executable, "-c", CHILD_PROGRAM, str(tmp_path / "m")]
        with subprocess.Popen(arguments, cwd=ROOT, stdout=subprocess.PIPE, text=True) as process:
            printed = [process.stdout.readline() for _ in range(lines)]
            process.kill()
            printed += process.stdout.read().splitlines()
        state, report = reopen(tmp_path / "m")
        assert report.damage is None and state.entries[-1].index >= int(printed[-1])
        assert [e.index for e in state.entries] == list(range(state.entries[0].index, state.entries[-1].index + 1))


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.sampled_from("eeeecchsgr"), st.integers(0, 12)), max_size=40))
def test_any_batches_are_recovered_as_a_simple_model_predicts(tmp_path_factory, steps):
    path, state = tmp_path_factory.mktemp("model") / "m", PersistentState()
    disk, _, _ = open_disk(path, "c", 200)
    for batch_number, (what, number) in enumerate(steps, 1):
        first = state.snapshot.index + 1 if state.snapshot else 1
        end = first + len(state.entries)
        at = max(first, end - number) if what == "c" else end
        batch = {
            "e": PersistBatch(
                batch_number, cut=end + number, entries=entries(end, number, state.hard.term, size=number)
            ),
            "c": PersistBatch(batch_number, hard=HardState(state.hard.term + 2), cut=at, entries=entries(at, number)),
            "h": PersistBatch(batch_number, hard=HardState(state.hard.term + 1, "x" * number)),
            "s": PersistBatch(batch_number, snapshot=snapshot(first - 1 + number, bytes(number))),
            "g": PersistBatch(
                batch_number, snapshot=snapshot(first - 1 + number), all_gone=True, entries=entries(first + number, 2)
            ),
            "r": PersistBatch(batch_number),
        }[what]
        disk.persist(batch)
        state = possible_states([batch], batch_number, state)[0]
        if what == "r":
            disk.close()
            disk, recovered, report = open_disk(path, "c", 200)
            assert (recovered, report.damage, report.torn) == (state, None, 0)
    disk.close()
    assert reopen(path)[0] == state


def test_obsolete_files_are_removed_and_disk_space_is_bounded(tmp_path):
    batches = (
        PersistBatch(1, entries=entries(1, 4)),
        PersistBatch(2, entries=entries(5, 40)),
        PersistBatch(3, cut=5, entries=entries(5, 4, 2)),
    )
    disk = persist_all(open_disk(tmp_path / "m", "c", 200)[0], *batches, PersistBatch(4, snapshot=snapshot(6)))
    disk.close()  # waits until obsolete files are removed
    assert sorted(f.name for f in (tmp_path / "m").glob("segment-*")) == [THIRD, LAST]
    assert reopen(tmp_path / "m")[0] == PersistentState(HardState(), snapshot(6), entries(7, 2, 2))
    disk, _, _ = open_disk(tmp_path / "m", "c", 2000)
    for at in range(9, 2009, 50):
        persist_all(disk, PersistBatch(at, entries=entries(at, 50), snapshot=snapshot(at - 1)))
    disk.close()
    sizes = {file.name: file.stat().st_size for file in (tmp_path / "m").iterdir()}
    assert len(sizes) < 6 and sum(sizes.values()) < 50 * 70 + 2 * (2000 + 50 * 70) + 1000, sizes
