"""The memory budgets: what requests and answers in flight may take, and the objects that take from it.

A client's connection may also hold `UNCOUNTED` bytes that are in no budget: what one small read has returned, on either
side. Everything beyond that is taken from a budget before it is read, or as it is.
"""

from __future__ import annotations

from typing import NamedTuple

from loftweir.net.loop import MS, Coroutine, Loop, Wait

KIB = 1024  # bytes
READ_SIZE = 64 * KIB  # bytes: the most that is read at a time
LEAST_READ = 4 * KIB  # bytes: the least that is read at a time, however little memory is left
UNCOUNTED = 2 * LEAST_READ  # bytes of a client's connection: data of a request, and a piece of its answer
CONNECTION_OBJECTS = 6 * KIB  # bytes: the objects of a client's connection with a request in flight
MARGIN = 16  # one part in so many of the limit is left free, for freed memory that can't be used again
SMALL = 64 * KIB  # bytes: a body up to this size is buffered whole, and may use the whole memory budget
SMALL_RESERVE = 4  # one part in so many of the budget is for small bodies only
PIECES = 64  # pieces of long bodies in memory at a time, among which the budget is divided
MERGED = 4 * KIB  # bytes: parts of a body that arrive in tiny pieces are joined up to this size
BUDGET_RETRY = 10 * MS  # until it is checked again whether a body fits into the budget


class BudgetSizes(NamedTuple):
    """How much memory requests and answers may take, in bytes."""

    requests: int
    answers: int

    def fitted(self, limit: int, resident: int, clients: int) -> BudgetSizes:
        """Return sizes that keep the process within `limit` bytes: these, or both smaller in the same ratio.

        `resident`: what the process takes at rest, in bytes; `clients`: the most connections of clients. A limit that
        the process passes at rest can't be kept, and changes nothing.
        """
        if limit <= resident:
            return self
        free = limit - resident - clients * (UNCOUNTED + CONNECTION_OBJECTS) - limit // MARGIN
        scale = min(1.0, max(free, limit // MARGIN) / (self.requests + self.answers))
        return BudgetSizes(int(self.requests * scale), int(self.answers * scale))


class TooLarge(Exception):
    """A body is larger than allowed, or than the memory budget has left."""


class OutOfBudget(TooLarge):
    """A body is within its limit, but the memory budget has too little left now for `size` more bytes."""

    def __init__(self, size: int = 0) -> None:
        super().__init__()
        self.size = size


class MemoryBudget:
    """The bytes that all requests, or all answers, may take at a time.

    A part is for small bodies only: however many long ones there are, small requests are still served. `left` falls
    below 0 by at most `LEAST_READ` for each connection.
    """

    def __init__(self, size: int) -> None:
        self.size = self.left = size

    def resize(self, size: int) -> None:
        """Change the size; what is taken stays taken."""
        self.left += size - self.size
        self.size = size

    def has_room(self, additional: int, taken: int) -> bool:
        """Whether a body that has taken `taken` bytes may take `additional` more."""
        reserve = self.size // SMALL_RESERVE if additional + taken > SMALL else 0
        return self.left - additional >= reserve

    def most(self) -> int:
        """Return the most bytes that one long body may take."""
        return self.size - self.size // SMALL_RESERVE

    def piece(self) -> int:
        """Return how much to read at a time: the less of the budget is left, the less."""
        return max(LEAST_READ, min(READ_SIZE, self.left // PIECES))


class Body(list[bytes]):
    """The parts of a body, and the size of the head that is kept with it. They take from the budget until it is freed.

    Invariant: `taken` is the larger of the bytes that were reserved and the bytes that are stored.
    """

    __slots__ = ("budget", "size", "head_size", "taken")

    def __init__(self, budget: MemoryBudget) -> None:
        super().__init__()
        self.budget = budget
        self.size = 0
        self.head_size = 0  # set by the owner before it reserves memory
        self.taken = 0

    def reserve(self, size: int) -> None:
        """Take `size` bytes in all for the body, beside those of the head; raise `OutOfBudget` if too few are left."""
        additional = size + self.head_size - self.taken
        if additional > 0:
            if not self.budget.has_room(additional, self.taken):
                raise OutOfBudget(additional)
            self.budget.left -= additional
            self.taken += additional

    def append(self, part: bytes) -> None:
        """Add a part; raise `OutOfBudget` if the budget has too little left for it."""
        self.reserve(self.size + len(part))
        self._store(part)

    def hold(self, part: bytes) -> None:
        """Add a part that is in memory already, whatever the budget has left."""
        additional = max(0, self.size + len(part) + self.head_size - self.taken)
        self.budget.left -= additional
        self.taken += additional
        self._store(part)

    def hold_head(self, size: int) -> None:
        """Count a head of `size` bytes that is in memory with the body; one small read is not counted.

        Raises `OutOfBudget` if the budget has too little left for it.
        """
        if size > max(LEAST_READ, self.head_size):
            self.head_size = size
            self.reserve(self.size)

    def _store(self, part: bytes) -> None:
        """Store a part for which memory has been taken."""
        self.size += len(part)
        if self and len(self[-1]) + len(part) <= MERGED:
            self[-1] += part  # a bytes object of one byte takes forty times its size
        else:
            super().append(part)

    def __del__(self) -> None:
        self.budget.left += self.taken


class Held:
    """Bytes that are in memory already, such as the current piece of a long body; they are taken without a check."""

    __slots__ = ("budget", "size")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.size = 0

    def replace(self, size: int) -> None:
        """Take `size` bytes in place of those that were taken before."""
        self.budget.left += self.size - size
        self.size = size

    def __del__(self) -> None:
        self.replace(0)


def reserved(loop: Loop, body: Body, size: int, within: int) -> Coroutine[None]:
    """Reserve `size` bytes in all for a body; raise `OutOfBudget` if that is not possible within `within` ns."""
    until = loop.time + within
    while True:
        try:
            body.reserve(size)
            return
        except OutOfBudget:
            if loop.time >= until or size > body.budget.size:
                raise
        yield Wait(None, 0, loop.time + BUDGET_RETRY)
