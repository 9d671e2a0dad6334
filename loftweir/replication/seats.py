"""Who takes which seat: founding, joining, replacing, as decisions without I/O.

A cluster is founded once: by the first listed name, and only where all listed members have answered that nothing was
ever kept on their disks. Whoever comes later, or comes back with another id, is taken in by the leader, one change of
members at a time: the old id of the seat out, the new one in without a vote, and with one once it has nearly all.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence

from loftweir.replication.api import Member
from loftweir.replication.wire import JoinRequest, JoinResponse, RejectReason, StatusResponse

MAX_LEARNER_LAG = 64  # entries behind what is committed, with which a new member gets its vote


def founding_members(
    me: Member, first: str, names: Collection[str], answers: Mapping[str, tuple[str, StatusResponse]]
) -> Sequence[Member]:
    """The members to found with, where this one (whose own disk is empty) is to do it now; else none.

    `answers`: by name, the id that answered there and what it said."""
    if me.name != first or {me.name, *answers} != set(names):
        return ()
    if not all(am.empty and am.agrees for _, am in answers.values()):
        return ()
    others = [Member(id, name, am.at) for name, (id, am) in answers.items() if name != me.name]
    if len({me.id, *(member.id for member in others)}) != len(names):
        return ()
    return sorted([me, *others], key=lambda member: member.name)


def waiting_reason(
    name: str, first: str, names: Collection[str], answers: Mapping[str, tuple[str, StatusResponse]]
) -> str:
    """Why a member with an empty disk is neither founding nor joining, for the log."""
    silent = sorted(set(names) - {name, *answers})
    differ = sorted(n for n, (_, am) in answers.items() if not am.agrees)
    begun = sorted(n for n, (_, am) in answers.items() if am.agrees and not am.empty)
    if any(am.leader == name for _, am in answers.values()):
        return f"{name}: {RejectReason.SEAT_HELD.value}, and leads: another process has this name"
    if differ:
        return f"replication.members is another at {', '.join(differ)}"
    if begun:
        return f"{', '.join(begun)} took part before, and no leader is known"
    if silent:
        return f"no answer of {', '.join(silent)}: to begin, all listed members must be up"
    return f"{first} is to begin"


def next_join_step(
    join: JoinRequest,
    members: tuple[Member, ...],
    listed: Collection[str],
    lately: Callable[[str], bool],
    behind: Callable[[str], int],
) -> JoinResponse | tuple[Member, ...]:
    """What a leader makes of one that wants in: an answer, or the members of the next step.

    `lately`: whether a member was heard from in the last election timeout, or may have been (a leader that has only
    just begun can't tell); `behind`: how many committed entries it is not known to have."""
    if join.name not in listed:
        return JoinResponse(False, False, f"{join.name}: {RejectReason.NOT_LISTED.value}")
    own = next((m for m in members if m.id == join.id), None)
    seat = next((m for m in members if m.name == join.name), None)
    if own is None and seat is None:
        return (*members, Member(join.id, join.name, join.address, votes=False))
    if own is None:
        assert seat is not None
        if lately(seat.id):
            return JoinResponse(False, False, f"{join.name}: {RejectReason.SEAT_HELD.value}, {seat.id}")
        return tuple(m for m in members if m is not seat)
    if own is not seat:
        return JoinResponse(False, False, f"{join.id}: a member under the name {own.name}")
    if own.address != join.address or (not own.votes and behind(join.id) <= MAX_LEARNER_LAG):
        votes = own.votes or behind(join.id) <= MAX_LEARNER_LAG
        taken = Member(join.id, join.name, join.address, votes)
        return tuple(taken if m is own else m for m in members)
    return JoinResponse(own.votes, True)
