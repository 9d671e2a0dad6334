"""Runs a scenario in virtual time: nodes, discovery, clients and faults around the real balancers.

A balancer is created by `make(settings, seed)` and is any object with `handle(now, events) -> actions`. So the
baselines, and the balancers with deliberate defects, run under the same conditions.
"""

from __future__ import annotations

from loftweir.balance import Balancer
from loftweir.emulator.clients import Clients
from loftweir.emulator.context import MS, REQUESTS_DELAY, SECOND, START_TIME, Context
from loftweir.emulator.faults import FaultInjector
from loftweir.emulator.fleet import Fleet
from loftweir.emulator.instance import Instance, MakeBalancer
from loftweir.emulator.lists import DiscoveryService
from loftweir.emulator.result import Result
from loftweir.emulator.scenario import Scenario


class Emulation:
    """One run of a scenario with all its parts."""

    def __init__(self, scenario: Scenario, seed: int, make: MakeBalancer = Balancer) -> None:
        self.scenario = scenario
        self.seed = seed
        self.context = Context(scenario, seed)
        fleet = Fleet(self.context)
        self.discovery = DiscoveryService(self.context)
        self.clients = Clients(self.context)
        self.instances: list[Instance] = []
        for spec in scenario.instances:
            for _ in range(spec.count):
                number = len(self.instances)
                self.instances.append(Instance(self.context, self.clients, self.discovery, number, make, spec))
        FaultInjector(self.context, fleet, self.discovery, self.clients, self.instances).schedule()

    def run(self) -> Result:
        """Runs the scenario until the last request has its answer."""
        context, scenario = self.context, self.scenario
        remembered = self.discovery.endpoints()
        for instance in self.instances:
            spread = instance.spec.starts
            offset = int(context.streams[f"start {instance.number}"].uniform() * spread) if spread else 0
            context.clock.call_at(START_TIME + offset, instance.start, remembered)
            context.clock.call_at(START_TIME + REQUESTS_DELAY + offset, self.clients.schedule_arrival, instance)
        if scenario.overdrive.share > 0:
            for second in range(scenario.seconds):
                end_of_second = START_TIME + REQUESTS_DELAY + (second + 1) * SECOND - 1
                context.clock.call_at(end_of_second, self._count_overdriven)
        longest_deadline = max(c.deadline for c in scenario.classes)
        context.clock.run(context.requests_end_at + longest_deadline + SECOND)
        context.oracle.finish(context.clock.now)
        return self._result()

    def _count_overdriven(self) -> None:
        nodes = self.context.nodes.values()
        overdriven = sum(n.overdrive is not None and n.overdrive.overdriven for n in nodes)
        self.clients.second_count(self.context.clock.now).overdriven = overdriven / len(nodes)

    def _result(self) -> Result:
        context, clients = self.context, self.clients
        asked = sum(clients.worth_asked.values())
        latencies = sorted(clients.latencies)
        last = len(latencies) - 1
        quantiles = [latencies[min(last, len(latencies) * q // 1000)] / MS for q in range(1000)] if latencies else []
        return Result(
            scenario=self.scenario.name,
            seed=self.seed,
            goodput=sum(clients.worth_got.values()) / asked if asked else 1.0,
            **clients.tally,
            attempts=context.attempts,
            executions=context.executions,
            by_class={
                name: clients.worth_got[name] / worth if worth else 1.0 for name, worth in clients.worth_asked.items()
            },
            by_node={name: node.done for name, node in context.nodes.items()},
            seconds=[second.span() for second in clients.seconds],
            latencies_ms=quantiles,
            breaches=dict(context.oracle.counts),
            shown=context.oracle.breaches,
            events=context.clock.events,
        )


def simulate(scenario: Scenario, seed: int, make: MakeBalancer = Balancer) -> Result:
    """Runs a scenario once; equal arguments give equal results."""
    return Emulation(scenario, seed, make).run()
