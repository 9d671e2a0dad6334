"""The plan of one run of the simulated cluster: its size, network, disks, and which faults occur."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import msgspec

from loftweir.replication.api import Timing

MS = 1_000_000
# Small values, so that a short run has elections, snapshots in several chunks and appends in several messages.
TIMING = Timing(
    10 * MS,
    50 * MS,
    snapshot_after_entries=10,
    trailing_entries=3,
    max_append_bytes=200,
    snapshot_chunk_bytes=16,
    max_pending_requests=40,
)
CONVERGENCE_TIMEOUT = 8000 * MS  # from the end of all faults until the cluster has to be converged

MEMBERSHIP_FAULTS = ("wipe", "broken", "retire", "demote", "two")
FOLLOWER_FAULTS = ("cut", "deaf", "partition", "stall", "crash", "retire")
ALL_FAULTS = (
    "crash", "power", "cut", "deaf", "partition", "stall", "clock", "hand", "compact", "old",
    *MEMBERSHIP_FAULTS,
)  # fmt: skip


class Plan(NamedTuple):
    """The parameters of a run. Times are in ns of virtual time, shares from 0 to 1."""

    slots: int = 3
    fault_phase: int = 1200 * MS  # length of the time in which faults occur
    loss: float = 0.0  # share of messages
    duplicate: float = 0.0  # share of messages
    late: float = 0.0  # share of messages that take up to an election timeout instead of about 1 ms
    max_sync_time: int = 1 * MS
    slow_sync: float = 0.0  # share of syncs that take up to an election timeout
    faults: tuple[str, ...] = ()  # kinds of faults
    fault_interval: int = 60 * MS  # mean time between two faults
    write_interval: int = 8 * MS  # mean time between two writes; there are as many reads
    spare_leader: bool = False  # only one follower has faults, so that no leader may be deposed
    leader_crash: float = 0.0  # share of leaders that crash within their first few ms
    timing: Timing = TIMING
    check_interval: int = 8  # steps between two checks of a core's own invariants

    @classmethod
    def of(cls, seed: int) -> Plan:
        """The plan for a seed: most have all kinds of faults, some only a few, some only those of a follower."""
        random = Random(f"plan {seed}")
        kind = seed % 8
        if kind == 0:
            writes = random.choice((30, 1000)) * MS
            return cls(
                random.choice((3, 3, 5)),
                700 * MS,
                faults=FOLLOWER_FAULTS,
                fault_interval=40 * MS,
                write_interval=writes,
                spare_leader=True,
            )
        slots = random.choice((1, 2, 3, 3, 3, 3, 4, 5, 5))
        if kind == 1:  # a good network and frequent power failures
            return cls(
                slots,
                900 * MS,
                max_sync_time=12 * MS,
                slow_sync=0.1,
                faults=("crash", "power"),
                fault_interval=25 * MS,
            )
        if kind == 2:  # members are added and removed
            return cls(
                slots + 1,
                1200 * MS,
                0.02,
                faults=(*MEMBERSHIP_FAULTS, "crash", "cut"),
                fault_interval=40 * MS,
                max_sync_time=3 * MS,
            )
        if kind == 3:  # leaders crash soon, and each append has one entry
            timing = msgspec.structs.replace(
                TIMING, heartbeat_interval=4 * MS, election_timeout=12 * MS, max_append_bytes=1
            )
            return cls(
                random.choice((3, 3, 5)), 1000 * MS, write_interval=4 * MS, leader_crash=0.9, late=0.1, timing=timing
            )
        loss, duplicate, late = (random.choice((0, 0.01, 0.1, 0.25)) for _ in range(3))
        faults = tuple(name for name in ALL_FAULTS if random.random() < 0.6) or ALL_FAULTS
        fault_interval = random.choice((20, 40, 80)) * MS
        return cls(
            slots,
            1000 * MS,
            loss,
            duplicate,
            late,
            random.choice((1, 5, 20)) * MS,
            late / 2,
            faults,
            fault_interval=fault_interval,
        )
