"""The answer to each operator's command of the fleet, by what became of a first try and of the next ones.

An OK is a promise, `NoMajority` and a rejection mean that the command has no effect and never will, and everything else
is `OutcomeUnknown`.
"""

import pytest
from test_replication_wire import ReplicatedState, run, voters  # noqa: F401  (a fixture)

from loftweir.config.model import Replication
from loftweir.net.loop import MS, SECOND, Loop
from loftweir.operations.calls import No, OperatorCommand, Verb
from loftweir.replication import wire
from loftweir.replication.machine import CapacityExceeded, EndSession, Ok, encode
from loftweir.replication.part import ReplicationAgent
from loftweir.replication.wire import CommandOutcome, OutcomeCode, QueryRequest, QueryResponse, RemoveMember

DISABLED = b"\xc3"  # of an override in msgpack: it is out
FIRST_TRIES = {
    "none": None,
    "no answer": lambda frame: None,
    "the connection ended": lambda frame: ...,
    "lost": lambda frame: CommandOutcome(frame.token, OutcomeCode.LOST),
    "not the leader": lambda frame: CommandOutcome(frame.token, OutcomeCode.NOT_LEADER),
}
UNCERTAIN = ("no answer", "the connection ended", "lost")


def done(frame):
    result = b"" if isinstance(frame, RemoveMember) else encode(Ok(9))
    return CommandOutcome(frame.token, OutcomeCode.DONE, 9, result)


def refused(frame):
    if isinstance(frame, RemoveMember):
        return CommandOutcome(frame.token, OutcomeCode.UNFIT, 0, b"without f9 there is no majority")
    return CommandOutcome(frame.token, OutcomeCode.DONE, 9, encode(CapacityExceeded(9, "words", 1)))


def no_such_member(frame):
    return CommandOutcome(frame.token, OutcomeCode.UNFIT, 0, wire.no_such_member("s9"))


# The answer to the next tries: the expected text after a first try that had no effect, and after an uncertain one.
NEXT = {
    "done": (done, "OK", "OK"),
    "refused": (refused, "refused", "refused"),  # under the same number: the state machine answers for both tries
    "lost": (FIRST_TRIES["lost"], "OutcomeUnknown", "OutcomeUnknown"),
    "no answer": (FIRST_TRIES["no answer"], "OutcomeUnknown", "OutcomeUnknown"),
    "not the leader": (FIRST_TRIES["not the leader"], "NoMajority", "OutcomeUnknown"),
    "busy": (lambda frame: CommandOutcome(frame.token, OutcomeCode.BUSY), "NoMajority", "OutcomeUnknown"),
}
# A removal has no number: a refusal of the next try leaves open what becomes of the first one.
NEXT_REMOVAL = NEXT | {
    "refused": (refused, "refused", "OutcomeUnknown"),
    "no such member": (no_such_member, "refused", "OK"),
}
OKS = {
    Verb.FLEET_DISABLE: "disabled, at index 9",
    Verb.FLEET_ENABLE: "enabled, at index 9",
    Verb.FLEET_REMOVE: "removed",
}


def cases():
    for verb in OKS:
        table = NEXT_REMOVAL if verb is Verb.FLEET_REMOVE else NEXT
        for first in FIRST_TRIES:
            for name, (answer, certain, uncertain) in table.items():
                expected = uncertain if first in UNCERTAIN else certain
                yield pytest.param(verb, FIRST_TRIES[first], answer, expected, id=f"{verb.value}-{first}-{name}")


def outcome_of(loop, agent, verb):
    """The kind of the answer: OK, refused, or the error's type."""
    answer = run(loop, agent.execute(OperatorCommand(verb, "s9")))
    if isinstance(answer, str):
        assert answer == OKS[verb]
        return "OK"
    assert isinstance(answer, No)
    kind = str(answer).split(":")[0]
    return kind if kind in ("NoMajority", "OutcomeUnknown") else "refused"


def make_agent(loop, made, folder, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(folder))
    members = ", ".join(f"n{n}={voter.address}" for n, voter in enumerate(made))
    options = Replication(members=members, election=50 * MS, beat=10 * MS, write_within=900 * MS)
    return ReplicationAgent(loop, "f0", options, lambda overrides, complete: None)


@pytest.mark.parametrize(("verb", "first", "later", "expected"), list(cases()))
def test_the_answer_says_what_is_known(voters, tmp_path, monkeypatch, verb, first, later, expected):  # noqa: F811
    tries = []

    def answer(frame):
        if isinstance(frame, QueryRequest):  # of FLEET-ENABLE: the provider is disabled
            return QueryResponse(frame.token, OutcomeCode.DONE, True, 8, 0, b"\x93" + DISABLED + b"\x03\x04")
        tries.append(frame)
        return first(frame) if len(tries) == 1 and first is not None else later(frame)

    loop = Loop()
    agent = make_agent(loop, voters(answer, answer, answer), tmp_path, monkeypatch)
    assert outcome_of(loop, agent, verb) == expected
    agent.proposer.close()


@pytest.mark.parametrize("is_out", [False, True], ids=["a read finds it in", "a read finds it out"])
@pytest.mark.parametrize("is_first", [True, False], ids=["first command", "later command"])
@pytest.mark.parametrize(
    ("unknown", "later"),
    [(Verb.FLEET_DISABLE, Verb.FLEET_ENABLE), (Verb.FLEET_ENABLE, Verb.FLEET_DISABLE)],
    ids=["disable, enable", "enable, disable"],
)
def test_a_late_copy_of_a_command_does_not_undo_a_later_one_that_was_answered_ok(
    voters,  # noqa: F811
    tmp_path,
    monkeypatch,
    unknown,
    later,
    is_first,
    is_out,
):
    """Guards against an OK that is undone by an earlier command of the same sidecar whose outcome was not known."""
    state, late = ReplicatedState(), []
    silent = False

    def answer(frame):
        if isinstance(frame, QueryRequest):
            out = is_out or silent  # else the first command would be answered without a write
            value = b"\x93" + DISABLED + b"\x03\x04" if out else b"\xc0"
            return QueryResponse(frame.token, OutcomeCode.DONE, True, state.machine.index, 0, value)
        if silent:
            late.append(frame)
            return None
        return state.apply(frame)

    loop = Loop()
    agent = make_agent(loop, voters(answer, answer, answer), tmp_path, monkeypatch)
    if not is_first:
        run(loop, agent.proposer.write(EndSession("another"), SECOND))
    silent = True
    assert outcome_of(loop, agent, unknown) == "OutcomeUnknown"
    silent = False
    assert isinstance(run(loop, agent.execute(OperatorCommand(later, "s9"))), str)
    for frame in late:
        state.apply(frame)
    override = state.machine.overrides.get("s9")
    assert (override is not None and override.out) is (later is Verb.FLEET_DISABLE)
    agent.proposer.close()
