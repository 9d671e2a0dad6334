"""Checks histories of calls for linearizability: whether a single copy, executing one call at a time, could have given
the same results. Pure.

A history is linearizable if each answered call can be assigned one moment between its invocation and its return, such
that the model, applied to the calls in that order, allows each result (Herlihy and Wing, 1990). A call whose outcome is
unknown may be assigned any moment after its invocation, or none. A history is linearizable if its part for each key is
(ibid., theorem 1; "P-compositionality" in Horn and Kroening, 2015), so each key is checked alone.

The search is that of Wing and Gong (1993) in the just-in-time form of Lowe ("Testing for linearizability", 2017): it
goes through the returns in order and stores all states that the model may be in, each with the pending calls that have
already been executed. A call is executed only if one that returns now needs it. Equal configurations are visited once
(memoization), and these rules reduce their number without changing the result:

- A pending read that the state allows is executed at once: it changes nothing, and waiting can't make it easier.
- Unknown calls with equal operations are interchangeable, because none of them ever returns: they are only counted.
- Of two configurations that differ only in the number of unknown calls used, the one with fewer of each can do
  everything that the other can.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable, Sequence
from typing import NamedTuple

from loftweir.errors import LoftweirError

Op = tuple[Hashable, ...]  # an operation: its name, then its arguments
State = Hashable
OK = "ok"


class Call(NamedTuple):
    """One call of a client. The times are of one true clock, in any unit. A call that certainly had no effect must be
    left out of the history."""

    client: str
    invoked_at: int
    returned_at: int | None  # None: the outcome is unknown
    op: Op
    result: Hashable = None
    key: str = ""


class Model(NamedTuple):
    """A sequential model. `step(state, op, result)` returns the states that may follow; none of them if the result is
    impossible in that state. The result None, of a call whose outcome is unknown, means any result. `reads` contains
    the names of operations that change nothing a later result depends on; one without an outcome is ignored."""

    first: State
    step: Callable[[State, Op, Hashable], Iterable[State]]
    reads: frozenset[str]


class Violation(NamedTuple):
    """A key whose calls are not linearizable."""

    key: str
    call: Call  # the first call at whose return no possible order is left
    states: tuple[State, ...]  # some of the states that were possible before it

    def __str__(self) -> str:
        states = " or ".join(map(repr, self.states))
        call = self.call
        return f"{self.key}: {call.op} by {call.client} can't have returned {call.result!r} from {states}"


class Undecided(LoftweirError):
    """A history has so many possible orders that the search needs more steps than it may take."""

    remedy = "Make the history shorter or its calls less concurrent, or allow the search more steps."


# ---- the search ---------------------------------------------------------------------------------

# A possible configuration: the state, the bits of the pending calls that are executed, and the number of unknown calls
# used for each operation.
Config = tuple[State, int, tuple[int, ...]]

MAX_STATES_SHOWN = 4


def violations(calls: Iterable[Call], model: Model, steps: int = 5_000_000) -> list[Violation]:
    """Returns one violation for each key that is not linearizable. `steps` limits the steps of the model for each key;
    raises `Undecided` beyond it."""
    keys: dict[str, list[Call]] = {}
    for call in calls:
        keys.setdefault(call.key, []).append(call)
    found = (_Search(part, model, steps).run() for _, part in sorted(keys.items()))
    return [violation for violation in found if violation is not None]


class _Search:
    """The search over the calls of one key."""

    def __init__(self, calls: Sequence[Call], model: Model, steps: int) -> None:
        self.model, self.steps_left = model, steps
        known = [call for call in calls if call.returned_at is not None]
        unknown = [call for call in calls if call.returned_at is None and call.op[0] not in model.reads]
        self.unknown_ops = list(dict.fromkeys(call.op for call in unknown))
        self.unknown_invoked = [0] * len(self.unknown_ops)  # calls invoked so far, by operation
        self.pending: dict[int, Call] = {}  # by bit
        self.pending_reads: dict[int, Call] = {}  # by bit; a subset of `pending`
        # At equal times invocations come before returns: calls that touch are treated as concurrent.
        events = [(call.invoked_at, 0, n, call) for n, call in enumerate([*known, *unknown])]
        events += [(call.returned_at or 0, 1, n, call) for n, call in enumerate(known)]
        self.events = sorted(events, key=lambda event: event[:3])

    def run(self) -> Violation | None:
        """Goes through all events; returns the first violation."""
        configs: set[Config] = {(self.model.first, 0, (0,) * len(self.unknown_ops))}
        bits: dict[int, int] = {}
        for _, is_return, number, call in self.events:
            if call.returned_at is None:
                self.unknown_invoked[self.unknown_ops.index(call.op)] += 1
            elif not is_return:
                bit = 1
                while bit in self.pending:
                    bit <<= 1
                bits[number], self.pending[bit] = bit, call
                if call.op[0] in self.model.reads:
                    self.pending_reads[bit] = call
                    configs = {self._with_reads(*config) for config in configs}
            else:
                after = self._after_return(configs, bits[number])
                if not after:
                    states = tuple(dict.fromkeys(state for state, _, _ in configs))[:MAX_STATES_SHOWN]
                    return Violation(call.key, call, states)
                configs = after
                bit = bits.pop(number)
                self.pending_reads.pop(bit, None)
                del self.pending[bit]
        return None

    def _step(self, state: State, call_op: Op, result: Hashable) -> Iterable[State]:
        self.steps_left -= 1
        if self.steps_left < 0:
            raise Undecided("too many orders are possible")
        return self.model.step(state, call_op, result)

    def _with_reads(self, state: State, done: int, used: tuple[int, ...]) -> Config:
        """Executes all pending reads that the state allows."""
        for bit, call in self.pending_reads.items():
            if not done & bit and list(self._step(state, call.op, call.result)) == [state]:
                done |= bit
        return state, done, used

    def _after_return(self, configs: set[Config], bit: int) -> set[Config]:
        """All configurations that are possible after the call of this bit was executed, without its bit. Those with
        fewer unknown calls are visited first."""
        seen: dict[tuple[State, int], list[tuple[int, ...]]] = {}
        finished: dict[tuple[State, int], list[tuple[int, ...]]] = {}
        levels: dict[int, deque[Config]] = {}  # by the number of unknown calls used
        for config in configs:
            levels.setdefault(sum(config[2]), deque()).append(config)
        level = 0
        while levels:
            queue = levels.pop(level, None)
            while queue:
                state, done, used = queue.popleft()
                if done & bit:
                    _add_if_minimal(finished, (state, done & ~bit), used)
                    continue
                if not _add_if_minimal(seen, (state, done), used):
                    continue
                for other, call in self.pending.items():
                    if not done & other:
                        for next_state in self._step(state, call.op, call.result):
                            queue.append(self._with_reads(next_state, done | other, used))
                for n, op in enumerate(self.unknown_ops):
                    if used[n] < self.unknown_invoked[n]:
                        more = (*used[:n], used[n] + 1, *used[n + 1 :])
                        for next_state in self._step(state, op, None):
                            if next_state != state:
                                next_level = levels.setdefault(level + 1, deque())
                                next_level.append(self._with_reads(next_state, done, more))
            level += 1
        return {(state, done, used) for (state, done), ways in finished.items() for used in ways}


def _add_if_minimal(
    known: dict[tuple[State, int], list[tuple[int, ...]]], where: tuple[State, int], used: tuple[int, ...]
) -> bool:
    """Adds a count of unknown calls unless a known one has as many or fewer of each; returns whether it was added."""
    ways = known.setdefault(where, [])
    if any(all(a <= b for a, b in zip(way, used, strict=True)) for way in ways):
        return False
    ways.append(used)
    return True


# ---- models -------------------------------------------------------------------------------------


def register(first: State = False) -> Model:
    """A value, such as whether a provider is drained: ("set", value) -> OK and ("get",) -> value."""

    def step(state: State, op: Op, result: Hashable) -> Iterable[State]:
        if op[0] == "set":
            return (op[1],)
        return (state,) if result == state else ()

    return Model(first, step, frozenset({"get"}))


def counter() -> Model:
    """("add", n) -> OK and ("get",) -> sum. Shows an add that was applied twice, which a register does not."""

    def step(state: State, op: Op, result: Hashable) -> Iterable[State]:
        assert isinstance(state, int)
        if op[0] == "add":
            return (state + int(str(op[1])),)
        return (state,) if result == state else ()

    return Model(0, step, frozenset({"get"}))


class LeaseState(NamedTuple):
    """The state of one lease. `token` is the highest granted; if it is not `known`, the holder's token is any above
    it."""

    holder: str = ""
    token: int = 0
    known: bool = True

    def with_token(self, holder: str | None, token: int) -> LeaseState | None:
        """The state if the lease may be in force with this token, else None. `holder` None: of any holder."""
        if not self.holder or holder not in (None, self.holder):
            return None
        if self.known:
            return self if token == self.token else None
        return LeaseState(self.holder, token) if token > self.token else None


def lease(unseen_ends: bool = True) -> Model:
    """A lease: ("acquire", holder), ("renew", holder, token), ("release", holder, token) and ("fenced", token) ->
    (OK, token), ("held", holder, token), ("not-held",) or ("lower", highest). With `unseen_ends` the leader may expire
    the lease at any moment, which is in no history; without it, ("expire", token) is a call like the others."""

    def step(state: State, op: Op, result: Hashable) -> Iterable[State]:
        assert isinstance(state, LeaseState) and (result is None or isinstance(result, tuple))
        name, status = op[0], result[0] if result else None
        if status == "held":
            assert result is not None
            in_force = state.with_token(result[1], result[2])
            return (in_force,) if in_force and name == "acquire" else ()
        if name == "acquire":
            if state.holder and not unseen_ends:
                return ()
            if result is None:
                return (LeaseState(str(op[1]), state.token, False),)
            return (LeaseState(str(op[1]), result[1]),) if status == OK and result[1] > state.token else ()
        holder, token = (str(op[1]) if len(op) == 3 else None), int(str(op[-1]))
        in_force, ended = state.with_token(holder, token), LeaseState("", token)
        if status == OK or result is None:
            if in_force is None:
                return ()
            return (ended,) if name in ("release", "expire") else (in_force,)
        if status == "lower":
            assert result is not None
            in_force = state.with_token(None, result[1])
            return (in_force,) if in_force and token < result[1] else ()
        if in_force is None:
            return (state,)
        return (*(() if state.known else (state,)), *((ended,) if unseen_ends else ()))

    return Model(LeaseState(), step, frozenset({"renew", "fenced"}))


# ---- fencing tokens -----------------------------------------------------------------------------


class AcceptedOperation(NamedTuple):
    """An operation that was accepted under a lease's token, somewhere between two times."""

    duty: str  # the lease's name
    token: int
    start: int
    end: int


def fencing_violations(operations: Iterable[AcceptedOperation]) -> list[tuple[AcceptedOperation, AcceptedOperation]]:
    """Returns each operation that was accepted although one with a higher token had been accepted before it, as a pair:
    the one with the higher token first."""
    found: list[tuple[AcceptedOperation, AcceptedOperation]] = []
    by_lease: dict[str, list[AcceptedOperation]] = {}
    for operation in operations:
        by_lease.setdefault(operation.duty, []).append(operation)
    for _, part in sorted(by_lease.items()):
        by_end = deque(sorted(part, key=lambda operation: operation.end))
        highest: AcceptedOperation | None = None  # of those that ended before the current one started
        for operation in sorted(part, key=lambda operation: operation.start):
            while by_end and by_end[0].end < operation.start:
                ended = by_end.popleft()
                highest = ended if highest is None or ended.token > highest.token else highest
            if highest is not None and operation.token < highest.token:
                found.append((highest, operation))
    return found
