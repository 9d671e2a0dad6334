"""Stable storage: what a step writes, and what may be sent only once that is stable."""

from __future__ import annotations

from loftweir.replication.api import Action, AnyMessage, HardState, PersistBatch, SendMessage, StatusChanged
from loftweir.replication.raft.state import RaftState


class Storage(RaftState):
    """Writes to the storage. No message is sent before the data that it depends on is stable."""

    def _collect_actions(self) -> list[Action]:
        """The actions of this step. Writing comes first, as all messages depend on it."""
        actions, self._actions = self._actions, []
        if (
            self._hard_state_changed
            or self._new_entries
            or self._truncated_from is not None
            or self._new_snapshot is not None
        ):
            self._batch += 1
            hard = HardState(self.term, self.vote) if self._hard_state_changed else None
            batch = PersistBatch(
                self._batch,
                hard,
                self._truncated_from,
                tuple(self._new_entries),
                self._new_snapshot,
                self._log_discarded,
            )
            actions.insert(0, batch)
            self._unsynced_batches.append([self._batch, self.last_index])
            self._hard_state_changed = self._log_discarded = False
            self._truncated_from = self._new_snapshot = None
            self._new_entries = []
        status = (self.role, self.term, self.leader, self.members)
        if status != self._reported_status:
            self._reported_status = status
            actions.append(StatusChanged(*status))
        return actions

    def _set_hard_state(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote
        self._hard_state_changed = True
        self._hard_state_batch = self._batch + 1

    def _send(self, message: AnyMessage, after: int = 0) -> None:
        """Sends a message, at the earliest once the current term and vote are stable."""
        after = max(after, self._hard_state_batch)
        self._actions.append(SendMessage(message, after if after > self._stable_batch else 0))

    def _lower_stable_index(self, index: int) -> None:
        """Entries from `index` on, which were handed to the storage, are no longer part of this member's log."""
        self.stable_index = min(self.stable_index, index - 1)
        for pending in self._unsynced_batches:
            pending[1] = min(pending[1], index - 1)

    def _batch_covering(self, index: int) -> int:
        """A batch that makes the log stable up to `index`; 0: it already is."""
        if index <= self.stable_index:
            return 0
        return self._batch + bool(self._new_entries or self._new_snapshot)

    def _own_vote_synced(self) -> bool:
        return self._hard_state_batch <= self._stable_batch
