"""InjectedFault injection: each fault of a scenario, begun at its time and undone after it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loftweir import interface as api
from loftweir.emulator.clients import Clients
from loftweir.emulator.context import BEGAN, LEAD, SECOND, Context
from loftweir.emulator.fleet import Fleet
from loftweir.emulator.instance import Instance
from loftweir.emulator.lists import Lists
from loftweir.emulator.node import Node
from loftweir.emulator.scenario import InjectedFault


class FaultInjector:
    """Injects the faults of a scenario. Each kind has a method of its name, told of the nodes that it is for."""

    def __init__(
        self, context: Context, fleet: Fleet, lists: Lists, clients: Clients, instances: list[Instance]
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.lists = lists
        self.clients = clients
        self.instances = instances

    def schedule(self) -> None:
        """Let each begin at its time."""
        for number, fault in enumerate(self.context.scenario.troubles):
            self.context.clock.at(BEGAN + LEAD + fault.at, self._inject, number, fault)

    def _chosen(self, fault: InjectedFault, number: int) -> list[Node]:
        """The nodes that a fault is for: a part of those in its zone, at least one, by a stream of its own."""
        there = [n for n in self.context.nodes.values() if n.up and fault.zone in ("", n.zone)]
        if fault.part >= 1 or not there:
            return there
        stream = self.context.streams[f"trouble {number}"]
        wanted = max(1, round(len(there) * fault.part))
        found = []
        for _ in range(wanted):
            found.append(there.pop(stream.below(len(there))))
        return found

    def _inject(self, number: int, fault: InjectedFault) -> None:
        nodes = self._chosen(fault, number)
        getattr(self, f"_{fault.kind}")(fault, nodes)

    def _later(self, fault: InjectedFault, undo: Callable[..., Any], *arguments: Any) -> None:
        self.context.clock.after(fault.lasts, undo, *arguments)

    def _hang(self, fault: InjectedFault, nodes: list[Node]) -> None:
        for node in nodes:
            node.hang(True)
            self._later(fault, node.hang, False)

    def _crash(self, fault: InjectedFault, nodes: list[Node]) -> None:
        for node in nodes:
            node.crash()
            self.lists.changed(node, api.Lifecycle.GONE)
            self._later(fault, self._back, node, True)

    def _back(self, node: Node, cold: bool) -> None:
        node.start(cold)
        if node.up:
            self.lists.changed(node, api.Lifecycle.READY)

    def _cut(self, fault: InjectedFault, nodes: list[Node]) -> None:
        for node in nodes:
            node.cut = True
            self._later(fault, setattr, node, "cut", False)

    def _slow(self, fault: InjectedFault, nodes: list[Node]) -> None:
        for node in nodes:
            node.slow_down(max(0.001, fault.factor))
            self._later(fault, node.slow_down, 1.0)

    def _errors(self, fault: InjectedFault, nodes: list[Node]) -> None:
        for node in nodes:
            node.error_part[fault.class_name] = fault.factor
            self._later(fault, node.error_part.pop, fault.class_name, None)

    _class_fails = _errors

    def _drain(self, fault: InjectedFault, nodes: list[Node]) -> None:
        """They are to leave: told, drained for `lasts`, then gone."""
        for node in nodes:
            self.lists.changed(node, api.Lifecycle.DRAINING)
            self._later(fault, self._leaves, node)

    def _leaves(self, node: Node) -> None:
        node.crash()
        self.lists.changed(node, api.Lifecycle.GONE)

    def _replace(self, fault: InjectedFault, nodes: list[Node]) -> None:
        """One after another, each drained while a new one of its make comes up cold."""
        for place, node in enumerate(nodes):
            self.context.clock.after(place * fault.lasts // max(1, len(nodes)), self._replaced, node)

    def _replaced(self, node: Node) -> None:
        new = self.fleet.replacement(node)
        new.start(True)
        self.lists.changed(new, api.Lifecycle.READY)
        self.lists.changed(node, api.Lifecycle.DRAINING)
        self.context.clock.after(self.lists.lag + 5 * SECOND, self._leaves, node)

    def _zone_loss(self, fault: InjectedFault, nodes: list[Node]) -> None:
        """The machines of a zone vanish, with or without its balancers, and come back cold."""
        for node in nodes:
            node.cut = True
            self.lists.changed(node, api.Lifecycle.GONE)
            self._later(fault, self._returns, node)
        if fault.balancers == "go":
            for instance in self.instances:
                if instance.zone == fault.zone:
                    instance.die()
                    self.lists.watchers.pop(instance.number, None)
                    self._later(fault, instance.start, self.lists.whole())

    def _returns(self, node: Node) -> None:
        node.crash()
        self._back(node, True)

    _cold_return = _crash

    def _stale(self, fault: InjectedFault, nodes: list[Node]) -> None:
        """The list runs further behind."""
        self.lists.lag += int(fault.factor * SECOND)
        self._later(fault, self._fresh, int(fault.factor * SECOND))

    def _fresh(self, by: int) -> None:
        self.lists.lag -= by

    def _no_discovery(self, fault: InjectedFault, nodes: list[Node]) -> None:
        self.lists.go_down(True)
        self._later(fault, self.lists.go_down, False)

    def _surge(self, fault: InjectedFault, nodes: list[Node]) -> None:
        self.clients.surge[fault.zone] = fault.factor
        self._later(fault, self.clients.surge.pop, fault.zone, None)

    def _partition(self, fault: InjectedFault, nodes: list[Node]) -> None:
        self.context.severed.add(fault.zone)
        self._later(fault, self.context.severed.discard, fault.zone)
