"""Sockets and frames of the replication without processes: connections, joining, proposers and observers of stub
voters.
"""

import pickle
import select
import socket
import struct
import threading
import time
from contextlib import suppress
from zlib import crc32

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from scene import address_of, listener
from support import endpoint, full_list, list_changes

from loftweir.config.model import Replication
from loftweir.interface import Lifecycle
from loftweir.net.loop import MS, SECOND, Loop, Wait
from loftweir.operations.overlay import Overlay
from loftweir.operations.record import HOUR, Override, OverrideRecord
from loftweir.replication import follower as follower_module
from loftweir.replication import wire
from loftweir.replication.api import AppendEntries, Entry, EntryKind, Member, TimeoutNow
from loftweir.replication.caller import NoMajority, NotTaken, OutcomeUnknown, Proposer
from loftweir.replication.follower import Observer
from loftweir.replication.line import FrameConnection
from loftweir.replication.links import MemberLink
from loftweir.replication.machine import Command, Machine, Ok, SetOverride, UnknownSession, encode
from loftweir.replication.seats import MAX_LEARNER_LAG, founding_members, next_join_step
from loftweir.replication.wire import (
    BadFrame,
    CommandOutcome,
    CommittedEntry,
    FollowRequest,
    FollowResponse,
    FrameReader,
    Hello,
    JoinRequest,
    JoinResponse,
    OutcomeCode,
    StatusResponse,
)

HELLO = Hello(wire.VERSION, "loftweir", "id-v", "n0", wire.ConnectionKind.MEMBER)
FRAMES = st.lists(
    st.one_of(
        st.builds(CommittedEntry, st.integers(0, 9), st.binary(max_size=300)).map(
            lambda committed: FollowResponse(0, committed.index, None, False, "n0", ("a",), (committed,), False)
        ),
        st.builds(FollowRequest, st.integers(0, 9), st.integers(0, 9)),
        st.builds(TimeoutNow, sender=st.text(max_size=5), to=st.text(max_size=5), term=st.integers(0, 9)),
    ),
    max_size=6,
).map(lambda rest: [HELLO, *rest])


# ---- frames and connections ---------------------------------------------------------------------


@settings(derandomize=True, deadline=None)
@given(FRAMES, st.lists(st.integers(1, 200), min_size=1))
def test_frames_are_decoded_however_the_bytes_are_split(frames, cuts):
    data, reader, decoded, at = b"".join(map(wire.encode_frame, frames)), FrameReader(), [], 0
    while at < len(data):
        cut = cuts[at % len(cuts)]
        reader.feed(data[at : at + cut])
        at += cut
        decoded += reader.all()
    assert decoded == frames


@settings(derandomize=True, deadline=None)
@given(FRAMES, st.data())
def test_a_changed_byte_never_yields_another_frame(frames, draw):
    data = bytearray(b"".join(map(wire.encode_frame, frames)))
    at = draw.draw(st.integers(0, len(data) - 1))
    data[at] ^= draw.draw(st.integers(1, 255))
    reader, decoded = FrameReader(), []
    reader.feed(bytes(data))
    with suppress(BadFrame):
        for frame in reader.all():
            decoded.append(frame)
    assert decoded == frames[: len(decoded)] and len(decoded) < len(frames)


def test_invalid_frames_are_rejected_before_they_are_buffered():
    def framed(body):
        return struct.pack(">II", len(body), crc32(body)) + body

    bodies = [pickle.dumps(HELLO), msgspec.msgpack.encode({"type": "hello", "more": 1}), b"", b"\x91" * 3000]
    bad = [framed(body) for body in bodies] + [struct.pack(">II", wire.MAX_HELLO_SIZE + 1, 0)]
    bad.append(wire.encode_frame(HELLO) + struct.pack(">II", wire.MAX_FRAME_SIZE + 1, 0))
    for data in bad:
        reader = FrameReader()
        reader.feed(data)
        with pytest.raises(BadFrame):
            list(reader.all())


