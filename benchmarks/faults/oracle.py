"""One oracle over a run: every call with its times and answer, every view that a sidecar gave, every committed entry.

What is judged, each as a violation in words:

- A promise (OK) names an index: the committed log has exactly that order there, in the end and at every voter.
- An order is in effect once: of a session and number the first in the log counts, and the state that every sidecar
  shows at an index is the one that a plain replay of the log up to there gives.
- No two voters ever tell another entry for one index; what one sidecar shows never goes back within a life of it.
- The calls of each key are linearizable, those without a known outcome being free to be done late or never.
- Nothing is answered OK that began and ended while no majority of the voters could be had.
- Leases: a token is one holder's; acts that were accepted carry tokens that only grow; none is turned down for its
  token at the copies that was sent in time by one whose lease was in force.

Times are CLOCK_MONOTONIC in ns, one clock for all processes of the machine.
"""

from __future__ import annotations

import re
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

import msgspec

from benchmarks.faults.client import Nothing, Unknown
from loftweir.emulator.histories import AcceptedOperation as Acted
from loftweir.emulator.histories import Call, fencing_violations, lease, register, violations
from loftweir.replication.machine import Command, FencedWrite, SetOverride

ORDERS = msgspec.msgpack.Decoder(Command)
PROMISED = re.compile(r"OK (disabled|enabled), at index (\d+)$").match
MAY_BE_LATE = 50_000_000  # ns from `valid_token` to an act's arrival that the lease's margin covers
UNAVAILABLE = 300_000_000  # ns between two acknowledged writes, from which on there was no service


class Promise(NamedTuple):
    index: int
    order: SetOverride | FencedWrite
    sidecar: str  # that gave it, and in which life; empty: a voter, to a caller
    life: int
    returned_at: int


class View(NamedTuple):
    sidecar: str
    life: int
    index: int
    out: frozenset[str]
    asked_at: int


class Replay:
    """A plain reading of the log: what is out and which values hold, after each entry."""

    def __init__(self, entries: dict[int, bytes], upto: int) -> None:
        self.outs: dict[int, frozenset[str]] = {0: frozenset()}
        self.facts: dict[tuple[str, str], bytes] = {}
        self.orders: dict[int, Command] = {}  # those in effect, by index
        sessions: dict[str, int] = {}
        for index in range(1, upto + 1):
            out = self.outs[index - 1]
            data = entries[index]
            order = ORDERS.decode(data) if data else None
            if order is not None and order.session:
                last = sessions.get(order.session, 0)
                # A session begins with its number 1; what comes again, or out of its order, is in no effect.
                if order.number == 1 if not last else order.number > last:
                    sessions[order.session] = order.number
                else:
                    order = None
            if order is not None:
                self.orders[index] = order
                act = order.act
                if isinstance(act, SetOverride):
                    out = out | {act.name} if act.out else out - {act.name}
                elif isinstance(act, FencedWrite):
                    self.facts[act.duty, act.key] = act.value
            self.outs[index] = out


