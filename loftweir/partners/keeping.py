"""Writes one table to the copies under a duty: chunks that are missing, then the head, then what no head names goes.

Only news are written. That a partner has answered again is a note of some bytes, written once in a while.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from loftweir.errors import LoftweirError
from loftweir.lease.duty import Duty, NotActing
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.partners import replicated_table
from loftweir.replication.machine import Ok
from loftweir.telemetry.catalogue import PARTNERS_NOT_KEPT
from loftweir.telemetry.log import emit

WITHIN = 3 * SECOND  # of one write
AGAIN, AGAIN_MOST = 300 * MS, 5 * SECOND  # after one that failed


class NotKept(LoftweirError):
    """The copies have no room for a table, or don't take it: what they held before stays, and ages."""

    remedy = "Lower `partners.table_size` or `routes`, or take neighbours out of the file, at all sidecars of the site."


class Target(NamedTuple):
    """What the copies are to hold."""

    head: bytes
    chunks: Mapping[str, bytes]


class Keeping:
    """Invariants: the head in the copies names chunks that are all there; `there` has keys that surely are, `maybe`
    besides those that a write of unknown outcome put or took away. A note is of the table that the head has."""

    def __init__(self, loop: Loop, duty: Duty, prefix: str = "", notes_apart: int = 0) -> None:
        self.loop = loop
        self.duty = duty
        self.prefix = prefix
        self.notes_apart = notes_apart
        self.there: set[str] = set()
        self.maybe: set[str] = set()
        self.head: bytes | None = None  # in the copies; None: not known
        self.target: Target | None = None
        self.done: Target | None = None
        self.confirmed_at = self.noted = self.noted_at = 0
        self.task: Task | None = None

    def begin(self, keys: Iterable[str], head: bytes | None) -> None:
        """`keys`: without the prefix, all that are there, and what the head is, as of the grant of the duty's lease or
        later."""
        self.head = head
        self.there = set(keys)
        self.maybe = set(self.there)
        self.target = self.done = None
        self.confirmed_at = self.noted = self.noted_at = 0
        self._start()

    def _start(self) -> None:
        self.task = self.loop.spawn(self._run(), self._crashed)

    def _crashed(self, _: Exception) -> None:
        if self.task is not None:
            self.loop.after(AGAIN_MOST, self._again, self.task)

    def _again(self, task: Task) -> None:
        if self.task is task:
            self._start()

    def end(self) -> None:
        if self.task is not None:
            self.task.cancel()
            self.task = None

    def aim(self, target: Target, confirmed_at: int = 0) -> None:
        if self.target is None or target.head != self.target.head:
            self.target = target
            self.noted = max(self.noted, confirmed_at)  # which the head has
        self.confirm(confirmed_at)

    def confirm(self, at: int) -> None:
        """What is aimed at was said again at this time, Unix ns."""
        self.confirmed_at = max(self.confirmed_at, at)
        if self.task is not None:
            self.task.wake()

    def _run(self) -> Coroutine[None]:
        again = AGAIN
        while True:
            try:
                yield from self._step()
                again = AGAIN
            except NotActing:
                return  # its end comes
            except LoftweirError as error:
                emit(PARTNERS_NOT_KEPT, duty=self.duty.duty, why=error)
                yield Wait(None, 0, self.loop.now() + again)
                again = min(2 * again, AGAIN_MOST)

    def _step(self) -> Coroutine[None]:
        """What is due is written, or waited for."""
        if self.target is not None and self.target is not self.done:
            yield from self._write(self.target)
        elif self.target is not None and self.confirmed_at > self.noted:
            due_at = self.noted_at + self.notes_apart
            if self.loop.now() < due_at:
                yield Wait(None, 0, due_at)
                return
            noted, self.noted_at = self.confirmed_at, self.loop.now()
            yield from self._put(replicated_table.NOTE, replicated_table.note(noted))
            self.noted = noted
        else:
            yield Wait(None, 0, None)

    def _write(self, target: Target) -> Coroutine[None]:
        for key, data in target.chunks.items():
            if key not in self.there:
                yield from self._put(key, data)
        if target.head != self.head:
            self.head = None
            yield from self._put(replicated_table.HEAD, target.head)
            self.head = target.head
        self.done = target
        for key in sorted(replicated_table.litter(self.maybe, target.chunks)):
            yield from self._put(key, b"")

    def _put(self, key: str, value: bytes) -> Coroutine[None]:
        self.there.discard(key)
        self.maybe.add(key)
        result = yield from self.duty.put(self.prefix + key, value, WITHIN)
        if not isinstance(result, Ok):
            raise NotKept(result.text, f"{self.duty.duty} {self.prefix}{key}")
        if value:
            self.there.add(key)
        else:
            self.maybe.discard(key)