def test_a_connection_that_is_not_read_drops_only_its_oldest_entries():
    near, far = socket.socketpair()
    near.setblocking(False)
    loop = Loop()
    connection = FrameConnection(loop, near, max_unsent_bytes=1024 * 1024)
    for n in range(80):
        entry = Entry(n + 1, 1, EntryKind.WRITE, bytes(64 * 1024))
        connection.put(
            AppendEntries(sender="a", to="b", term=1, prev_index=n, prev_term=1, entries=(entry,), commit=0, round=n),
            True,
        )
        if n == 40:
            connection.put(TimeoutNow(sender="a", to="b", term=1))
        assert connection.unsent_bytes <= connection.max_unsent_bytes
    reader, decoded = FrameReader(), []
    reader.first = False
    far.setblocking(False)
    while connection.unsent_bytes or select.select([far], [], [], 0)[0]:
        reader.feed(far.recv(1024 * 1024))
        decoded += reader.all()
        connection._flush()
    rounds = [frame.round for frame in decoded if isinstance(frame, AppendEntries)]
    assert rounds == sorted(rounds) and rounds[-1] == 79 and len(rounds) < 80
    assert sum(isinstance(frame, TimeoutNow) for frame in decoded) == 1
    for _ in range(40):  # too much that must not be dropped: the connection is aborted
        connection.put(FollowRequest(0, 0))
        connection.write(bytes(64 * 1024))
    assert connection.closed and connection.unsent_bytes == 0
    connection.close(), far.close()


# ---- founding and joining -----------------------------------------------------------------------

NAMES = ("n0", "n1", "n2", "n3", "n4")


def never(id):
    """A condition that no member fulfils."""
    return False


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 3), st.booleans(), st.integers(0, 200)), max_size=80))
def test_members_join_in_steps_of_one_voter_and_never_replace_a_live_one(steps):
    members = tuple(Member(f"{name}-0", name, "a:1") for name in NAMES[:3])
    for name, life, lives, behind in steps:
        join = JoinRequest(f"{name}-{life}", name, f"a:{life}")
        step = next_join_step(
            join, members, NAMES, lambda id, lives=lives: lives, never, lambda id, behind=behind: behind
        )
        if isinstance(step, JoinResponse):
            own = [m for m in members if m.id == join.id]
            assert own or (lives and any(m.name == name for m in members))
            assert step.votes == any(m.votes for m in own)
            continue
        voters, after = ({m.id for m in ms if m.votes} for ms in (members, step))
        assert step != members and len(voters ^ after) <= 1 and len({m.name for m in step}) == len(step)
        assert not voters - after or not lives
        assert not after - voters or behind <= MAX_LEARNER_LAG
        members = step
    for name in NAMES:  # in the end all of them join
        join, count = JoinRequest(f"{name}-9", name, "a:9"), 0
        while not isinstance(step := next_join_step(join, members, NAMES, never, never, lambda _: 0), JoinResponse):
            members, count = step, count + 1
        assert step.votes and count <= 3
    assert isinstance(
        next_join_step(JoinRequest("x", "x", "a:1"), members, NAMES, never, never, lambda _: 0), JoinResponse
    )


def test_a_cluster_is_founded_by_the_first_member_and_only_if_all_are_empty():
    def status(empty=True, agrees=True):
        return StatusResponse(empty, agrees, "a:2", "", "", ())

    me, names = Member("i0", "n0", "a:1"), ("n0", "n1", "n2")
    answers = {"n1": ("i1", status()), "n2": ("i2", status())}
    assert [m.id for m in founding_members(me, "n0", names, answers)] == ["i0", "i1", "i2"]
    for wrong in (
        {"n1": answers["n1"]},
        answers | {"n2": ("i2", status(empty=False))},
        answers | {"n2": ("i2", status(agrees=False))},
        answers | {"n2": ("i1", status())},
    ):
        assert not founding_members(me, "n0", names, wrong)
    assert not founding_members(
        Member("i1", "n1", "a:1"), "n0", names, {"n0": ("i0", status()), "n2": ("i2", status())}
    )


# ---- overrides and the endpoint list ------------------------------------------------------------


