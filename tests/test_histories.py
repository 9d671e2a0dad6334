"""Tests of the linearizability checker: it accepts correct histories, finds each kind of violation, and agrees with an
exhaustive search."""

import os
import time
from itertools import permutations
from random import Random

import pytest

from loftweir.emulator.histories import (
    OK,
    AcceptedOperation,
    Call,
    Undecided,
    counter,
    fencing_violations,
    lease,
    register,
    violations,
)


def generate_history(random, new_state, execute, count, clients=6, keys=("k",), unknown=0.0, width=40):
    """A linearizable history: calls are executed one at a time, each at a moment between its invocation and return.

    `unknown` is the share of calls without an outcome, `width` the longest time before and after a call's moment.
    """
    state, free, calls = {}, dict.fromkeys(range(clients), 0), []
    for moment in range(100, 100 + 10 * count, 10):
        key, client = random.choice(keys), random.choice([c for c in free if free[c] < moment] or [None])
        if client is None:
            continue
        state.setdefault(key, new_state())
        op, result = execute(random, state[key])
        start, end = random.randint(max(free[client] + 1, moment - width), moment), moment + random.randint(0, width)
        if random.random() < unknown:
            calls.append(Call(f"c{client}", start, None, op, None, key))
        else:
            calls.append(Call(f"c{client}", start, end, op, result, key))
            free[client] = end
    return calls


def execute_register_op(random, state):
    if random.random() < 0.5:
        return ("get",), state["value"]
    state["value"] = random.choice(VALUES)
    return ("set", state["value"]), OK


def execute_counter_op(random, state):
    if random.random() < 0.5:
        return ("get",), state["sum"]
    state["sum"] += 1
    return ("add", 1), OK


def execute_lease_op(random, state):
    name = random.choice(["acquire", "acquire", "renew", "release", "fenced"])
    holder, token = random.choice("abc"), random.choice([state["token"], state["token"], max(1, state["token"] - 1)])
    if random.random() < 0.2:
        state["holder"] = ""  # expired by the leader
    if name == "acquire":
        if state["holder"]:
            return (name, holder), ("held", state["holder"], state["token"])
        state["holder"], state["token"] = holder, state["token"] + random.randint(1, 3)
        return (name, holder), (OK, state["token"])
    op = (name, token) if name == "fenced" else (name, holder, token)
    if not state["holder"] or token != state["token"] or (name != "fenced" and holder != state["holder"]):
        return op, ("lower", state["token"]) if state["holder"] and token < state["token"] else ("not-held",)
    if name == "release":
        state["holder"] = ""
    return op, (OK, token)


SEEDS = os.environ.get("HISTORY_SEEDS", 250)  # of the comparison with the exhaustive search
VALUES = [False, True, 2, 3]
KINDS = {
    "register": (register(), lambda: {"value": False}, execute_register_op),
    "counter": (counter(), lambda: {"sum": 0}, execute_counter_op),
    "lease": (lease(), lambda: {"holder": "", "token": 0}, execute_lease_op),
}


@pytest.mark.parametrize("kind", KINDS)
def test_generated_histories_are_linearizable(kind):
    model, new_state, execute = KINDS[kind]
    for seed in range(150):
        random = Random(seed)
        calls = generate_history(
            random, new_state, execute, 60, random.randint(2, 8), ("a", "b"), random.choice([0, 0.1, 0.3])
        )
        assert violations(calls, model) == []


def is_linearizable(calls, model):
    """Tries every order of the calls."""
    for order in permutations(range(len(calls))):
        before = {(a, b) for n, a in enumerate(order) for b in order[n + 1 :]}
        if any(calls[b].returned_at is not None and calls[b].returned_at < calls[a].invoked_at for a, b in before):
            continue
        states = {model.first}
        for n in order:
            call = calls[n]
            after = {s for state in states for s in model.step(state, call.op, call.result)}
            states = after | states if call.returned_at is None else after
        if states:
            return True
    return False


@pytest.mark.parametrize("kind", KINDS)
def test_it_agrees_with_an_exhaustive_search(kind):
    """Short histories with some results or operations changed, so that about half of them are not linearizable."""
    model, new_state, execute = KINDS[kind]
    expected = []
    for seed in range(int(SEEDS)):
        random = Random(seed)
        calls = generate_history(random, new_state, execute, 6, 3, unknown=0.25, width=random.choice([4, 30]))
        results = [call.result for call in calls if call.result is not None]
        if results:
            for n in random.choices(range(len(calls)), k=random.randint(1, 3)):
                same = [c.result for c in calls if c.result is not None and c.op[0] == calls[n].op[0]]
                if calls[n].returned_at is not None:
                    calls[n] = calls[n]._replace(result=random.choice(same))
                else:
                    calls[n] = calls[n]._replace(op=random.choice(calls).op)
        expected.append(is_linearizable(calls, model))
        assert (violations(calls, model) == []) is expected[-1], calls
    assert 0.05 < expected.count(False) / len(expected) < 0.95, "both results occur"


