"""This sidecar's part in the copies: it votes where its name is listed, and follows else, or while it can't vote.

The one module that `sidecar` imports of the copies, and only where the operator's file names members.
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
from loftweir.replication.machine import Machine, Ok
from loftweir.replication.machine import SetOverride as Say
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

VOTE_RETRY_INTERVAL = 300 * MS  # for the folder and the address, that the process before this one may hold yet
MIN_SAVE_INTERVAL = 100 * MS  # from one writing of what holds to the next, where the next process finds it
OBSERVER_DESCRIPTORS = 6  # descriptors: a line for news, two for calls, and what is between one and the next


def descriptor_count(name: str, options: Replication) -> int:
    """How many of the sidecar's descriptors the copies may take."""
    return OBSERVER_DESCRIPTORS + (
        options.callers + reception.BASE_DESCRIPTORS if name in parse_members(options.members) else 0
    )


class ReplicationAgent:
    """Invariants: it votes or follows, one of the two; `told` has heard `words`, which are those of the machine at
    `index` and what was promised here since; a machine behind that is told only where its members are all others: the
    copies were begun anew."""

    def __init__(
        self, loop: Loop, name: str, options: Replication, told: Callable[[Mapping[str, Override], bool], None]
    ) -> None:
        self.loop = loop
        self.name = name
        self.options = options
        self.told = told
        self.seats = parse_members(options.members)
        self.id = secrets.token_hex(8)  # of this process, where it does not vote
        self.folder = Path(os.environ["TMPDIR"]) if os.environ.get("TMPDIR") else None
        self.index = 0  # of what holds here
        self.known_at: int | None = None  # where only what was remembered does: when it was the latest
        self.members: frozenset[str] = frozenset()  # ids of the voters that it is of
        self.words: dict[str, Override] = {}
        self.machine: Machine | None = None  # the state that holds here; None: none was heard of yet
        self.machine_listeners: list[Callable[[Machine], None]] = []  # who else is told of each change of it
        self.ahead: dict[str, int] = {}  # commands answered for, and from which index on the machine has them
        self.saves = False  # a file is to be written
        self.saved_at = 0
        self.voter: Voter | None = None
        self.reception: ReplicationListener | None = None
        self.follower: Observer | None = None
        self.joining: JoinProcess | None = None
        self.leaves = False
        self.proposer = Proposer(loop, name, self.id, options, self.seats, lambda: self.index)

    # ---- begin and end --------------------------------------------------------------------------

    def recall(self) -> None:
        """What the process before this one knew holds from the start on."""
        if self.folder is None:
            return
        try:
            found = remembered.load(self.folder, self.options.cluster)
        except (OSError, Damaged) as error:
            emit(REPLICATION_NOT_REMEMBERED, folder=str(self.folder), why=error)
            return
        if found is not None:
            self.index, self.known_at, self.members = found.index, found.known_at, frozenset(found.members)
            self.words = {name: Override(*command) for name, command in found.words.items()}
            self.told(self.words, True)

    def start(self) -> None:
        if self.name not in self.seats:
            self._follow()
        elif not self._vote():
            self.loop.spawn(self._try_to_vote())

    def _follow(self) -> None:
        if self.follower is None:
            self.follower = Observer(self.loop, self.name, self.id, self.options, self.seats, self._followed)

    def _try_to_vote(self) -> Coroutine[None]:
        while not self.leaves:
            yield Wait(None, 0, self.loop.now() + VOTE_RETRY_INTERVAL)
            if self.leaves or self._vote():
                return

    def _vote(self) -> bool:
        """Takes the part of a member; False: not now, and it follows meanwhile."""
        options, address = self.options, self.seats[self.name]
        try:
            sock = reception.bind_listener(address)
        except OSError as error:
            emit(REPLICATION_WAITS, why=f"{address}: {error.strerror or error}")
            self._follow()
            return False
        try:  # second, since reading it takes the loop's time
            disk, kept, report = open_disk(Path(options.folder), options.cluster)
        except FolderInUse as error:
            sock.close()
            emit(REPLICATION_WAITS, why=error)
            self._follow()
            return False
        except StorageFailed as error:
            sock.close()
            self._ended(error)
            return True
        index = kept.entries[-1].index if kept.entries else kept.snapshot.index if kept.snapshot else 0
        folder = options.folder
        emit(REPLICATION_OPENED, id=report.member, begun=report.begun, torn=report.torn, index=index, folder=folder)
        if report.damage is not None:
            emit(REPLICATION_DAMAGED, why=report.damage, before=report.before, id=report.member, aside=report.aside)
        voter = Voter(self.loop, self.name, options, self.seats, (disk, kept), self._applied, self._ended)
        listener = ReplicationListener(self.loop, voter, options.callers)
        listener.listen(sock)
        self._end_following()
        self.voter, self.reception = voter, listener
        voter.start()
        self.joining = JoinProcess(self.loop, voter, lambda: self.voter is voter)
        return True

    def _end_following(self) -> None:
        if self.follower is not None:
            self.follower.close()
            self.follower = None

    def _ended(self, why: LoftweirError) -> None:
        """The member's part is over, the sidecar's is not."""
        emit(REPLICATION_ENDED, why=why, remedy=why.remedy)
        self._end_voting()
        if not self.leaves:
            self._follow()

    def _end_voting(self, within: float = 0.0) -> None:
        if self.voter is not None and self.reception is not None and self.joining is not None:
            self.reception.close()
            self.voter.close(within)
            self.joining.task.cancel()
        self.voter = self.reception = self.joining = None

    def leave(self) -> None:
        """The process is about to end. One that leads hands over first; then the folder and the address are free for
        the next process, and this one follows for as long as it is there."""
        self.leaves = True
        if self.voter is not None:
            self.loop.spawn(self._hand_over(self.voter))

    def _hand_over(self, voter: Voter) -> Coroutine[None]:
        until = self.loop.now() + self.options.election + 200 * MS
        voter.hand_over()
        while voter.core.role is Role.LEADER and not voter.over and self.loop.now() < until:
            yield Wait(None, 0, self.loop.now() + 5 * MS)
        if self.voter is voter:
            self._end_voting()
            self._follow()

    def close(self) -> None:
        """The end: what was asked to be kept is."""
        self.leaves = True
        if self.saves:
            self._save()
        self._end_voting(within=0.5)
        self._end_following()
        self.proposer.close()

    # ---- what holds -----------------------------------------------------------------------------

    def _applied(self) -> None:
        if self.voter is not None and self.reception is not None:
            self.reception.applied()
            self._tell(self.voter.machine, frozenset(m.id for m in self.voter.core.members))

    def _followed(self) -> None:
        if self.follower is not None:
            self._tell(self.follower.machine, self.follower.members)

    def _tell(self, machine: Machine, members: frozenset[str]) -> None:
        anew = bool(self.members and members) and not self.members & members
        if anew:
            self.index, self.ahead = 0, {}
        self.members = members or self.members
        if machine.index < self.index:
            return  # a voter that has yet to hear how much of its log holds, or one that joins
        whole, commands = machine.words_since(self.index)
        self.index, self.known_at, self.machine = machine.index, None, machine
        for listener in self.machine_listeners:
            listener(machine)
        if not commands and not whole and not anew:
            return
        said = {name: Override(command.at, command.out) for name, command in commands.items()}
        self.ahead = {name: index for name, index in self.ahead.items() if index > machine.index}
        said |= {name: self.words[name] for name in self.ahead}  # not undone by an older one on the way
        self.words = said if whole or anew else {**self.words, **said}
        emit(REPLICATION_WORDS, out=self.out(), index=self.index)
        self.told(said, whole or anew)
        if self.folder is not None and not self.saves:
            self.saves = True
            self.loop.after(max(0, self.saved_at + MIN_SAVE_INTERVAL - self.loop.now()), self._save)

    def _save(self) -> None:
        self.saves, self.saved_at = False, self.loop.now()
        if self.folder is None:
            return
        words = {name: (command.at, command.active) for name, command in self.words.items()}
        now = self.loop.now() - (self.age() or 0)
        try:
            remembered.save(
                self.folder, OverrideCache(self.options.cluster, self.index, now, sorted(self.members), words)
            )
        except OSError as error:
            emit(REPLICATION_NOT_REMEMBERED, folder=str(self.folder), why=error)

    def out(self) -> list[str]:
        return sorted(name for name, command in self.words.items() if command.active)

    def age(self) -> int | None:
        """Since what holds here was last known to be all that was promised, ns; None: not known."""
        if self.known_at is not None:
            return max(0, self.loop.now() - self.known_at)
        holder = self.voter or self.follower
        return holder.age() if holder is not None else None

    # ---- operators' calls -----------------------------------------------------------------------

    def execute(self, command: OperatorCommand) -> Coroutine[str]:
        """What is said after OK, which is a promise: a majority has it on stable storage. `No` with a typed error's
        text, within `replication.write_within`."""
        if command.verb is Verb.FLEET:
            return self.line()
        until = self.loop.now() + self.options.write_within
        try:
            if command.verb is Verb.FLEET_REMOVE:
                yield from self.proposer.remove(command.id, self.options.write_within)
                return "removed"
            if command.verb is Verb.FLEET_ENABLE:
                held = yield from self.proposer.read(OverrideQuery(command.id), self.options.write_within)
                if held.sure and not (held.value and held.value[0]):
                    # As nobody took it out, it is not to begin cold; this sidecar may have yet to hear of that.
                    if held.value or command.id in self.out():
                        self._answered(command.id, Override(held.value[2] if held.value else 0, False), held.index)
                    return f"enabled, at index {held.index}"
            act = Say(command.id, command.verb is Verb.FLEET_DISABLE, self.loop.now())
            result = yield from self.proposer.write(act, max(SECOND // 1000, until - self.loop.now()))
        except LoftweirError as error:
            raise No(f"{type(error).__name__}: {error}; {error.remedy}") from None
        if not isinstance(result, Ok):
            raise No(result.text)
        self._answered(command.id, Override(act.at, act.out), result.index)
        return f"{'disabled' if act.out else 'enabled'}, at index {result.index}"

    def _answered(self, name: str, said: Override, index: int) -> None:
        """What is promised at an index holds here by the time of the answer; the machine's state follows."""
        if index > max(self.index, self.ahead.get(name, 0)):
            self.ahead[name] = index
            self.words = {**self.words, name: said}
            self.told(self.words, False)

    def line(self) -> str:
        """How it stands, in one line."""
        role, term, leader, followed = "follows", "-", "", ""
        if self.follower is not None:
            leader, followed = self.follower.leader, self.follower.follows
        if self.voter is not None:
            role, term, leader = self.voter.core.role.value, str(self.voter.core.term), self.voter.leader()[0]
        age = self.age()
        aged, out = "-" if age is None else str(age // MS), ",".join(self.out())
        member = f"role={role} leader={leader or '-'} follows={followed or '-'} term={term}"
        return f"{member} index={self.index} age_ms={aged} out={out or '-'}"