def test_a_provider_disabled_by_either_override_is_out_and_returns_as_of_the_later_one():
    overlay = Overlay()
    overlay.update(full_list(endpoint("s-1"), endpoint("s-2")), {"s-1": "a", "s-2": "b"})
    update, where = overlay.apply_fleet({"s-1": Override(50, True), "s-9": Override(1, True)}, False)
    assert [e.lifecycle for e in update.endpoints] == [Lifecycle.DRAINING] and where == {"s-1": "a"}
    overlay.apply_record(OverrideRecord().with_override("s-1", True, 60))
    update, _ = overlay.apply_fleet({"s-1": Override(70, False)}, False)
    assert update.endpoints[0].lifecycle is Lifecycle.DRAINING
    update, _ = overlay.apply_record(OverrideRecord().with_override("s-1", True, 60).with_override("s-1", False, 65))
    back = update.endpoints[0]
    assert (back.lifecycle, back.started_at, back.reenabled) == (Lifecycle.READY, 70, True)
    later, _ = overlay.update(list_changes(endpoint("s-1", started_at=80 + HOUR)), {"s-1": "a"})
    back = later.endpoints[0]
    assert (back.started_at, back.reenabled) == (80 + HOUR, False), (
        "a later start, after which it was not enabled again"
    )
    overlay.update(list_changes(endpoint("s-1")), {"s-1": "a"})
    assert overlay.knows("s-9") and overlay.apply_fleet({"s-1": Override(70, False)}, False) is None
    listed, _ = overlay.update(list_changes(endpoint("s-9")), {"s-9": "c"})
    assert listed.endpoints[0].lifecycle is Lifecycle.DRAINING
    update, _ = overlay.apply_fleet({}, True)
    assert {(e.address, e.lifecycle, e.reenabled) for e in update.endpoints} == {
        ("s-1", Lifecycle.READY, True),
        ("s-9", Lifecycle.READY, False),
    }


# ---- a stub voter -------------------------------------------------------------------------------


class StubVoter:
    """Sends a `Hello` on each connection, and answers each frame with `answer(frame)`; None: no response; ...: it hangs
    up.
    """

    def __init__(self, answer, hello=HELLO):
        self.answer, self.hello, self.seen, self.socks = answer, hello, [], []
        self.listener = listener()
        self.address = address_of(self.listener)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.socks.append(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        reader = FrameReader()
        with suppress(OSError):
            while data := sock.recv(65536):
                reader.feed(data)
                for frame in reader.all():
                    answer = self.hello if isinstance(frame, Hello) else self.answer(frame)
                    if not isinstance(frame, Hello):
                        self.seen.append(frame)
                    if answer is ...:
                        sock.close()
                        return
                    for one in answer if isinstance(answer, list) else [answer] if answer is not None else ():
                        sock.sendall(wire.encode_frame(one))

    def close(self):
        for sock in (self.listener, *self.socks):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


@pytest.fixture
def voters():
    made = []

    def make(*answers, **more):
        made.extend(StubVoter(answer, **more) for answer in answers)
        return made

    yield make
    for voter in made:
        voter.close()


def run(loop, coroutine, seconds=10):
    """Runs the loop until a coroutine ends; returns its result, or the error that it raised."""
    results = []

    def chunk():
        try:
            results.append((yield from coroutine))
        except Exception as error:
            results.append(error)
        loop.stopped = True

    loop.spawn(chunk())
    loop.after(seconds * SECOND, lambda: setattr(loop, "stopped", True))
    loop.stopped = False
    loop.run()
    return results[0]


def run_until(loop, check):
    def poll():
        while not check():
            yield Wait(None, 0, loop.now() + 5 * MS)
        return True

    return run(loop, poll())


def make_proposer(loop, voters):
    addresses = {f"n{n}": voter.address for n, voter in enumerate(voters)}
    return Proposer(loop, "f0", "id-f", Replication(election=50 * MS, beat=10 * MS), addresses, lambda: 7)


def command_of(frame):
    return msgspec.msgpack.decode(frame.order, type=Command)


class ReplicatedState:
    """The state behind the stub voters of one test."""

    def __init__(self):
        self.machine = Machine()

    def apply(self, frame):
        result = self.machine.apply(self.machine.index + 1, frame.order)
        return CommandOutcome(frame.token, OutcomeCode.DONE, result.index, encode(result))


def test_a_write_whose_response_is_lost_is_retransmitted_and_applied_once(voters):
    state = ReplicatedState()

    def first(frame):
        state.apply(frame)
        return ...

    made = voters(first, lambda frame: state.apply(frame))
    loop = Loop()
    proposer = make_proposer(loop, made)
    proposer.writes.target, proposer.writes.address = "n0", made[0].address
    results = [run(loop, proposer.write(SetOverride(f"s{n}", True, 1), 2 * SECOND)) for n in range(2)]
    assert [type(result) for result in results] == [Ok, Ok]
    sent = [command_of(frame) for voter in made for frame in voter.seen]
    assert [command.number for command in sent] == [1, 1, 2] and len({command.session for command in sent}) == 1
    assert sent[0] == sent[1] and state.machine.overrides["s0"].log_index == 1
    proposer.close()


def test_a_named_leader_is_used_next(voters):
    state = ReplicatedState()
    made = voters(
        lambda frame: CommandOutcome(frame.token, OutcomeCode.NOT_LEADER, leader="n2"), lambda frame: ..., state.apply
    )
    loop = Loop()
    proposer = make_proposer(loop, made)
    proposer.writes.names = ["n0", "n1", "n2"]
    proposer.writes.target, proposer.writes.address = "n0", made[0].address
    assert isinstance(run(loop, proposer.write(SetOverride("s", True, 1), SECOND)), Ok)
    assert [len(voter.seen) for voter in made] == [1, 0, 1]
    proposer.close()


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (lambda frame: CommandOutcome(frame.token, OutcomeCode.NOT_LEADER), NoMajority),
        (lambda frame: CommandOutcome(frame.token, OutcomeCode.BUSY), NoMajority),
        (lambda frame: CommandOutcome(frame.token, OutcomeCode.LOST), OutcomeUnknown),
        (lambda frame: None, OutcomeUnknown),
        (lambda frame: ..., OutcomeUnknown),
        (lambda frame: CommandOutcome(frame.token, OutcomeCode.DONE, 1, b"?"), OutcomeUnknown),
    ],
)
def test_a_write_ends_in_time_with_the_outcome_as_far_as_known(voters, answer, error):
    made = voters(answer, answer)
    loop = Loop()
    began = time.monotonic()
    error_raised = run(loop, make_proposer(loop, made).write(SetOverride("s", True, 1), 600 * MS))
    assert type(error_raised) is error and error_raised.remedy and time.monotonic() - began < 2
    assert len(made[0].seen + made[1].seen) > 1 or isinstance(error_raised, OutcomeUnknown)


