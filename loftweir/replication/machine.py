"""The replicated state machine: overrides of providers, leases, fenced values and sessions. It depends on the log
alone.

Every replica applies the same entries and must reach the same state and the same results, whatever Python version it
runs on. There is therefore no clock here, no randomness, and nothing that differs between versions (the time `at` of an
override is given by its sender, and orders nothing). An invalid command yields a typed result whose text says what to
do; no command stops a member.

Exactly once: a command names its session and a number that increases within it. The last number of each session is
stored with its result (Ongaro's dissertation, 2014, 6.3), so that a retransmitted command is answered and not applied
again. An unknown session can only begin with number 1. A late copy of such a first command could begin its session a
second time after that was evicted; a command that states `since` can't: see `Command`.

Fencing: the token of a lease is the log index of its grant. Tokens thus only grow, across all leases, and the valid one
is the highest that was ever granted for its lease. A write under any other token is rejected (Gray and Cheriton,
"Leases", 1989; the tokens correspond to the sequencers of Burrows, "Chubby", 2006, 2.4).
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from loftweir.errors import LoftweirError
from loftweir.replication.api import StrictStruct

if TYPE_CHECKING:
    from loftweir.catalog.claims import Claims

VERSION = 1  # of the snapshot format
# The format of a snapshot with claims of names; one without claims is still written in the first version.
VERSION_WITH_CLAIMS = 2
SECOND = 1_000_000_000
MIB = 1024 * 1024

MAX_OVERRIDES = 10_000
MAX_LEASES = 1_000
MAX_FENCED_VALUES = 10_000
MAX_FENCED_BYTES = 64 * MIB  # all fenced values with their keys
MAX_VALUE_SIZE = MIB  # one fenced value, in bytes
MAX_SESSIONS = 4_096
MIN_TTL = SECOND
MAX_TTL = 3_600 * SECOND
MAX_CLAIM_SIZE = 64 * 1024  # one claim command, in bytes
MAX_COMMAND_SIZE = MAX_VALUE_SIZE + 16 * 1024  # one command as msgpack, in bytes
MAX_INT64 = 2**63 - 1
CLAIM_LEASE_PREFIX = "partner:"  # of the names of the leases under which names are claimed


class Foreign(LoftweirError):
    """A snapshot of the replicated state that this build can't read: it is of another version, or malformed."""

    remedy = (
        "Run the build that wrote it, or start this member with an empty folder: it gets the state from the others."
    )


# ---- commands -----------------------------------------------------------------------------------


class SetOverride(StrictStruct, frozen=True, tag="word"):
    """Disables or enables a provider for all sidecars."""

    name: str
    out: bool
    at: int  # Unix time by the sender's clock, ns; for display, and the start time of a provider that is enabled again


class AcquireLease(StrictStruct, frozen=True, tag="acquire"):
    """Acquires a lease if it is free. The holder's name identifies one run of one process and is never reused."""

    duty: str
    holder: str
    ttl: int  # ns


class RenewLease(StrictStruct, frozen=True, tag="renew"):
    """Renews a lease: the leader restarts its time to live at this entry."""

    duty: str
    holder: str
    token: int


class ReleaseLease(StrictStruct, frozen=True, tag="release"):
    """Releases a lease before its time to live has passed."""

    duty: str
    holder: str
    token: int


class ExpireLease(StrictStruct, frozen=True, tag="expire"):
    """Ends a lease whose time to live has passed by the leader's clock, without a renewal after the index `renewed`. A
    renewal that is in the log before this entry, but that the leader had not seen, keeps the lease: its holder got an
    Ok.
    """

    duty: str
    token: int
    renewed: int


class FencedWrite(StrictStruct, frozen=True, tag="fenced"):
    """Stores a value under a lease and key, if the token of the lease is valid. An empty value deletes the key."""

    duty: str
    token: int
    key: str
    value: bytes


