"""What the processes of a fleet have used up to one moment, and between two moments."""

from __future__ import annotations

import os
import time
from collections import defaultdict
from pathlib import Path
from typing import NamedTuple

from benchmarks.scale.sockets import Counters, connections, inodes

KIB = 1024  # bytes; the unit of VmRSS


class ProcessUsage(NamedTuple):
    """The usage of one process since its start."""

    cpu: float  # seconds of processor time, of all its threads
    resident: int  # bytes
    descriptors: int


def process_usage(pid: int) -> ProcessUsage:
    """The usage of a process that runs."""
    cpu = 0
    for thread in Path(f"/proc/{pid}/task").iterdir():
        cpu += int((thread / "schedstat").read_text().split()[0])  # ns; /proc/PID/stat counts in ticks of 10 ms
    status = Path(f"/proc/{pid}/status").read_text()
    resident = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS:")) * KIB
    return ProcessUsage(cpu / 1e9, resident, len(os.listdir(f"/proc/{pid}/fd")))


class Sample(NamedTuple):
    """The usage of several processes at one moment."""

    at: float  # monotonic seconds
    processes: dict[int, ProcessUsage]
    # By inode: the pids of owner and peer (0: none of the sampled processes), and the counters.
    connections: dict[int, tuple[int, int, Counters]]


def sample(pids: list[int]) -> Sample:
    """Samples processes that run."""
    processes = {pid: process_usage(pid) for pid in pids}
    owner_of_inode = {inode: pid for pid in pids for inode in inodes(pid)}
    open_now = list(connections())
    owner_of_end = {(c.local, c.remote): owner_of_inode.get(c.inode, 0) for c in open_now}
    owned = {
        c.inode: (owner_of_inode[c.inode], owner_of_end.get((c.remote, c.local), 0), c.counters)
        for c in open_now
        if c.inode in owner_of_inode
    }
    return Sample(time.monotonic(), processes, owned)


class UsageDifference(NamedTuple):
    """What was used between two samples."""

    seconds: float
    cpu: dict[int, float]  # by pid, of the processes in both samples
    traffic: dict[tuple[int, int], Counters]  # by pids of owner and peer


def usage_difference(first: Sample, last: Sample) -> UsageDifference:
    """What was used from the first sample to the last."""
    traffic: dict[tuple[int, int], Counters] = defaultdict(Counters)
    for inode, (owner, peer, counters) in last.connections.items():
        before = first.connections.get(inode, (0, 0, Counters()))[2]
        traffic[owner, peer] = traffic[owner, peer].plus(counters.minus(before))
    cpu = {pid: last.processes[pid].cpu - usage.cpu for pid, usage in first.processes.items() if pid in last.processes}
    return UsageDifference(last.at - first.at, cpu, dict(traffic))
