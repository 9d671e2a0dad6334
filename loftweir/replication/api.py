"""What goes into the core of the copies and what comes out: entries, members, events, actions, messages.

All times are integer nanoseconds on a clock that only goes forward. The types carry no behaviour. Terms are those of
the Raft paper (Ongaro and Ousterhout, 2014) and of Ongaro's dissertation (2014); a section is named where one is meant.

A member is an id, made at random when its disk is begun; its name is the seat that it takes at the site. Who lost the
disk has another id, and is so another member: nothing said to the old one is taken by it, and it can't vote twice.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is kept or sent as msgpack; unknown fields and other types are turned away when it is read."""


# ---- what is kept -------------------------------------------------------------------------------


class Member(StrictStruct, frozen=True):
    id: str
    name: str  # the seat
    address: str  # where it listens for members, callers and followers, host:port
    votes: bool = True  # False: it gets the log and is not counted (dissertation, 4.2.1)


class EntryKind(Enum):
    NOOP = "noop"  # a leader's first of its term: all before it are committed with it
    MEMBERS = "members"  # all the members from here on, in msgpack; in force once it is in the log, not once committed
    WRITE = "write"  # a command for the machine


class Entry(StrictStruct, frozen=True):
    index: int  # from 1 on, without gap
    term: int
    kind: EntryKind
    data: bytes = b""


class HardState(StrictStruct, frozen=True):
    """Kept over a crash, before anything said in the term leaves."""

    term: int = 0
    vote: str = ""  # the id voted for in that term; empty: none


class Snapshot(StrictStruct, frozen=True):
    """The machine as of an index, in place of all entries up to it."""

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes


class PersistentState(StrictStruct, frozen=True):
    """What a disk holds at the start."""

    hard: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()  # behind the snapshot, without gap


# ---- messages from member to member -------------------------------------------------------------


class Message(StrictStruct, frozen=True, kw_only=True):
    sender: str  # ids
    to: str
    term: int


class RequestVote(Message, frozen=True, kw_only=True, tag="ask-vote"):
    last_index: int
    last_term: int
    pre: bool  # a question only, for the term after the asker's: it is not entered, no vote given (dissertation, 9.6)
    handed: bool = False  # the leader itself said `LeadNow`: heard though a leader is well (dissertation, 4.2.3)


class RequestVoteResponse(Message, frozen=True, kw_only=True, tag="vote"):
    granted: bool
    pre: bool


