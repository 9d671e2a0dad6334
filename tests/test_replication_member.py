"""One voter in the test's own process, on a real disk and real sockets; the test plays the members and callers."""

import os
import threading

import msgspec
import pytest
from scene import address_of, listener
from test_replication_wire import Machines, Voter, run, until

from loftweir.config.model import Replication
from loftweir.net.loop import MS, SECOND, Loop, Wait
from loftweir.operations.calls import Call, No
from loftweir.operations.calls import Word as Say
from loftweir.replication import wire
from loftweir.replication.api import AskVote, Member, Role, Vote
from loftweir.replication.line import dial
from loftweir.replication.machine import Order, Word, written
from loftweir.replication.part import Part
from loftweir.replication.wire import Am, Ask, Hello, Kind, Submit, Turned, Who, Why, WordOf


def order_of(number, name, out):
    return Submit(0, written(Order("w", number, Word(name, out, number), 0)))


class Place:
    """A part that votes as n0; n1 and n2 are toys that hear what it says."""

    def __init__(self, folder):
        self.loop, self.heard, self.told, self.lines = Loop(), [], [], []
        self.toys = {n: Voter(self.heard.append, hello=self.hello(f"id-{n}", n)) for n in ("n1", "n2")}
        with listener() as free:
            self.address = address_of(free)
        seats = {"n0": self.address} | {n: toy.address for n, toy in self.toys.items()}
        members = ", ".join(f"{n}={a}" for n, a in seats.items())
        options = Replication(members=members, folder=str(folder / "copies"), callers=4, write_within=300 * MS)
        self.part = Part(self.loop, "n0", options, lambda words, whole: self.told.append((words, whole)))

    def hello(self, id, name, kind=Kind.MEMBER, **changes):
        return msgspec.structs.replace(Hello(wire.VERSION, "loftweir", id, name, kind), **changes)

    def vote(self):
        self.part.recall()
        self.part.start()
        return self.part.voter

    def line(self, hello):
        found = run(self.loop, dial(self.loop, self.address, hello, self.loop.now() + SECOND))
        if isinstance(found, Exception):
            raise found
        self.lines.append(found[0])
        return found[0]

    def ask(self, line, frame):
        line.put(frame)
        return run(self.loop, line.next(self.loop.now() + SECOND))

    def rest(self, time=150 * MS):
        def wait():
            yield Wait(None, 0, self.loop.now() + time)

        run(self.loop, wait())

    def votes(self):
        return [frame for frame in self.heard if isinstance(frame, Vote)]

    def close(self):
        self.part.close()
        for toy in self.toys.values():
            toy.close()


