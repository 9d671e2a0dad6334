"""Plays a scenario in virtual time: nodes, lists, clients and troubles round the real balancers.

A balancer is made by `make(settings, seed)` and is anything with `handle(now, events) -> actions`, so that baselines
and balancers broken on purpose play the same days.
"""

from __future__ import annotations

from loftweir.balance import Balancer
from loftweir.emulator.clients import Clients
from loftweir.emulator.context import BEGAN, LEAD, MS, SECOND, Context
from loftweir.emulator.faults import FaultInjector
from loftweir.emulator.fleet import Fleet
from loftweir.emulator.instance import Instance, Make
from loftweir.emulator.lists import Lists
from loftweir.emulator.result import Result
from loftweir.emulator.scenario import Scenario


class Emulation:
    """One run of a scenario. Owns all its parts."""

    def __init__(self, scenario: Scenario, seed: int, make: Make = Balancer) -> None:
        self.scenario = scenario
        self.seed = seed
        self.context = Context(scenario, seed)
        fleet = Fleet(self.context)
        self.lists = Lists(self.context)
        self.clients = Clients(self.context)
        self.instances: list[Instance] = []
        for spec in scenario.instances:
            for _ in range(spec.count):
                number = len(self.instances)
                self.instances.append(Instance(self.context, self.clients, self.lists, number, make, spec))
        FaultInjector(self.context, fleet, self.lists, self.clients, self.instances).schedule()

    def run(self) -> Result:
        """Plays the run to its end, which is when the last request has its answer."""
        context, scenario = self.context, self.scenario
        remembered = self.lists.whole()
        for instance in self.instances:
            spread = instance.spec.starts
            at = int(context.streams[f"start {instance.number}"].uniform() * spread) if spread else 0
            context.clock.at(BEGAN + at, instance.start, remembered)
            context.clock.at(BEGAN + LEAD + at, self.clients.arrivals, instance)
        if scenario.overdrive.share > 0:
            for second in range(scenario.seconds):
                context.clock.at(BEGAN + LEAD + (second + 1) * SECOND - 1, self._count_overdriven)
        longest = max(c.deadline for c in scenario.classes)
        context.clock.run(context.ends_at + longest + SECOND)
        context.oracle.end(context.clock.now)
        return self._result()

    def _count_overdriven(self) -> None:
        nodes = self.context.nodes.values()
        overdriven = sum(n.overdrive is not None and n.overdrive.overdriven for n in nodes)
        self.clients.second(self.context.clock.now).overdriven = overdriven / len(nodes)

    def _result(self) -> Result:
        context, clients = self.context, self.clients
        asked = sum(clients.worth_asked.values())
        times = sorted(clients.times)
        quantiles = [times[min(len(times) - 1, len(times) * q // 1000)] / MS for q in range(1000)] if times else []
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


def simulate(scenario: Scenario, seed: int, make: Make = Balancer) -> Result:
    """Plays a scenario once; equal arguments give equal results."""
    return Emulation(scenario, seed, make).run()
