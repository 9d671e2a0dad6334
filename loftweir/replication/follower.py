"""The observer: a sidecar that does not vote. It requests the committed entries from one voter with long polls and
applies them to its own state machine.

Invariants: entries are applied in order, without gaps, and none twice. A voter that is behind never takes back what
another one has sent. A different history is detected, and its snapshot is fetched.

Load distribution: each observer starts with a voter chosen by a hash of its name, and stays with it while it works. One
that lost its voter switches to the next after a short random delay, so that they do not all reach one voter at once.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from zlib import crc32

from loftweir.config.model import Replication
from loftweir.errors import LoftweirError
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.net.stream import ConnectError, TimedOut
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

# Time after the end of a poll's wait at which the request is given up.
RESPONSE_GRACE = SECOND
CHUNK_TIMEOUT = 2 * SECOND  # for one chunk of a snapshot
MAX_SWITCH_DELAY = 60 * MS  # random delay before the next voter is tried after a failure

# Delay after a round over all voters without success; doubled after each round.
MIN_ROUND_DELAY = 100 * MS
MAX_ROUND_DELAY = SECOND

MAX_LEADERLESS_ELECTIONS = 3  # election timeouts that a voter may be without a leader before another one is tried
MAX_SNAPSHOT_SIZE = 512 * 1024 * 1024  # bytes of a snapshot


class NotFollowed(LoftweirError):
    """The entries or snapshot of a voter do not continue the state of this sidecar, and were rejected."""

    remedy = "Nothing, if rare: it uses another member, or fetches a snapshot. Else check the member that is named."


class Gap(NotFollowed):
    """Entries are missing between this sidecar's state and the received ones."""


class OtherCopies(NotFollowed):
    """All members differ from those of the current state, or acknowledged entries no longer exist."""

    remedy = (
        "Check whether the cluster was founded anew, or a disk restored from an old copy. The current state is fetched."
    )


class Behind(NotFollowed):
    """The voter has less than this sidecar, or has been without a leader for long."""


