"""The oracle of the replicated state: judges by what is on the disks, what was said, and what was applied."""

from __future__ import annotations

import msgspec

from loftweir.emulator.replication_breach import InvariantViolation
from loftweir.emulator.replication_machine import Machine
from loftweir.replication.api import Entry, EntryKind, Member, PersistBatch, Snapshot
from loftweir.replication.core import Core


class Oracle:
    """What was seen to hold, over all members and their whole lives."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}  # term: id
        self.entries: dict[tuple[int, int], tuple[Entry, int]] = {}  # (index, term): the entry, the term before it
        self.committed: list[Entry] = []  # from index 1 on
        self.sums = [0]  # of the machine after each
        self.done = 0  # the last promised index
        self.nothing: set[bytes] = set()  # data of writes that were refused as never in the log
        self.terms: list[int] = []  # of who committed each
        self.voters: frozenset[str] = frozenset()

    def kept(self, core: Core, keep: PersistBatch) -> None:
        """Log matching (paper, 5.3): an index and term name one entry, behind one entry; so on by induction."""
        for entry in keep.entries:
            before = core.term_at(entry.index - 1) if entry.index >= core.first_index else -1
            known = self.entries.setdefault((entry.index, entry.term), (entry, before))
            if known != (entry, before) and before >= 0:
                raise InvariantViolation(f"log matching: {known} and {entry} behind {before}")

    def applied(self, core: Core, machine: Machine, entry: Entry) -> None:
        if entry.index != machine.applied + 1:
            raise InvariantViolation(f"applied {entry.index} behind {machine.applied}")
        machine.apply(entry)
        if entry.index <= len(self.committed):
            if self.committed[entry.index - 1] != entry:
                raise InvariantViolation(f"committed twice: {self.committed[entry.index - 1]} and {entry}")
            return
        if entry.data in self.nothing:
            raise InvariantViolation(f"a write that was refused came true: {entry}")
        self.committed.append(entry)
        self.sums.append(machine.sum)
        self.terms.append(core.term)
        if entry.kind is EntryKind.MEMBERS:
            members = msgspec.msgpack.decode(entry.data, type=tuple[Member, ...])
            voters = frozenset(m.id for m in members if m.votes)
            if self.voters and len(voters ^ self.voters) > 1:
                raise InvariantViolation(f"two voters changed at once: {self.voters} and {voters}")
            self.voters = voters

    def restored(self, machine: Machine, snapshot: Snapshot) -> None:
        machine.restore(snapshot.data)
        at = snapshot.index
        if at != machine.applied or at > len(self.committed) or self.sums[at] != machine.sum:
            raise InvariantViolation(f"a snapshot of {at} that isn't what was committed")
        if self.committed[at - 1].term != snapshot.term:
            raise InvariantViolation(f"a snapshot of {at} with another term")

    def leads(self, core: Core) -> None:
        """Election safety and leader completeness (paper, 5.2 and 5.4.3)."""
        if self.leaders.setdefault(core.term, core.me) != core.me:
            raise InvariantViolation(f"two leaders in term {core.term}: {self.leaders[core.term]} and {core.me}")
        for entry, term in zip(self.committed, self.terms, strict=True):
            # Who wins an older term late, by votes long on their way, need not have what a later one committed.
            at = entry.index
            if term < core.term and at >= core.first_index and core.entries(at, at) != [entry]:
                raise InvariantViolation(f"the leader of term {core.term} lacks {entry}, which was committed")
