"""Claims of names, as the copies keep them. Pure: the log alone decides.

A claim is by global name; it stands for the short name too. Its age is the index in the log of the entry that made it,
and stays with it through each new word on what it declares: no wall clock orders anything (Lamport, 1978). A name stays
claimed until the claim is let go, by the mesh's withdrawal or once its routes were away for longer than a bound. Who
keeps the session with the mesh finds that by its own clock (`orders`) and says it in the log; so that every replica
sees the same end, whatever its clock says.

Invariants:
 1. Two tables that applied the same entries are equal, and so are their dumps.
 2. An acknowledged claim keeps its index until its release is in the log.
 3. A mesh has `Limits.of_mesh` claims at the most, and all meshes `Limits.all`: one takes no more of them than that.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from loftweir.catalog.contract import Clause
from loftweir.catalog.names import BadName, global_name, parts

MOST_CLASSES = 64
MOST_SAME = 32


class Limits(NamedTuple):
    of_mesh: int = 2_000
    all: int = 40_000


LIMITS = Limits()


class Declaration(msgspec.Struct, frozen=True):
    """What a mesh says of its service."""

    contract: dict[str, Clause] = {}
    same: tuple[str, ...] = ()  # global names of other meshes that it says are this service (KEP-1645: sameness)


class Claim(msgspec.Struct, frozen=True):
    index: int  # of the log, at which it was made: its age
    declared: Declaration


class PutClaim(msgspec.Struct, frozen=True, tag="claim"):
    """Claim a name, or say anew what is declared of it; the age of a claim stays."""

    name: str
    declared: Declaration


class ReleaseClaim(msgspec.Struct, frozen=True, tag="unclaim"):
    """Let a name go, if its claim is still the one of that index: a late copy touches no later claim."""

    name: str
    index: int


class ClaimAccepted(msgspec.Struct, frozen=True):
    """Of a put: the claim's age. Of a release: 0."""

    index: int


class ClaimRejected(msgspec.Struct, frozen=True):
    """Refused, for good or for now: says why and what to do."""

    text: str


Table = dict[str, Claim]
_acts = msgspec.msgpack.Decoder(PutClaim | ReleaseClaim)
_tables = msgspec.msgpack.Decoder(list[tuple[str, Claim]])
encode = msgspec.msgpack.Encoder().encode


def decode_command(data: bytes) -> PutClaim | ReleaseClaim:
    """What `written` made of it. Raises ValueError, of which msgspec's errors are kinds, and RecursionError."""
    act: PutClaim | ReleaseClaim = _acts.decode(data)
    return act


def decode_table(data: msgspec.Raw) -> list[tuple[str, Claim]]:
    """What `written` made of a dump. Raises as `read` does."""
    return _tables.decode(data)


class Claims:
    """The table. `machine.py` checks before that the order is under the mesh's fencing token."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        self.limits = limits
        self.table: Table = {}  # by global name
        self.counts: dict[str, int] = {}  # by mesh; none of 0
        self.changes = 0  # of the table since it was made or loaded; not kept: for who follows it

    def apply(self, index: int, act: PutClaim | ReleaseClaim) -> ClaimAccepted | ClaimRejected:
        self.changes += 1
        return self._put(index, act) if isinstance(act, PutClaim) else self._release(act)

    def _put(self, index: int, act: PutClaim) -> ClaimAccepted | ClaimRejected:
        try:
            names = [global_name(name, f"claim.same.{n}") for n, name in enumerate(act.declared.same)]
            if global_name(act.name, "claim.name") != act.name or names != list(act.declared.same):
                return ClaimRejected(f"claim {act.name}: names are kept in small letters; write them so")
        except BadName as error:
            return ClaimRejected(str(error))
        if len(names) > MOST_SAME or len(act.declared.contract) > MOST_CLASSES:
            return ClaimRejected(
                f"claim {act.name}: at most {MOST_CLASSES} classes and {MOST_SAME} names; declare fewer"
            )
        known, mesh = self.table.get(act.name), parts(act.name)[1]
        if known is None:
            count = self.counts.get(mesh, 0)
            if count >= self.limits.of_mesh:
                return ClaimRejected(
                    f"{mesh} holds {count} names, as many as a mesh may: let some of its names go first"
                )
            if len(self.table) >= self.limits.all:
                return ClaimRejected(f"{len(self.table)} names are claimed, as many as are kept: let some go first")
            self.counts[mesh] = count + 1
        age = known.index if known is not None else index
        self.table[act.name] = Claim(age, act.declared)
        return ClaimAccepted(age)

    def _release(self, act: ReleaseClaim) -> ClaimAccepted | ClaimRejected:
        known = self.table.get(act.name)
        if known is None or known.index != act.index:
            return ClaimRejected(f"{act.name} is not claimed at index {act.index}: read what holds now")
        del self.table[act.name]
        mesh = parts(act.name)[1]
        self.counts[mesh] -= 1
        if not self.counts[mesh]:
            del self.counts[mesh]
        return ClaimAccepted(0)

    def dump(self) -> list[tuple[str, Claim]]:
        """For the machine's snapshot, in order of names."""
        return sorted(self.table.items(), key=lambda item: item[0])

    @classmethod
    def load(cls, kept: Iterable[tuple[str, Claim]], limits: Limits = LIMITS) -> Claims:
        claims = cls(limits)
        claims.table = dict(kept)
        for name in claims.table:
            mesh = parts(name)[1]
            claims.counts[mesh] = claims.counts.get(mesh, 0) + 1
        return claims


class Seen(NamedTuple):
    """Of a mesh's service, by who keeps the session with the mesh; times on a clock of its own, ns."""

    declared: Declaration | None  # None: its routes are away
    since: int  # when this came to be so
    withdrawn: bool = False  # away because the mesh said so, over a good session


class Damping(NamedTuple):
    """Of what is written: a service that comes and goes every second costs the log one entry."""

    away: int = 86_400_000_000_000  # ns of being away after which a claim is let go
    withdrawn: int = 60_000_000_000  # ... where the mesh itself has withdrawn the service
    settle: int = 10_000_000_000  # ns that another declaration has to stand before it is written


def orders(
    table: Mapping[str, Claim], seen: Mapping[str, Seen], now: int, damping: Damping
) -> list[PutClaim | ReleaseClaim]:
    """What the keeper of a mesh's session should write, in order of names. Nothing waits for `settle` but a new
    declaration of a claimed name: until it is written the strictest of both holds (`build`)."""
    found: list[PutClaim | ReleaseClaim] = []
    for name, one in sorted(seen.items()):
        claim = table.get(name)
        if one.declared is not None:
            stood = now - one.since >= damping.settle
            if claim is None or (claim.declared != one.declared and stood):
                found.append(PutClaim(name, one.declared))
        elif claim is not None and now - one.since >= (damping.withdrawn if one.withdrawn else damping.away):
            found.append(ReleaseClaim(name, claim.index))
    return found