class Oracle:
    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.words: list[Call] = []  # of one provider each: out or not
        self.values: list[Call] = []  # of one key each
        self.leases: list[Call] = []
        self.acts: list[Acted] = []
        self.promises: list[Promise] = []
        self.views: list[View] = []
        self.entries: dict[int, bytes] = {}
        self.told_by: dict[int, str] = {}
        self.outages: list[tuple[int, int]] = []  # no majority could be had, for sure
        self.poor: list[tuple[int, int]] = []  # ... or one only if all that were just restored were members already
        self._since: dict[int, int] = {}  # the beginning of the one that lasts, by the identity of its list
        self.problems: list[str] = []  # found as the run went
        self.counts: Counter[str] = Counter()
        self._last: dict[tuple[str, int], int] = {}
        self._acknowledged: list[int] = []
        self.began = time.monotonic_ns()

    # ---- what happens ---------------------------------------------------------------------------

    def problem(self, what: str) -> None:
        with self._lock:
            self.problems.append(what)

    @contextmanager
    def call(self, calls: list[Call], client: str, key: str, op: tuple) -> Iterator[list]:
        """One call; its result is appended to the list that is given. `Nothing` leaves it out, `Unknown` leaves it
        open, and neither goes on from here."""
        result: list = []
        invoked = time.monotonic_ns()
        returned: int | None = None
        try:
            yield result
            returned = time.monotonic_ns()
        except Unknown:
            self.counts["unknown"] += 1
        except Nothing:
            self.counts["not taken"] += 1
            return
        with self._lock:
            done = Call(client, invoked, returned, op, result[0] if result else None, key)
            calls.append(done)
            if returned is not None and op[0] == "set":
                self._acknowledged.append(returned)
            self.counts["answered"] += returned is not None

    def promise(self, index: int, order: SetOverride | FencedWrite, sidecar: str = "", life: int = 0) -> None:
        with self._lock:
            self.promises.append(Promise(index, order, sidecar, life, time.monotonic_ns()))

    def seen(self, sidecar: str, life: int, index: int, out: frozenset[str], asked_at: int) -> None:
        with self._lock:
            last = self._last.get((sidecar, life), 0)
            if index < last:
                self.problems.append(f"{sidecar} went back from index {last} to {index} in one life")
            self._last[sidecar, life] = index
            self.views.append(View(sidecar, life, index, out, asked_at))

    def told(self, voter: str, index: int, data: bytes) -> None:
        with self._lock:
            known = self.entries.setdefault(index, data)
            first = self.told_by.setdefault(index, voter)
            if known != data:
                self.problems.append(f"entry {index} is another at {voter} than at {first}")

    def majority(self, there: bool, sure: bool = True) -> None:
        """Whether one can be had. Called before it can be again, and after it can't any more."""
        now = time.monotonic_ns()
        with self._lock:
            for spans, holds in ((self.outages, there), (self.poor, there and sure)):
                if not holds:
                    self._since.setdefault(id(spans), now)
                elif id(spans) in self._since:
                    spans.append((self._since.pop(id(spans)), now))

    # ---- judgement ------------------------------------------------------------------------------

    def highest(self) -> int:
        """The index up to which every entry was told."""
        index = 0
        while index + 1 in self.entries:
            index += 1
        return index

    def replay(self) -> Replay:
        return Replay(self.entries, self.highest())

    def judge(self) -> list[str]:
        """All violations. Called once nothing goes on any more, with `final` views and values seen."""
        self.majority(True)
        found = [
            *self.problems,
            *self._judge_promises(),
            *self._judge_views(),
            *map(str, violations(self.words, register(False))),
            *map(str, violations(self.values, register(None))),
            *map(str, violations(self.leases, lease())),
            *self._judge_outages(),
            *self._judge_holders(),
        ]
        return list(dict.fromkeys(found))

    def lost(self) -> int:
        """Acknowledged writes that the committed log does not have."""
        return len(self._judge_promises())

    def _judge_promises(self) -> list[str]:
        found, replay = [], self.replay()
        for index, order, *_ in self.promises:
            there = replay.orders.get(index)
            act = there.act if there else None
            match order:
                case SetOverride(name, out=False) if not isinstance(act, SetOverride) or act.name != name:
                    # Answered without a write, as nobody had taken it out by then.
                    same = name not in replay.outs.get(index, {name})
                case SetOverride(name, out):
                    same = isinstance(act, SetOverride) and (act.name, act.out) == (name, out)
                case _:
                    same = act == order
            if not same:
                found.append(f"promised at index {index}: {order}, and there is {act}")
        return found

    def _judge_views(self) -> list[str]:
        """What a sidecar shows is the state at its index, but for words that it was told OK for meanwhile: those hold
        there by the time of the answer, and the rest up to them follows."""
        found, replay, top = [], self.replay(), self.highest()
        words: dict[str, list[tuple[int, bool]]] = {}
        for index, order in replay.orders.items():
            if isinstance(order.act, SetOverride):
                words.setdefault(order.act.name, []).append((index, order.act.out))
        own: dict[tuple[str, int], list[Promise]] = {}
        for promise in self.promises:
            own.setdefault((promise.sidecar, promise.life), []).append(promise)
        for view in self.views:
            if view.index > top:
                found.append(f"{view.sidecar} showed index {view.index}, and the log ends at {top}")
                continue
            state = replay.outs[view.index]
            for name in view.out ^ state:
                if (name in view.out) not in [out for index, out in words.get(name, ()) if index > view.index]:
                    found.append(f"{view.sidecar} showed {name} {'out' if name in view.out else 'in'} at {view.index}")
            for promise in own.get((view.sidecar, view.life), ()):
                if promise.returned_at < view.asked_at and promise.index > view.index:
                    name, out = promise.order.name, promise.order.out
                    later = [out for at, out in words.get(name, ()) if at > promise.index]
                    if (name in view.out) not in [out, *later]:
                        found.append(f"{view.sidecar} promised {promise.order} at {promise.index} and does not show it")
        return found

    def _judge_outages(self) -> list[str]:
        return [
            f"{call.op} by {call.client} was answered {call.result!r} while no majority could be had"
            for call in [*self.words, *self.values, *self.leases]
            for start, end in self.outages
            if call.returned_at is not None and start <= call.invoked_at and call.returned_at <= end
        ]

    def two_holders(self) -> list[str]:
        return [f"two holders acted: {first}, then {then}" for first, then in fencing_violations(self.acts)]

    def _judge_holders(self) -> list[str]:
        holders: dict[int, set[str]] = {}
        for call in self.leases:
            if call.op[0] == "acquire" and call.result and call.result[0] == "ok":
                holders.setdefault(call.result[1], set()).add(str(call.op[1]))
        shared = [f"token {token} was granted to {sorted(names)}" for token, names in holders.items() if len(names) > 1]
        return [*shared, *self.two_holders()]

    # ---- figures --------------------------------------------------------------------------------

    def unavailable(self) -> list[tuple[int, int, int]]:
        """Each time without an acknowledged write: its beginning, its length, and how much of that a majority could be
        had, in ns."""
        times = [self.began, *sorted(self._acknowledged)]
        found = []
        for before, after in zip(times, times[1:], strict=False):
            if after - before >= UNAVAILABLE:
                without = sum(max(0, min(after, end) - max(before, start)) for start, end in self.poor)
                found.append((before, after - before, after - before - without))
        return found
