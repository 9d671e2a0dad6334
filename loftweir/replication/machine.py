"""What the copies keep: operators' words for the fleet, leases, fenced values, sessions. Pure: the log alone decides.

Every replica applies the same entries and must come to the same state and the same results, whatever build of Python
it runs on; so there is no clock here, no randomness, and nothing that depends on a version (`at` of a word is stated by
who says it, and orders nothing). What is wrong with an order is its result, a type of its own with a text that says
what to do; no order ends a member.

Exactly once: an order names its session and a number that grows within it. The last number of each session is kept with
its result (Ongaro's dissertation, 2014, 6.3), so that an order sent again is answered and not applied. A session that
is not known can begin only with number 1. A late copy of such a first order could begin its session a second time after
that was let go; an order that states `since` can't: see `Order`.

Fencing: the token of a lease is the index in the log of its grant. So tokens only grow, over all duties, and the one in
force is the highest that was ever granted for its duty; an act under any other is refused (Gray and Cheriton, "Leases",
1989; the tokens as in Burrows, "Chubby", 2006, 2.4, its sequencers).
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

VERSION = 1  # of a snapshot
VERSION_WITH_CLAIMS = 2  # ... of one that has claims of names; without any it is written as before
SECOND = 1_000_000_000
MIB = 1024 * 1024

MAX_OVERRIDES = 10_000
MAX_LEASES = 1_000
MAX_FENCED_VALUES = 10_000
MAX_FENCED_BYTES = 64 * MIB  # of all fenced values with their keys
MAX_VALUE_SIZE = MIB  # of one
MAX_SESSIONS = 4_096
MIN_TTL = SECOND
MAX_TTL = 3_600 * SECOND
MAX_CLAIM_SIZE = 64 * 1024  # of what is said of one name
MAX_COMMAND_SIZE = MAX_VALUE_SIZE + 16 * 1024  # of one order, in bytes of msgpack
MAX_INT64 = 2**63 - 1
CLAIM_LEASE_PREFIX = "partner:"  # duties under which names are claimed begin so


class Foreign(LoftweirError):
    """A snapshot of the copies that this build can't read: of another version, or not in its form."""

    remedy = "Run the build that wrote it, or let this member begin anew: it gets all from the others."


# ---- orders -------------------------------------------------------------------------------------


class SetOverride(StrictStruct, frozen=True, tag="word"):
    """A provider is taken out, or called back, for the whole fleet."""

    name: str
    out: bool
    at: int  # Unix time by the clock of who says it, ns; shown, and the start of a provider called back


class AcquireLease(StrictStruct, frozen=True, tag="acquire"):
    """The lease of a duty, if none is in force. The holder's name is of one life of one process, never used again."""

    duty: str
    holder: str
    ttl: int  # ns


class RenewLease(StrictStruct, frozen=True, tag="renew"):
    """The leader counts the lease anew from here."""

    duty: str
    holder: str
    token: int


class ReleaseLease(StrictStruct, frozen=True, tag="release"):
    duty: str
    holder: str
    token: int


class ExpireLease(StrictStruct, frozen=True, tag="expire"):
    """The leader's clock says that the lease's time is up, and it saw no renewal behind `renewed`. One that is in the
    log before this one, and that the leader had not seen, so saves the lease: its holder was told OK."""

    duty: str
    token: int
    renewed: int


class FencedWrite(StrictStruct, frozen=True, tag="fenced"):
    """Put a value for a duty, under the token of its lease; the empty value takes the key away."""

    duty: str
    token: int
    key: str
    value: bytes


class ClaimName(StrictStruct, frozen=True, tag="named"):
    """A word on a claim of a service's name, under the token of a lease on a partner's session. That the name is one
    that the partner may claim is for who says it to see: which mesh a site is of stands in the operators' file."""

    duty: str
    token: int
    act: bytes  # as `catalog.claims` writes it: who has no catalog does not load what reads it


class EndSession(StrictStruct, frozen=True, tag="end-session"):
    """No more orders of it are taken. What it held stays: leases are of holders, not of sessions."""

    session: str


Operation = SetOverride | AcquireLease | RenewLease | ReleaseLease | ExpireLease | FencedWrite | ClaimName | EndSession


