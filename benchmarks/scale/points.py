"""The raw points of the scale runs: what each process used in a phase, and how long each change took.

Rows are appended to CSV files, so that several runs make one set of points.
"""

from __future__ import annotations

import csv
import os
from dataclasses import asdict, dataclass, fields, replace
from pathlib import Path
from typing import NamedTuple, TypeVar

from benchmarks.rig import ROOT
from benchmarks.scale.fleet import Fleet
from benchmarks.scale.sockets import Counters
from benchmarks.scale.usage import Sample, UsageDifference, usage_difference

FIGURES = ROOT / "docs" / "figures"
USAGE = "scale-usage.csv"
TIMES = "scale-times.csv"
OBSERVER_ROLES = ("hollow", "real")


@dataclass(frozen=True)
class UsageRow:
    """What one process used in one phase. The names of the fields are the headings of the CSV file."""

    run: int  # Unix time of the run's start, s
    process: str
    phase: str
    hollow: int  # stub sidecars of the fleet
    real: int
    voters: int
    entries: int  # of discovery's list
    role: str
    sidecars: int  # in this process
    followers: int  # connected to this voter; watches at discovery
    seconds: float
    changes: int
    cpu: float  # seconds
    follower_bytes_out: int  # of a voter or discovery, to and from sidecars without a vote
    follower_bytes_in: int
    follower_messages_out: int
    follower_messages_in: int
    voter_bytes_out: int  # of any process, to and from voters
    voter_bytes_in: int
    voter_messages_out: int
    voter_messages_in: int
    discovery_bytes_out: int  # of any sidecar, to and from discovery
    discovery_bytes_in: int
    discovery_messages_out: int
    discovery_messages_in: int
    resident: int  # bytes, at the end
    descriptors: int
    load: float  # load average of the machine, one minute
    available: int  # MB of free memory


@dataclass(frozen=True)
class TimeRow:
    """How long one change, or one recovery, took, in s. The names of the fields are the headings of the CSV file."""

    run: int
    phase: str
    hollow: int  # stub sidecars of the fleet
    real: int
    voters: int
    number: int
    size: int  # bytes of discovery's response; of a recovery: the restored sidecars, or the acknowledged overrides
    accepted: float  # until OK, or until discovery has it; of a killed leader: the longest time without an OK
    first: float
    last: float  # of the stub sidecars
    last_real: float
    load: float
    available: int


Row = TypeVar("Row", UsageRow, TimeRow)


class Machine(NamedTuple):
    """How busy the whole machine is, which other processes share."""

    load: float  # load average of one minute
    available: int  # MB of free memory


def machine() -> Machine:
    """The state of the machine now."""
    text = Path("/proc/meminfo").read_text()
    available = next(int(line.split()[1]) for line in text.splitlines() if line.startswith("MemAvailable:"))
    return Machine(os.getloadavg()[0], available // 1024)


def usage_rows(fleet: Fleet, phase: str, first: Sample, last: Sample, changes: int = 0) -> list[UsageRow]:
    """A row for each process that ran through the whole phase."""
    roles, used = fleet.roles(), usage_difference(first, last)
    stubs = {process.pid: len(process.plan.names) for process in fleet.stubs if process.process is not None}
    return [
        _row(fleet, phase, pid, roles, used, last, changes, stubs.get(pid, 1))
        for pid in roles
        if pid in last.processes and pid in used.cpu
    ]


def _row(
    fleet: Fleet,
    phase: str,
    pid: int,
    roles: dict[int, str],
    used: UsageDifference,
    last: Sample,
    changes: int,
    sidecars: int,
) -> UsageRow:
    def with_peers(*peers: str) -> Counters:
        total = Counters()
        for (owner, peer), counters in used.traffic.items():
            if owner == pid and roles.get(peer) in peers:
                total = total.plus(counters)
        return total

    followers = sum(owner == pid and roles.get(peer) in OBSERVER_ROLES for owner, peer, _ in last.connections.values())
    to_followers, to_voters, to_discovery = (
        with_peers(*OBSERVER_ROLES),
        with_peers("leader", "voter"),
        with_peers("discovery"),
    )
    size, process = fleet.size, last.processes[pid]
    return UsageRow(
        fleet.run, fleet.process_names()[pid],
        phase, size.hollow, size.real, size.voters, size.listed, roles[pid], sidecars, followers,
        round(used.seconds, 3), changes, round(used.cpu[pid], 6),
        *to_followers, *to_voters, *to_discovery, process.resident, process.descriptors, *machine(),
    )  # fmt: skip


def under_scenario(row: Row, run: str) -> Row:
    """The same row with the scenario in the name of its phase, so that the fits leave it out."""
    return replace(row, phase=f"{run}-{row.phase}")


def append(rows: list[UsageRow] | list[TimeRow], folder: Path = FIGURES) -> None:
    """Appends the rows to their CSV file, and writes its heading first if the file is new."""
    if not rows:
        return
    path = folder / (USAGE if isinstance(rows[0], UsageRow) else TIMES)
    is_new = not path.exists()
    with path.open("a", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, [field.name for field in fields(rows[0])], lineterminator="\n")
        if is_new:
            writer.writeheader()
        writer.writerows(asdict(row) for row in rows)


def read(name: str, folder: Path = FIGURES) -> list[dict[str, str]]:
    """All rows of a CSV file."""
    with (folder / name).open(encoding="utf-8") as file:
        return list(csv.DictReader(file))
