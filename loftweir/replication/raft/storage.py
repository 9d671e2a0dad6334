"""Stable storage: what a step asks to be kept, and what may be said once that is stable."""

from __future__ import annotations

from loftweir.replication.api import Action, AnyMessage, HardState, PersistBatch, SendMessage, StatusChanged
from loftweir.replication.raft.state import RaftState


class Storage(RaftState):
    """What is asked of the disk. Nothing is said before what it rests on is stable."""

    def _flushed(self) -> list[Action]:
        """What the step did: first what is to be kept, since all that is said rests on it."""
        out, self._out = self._out, []
        if self._hard_changed or self._new or self._cut is not None or self._taken_in is not None:
            self._batch += 1
            hard = HardState(self.term, self.vote) if self._hard_changed else None
            keep = PersistBatch(self._batch, hard, self._cut, tuple(self._new), self._taken_in, self._all_gone)
            out.insert(0, keep)
            self._pending.append([self._batch, self.last_index])
            self._hard_changed = self._all_gone = False
            self._cut = self._taken_in = None
            self._new = []
        stood = (self.role, self.term, self.leader, self.members)
        if stood != self._stood:
            self._stood = stood
            out.append(StatusChanged(*stood))
        return out

    def _hard(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote
        self._hard_changed = True
        self._hard_batch = self._batch + 1

    def _say(self, message: AnyMessage, after: int = 0) -> None:
        """What is said in a term leaves once that is stable."""
        after = max(after, self._hard_batch)
        self._out.append(SendMessage(message, after if after > self._stable_batch else 0))

    def _gone_from(self, index: int) -> None:
        """What was asked to be kept from here on is not this member's log any more."""
        self.stable_index = min(self.stable_index, index - 1)
        for pending in self._pending:
            pending[1] = min(pending[1], index - 1)

    def _covers(self, index: int) -> int:
        """A batch with which the log is stable up to there; 0: it is."""
        if index <= self.stable_index:
            return 0
        return self._batch + bool(self._new or self._taken_in)

    def _own_vote_stable(self) -> bool:
        return self._hard_batch <= self._stable_batch
