"""What the copies keep: one state and one result on every replica, each order once, everything bounded."""

import hashlib
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftweir.catalog import claims
from loftweir.replication import machine as keeping
from loftweir.replication.machine import (
    LEASES,
    MIB,
    SECOND,
    Acquire,
    EndSession,
    Expire,
    FencedValue,
    Fenced,
    Foreign,
    Full,
    Held,
    Lower,
    Machine,
    Named,
    NotHeld,
    Ok,
    Order,
    Release,
    Renew,
    Said,
    Stale,
    Unfit,
    UnknownSession,
    Unreadable,
    Word,
    checked,
    written,
)


def does(machine, act, session="s", number=None, since=None):
    """The act as the next entry; without a number, under a session of its own."""
    session, number = (session, number) if number is not None else (f"own {machine.index}", 1)
    order = Order("", 0, act) if isinstance(act, Expire) else Order(session, number, act, since)
    return machine.apply(machine.index + 1, written(order))


def some(random, index):
    """An order as a caller or leader may send it, or bytes that are none."""
    duty, holder, token = random.choice("de"), random.choice("hij"), max(1, index - random.randrange(12))
    act = random.choice([
        Word(random.choice("pqrst"), random.random() < 0.5, random.randrange(9)), Acquire(duty, holder, SECOND),
        Renew(duty, holder, token), Release(duty, holder, token), Expire(duty, token, index - random.randrange(5)),
        Fenced(duty, token, random.choice("kl"), random.randbytes(random.randrange(3))),
        EndSession(f"s{random.randrange(6)}"), Acquire(duty, "", 0),
    ])  # fmt: skip
    order = Order(f"s{random.randrange(6)}", random.randint(1, 3 + index // 9), act, random.choice([None, index // 2]))
    data = written(Order("", 0, act) if isinstance(act, Expire) and random.random() < 0.9 else order)
    return data if random.random() < 0.95 else data[: random.randrange(len(data))]


def small(monkeypatch):
    for name in ("WORDS", "SESSIONS", "FACTS"):
        monkeypatch.setattr(keeping, name, 4 if name == "SESSIONS" else 3)


def test_replicas_and_views_agree_at_every_prefix_wherever_they_began(monkeypatch):
    small(monkeypatch)
    kinds, digest = set(), hashlib.sha256()
    for seed in range(40):
        random = Random(seed)
        first, copy, view, seen = Machine(), Machine(), {}, 0
        for _ in range(150):
            index = first.index + random.choice([1, 1, 1, 2])  # others are entries of the members
            data = some(random, index)
            result, dump = first.apply(index, data), first.dump()
            assert copy.apply(index, data) == result and copy.dump() == dump
            if random.random() < 0.3:
                copy = Machine.load(dump)
                assert copy.dump() == dump and (copy.fenced_bytes, copy.words) == (first.fenced_bytes, first.words)
            if random.random() < 0.3:
                whole, words = first.words_since(seen)
                view, seen = (words if whole else view | words), index
                assert view == first.words and first.words_since(index + 1) == (False, {})
            assert len(first.words) <= 3 and len(first.sessions) <= 4 and len(first.fenced_values) <= 3
            kinds.add(type(result))
            digest.update(dump)
    assert kinds == {Ok, Held, NotHeld, Lower, Unfit, Full, Unreadable, Stale, UnknownSession}
    # Other bytes here: snapshots of this version were written otherwise, or replicas of two builds come apart.
    assert digest.hexdigest()[:16] == "e66bb6e02107a3b9"


def test_an_order_sent_again_is_answered_and_not_applied():
    machine = Machine()
    first = does(machine, Word("p", True, 1), "s", 1)
    assert does(machine, Word("p", False, 2), "t", 1) == Ok(2)
    assert does(machine, Word("p", True, 1), "s", 1) == first == Ok(1)
    assert machine.words["p"] == Said(False, 2, 2), "the second one holds"
    assert does(machine, Word("p", True, 1), "s", 3) == Ok(4), "one that was given up leaves a gap"
    assert does(machine, Word("p", False, 1), "s", 2) == Stale(5, 3) and machine.words["p"].out
    assert does(machine, Word("p", False, 1), "u", 2) == UnknownSession(6)
    unfit = does(machine, Acquire("d", "", SECOND), "s", 4)
    assert does(machine, Word("p", False, 1), "s", 4) == unfit == Unfit(7, unfit.what), "a refusal is kept too"
    assert does(machine, EndSession("s"), "s", 5) == Ok(9) == does(machine, EndSession("s"), "s", 5)
    assert does(machine, Word("p", False, 1), "s", 6) == UnknownSession(11) and machine.words["p"].out
    with pytest.raises(ValueError):
        machine.apply(11, b"")


def test_the_session_longest_unused_goes_and_a_late_first_order_begins_none_anew(monkeypatch):
    small(monkeypatch)
    machine = Machine()
    for name in "abcd":
        does(machine, Word(name, True, 1) if name == "a" else EndSession("x"), name, 1, since=machine.index)
    does(machine, EndSession("x"), "b", 2)
    does(machine, Word("a", False, 2), "e", 1, since=machine.index)
    assert list(machine.sessions) == ["c", "d", "b", "e"]
    assert does(machine, Word("a", True, 1), "a", 1, since=0) == UnknownSession(7) and not machine.words["a"].out
    assert isinstance(does(machine, Word("a", True, 1), "f", 1, since=7), Ok)
    assert isinstance(does(machine, Word("q", True, 1), "g", 1), Ok), "who states nothing is not kept out"


def test_a_lease_its_token_and_its_fence():
    machine = Machine()
    assert does(machine, Acquire("d", "h", SECOND)) == Ok(1, 1) and machine.moved == "d"
    for holder in "hi":
        assert does(machine, Acquire("d", holder, SECOND)) == Held(machine.index, "h", 1) and not machine.moved
    assert does(machine, Renew("d", "i", 1)) == NotHeld(4, 1), "another's"
    assert does(machine, Renew("d", "h", 1)) == Ok(5, 1) and machine.moved == "d"
    assert does(machine, Expire("d", 1, 1)) == Held(6, "h", 1), "renewed since"
    assert does(machine, Fenced("d", 1, "k", b"one")) == Ok(7, 1)
    assert does(machine, Expire("d", 1, 5)) == Ok(8, 1) and machine.moved == "d"
    assert does(machine, Fenced("d", 1, "k", b"late")) == NotHeld(9, 1)
    assert does(machine, Acquire("d", "i", SECOND)) == Ok(10, 10)
    for act in (Fenced("d", 1, "k", b"late"), Renew("d", "h", 1), Release("d", "h", 1), Expire("d", 1, 99)):
        assert does(machine, act) == Lower(machine.index, 1, 10)
    assert does(machine, Fenced("d", 11, "k", b"made up")) == NotHeld(15, 11)
    assert machine.fenced_values == {("d", "k"): FencedValue(b"one", 1, 7)}, "what a holder left is there for the next"
    assert does(machine, Fenced("d", 10, "k", b"")) == Ok(16, 10) and (machine.fenced_values, machine.fenced_bytes) == (
        {},
        0,
    )
    assert does(machine, Release("d", "i", 10)) == Ok(17, 10) and machine.leases == {}


def test_everything_is_bounded(monkeypatch):
    machine = Machine()
    small(monkeypatch)
    for n in range(LEASES):
        does(machine, Acquire(f"d{n}", "h", SECOND))
    assert does(machine, Acquire("one more", "h", SECOND)) == Full(machine.index, "leases", LEASES)
    for name, out in (("p", True), ("q", False), ("r", True), ("s", True)):
        assert isinstance(does(machine, Word(name, out, 1)), Ok)
    assert list(machine.words) == ["p", "r", "s"], "the one called back went"
    assert does(machine, Word("t", True, 1)) == Full(machine.index, "providers taken out", 3)
    assert isinstance(does(machine, Word("p", False, 1)), Ok)
    for key in "abc":
        assert isinstance(does(machine, Fenced("d0", 1, key, b"x" * MIB)), Ok)
    assert does(machine, Fenced("d0", 1, "d", b"x")) == Full(machine.index, "fenced values", 3)
    monkeypatch.setattr(keeping, "FACTS_SIZE", machine.fenced_bytes - 1)
    assert isinstance(does(machine, Fenced("d0", 1, "a", b"x" * MIB)), Ok), "over it already: no more, but as much"
    monkeypatch.setattr(keeping, "FACTS", 9)
    assert isinstance(does(machine, Fenced("d0", 1, "d", b"x")), Full)
    assert machine.fenced_bytes == 3 * (MIB + 3) == Machine.load(machine.dump()).fenced_bytes


@pytest.mark.parametrize("act", [
    Word("", True, 1), Word("p" * 65, True, 1), Word("p\n", True, 1), Word("p", True, -1),
    Acquire("d\x85", "h", SECOND), Acquire("d" * 129, "h", SECOND), Acquire("d", "h" * 129, SECOND),
    Acquire("d", "h", SECOND - 1), Acquire("d", "h", 3601 * SECOND), Renew("d", "", 1), Expire("", 1, 1),
    Fenced("d", 1, "", b"x"), Fenced("d", 1, "k" * 257, b""), Fenced("d", 1, "k", b"x" * (MIB + 1)),
])  # fmt: skip
def test_what_is_never_taken_is_refused_before_the_log_too(act):
    order = Order("", 0, act) if isinstance(act, Expire) else Order("s", 1, act)
    machine = Machine()
    assert isinstance(machine.apply(1, written(order)), Unfit) and not machine.words and not machine.leases
    assert isinstance(checked(written(order)), Unfit)
    assert checked(written(Order("s", 1, Word("p" * 64, True, 1)))) is None
    for order in (Order("", 0, Expire("d", 1, 1)), Order("s", 1, Expire("d", 1, 1)), Order("s", 0, EndSession("s"))):
        assert isinstance(checked(written(order)), Unfit), "an end of a lease is the leader's own"


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=60) | st.builds(
    lambda seed, at, put: (data := some(Random(seed), 5))[:at] + put + data[at + len(put) :],
    st.integers(0, 999), st.integers(0, 90), st.binary(max_size=4),
))  # fmt: skip
def test_no_bytes_end_a_member(data):
    machine = Machine()
    result = machine.apply(1, data)
    assert result.text and keeping.read_result(written(result)) == result
    assert Machine.load(machine.dump()).dump() == machine.dump()
    if checked(data) is None:
        assert not isinstance(result, Unfit | Unreadable)