class AppendEntries(Message, frozen=True, kw_only=True, tag="append"):
    """Entries, or none: a sign of life."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int  # grows with each: an answer to a later round proves the leadership of an earlier read


class AppendEntriesResponse(Message, frozen=True, kw_only=True, tag="appended"):
    ok: bool
    match: int  # ok: stable up to there; else: the leader should try from behind there
    round: int


class InstallSnapshot(Message, frozen=True, kw_only=True, tag="piece"):
    """A piece of a snapshot, for a member too far behind the log (paper, 7)."""

    index: int
    index_term: int
    members: tuple[Member, ...]
    at: int  # byte of the data
    data: bytes
    size: int  # of the whole data
    round: int


class InstallSnapshotResponse(Message, frozen=True, kw_only=True, tag="taken"):
    index: int
    upto: int  # bytes held of it; the whole size: it is stable and in force
    round: int


class TimeoutNow(Message, frozen=True, kw_only=True, tag="lead-now"):
    """From a leader that is about to end: stand for election at once (dissertation, 3.10)."""


AnyMessage = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
)


# ---- events -------------------------------------------------------------------------------------


class Tick(StrictStruct, frozen=True):
    """The time that `Core.next_at` named has come, or any other: it does no harm."""


class MessageReceived(StrictStruct, frozen=True):
    message: AnyMessage


class BatchSynced(StrictStruct, frozen=True):
    """All batches up to this one are on stable storage."""

    batch: int


class StorageBroken(StrictStruct, frozen=True):
    """The storage failed; nothing after the last `Stable` may be trusted, nor tried again. The core ends."""

    why: str


class WriteRequest(StrictStruct, frozen=True):
    token: int
    data: bytes


class ReadRequest(StrictStruct, frozen=True):
    """A read that sees all that was promised before it was asked (dissertation, 6.4)."""

    token: int


class MembershipChange(StrictStruct, frozen=True):
    """Other members from now on; at most one voter more or less than those in force (dissertation, 4.1)."""

    token: int
    members: tuple[Member, ...]


class CompactLog(StrictStruct, frozen=True):
    """The machine as of an applied index: the entries up to it may go."""

    index: int
    data: bytes


class TransferLeadership(StrictStruct, frozen=True):
    """This process is about to end: let another lead."""


Event = (
    Tick
    | MessageReceived
    | BatchSynced
    | StorageBroken
    | WriteRequest
    | ReadRequest
    | MembershipChange
    | CompactLog
    | TransferLeadership
)


# ---- actions, in order --------------------------------------------------------------------------


class PersistBatch(StrictStruct, frozen=True):
    """To stable storage, in order of batches; `Stable` follows. `cut`: first drop entries from this index on."""

    batch: int
    hard: HardState | None = None
    cut: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None  # in place of every entry up to its index
    all_gone: bool = False  # ... and of every entry behind it too


class SendMessage(StrictStruct, frozen=True):
    """A message that leaves once batch `after` is stable; 0: at once. Lost ones are sent anew by the core."""

    message: AnyMessage
    after: int = 0


class ApplyEntries(StrictStruct, frozen=True):
    """Committed entries for the machine, in order, each exactly once in the life of a process."""

    entries: tuple[Entry, ...]


class RestoreSnapshot(StrictStruct, frozen=True):
    """The machine is this snapshot now; what was applied before is in it."""

    snapshot: Snapshot


class RequestCompleted(StrictStruct, frozen=True):
    """A write or change is committed, at this index; its `Apply` came before. Or a read may be answered from the
    machine as it is now (all up to `index` was applied before)."""

    token: int
    index: int


class RejectionReason(Enum):
    NOT_LEADER = "not_leader"  # never in the log: nothing happened
    LOST = "lost"  # it was in this leader's log, and it may be committed yet: the outcome is not known
    BUSY = "busy"  # too much is under way, or another change of members is: nothing happened
    UNFIT = "unfit"  # a change of members that is not one step, or of too many


class RequestRejected(StrictStruct, frozen=True):
    token: int
    why: RejectionReason


class Role(Enum):
    FOLLOWER = "follower"
    ASKING = "asking"  # pre-vote
    CANDIDATE = "candidate"
    LEADER = "leader"
    OUT = "out"  # not a member (not yet, or no more), or ended by its storage


class StatusChanged(StrictStruct, frozen=True):
    """Role, term, leader or members are others now."""

    role: Role
    term: int
    leader: str  # an id; empty: not known
    members: tuple[Member, ...]


class TakeSnapshot(StrictStruct, frozen=True):
    """The log is long: `Compact` is wanted, of what is applied now."""


Action = (
    PersistBatch
    | SendMessage
    | ApplyEntries
    | RestoreSnapshot
    | RequestCompleted
    | RequestRejected
    | StatusChanged
    | TakeSnapshot
)


class Timing(StrictStruct, frozen=True):
    """What the core's waits are, ns."""

    beat: int = 100_000_000  # of a leader, at least
    election: int = 500_000_000  # without a leader, from this to twice as long, at random, until a member stands
    # A leader that has not heard from a majority for `election` is none: it answers nothing and steps down.
    log_entries: int = 4096  # applied in the log, over which a snapshot is wanted
    log_bytes: int = 16 * 1024 * 1024  # ... or so many bytes of them
    keep_behind: int = 512  # entries left behind a snapshot, for members a little behind; half of `log_bytes` at most
    append_bytes: int = 256 * 1024  # of entries in one message
    piece_bytes: int = 64 * 1024  # of a snapshot in one
    under_way: int = 4096  # writes and reads not answered yet