@pytest.fixture
def place(tmp_path, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    made = Place(tmp_path)
    yield made
    made.close()


def ask_vote(voter, sender, term=3, to=None):
    return AskVote(sender=sender, to=to or voter.me, term=term, last_index=5, last_term=2, pre=False)


def test_nothing_is_said_before_what_it_rests_on_is_stable(place, monkeypatch):
    voter, gate, sync = place.vote(), threading.Event(), os.fdatasync
    monkeypatch.setattr(os, "fdatasync", lambda fd: (gate.wait(10), sync(fd))[1])
    place.line(place.hello("id-n1", "n1")).put(ask_vote(voter, "id-n1"))
    assert until(place.loop, lambda: voter.core.term == 3)
    place.rest()
    assert not place.votes()
    gate.set()
    assert until(place.loop, place.votes) and place.votes()[0].granted


def test_founding_counts_only_once_it_is_stable(place, monkeypatch):
    voter, gate, sync = place.vote(), threading.Event(), os.fdatasync
    monkeypatch.setattr(os, "fdatasync", lambda fd: (gate.wait(10), sync(fd))[1])
    members = tuple(Member(id, n, "127.0.0.1:1") for id, n in ((voter.me, "n0"), ("id-n1", "n1"), ("id-n2", "n2")))
    voter.found(members)
    place.line(place.hello("id-n1", "n1")).put(ask_vote(voter, "id-n1"))
    place.rest()
    assert voter.core.role is Role.OUT and voter.core.term == 0 and not voter.am(tuple(voter.seats)).empty
    gate.set()
    assert until(place.loop, lambda: voter.core.members == members)


def test_messages_for_another_id_or_in_anothers_name_are_not_taken(place):
    voter = place.vote()
    line = place.line(place.hello("id-n1", "n1"))
    assert place.ask(line, ask_vote(voter, "id-n1", to="id-old")) == Turned(Why.ANOTHER_ID, voter.me)
    line.put(ask_vote(voter, "id-n2"))
    assert isinstance(run(place.loop, line.next(place.loop.now() + SECOND)), OSError)
    assert voter.core.term == 0


def test_who_asked_last_of_a_seat_before_the_founding_is_the_one_that_is_heard(place):
    voter = place.vote()
    am = None
    for id in ("id-n1", "id-n1-anew"):  # the disk of n1 was lost in between
        am = place.ask(place.line(place.hello(id, "n1", Kind.CALLER)), Who(tuple(voter.seats)))
    assert am == Am(True, True, place.address, "", "", ())
    assert not place.ask(place.line(place.hello("x", "n2", Kind.CALLER)), Who(("n0", "n2"))).agrees
    place.line(place.hello("id-n1", "n1")).put(ask_vote(voter, "id-n1", 3))
    place.rest()
    assert voter.core.term == 0
    place.line(place.hello("id-n1-anew", "n1")).put(ask_vote(voter, "id-n1-anew", 4))
    assert until(place.loop, lambda: voter.core.term == 4)
    assert not place.ask(place.line(place.hello("x", "n2", Kind.CALLER)), Who(tuple(voter.seats))).empty


def test_too_many_callers_are_turned_away_but_not_a_member(place):
    voter = place.vote()
    lines = [place.line(place.hello(f"id-f{n}", f"f{n}", Kind.CALLER)) for n in range(4)]
    with pytest.raises(wire.TurnedAway, match="as many as may be"):
        place.line(place.hello("f", "f", Kind.CALLER))
    assert place.ask(place.line(place.hello("id-n1", "n1", Kind.CALLER)), Who(tuple(voter.seats))).agrees
    answer = place.ask(lines[0], Ask(1, WordOf("s0")))
    assert (answer.sure, answer.index, answer.age, answer.value) == (False, 0, None, b"\xc0")
    assert place.ask(lines[1], Submit(2, b"?")).how is wire.How.DONE, "never an order: refused at once, by any voter"
    lines[2].close()
    place.rest(50 * MS)
    place.line(place.hello("id-f9", "f9", Kind.CALLER))


def test_what_was_known_holds_over_a_start_and_until_more_is_known(place):
    copies, part = Machines(), place.part
    ids = frozenset({"a", "b"})
    for number, (name, out) in enumerate((("s0", True), ("s1", True), ("s1", False)), 1):
        copies.apply(order_of(number, name, out))
    part._tell(copies.machine, ids)
    part.close()  # writes what was not written yet
    told, fresh = [], Part(place.loop, "f0", part.options, lambda *said: told.append(said))
    fresh.recall()
    assert [(sorted(words), whole) for words, whole in told] == [(["s0", "s1"], True)]
    assert (fresh.index, fresh.out()) == (3, ["s0"]) and fresh.age() is not None
    behind = Machines()
    behind.apply(order_of(1, "s7", True))
    fresh._tell(behind.machine, frozenset({"b"}))
    assert len(told) == 1 and (fresh.index, fresh.out()) == (3, ["s0"])
    fresh._tell(behind.machine, frozenset({"x"}))  # another cluster: begun anew
    assert told[1][1] and fresh.out() == ["s7"]
    other = Part(place.loop, "f0", msgspec.structs.replace(part.options, cluster="other"), print)
    other.recall()
    assert other.index == 0


def test_a_call_that_can_not_be_promised_says_why_and_what_to_do(place):
    place.vote()
    found = run(place.loop, place.part.do(Call(Say.FLEET_DISABLE, "s0")))
    assert isinstance(found, No) and str(found).startswith("OutcomeUnknown: ") and "Ask `FLEET`" in str(found)