class Command(StrictStruct, frozen=True):
    """One write. An `Expire` is of no session, the empty one, and has number 0: its token makes it harmless when it
    comes twice; every other act is of one. A member takes no order without a session from its callers (`checked`).

    `since` is an index that the caller knew of before it began the session (of any answer; 0 where nothing was known).
    Where it is stated, a first order can't be applied a second time after its session was let go: a session let go
    raises `horizon` to the index at which it began, which is above the `since` of its orders, and below that none
    begins. Who is refused by this begins another session with the refusal's index. So does who gave up on order 1
    before it was answered: number 2 of a session that is not known is refused.
    """

    session: str
    number: int  # from 1 on
    act: Operation
    since: int | None = None


# ---- results ------------------------------------------------------------------------------------


class Result(StrictStruct, frozen=True):
    """Of an order, as of the index at which it was applied or refused. `text`: what happened, and what to do."""

    index: int


class Ok(Result, frozen=True, tag="ok"):
    value: int = 0  # of a lease: its token

    @property
    def text(self) -> str:
        return f"done, at index {self.index}"


class LeaseHeld(Result, frozen=True, tag="held"):
    """Not granted: a lease is in force."""

    holder: str
    token: int

    @property
    def text(self) -> str:
        return (
            f"held by {self.holder} under token {self.token}: ask again later; it ends when its holder lets it go, "
            "or a while after the holder has stopped renewing it"
        )


class LeaseNotHeld(Result, frozen=True, tag="not-held"):
    """No lease is in force under this token."""

    token: int

    @property
    def text(self) -> str:
        return f"token {self.token} holds no lease: stop acting under it and acquire the duty again"


class StaleToken(Result, frozen=True, tag="lower"):
    """A newer token was granted for the duty."""

    token: int
    highest: int

    @property
    def text(self) -> str:
        return (
            f"token {self.token} is fenced off by {self.highest}, granted later: another holds the duty; "
            "stop acting under the old one"
        )


class InvalidCommand(Result, frozen=True, tag="unfit"):
    """A name, a size or a time that is never taken."""

    what: str

    @property
    def text(self) -> str:
        return f"not taken: {self.what}; correct it, as the same order is refused again"


class CapacityExceeded(Result, frozen=True, tag="full"):
    what: str
    limit: int

    @property
    def text(self) -> str:
        return f"no room: at most {self.limit} {self.what} are kept; take some away first"


class UnreadableCommand(Result, frozen=True, tag="unreadable"):
    """The entry is no order that this version knows. It changed nothing."""

    @property
    def text(self) -> str:
        return "not an order of this version: run the same version on all members and callers"


class StaleNumber(Result, frozen=True, tag="stale"):
    """A later order of the session was applied; whether this one was is not kept."""

    last: int

    @property
    def text(self) -> str:
        return f"order {self.last} of this session came already: read what holds now, and go on with a higher number"


class UnknownSession(Result, frozen=True, tag="unknown-session"):
    """Ended, unused for long, or never begun. The order was not applied now; it may have been before."""

    @property
    def text(self) -> str:
        return f"the session is not known: read what holds now, and begin another with number 1 and since {self.index}"


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
    except (ValueError, RecursionError):  # of which msgspec's errors are kinds
        return None


def validate(data: bytes) -> AnyResult | None:
    """What a member says at once to a caller's order that the machine would refuse whatever it holds (index 0); None:
    into the log with it. Only a leader's own orders have no session."""
    order = _decode_command(data)
    if order is None:
        return UnreadableCommand(0)
    return _validation_error(0, order) if order.session else InvalidCommand(0, "an order without a session")


# ---- what is kept -------------------------------------------------------------------------------


class Override(NamedTuple):
    """A word that holds."""

    out: bool
    order: int  # the index of its entry: a later one has a higher
    at: int


class Lease(NamedTuple):
    """In force until it is released, or the leader says that its time is up."""

    holder: str
    token: int  # the index of its grant
    ttl: int
    renewed: int  # the index of its grant or last renewal


class FencedValue(NamedTuple):
    value: bytes
    token: int  # under which it was put
    order: int


class Session(NamedTuple):
    began: int
    used: int  # the index of its last order, also of one sent again
    last: int  # number
    result: AnyResult  # of that
    ended: bool


