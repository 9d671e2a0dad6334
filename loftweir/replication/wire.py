"""Frames on a connection of the copies: 4 bytes length, 4 bytes crc32 of what follows, and that in msgpack. Pure.

Nothing but the types here and the messages of `api` is ever decoded. `Hello` comes first from both sides; a foreign
version or cluster is turned away with a word that says why. All times are nanoseconds; all ages are of the sender's
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

VERSION = 1  # of the frames; another one is turned away
FRAME_HEADER = struct.Struct(">II")
MAX_HELLO_SIZE = 4 * 1024  # bytes of the first frame of either side: who has not said who it is gets no room
MAX_FRAME_SIZE = 2 * 1024 * 1024  # of any other; an entry has half of it at most


class BadFrame(LoftweirError):
    """What came on a connection of the copies is no frame of this version: damaged, too large or of another program."""

    remedy = (
        "Look at who connects there (`replication.turned_away`); only sidecars of this version may name the address."
    )


class TurnedAway(LoftweirError):
    """A sidecar of the copies would not speak with this one."""

    remedy = (
        "Give all sidecars the same version, `replication.cluster` and `replication.members`; where it is full, raise "
        "`replication.callers`."
    )


class ConnectionKind(Enum):
    """Who connects."""

    MEMBER = "member"  # its messages go one way here; answers come over a connection of the other's
    CALLER = "caller"  # questions and writes, each answered
    FOLLOWER = "follower"


class RejectReason(Enum):
    """Why somebody is turned away."""

    VERSION = "another version"
    CLUSTER = "another cluster"
    FORM = "no frame of this version"
    ANOTHER_ID = "another id is here"
    FULL = "as many as may be are served"
    NOT_LISTED = "not among replication.members"
    SEAT_HELD = "the member in this seat was heard from just now"
    LISTS_DIFFER = "replication.members is another there"
    ENDED = "it takes no part any more"


class Hello(StrictStruct, frozen=True, tag="hello"):
    version: int
    cluster: str
    id: str
    name: str
    kind: ConnectionKind


class ConnectionRejected(StrictStruct, frozen=True, tag="turned"):
    why: RejectReason
    about: str = ""  # what is there instead


# ---- founding, joining, leaving -----------------------------------------------------------------


class StatusRequest(StrictStruct, frozen=True, tag="who"):
    """How do you stand? From one whose disk is empty, or who hears from no leader."""

    names: tuple[str, ...]  # that the asker has listed


class StatusResponse(StrictStruct, frozen=True, tag="am"):
    empty: bool  # nothing was ever kept, and the lists are the same: the asker may count on this id to begin with
    agrees: bool  # the lists are the same
    at: str  # where it listens, by its own list
    leader: str  # a name; empty: not known
    address: str  # of the leader, as the members have it
    members: tuple[Member, ...]
    sure: bool = False  # it leads, and its members are committed: none of them may come back to what was before


class JoinRequest(StrictStruct, frozen=True, tag="join"):
    """To the leader, again and again, each time one step on: the old id of the seat out, the new one in as one that
    gets the log, and as one that votes once it has nearly all of it."""

    id: str
    name: str
    address: str


class JoinResponse(StrictStruct, frozen=True, tag="joined"):
    votes: bool  # it is done
    on: bool  # a step was made, or one is under way
    why: str = ""  # else
    leader: str = ""
    address: str = ""


class RemoveMember(StrictStruct, frozen=True, tag="remove"):
    """Takes the member in a seat out; answered by an `Outcome`."""

    token: int
    name: str


# ---- writes and reads ---------------------------------------------------------------------------


class OutcomeCode(Enum):
    """How a write or read went."""

    DONE = "done"
    NOT_LEADER = "not_leader"  # never in the log; `leader` is to be asked
    BUSY = "busy"  # never in the log; to be tried again
    UNFIT = "unfit"  # never in the log, nor will it ever be; `result` says why in words
    LOST = "lost"  # in the log of one that led, and not known to be committed


class SubmitCommand(StrictStruct, frozen=True, tag="submit"):
    token: int
    order: bytes


class CommandOutcome(StrictStruct, frozen=True, tag="outcome"):
    token: int
    how: OutcomeCode
    index: int = 0
    result: bytes = b""  # of the machine
    leader: str = ""
    address: str = ""


class OverrideQuery(StrictStruct, frozen=True, tag="word-of"):
    name: str


class LeaseQuery(StrictStruct, frozen=True, tag="lease-of"):
    duty: str


class FencedValueQuery(StrictStruct, frozen=True, tag="fact-of"):
    duty: str
    key: str


Query = OverrideQuery | LeaseQuery | FencedValueQuery


class QueryRequest(StrictStruct, frozen=True, tag="ask"):
    token: int
    query: Query


class QueryResponse(StrictStruct, frozen=True, tag="answer"):
    """`sure`: it is as of some moment since it was asked. Else it is what is held here, as old as `age` says."""

    token: int
    how: OutcomeCode
    sure: bool = False
    index: int = 0
    age: int | None = None
    value: bytes = b""  # msgpack: what the machine holds, or nil
    leader: str = ""
    address: str = ""


# ---- news ---------------------------------------------------------------------------------------


class FollowRequest(StrictStruct, frozen=True, tag="follow"):
    """What is committed behind an index? Answered as soon as there is something, else when the wait is over."""

    after: int
    wait: int


class CommittedEntry(StrictStruct, frozen=True, tag="told"):
    """A committed entry; none but a write has data."""

    index: int
    data: bytes


class FollowResponse(StrictStruct, frozen=True, tag="news"):
    after: int  # as it was asked
    index: int  # applied there; below `after`: this one is behind who asks
    age: int | None  # since it last knew a leader with a majority; None: never
    leads: bool  # a majority has just said that it leads: nothing that was promised is behind its index
    leader: str  # a name
    members: tuple[str, ...]  # ids
    entries: tuple[
        CommittedEntry, ...
    ]  # from behind `after` without gap; empty where only the whole helps, or none is there
    whole: bool  # only the whole helps


class FetchSnapshot(StrictStruct, frozen=True, tag="fetch"):
    """A piece of the machine as a whole, as of an index; another index than is held there: from its beginning."""

    index: int
    at: int


class SnapshotChunk(StrictStruct, frozen=True, tag="whole"):
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
    body = _encoder.encode(frame)
    return FRAME_HEADER.pack(len(body), crc32(body)) + body


class FrameReader:
    """Frames out of bytes as they come.

    Invariant: `data` from `at` on is what has come and is in no frame yet; it holds less than one largest frame and
    one read more, as each read is followed by taking out all frames."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.at = 0
        self.first = True

    @property
    def more(self) -> bool:
        """Whether there are bytes that are in no frame yet."""
        return len(self.data) > self.at

    def feed(self, data: bytes) -> None:
        del self.data[: self.at]
        self.at = 0
        self.data += data

    def next(self) -> Frame | None:
        """The next whole frame; None where more bytes are needed. Raises `BadFrame`, and then nothing more can be
        read."""
        begins = self.at + FRAME_HEADER.size
        if len(self.data) < begins:
            return None
        size, checksum = FRAME_HEADER.unpack_from(self.data, self.at)
        most = MAX_HELLO_SIZE if self.first else MAX_FRAME_SIZE
        if size > most:
            raise BadFrame(f"a frame of {size} bytes, where {most} are the most")
        if len(self.data) < begins + size:
            return None
        body = bytes(memoryview(self.data)[begins : begins + size])
        if crc32(body) != checksum:
            raise BadFrame("a frame whose checksum is another")
        try:
            frame: Frame = _decoder.decode(body)
        except (ValueError, RecursionError) as error:  # msgspec's errors are kinds of the first
            raise BadFrame(f"not a frame: {error}") from None
        self.at = begins + size
        self.first = False
        return frame

    def all(self) -> Iterator[Frame]:
        while (frame := self.next()) is not None:
            yield frame


def hello_rejection(hello: Hello, cluster: str) -> ConnectionRejected | None:
    """What is said to one that must not speak here; None: it may."""
    if hello.version != VERSION:
        return ConnectionRejected(RejectReason.VERSION, str(VERSION))
    if hello.cluster != cluster:
        return ConnectionRejected(RejectReason.CLUSTER, cluster)
    return None
