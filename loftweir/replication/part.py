"""This sidecar's role in the replication: a voter if its name is listed as a member, else an observer. A listed member
is an observer as well while it can't vote.

`sidecar` imports only this module of the package, and only if the operator's file names members.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Callable, Mapping
from pathlib import Path

from loftweir.config.model import Replication
from loftweir.config.units import parse_members
from loftweir.errors import LoftweirError
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Wait
from loftweir.operations.calls import No, OperatorCommand, Verb
from loftweir.operations.record import Override
from loftweir.replication import reception, remembered
from loftweir.replication.api import Role
from loftweir.replication.caller import Proposer
from loftweir.replication.disk import open_disk
from loftweir.replication.folder import FolderInUse, StorageFailed
from loftweir.replication.follower import Observer
from loftweir.replication.joining import JoinProcess
from loftweir.replication.machine import Machine, Ok, SetOverride
from loftweir.replication.member import Voter
from loftweir.replication.reception import ReplicationListener
from loftweir.replication.remembered import OverrideCache
from loftweir.replication.wire import OverrideQuery
from loftweir.state.sealed import Damaged
from loftweir.telemetry.catalogue import (
    REPLICATION_DAMAGED,
    REPLICATION_ENDED,
    REPLICATION_NOT_REMEMBERED,
    REPLICATION_OPENED,
    REPLICATION_WAITS,
    REPLICATION_WORDS,
)
from loftweir.telemetry.log import emit

VOTE_RETRY_INTERVAL = 300 * MS  # for the folder and the address, which the previous process may still hold
MIN_SAVE_INTERVAL = 100 * MS  # between two writes of the override cache, from which the next process starts
# Of an observer: a connection for entries, two of the proposer, and those that are replaced.
OBSERVER_DESCRIPTORS = 6


def descriptor_count(name: str, options: Replication) -> int:
    """The number of the sidecar's descriptors that the replication may use."""
    return OBSERVER_DESCRIPTORS + (
        options.callers + reception.BASE_DESCRIPTORS if name in parse_members(options.members) else 0
    )