REFUSED = b"without f9 there is no majority"


@pytest.mark.parametrize(
    ("first", "how", "result", "error"),
    [
        ("answered", OutcomeCode.DONE, b"", None),
        ("answered", OutcomeCode.UNFIT, wire.no_such_member("f9"), NotTaken),
        ("answered", OutcomeCode.UNFIT, REFUSED, NotTaken),
        ("answered", OutcomeCode.LOST, b"", OutcomeUnknown),
        ("silent", OutcomeCode.DONE, b"", None),
        ("silent", OutcomeCode.UNFIT, wire.no_such_member("f9"), None),
        ("silent", OutcomeCode.UNFIT, REFUSED, OutcomeUnknown),
        ("silent", OutcomeCode.UNFIT, b"", OutcomeUnknown),
        ("silent", OutcomeCode.LOST, b"", OutcomeUnknown),
        ("lost", OutcomeCode.UNFIT, wire.no_such_member("f9"), None),
        ("lost", OutcomeCode.UNFIT, REFUSED, OutcomeUnknown),
        ("ended", OutcomeCode.UNFIT, REFUSED, OutcomeUnknown),
    ],
)
def test_a_removal_is_acknowledged_only_if_it_is_known_to_be_done(voters, first, how, result, error):
    """Guards against an OK for a member that votes on: a rejection after a try without an answer (review/3)."""
    tries = []

    def answer(frame):
        tries.append(frame)
        if len(tries) > 1 or first == "answered":
            return CommandOutcome(frame.token, how, 0, result)
        return {"silent": None, "ended": ..., "lost": CommandOutcome(frame.token, OutcomeCode.LOST)}[first]

    made = voters(answer, answer)
    loop = Loop()
    outcome = run(loop, make_proposer(loop, made).remove("f9", 1500 * MS))
    assert (type(outcome) if outcome is not None else None) is error


def test_a_write_that_could_not_be_sent_is_known_to_have_no_effect(voters):
    made = voters(
        lambda frame: None, lambda frame: None, hello=wire.ConnectionRejected(wire.RejectReason.CLUSTER, "other")
    )
    loop = Loop()
    error_raised = run(loop, make_proposer(loop, made).write(SetOverride("s", True, 1), 300 * MS))
    assert type(error_raised) is NoMajority and "another cluster other" in str(error_raised)


def test_an_evicted_session_is_replaced_only_if_the_command_can_not_have_been_applied(voters):
    def let_go(frame):
        command = command_of(frame)
        return CommandOutcome(
            frame.token, OutcomeCode.DONE, 9, encode(Ok(9) if command.since == 8 else UnknownSession(8))
        )

    made = voters(let_go, lambda frame: ...)
    loop = Loop()
    proposer = make_proposer(loop, made)
    proposer.writes.target, proposer.writes.address = "n0", made[0].address
    assert run(loop, proposer.write(SetOverride("s", True, 1), SECOND)) == Ok(9)
    proposer.session, proposer.since = "", 0
    proposer.writes.target, proposer.writes.address = "n1", made[1].address
    proposer.writes.close()
    assert isinstance(run(loop, proposer.write(SetOverride("s", True, 1), SECOND)), OutcomeUnknown)
    proposer.close()


