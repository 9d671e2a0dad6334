"""Decisions on the members of the configured slots: founding, joining and replacement. No I/O.

A cluster is founded once: by the first listed name, and only if all listed members have answered that their storage was
never used. A later member, or one that returns with another id, is added by the leader, one membership change at a
time: the old id of the slot is removed, the new one is added as a learner, and becomes a voter once it has nearly the
whole log.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from enum import Enum
from typing import NamedTuple

from loftweir.replication.api import Member
from loftweir.replication.wire import JoinRequest, JoinResponse, RejectReason, StatusResponse

MAX_LEARNER_LAG = 64  # committed entries that a learner may lack when it becomes a voter


class OwnMembership(NamedTuple):
    """What a process knows of its own place among the members."""

    id: str
    address: str  # as configured
    latest: Member | None  # its entry in the newest members of its log; None: it has none
    was_member: bool  # a leader sure of its members has listed it during the life of this process


class MembershipStep(Enum):
    """What a listed process does about its place among the members."""

    WAIT = "wait"
    JOIN = "join"  # asks the leader for the next step of joining
    END = "end"  # it was removed, and takes no part until it is started again


def next_own_step(own: OwnMembership, answers: Collection[StatusResponse]) -> MembershipStep:
    """The step of a process that is not in its place, or has no leader.

    A process that was a member and was removed never asks to be taken in: only a new process does. A leader that is not
    sure of its members may be about to lose or to commit a removal, so that its word tells neither.
    """
    certain = [answer for answer in answers if answer.sure]
    is_lacking = any(all(member.id != own.id for member in answer.members) for answer in certain)
    if is_lacking and own.was_member:
        return MembershipStep.END
    in_place = own.latest is not None and own.latest.votes and own.latest.address == own.address
    if in_place and not is_lacking:
        return MembershipStep.WAIT
    return MembershipStep.WAIT if own.was_member and not certain else MembershipStep.JOIN


def founding_members(
    me: Member, first: str, names: Collection[str], answers: Mapping[str, tuple[str, StatusResponse]]
) -> Sequence[Member]:
    """The members to found the cluster with, if this one, whose storage is empty, has to do so now; else none.

    `answers`: by name, the id that answered and its status.
    """
    if me.name != first or {me.name, *answers} != set(names):
        return ()
    if not all(status.empty and status.agrees for _, status in answers.values()):
        return ()
    others = [Member(id, name, status.at) for name, (id, status) in answers.items() if name != me.name]
    if len({me.id, *(member.id for member in others)}) != len(names):
        return ()
    return sorted([me, *others], key=lambda member: member.name)


def waiting_reason(
    name: str, first: str, names: Collection[str], answers: Mapping[str, tuple[str, StatusResponse]]
) -> str:
    """The reason why a member with empty storage neither founds nor joins, for the log."""
    silent = sorted(set(names) - {name, *answers})
    differ = sorted(n for n, (_, status) in answers.items() if not status.agrees)
    begun = sorted(n for n, (_, status) in answers.items() if status.agrees and not status.empty)
    if any(status.leader == name for _, status in answers.values()):
        return f"{name}: {RejectReason.SLOT_TAKEN.value}, and leads: another process has this name"
    if differ:
        return f"replication.members differs at {', '.join(differ)}"
    if begun:
        return f"{', '.join(begun)} has stored state, and no leader is known"
    if silent:
        return f"no answer of {', '.join(silent)}: a cluster is founded once all listed members are running"
    return f"{first} has to found the cluster"


def next_join_step(
    join: JoinRequest,
    members: tuple[Member, ...],
    listed: Collection[str],
    recently_heard: Callable[[str], bool],
    recently_removed: Callable[[str], bool],
    lag: Callable[[str], int],
) -> JoinResponse | tuple[Member, ...]:
    """The leader's decision on a request to join: an answer, or the members of the next step.

    `recently_heard`: whether a member responded within the last election timeout, or may have done so (a leader that
    has just been elected can't tell). `recently_removed`: whether a request of this id may have been sent before the id
    was removed. `lag`: how many committed entries a member is not known to have.
    """
    if join.name not in listed:
        return JoinResponse(False, False, f"{join.name}: {RejectReason.NOT_LISTED.value}")
    own = next((m for m in members if m.id == join.id), None)
    if own is None and recently_removed(join.id):
        return JoinResponse(False, False, f"{join.name}: {RejectReason.JUST_REMOVED.value}, {join.id}")
    slot_member = next((m for m in members if m.name == join.name), None)
    if own is None and slot_member is None:
        return (*members, Member(join.id, join.name, join.address, votes=False))
    if own is None:
        assert slot_member is not None
        if recently_heard(slot_member.id):
            return JoinResponse(False, False, f"{join.name}: {RejectReason.SLOT_TAKEN.value}, {slot_member.id}")
        return tuple(m for m in members if m is not slot_member)
    if own is not slot_member:
        return JoinResponse(False, False, f"{join.id}: a member under the name {own.name}")
    if own.address != join.address or (not own.votes and lag(join.id) <= MAX_LEARNER_LAG):
        votes = own.votes or lag(join.id) <= MAX_LEARNER_LAG
        updated = Member(join.id, join.name, join.address, votes)
        return tuple(updated if m is own else m for m in members)
    return JoinResponse(own.votes, True)
