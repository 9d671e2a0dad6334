"""What all parts of one run share: its scenario, clock, draws, nodes, the oracle, and the ways between zones."""

from __future__ import annotations

from loftweir.emulator.clock import Clock
from loftweir.emulator.node import Node
from loftweir.emulator.oracle import Oracle
from loftweir.emulator.scenario import Scenario, settings_of
from loftweir.emulator.streams import Streams

MS, SECOND = 1_000_000, 1_000_000_000
BEGAN = 1_700_000_000 * SECOND  # the run's first moment: Unix time, since nodes tell theirs
LEAD = SECOND  # from the instances' start to the first request


class Context:
    """Made by the emulation, handed to each of its parts."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.clock = Clock(BEGAN)
        self.streams = Streams(seed)
        self.ends_at = BEGAN + LEAD + scenario.seconds * SECOND  # the last request comes before
        self.instances_in_all = sum(i.count for i in scenario.instances)
        self.oracle = Oracle(settings_of(scenario, scenario.instances[0].zone, 0, self.instances_in_all).safety)
        self.nodes: dict[str, Node] = {}
        self.severed: set[str] = set()  # zones that others can't reach
        self.attempts = self.executions = 0

    def delay(self, one: str, other: str) -> int:
        """The time one way from a zone to another."""
        w = self.scenario.world
        return w.near if one == other else w.far

    def cut_between(self, one: str, other: str) -> bool:
        """Whether nothing passes between two zones."""
        return bool(self.severed) and one != other and (one in self.severed or other in self.severed)
