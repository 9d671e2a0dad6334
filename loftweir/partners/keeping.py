"""Writes one table to the replicated state under a lease: the missing chunks, then the head, then it deletes unused
chunks.

Only changes are written. That a partner has responded again is recorded in a note of a few bytes, at limited intervals.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from loftweir.errors import LoftweirError
from loftweir.lease.duty import LeasedTask, NotActing
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.partners import replicated_table
from loftweir.replication.machine import Ok
from loftweir.telemetry.catalogue import PARTNERS_NOT_KEPT
from loftweir.telemetry.log import emit

WRITE_TIMEOUT = 3 * SECOND  # of one write
MIN_BACKOFF = 300 * MS  # after a failed write; doubles with each failure
MAX_BACKOFF = 5 * SECOND


class NotKept(LoftweirError):
    """The replicated state has no room for a table, or rejects it: the previous one stays and expires in its time."""

    remedy = "Lower `partners.table_size` or `routes`, or remove neighbours from the file, at all sidecars of the site."


class Target(NamedTuple):
    """The content that the replicated state is to have."""

    head: bytes
    chunks: Mapping[str, bytes]  # by key


class TableWriter:
    """Writes a table while this sidecar has the lease.

    Invariants: all chunks exist that the head in the replicated state names; `stored` has the keys that certainly
    exist, and `possible` in addition those that a write of unknown outcome may have put or deleted. A note refers to
    the table of the stored head.
    """

    def __init__(self, loop: Loop, leased_task: LeasedTask, prefix: str = "", note_interval: int = 0) -> None:
        self.loop = loop
        self.leased_task = leased_task
        self.prefix = prefix
        self.note_interval = note_interval
        self.stored: set[str] = set()
        self.possible: set[str] = set()
        self.head: bytes | None = None  # in the replicated state; None: unknown
        self.target: Target | None = None
        self.written: Target | None = None  # the target that was last written as a whole
        self.confirmed_at = 0  # last confirmation of the target, Unix time in ns
        self.noted = 0  # the confirmation that the head or the note has
        self.noted_at = 0  # when the last note was written, Unix time in ns
        self.task: Task | None = None

    def begin(self, keys: Iterable[str], head: bytes | None) -> None:
        """`keys`: all existing ones, without the prefix. They and `head` have to be as of the grant of the lease or
        later."""
        self.head = head
        self.stored = set(keys)
        self.possible = set(self.stored)
        self.target = self.written = None
        self.confirmed_at = self.noted = self.noted_at = 0
        self._start()

    def _start(self) -> None:
        self.task = self.loop.spawn(self._run(), self._crashed)

    def _crashed(self, _: Exception) -> None:
        if self.task is not None:
            self.loop.after(MAX_BACKOFF, self._restart, self.task)

    def _restart(self, task: Task) -> None:
        if self.task is task:
            self._start()

    def end(self) -> None:
        """Stops writing."""
        if self.task is not None:
            self.task.cancel()
            self.task = None

    def set_target(self, target: Target, confirmed_at: int = 0) -> None:
        """Replaces the table to write. `confirmed_at`: when the partner sent it, Unix time in ns."""
        if self.target is None or target.head != self.target.head:
            self.target = target
            self.noted = max(self.noted, confirmed_at)  # the head has this time
        self.confirm(confirmed_at)

    def confirm(self, at: int) -> None:
        """The partner confirmed the target table again at this time, Unix time in ns."""
        self.confirmed_at = max(self.confirmed_at, at)
        if self.task is not None:
            self.task.wake()

    def _run(self) -> Coroutine[None]:
        backoff = MIN_BACKOFF
        while True:
            try:
                yield from self._step()
                backoff = MIN_BACKOFF
            except NotActing:
                return  # the lease ended, and `end` follows
            except LoftweirError as error:
                emit(PARTNERS_NOT_KEPT, duty=self.leased_task.lease_name, why=error)
                yield Wait(None, 0, self.loop.now() + backoff)
                backoff = min(2 * backoff, MAX_BACKOFF)

    def _step(self) -> Coroutine[None]:
        """Writes what is due, or waits until something is."""
        if self.target is not None and self.target is not self.written:
            yield from self._write(self.target)
        elif self.target is not None and self.confirmed_at > self.noted:
            due_at = self.noted_at + self.note_interval
            if self.loop.now() < due_at:
                yield Wait(None, 0, due_at)
                return
            confirmed_at, self.noted_at = self.confirmed_at, self.loop.now()
            yield from self._put(replicated_table.NOTE, replicated_table.encode_note(confirmed_at))
            self.noted = confirmed_at
        else:
            yield Wait(None, 0, None)

    def _write(self, target: Target) -> Coroutine[None]:
        for key, data in target.chunks.items():
            if key not in self.stored:
                yield from self._put(key, data)
        if target.head != self.head:
            self.head = None
            yield from self._put(replicated_table.HEAD, target.head)
            self.head = target.head
        self.written = target
        for key in sorted(replicated_table.unreferenced_chunks(self.possible, target.chunks)):
            yield from self._put(key, b"")

    def _put(self, key: str, value: bytes) -> Coroutine[None]:
        self.stored.discard(key)
        self.possible.add(key)
        result = yield from self.leased_task.put(self.prefix + key, value, WRITE_TIMEOUT)
        if not isinstance(result, Ok):
            raise NotKept(result.text, f"{self.leased_task.lease_name} {self.prefix}{key}")
        if value:
            self.stored.add(key)
        else:
            self.possible.discard(key)