class _Dump(StrictStruct, frozen=True):
    version: int
    index: int
    thinned: int
    horizon: int
    words: list[tuple[str, Override]]  # in order of the log
    leases: list[tuple[str, Lease]]  # in order of names
    facts: list[tuple[str, str, FencedValue]]  # in order of names
    sessions: list[tuple[str, Session]]  # the longest unused first


class _DumpWithClaims(_Dump, frozen=True):
    claims: msgspec.Raw


class _Version(msgspec.Struct):
    version: int


_dump_decoders: dict[int, msgspec.msgpack.Decoder[_Dump] | msgspec.msgpack.Decoder[_DumpWithClaims]] = {
    VERSION: msgspec.msgpack.Decoder(_Dump),
    VERSION_WITH_CLAIMS: msgspec.msgpack.Decoder(_DumpWithClaims),
}
_version_decoder = msgspec.msgpack.Decoder(_Version)

# Neither control characters nor breaks of lines. `str.isprintable` knows more, and other things in each version.
_is_printable = re.compile("[^\x00-\x1f\x7f-\x9f\u2028\u2029]+").fullmatch


def valid_name(name: str, most: int) -> bool:
    return 0 < len(name) <= most and _is_printable(name) is not None


def _has_valid_session(order: Command) -> bool:
    return valid_name(order.session, 64) and 0 < order.number <= MAX_INT64


def _validation_error(index: int, order: Command) -> InvalidCommand | None:
    """What makes an order one that is never taken, if anything does."""
    act = order.act
    if isinstance(act, ExpireLease) and (order.session or order.number):
        return InvalidCommand(index, "an end of a lease that is not the leader's own")
    if not isinstance(act, ExpireLease) and not _has_valid_session(order):
        return InvalidCommand(
            index, "a session's name of 1 to 64 printable characters and a number from 1 on are needed"
        )
    if isinstance(act, SetOverride):
        if not valid_name(act.name, 64) or not 0 <= act.at <= MAX_INT64:
            return InvalidCommand(index, "a provider's id has 1 to 64 printable characters, and a time is not negative")
        return None
    if isinstance(act, EndSession):
        return None
    if not valid_name(act.duty, 128):
        return InvalidCommand(index, "a duty's name has 1 to 128 printable characters")
    if not isinstance(act, ExpireLease | FencedWrite | ClaimName) and not valid_name(act.holder, 128):
        return InvalidCommand(index, "a holder's name has 1 to 128 printable characters")
    if isinstance(act, AcquireLease) and not MIN_TTL <= act.ttl <= MAX_TTL:
        return InvalidCommand(index, f"a lease's time is {MIN_TTL // SECOND} to {MAX_TTL // SECOND} s")
    if isinstance(act, ClaimName) and (not act.duty.startswith(CLAIM_LEASE_PREFIX) or len(act.act) > MAX_CLAIM_SIZE):
        return InvalidCommand(
            index, f"a claim is of a duty {CLAIM_LEASE_PREFIX}NAME, and has at most {MAX_CLAIM_SIZE} bytes"
        )
    if isinstance(act, FencedWrite):
        if not valid_name(act.key, 256):
            return InvalidCommand(index, "a key has 1 to 256 printable characters")
        if len(act.value) > MAX_VALUE_SIZE:
            return InvalidCommand(index, f"a value has at most {MAX_VALUE_SIZE} bytes")
    return None


