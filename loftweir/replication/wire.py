"""Frames on a connection between sidecars: 4 bytes length, 4 bytes crc32 of the body, and the body in msgpack. No I/O.

Only the types here and the messages of `api` are ever decoded. Each side sends `Hello` first; a connection of another
version or cluster is rejected with the reason. All times are nanoseconds, and all ages are measured by the sender's
clock, so that no two clocks are compared.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import Enum
from zlib import crc32

import msgspec

from loftweir.errors import LoftweirError
from loftweir.replication.api import AnyMessage, Member, StrictStruct

VERSION = 1  # of the frames; connections of another version are rejected
FRAME_HEADER = struct.Struct(">II")
# Bytes of the first frame of either side: a peer that has not identified itself gets no more buffer.
MAX_HELLO_SIZE = 4 * 1024
MAX_FRAME_SIZE = 2 * 1024 * 1024  # bytes of any other frame; an entry has half of it at most


class BadFrame(LoftweirError):
    """The bytes received on a connection are no frame of this version: damaged, too large, or of another program."""

    remedy = "Check who connects to this address (`replication.turned_away`); only sidecars of this version may use it."


class TurnedAway(LoftweirError):
    """A member rejected this sidecar's connection."""

    remedy = (
        "Use the same version, `replication.cluster` and `replication.members` on all sidecars; if the member is full, "
        "raise `replication.callers`."
    )


class ConnectionKind(Enum):
    """The role of the side that opens a connection."""

    MEMBER = "member"  # sends messages; the responses arrive on the connection that the other member opens
    CALLER = "caller"  # sends queries and commands, each of which is answered
    FOLLOWER = "follower"


class RejectReason(Enum):
    """Why a connection or a request to join is rejected."""

    VERSION = "another version"
    CLUSTER = "another cluster"
    FORM = "no frame of this version"
    ANOTHER_ID = "another id is here"
    FULL = "as many as may be are served"
    NOT_LISTED = "not among replication.members"
    SLOT_TAKEN = "the member in this seat was heard from just now"
    JUST_REMOVED = "the member was removed just now"
    LISTS_DIFFER = "replication.members is another there"
    ENDED = "it takes no part any more"


class Hello(StrictStruct, frozen=True, tag="hello"):
    """The first frame of each side of a connection."""

    version: int
    cluster: str
    id: str
    name: str
    kind: ConnectionKind


class ConnectionRejected(StrictStruct, frozen=True, tag="turned"):
    """The last frame of a connection that is rejected."""

    why: RejectReason
    about: str = ""  # the value on the rejecting side


# ---- founding, joining, leaving -----------------------------------------------------------------


class StatusRequest(StrictStruct, frozen=True, tag="who"):
    """Asks for a member's status. Sent by a member with empty storage, or without a leader."""

    names: tuple[str, ...]  # the member names in the sender's configuration


class StatusResponse(StrictStruct, frozen=True, tag="am"):
    """A member's status."""

    empty: bool  # the storage was never used, and both lists are equal: the cluster may be founded with this id
    agrees: bool  # both lists of member names are equal
    at: str  # its own address by its own list
    leader: str  # a name; empty: not known
    address: str  # of the leader, as in the members
    members: tuple[Member, ...]
    # it leads and its members are committed, so that none of them can return to an earlier membership
    sure: bool = False


class JoinRequest(StrictStruct, frozen=True, tag="join"):
    """Asks the leader for the next step of joining, and is sent until the last one is done: the old id of the slot is
    removed, the new one is added as a learner, and it becomes a voter once it has nearly the whole log.
    """

    id: str
    name: str
    address: str


class JoinResponse(StrictStruct, frozen=True, tag="joined"):
    """The leader's answer to a `JoinRequest`."""

    votes: bool  # joining is complete
    on: bool  # a step was made or is pending
    why: str = ""  # otherwise: the reason
    leader: str = ""
    address: str = ""


class RemoveMember(StrictStruct, frozen=True, tag="remove"):
    """Removes the member in a slot; answered by a `CommandOutcome`."""

    token: int
    name: str


def no_such_member(name: str) -> bytes:
    """The result with which a leader rejects the removal of a member that is not there."""
    return f"no member has the name {name}".encode()


# ---- writes and reads ---------------------------------------------------------------------------


class OutcomeCode(Enum):
    """The result of a write or read request."""

    DONE = "done"
    NOT_LEADER = "not_leader"  # never in the log; `leader` should be asked
    BUSY = "busy"  # never in the log; should be tried again
    UNFIT = "unfit"  # never in the log, and never will be; `result` has the reason as text
    LOST = "lost"  # in the log of a former leader, and not known to be committed


class SubmitCommand(StrictStruct, frozen=True, tag="submit"):
    """Submits a command (`machine.Command` as msgpack) for the log; answered by a `CommandOutcome`."""

    token: int
    order: bytes


class CommandOutcome(StrictStruct, frozen=True, tag="outcome"):
    """The result of a `SubmitCommand` or `RemoveMember`."""

    token: int
    how: OutcomeCode
    index: int = 0
    result: bytes = b""  # of the state machine
    leader: str = ""
    address: str = ""


