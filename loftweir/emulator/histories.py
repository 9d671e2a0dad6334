"""Histories of calls, judged: were the answers such as one copy, doing one call at a time, could have given? Pure.

A history is linearizable if each answered call can be given one moment between its invocation and its return, such that
the model, taken through the calls in that order, allows each result (Herlihy and Wing, 1990). A call whose outcome is
not known may have any moment after its invocation, or none. A history is linearizable if its part for each key is
(ibid., theorem 1; "P-compositionality" in Horn and Kroening, 2015), so each key is judged alone.

The search is that of Wing and Gong (1993) in the form of Lowe ("Testing for linearizability", 2017), just in time: it
goes through the returns in order and keeps all states that the model may be in, each with the pending calls that were
done already; a call is done only where one that returns now needs it. Equal ones are met once (the memo), and these
rules keep them few, without changing the verdict:

- A pending read that the state allows is done at once: it changes nothing, and it can't be easier later.
- Unknown calls with one operation are alike, as none of them ever returns: they are counted.
- Of two that differ only in how many unknown calls were used, the one with fewer of each can do all that the other can.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable, Sequence
from typing import NamedTuple

from loftweir.errors import LoftweirError

Op = tuple[Hashable, ...]  # the name first
State = Hashable
OK = "ok"


class Call(NamedTuple):
    """Times are of one true clock, in any unit. A call that certainly did nothing is to be left out."""

    client: str
    invoked_at: int
    returned_at: int | None  # None: the outcome is not known
    op: Op
    result: Hashable = None
    key: str = ""


class Model(NamedTuple):
    """`step(state, op, result)` has the states that may follow; none: the result is impossible there. The result None
    means any, of a call whose outcome is not known. `reads` are the names of operations that change nothing that a
    later result depends on; one of them without an outcome says nothing."""

    first: State
    step: Callable[[State, Op, Hashable], Iterable[State]]
    reads: frozenset[str]


class Violation(NamedTuple):
    key: str
    call: Call  # the first return at which no order is left
    states: tuple[State, ...]  # that were possible before it, at most a few

    def __str__(self) -> str:
        states = " or ".join(map(repr, self.states))
        call = self.call
        return f"{self.key}: {call.op} by {call.client} can't have returned {call.result!r} from {states}"


class Undecided(LoftweirError):
    """A history has so many possible orders that the search took more steps than it was given."""

    remedy = "Make the history shorter, or its calls less concurrent; or give the search more steps."


# ---- the search ---------------------------------------------------------------------------------

Config = tuple[State, int, tuple[int, ...]]  # state; bits of pending calls that are done; unknown calls used, by class


def violations(calls: Iterable[Call], model: Model, steps: int = 5_000_000) -> list[Violation]:
    """One for each key whose part is not linearizable. `steps`: of the model, for each key; raises `Undecided`."""
    keys: dict[str, list[Call]] = {}
    for call in calls:
        keys.setdefault(call.key, []).append(call)
    found = (_Search(part, model, steps).run() for _, part in sorted(keys.items()))
    return [violation for violation in found if violation is not None]


class _Search:
    def __init__(self, calls: Sequence[Call], model: Model, steps: int) -> None:
        self.model, self.left = model, steps
        known = [call for call in calls if call.returned_at is not None]
        unknown = [call for call in calls if call.returned_at is None and call.op[0] not in model.reads]
        self.classes = list(dict.fromkeys(call.op for call in unknown))
        self.open = [0] * len(self.classes)  # unknown calls invoked so far
        self.pending: dict[int, Call] = {}  # by bit
        self.reads: dict[int, Call] = {}  # those of them that only read
        # At one time invocations come before returns: calls that touch are taken as concurrent.
        events = [(call.invoked_at, 0, n, call) for n, call in enumerate([*known, *unknown])]
        events += [(call.returned_at or 0, 1, n, call) for n, call in enumerate(known)]
        self.events = sorted(events, key=lambda event: event[:3])

    def run(self) -> Violation | None:
        configs: set[Config] = {(self.model.first, 0, (0,) * len(self.classes))}
        bits: dict[int, int] = {}
        for _, returns, number, call in self.events:
            if call.returned_at is None:
                self.open[self.classes.index(call.op)] += 1
            elif not returns:
                bit = 1
                while bit in self.pending:
                    bit <<= 1
                bits[number], self.pending[bit] = bit, call
                if call.op[0] in self.model.reads:
                    self.reads[bit] = call
                    configs = {self._settled(*config) for config in configs}
            else:
                after = self._returned(configs, bits[number])
                if not after:
                    states = tuple(dict.fromkeys(state for state, _, _ in configs))[:4]
                    return Violation(call.key, call, states)
                configs = after
                bit = bits.pop(number)
                self.reads.pop(bit, None)
                del self.pending[bit]
        return None

    def _step(self, state: State, call_op: Op, result: Hashable) -> Iterable[State]:
        self.left -= 1
        if self.left < 0:
            raise Undecided("too many orders are possible")
        return self.model.step(state, call_op, result)

    def _settled(self, state: State, done: int, used: tuple[int, ...]) -> Config:
        for bit, call in self.reads.items():
            if not done & bit and list(self._step(state, call.op, call.result)) == [state]:
                done |= bit
        return state, done, used

    def _returned(self, configs: set[Config], bit: int) -> set[Config]:
        """All that may be once the call of this bit is done, without its bit. Those with fewer unknown calls first."""
        seen: dict[tuple[State, int], list[tuple[int, ...]]] = {}
        done_now: dict[tuple[State, int], list[tuple[int, ...]]] = {}
        levels: dict[int, deque[Config]] = {}  # by how many unknown calls were used
        for config in configs:
            levels.setdefault(sum(config[2]), deque()).append(config)
        level = 0
        while levels:
            row = levels.pop(level, None)
            while row:
                config = state, done, used = row.popleft()
                if done & bit:
                    _least(done_now, (state, done & ~bit), used)
                    continue
                if not _least(seen, (state, done), used):
                    continue
                for other, call in self.pending.items():
                    if not done & other:
                        for then in self._step(state, call.op, call.result):
                            row.append(self._settled(then, done | other, used))
                for n, op in enumerate(self.classes):
                    if used[n] < self.open[n]:
                        more = (*used[:n], used[n] + 1, *used[n + 1 :])
                        for then in self._step(state, op, None):
                            if then != state:
                                levels.setdefault(level + 1, deque()).append(self._settled(then, done, more))
            level += 1
        return {(state, done, used) for (state, done), ways in done_now.items() for used in ways}


def _least(
    known: dict[tuple[State, int], list[tuple[int, ...]]], where: tuple[State, int], used: tuple[int, ...]
) -> bool:
    """Whether this way uses not as many unknown calls as each known one does. It is known from then on."""
    ways = known.setdefault(where, [])
    if any(all(a <= b for a, b in zip(way, used, strict=True)) for way in ways):
        return False
    ways.append(used)
    return True


# ---- models -------------------------------------------------------------------------------------


def register(first: State = False) -> Model:
    """A value, such as whether a provider is out: ("set", value) -> OK and ("get",) -> value."""

    def step(state: State, op: Op, result: Hashable) -> Iterable[State]:
        if op[0] == "set":
            return (op[1],)
        return (state,) if result == state else ()

    return Model(first, step, frozenset({"get"}))


def counter() -> Model:
    """("add", n) -> OK and ("get",) -> sum: an add that was applied twice shows, where a value put twice does not."""

    def step(state: State, op: Op, result: Hashable) -> Iterable[State]:
        assert isinstance(state, int)
        if op[0] == "add":
            return (state + int(str(op[1])),)
        return (state,) if result == state else ()

    return Model(0, step, frozenset({"get"}))


class Holding(NamedTuple):
    """Of one duty. `token` is the highest granted; where it is not `known`, the holder's is any above it."""

    holder: str = ""
    token: int = 0
    known: bool = True

    def under(self, holder: str | None, token: int) -> Holding | None:
        """This, if a lease under that token may be in force."""
        if not self.holder or holder not in (None, self.holder):
            return None
        if self.known:
            return self if token == self.token else None
        return Holding(self.holder, token) if token > self.token else None


