"""The oracle of the replicated state: checks what is stored, committed and applied over all members."""

from __future__ import annotations

import msgspec

from loftweir.emulator.replication_breach import InvariantViolation
from loftweir.emulator.replication_machine import ChecksumMachine
from loftweir.replication.api import Entry, EntryKind, Member, PersistBatch, Snapshot
from loftweir.replication.core import Core


class Oracle:
    """What was observed so far, over all members and all of their processes."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}  # id by term
        self.entries: dict[tuple[int, int], tuple[Entry, int]] = {}  # by index and term: the entry, the preceding term
        self.committed: list[Entry] = []  # from index 1 on
        self.checksums = [0]  # of the state machine after each committed entry
        self.completed_index = 0  # the highest index of a completed write
        self.rejected: set[bytes] = set()  # data of writes that were rejected as certainly not in the log
        self.terms: list[int] = []  # by committed entry: the term of the member that applied it first
        self.voters: frozenset[str] = frozenset()

    def persisted(self, core: Core, batch: PersistBatch) -> None:
        """Checks log matching (paper, 5.3): index and term identify one entry that follows one entry. By induction the
        logs are equal up to it."""
        for entry in batch.entries:
            before = core.term_at(entry.index - 1) if entry.index >= core.first_index else -1
            known = self.entries.setdefault((entry.index, entry.term), (entry, before))
            if known != (entry, before) and before >= 0:
                raise InvariantViolation(f"log matching: {known}, and {entry} after term {before}")

    def applied(self, core: Core, machine: ChecksumMachine, entry: Entry) -> None:
        """Applies an entry to a member's state machine, and checks that all members apply the same entries in order
        and that no rejected write is among them."""
        if entry.index != machine.applied + 1:
            raise InvariantViolation(f"applied {entry.index} after {machine.applied}")
        machine.apply(entry)
        if entry.index <= len(self.committed):
            if self.committed[entry.index - 1] != entry:
                raise InvariantViolation(f"two committed entries: {self.committed[entry.index - 1]} and {entry}")
            return
        if entry.data in self.rejected:
            raise InvariantViolation(f"a rejected write was committed: {entry}")
        self.committed.append(entry)
        self.checksums.append(machine.checksum)
        self.terms.append(core.term)
        if entry.kind is EntryKind.MEMBERS:
            members = msgspec.msgpack.decode(entry.data, type=tuple[Member, ...])
            voters = frozenset(m.id for m in members if m.votes)
            if self.voters and len(voters ^ self.voters) > 1:
                raise InvariantViolation(f"two voters changed at once: {self.voters} and {voters}")
            self.voters = voters

    def restored(self, machine: ChecksumMachine, snapshot: Snapshot) -> None:
        """Restores a member's state machine, and checks that the snapshot is the committed state."""
        machine.restore(snapshot.data)
        at = snapshot.index
        if at != machine.applied or at > len(self.committed) or self.checksums[at] != machine.checksum:
            raise InvariantViolation(f"a snapshot at {at} that differs from the committed state")
        if self.committed[at - 1].term != snapshot.term:
            raise InvariantViolation(f"a snapshot at {at} with another term")

    def elected(self, core: Core) -> None:
        """Checks election safety and leader completeness (paper, 5.2 and 5.4.3)."""
        if self.leaders.setdefault(core.term, core.me) != core.me:
            raise InvariantViolation(f"two leaders in term {core.term}: {self.leaders[core.term]} and {core.me}")
        for entry, term in zip(self.committed, self.terms, strict=True):
            # A leader that is elected late in an older term, by delayed votes, may lack entries of a later term.
            at = entry.index
            if term < core.term and at >= core.first_index and core.entries(at, at) != [entry]:
                raise InvariantViolation(f"the leader of term {core.term} lacks a committed entry: {entry}")
