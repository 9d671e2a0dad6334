"""A member that was removed stays out until a new process asks.

A model of one member's process, the leader and the messages between them explores every order of: a removal, changes of
the leader, messages that arrive late or after others, requests to join, replication, restarts. The decisions are those
of the program; time is abstracted to "before" and "after" `REMOVED_JOIN_DELAY`.
"""

from collections import deque
from typing import NamedTuple

import pytest
from test_replication_member import cluster  # noqa: F401  (a fixture)
from test_replication_wire import run

from loftweir.net.loop import SECOND
from loftweir.operations.calls import Verb
from loftweir.replication import member as member_module
from loftweir.replication import seats, wire
from loftweir.replication.api import Member
from loftweir.replication.line import dial
from loftweir.replication.seats import MembershipStep, OwnMembership, next_join_step, next_own_step
from loftweir.replication.wire import JoinRequest, JoinResponse, StatusResponse

ADDRESS = "127.0.0.1:1"
VOTER = Member("id-n0", "n0", ADDRESS)
LEARNER = Member("id-n0", "n0", ADDRESS, votes=False)
OTHER = Member("id-n1", "n1", "127.0.0.1:2")
JOIN = JoinRequest(VOTER.id, VOTER.name, VOTER.address)
SLOTS = ("n0", "n1")


class World(NamedTuple):
    """The members by the leader's log, and the process of n0 with the messages to and from it."""

    members: tuple[Member, ...]
    certain: bool = True  # the leader is sure of its members
    latest: Member | None = None  # n0's entry in the log of its own process
    listed: bool = False
    ended: bool = False
    answers: frozenset[StatusResponse] = frozenset()  # that may still arrive
    joins: frozenset[tuple[JoinRequest, bool]] = frozenset()  # that may still arrive; whether a new process sent it
    # OK was said to the removal of a process that knew of its membership, and no new process has asked since.
    removed: bool = False
    recently_removed: bool = False
    restarted: bool = False

    @property
    def broken(self) -> bool:
        return self.removed and VOTER.id in {member.id for member in self.members}


def status(world):
    return StatusResponse(False, True, OTHER.address, OTHER.name, OTHER.address, world.members, world.certain)


def own_membership(world):
    return OwnMembership(VOTER.id, ADDRESS, world.latest, world.listed)


def replicated(world):
    """n0 has got all entries of the leader, which sends them to members and to one that it has just removed."""
    return world._replace(latest=next((member for member in world.members if member.id == VOTER.id), None))


def answered(world, answer):
    """n0 decides by an answer, which may be an old one."""
    step = next_own_step(own_membership(world), [answer])
    listed = world.listed or answer.sure and VOTER.id in {member.id for member in answer.members}
    if step is MembershipStep.END:
        return world._replace(ended=True)
    if step is MembershipStep.JOIN:
        return world._replace(joins=world.joins | {(JOIN, world.restarted)}, listed=listed)
    return world._replace(listed=listed)


def joined(world, sent):
    """The leader decides on a request to join, which may be an old one."""
    request, by_new_process = sent
    step = next_join_step(
        request, world.members, SLOTS, lambda id: False, lambda id: world.recently_removed, lambda id: 0
    )
    world = world._replace(joins=world.joins - {sent})
    if isinstance(step, JoinResponse):
        return world
    return world._replace(members=step, removed=world.removed and not by_new_process)


def next_worlds(world):
    """Each step that can come next, by its name."""
    if world.certain:
        yield "the leader changes", world._replace(certain=False)
    else:
        yield "the leader is sure", world._replace(certain=True)
    if world.certain and len(world.members) == 2 and not world.removed:
        yield (
            "FLEET-REMOVE n0",
            world._replace(members=(OTHER,), removed=world.listed, recently_removed=True, restarted=False),
        )
    if world.recently_removed:  # what was on its way at the removal has arrived by now, or its sender has given it up
        yield "time passes", world._replace(recently_removed=False, answers=frozenset(), joins=frozenset())
    if world.removed:
        yield (
            "n0 restarts",
            World(
                world.members,
                world.certain,
                world.latest,
                joins=world.joins,
                removed=True,
                recently_removed=world.recently_removed,
                restarted=True,
            ),
        )
    for sent in world.joins:
        yield "a join arrives", joined(world, sent)
    if world.ended:
        return
    yield "status", world._replace(answers=world.answers | {status(world)})
    yield "replication", replicated(world)
    for answer in world.answers:
        yield "an answer arrives", answered(world, answer)


