"""Fault injection: starts each fault of a scenario at its time and ends it after its duration."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loftweir import interface as api
from loftweir.emulator.clients import Clients
from loftweir.emulator.context import REQUESTS_DELAY, SECOND, START_TIME, Context
from loftweir.emulator.fleet import Fleet
from loftweir.emulator.instance import Instance
from loftweir.emulator.lists import DiscoveryService
from loftweir.emulator.node import Node
from loftweir.emulator.scenario import InjectedFault

REPLACEMENT_DRAIN = 5 * SECOND  # from when a replaced node is published as draining until it is removed
MIN_SPEED_FACTOR = 0.001  # of a slowed node; 0 would make its jobs endless


class FaultInjector:
    """Injects the faults of a scenario. The method `_KIND` starts a fault of kind KIND and gets the nodes that
    the fault affects."""

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        discovery: DiscoveryService,
        clients: Clients,
        instances: list[Instance],
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.discovery = discovery
        self.clients = clients
        self.instances = instances

    def schedule(self) -> None:
        """Schedules the start of each fault."""
        for number, fault in enumerate(self.context.scenario.troubles):
            self.context.clock.call_at(START_TIME + REQUESTS_DELAY + fault.at, self._inject, number, fault)

    def _affected_nodes(self, fault: InjectedFault, number: int) -> list[Node]:
        """The running nodes of the fault's zone, or a random part of them, at least one."""
        candidates = [n for n in self.context.nodes.values() if n.up and fault.zone in ("", n.zone)]
        if fault.part >= 1 or not candidates:
            return candidates
        stream = self.context.streams[f"trouble {number}"]
        wanted = max(1, round(len(candidates) * fault.part))
        chosen = []
        for _ in range(wanted):
            chosen.append(candidates.pop(stream.below(len(candidates))))
        return chosen

    def _inject(self, number: int, fault: InjectedFault) -> None:
        nodes = self._affected_nodes(fault, number)
        getattr(self, f"_{fault.kind}")(fault, nodes)

    def _at_end(self, fault: InjectedFault, undo: Callable[..., Any], *arguments: Any) -> None:
        """Schedules a call for the end of a fault."""
        self.context.clock.call_later(fault.lasts, undo, *arguments)

    # ---- nodes ----------------------------------------------------------------------------------

    def _hang(self, fault: InjectedFault, nodes: list[Node]) -> None:
        for node in nodes:
            node.hang(True)
            self._at_end(fault, node.hang, False)

    def _crash(self, fault: InjectedFault, nodes: list[Node]) -> None:
        for node in nodes:
            node.crash()
            self.discovery.update(node, api.Lifecycle.GONE)
            self._at_end(fault, self._restart, node, True)

    def _restart(self, node: Node, cold: bool) -> None:
        node.start(cold)
        if node.up:
            self.discovery.update(node, api.Lifecycle.READY)

    def _cut(self, fault: InjectedFault, nodes: list[Node]) -> None:
        for node in nodes:
            node.isolated = True
            self._at_end(fault, setattr, node, "isolated", False)

    def _slow(self, fault: InjectedFault, nodes: list[Node]) -> None:
        for node in nodes:
            node.set_speed_factor(max(MIN_SPEED_FACTOR, fault.factor))
            self._at_end(fault, node.set_speed_factor, 1.0)

    def _errors(self, fault: InjectedFault, nodes: list[Node]) -> None:
        for node in nodes:
            node.error_shares[fault.class_name] = fault.factor
            self._at_end(fault, node.error_shares.pop, fault.class_name, None)

    _class_fails = _errors

    def _drain(self, fault: InjectedFault, nodes: list[Node]) -> None:
        """Drains the nodes for the fault's duration, then removes them."""
        for node in nodes:
            self.discovery.update(node, api.Lifecycle.DRAINING)
            self._at_end(fault, self._remove, node)

    def _remove(self, node: Node) -> None:
        node.crash()
        self.discovery.update(node, api.Lifecycle.GONE)

    def _replace(self, fault: InjectedFault, nodes: list[Node]) -> None:
        """Replaces the nodes one after the other, spread over the fault's duration."""
        for place, node in enumerate(nodes):
            self.context.clock.call_later(place * fault.lasts // max(1, len(nodes)), self._replace_node, node)

    def _replace_node(self, node: Node) -> None:
        """Drains and removes a node while a new one of the same kind starts cold."""
        new = self.fleet.add_replacement(node)
        new.start(True)
        self.discovery.update(new, api.Lifecycle.READY)
        self.discovery.update(node, api.Lifecycle.DRAINING)
        self.context.clock.call_later(self.discovery.lag + REPLACEMENT_DRAIN, self._remove, node)

    def _zone_loss(self, fault: InjectedFault, nodes: list[Node]) -> None:
        """Isolates the nodes of a zone, with or without its balancers; they restart cold at the end of the fault."""
        for node in nodes:
            node.isolated = True
            self.discovery.update(node, api.Lifecycle.GONE)
            self._at_end(fault, self._restart_isolated, node)
        if fault.balancers == "go":
            for instance in self.instances:
                if instance.zone == fault.zone:
                    instance.crash()
                    self.discovery.watchers.pop(instance.number, None)
                    self._at_end(fault, instance.start, self.discovery.endpoints())

    def _restart_isolated(self, node: Node) -> None:
        node.crash()
        self._restart(node, True)

    _cold_return = _crash

    # ---- discovery, clients and network ---------------------------------------------------------

    def _stale(self, fault: InjectedFault, nodes: list[Node]) -> None:
        """Publishes changes of the list later."""
        extra_lag = int(fault.factor * SECOND)
        self.discovery.lag += extra_lag
        self._at_end(fault, self._reduce_lag, extra_lag)

    def _reduce_lag(self, by: int) -> None:
        self.discovery.lag -= by

    def _no_discovery(self, fault: InjectedFault, nodes: list[Node]) -> None:
        self.discovery.set_down(True)
        self._at_end(fault, self.discovery.set_down, False)

    def _surge(self, fault: InjectedFault, nodes: list[Node]) -> None:
        self.clients.surge[fault.zone] = fault.factor
        self._at_end(fault, self.clients.surge.pop, fault.zone, None)

    def _partition(self, fault: InjectedFault, nodes: list[Node]) -> None:
        self.context.isolated_zones.add(fault.zone)
        self._at_end(fault, self.context.isolated_zones.discard, fault.zone)