class ClaimName(StrictStruct, frozen=True, tag="named"):
    """Changes a claim of a service's name, under the token of the lease on a partner's session. The sender has to check
    that the partner may claim this name: the mesh of a site is defined in the operators' file.
    """

    duty: str
    token: int
    act: bytes  # as encoded by `catalog.claims`; without a catalog the decoder is not imported


class EndSession(StrictStruct, frozen=True, tag="end-session"):
    """Ends a session: it accepts no more commands. Its leases remain, as they belong to holders and not to sessions."""

    session: str


Operation = SetOverride | AcquireLease | RenewLease | ReleaseLease | ExpireLease | FencedWrite | ClaimName | EndSession


class Command(StrictStruct, frozen=True):
    """One write. An `ExpireLease` has the empty session and number 0, as its token makes it harmless when it is applied
    twice; every other operation belongs to a session. A member accepts no command without a session from a proposer
    (`validate`).

    `since` is an index that the proposer knew of before it began the session (from any response; 0 if it knew none).
    With it, a first command can't be applied a second time after its session was evicted: an eviction raises
    `session_horizon` to the index at which the session began, which is above the `since` of its commands, and a session
    with a `since` below the horizon is not begun. A proposer that is rejected for this reason begins another session
    with the index of the rejection. So does one that gave up on command 1 before the response: number 2 of an unknown
    session is rejected.
    """

    session: str
    number: int  # from 1
    act: Operation
    since: int | None = None


# ---- results ------------------------------------------------------------------------------------


class Result(StrictStruct, frozen=True):
    """The result of a command, with the log index at which it was applied or rejected. `text` says what happened, and
    what to do.
    """

    index: int


class Ok(Result, frozen=True, tag="ok"):
    """The command was applied."""

    value: int = 0  # for a lease: its token

    @property
    def text(self) -> str:
        return f"done, at index {self.index}"


class LeaseHeld(Result, frozen=True, tag="held"):
    """Not granted, as the lease has a holder."""

    holder: str
    token: int

    @property
    def text(self) -> str:
        return (
            f"held by {self.holder} under token {self.token}: try again later; the lease ends when its holder releases "
            "it, or when its time to live has passed without a renewal"
        )


class LeaseNotHeld(Result, frozen=True, tag="not-held"):
    """The lease is not held under this token."""

    token: int

    @property
    def text(self) -> str:
        return f"no lease is held under token {self.token}: stop writing under it and acquire the lease again"


class StaleToken(Result, frozen=True, tag="lower"):
    """A newer token was granted for the lease."""

    token: int
    highest: int

    @property
    def text(self) -> str:
        return (
            f"token {self.token} is fenced off by the later token {self.highest}: another process holds the lease; "
            "stop writing under the old token"
        )


class InvalidCommand(Result, frozen=True, tag="unfit"):
    """A name, size or time is outside the allowed range."""

    # The session's last result is part of the state: another text here makes the replicas of two builds differ.
    what: str

    @property
    def text(self) -> str:
        return f"rejected: {self.what}; correct it, as the same command is always rejected"


class CapacityExceeded(Result, frozen=True, tag="full"):
    """The command would exceed a limit of the state."""

    what: str  # part of the state, as in `InvalidCommand`
    limit: int

    @property
    def text(self) -> str:
        return f"no room: at most {self.limit} {self.what} are stored; remove some first"


class UnreadableCommand(Result, frozen=True, tag="unreadable"):
    """The entry contains no command that this version knows. Nothing was changed."""

    @property
    def text(self) -> str:
        return "not a command of this version: run the same version on all members and proposers"


class StaleNumber(Result, frozen=True, tag="stale"):
    """A later command of the session was applied; whether this one was is not recorded."""

    last: int

    @property
    def text(self) -> str:
        return (
            f"command {self.last} of this session was already applied: read the current state, and continue with a "
            "higher number"
        )


class UnknownSession(Result, frozen=True, tag="unknown-session"):
    """The session has ended, was unused for long, or never began. The command was not applied now; it may have been
    before.
    """

    @property
    def text(self) -> str:
        return (
            "the session is unknown: read the current state, and begin another one with number 1 and since "
            f"{self.index}"
        )


