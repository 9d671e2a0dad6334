"""Discovery: the list of nodes as instances are told it, late, by a service that takes only so many calls a second."""

from __future__ import annotations

from loftweir import interface as api
from loftweir.emulator.context import SECOND, Context
from loftweir.emulator.instance import Instance
from loftweir.emulator.node import Node


def endpoint_of(node: Node, lifecycle: api.Lifecycle) -> api.Endpoint:
    """A node as the list has it."""
    return api.Endpoint(node.name, node.zone, "node", node.cell, lifecycle, node.weight, node.started_at)


class Lists:
    """Discovery: the list as it is told, late; calls worked through in turn at a rate that it can take."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.version = 0
        self.told: dict[str, tuple[int, api.Endpoint]] = {}  # by name: since which version, and how it stands
        self.watchers: dict[int, Instance] = {}
        self.down = False
        self.lag = context.scenario.world.lag
        self.free_at = 0  # when it is through with the calls before
        self.calls = 0
        for node in context.nodes.values():
            self.version += 1
            self.told[node.name] = self.version, endpoint_of(node, api.Lifecycle.READY)

    def changed(self, node: Node, lifecycle: api.Lifecycle) -> None:
        """Something has become of a node: the list says so after its lag."""
        self.context.clock.after(self.lag, self._tell, endpoint_of(node, lifecycle))

    def _tell(self, endpoint: api.Endpoint) -> None:
        self.version += 1
        self.told[endpoint.address] = self.version, endpoint
        if not self.down:
            for instance in list(self.watchers.values()):
                self.context.clock.after(self.context.scenario.world.near, self._news, instance)

    def whole(self) -> tuple[api.Endpoint, ...]:
        return tuple(e for _, e in self.told.values() if e.lifecycle is not api.Lifecycle.GONE)

    def watch(self, instance: Instance, on: bool) -> None:
        self.watchers.pop(instance.number, None)
        if on:
            self._call(instance, True)

    def fetch(self, instance: Instance) -> None:
        self._call(instance, False)

    def _call(self, instance: Instance, stays: bool) -> None:
        clock, w = self.context.clock, self.context.scenario.world
        self.calls += 1
        life = instance.life
        if self.down:
            clock.after(w.near, self._failed, instance, life)
            return
        self.free_at = max(self.free_at, clock.now) + int(SECOND / w.discovery_rate)
        clock.at(self.free_at + w.near, self._answer, instance, life, stays)

    def _failed(self, instance: Instance, life: int) -> None:
        if life == instance.life:
            instance.tell(api.MembershipUpdate(api.UpdateKind.FAILED))

    def _answer(self, instance: Instance, life: int, stays: bool) -> None:
        if life != instance.life:
            return
        if self.down:
            self._failed(instance, life)
            return
        if stays:
            self.watchers[instance.number] = instance
        instance.version = self.version
        self._hand(instance, api.UpdateKind.FULL, self.whole())

    def _news(self, instance: Instance) -> None:
        if self.watchers.get(instance.number) is not instance or instance.version >= self.version:
            return
        entries = tuple(e for version, e in self.told.values() if version > instance.version)
        instance.version = self.version
        self._hand(instance, api.UpdateKind.CHANGES, entries)

    def _hand(self, instance: Instance, kind: api.UpdateKind, entries: tuple[api.Endpoint, ...]) -> None:
        oracle, now = self.context.oracle, self.context.clock.now
        listed = {e.address: e for e in entries}
        if kind is api.UpdateKind.FULL:
            for name in self.context.nodes:
                if name not in listed:
                    oracle.told_to_drain(instance.number, name, now)
        for e in entries:
            if e.lifecycle is api.Lifecycle.READY:
                oracle.told_ready(instance.number, e.address)
            else:
                oracle.told_to_drain(instance.number, e.address, now)
        instance.tell(api.MembershipUpdate(kind, entries, self.version))

    def go_down(self, down: bool) -> None:
        self.down = down
        if down:
            watching, self.watchers = self.watchers, {}
            for instance in watching.values():
                self.context.clock.after(self.context.scenario.world.near, self._failed, instance, instance.life)
