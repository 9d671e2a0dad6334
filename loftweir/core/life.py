"""The life of a sidecar towards its clients, as a table: serving, being emptied, coming to its end. No I/O, no clock.

    SERVING --drain--> LEAVING --emptied--> EMPTY         undrain leads back from both
    each of these --end--> ENDING --shut--> SHUT          from which nothing leads back

`drain` and `undrain` are the operators', `end` is SIGTERM; `emptied` and `shut` come a stated time later, when whoever
sends clients has learnt of it.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple


class Traits(NamedTuple):
    """What holds in a state."""

    healthy: bool  # health may say yes
    last: bool  # an answer is the last on its connection


class State(Enum):
    SERVING = "serving"
    LEAVING = "leaving"
    EMPTY = "empty"
    ENDING = "ending"
    SHUT = "shut"


TRAITS = {
    State.SERVING: Traits(healthy=True, last=False),
    State.LEAVING: Traits(healthy=False, last=True),
    State.EMPTY: Traits(healthy=False, last=True),
    State.ENDING: Traits(healthy=False, last=True),
    State.SHUT: Traits(healthy=False, last=True),
}


class Step(Enum):
    DRAIN = "drain"
    UNDRAIN = "undrain"
    EMPTIED = "emptied"
    END = "end"
    SHUT = "shut"


# What is not named here changes nothing.
TABLE: dict[tuple[State, Step], State] = {
    (State.SERVING, Step.DRAIN): State.LEAVING,
    (State.LEAVING, Step.EMPTIED): State.EMPTY,
    (State.LEAVING, Step.UNDRAIN): State.SERVING,
    (State.EMPTY, Step.UNDRAIN): State.SERVING,
    (State.SERVING, Step.END): State.ENDING,
    (State.LEAVING, Step.END): State.ENDING,
    (State.EMPTY, Step.END): State.ENDING,
    (State.ENDING, Step.SHUT): State.SHUT,
}


class Life:
    """One sidecar's; `changed` is called after each change, with what it was before."""

    def __init__(self) -> None:
        self.state = State.SERVING
        self.changed: Callable[[State], None] = lambda before: None

    @property
    def traits(self) -> Traits:
        return TRAITS[self.state]

    @property
    def ends(self) -> bool:
        return self.state in (State.ENDING, State.SHUT)

    def step(self, step: Step) -> bool:
        """Whether it led anywhere."""
        before = self.state
        self.state = TABLE.get((before, step), before)
        if self.state is before:
            return False
        self.changed(before)
        return True