class Observer:
    """This sidecar as an observer. `applied` is called after each change of the state machine."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        id: str,
        options: Replication,
        slots: dict[str, str],
        applied: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.options = options
        self.hello = Hello(VERSION, options.cluster, id, name, ConnectionKind.FOLLOWER)
        voters = [(other, address) for other, address in slots.items() if other != name]
        first = crc32(name.encode()) % len(voters)
        self.voters = voters[first:] + voters[:first]
        self.applied = applied
        self.machine = Machine()
        self.members: frozenset[str] = frozenset()  # ids of the members of the followed cluster
        self.leader = ""
        self.member = ""  # the voter in use
        self.following = ""  # the voter that sent the last entries; empty: none yet
        # ns; when the state was last known to be that of a leader with a majority
        self.leader_known_at: int | None = None
        self.random = Random(f"{name} {id}")
        self.closed = False
        self.task: Task = loop.spawn(self._run(), self._crashed)

    def _crashed(self, _: Exception) -> None:
        self.loop.after(MAX_ROUND_DELAY, self._restart)

    def _restart(self) -> None:
        if not self.closed:
            self.task = self.loop.spawn(self._run(), self._crashed)

    def age(self) -> int | None:
        """Time since the state was last known to be current, ns; None: not known."""
        return None if self.leader_known_at is None else max(0, self.loop.now() - self.leader_known_at)

    def close(self) -> None:
        """Stops following and closes the connection."""
        self.closed = True
        self.task.cancel()

    def _run(self) -> Coroutine[None]:
        next_voter, failed, delay = 0, 0, MIN_ROUND_DELAY
        while True:
            self.member, address = self.voters[next_voter % len(self.voters)]
            begun_at, why = self.loop.now(), ""
            try:
                connection, _ = yield from dial(self.loop, address, self.hello, self.loop.now() + SECOND)
                try:
                    yield from self._follow(connection)
                finally:
                    connection.close()
            except ConnectError:
                why = "not reachable"
            except TimedOut:
                why = "no response in time"
            except (OSError, LoftweirError) as error:
                why = str(error) or type(error).__name__
            self.following = ""
            emit(REPLICATION_LOST, member=self.member, why=why)
            next_voter += 1
            if self.loop.now() - begun_at > self.options.follow_wait + RESPONSE_GRACE:
                failed, delay = 0, MIN_ROUND_DELAY  # this voter worked for a while
            failed += 1
            if failed % len(self.voters):
                pause = self.random.randrange(MAX_SWITCH_DELAY)
            else:
                pause = delay // 2 + self.random.randrange(delay)
                delay = min(2 * delay, MAX_ROUND_DELAY)
            yield Wait(None, 0, self.loop.now() + pause)

    def _follow(self, connection: FrameConnection) -> Coroutine[None]:
        """Sends one poll after another until one fails."""
        first = True
        while True:
            # The first poll does not wait, so that a useless voter is noticed soon.
            wait = 0 if first else self.options.follow_wait
            after = self.machine.index
            connection.put(FollowRequest(after, wait))
            response = yield from self._read_frame(connection, wait + RESPONSE_GRACE)
            if not isinstance(response, FollowResponse):
                raise Gap(f"not a FollowResponse: {type(response).__name__}", self.member)
            yield from self._apply_response(connection, response, after)
            if first:
                self.following = self.member
                emit(REPLICATION_FOLLOWS, member=self.member, index=self.machine.index, behind=response.index - after)
            first = False

    def _read_frame(self, connection: FrameConnection, within: int) -> Coroutine[Frame]:
        return (yield from connection.next(self.loop.now() + within))

    def _apply_response(self, connection: FrameConnection, response: FollowResponse, after: int) -> Coroutine[None]:
        members = frozenset(response.members)
        if response.after != after:
            raise Gap(f"entries after {response.after}, where those after {after} were requested", self.member)
        if self.members and members and not self.members & members:
            emit(REPLICATION_LOST, member=self.member, why=OtherCopies("all members differ", self.member))
            yield from self._fetch_snapshot(connection, may_be_older=True)
            return
        if response.index < after:
            if not response.leads:
                raise Behind(f"at index {response.index}, behind {after}", self.member)
            error = OtherCopies(
                f"its leader is at index {response.index}, and {after} was received before", self.member
            )
            emit(REPLICATION_LOST, member=self.member, why=error)
            yield from self._fetch_snapshot(connection, may_be_older=True)
            return
        if response.whole:
            yield from self._fetch_snapshot(connection, may_be_older=False)
            return
        if not response.entries and (
            response.age is None or response.age > MAX_LEADERLESS_ELECTIONS * self.options.election
        ):
            raise Behind("without a leader", self.member)
        for entry in response.entries:
            if entry.index != self.machine.index + 1:
                raise Gap(f"entry {entry.index} after {self.machine.index}", self.member)
            if entry.data:
                self.machine.apply(entry.index, entry.data)
            else:
                self.machine.skip(entry.index)
        if self.machine.index != response.index:
            raise Gap(f"the entries up to {response.index} end at {self.machine.index}", self.member)
        self._record_leader(response, members)
        if response.entries:
            self.applied()

    def _record_leader(self, response: FollowResponse | SnapshotChunk, members: frozenset[str]) -> None:
        self.leader, self.members = response.leader, members or self.members
        if response.age is not None:
            self.leader_known_at = max(self.leader_known_at or 0, self.loop.now() - response.age)

    def _fetch_snapshot(self, connection: FrameConnection, may_be_older: bool) -> Coroutine[None]:
        """Fetches a snapshot chunk by chunk. `may_be_older`: its index may be below the current one."""
        index, data = 0, bytearray()
        while True:
            connection.put(FetchSnapshot(index, len(data)))
            chunk = yield from self._read_frame(connection, CHUNK_TIMEOUT)
            if not isinstance(chunk, SnapshotChunk) or chunk.size > MAX_SNAPSHOT_SIZE:
                raise Gap(f"not a chunk of a snapshot: {type(chunk).__name__}", self.member)
            if chunk.index != index or chunk.at == 0:
                index, data = chunk.index, bytearray()  # a newer snapshot
            if chunk.at != len(data) or (not chunk.data and chunk.size > len(data)):
                raise Gap(f"a chunk from byte {chunk.at}, where {len(data)} was requested", self.member)
            data += chunk.data
            if len(data) >= chunk.size:
                break
        machine = Machine.load(bytes(data)) if data else Machine()
        if machine.index != index or (machine.index < self.machine.index and not may_be_older):
            raise Behind(f"the snapshot is of index {machine.index}, behind {self.machine.index}", self.member)
        self.machine = machine
        self._record_leader(chunk, frozenset(chunk.members))
        self.applied()
