"""Decisions on the members of the configured slots: founding, joining and replacement. No I/O.

A cluster is founded once: by the first listed name, and only if all listed members have answered that their storage was
never used. A later member, or one that returns with another id, is added by the leader, one membership change at a
time: the old id of the slot is removed, the new one is added as a learner, and becomes a voter once it has nearly the
whole log.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence

from loftweir.replication.api import Member
from loftweir.replication.wire import JoinRequest, JoinResponse, RejectReason, StatusResponse

MAX_LEARNER_LAG = 64  # committed entries that a learner may lack when it becomes a voter


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
    lag: Callable[[str], int],
) -> JoinResponse | tuple[Member, ...]:
    """The leader's decision on a request to join: an answer, or the members of the next step.

    `recently_heard`: whether a member responded within the last election timeout, or may have done so (a leader that
    has just been elected can't tell). `lag`: how many committed entries a member is not known to have.
    """
    if join.name not in listed:
        return JoinResponse(False, False, f"{join.name}: {RejectReason.NOT_LISTED.value}")
    own = next((m for m in members if m.id == join.id), None)
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
