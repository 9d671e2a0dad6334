"""All sidecars that don't vote: a long poll to one voter for what is committed, applied to a machine of their own.

Invariants: entries are applied in order without gap and none twice; what was told once is never taken back for the
word of a voter that is behind; a history that is another is found out, and fetched whole.

Spread: each begins at a voter chosen by a hash of its name and stays where it works; who lost its voter goes on to the
next one after a short time at random, so that no voter is met by all at once.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from zlib import crc32

from loftweir.config.model import Replication
from loftweir.errors import LoftweirError
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.net.stream import NotUp, TookTooLong
from loftweir.replication.line import FrameConnection, dial
from loftweir.replication.machine import Machine
from loftweir.replication.wire import (
    VERSION,
    ConnectionKind,
    FetchSnapshot,
    FollowRequest,
    FollowResponse,
    Frame,
    Hello,
    SnapshotChunk,
)
from loftweir.telemetry.catalogue import REPLICATION_FOLLOWS, REPLICATION_LOST
from loftweir.telemetry.log import emit

RESPONSE_GRACE = SECOND  # past its wait, until a call for news is given up
CHUNK_TIMEOUT = 2 * SECOND  # for a piece of the whole
MAX_SWITCH_DELAY = 60 * MS  # at random, until the next voter is asked after one that failed
MIN_ROUND_DELAY, MAX_ROUND_DELAY = (
    100 * MS,
    SECOND,
)  # after a round over all voters that brought nothing; twice as long each time
MAX_LEADERLESS_ELECTIONS = 3  # election timeouts that a voter may be without a leader, until another one is tried
MAX_SNAPSHOT_SIZE = 512 * 1024 * 1024  # bytes of a machine as a whole


class NotFollowed(LoftweirError):
    """News of the copies that do not go on from what this sidecar has: they are not taken."""

    remedy = "Nothing, if rare: it asks another member, or gets the whole anew. Else look at the member that is named."


class Gap(NotFollowed):
    """Entries are missing between what this sidecar has and what it was told."""


class OtherCopies(NotFollowed):
    """The members are all others than the ones followed so far, or what was promised is not there any more."""

    remedy = "Look whether the cluster was begun anew, or an old copy of a disk put back; what holds now is fetched."


class Behind(NotFollowed):
    """A member that has less than this sidecar, or has been without a leader for long."""


class Observer:
    """`applied` is called after each change of the machine."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        id: str,
        options: Replication,
        seats: dict[str, str],
        applied: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.options = options
        self.hello = Hello(VERSION, options.cluster, id, name, ConnectionKind.FOLLOWER)
        voters = [(other, address) for other, address in seats.items() if other != name]
        first = crc32(name.encode()) % len(voters)
        self.voters = voters[first:] + voters[:first]
        self.applied = applied
        self.machine = Machine()
        self.members: frozenset[str] = frozenset()  # ids of the ones followed
        self.leader = ""
        self.member = ""  # who is asked
        self.follows = ""  # the member whose news it takes; empty: none has told it any yet
        self.known_at: int | None = None  # when what is held was last known to be of a leader with a majority
        self.random = Random(f"{name} {id}")
        self.over = False
        self.task: Task = loop.spawn(self._run(), self._crashed)

    def _crashed(self, _: Exception) -> None:
        self.loop.after(MAX_ROUND_DELAY, self._again)

    def _again(self) -> None:
        if not self.over:
            self.task = self.loop.spawn(self._run(), self._crashed)

    def age(self) -> int | None:
        return None if self.known_at is None else max(0, self.loop.now() - self.known_at)

    def close(self) -> None:
        self.over = True
        self.task.cancel()

    def _run(self) -> Coroutine[None]:
        turn, failed, apart = 0, 0, MIN_ROUND_DELAY
        while True:
            self.member, address = self.voters[turn % len(self.voters)]
            begun_at, why = self.loop.now(), ""
            try:
                line, _ = yield from dial(self.loop, address, self.hello, self.loop.now() + SECOND)
                try:
                    yield from self._follow(line)
                finally:
                    line.close()
            except NotUp:
                why = "not up"
            except TookTooLong:
                why = "silent"
            except (OSError, LoftweirError) as error:
                why = str(error) or type(error).__name__
            self.follows = ""
            emit(REPLICATION_LOST, member=self.member, why=why)
            turn += 1
            if self.loop.now() - begun_at > self.options.follow_wait + RESPONSE_GRACE:
                failed, apart = 0, MIN_ROUND_DELAY  # it worked for a while
            failed += 1
            if failed % len(self.voters):
                pause = self.random.randrange(MAX_SWITCH_DELAY)
            else:
                pause = apart // 2 + self.random.randrange(apart)
                apart = min(2 * apart, MAX_ROUND_DELAY)
            yield Wait(None, 0, self.loop.now() + pause)

    def _follow(self, line: FrameConnection) -> Coroutine[None]:
        """Call after call, until one fails."""
        first = True
        while True:
            # The first does not wait: it is soon known whether this one is of use.
            wait = 0 if first else self.options.follow_wait
            after = self.machine.index
            line.put(FollowRequest(after, wait))
            news = yield from self._next(line, wait + RESPONSE_GRACE)
            if not isinstance(news, FollowResponse):
                raise Gap(f"not news: {type(news).__name__}", self.member)
            yield from self._take(line, news, after)
            if first:
                self.follows = self.member
                emit(REPLICATION_FOLLOWS, member=self.member, index=self.machine.index, behind=news.index - after)
            first = False

    def _next(self, line: FrameConnection, within: int) -> Coroutine[Frame]:
        return (yield from line.next(self.loop.now() + within))

    def _take(self, line: FrameConnection, news: FollowResponse, after: int) -> Coroutine[None]:
        members = frozenset(news.members)
        if news.after != after:
            raise Gap(f"news from behind {news.after}, where {after} was asked", self.member)
        if self.members and members and not self.members & members:
            emit(REPLICATION_LOST, member=self.member, why=OtherCopies("all members are others", self.member))
            yield from self._fetch(line, anew=True)
            return
        if news.index < after:
            if not news.leads:
                raise Behind(f"at index {news.index}, behind {after}", self.member)
            error = OtherCopies(f"its leader is at index {news.index}, and {after} was told", self.member)
            emit(REPLICATION_LOST, member=self.member, why=error)
            yield from self._fetch(line, anew=True)
            return
        if news.whole:
            yield from self._fetch(line, anew=False)
            return
        if not news.entries and (news.age is None or news.age > MAX_LEADERLESS_ELECTIONS * self.options.election):
            raise Behind("without a leader", self.member)
        for entry in news.entries:
            if entry.index != self.machine.index + 1:
                raise Gap(f"entry {entry.index} after {self.machine.index}", self.member)
            if entry.data:
                self.machine.apply(entry.index, entry.data)
            else:
                self.machine.passed(entry.index)
        if self.machine.index != news.index:
            raise Gap(f"news up to {news.index} end at {self.machine.index}", self.member)
        self._knows(news, members)
        if news.entries:
            self.applied()

    def _knows(self, news: FollowResponse | SnapshotChunk, members: frozenset[str]) -> None:
        self.leader, self.members = news.leader, members or self.members
        if news.age is not None:
            self.known_at = max(self.known_at or 0, self.loop.now() - news.age)

    def _fetch(self, line: FrameConnection, anew: bool) -> Coroutine[None]:
        """The machine as a whole, piece by piece. `anew`: it need not be a later state of the one held."""
        index, data = 0, bytearray()
        while True:
            line.put(FetchSnapshot(index, len(data)))
            piece = yield from self._next(line, CHUNK_TIMEOUT)
            if not isinstance(piece, SnapshotChunk) or piece.size > MAX_SNAPSHOT_SIZE:
                raise Gap(f"not a piece of the whole: {type(piece).__name__}", self.member)
            if piece.index != index or piece.at == 0:
                index, data = piece.index, bytearray()  # a newer one
            if piece.at != len(data) or (not piece.data and piece.size > len(data)):
                raise Gap(f"a piece from byte {piece.at}, where {len(data)} was asked", self.member)
            data += piece.data
            if len(data) >= piece.size:
                break
        machine = Machine.load(bytes(data)) if data else Machine()
        if machine.index != index or (machine.index < self.machine.index and not anew):
            raise Behind(f"the whole is of index {machine.index}, behind {self.machine.index}", self.member)
        self.machine = machine
        self._knows(piece, frozenset(piece.members))
        self.applied()
