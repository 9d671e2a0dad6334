"""This sidecar's part in the copies: it votes where its name is listed, and follows else, or while it can't vote.

The one module that `sidecar` imports of the copies, and only where the operator's file names members.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping
from pathlib import Path

from loftweir.config.model import Replication
from loftweir.config.units import seats
from loftweir.errors import Trouble
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Wait
from loftweir.operations.calls import Call, No, Word
from loftweir.operations.record import Word as Said
from loftweir.replication import reception
from loftweir.replication.api import Role
from loftweir.replication.caller import Caller
from loftweir.replication.disk import open_disk
from loftweir.replication.folder import FolderInUse, StorageFailed
from loftweir.replication.follower import Follower
from loftweir.replication.joining import Joining
from loftweir.replication.machine import Machine, Ok
from loftweir.replication.machine import Word as Say
from loftweir.replication.member import Voter
from loftweir.replication.reception import Reception
from loftweir.replication.wire import WordOf
from loftweir.telemetry.catalogue import (
    REPLICATION_DAMAGED,
    REPLICATION_ENDED,
    REPLICATION_OPENED,
    REPLICATION_WAITS,
    REPLICATION_WORDS,
)
from loftweir.telemetry.log import say

TRY_EVERY = 300 * MS  # for the folder and the address, that the process before this one may hold yet
FOLLOWERS_OWN = 6  # descriptors: a line for news, two for calls, and what is between one and the next


def descriptors(name: str, options: Replication) -> int:
    """How many of the sidecar's descriptors the copies may take."""
    return FOLLOWERS_OWN + (options.callers + reception.DESCRIPTORS if name in seats(options.members) else 0)


class Part:
    """Invariant: it votes or follows, one of the two; what it has told holds by a state at `index`, and a state behind
    that is told only where the copies were begun anew."""

    def __init__(
        self, loop: Loop, name: str, options: Replication, told: Callable[[Mapping[str, Said], bool], None]
    ) -> None:
        self.loop = loop
        self.name = name
        self.options = options
        self.told = told
        self.seats = seats(options.members)
        self.id = secrets.token_hex(8)  # of this process, where it does not vote
        self.index = 0
        self.out: set[str] = set()
        self.voter: Voter | None = None
        self.reception: Reception | None = None
        self.follower: Follower | None = None
        self.joining: Joining | None = None
        self.leaves = False
        self.caller = Caller(loop, name, self.id, options, self.seats, lambda: self.index)

    # ---- begin and end --------------------------------------------------------------------------

    def start(self) -> None:
        if self.name not in self.seats:
            self._follow()
        elif not self._vote():
            self.loop.spawn(self._try_to_vote())

    def _follow(self) -> None:
        if self.follower is None:
            self.follower = Follower(self.loop, self.name, self.id, self.options, self.seats, self._followed)

    def _try_to_vote(self) -> Coroutine[None]:
        while not self.leaves:
            yield Wait(None, 0, self.loop.now() + TRY_EVERY)
            if self.leaves or self._vote():
                return

    def _vote(self) -> bool:
        """Takes the part of a member; False: not now, and it follows meanwhile."""
        options = self.options
        try:
            disk, kept, report = open_disk(Path(options.folder), options.cluster)
        except FolderInUse as error:
            say(REPLICATION_WAITS, why=error)
            self._follow()
            return False
        except StorageFailed as error:
            self._ended(error)
            return True
        index = kept.entries[-1].index if kept.entries else kept.snapshot.index if kept.snapshot else 0
        folder = options.folder
        say(REPLICATION_OPENED, id=report.member, begun=report.begun, torn=report.torn, index=index, folder=folder)
        if report.damage is not None:
            say(REPLICATION_DAMAGED, why=report.damage, before=report.before, id=report.member, aside=report.aside)
        voter = Voter(self.loop, self.name, options, self.seats, (disk, kept), self._applied, self._ended)
        listener = Reception(self.loop, voter, options.callers)
        try:
            listener.listen(self.seats[self.name])
        except OSError as error:
            say(REPLICATION_WAITS, why=f"{self.seats[self.name]}: {error.strerror or error}")
            voter.close()
            self._follow()
            return False
        self._end_following()
        self.voter, self.reception = voter, listener
        voter.start()
        self.joining = Joining(self.loop, voter, lambda: self.voter is voter)
        return True

    def _end_following(self) -> None:
        if self.follower is not None:
            self.follower.close()
            self.follower = None

    def _ended(self, why: Trouble) -> None:
        """The member's part is over, the sidecar's is not."""
        say(REPLICATION_ENDED, why=why, remedy=why.remedy)
        self._end_voting()
        if not self.leaves:
            self._follow()

    def _end_voting(self) -> None:
        if self.voter is not None and self.reception is not None and self.joining is not None:
            self.reception.close()
            self.voter.close()
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
        self._end_voting()
        self._end_following()
        self.caller.close()

    # ---- what holds -----------------------------------------------------------------------------

    @property
    def machine(self) -> Machine | None:
        holder = self.voter or self.follower
        return holder.machine if holder is not None else None

    def _applied(self) -> None:
        if self.voter is not None and self.reception is not None:
            self.reception.applied()
            self._tell(self.voter.machine)

    def _followed(self, anew: bool) -> None:
        if self.follower is not None:
            if anew:
                self.index = 0
            self._tell(self.follower.machine, anew)

    def _tell(self, machine: Machine, anew: bool = False) -> None:
        if machine.index < self.index:
            return
        whole, words = machine.words_since(self.index)
        self.index = machine.index
        if not words and not whole and not anew:
            return
        self.out = {name for name, word in machine.words.items() if word.out}
        say(REPLICATION_WORDS, out=sorted(self.out), index=self.index)
        self.told({name: Said(word.at, word.out) for name, word in words.items()}, whole or anew)

    # ---- operators' calls -----------------------------------------------------------------------

    def do(self, call: Call) -> Coroutine[str]:
        """What is said after OK, which is a promise: a majority has it on stable storage. `No` with a typed error's
        text, within `replication.write_within`."""
        if call.word is Word.FLEET:
            return self.line()
        until = self.loop.now() + self.options.write_within
        try:
            if call.word is Word.FLEET_REMOVE:
                yield from self.caller.remove(call.id, self.options.write_within)
                return "removed"
            if call.word is Word.FLEET_ENABLE:
                held = yield from self.caller.read(WordOf(call.id), self.options.write_within)
                if held.sure and not (held.value and held.value[0]):
                    return f"enabled, at index {held.index}"  # as nobody took it out, it is not to begin cold
            act = Say(call.id, call.word is Word.FLEET_DISABLE, self.loop.now())
            result = yield from self.caller.write(act, max(SECOND // 1000, until - self.loop.now()))
        except Trouble as error:
            raise No(f"{type(error).__name__}: {error}; {error.remedy}") from None
        if not isinstance(result, Ok):
            raise No(result.text)
        return f"{'disabled' if act.out else 'enabled'}, at index {result.index}"

    def line(self) -> str:
        """How it stands, in one line."""
        leader, age, machine = "", None, self.machine
        if self.voter is not None:
            role, term = self.voter.core.role.value, str(self.voter.core.term)
            leader, age = self.voter.leader()[0], self.voter.age()
        else:
            role, term = "follows", "-"
            if self.follower is not None:
                leader, age = self.follower.leader, self.follower.age()
        aged = "-" if age is None else str(age // MS)
        out = sorted(name for name, word in machine.words.items() if word.out) if machine else []
        index = machine.index if machine else 0
        return f"role={role} leader={leader or '-'} term={term} index={index} age_ms={aged} out={','.join(out) or '-'}"