def test_names_are_claimed_under_a_partners_lease_and_kept_with_their_age():
    machine = Machine()
    put = claims.written(claims.Put("stock@mill", claims.Declared()))
    assert isinstance(does(machine, Named("partner:mill", 1, put)), NotHeld)
    token = does(machine, Acquire("partner:mill", "h", SECOND)).value
    before = machine.dump()
    assert does(machine, Named("partner:mill", token, put)) == Ok(3, 3) == Ok(machine.index, 3)
    assert does(machine, Named("partner:mill", token, put)) == Ok(4, 3), "its age is that of its first entry"
    assert isinstance(does(machine, Named("other", token, put)), Unfit)
    for wrong in (b"", b"x" * keeping.CLAIM_SIZE, claims.written(claims.Put("Stock", claims.Declared()))):
        assert isinstance(does(machine, Named("partner:mill", token, wrong)), Unfit)
    assert isinstance(does(machine, Named("partner:mill", token - 1, put)), Lower)
    # Of both versions, the one without claims being what builds before this one wrote.
    assert Machine.load(before).claims is None and b"\xa7version\x01" in before
    copy = Machine.load(machine.dump())
    assert copy.claims.table == machine.claims.table and copy.dump() == machine.dump()
    for one in (machine, copy):
        assert does(one, Named("partner:mill", token, claims.written(claims.Release("stock@mill", 3)))).value == 0
    assert copy.dump() == machine.dump() and b"\xa7version\x01" in copy.dump()


def test_a_snapshot_that_is_not_this_builds_is_foreign():
    dump = Machine().dump()
    for data in (b"", dump[:-1], dump.replace(b"\xa7version\x01", b"\xa7version\x02"), dump + b"x", b"\x91" * 99_999):
        with pytest.raises(Foreign):
            Machine.load(data)
