"""Claims of service names, as part of the replicated state.

Pure: the log alone decides.

A claim is for a global name and also counts for the short name. Its age is the index of the log entry that made it, and
does not change when the declaration does: nothing is ordered by a wall clock (Lamport, 1978). A name stays claimed
until the claim is released, because the mesh withdrew the service or because its routes were away for too long. The
sidecar that has the session with the mesh determines this by its own clock (`pending_commands`) and submits a command.
So every replica sees the same end of a claim, whatever its clock shows.

Invariants:
 1. Two tables that applied the same entries are equal, and so are their dumps.
 2. An acknowledged claim keeps its index until its release is in the log.
 3. A mesh has at most `Limits.per_mesh` claims, and all meshes together at most `Limits.total`, so that no mesh uses
    up all.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from loftweir.catalog.contract import Clause
from loftweir.catalog.names import BadName, global_name, split_name

MAX_CLASSES = 64
MAX_SAME_NAMES = 32


class Limits(NamedTuple):
    """The greatest number of claims."""

    per_mesh: int = 2_000
    total: int = 40_000  # of all meshes


LIMITS = Limits()


class Declaration(msgspec.Struct, frozen=True):
    """What a mesh declares about its service."""

    contract: dict[str, Clause] = {}
    # Global names in other meshes that it declares to be the same service (KEP-1645: sameness).
    same: tuple[str, ...] = ()


class Claim(msgspec.Struct, frozen=True):
    """A claimed name."""

    index: int  # in the log, of the entry that made the claim: its age
    declared: Declaration


class PutClaim(msgspec.Struct, frozen=True, tag="claim"):
    """Claims a name, or replaces the declaration of a claim; the age of a claim does not change."""

    name: str
    declared: Declaration


class ReleaseClaim(msgspec.Struct, frozen=True, tag="unclaim"):
    """Releases a name if its claim still has this index, so that a late release does not affect a later claim."""

    name: str
    index: int


class ClaimAccepted(msgspec.Struct, frozen=True):
    """The claim's index after a put, 0 after a release."""

    index: int


class ClaimRejected(msgspec.Struct, frozen=True):
    """The command was rejected; the text has the reason and what to do."""

    text: str


Table = dict[str, Claim]
_command_decoder = msgspec.msgpack.Decoder(PutClaim | ReleaseClaim)
_table_decoder = msgspec.msgpack.Decoder(list[tuple[str, Claim]])
encode = msgspec.msgpack.Encoder().encode


def decode_command(data: bytes) -> PutClaim | ReleaseClaim:
    """The inverse of `encode` for a command. Raises RecursionError or ValueError, the base of msgspec's errors."""
    command: PutClaim | ReleaseClaim = _command_decoder.decode(data)
    return command


def decode_table(data: msgspec.Raw) -> list[tuple[str, Claim]]:
    """The inverse of `encode` for a dump. Raises the same errors as `decode_command`."""
    return _table_decoder.decode(data)


class Claims:
    """The table of claims. `machine.py` checks each command's fencing token, that of the mesh's session, before."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        self.limits = limits
        self.table: Table = {}  # by global name
        self.counts: dict[str, int] = {}  # by mesh; meshes without claims are left out
        # Number of commands since the table was made or loaded, not part of the state: lets observers detect changes.
        self.changes = 0

    def apply(self, index: int, command: PutClaim | ReleaseClaim) -> ClaimAccepted | ClaimRejected:
        """Applies the command of the log entry with this index."""
        self.changes += 1
        return self._put(index, command) if isinstance(command, PutClaim) else self._release(command)

    def _put(self, index: int, command: PutClaim) -> ClaimAccepted | ClaimRejected:
        try:
            names = [global_name(name, f"claim.same.{n}") for n, name in enumerate(command.declared.same)]
            if global_name(command.name, "claim.name") != command.name or names != list(command.declared.same):
                return ClaimRejected(f"claim {command.name}: names are kept in small letters; write them so")
        except BadName as error:
            return ClaimRejected(str(error))
        if len(names) > MAX_SAME_NAMES or len(command.declared.contract) > MAX_CLASSES:
            return ClaimRejected(
                f"claim {command.name}: at most {MAX_CLASSES} classes and {MAX_SAME_NAMES} names; declare fewer"
            )
        existing, mesh = self.table.get(command.name), split_name(command.name)[1]
        if existing is None:
            count = self.counts.get(mesh, 0)
            if count >= self.limits.per_mesh:
                return ClaimRejected(
                    f"{mesh} holds {count} names, as many as a mesh may: let some of its names go first"
                )
            if len(self.table) >= self.limits.total:
                return ClaimRejected(f"{len(self.table)} names are claimed, as many as are kept: let some go first")
            self.counts[mesh] = count + 1
        age = existing.index if existing is not None else index
        self.table[command.name] = Claim(age, command.declared)
        return ClaimAccepted(age)

    def _release(self, command: ReleaseClaim) -> ClaimAccepted | ClaimRejected:
        existing = self.table.get(command.name)
        if existing is None or existing.index != command.index:
            return ClaimRejected(f"{command.name} is not claimed at index {command.index}: read what holds now")
        del self.table[command.name]
        mesh = split_name(command.name)[1]
        self.counts[mesh] -= 1
        if not self.counts[mesh]:
            del self.counts[mesh]
        return ClaimAccepted(0)

    def dump(self) -> list[tuple[str, Claim]]:
        """The table for the machine's snapshot, ordered by name."""
        return sorted(self.table.items(), key=lambda item: item[0])

    @classmethod
    def load(cls, kept: Iterable[tuple[str, Claim]], limits: Limits = LIMITS) -> Claims:
        """The inverse of `dump`."""
        claims = cls(limits)
        claims.table = dict(kept)
        for name in claims.table:
            mesh = split_name(name)[1]
            claims.counts[mesh] = claims.counts.get(mesh, 0) + 1
        return claims


class ObservedService(NamedTuple):
    """A mesh's service as observed by the sidecar that has the session with the mesh. Times are in ns, by any one
    clock."""

    declared: Declaration | None  # None: its routes are away
    since: int  # time at which this began
    withdrawn: bool = False  # the routes are away because the mesh withdrew the service while its session was up


class Damping(NamedTuple):
    """Times in ns that limit how often claims change: a service that appears and disappears every second costs one log
    entry."""

    away: int = 86_400_000_000_000  # after this time without routes a claim is released
    withdrawn: int = 60_000_000_000  # the same where the mesh itself has withdrawn the service
    min_unchanged: int = 10_000_000_000  # how long another declaration has to stay unchanged before it is written


def pending_commands(
    table: Mapping[str, Claim], observed: Mapping[str, ObservedService], now: int, damping: Damping
) -> list[PutClaim | ReleaseClaim]:
    """The commands that the sidecar with the mesh's session should submit, ordered by name. `min_unchanged` delays
    only a new declaration of a name that is already claimed; until that is written, the strictest of both applies
    (`build`)."""
    found: list[PutClaim | ReleaseClaim] = []
    for name, service in sorted(observed.items()):
        claim = table.get(name)
        if service.declared is not None:
            is_stable = now - service.since >= damping.min_unchanged
            if claim is None or (claim.declared != service.declared and is_stable):
                found.append(PutClaim(name, service.declared))
        elif claim is not None and now - service.since >= (damping.withdrawn if service.withdrawn else damping.away):
            found.append(ReleaseClaim(name, claim.index))
    return found