class Machine:
    """Invariants:

    - Two machines that applied the same entries are equal, and so are their dumps and all their results.
    - `words` is in order of `order`, `sessions` in order of `used`: what goes first when there is no room is at the
      front, on every replica.
    - A lease's token is above every token granted before it, of any duty.
    """

    def __init__(self) -> None:
        self.index = 0  # of the last entry applied or passed over
        self.words: dict[str, Override] = {}
        self.leases: dict[str, Lease] = {}
        self.fenced_values: dict[tuple[str, str], FencedValue] = {}  # by duty and key
        self.fenced_bytes = 0
        self.sessions: dict[str, Session] = {}
        self.claims: Claims | None = None  # of names, once there was one
        self.thinned = 0  # the index at which a word went to make room
        self.horizon = 0  # the highest index at which a session that was let go began
        self.moved = ""  # the duty whose lease the last entry granted, renewed or ended; not kept: for the keeper

    # ---- entries ----

    def passed(self, index: int) -> None:
        """An entry of another kind is committed. Raises ValueError where the log does not go forward."""
        if index <= self.index:
            raise ValueError(f"entry {index} after {self.index}")
        self.index, self.moved = index, ""

    def apply(self, index: int, data: bytes) -> AnyResult:
        """A committed write. Raises ValueError only where the log does not go forward, whatever the data."""
        self.passed(index)
        order = _decode_command(data)
        if order is None:
            return UnreadableCommand(index)
        unfit = _validation_error(index, order)
        if not _has_valid_session(order):  # a leader's own, or unfit
            return unfit or self._do(order.act)
        known = self.sessions.pop(order.session, None)
        if known is None:
            if order.number != 1 or (order.since is not None and order.since < self.horizon):
                return UnknownSession(index)
            if len(self.sessions) >= MAX_SESSIONS:
                gone = self.sessions.pop(next(iter(self.sessions)))
                self.horizon = max(self.horizon, gone.began)
            known = Session(index, index, 0, Ok(0), False)
        self.sessions[order.session] = known = known._replace(used=index)  # at the end now
        if order.number < known.last:
            return StaleNumber(index, known.last)
        if order.number == known.last:
            return known.result
        if known.ended:
            return UnknownSession(index)
        result = unfit or self._do(order.act)
        known = self.sessions[order.session]  # which the act may have ended
        self.sessions[order.session] = known._replace(last=order.number, result=result)
        return result

    def _do(self, act: Operation) -> AnyResult:
        return OPERATION_HANDLERS[type(act)](self, act)

    def _word(self, act: SetOverride) -> AnyResult:
        if act.name not in self.words and len(self.words) >= MAX_OVERRIDES:
            # A provider called back is as one of whom nothing was said, but for its start.
            back = next((name for name, said in self.words.items() if not said.out), None)
            if back is None:
                return CapacityExceeded(self.index, "providers taken out", MAX_OVERRIDES)
            del self.words[back]
            self.thinned = self.index
        self.words.pop(act.name, None)
        self.words[act.name] = Override(act.out, self.index, act.at)
        return Ok(self.index)

    def _acquire(self, act: AcquireLease) -> AnyResult:
        lease = self.leases.get(act.duty)
        if lease is not None:  # its own holder's too: the answer may have been lost, and the old token must end first
            return LeaseHeld(self.index, lease.holder, lease.token)
        if len(self.leases) >= MAX_LEASES:
            return CapacityExceeded(self.index, "leases", MAX_LEASES)
        self.leases[act.duty] = Lease(act.holder, self.index, act.ttl, self.index)
        self.moved = act.duty
        return Ok(self.index, self.index)

    def _refused(self, duty: str, token: int, holder: str | None = None) -> AnyResult | None:
        lease = self.leases.get(duty)
        if lease is not None and token < lease.token:
            return StaleToken(self.index, token, lease.token)
        if lease is None or token != lease.token or holder not in (None, lease.holder):
            return LeaseNotHeld(self.index, token)
        return None

    def _renew(self, act: RenewLease) -> AnyResult:
        refused = self._refused(act.duty, act.token, act.holder)
        if refused is None:
            self.leases[act.duty] = self.leases[act.duty]._replace(renewed=self.index)
            self.moved = act.duty
        return refused or Ok(self.index, act.token)

    def _release(self, act: ReleaseLease) -> AnyResult:
        refused = self._refused(act.duty, act.token, act.holder)
        if refused is None:
            del self.leases[act.duty]
            self.moved = act.duty
        return refused or Ok(self.index, act.token)

    def _expire(self, act: ExpireLease) -> AnyResult:
        refused = self._refused(act.duty, act.token)
        if refused is not None:
            return refused
        lease = self.leases[act.duty]
        if lease.renewed > act.renewed:
            return LeaseHeld(self.index, lease.holder, lease.token)
        del self.leases[act.duty]
        self.moved = act.duty
        return Ok(self.index, act.token)

    def _fenced(self, act: FencedWrite) -> AnyResult:
        refused = self._refused(act.duty, act.token)
        if refused is not None:
            return refused
        where = (act.duty, act.key)
        old = self.fenced_values.get(where)
        names = len(act.duty) + len(act.key)
        size = self.fenced_bytes - (names + len(old.value) if old else 0)
        if act.value:
            size += names + len(act.value)
            if old is None and len(self.fenced_values) >= MAX_FENCED_VALUES:
                return CapacityExceeded(self.index, "fenced values", MAX_FENCED_VALUES)
            if size > max(MAX_FENCED_BYTES, self.fenced_bytes):
                return CapacityExceeded(self.index, "bytes of fenced values", MAX_FENCED_BYTES)
            self.fenced_values[where] = FencedValue(act.value, act.token, self.index)
        else:
            self.fenced_values.pop(where, None)
        self.fenced_bytes = size
        return Ok(self.index, act.token)

    def _named(self, act: ClaimName) -> AnyResult:
        from loftweir.catalog import claims  # here: copies that hold no names do without

        refused = self._refused(act.duty, act.token)
        if refused is not None:
            return refused
        try:
            said = claims.decode_command(act.act)
        except (ValueError, RecursionError):
            return InvalidCommand(self.index, "not a claim in its form")
        if self.claims is None:
            self.claims = claims.Claims()
        found = self.claims.apply(self.index, said)
        if isinstance(found, claims.ClaimRejected):
            return InvalidCommand(self.index, found.text)
        return Ok(self.index, found.index)

    def _end_session(self, act: EndSession) -> AnyResult:
        """It stays as one that takes no more, until there is no room: a late copy of its orders finds it."""
        known = self.sessions.get(act.session)
        if known is not None:
            self.sessions[act.session] = known._replace(ended=True)
        return Ok(self.index)

    # ---- views ----

    def words_since(self, index: int) -> tuple[bool, dict[str, Override]]:
        """What was said behind an index. With True they are all words, in place of what was known before: one that the
        reader may know of has gone. Nothing, for a reader who is ahead of this machine."""
        whole = index < self.thinned
        words: dict[str, Override] = {}
        for name, said in reversed(self.words.items()):
            if said.order <= index and not whole:
                break
            words[name] = said
        return whole, dict(reversed(words.items()))

    # ---- snapshots ----

    def dump(self) -> bytes:
        """The same bytes of equal machines."""
        facts = [(duty, key, fact) for (duty, key), fact in sorted(self.fenced_values.items())]
        words, sessions, leases = list(self.words.items()), list(self.sessions.items()), sorted(self.leases.items())
        kept = self.index, self.thinned, self.horizon, words, leases, facts, sessions
        if self.claims is None or not self.claims.table:
            return _msgpack_encode(_Dump(VERSION, *kept))
        return _msgpack_encode(
            _DumpWithClaims(VERSION_WITH_CLAIMS, *kept, msgspec.Raw(_msgpack_encode(self.claims.dump())))
        )

    @classmethod
    def load(cls, data: bytes) -> Machine:
        """Raises `Foreign`."""
        try:
            version = _version_decoder.decode(data).version
            if version not in _dump_decoders:
                raise Foreign(f"a snapshot of version {version}; this build reads {VERSION} and {VERSION_WITH_CLAIMS}")
            kept = _dump_decoders[version].decode(data)
            claimed = None
            if isinstance(kept, _DumpWithClaims):
                from loftweir.catalog import claims

                claimed = claims.Claims.load(claims.decode_table(kept.claims))
        except (ValueError, RecursionError) as error:
            raise Foreign(f"a snapshot that is not in its form: {error}") from None
        machine = cls()
        machine.index, machine.thinned, machine.horizon = kept.index, kept.thinned, kept.horizon
        machine.words, machine.leases, machine.sessions = dict(kept.words), dict(kept.leases), dict(kept.sessions)
        machine.claims = claimed
        machine.fenced_values = {(duty, key): fact for duty, key, fact in kept.facts}
        machine.fenced_bytes = sum(len(duty) + len(key) + len(fact.value) for duty, key, fact in kept.facts)
        return machine


OPERATION_HANDLERS: dict[type, Callable[[Machine, Any], AnyResult]] = {
    SetOverride: Machine._word,
    AcquireLease: Machine._acquire,
    RenewLease: Machine._renew,
    ReleaseLease: Machine._release,
    ExpireLease: Machine._expire,
    FencedWrite: Machine._fenced,
    ClaimName: Machine._named,
    EndSession: Machine._end_session,
}