def call(start, end, *op, result=OK, client="c", key="k"):
    return Call(client, start, end, op, result, key)


VIOLATIONS = {
    "lost write": (register(), [call(0, 1, "set", True), call(2, 3, "get", result=False)]),
    "stale read": (
        register(0),
        [call(0, 1, "set", 1), call(2, 9, "set", 2), call(3, 4, "get", result=2), call(5, 6, "get", result=1)],
    ),
    "write undone": (
        register(),
        [call(0, 1, "set", True), call(2, 3, "get", result=True), call(4, 5, "get", result=False)],
    ),
    "unknown write undone": (
        register(),
        [call(0, None, "set", True), call(2, 3, "get", result=True), call(4, 5, "get", result=False)],
    ),
    "applied twice": (counter(), [call(0, 1, "add", 1), call(2, 3, "get", result=2)]),
    "unknown, applied twice": (counter(), [call(0, None, "add", 1), call(2, 3, "get", result=2)]),
    "held by one that released it": (
        lease(),
        [call(0, 1, "acquire", "a", result=(OK, 5)), call(2, 3, "release", "a", 5, result=(OK, 5)),
         call(4, 5, "acquire", "b", result=("held", "a", 5))],
    ),
    "operation under an old token": (
        lease(),
        [call(0, 1, "acquire", "a", result=(OK, 5)), call(2, 3, "acquire", "b", result=(OK, 7)),
         call(4, 5, "fenced", 5, result=(OK, 5))],
    ),
    "token not higher": (
        lease(),
        [call(0, 1, "acquire", "a", result=(OK, 5)), call(2, 3, "acquire", "b", result=(OK, 5))],
    ),
    "granted while held": (
        lease(unseen_ends=False),
        [call(0, 1, "acquire", "a", result=(OK, 5)), call(2, 3, "acquire", "b", result=(OK, 7))],
    ),
    "rejected under the token in force": (
        lease(unseen_ends=False),
        [call(0, 1, "acquire", "a", result=(OK, 5)), call(2, 3, "fenced", 5, result=("not-held",))],
    ),
}  # fmt: skip


@pytest.mark.parametrize("kind", VIOLATIONS)
def test_each_kind_of_violation_is_found(kind):
    model, calls = VIOLATIONS[kind]
    (violation,) = violations(calls, model)
    assert violation.call == calls[-1] and violation.key == "k" and str(violation)
    assert violations(calls[:-1], model) == [], "the calls before it are linearizable"


def test_touching_calls_are_concurrent_and_an_unknown_call_may_take_effect_late_or_never():
    touching = [call(0, 5, "set", True), call(5, 6, "get", result=False)]
    assert violations(touching, register()) == []
    unknown = [call(0, None, "set", True), call(2, 3, "get", result=False)]
    assert violations(unknown, register()) == []
    assert violations([*unknown, call(4, 5, "get", result=True)], register()) == []
    granted = [call(0, None, "acquire", "a", result=None), call(2, 3, "fenced", 4, result=(OK, 4))]
    assert violations(granted, lease()) == []
    assert violations([*granted, call(4, 5, "fenced", 3, result=(OK, 3))], lease())


def test_a_violation_in_a_long_history_is_found_quickly():
    random = Random(7)
    keys = [f"p{n}" for n in range(10)]
    calls = generate_history(
        random, lambda: {"value": False}, execute_register_op, 5600, 30, keys, unknown=0.01, width=400
    )
    calls += generate_history(random, lambda: {"value": False}, execute_register_op, 560, 8, ["sure"], width=60)
    assert len(calls) > 5000
    began = time.process_time()
    assert violations(calls, register()) == []
    last = max(c.returned_at for c in calls if c.returned_at is not None)
    lost_write = [call(last + 1, last + 2, "set", True), call(last + 3, last + 4, "get", result=False)]
    (found,) = violations([*calls, *(c._replace(key="sure") for c in lost_write)], register())
    assert found.call == lost_write[1]._replace(key="sure")
    assert time.process_time() - began < 10, "5 s for each of the two searches"


def test_a_search_that_takes_too_many_steps_raises():
    calls = [Call(str(n), 0, 10, ("set", n), OK) for n in range(14)] + [call(11, 12, "get", result=99)]
    with pytest.raises(Undecided, match="too many"):
        violations(calls, register(), steps=20_000)


def test_operations_under_an_outdated_token_are_found():
    accepted = [
        AcceptedOperation("d", 3, 0, 2),
        AcceptedOperation("d", 3, 4, 5),
        AcceptedOperation("d", 8, 5, 9),
        AcceptedOperation("e", 2, 20, 21),
    ]
    assert fencing_violations(accepted) == []
    assert fencing_violations([*accepted, AcceptedOperation("d", 3, 9, 12)]) == [], (
        "it touches the one with the higher token: either may have been first"
    )
    late = AcceptedOperation("d", 3, 10, 12)
    assert fencing_violations([*accepted, late]) == [(AcceptedOperation("d", 8, 5, 9), late)]