def lease(unseen_ends: bool = True) -> Model:
    """("acquire", holder), ("renew", holder, token), ("release", holder, token) and ("fenced", token) -> (OK, token),
    ("held", holder, token), ("not-held",) or ("lower", highest). `unseen_ends`: a lease may end at any moment by the
    leader's word, which is in no history; without, ("expire", token) is a call as the others are."""

    def step(state: State, op: Op, result: Hashable) -> Iterable[State]:
        assert isinstance(state, Holding) and (result is None or isinstance(result, tuple))
        name, said = op[0], result[0] if result else None
        if said == "held":
            assert result is not None
            there = state.under(result[1], result[2])
            return (there,) if there and name == "acquire" else ()
        if name == "acquire":
            if state.holder and not unseen_ends:
                return ()
            if result is None:
                return (Holding(str(op[1]), state.token, False),)
            return (Holding(str(op[1]), result[1]),) if said == OK and result[1] > state.token else ()
        holder, token = (str(op[1]) if len(op) == 3 else None), int(str(op[-1]))
        there, ended = state.under(holder, token), Holding("", token)
        if said == OK or result is None:
            if there is None:
                return ()
            return (ended,) if name in ("release", "expire") else (there,)
        if said == "lower":
            assert result is not None
            there = state.under(None, result[1])
            return (there,) if there and token < result[1] else ()
        if there is None:
            return (state,)
        return (*(() if state.known else (state,)), *((ended,) if unseen_ends else ()))

    return Model(Holding(), step, frozenset({"renew", "fenced"}))


# ---- leases, directly ---------------------------------------------------------------------------


class AcceptedOperation(NamedTuple):
    """An act that was accepted, between two times."""

    duty: str
    token: int
    start: int
    end: int


def fencing_violations(acts: Iterable[AcceptedOperation]) -> list[tuple[AcceptedOperation, AcceptedOperation]]:
    """Each act that was accepted under a lower token after one under a higher had been, with that one before it."""
    found: list[tuple[AcceptedOperation, AcceptedOperation]] = []
    duties: dict[str, list[AcceptedOperation]] = {}
    for act in acts:
        duties.setdefault(act.duty, []).append(act)
    for _, part in sorted(duties.items()):
        ends = deque(sorted(part, key=lambda act: act.end))
        highest: AcceptedOperation | None = None  # of those that ended before the one looked at began
        for act in sorted(part, key=lambda act: act.start):
            while ends and ends[0].end < act.start:
                over = ends.popleft()
                highest = over if highest is None or over.token > highest.token else highest
            if highest is not None and act.token < highest.token:
                found.append((highest, act))
    return found