AnyResult = (
    Ok
    | LeaseHeld
    | LeaseNotHeld
    | StaleToken
    | InvalidCommand
    | CapacityExceeded
    | UnreadableCommand
    | StaleNumber
    | UnknownSession
)

_command_decoder = msgspec.msgpack.Decoder(Command)
_result_decoder = msgspec.msgpack.Decoder(AnyResult)
_msgpack_encode = msgspec.msgpack.Encoder().encode


def encode(value: Command | AnyResult) -> bytes:
    """A command or result as msgpack."""
    return _msgpack_encode(value)


def decode_result(data: bytes) -> AnyResult:
    """Raises `msgspec.MsgspecError`."""
    result: AnyResult = _result_decoder.decode(data)
    return result


def _decode_command(data: bytes) -> Command | None:
    if len(data) > MAX_COMMAND_SIZE:
        return None
    try:
        return _command_decoder.decode(data)
    except (ValueError, RecursionError):  # msgspec's errors are subclasses of ValueError
        return None


def validate(data: bytes) -> AnyResult | None:
    """The result of a proposer's command that no state would accept (with index 0); None: it can go into the log. Only
    a leader's own commands have no session.
    """
    command = _decode_command(data)
    if command is None:
        return UnreadableCommand(0)
    return _validation_error(0, command) if command.session else InvalidCommand(0, "an order without a session")


# ---- the state ----------------------------------------------------------------------------------


class Override(NamedTuple):
    """The last override of one provider."""

    out: bool
    log_index: int  # of its entry; overrides are ordered by it
    at: int


class Lease(NamedTuple):
    """Valid until it is released or an `ExpireLease` is applied."""

    holder: str
    token: int  # the log index of its grant
    ttl: int
    renewed: int  # the log index of its grant or last renewal


class FencedValue(NamedTuple):
    """A value written under a lease."""

    value: bytes
    token: int  # under which it was written
    order: int


class Session(NamedTuple):
    """A proposer's session."""

    began_index: int
    last_used_index: int  # the log index of its last command, retransmissions included
    last_number: int  # the number of its last command
    last_result: AnyResult  # the result of its last command
    ended: bool


class _Dump(StrictStruct, frozen=True):
    version: int
    index: int
    thinned: int
    horizon: int
    words: list[tuple[str, Override]]  # in log order
    leases: list[tuple[str, Lease]]  # in the order of names
    facts: list[tuple[str, str, FencedValue]]  # in the order of names
    sessions: list[tuple[str, Session]]  # least recently used first


class _DumpWithClaims(_Dump, frozen=True):
    claims: msgspec.Raw


class _Version(msgspec.Struct):
    version: int


_dump_decoders: dict[int, msgspec.msgpack.Decoder[_Dump] | msgspec.msgpack.Decoder[_DumpWithClaims]] = {
    VERSION: msgspec.msgpack.Decoder(_Dump),
    VERSION_WITH_CLAIMS: msgspec.msgpack.Decoder(_DumpWithClaims),
}
_version_decoder = msgspec.msgpack.Decoder(_Version)

# No control characters and no line breaks. `str.isprintable` is not used, as its result depends on the Python version.
_is_printable = re.compile("[^\x00-\x1f\x7f-\x9f\u2028\u2029]+").fullmatch


def valid_name(name: str, most: int) -> bool:
    """Whether a name has 1 to `most` characters, all of them printable."""
    return 0 < len(name) <= most and _is_printable(name) is not None


def _has_valid_session(command: Command) -> bool:
    return valid_name(command.session, 64) and 0 < command.number <= MAX_INT64