def make_observer(loop, voters, applied):
    addresses = {f"n{n}": voter.address for n, voter in enumerate(voters)}
    options = Replication(election=50 * MS, beat=10 * MS, follow_wait=100 * MS)
    return Observer(loop, "f0", "id-f", options, addresses, applied)


def committed_commands(length, name="s"):
    commands = [encode(Command("w", n, SetOverride(f"{name}{n}", True, n), 0)) for n in range(1, length + 1)]
    return [CommittedEntry(n, data) for n, data in enumerate(commands, 1)]


def voter_with_entries(entries, members=("a", "b"), age=0, leads=True):
    """The answer function of a stub voter with these entries."""

    def answer(frame):
        if isinstance(frame, wire.FetchSnapshot):
            machine = Machine()
            for committed in entries:
                machine.apply(committed.index, committed.data)
            data = machine.dump()
            piece = data[frame.at : frame.at + 50]
            return wire.SnapshotChunk(len(entries), frame.at, piece, len(data), age, "n0", members)
        more = tuple(entries[frame.after :])
        if not more and frame.after == len(entries):
            time.sleep(frame.wait / SECOND)
        return FollowResponse(frame.after, len(entries), age, leads, "n0", members, more, False)

    return answer


def test_an_observer_continues_at_another_voter_without_gaps_or_repeats(voters):
    entries, seen = committed_commands(3), []
    made = voters(voter_with_entries(entries), voter_with_entries(entries))
    loop = Loop()
    observer = make_observer(loop, made, lambda: seen.append(observer.machine.index))
    assert run_until(loop, lambda: observer.machine.index == 3)
    first = [voter for voter in made if voter.seen][0]
    first.close()
    entries += committed_commands(5)[3:]
    assert run_until(loop, lambda: observer.machine.index == 5) and seen == [3, 5]
    assert set(observer.machine.overrides) == {f"s{n}" for n in range(1, 6)}
    observer.close()


@pytest.mark.parametrize(
    ("wrong", "why"),
    [
        (lambda response: msgspec.structs.replace(response, entries=response.entries[1:]), "entry 2 after 0"),
        (lambda response: msgspec.structs.replace(response, entries=response.entries[:1] * 2), "entry 1 after 1"),
        (lambda response: msgspec.structs.replace(response, entries=response.entries[:1]), "end at 1"),
        (lambda response: msgspec.structs.replace(response, after=5), "entries after 5"),
        (lambda response: FollowRequest(0, 0), "not a FollowResponse"),
        (lambda response: None, "no response in time"),
    ],
)
def test_responses_with_gaps_or_repeats_are_rejected_and_another_voter_is_used(voters, wrong, why, capfd):
    entries = committed_commands(3)
    right = voter_with_entries(entries)
    made = voters(lambda frame: wrong(right(frame)), right)
    loop = Loop()
    observer = make_observer(loop, made, lambda: None)
    observer.voters = [("n0", made[0].address), ("n1", made[1].address)]
    assert run_until(loop, lambda: observer.machine.index == 3 and observer.member == "n1")
    assert why in capfd.readouterr().err
    observer.close()


def test_a_voter_that_is_behind_undoes_nothing_and_a_leader_with_another_history_does(voters):
    entries, other = committed_commands(5), committed_commands(7, "t")
    behind, ahead = voter_with_entries(entries[:2], leads=False), voter_with_entries(entries)
    made = voters(behind, ahead)
    loop = Loop()
    least = []
    observer = make_observer(loop, made, lambda: least.append(observer.machine.index))
    observer.voters = [("n1", made[1].address), ("n0", made[0].address)]
    assert run_until(loop, lambda: observer.machine.index == 5)
    made[1].answer = lambda frame: ...
    assert run_until(loop, lambda: sum(isinstance(f, FollowRequest) for f in made[0].seen) > 3)
    assert (
        min(least) == 5
        and observer.machine.index == 5
        and not any(isinstance(f, wire.FetchSnapshot) for f in made[0].seen)
    )
    made[0].answer = voter_with_entries(other, members=("x", "y"))  # founded again: all members differ
    assert run_until(loop, lambda: set(observer.machine.overrides) == {f"t{n}" for n in range(1, 8)})
    made[0].answer = made[1].answer = voter_with_entries(
        committed_commands(1, "u"), members=("x", "y")
    )  # acknowledged entries are gone
    assert run_until(loop, lambda: set(observer.machine.overrides) == {"u1"})
    observer.close()


