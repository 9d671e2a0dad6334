"""The nodes of a run: those that the scenario has from the start, and those that replace them."""

from __future__ import annotations

from loftweir.emulator.context import BEGAN, Context
from loftweir.emulator.node import Costs, Node
from loftweir.emulator.scenario import Nodes


class Fleet:
    """Makes the nodes and puts them into the context, those of the scenario at once."""

    def __init__(self, context: Context) -> None:
        self.context = context
        for row, spec in enumerate(context.scenario.nodes):
            self._make_row(row, spec)

    def replacement(self, node: Node) -> Node:
        """A new node of the same make, under a name of its own."""
        new = self._make(f"{node.name}'", node.zone, node.cell, node.cores, node.speed, node.room, node.slots)
        new.weight = node.weight
        return new

    def _make_row(self, row: int, spec: Nodes) -> None:
        stream = self.context.streams[f"nodes {row}"]
        for number in range(spec.count):
            speed = spec.speed_from + (spec.speed_to - spec.speed_from) * stream.uniform()
            cell = spec.first_cell + number % spec.cells
            name = f"{spec.zone}-{row}-{number}"
            node = self._make(name, spec.zone, cell, spec.cores, speed, spec.queue, spec.slots)
            node.weight = spec.weight or node.weight
            node.started_at = BEGAN if spec.cold == "yes" else 0

    def _make(self, name: str, zone: str, cell: int, cores: int, speed: float, queue: int, slots: int) -> Node:
        context, scenario = self.context, self.context.scenario
        rules = scenario.overdrive
        prone = rules.share > 0 and context.streams[f"overdrive {name}"].uniform() < rules.share
        costs = Costs(scenario.connections, rules if prone else None)
        node = Node(name, zone, cell, cores, speed, queue, context.clock, scenario.world, slots, costs)
        node.draw = context.streams[f"errors {name}"].uniform
        context.nodes[name] = node
        return node
