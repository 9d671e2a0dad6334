"""Discovery: publishes the list of nodes after a delay, and answers a limited number of calls per second."""

from __future__ import annotations

from loftweir import interface as api
from loftweir.emulator.context import SECOND, Context
from loftweir.emulator.instance import Instance
from loftweir.emulator.node import Node


def endpoint_of(node: Node, lifecycle: api.Lifecycle) -> api.Endpoint:
    """A node as an entry of the list."""
    return api.Endpoint(node.name, node.zone, "node", node.cell, lifecycle, node.weight, node.started_at)


class DiscoveryService:
    """The discovery service. Changes are published after `lag`; calls are answered one after the other, at a limited
    rate."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.version = 0
        self.entries: dict[str, tuple[int, api.Endpoint]] = {}  # by name: version of the last change, and the entry
        self.watchers: dict[int, Instance] = {}
        self.down = False
        self.lag = context.scenario.world.lag
        self.free_at = 0  # when all calls so far are answered
        self.calls = 0
        for node in context.nodes.values():
            self.version += 1
            self.entries[node.name] = self.version, endpoint_of(node, api.Lifecycle.READY)

    def update(self, node: Node, lifecycle: api.Lifecycle) -> None:
        """Publishes a change of a node after the lag."""
        self.context.clock.call_later(self.lag, self._publish, endpoint_of(node, lifecycle))

    def _publish(self, endpoint: api.Endpoint) -> None:
        self.version += 1
        self.entries[endpoint.address] = self.version, endpoint
        if not self.down:
            for instance in list(self.watchers.values()):
                self.context.clock.call_later(self.context.scenario.world.near, self._send_changes, instance)

    def endpoints(self) -> tuple[api.Endpoint, ...]:
        """The whole endpoint list."""
        return tuple(e for _, e in self.entries.values() if e.lifecycle is not api.Lifecycle.GONE)

    def watch(self, instance: Instance, on: bool) -> None:
        """Starts or ends the watch of an instance."""
        self.watchers.pop(instance.number, None)
        if on:
            self._call(instance, True)

    def fetch(self, instance: Instance) -> None:
        """Answers a single call for the list."""
        self._call(instance, False)

    def _call(self, instance: Instance, is_watch: bool) -> None:
        clock, world = self.context.clock, self.context.scenario.world
        self.calls += 1
        generation = instance.generation
        if self.down:
            clock.call_later(world.near, self._send_failure, instance, generation)
            return
        self.free_at = max(self.free_at, clock.now) + int(SECOND / world.discovery_rate)
        clock.call_at(self.free_at + world.near, self._respond, instance, generation, is_watch)

    def _send_failure(self, instance: Instance, generation: int) -> None:
        if generation == instance.generation:
            instance.deliver(api.MembershipUpdate(api.UpdateKind.FAILED))

    def _respond(self, instance: Instance, generation: int, is_watch: bool) -> None:
        if generation != instance.generation:
            return
        if self.down:
            self._send_failure(instance, generation)
            return
        if is_watch:
            self.watchers[instance.number] = instance
        instance.version = self.version
        self._send(instance, api.UpdateKind.FULL, self.endpoints())

    def _send_changes(self, instance: Instance) -> None:
        """Sends what has changed since the instance's version, unless its watch has ended or it has everything."""
        if self.watchers.get(instance.number) is not instance or instance.version >= self.version:
            return
        changed = tuple(e for version, e in self.entries.values() if version > instance.version)
        instance.version = self.version
        self._send(instance, api.UpdateKind.CHANGES, changed)

    def _send(self, instance: Instance, kind: api.UpdateKind, endpoints: tuple[api.Endpoint, ...]) -> None:
        """Delivers a list, and records in the oracle which nodes the instance now has to stop using."""
        oracle, now = self.context.oracle, self.context.clock.now
        listed = {e.address: e for e in endpoints}
        if kind is api.UpdateKind.FULL:
            for name in self.context.nodes:
                if name not in listed:
                    oracle.drain_notified(instance.number, name, now)
        for endpoint in endpoints:
            if endpoint.lifecycle is api.Lifecycle.READY:
                oracle.ready_notified(instance.number, endpoint.address)
            else:
                oracle.drain_notified(instance.number, endpoint.address, now)
        instance.deliver(api.MembershipUpdate(kind, endpoints, self.version))

    def set_down(self, down: bool) -> None:
        """Stops or resumes the service; a stop ends all watches with a failure."""
        self.down = down
        if down:
            watching, self.watchers = self.watchers, {}
            near = self.context.scenario.world.near
            for instance in watching.values():
                self.context.clock.call_later(near, self._send_failure, instance, instance.generation)