class ReplicationAgent:
    """Runs this sidecar as a voter or an observer, and reports the replicated state to the sidecar.

    Invariants: it is either a voter or an observer. `on_overrides` has been called with all of `overrides`, which are
    those of the state machine at `index` and those acknowledged here since. A state before `index` is reported only if
    all its members differ, which means that the cluster was founded again.
    """

    def __init__(
        self,
        loop: Loop,
        name: str,
        options: Replication,
        on_overrides: Callable[[Mapping[str, Override], bool], None],
    ) -> None:
        self.loop = loop
        self.name = name
        self.options = options
        self.on_overrides = on_overrides
        self.slots = parse_members(options.members)
        self.id = secrets.token_hex(8)  # of this process while it does not vote
        self.folder = Path(os.environ["TMPDIR"]) if os.environ.get("TMPDIR") else None
        self.index = 0  # of the state that was last reported
        # Unix time in ns at which the cached overrides were current; None: the state is newer than the cache.
        self.cached_at: int | None = None
        self.members: frozenset[str] = frozenset()  # ids of the voters of the last state
        self.overrides: dict[str, Override] = {}
        self.machine: Machine | None = None  # the last state; None: there was none yet
        self.machine_listeners: list[Callable[[Machine], None]] = []  # called after each change of the state
        # Acknowledged commands that `machine` does not include yet: by provider, the log index.
        self.acknowledged_ahead: dict[str, int] = {}
        self.save_scheduled = False  # the cache file is to be written
        self.saved_at = 0
        self.voter: Voter | None = None
        self.listener: ReplicationListener | None = None
        self.observer: Observer | None = None
        self.joining: JoinProcess | None = None
        self.leaving = False
        self.proposer = Proposer(loop, name, self.id, options, self.slots, lambda: self.index)

    # ---- start and stop -------------------------------------------------------------------------

    def recall(self) -> None:
        """Starts from the overrides that the previous process cached."""
        if self.folder is None:
            return
        try:
            found = remembered.load(self.folder, self.options.cluster)
        except (OSError, Damaged) as error:
            emit(REPLICATION_NOT_REMEMBERED, folder=str(self.folder), why=error)
            return
        if found is not None:
            self.index, self.cached_at, self.members = found.index, found.known_at, frozenset(found.members)
            self.overrides = {name: Override(*command) for name, command in found.words.items()}
            self.on_overrides(self.overrides, True)

    def start(self) -> None:
        """Starts as a voter if the name is listed, else as an observer."""
        if self.name not in self.slots:
            self._start_observing()
        elif not self._start_voting():
            self.loop.spawn(self._retry_voting())

    def _start_observing(self) -> None:
        if self.observer is None:
            self.observer = Observer(self.loop, self.name, self.id, self.options, self.slots, self._observed)

    def _retry_voting(self) -> Coroutine[None]:
        while not self.leaving:
            yield Wait(None, 0, self.loop.now() + VOTE_RETRY_INTERVAL)
            if self.leaving or self._start_voting():
                return

    def _start_voting(self) -> bool:
        """Starts as a voter; False: not possible now, and it is an observer meanwhile."""
        options, address = self.options, self.slots[self.name]
        try:
            sock = reception.bind_listener(address)
        except OSError as error:
            emit(REPLICATION_WAITS, why=f"{address}: {error.strerror or error}")
            self._start_observing()
            return False
        try:  # after the address, as reading the disk blocks the event loop
            disk, stored, report = open_disk(Path(options.folder), options.cluster)
        except FolderInUse as error:
            sock.close()
            emit(REPLICATION_WAITS, why=error)
            self._start_observing()
            return False
        except StorageFailed as error:
            sock.close()
            self._on_voter_ended(error)
            return True
        index = stored.entries[-1].index if stored.entries else stored.snapshot.index if stored.snapshot else 0
        folder = options.folder
        emit(REPLICATION_OPENED, id=report.member, begun=report.begun, torn=report.torn, index=index, folder=folder)
        if report.damage is not None:
            emit(REPLICATION_DAMAGED, why=report.damage, before=report.before, id=report.member, aside=report.aside)
        voter = Voter(self.loop, self.name, options, self.slots, (disk, stored), self._applied, self._on_voter_ended)
        listener = ReplicationListener(self.loop, voter, options.callers)
        listener.listen(sock)
        self._stop_observing()
        self.voter, self.listener = voter, listener
        voter.start()
        self.joining = JoinProcess(self.loop, voter, lambda: self.voter is voter)
        return True

    def _stop_observing(self) -> None:
        if self.observer is not None:
            self.observer.close()
            self.observer = None

    def _on_voter_ended(self, why: LoftweirError) -> None:
        """The voter has stopped; the sidecar goes on as an observer."""
        emit(REPLICATION_ENDED, why=why, remedy=why.remedy)
        self._stop_voting()
        if not self.leaving:
            self._start_observing()

    def _stop_voting(self, within: float = 0.0) -> None:
        if self.voter is not None and self.listener is not None and self.joining is not None:
            self.listener.close()
            self.voter.close(within)
            self.joining.task.cancel()
        self.voter = self.listener = self.joining = None

    def leave(self) -> None:
        """The process is about to stop. A leader transfers its leadership first. Then the folder and the address are
        free for the next process, and this one is an observer until its end.
        """
        self.leaving = True
        if self.voter is not None:
            self.loop.spawn(self._transfer_and_stop(self.voter))

    def _transfer_and_stop(self, voter: Voter) -> Coroutine[None]:
        until = self.loop.now() + self.options.election + 200 * MS
        voter.transfer_leadership()
        while voter.core.role is Role.LEADER and not voter.closed and self.loop.now() < until:
            yield Wait(None, 0, self.loop.now() + 5 * MS)
        if self.voter is voter:
            self._stop_voting()
            self._start_observing()

    def close(self) -> None:
        """Ends everything; batches that were handed to the storage are written."""
        self.leaving = True
        if self.save_scheduled:
            self._save()
        self._stop_voting(within=0.5)
        self._stop_observing()
        self.proposer.close()

    # ---- the replicated state -------------------------------------------------------------------

    def _applied(self) -> None:
        if self.voter is not None and self.listener is not None:
            self.listener.applied()
            self._update_from(self.voter.machine, frozenset(m.id for m in self.voter.core.members))

    def _observed(self) -> None:
        if self.observer is not None:
            self._update_from(self.observer.machine, self.observer.members)

    def _update_from(self, machine: Machine, members: frozenset[str]) -> None:
        refounded = bool(self.members and members) and not self.members & members
        if refounded:
            self.index, self.acknowledged_ahead = 0, {}
        self.members = members or self.members
        if machine.index < self.index:
            return  # of a voter that does not know its commit index yet, or of one that is joining
        complete, commands = machine.overrides_since(self.index)
        self.index, self.cached_at, self.machine = machine.index, None, machine
        for listener in self.machine_listeners:
            listener(machine)
        if not commands and not complete and not refounded:
            return
        changed = {name: Override(command.at, command.out) for name, command in commands.items()}
        self.acknowledged_ahead = {
            name: index for name, index in self.acknowledged_ahead.items() if index > machine.index
        }
        # Acknowledged commands are not overwritten by an older state that arrives late.
        changed |= {name: self.overrides[name] for name in self.acknowledged_ahead}
        self.overrides = changed if complete or refounded else {**self.overrides, **changed}
        emit(REPLICATION_WORDS, out=self.disabled_providers(), index=self.index)
        self.on_overrides(changed, complete or refounded)
        if self.folder is not None and not self.save_scheduled:
            self.save_scheduled = True
            self.loop.after(max(0, self.saved_at + MIN_SAVE_INTERVAL - self.loop.now()), self._save)

    def _save(self) -> None:
        self.save_scheduled, self.saved_at = False, self.loop.now()
        if self.folder is None:
            return
        overrides = {name: (command.at, command.active) for name, command in self.overrides.items()}
        now = self.loop.now() - (self.age() or 0)
        try:
            remembered.save(
                self.folder, OverrideCache(self.options.cluster, self.index, now, sorted(self.members), overrides)
            )
        except OSError as error:
            emit(REPLICATION_NOT_REMEMBERED, folder=str(self.folder), why=error)

    def disabled_providers(self) -> list[str]:
        """The providers that operators have disabled for all sidecars."""
        return sorted(name for name, command in self.overrides.items() if command.active)

    def age(self) -> int | None:
        """Time since the reported state was last known to be current, ns; None: not known."""
        if self.cached_at is not None:
            return max(0, self.loop.now() - self.cached_at)
        holder = self.voter or self.observer
        return holder.age() if holder is not None else None

    # ---- operators' commands --------------------------------------------------------------------

    def execute(self, command: OperatorCommand) -> Coroutine[str]:
        """Executes an operator's command, and returns the text after OK, which is an acknowledgement: a majority has
        stored it. Raises `No` with the text of a typed error, within `replication.write_within`.
        """
        if command.verb is Verb.FLEET:
            return self.status_line()
        until = self.loop.now() + self.options.write_within
        try:
            if command.verb is Verb.FLEET_REMOVE:
                yield from self.proposer.remove(command.id, self.options.write_within)
                return "removed"
            if command.verb is Verb.FLEET_ENABLE:
                # What a read shows must not be undone by a late copy of this sidecar's own last command.
                yield from self.proposer.settle(self.options.write_within)
                reading = yield from self.proposer.read(OverrideQuery(command.id), max(MS, until - self.loop.now()))
                if reading.sure and not (reading.value and reading.value[0]):
                    # Nobody disabled it, so it must not start cold; this sidecar may not have received the override
                    # yet.
                    if reading.value or command.id in self.disabled_providers():
                        self._acknowledge(
                            command.id, Override(reading.value[2] if reading.value else 0, False), reading.index
                        )
                    return f"enabled, at index {reading.index}"
            operation = SetOverride(command.id, command.verb is Verb.FLEET_DISABLE, self.loop.now())
            result = yield from self.proposer.write(operation, max(SECOND // 1000, until - self.loop.now()))
        except LoftweirError as error:
            raise No(f"{type(error).__name__}: {error}; {error.remedy}") from None
        if not isinstance(result, Ok):
            raise No(result.text)
        self._acknowledge(command.id, Override(operation.at, operation.out), result.index)
        return f"{'disabled' if operation.out else 'enabled'}, at index {result.index}"

    def _acknowledge(self, name: str, override: Override, index: int) -> None:
        """What is acknowledged at an index takes effect here before the answer; the state machine follows."""
        if index > max(self.index, self.acknowledged_ahead.get(name, 0)):
            self.acknowledged_ahead[name] = index
            self.overrides = {**self.overrides, name: override}
            self.on_overrides(self.overrides, False)

    def status_line(self) -> str:
        """The status in one line."""
        role, term, leader, followed = "follows", "-", "", ""
        if self.observer is not None:
            leader, followed = self.observer.leader, self.observer.following
        if self.voter is not None:
            role, term, leader = self.voter.core.role.value, str(self.voter.core.term), self.voter.leader()[0]
        age = self.age()
        aged, out = "-" if age is None else str(age // MS), ",".join(self.disabled_providers())
        member = f"role={role} leader={leader or '-'} follows={followed or '-'} term={term}"
        return f"{member} index={self.index} age_ms={aged} out={out or '-'}"