def explore(start):
    """The worlds that can be reached, each with the step and the world before it."""
    seen, queue = {start: None}, deque([start])
    while queue:
        world = queue.popleft()
        for name, reached in next_worlds(world):
            if reached not in seen:
                seen[reached] = name, world
                queue.append(reached)
    return seen


def path_to(world, seen):
    steps = []
    while seen[world] is not None:
        name, world = seen[world]
        steps.append(name)
    return steps[::-1]


def violations(start):
    seen = explore(start)
    return [path_to(world, seen) for world in seen if world.broken], seen


IN_PLACE = World((VOTER, OTHER), latest=VOTER, listed=True)
STARTS = {
    "a voter": IN_PLACE,
    "a learner that is listed, without any entry yet": World((LEARNER, OTHER), listed=True),
    "a voter whose next leader is not sure": IN_PLACE._replace(certain=False),
    "a voter at another address": World((Member(VOTER.id, VOTER.name, "127.0.0.1:9"), OTHER), listed=True),
}


@pytest.mark.parametrize("start", STARTS.values(), ids=STARTS)
def test_removed_stays_removed_in_every_order_of_events(start):
    broken, seen = violations(start)
    assert broken == [], broken[0]
    assert any(world.removed and world.ended for world in seen)


def test_a_new_process_of_a_removed_member_is_taken_in_again():
    seen = explore(IN_PLACE)
    assert any(world.restarted and VOTER.id in {m.id for m in world.members} and not world.removed for world in seen)


def test_the_model_finds_a_process_that_asks_to_be_taken_in_again(monkeypatch):
    def ask_without_memory(own, answers):
        return seats.next_own_step(own._replace(was_member=False), answers)

    monkeypatch.setitem(globals(), "next_own_step", ask_without_memory)
    broken, _ = violations(IN_PLACE)
    assert broken


def test_the_model_finds_a_leader_that_takes_in_by_a_late_request(monkeypatch):
    def take_in(request, members, listed, heard, removed, lag):
        return seats.next_join_step(request, members, listed, heard, lambda id: False, lag)

    monkeypatch.setitem(globals(), "next_join_step", take_in)
    broken, _ = violations(STARTS["a learner that is listed, without any entry yet"])
    assert broken


def test_a_leader_refuses_a_request_that_may_be_older_than_the_removal(cluster, monkeypatch):  # noqa: F811
    leader = cluster.leader()
    removed = cluster.others(leader)[0]
    name, id, address = removed.name, removed.voter.me, leader.slots[removed.name]
    removed.close()
    assert cluster.execute(leader, Verb.FLEET_REMOVE, name) == "removed"

    def ask():
        loop = cluster.loop
        hello = wire.Hello(wire.VERSION, "loftweir", id, name, wire.ConnectionKind.CALLER)
        connection, _ = yield from dial(loop, leader.slots[leader.name], hello, loop.now() + SECOND)
        connection.put(JoinRequest(id, name, address))
        answer = yield from connection.next(loop.now() + 5 * SECOND)
        connection.close()
        return answer

    answer = run(cluster.loop, ask())
    assert not answer.on and wire.RejectReason.JUST_REMOVED.value in answer.why
    assert id not in {member.id for member in leader.voter.core.members}
    monkeypatch.setattr(member_module, "REMOVED_JOIN_DELAY", 0)
    assert run(cluster.loop, ask()).on and leader.voter.member(id) is not None