@pytest.mark.parametrize(
    ("wrong", "why"),
    [
        (lambda chunk: msgspec.structs.replace(chunk, at=chunk.at + 10), "a chunk from byte 10"),
        (lambda chunk: msgspec.structs.replace(chunk, data=b""), "a chunk from byte 0"),
        (lambda chunk: msgspec.structs.replace(chunk, index=chunk.index + 1), "the snapshot is of index 2"),
        (lambda chunk: chunk, "the snapshot is of index 2, behind 5"),
    ],
)
def test_an_inconsistent_or_outdated_snapshot_is_rejected(voters, wrong, why, monkeypatch):
    reasons, entries = [], committed_commands(5)
    monkeypatch.setattr(follower_module, "emit", lambda event, **more: reasons.append(str(more.get("why"))))
    old, right = voter_with_entries(entries[:2]), voter_with_entries(entries)

    def answer(frame):
        if isinstance(frame, FollowRequest):
            return FollowResponse(frame.after, 5, 0, False, "n0", ("a", "b"), (), True)
        return wrong(old(frame))

    made = voters(right, answer)
    loop = Loop()
    observer = make_observer(loop, made, lambda: None)
    observer.voters = [("n0", made[0].address), ("n1", made[1].address)]
    assert run_until(loop, lambda: observer.machine.index == 5)
    before, made[0].answer = observer.machine, lambda frame: ...
    assert run_until(loop, lambda: any(isinstance(frame, wire.FetchSnapshot) for frame in made[1].seen))
    made[0].answer = right
    assert run_until(loop, lambda: observer.member == "n0") and observer.machine is before
    assert any(why in reason for reason in reasons)
    observer.close()


def test_a_voter_without_a_leader_is_replaced_and_its_reported_age_is_used(voters):
    made = voters(
        voter_with_entries(committed_commands(2), age=SECOND, leads=False),
        voter_with_entries(committed_commands(2), age=20 * MS),
    )
    loop = Loop()
    observer = make_observer(loop, made, lambda: None)
    observer.voters = [("n0", made[0].address), ("n1", made[1].address)]
    assert run_until(loop, lambda: observer.machine.index == 2)
    assert observer.member == "n0" and observer.age() >= SECOND, "committed entries are accepted from any voter"
    assert run_until(loop, lambda: observer.member == "n1" and 20 * MS <= observer.age() < SECOND)
    observer.close()


def test_responses_to_earlier_requests_are_ignored_and_the_most_recent_uncertain_answer_is_used(voters):
    state = ReplicatedState()
    made = voters(lambda frame: [CommandOutcome(frame.token - 1, OutcomeCode.NOT_LEADER), state.apply(frame)])
    loop = Loop()
    proposer = make_proposer(loop, made)
    assert isinstance(run(loop, proposer.write(SetOverride("s", True, 1), SECOND)), Ok) and len(made[0].seen) == 1
    proposer.close()
    uncertain = [
        lambda frame, n=n: wire.QueryResponse(
            frame.token, OutcomeCode.NOT_LEADER, False, n, n, msgspec.msgpack.encode(n)
        )
        for n in (3, 7, 5)
    ]
    proposer = make_proposer(loop, voters(*uncertain)[1:])
    reading = run(loop, proposer.read(wire.OverrideQuery("s"), 400 * MS))
    assert (reading.sure, reading.index, reading.value) == (False, 7, 7)
    proposer.close()


def test_a_link_to_a_member_that_is_down_buffers_little():
    loop, rejections = Loop(), []
    with listener() as sock:
        address = address_of(sock)
    link = MemberLink(loop, "id", HELLO, lambda: address, lambda *why: rejections.append(why))
    for n in range(100):
        link.put(TimeoutNow(sender="a", to="id", term=n))
    assert len(link.queue) == 8 and link.queue[-1].term == 99
    may_drop_values = []
    link.connection = type(
        "Connection", (), {"put": lambda self, message, may_drop: may_drop_values.append(may_drop)}
    )()
    link.put(TimeoutNow(sender="a", to="id", term=1))
    link.put(AppendEntries(sender="a", to="id", term=1, prev_index=0, prev_term=0, entries=(), commit=0, round=1))
    assert may_drop_values == [False, True], "a vote or a response is never dropped in favour of entries"
    link.close()
