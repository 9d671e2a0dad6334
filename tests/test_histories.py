"""The judge of histories passes good ones and finds each kind of seeded violation, as a plain search does."""

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


def made(random, model_of, ops, count, clients=6, keys=("k",), lost=0.0, width=40):
    """A history of a real run, one call at a time: each has its moment somewhere between invocation and return."""
    state, free, calls = {}, dict.fromkeys(range(clients), 0), []
    for moment in range(100, 100 + 10 * count, 10):
        key, client = random.choice(keys), random.choice([c for c in free if free[c] < moment] or [None])
        if client is None:
            continue
        state.setdefault(key, model_of())
        op, result = ops(random, state[key])
        start, end = random.randint(max(free[client] + 1, moment - width), moment), moment + random.randint(0, width)
        if random.random() < lost:
            calls.append(Call(f"c{client}", start, None, op, None, key))
        else:
            calls.append(Call(f"c{client}", start, end, op, result, key))
            free[client] = end
    return calls


def register_ops(random, state):
    if random.random() < 0.5:
        return ("get",), state["value"]
    state["value"] = random.choice(VALUES)
    return ("set", state["value"]), OK


def counter_ops(random, state):
    if random.random() < 0.5:
        return ("get",), state["sum"]
    state["sum"] += 1
    return ("add", 1), OK


def lease_ops(random, state):
    name = random.choice(["acquire", "acquire", "renew", "release", "fenced"])
    holder, token = random.choice("abc"), random.choice([state["token"], state["token"], max(1, state["token"] - 1)])
    if random.random() < 0.2:
        state["holder"] = ""  # by the leader
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


SEEDS = os.environ.get("HISTORY_SEEDS", 250)
VALUES = [False, True, 2, 3]
KINDS = {
    "register": (register(), lambda: {"value": False}, register_ops),
    "counter": (counter(), lambda: {"sum": 0}, counter_ops),
    "lease": (lease(), lambda: {"holder": "", "token": 0}, lease_ops),
}


@pytest.mark.parametrize("kind", KINDS)
def test_histories_of_real_runs_are_linearizable(kind):
    model, start, ops = KINDS[kind]
    for seed in range(150):
        random = Random(seed)
        calls = made(random, start, ops, 60, random.randint(2, 8), ("a", "b"), random.choice([0, 0.1, 0.3]))
        assert violations(calls, model) == []


def plain(calls, model):
    """Every order, tried."""
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
def test_it_agrees_with_a_search_of_every_order(kind):
    """Short runs with one result or time changed, so that about half of them are broken."""
    model, start, ops = KINDS[kind]
    verdicts = []
    for seed in range(int(SEEDS)):
        random = Random(seed)
        calls = made(random, start, ops, 6, 3, lost=0.25, width=random.choice([4, 30]))
        results = [call.result for call in calls if call.result is not None]
        if results:
            for n in random.choices(range(len(calls)), k=random.randint(1, 3)):
                same = [c.result for c in calls if c.result is not None and c.op[0] == calls[n].op[0]]
                if calls[n].returned_at is not None:
                    calls[n] = calls[n]._replace(result=random.choice(same))
                else:
                    calls[n] = calls[n]._replace(op=random.choice(calls).op)
        verdicts.append(plain(calls, model))
        assert (violations(calls, model) == []) is verdicts[-1], calls
    assert 0.05 < verdicts.count(False) / len(verdicts) < 0.95, "both are met"


def call(start, end, *op, result=OK, client="c", key="k"):
    return Call(client, start, end, op, result, key)


BROKEN = {
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
    "held by one that let go": (
        lease(),
        [call(0, 1, "acquire", "a", result=(OK, 5)), call(2, 3, "release", "a", 5, result=(OK, 5)),
         call(4, 5, "acquire", "b", result=("held", "a", 5))],
    ),
    "act under an old token": (
        lease(),
        [call(0, 1, "acquire", "a", result=(OK, 5)), call(2, 3, "acquire", "b", result=(OK, 7)),
         call(4, 5, "fenced", 5, result=(OK, 5))],
    ),
    "token not grown": (
        lease(),
        [call(0, 1, "acquire", "a", result=(OK, 5)), call(2, 3, "acquire", "b", result=(OK, 5))],
    ),
    "granted while held": (
        lease(unseen_ends=False),
        [call(0, 1, "acquire", "a", result=(OK, 5)), call(2, 3, "acquire", "b", result=(OK, 7))],
    ),
    "refused under the token in force": (
        lease(unseen_ends=False),
        [call(0, 1, "acquire", "a", result=(OK, 5)), call(2, 3, "fenced", 5, result=("not-held",))],
    ),
}  # fmt: skip


@pytest.mark.parametrize("kind", BROKEN)
def test_each_kind_of_broken_history_is_found(kind):
    model, calls = BROKEN[kind]
    (violation,) = violations(calls, model)
    assert violation.call == calls[-1] and violation.key == "k" and str(violation)
    assert violations(calls[:-1], model) == [], "what comes before it is good"


def test_what_touches_is_concurrent_and_an_unknown_call_may_be_late_or_never():
    good = [call(0, 5, "set", True), call(5, 6, "get", result=False)]
    assert violations(good, register()) == []
    unknown = [call(0, None, "set", True), call(2, 3, "get", result=False)]
    assert violations(unknown, register()) == []
    assert violations([*unknown, call(4, 5, "get", result=True)], register()) == []
    granted = [call(0, None, "acquire", "a", result=None), call(2, 3, "fenced", 4, result=(OK, 4))]
    assert violations(granted, lease()) == []
    assert violations([*granted, call(4, 5, "fenced", 3, result=(OK, 3))], lease())


def test_a_seeded_violation_in_a_long_history_is_found_and_fast():
    random = Random(7)
    keys = [f"p{n}" for n in range(10)]
    calls = made(random, lambda: {"value": False}, register_ops, 5600, 30, keys, lost=0.01, width=400)
    calls += made(random, lambda: {"value": False}, register_ops, 560, 8, ["sure"], width=60)
    assert len(calls) > 5000
    began = time.process_time()
    assert violations(calls, register()) == []
    last = max(c.returned_at for c in calls if c.returned_at is not None)
    lost = [call(last + 1, last + 2, "set", True), call(last + 3, last + 4, "get", result=False)]
    (found,) = violations([*calls, *(c._replace(key="sure") for c in lost)], register())
    assert found.call == lost[1]._replace(key="sure")
    assert time.process_time() - began < 10, "each search has 5 s"


def test_a_search_too_long_says_so():
    calls = [Call(str(n), 0, 10, ("set", n), OK) for n in range(14)] + [call(11, 12, "get", result=99)]
    with pytest.raises(Undecided, match="too many"):
        violations(calls, register(), steps=20_000)


def test_two_holders_are_found_by_their_acts_alone():
    good = [
        AcceptedOperation("d", 3, 0, 2),
        AcceptedOperation("d", 3, 4, 5),
        AcceptedOperation("d", 8, 5, 9),
        AcceptedOperation("e", 2, 20, 21),
    ]
    assert fencing_violations(good) == []
    assert fencing_violations([*good, AcceptedOperation("d", 3, 9, 12)]) == [], (
        "it touches the later one: either may have been first"
    )
    late = AcceptedOperation("d", 3, 10, 12)
    assert fencing_violations([*good, late]) == [(AcceptedOperation("d", 8, 5, 9), late)]
