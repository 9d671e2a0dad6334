"""The plan of one run of the replicated state in virtual time: sizes, the network, the disks, and which faults."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import msgspec

from loftweir.replication.api import Timing

MS = 1_000_000
# Small, so that a short run meets snapshots in pieces, appends in parts and elections.
TIMING = Timing(
    10 * MS,
    50 * MS,
    snapshot_after_entries=10,
    trailing_entries=3,
    max_append_bytes=200,
    snapshot_chunk_bytes=16,
    max_pending_requests=40,
)
END = 8000 * MS  # from the end of all troubles until all must be well, at most

CHANGES = ("wipe", "broken", "retire", "demote", "two")
QUIET = ("cut", "deaf", "partition", "stall", "crash", "retire")
ALL = ("crash", "power", "cut", "deaf", "partition", "stall", "clock", "hand", "compact", "old") + CHANGES


class Plan(NamedTuple):
    """What a run is like. Times are ns of virtual time, parts from 0 to 1."""

    slots: int = 3
    length: int = 1200 * MS  # with troubles
    loss: float = 0.0
    duplicate: float = 0.0
    late: float = 0.0  # part of messages that take up to a whole election instead of up to 1 ms
    sync: int = 1 * MS  # of a disk, at most
    slow_sync: float = 0.0  # part of syncs that take up to an election
    troubles: tuple[str, ...] = ()
    each: int = 60 * MS  # between two troubles, on the average
    writes: int = 8 * MS  # between two writes, on the average; as many reads
    quiet: bool = False  # only one follower has troubles: no leader may fall
    doomed: float = 0.0  # part of leaders that crash within the first few ms
    timing: Timing = TIMING
    check: int = 8  # steps from one look at a core's own invariants to the next

    @classmethod
    def of(cls, seed: int) -> Plan:
        """A seed's: most have all troubles, some few, some only a follower's."""
        random = Random(f"plan {seed}")
        kind = seed % 8
        if kind == 0:
            writes = random.choice((30, 1000)) * MS
            return cls(random.choice((3, 3, 5)), 700 * MS, troubles=QUIET, each=40 * MS, writes=writes, quiet=True)
        slots = random.choice((1, 2, 3, 3, 3, 3, 4, 5, 5))
        if kind == 1:  # a good network, power that fails often
            return cls(slots, 900 * MS, sync=12 * MS, slow_sync=0.1, troubles=("crash", "power"), each=25 * MS)
        if kind == 2:  # members come and go
            return cls(slots + 1, 1200 * MS, 0.02, troubles=CHANGES + ("crash", "cut"), each=40 * MS, sync=3 * MS)
        if kind == 3:  # no leader lasts, and each append has one entry
            timing = msgspec.structs.replace(
                TIMING, heartbeat_interval=4 * MS, election_timeout=12 * MS, max_append_bytes=1
            )
            return cls(random.choice((3, 3, 5)), 1000 * MS, writes=4 * MS, doomed=0.9, late=0.1, timing=timing)
        loss, duplicate, late = (random.choice((0, 0.01, 0.1, 0.25)) for _ in range(3))
        troubles = tuple(t for t in ALL if random.random() < 0.6) or ALL
        each = random.choice((20, 40, 80)) * MS
        return cls(
            slots, 1000 * MS, loss, duplicate, late, random.choice((1, 5, 20)) * MS, late / 2, troubles, each=each
        )
