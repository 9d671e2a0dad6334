"""What all parts of one run share: scenario, clock, random streams, nodes, oracle and the delays of the network."""

from __future__ import annotations

from loftweir.emulator.clock import Clock
from loftweir.emulator.node import Node
from loftweir.emulator.oracle import Oracle
from loftweir.emulator.scenario import Scenario, settings_of
from loftweir.emulator.streams import Streams

MS = 1_000_000
SECOND = 1_000_000_000
START_TIME = 1_700_000_000 * SECOND  # when a run starts; Unix time, because the list contains nodes' start times
REQUESTS_DELAY = SECOND  # from the start of the instances to the first request


class Context:
    """Created by the emulation and passed to each of its parts."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.clock = Clock(START_TIME)
        self.streams = Streams(seed)
        self.requests_end_at = START_TIME + REQUESTS_DELAY + scenario.seconds * SECOND  # no request arrives after this
        self.total_instances = sum(i.count for i in scenario.instances)
        self.oracle = Oracle(settings_of(scenario, scenario.instances[0].zone, 0, self.total_instances).safety)
        self.nodes: dict[str, Node] = {}
        self.isolated_zones: set[str] = set()  # zones that are partitioned from all others
        self.attempts = 0
        self.executions = 0

    def network_delay(self, one: str, other: str) -> int:
        """The one-way delay between two zones."""
        world = self.scenario.world
        return world.near if one == other else world.far

    def is_partitioned(self, one: str, other: str) -> bool:
        """Whether no message passes between two zones."""
        return (
            bool(self.isolated_zones) and one != other and (one in self.isolated_zones or other in self.isolated_zones)
        )
