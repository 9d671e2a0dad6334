"""Types of the consensus core: entries, members, messages, events and actions.

All times are integer nanoseconds of a monotonic clock. The types have no behaviour. The terms are those of the Raft
paper (Ongaro and Ousterhout, 2014) and of Ongaro's dissertation (2014); comments name the section that they refer to.

A member is identified by a random id, which is generated when its storage is initialized; its name is the configured
slot that it fills. A sidecar that has lost its storage gets another id and is therefore another member: it does not
accept messages to the old one, and it can't vote twice in a term.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the types that are stored or sent as msgpack; decoding rejects unknown fields and wrong types."""


# ---- stored data --------------------------------------------------------------------------------


class Member(StrictStruct, frozen=True):
    """One member of the cluster."""

    id: str
    name: str  # the slot's name
    address: str  # host:port where it accepts connections of members, proposers and observers
    votes: bool = True  # False: a learner, which receives the log but is not counted (dissertation, 4.2.1)


class EntryKind(Enum):
    """What a log entry contains."""

    NOOP = "noop"  # the first entry of a leader's term; once it is committed, so are all before it
    MEMBERS = "members"  # all members from this index on, as msgpack; effective once in the log, before it is committed
    WRITE = "write"  # a command for the state machine


class Entry(StrictStruct, frozen=True):
    """One entry of the log."""

    index: int  # from 1, without gaps
    term: int
    kind: EntryKind
    data: bytes = b""


class HardState(StrictStruct, frozen=True):
    """The persistent state of a term. It must be on stable storage before any message of the term is sent."""

    term: int = 0
    vote: str = ""  # the id of the candidate voted for in this term; empty: none


class Snapshot(StrictStruct, frozen=True):
    """The state machine at an index. It replaces all log entries up to that index."""

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes


class PersistentState(StrictStruct, frozen=True):
    """What is on stable storage when a process starts."""

    hard: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()  # after the snapshot, without gaps


# ---- messages between members -------------------------------------------------------------------


class Message(StrictStruct, frozen=True, kw_only=True):
    """Base of the messages between members."""

    sender: str  # `sender` and `to` are member ids
    to: str
    term: int


class RequestVote(Message, frozen=True, kw_only=True, tag="ask-vote"):
    """A candidate's or pre-candidate's request for a vote (paper, 5.2)."""

    last_index: int
    last_term: int
    pre: bool  # a pre-vote for the term after the sender's: no term is entered and no vote is cast (dissertation, 9.6)
    handed: bool = False  # the leader sent `TimeoutNow`: considered even while a leader is alive (dissertation, 4.2.3)


class RequestVoteResponse(Message, frozen=True, kw_only=True, tag="vote"):
    """The answer to a `RequestVote`."""

    granted: bool
    pre: bool


class AppendEntries(Message, frozen=True, kw_only=True, tag="append"):
    """Log entries, or a heartbeat if there are none."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int  # increases with each message; a response to a later round confirms the leadership for an earlier read


class AppendEntriesResponse(Message, frozen=True, kw_only=True, tag="appended"):
    """The answer to an `AppendEntries`."""

    ok: bool
    match: int  # if ok: the log is stable up to this index; else: the index after which the leader should retry
    round: int


class InstallSnapshot(Message, frozen=True, kw_only=True, tag="piece"):
    """One chunk of a snapshot, for a member that needs entries which the leader has compacted (paper, 7)."""

    index: int
    index_term: int
    members: tuple[Member, ...]
    at: int  # offset of the chunk in bytes
    data: bytes
    size: int  # of the whole snapshot in bytes
    round: int


class InstallSnapshotResponse(Message, frozen=True, kw_only=True, tag="taken"):
    """The answer to an `InstallSnapshot`."""

    index: int
    upto: int  # bytes received so far; if all: the snapshot is stable and installed
    round: int


class TimeoutNow(Message, frozen=True, kw_only=True, tag="lead-now"):
    """From a leader that is about to stop: start an election at once (dissertation, 3.10)."""


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
    """The time given by `Core.next_at` has come. A `Tick` at any other time does no harm."""


class MessageReceived(StrictStruct, frozen=True):
    """A message of another member has arrived."""

    message: AnyMessage


class BatchSynced(StrictStruct, frozen=True):
    """All batches up to this one are on stable storage."""

    batch: int


class StorageBroken(StrictStruct, frozen=True):
    """The storage failed. Nothing after the last `BatchSynced` may be relied on or retried; the core stops."""

    why: str


class WriteRequest(StrictStruct, frozen=True):
    """Append a command to the log; answered by `RequestCompleted` or `RequestRejected` with the same token."""

    token: int
    data: bytes


class ReadRequest(StrictStruct, frozen=True):
    """A linearizable read: it sees every write that was acknowledged before the request (dissertation, 6.4)."""

    token: int


class MembershipChange(StrictStruct, frozen=True):
    """Replaces the members. The voters may differ by one at most from the current ones (dissertation, 4.1)."""

    token: int
    members: tuple[Member, ...]


class CompactLog(StrictStruct, frozen=True):
    """The state machine's snapshot at an applied index; entries up to it may be discarded."""

    index: int
    data: bytes


