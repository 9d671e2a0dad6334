"""The sidecar's lifecycle towards its clients, as a state table: serving, draining, ending. No I/O, no clock.

    SERVING --drain--> LEAVING --emptied--> EMPTY         undrain returns from both to SERVING
    each of these --end--> ENDING --shut--> SHUT          final: nothing returns from these

Operators cause `drain` and `undrain`, and SIGTERM causes `end`. `emptied` and `shut` follow after a fixed time, in
which whatever sends clients here can learn of the change.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple


class StateTraits(NamedTuple):
    """What a state means for health checks and connections."""

    healthy: bool  # the health check may succeed
    last: bool  # a response is the last one on its connection


class State(Enum):
    """A state of the lifecycle."""

    SERVING = "serving"
    LEAVING = "leaving"  # draining: clients may not know of it yet
    EMPTY = "empty"  # drained: idle connections are closed
    ENDING = "ending"  # the process is ending: clients may not know of it yet
    SHUT = "shut"  # the process ends once what it has taken is answered


TRAITS = {
    State.SERVING: StateTraits(healthy=True, last=False),
    State.LEAVING: StateTraits(healthy=False, last=True),
    State.EMPTY: StateTraits(healthy=False, last=True),
    State.ENDING: StateTraits(healthy=False, last=True),
    State.SHUT: StateTraits(healthy=False, last=True),
}


class LifecycleEvent(Enum):
    """What may change the state."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    EMPTIED = "emptied"  # the drain has lasted for its fixed time
    END = "end"
    SHUT = "shut"  # the ending has lasted for its fixed time


# A pair of state and event that is not listed changes nothing.
TABLE: dict[tuple[State, LifecycleEvent], State] = {
    (State.SERVING, LifecycleEvent.DRAIN): State.LEAVING,
    (State.LEAVING, LifecycleEvent.EMPTIED): State.EMPTY,
    (State.LEAVING, LifecycleEvent.UNDRAIN): State.SERVING,
    (State.EMPTY, LifecycleEvent.UNDRAIN): State.SERVING,
    (State.SERVING, LifecycleEvent.END): State.ENDING,
    (State.LEAVING, LifecycleEvent.END): State.ENDING,
    (State.EMPTY, LifecycleEvent.END): State.ENDING,
    (State.ENDING, LifecycleEvent.SHUT): State.SHUT,
}


class SidecarLifecycle:
    """The lifecycle of one sidecar; `changed` is called with the previous state after each change."""

    def __init__(self) -> None:
        self.state = State.SERVING
        self.changed: Callable[[State], None] = lambda before: None

    @property
    def traits(self) -> StateTraits:
        """The traits of the current state."""
        return TRAITS[self.state]

    @property
    def is_ending(self) -> bool:
        """Whether the process is ending."""
        return self.state in (State.ENDING, State.SHUT)

    def step(self, event: LifecycleEvent) -> bool:
        """Apply an event; return whether it changed the state."""
        before = self.state
        self.state = TABLE.get((before, event), before)
        if self.state is before:
            return False
        self.changed(before)
        return True
