"""The cost of a voter's stable storage, beside the sync of the disk itself.

    python -m benchmarks.replication_disk [--folder FOLDER] [--rounds 2000]

Prints p50 and p99 of a write of 100 bytes with its sync alone, appended and into a preallocated file, and of the time
from `PersistBatch` to `BatchSynced` for entries of 100 bytes, one after another and 64 in flight; then the time of a
start with 10,000 entries, and the disk space after 100,000 entries with a snapshot of 64 KiB for each 4,096 entries.
"""

from __future__ import annotations

import argparse
import os
import select
import statistics
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from loftweir.replication.api import BatchSynced, Entry, EntryKind, PersistBatch, Snapshot
from loftweir.replication.disk import Disk, open_disk

DATA = b"x" * 100
MS = 1_000_000  # ns


def print_times(what: str, times: list[int]) -> None:
    """Prints p50 and p99 of times in ns."""
    cuts = statistics.quantiles(times, n=100)
    print(f"{what:44} p50 {cuts[49] / MS:7.3f} ms   p99 {cuts[98] / MS:7.3f} ms")


def sync_alone(path: Path, rounds: int, sync: Callable[[int], None], ahead: int = 0) -> list[int]:
    """The times of single writes with their sync in ns, in a file of `ahead` bytes."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
    os.write(descriptor, bytes(ahead))
    os.fsync(descriptor)
    os.lseek(descriptor, 0, os.SEEK_SET)
    times = []
    for _ in range(rounds):
        began = time.perf_counter_ns()
        os.write(descriptor, DATA)
        sync(descriptor)
        times.append(time.perf_counter_ns() - began)
    os.close(descriptor)
    return times


def persist(disk: Disk, start: int, rounds: int, in_flight: int) -> tuple[list[int], float]:
    """The time until each entry is synced, in ns, and entries a second; entries from index `start` on."""
    submitted: dict[int, int] = {}
    times: list[int] = []
    batch, began = start - 1, time.perf_counter()
    while len(times) < rounds:
        while len(submitted) < in_flight and batch + 1 < start + rounds:
            batch += 1
            submitted[batch] = time.perf_counter_ns()
            disk.persist(PersistBatch(batch, entries=(Entry(batch, 1, EntryKind.WRITE, DATA),)))
        select.select([disk], [], [])
        for report in disk.take_reports():
            assert isinstance(report, BatchSynced), report
            now = time.perf_counter_ns()
            done = [number for number in submitted if number <= report.batch]
            times += [now - submitted.pop(number) for number in done]
    return times, rounds / (time.perf_counter() - began)


def wait_until_synced(disk: Disk, batch: int) -> None:
    """Waits until the batch is synced."""
    while BatchSynced(batch) not in disk.take_reports():
        select.select([disk], [], [], 1)


def used_bytes(folder: Path) -> int:
    """The size of all files of a folder."""
    total = 0
    for file in folder.iterdir():
        with suppress(FileNotFoundError):  # the disk's thread may delete files meanwhile
            total += file.stat().st_size
    return total


def main() -> None:
    """Measures in a temporary folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, help="a folder on the disk to be measured")
    parser.add_argument("--rounds", type=int, default=2000)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=arguments.folder) as scratch:
        measure(Path(scratch), arguments.rounds)


def measure(scratch: Path, rounds: int) -> None:
    """Runs all measurements and prints their results."""
    print_times("write and fsync, appended", sync_alone(scratch / "a", rounds, os.fsync))
    print_times("write and fdatasync, appended", sync_alone(scratch / "b", rounds, os.fdatasync))
    print_times("write and fdatasync, made long beforehand", sync_alone(scratch / "c", rounds, os.fdatasync, 4 << 20))

    disk, _, _ = open_disk(scratch / "m", "bench")
    for start, in_flight in ((1, 1), (1 + rounds, 64)):
        times, rate = persist(disk, start, rounds, in_flight)
        print_times(f"keep to stable, {in_flight} in flight ({rate:,.0f}/s)", times)
    disk.close()

    disk, _, _ = open_disk(scratch / "n", "bench")
    disk.persist(PersistBatch(1, entries=tuple(Entry(i, 1, EntryKind.WRITE, DATA) for i in range(1, 10_001))))
    wait_until_synced(disk, 1)
    disk.close()
    times = []
    for _ in range(9):
        began = time.perf_counter_ns()
        disk, log_state, _ = open_disk(scratch / "n", "bench")
        times.append(time.perf_counter_ns() - began)
        disk.close()
        assert len(log_state.entries) == 10_000
    print(f"{'start with 10,000 entries':44} p50 {statistics.median(times) / MS:7.3f} ms")

    disk, _, _ = open_disk(scratch / "o", "bench")
    most = 0
    for start in range(1, 100_001, 64):
        ends = start + 64
        snapshot = Snapshot(start - 1, 1, (), bytes(64 * 1024)) if start % 4096 == 1 and start > 1 else None
        entries = tuple(Entry(i, 1, EntryKind.WRITE, DATA) for i in range(start, ends))
        disk.persist(PersistBatch(ends, entries=entries, snapshot=snapshot))
        wait_until_synced(disk, ends)
        most = max(most, used_bytes(scratch / "o")) if snapshot else most
    disk.close()
    print(f"{'room after 100,000 entries':44} {used_bytes(scratch / 'o') / 1e6:.2f} MB, at most {most / 1e6:.2f} MB")


if __name__ == "__main__":
    main()