class TransferLeadership(StrictStruct, frozen=True):
    """This process is about to stop: another member should lead."""


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
    """Write to stable storage, in the order of the batches; `BatchSynced` follows. `cut`: first remove the entries from
    this index on.
    """

    batch: int
    hard: HardState | None = None
    cut: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None  # replaces every entry up to its index
    all_gone: bool = False  # the snapshot replaces also every entry after its index


class SendMessage(StrictStruct, frozen=True):
    """Send a message once batch `after` is on stable storage; 0: at once. The core retransmits lost messages."""

    message: AnyMessage
    after: int = 0


class ApplyEntries(StrictStruct, frozen=True):
    """Committed entries for the state machine, in order, each exactly once in the life of a process."""

    entries: tuple[Entry, ...]


class RestoreSnapshot(StrictStruct, frozen=True):
    """Replace the state machine by this snapshot, which includes everything that was applied before."""

    snapshot: Snapshot


class RequestCompleted(StrictStruct, frozen=True):
    """A write or membership change is committed at this index, and its `ApplyEntries` came before. Or a read may be
    answered from the current state machine, to which everything up to `index` has been applied.
    """

    token: int
    index: int


class RejectionReason(Enum):
    """Why a request was rejected."""

    NOT_LEADER = "not_leader"  # never in the log: nothing happened
    LOST = "lost"  # was in this leader's log and may still be committed: the outcome is not known
    BUSY = "busy"  # too many requests are pending, or another membership change is: nothing happened
    UNFIT = "unfit"  # a membership change of more than one step, or with too many members


class RequestRejected(StrictStruct, frozen=True):
    """A write, read or membership change was not done."""

    token: int
    why: RejectionReason


class Role(Enum):
    """This member's role in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # asks for pre-votes
    CANDIDATE = "candidate"
    LEADER = "leader"
    OUT = "out"  # not a member (not yet, or no longer), or stopped by a storage failure


class StatusChanged(StrictStruct, frozen=True):
    """The role, term, leader or members have changed."""

    role: Role
    term: int
    leader: str  # an id; empty: not known
    members: tuple[Member, ...]


class TakeSnapshot(StrictStruct, frozen=True):
    """The log has grown long: send a `CompactLog` of the state that is applied now."""


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
    """Intervals (ns) and size limits of the core."""

    heartbeat_interval: int = 100_000_000  # of a leader to each member, at least

    # A member starts an election after a random time of one to two timeouts without a leader. A leader that has not
    # heard from a majority for one timeout is none: it answers nothing and steps down.
    election_timeout: int = 500_000_000

    snapshot_after_entries: int = 4096  # applied entries in the log after which a snapshot is requested
    snapshot_after_bytes: int = 16 * 1024 * 1024  # applied bytes in the log after which a snapshot is requested

    # Entries kept in the log behind a snapshot, for members that lag a little; at most half of `snapshot_after_bytes`.
    trailing_entries: int = 512

    max_append_bytes: int = 256 * 1024  # entries in one AppendEntries
    snapshot_chunk_bytes: int = 64 * 1024  # snapshot data in one InstallSnapshot
    max_pending_requests: int = 4096  # writes and reads that are not answered yet
