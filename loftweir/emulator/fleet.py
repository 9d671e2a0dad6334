"""The nodes of a run: those that the scenario has from the start, and those that replace them."""

from __future__ import annotations

from loftweir.emulator.context import START_TIME, Context
from loftweir.emulator.node import Costs, Node
from loftweir.emulator.scenario import Nodes


class Fleet:
    """Creates the nodes and adds them to the context; those of the scenario at once."""

    def __init__(self, context: Context) -> None:
        self.context = context
        for row, spec in enumerate(context.scenario.nodes):
            self._add_all(row, spec)

    def add_replacement(self, node: Node) -> Node:
        """Adds a node with the same properties and a name of its own."""
        new = self._add(f"{node.name}'", node.zone, node.cell, node.cores, node.speed, node.queue_limit, node.slots)
        new.weight = node.weight
        return new

    def _add_all(self, row: int, spec: Nodes) -> None:
        """Adds all nodes of one `nodes` table of the scenario."""
        stream = self.context.streams[f"nodes {row}"]
        for number in range(spec.count):
            speed = spec.speed_from + (spec.speed_to - spec.speed_from) * stream.uniform()
            cell = spec.first_cell + number % spec.cells
            name = f"{spec.zone}-{row}-{number}"
            node = self._add(name, spec.zone, cell, spec.cores, speed, spec.queue, spec.slots)
            node.weight = spec.weight or node.weight
            node.started_at = START_TIME if spec.cold == "yes" else 0

    def _add(self, name: str, zone: str, cell: int, cores: int, speed: float, queue: int, slots: int) -> Node:
        context, scenario = self.context, self.context.scenario
        rules = scenario.overdrive
        may_overdrive = rules.share > 0 and context.streams[f"overdrive {name}"].uniform() < rules.share
        costs = Costs(scenario.connections, rules if may_overdrive else None)
        node = Node(name, zone, cell, cores, speed, queue, context.clock, scenario.world, slots, costs)
        node.draw_uniform = context.streams[f"errors {name}"].uniform
        context.nodes[name] = node
        return node