def _validation_error(index: int, command: Command) -> InvalidCommand | None:
    """Why a command is never accepted, in any state; None: it is valid."""
    operation = command.act
    if isinstance(operation, ExpireLease) and (command.session or command.number):
        return InvalidCommand(index, "an end of a lease that is not the leader's own")
    if not isinstance(operation, ExpireLease) and not _has_valid_session(command):
        return InvalidCommand(
            index, "a session's name of 1 to 64 printable characters and a number from 1 on are needed"
        )
    if isinstance(operation, SetOverride):
        if not valid_name(operation.name, 64) or not 0 <= operation.at <= MAX_INT64:
            return InvalidCommand(index, "a provider's id has 1 to 64 printable characters, and a time is not negative")
        return None
    if isinstance(operation, EndSession):
        return None
    if not valid_name(operation.duty, 128):
        return InvalidCommand(index, "a duty's name has 1 to 128 printable characters")
    if not isinstance(operation, ExpireLease | FencedWrite | ClaimName) and not valid_name(operation.holder, 128):
        return InvalidCommand(index, "a holder's name has 1 to 128 printable characters")
    if isinstance(operation, AcquireLease) and not MIN_TTL <= operation.ttl <= MAX_TTL:
        return InvalidCommand(index, f"a lease's time is {MIN_TTL // SECOND} to {MAX_TTL // SECOND} s")
    if isinstance(operation, ClaimName) and (
        not operation.duty.startswith(CLAIM_LEASE_PREFIX) or len(operation.act) > MAX_CLAIM_SIZE
    ):
        return InvalidCommand(
            index, f"a claim is of a duty {CLAIM_LEASE_PREFIX}NAME, and has at most {MAX_CLAIM_SIZE} bytes"
        )
    if isinstance(operation, FencedWrite):
        if not valid_name(operation.key, 256):
            return InvalidCommand(index, "a key has 1 to 256 printable characters")
        if len(operation.value) > MAX_VALUE_SIZE:
            return InvalidCommand(index, f"a value has at most {MAX_VALUE_SIZE} bytes")
    return None