class OverrideQuery(StrictStruct, frozen=True, tag="word-of"):
    """The override of a provider."""

    name: str


class LeaseQuery(StrictStruct, frozen=True, tag="lease-of"):
    """A lease."""

    duty: str


class FencedValueQuery(StrictStruct, frozen=True, tag="fact-of"):
    """A fenced value."""

    duty: str
    key: str


Query = OverrideQuery | LeaseQuery | FencedValueQuery


class QueryRequest(StrictStruct, frozen=True, tag="ask"):
    """A query of the state machine; answered by a `QueryResponse`."""

    token: int
    query: Query


class QueryResponse(StrictStruct, frozen=True, tag="answer"):
    """With `sure` the value is linearizable: current at some moment after the request. Otherwise it is the member's
    local state, with its `age`.
    """

    token: int
    how: OutcomeCode
    sure: bool = False
    index: int = 0
    age: int | None = None
    value: bytes = b""  # msgpack: the value in the state machine, or nil
    leader: str = ""
    address: str = ""


# ---- observers ----------------------------------------------------------------------------------


class FollowRequest(StrictStruct, frozen=True, tag="follow"):
    """Asks for the committed entries after an index. Answered as soon as there are any, else when the wait
    has passed.
    """

    after: int
    wait: int


class CommittedEntry(StrictStruct, frozen=True, tag="told"):
    """A committed entry; only writes have data."""

    index: int
    data: bytes


class FollowResponse(StrictStruct, frozen=True, tag="news"):
    """The committed entries that an observer asked for."""

    after: int  # as in the request
    index: int  # the last index included here; below `after`: this member is behind the observer
    age: int | None  # since it last knew of a leader with a majority; None: never
    leads: bool  # a majority has just confirmed that it leads: nothing acknowledged is after its index
    leader: str  # a name
    members: tuple[str, ...]  # ids
    entries: tuple[
        CommittedEntry, ...
    ]  # after `after` without gaps; empty if a snapshot is needed, or if there are none
    whole: bool  # a snapshot is needed


class FetchSnapshot(StrictStruct, frozen=True, tag="fetch"):
    """Asks for a chunk of the snapshot with this index. If the member has another one, it starts at its beginning."""

    index: int
    at: int


class SnapshotChunk(StrictStruct, frozen=True, tag="whole"):
    """A chunk of the latest snapshot."""

    index: int
    at: int
    data: bytes
    size: int
    age: int | None
    leader: str
    members: tuple[str, ...]


ServiceFrame = (
    Hello
    | ConnectionRejected
    | StatusRequest
    | StatusResponse
    | JoinRequest
    | JoinResponse
    | RemoveMember
    | SubmitCommand
    | CommandOutcome
    | QueryRequest
    | QueryResponse
    | FollowRequest
    | FollowResponse
    | FetchSnapshot
    | SnapshotChunk
)
Frame = ServiceFrame | AnyMessage

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """A frame with its header."""
    body = _encoder.encode(frame)
    return FRAME_HEADER.pack(len(body), crc32(body)) + body


class FrameReader:
    """Decodes frames from a byte stream.

    Invariant: `data` from `at` on are the bytes received that belong to no returned frame. They are less than one
    largest frame plus one read, as all frames are taken after each read.
    """

    def __init__(self) -> None:
        self.data = bytearray()
        self.at = 0
        self.first = True

    @property
    def more(self) -> bool:
        """Whether there are bytes that belong to no returned frame."""
        return len(self.data) > self.at

    def feed(self, data: bytes) -> None:
        """Adds received bytes, and discards those of the returned frames."""
        del self.data[: self.at]
        self.at = 0
        self.data += data

    def next(self) -> Frame | None:
        """The next complete frame; None if more bytes are needed. After a `BadFrame` nothing more can be decoded."""
        begins = self.at + FRAME_HEADER.size
        if len(self.data) < begins:
            return None
        size, checksum = FRAME_HEADER.unpack_from(self.data, self.at)
        most = MAX_HELLO_SIZE if self.first else MAX_FRAME_SIZE
        if size > most:
            raise BadFrame(f"a frame of {size} bytes; the limit is {most}")
        if len(self.data) < begins + size:
            return None
        body = bytes(memoryview(self.data)[begins : begins + size])
        if crc32(body) != checksum:
            raise BadFrame("a frame with a wrong checksum")
        try:
            frame: Frame = _decoder.decode(body)
        except (ValueError, RecursionError) as error:  # msgspec's errors are subclasses of ValueError
            raise BadFrame(f"not a frame: {error}") from None
        self.at = begins + size
        self.first = False
        return frame

    def all(self) -> Iterator[Frame]:
        """The complete frames that were not returned yet."""
        while (frame := self.next()) is not None:
            yield frame


def hello_rejection(hello: Hello, cluster: str) -> ConnectionRejected | None:
    """The rejection for a connection with this `Hello`; None: it is accepted."""
    if hello.version != VERSION:
        return ConnectionRejected(RejectReason.VERSION, str(VERSION))
    if hello.cluster != cluster:
        return ConnectionRejected(RejectReason.CLUSTER, cluster)
    return None
