"""The oracle of one run: it records every call, every state that a sidecar showed and every committed entry.

It reports each violation of these rules as a line of text:

- An acknowledged write (OK) names an index: the committed log has exactly that operation there, in the end and at every
  voter.
- A command takes effect once: of the entries with one session and number the first in the log counts, and the state
  that every sidecar shows at an index is the one that a plain replay of the log up to there gives.
- No two voters ever report different entries for one index; the index that a sidecar shows never goes back within one
  life of its process.
- The calls of each key are linearizable; a call whose outcome is unknown may take effect late or never.
- No call is answered OK that began and ended while no majority of the voters was available.
- Leases: a token belongs to one holder; the tokens of accepted operations never fall; no fenced write is rejected for
  its token if its holder sent it in time under a valid lease.

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

from benchmarks.faults.client import NotApplied, OutcomeUnknown
from loftweir.emulator.histories import AcceptedOperation, Call, fencing_violations, lease, register, violations
from loftweir.replication.machine import Command, FencedWrite, SetOverride

COMMANDS = msgspec.msgpack.Decoder(Command)
# Matches the OK that promises an override; group 2 is the index of its entry.
PROMISED = re.compile(r"OK (disabled|enabled), at index (\d+)$").match
# ns from `valid_token` to the arrival of a fenced write, for which the margin of the lease allows.
FENCED_WRITE_GRACE = 50_000_000
# ns between two acknowledged writes, from which on the cluster counts as unavailable.
UNAVAILABLE = 300_000_000


class Promise(NamedTuple):
    """An acknowledged write: its entry has to stay in the log."""

    index: int
    operation: SetOverride | FencedWrite
    sidecar: str  # that acknowledged an operator's command; empty: a voter acknowledged it to a `ClusterClient`
    life: int  # of the sidecar: it counts the starts of its process
    returned_at: int


class View(NamedTuple):
    """The overrides that one sidecar showed, and the index that it gave with them."""

    sidecar: str
    life: int
    index: int
    disabled: frozenset[str]
    asked_at: int


class Replay:
    """A plain reading of the log: the disabled providers and the stored values after each entry."""

    def __init__(self, entries: dict[int, bytes], last_index: int) -> None:
        self.disabled: dict[int, frozenset[str]] = {0: frozenset()}
        self.values: dict[tuple[str, str], bytes] = {}
        self.commands: dict[int, Command] = {}  # those that took effect, by index
        sessions: dict[str, int] = {}
        for index in range(1, last_index + 1):
            disabled = self.disabled[index - 1]
            data = entries[index]
            command = COMMANDS.decode(data) if data else None
            if command is not None and command.session:
                last = sessions.get(command.session, 0)
                # A session begins with its number 1; a duplicate or a number out of order has no effect.
                if command.number == 1 if not last else command.number > last:
                    sessions[command.session] = command.number
                else:
                    command = None
            if command is not None:
                self.commands[index] = command
                operation = command.act
                if isinstance(operation, SetOverride):
                    disabled = disabled | {operation.name} if operation.out else disabled - {operation.name}
                elif isinstance(operation, FencedWrite):
                    self.values[operation.duty, operation.key] = operation.value
            self.disabled[index] = disabled


class Oracle:
    """Records a run, from several threads, and checks it at the end."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.overrides: list[Call] = []  # the key is a provider: disabled or not
        self.values: list[Call] = []  # the key is that of a fenced value
        self.leases: list[Call] = []
        self.accepted: list[AcceptedOperation] = []
        self.promises: list[Promise] = []
        self.views: list[View] = []
        self.entries: dict[int, bytes] = {}
        self.reported_by: dict[int, str] = {}  # the first voter that reported each entry
        self.outages: list[tuple[int, int]] = []  # when certainly no majority was available
        # The same, and also when one was available only if every voter that was just restored is a member already.
        self.possible_outages: list[tuple[int, int]] = []
        self._outage_began: dict[int, int] = {}  # of the outage that still lasts, by the identity of its list
        self.problems: list[str] = []  # violations found during the run
        self.counts: Counter[str] = Counter()
        self._last_index: dict[tuple[str, int], int] = {}  # shown by each (sidecar, life)
        self._acknowledged: list[int] = []
        self.began = time.monotonic_ns()

    # ---- recording ------------------------------------------------------------------------------

    def problem(self, text: str) -> None:
        """Records a violation, or a failure of the harness."""
        with self._lock:
            self.problems.append(text)

    @contextmanager
    def call(self, calls: list[Call], client: str, key: str, op: tuple) -> Iterator[list]:
        """Records one call. The body appends the result to the list that it is given.

        `NotApplied` leaves the call out of the history, `OutcomeUnknown` records it without a return; neither
        exception leaves the context.
        """
        result: list = []
        invoked = time.monotonic_ns()
        returned: int | None = None
        try:
            yield result
            returned = time.monotonic_ns()
        except OutcomeUnknown:
            self.counts["unknown"] += 1
        except NotApplied:
            self.counts["not taken"] += 1
            return
        with self._lock:
            calls.append(Call(client, invoked, returned, op, result[0] if result else None, key))
            if returned is not None and op[0] == "set":
                self._acknowledged.append(returned)
            self.counts["answered"] += returned is not None

    def promise(self, index: int, operation: SetOverride | FencedWrite, sidecar: str = "", life: int = 0) -> None:
        """Records an acknowledged write."""
        with self._lock:
            self.promises.append(Promise(index, operation, sidecar, life, time.monotonic_ns()))

    def view(self, sidecar: str, life: int, index: int, disabled: frozenset[str], asked_at: int) -> None:
        """Records the state that a sidecar showed."""
        with self._lock:
            last = self._last_index.get((sidecar, life), 0)
            if index < last:
                self.problems.append(f"{sidecar} went back from index {last} to {index} in one life")
            self._last_index[sidecar, life] = index
            self.views.append(View(sidecar, life, index, disabled, asked_at))

    def entry(self, voter: str, index: int, data: bytes) -> None:
        """Records a committed entry that a voter reported."""
        with self._lock:
            known = self.entries.setdefault(index, data)
            first = self.reported_by.setdefault(index, voter)
            if known != data:
                self.problems.append(f"entry {index} is another at {voter} than at {first}")

    def majority(self, available: bool, certain: bool = True) -> None:
        """Records whether a majority is available. Called before one can be again, and after it no longer can."""
        now = time.monotonic_ns()
        with self._lock:
            for spans, up in ((self.outages, available), (self.possible_outages, available and certain)):
                if not up:
                    self._outage_began.setdefault(id(spans), now)
                elif id(spans) in self._outage_began:
                    spans.append((self._outage_began.pop(id(spans)), now))

    # ---- checks ---------------------------------------------------------------------------------

    def highest(self) -> int:
        """The index up to which every entry was reported."""
        index = 0
        while index + 1 in self.entries:
            index += 1
        return index

    def replay(self) -> Replay:
        """The replay of all entries that were reported without a gap."""
        return Replay(self.entries, self.highest())

    def check(self) -> list[str]:
        """All violations. To be called after the load has ended and the final states and values were recorded."""
        self.majority(True)
        found = [
            *self.problems,
            *self._check_promises(),
            *self._check_views(),
            *map(str, violations(self.overrides, register(False))),
            *map(str, violations(self.values, register(None))),
            *map(str, violations(self.leases, lease())),
            *self._check_outages(),
            *self._check_tokens(),
        ]
        return list(dict.fromkeys(found))

    def lost_writes(self) -> int:
        """The number of acknowledged writes that the committed log does not have."""
        return len(self._check_promises())

    def _check_promises(self) -> list[str]:
        found, replay = [], self.replay()
        for index, promised, *_ in self.promises:
            command = replay.commands.get(index)
            operation = command.act if command else None
            match promised:
                case SetOverride(name, out=False) if not isinstance(operation, SetOverride) or operation.name != name:
                    # Answered without a write, as the provider was not disabled at that index.
                    same = name not in replay.disabled.get(index, {name})
                case SetOverride(name, out):
                    same = isinstance(operation, SetOverride) and (operation.name, operation.out) == (name, out)
                case _:
                    same = operation == promised
            if not same:
                found.append(f"promised at index {index}: {promised}, and there is {operation}")
        return found

    def _check_views(self) -> list[str]:
        """A sidecar shows the state at its index, except for overrides that it acknowledged itself: these are in force
        there from the acknowledgement on, and the remaining entries up to them follow."""
        found, replay, top = [], self.replay(), self.highest()
        overrides: dict[str, list[tuple[int, bool]]] = {}
        for index, command in replay.commands.items():
            if isinstance(command.act, SetOverride):
                overrides.setdefault(command.act.name, []).append((index, command.act.out))
        own: dict[tuple[str, int], list[Promise]] = {}
        for promise in self.promises:
            own.setdefault((promise.sidecar, promise.life), []).append(promise)
        for view in self.views:
            if view.index > top:
                found.append(f"{view.sidecar} showed index {view.index}, and the log ends at {top}")
                continue
            for name in view.disabled ^ replay.disabled[view.index]:
                shown = name in view.disabled
                if shown not in [out for index, out in overrides.get(name, ()) if index > view.index]:
                    found.append(f"{view.sidecar} showed {name} {'out' if shown else 'in'} at {view.index}")
            for promise in own.get((view.sidecar, view.life), ()):
                if promise.returned_at < view.asked_at and promise.index > view.index:
                    name, out = promise.operation.name, promise.operation.out
                    later = [out for at, out in overrides.get(name, ()) if at > promise.index]
                    if (name in view.disabled) not in [out, *later]:
                        found.append(
                            f"{view.sidecar} promised {promise.operation} at {promise.index} and does not show it"
                        )
        return found

    def _check_outages(self) -> list[str]:
        return [
            f"{call.op} by {call.client} was answered {call.result!r} while no majority was available"
            for call in [*self.overrides, *self.values, *self.leases]
            for start, end in self.outages
            if call.returned_at is not None and start <= call.invoked_at and call.returned_at <= end
        ]

    def two_holders(self) -> list[str]:
        """Pairs of accepted operations whose fencing tokens are out of order."""
        return [f"two holders acted: {first}, then {then}" for first, then in fencing_violations(self.accepted)]

    def _check_tokens(self) -> list[str]:
        holders: dict[int, set[str]] = {}
        for call in self.leases:
            if call.op[0] == "acquire" and call.result and call.result[0] == "ok":
                holders.setdefault(call.result[1], set()).add(str(call.op[1]))
        shared = [f"token {token} was granted to {sorted(names)}" for token, names in holders.items() if len(names) > 1]
        return [*shared, *self.two_holders()]

    # ---- figures --------------------------------------------------------------------------------

    def unavailable(self) -> list[tuple[int, int, int]]:
        """Each period without an acknowledged write: its start, its length, and for how much of it a majority was
        available, in ns."""
        times = [self.began, *sorted(self._acknowledged)]
        found = []
        for before, after in zip(times, times[1:], strict=False):
            if after - before >= UNAVAILABLE:
                without = sum(max(0, min(after, end) - max(before, start)) for start, end in self.possible_outages)
                found.append((before, after - before, after - before - without))
        return found