class Machine:
    """The state machine of one replica.

    Invariants:

    - Two machines that applied the same entries are equal, and so are their dumps and all their results.
    - `overrides` is ordered by `log_index`, and `sessions` by `last_used_index`: what is evicted first when the table
      is full is at the front, on every replica.
    - A lease's token is above every token granted before it, of any lease.
    """

    def __init__(self) -> None:
        self.index = 0  # of the last entry that was applied or skipped
        self.overrides: dict[str, Override] = {}
        self.leases: dict[str, Lease] = {}
        self.fenced_values: dict[tuple[str, str], FencedValue] = {}  # by lease and key
        self.fenced_bytes = 0
        self.sessions: dict[str, Session] = {}
        self.claims: Claims | None = None  # of service names; None until the first claim
        # The log index at which an override was dropped for lack of space.
        self.overrides_dropped_index = 0
        self.session_horizon = 0  # the highest index at which an evicted session began
        # The lease that the last entry granted, renewed or ended; for the leader's expiry, not part of the state.
        self.changed_lease = ""

    # ---- entries ----

    def skip(self, index: int) -> None:
        """Passes over a committed entry of another kind. Raises ValueError if the index does not increase."""
        if index <= self.index:
            raise ValueError(f"entry {index} after {self.index}")
        self.index, self.changed_lease = index, ""

    def apply(self, index: int, data: bytes) -> AnyResult:
        """Applies a committed write. Raises ValueError only if the index does not increase, whatever the data is."""
        self.skip(index)
        command = _decode_command(data)
        if command is None:
            return UnreadableCommand(index)
        invalid = _validation_error(index, command)
        if not _has_valid_session(command):  # a leader's own command, or an invalid one
            return invalid or self._execute(command.act)
        known = self.sessions.pop(command.session, None)
        if known is None:
            if command.number != 1 or (command.since is not None and command.since < self.session_horizon):
                return UnknownSession(index)
            if len(self.sessions) >= MAX_SESSIONS:
                evicted = self.sessions.pop(next(iter(self.sessions)))
                self.session_horizon = max(self.session_horizon, evicted.began_index)
            known = Session(index, index, 0, Ok(0), False)
        self.sessions[command.session] = known = known._replace(last_used_index=index)  # moves it to the end
        if command.number < known.last_number:
            return StaleNumber(index, known.last_number)
        if command.number == known.last_number:
            return known.last_result
        if known.ended:
            return UnknownSession(index)
        result = invalid or self._execute(command.act)
        known = self.sessions[command.session]  # the operation may have ended it
        self.sessions[command.session] = known._replace(last_number=command.number, last_result=result)
        return result

    def _execute(self, operation: Operation) -> AnyResult:
        return OPERATION_HANDLERS[type(operation)](self, operation)

    def _set_override(self, operation: SetOverride) -> AnyResult:
        if operation.name not in self.overrides and len(self.overrides) >= MAX_OVERRIDES:
            # A provider that was enabled again is like one without an override, except for its start time.
            enabled = next((name for name, override in self.overrides.items() if not override.out), None)
            if enabled is None:
                return CapacityExceeded(self.index, "providers taken out", MAX_OVERRIDES)
            del self.overrides[enabled]
            self.overrides_dropped_index = self.index
        self.overrides.pop(operation.name, None)
        self.overrides[operation.name] = Override(operation.out, self.index, operation.at)
        return Ok(self.index)

    def _acquire_lease(self, operation: AcquireLease) -> AnyResult:
        lease = self.leases.get(operation.duty)
        # also for its holder: the first response may have been lost, and the old token must end before a new grant
        if lease is not None:
            return LeaseHeld(self.index, lease.holder, lease.token)
        if len(self.leases) >= MAX_LEASES:
            return CapacityExceeded(self.index, "leases", MAX_LEASES)
        self.leases[operation.duty] = Lease(operation.holder, self.index, operation.ttl, self.index)
        self.changed_lease = operation.duty
        return Ok(self.index, self.index)

    def _token_error(self, lease_name: str, token: int, holder: str | None = None) -> AnyResult | None:
        lease = self.leases.get(lease_name)
        if lease is not None and token < lease.token:
            return StaleToken(self.index, token, lease.token)
        if lease is None or token != lease.token or holder not in (None, lease.holder):
            return LeaseNotHeld(self.index, token)
        return None

    def _renew_lease(self, operation: RenewLease) -> AnyResult:
        error = self._token_error(operation.duty, operation.token, operation.holder)
        if error is None:
            self.leases[operation.duty] = self.leases[operation.duty]._replace(renewed=self.index)
            self.changed_lease = operation.duty
        return error or Ok(self.index, operation.token)

    def _release_lease(self, operation: ReleaseLease) -> AnyResult:
        error = self._token_error(operation.duty, operation.token, operation.holder)
        if error is None:
            del self.leases[operation.duty]
            self.changed_lease = operation.duty
        return error or Ok(self.index, operation.token)

    def _expire_lease(self, operation: ExpireLease) -> AnyResult:
        error = self._token_error(operation.duty, operation.token)
        if error is not None:
            return error
        lease = self.leases[operation.duty]
        if lease.renewed > operation.renewed:
            return LeaseHeld(self.index, lease.holder, lease.token)
        del self.leases[operation.duty]
        self.changed_lease = operation.duty
        return Ok(self.index, operation.token)

    def _write_fenced(self, operation: FencedWrite) -> AnyResult:
        error = self._token_error(operation.duty, operation.token)
        if error is not None:
            return error
        location = (operation.duty, operation.key)
        old = self.fenced_values.get(location)
        names = len(operation.duty) + len(operation.key)
        size = self.fenced_bytes - (names + len(old.value) if old else 0)
        if operation.value:
            size += names + len(operation.value)
            if old is None and len(self.fenced_values) >= MAX_FENCED_VALUES:
                return CapacityExceeded(self.index, "fenced values", MAX_FENCED_VALUES)
            if size > max(MAX_FENCED_BYTES, self.fenced_bytes):
                return CapacityExceeded(self.index, "bytes of fenced values", MAX_FENCED_BYTES)
            self.fenced_values[location] = FencedValue(operation.value, operation.token, self.index)
        else:
            self.fenced_values.pop(location, None)
        self.fenced_bytes = size
        return Ok(self.index, operation.token)

    def _claim_name(self, operation: ClaimName) -> AnyResult:
        from loftweir.catalog import claims  # imported here, as a state without claims does not need it

        error = self._token_error(operation.duty, operation.token)
        if error is not None:
            return error
        try:
            command = claims.decode_command(operation.act)
        except (ValueError, RecursionError):
            return InvalidCommand(self.index, "not a claim in its form")
        if self.claims is None:
            self.claims = claims.Claims()
        outcome = self.claims.apply(self.index, command)
        if isinstance(outcome, claims.ClaimRejected):
            return InvalidCommand(self.index, outcome.text)
        return Ok(self.index, outcome.index)

    def _end_session(self, operation: EndSession) -> AnyResult:
        """The ended session stays in the table until it is evicted, so that a late copy of one of its commands finds
        it.
        """
        known = self.sessions.get(operation.session)
        if known is not None:
            self.sessions[operation.session] = known._replace(ended=True)
        return Ok(self.index)

    # ---- views ----

    def overrides_since(self, index: int) -> tuple[bool, dict[str, Override]]:
        """The overrides after a log index. With True they are all overrides, and replace those known before, as one of
        those was dropped. Empty if `index` is ahead of this machine.
        """
        complete = index < self.overrides_dropped_index
        overrides: dict[str, Override] = {}
        for name, override in reversed(self.overrides.items()):
            if override.log_index <= index and not complete:
                break
            overrides[name] = override
        return complete, dict(reversed(overrides.items()))

    # ---- snapshots ----

    def dump(self) -> bytes:
        """The snapshot; equal machines yield equal bytes."""
        fenced_values = [(lease_name, key, fact) for (lease_name, key), fact in sorted(self.fenced_values.items())]
        overrides, sessions = list(self.overrides.items()), list(self.sessions.items())
        leases = sorted(self.leases.items())
        dump = (
            self.index,
            self.overrides_dropped_index,
            self.session_horizon,
            overrides,
            leases,
            fenced_values,
            sessions,
        )
        if self.claims is None or not self.claims.table:
            return _msgpack_encode(_Dump(VERSION, *dump))
        return _msgpack_encode(
            _DumpWithClaims(VERSION_WITH_CLAIMS, *dump, msgspec.Raw(_msgpack_encode(self.claims.dump())))
        )

    @classmethod
    def load(cls, data: bytes) -> Machine:
        """The machine of a snapshot. Raises `Foreign`."""
        try:
            version = _version_decoder.decode(data).version
            if version not in _dump_decoders:
                raise Foreign(f"a snapshot of version {version}; this build reads {VERSION} and {VERSION_WITH_CLAIMS}")
            dump = _dump_decoders[version].decode(data)
            claimed = None
            if isinstance(dump, _DumpWithClaims):
                from loftweir.catalog import claims

                claimed = claims.Claims.load(claims.decode_table(dump.claims))
        except (ValueError, RecursionError) as error:
            raise Foreign(f"a snapshot that is not in its form: {error}") from None
        machine = cls()
        machine.index, machine.overrides_dropped_index, machine.session_horizon = dump.index, dump.thinned, dump.horizon
        machine.overrides, machine.leases, machine.sessions = dict(dump.words), dict(dump.leases), dict(dump.sessions)
        machine.claims = claimed
        machine.fenced_values = {(lease_name, key): fact for lease_name, key, fact in dump.facts}
        machine.fenced_bytes = sum(len(lease_name) + len(key) + len(fact.value) for lease_name, key, fact in dump.facts)
        return machine


OPERATION_HANDLERS: dict[type, Callable[[Machine, Any], AnyResult]] = {
    SetOverride: Machine._set_override,
    AcquireLease: Machine._acquire_lease,
    RenewLease: Machine._renew_lease,
    ReleaseLease: Machine._release_lease,
    ExpireLease: Machine._expire_lease,
    FencedWrite: Machine._write_fenced,
    ClaimName: Machine._claim_name,
    EndSession: Machine._end_session,
}
