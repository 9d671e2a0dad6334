"""Plays a scenario in virtual time: nodes, lists, clients and troubles round the real balancers.

A balancer is made by `make(settings, seed)` and is anything with `handle(now, events) -> actions`, so that baselines
and balancers broken on purpose play the same days.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from loftweir import interface as api
from loftweir.balance import Balancer
from loftweir.emulator.clock import Clock
from loftweir.emulator.connections import ConnectionTable
from loftweir.emulator.node import Costs, Job, Node
from loftweir.emulator.oracle import Breach, Oracle
from loftweir.emulator.scenario import Class, Instances, Scenario, Trouble, settings_of
from loftweir.emulator.streams import Stream, Streams

MS, SECOND = 1_000_000, 1_000_000_000
BEGAN = 1_700_000_000 * SECOND  # the run's first moment: Unix time, since nodes tell theirs
LEAD = SECOND  # from the instances' start to the first request


class Decides(Protocol):
    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]: ...


Make = Callable[[api.Settings, int], Decides]


class Ask(NamedTuple):
    """What a client wants: its tries share a key and a deadline."""

    cls: Class
    begun_at: int
    number: int
    tries: int
    key: str
    work: int


class Span(NamedTuple):
    """One second of the run."""

    asked: int
    served: int
    refused: int
    failed: int
    worth: float
    in_time: int
    timed_out: int  # of those not served: lost at their deadline, whatever they were answered then
    worth_asked: float
    overdriven: float  # the part of the nodes that is overdriven at its end

    def goodput(self) -> float:
        """The worth answered over the worth asked for, 1 where nothing was asked for."""
        return self.worth / self.worth_asked if self.worth_asked else 1.0


class Result(NamedTuple):
    """What came of a run. Plain values: equal runs give equal results, in any process."""

    scenario: str
    seed: int
    goodput: float  # worth answered in time over worth asked for
    asked: int
    served: int
    in_time: int
    refused: int
    failed: int
    unanswered: int
    attempts: int
    executions: int
    by_class: dict[str, float]
    by_node: dict[str, int]
    seconds: list[Span]
    latencies_ms: list[float]  # of those served, from the client's first try, by the 1,000 quantiles
    breaches: dict[str, int]
    shown: list[Breach]
    events: int

    def sound(self) -> bool:
        return not any(self.breaches.values())


class Call:
    """A request that an instance holds, as its host sees it."""

    __slots__ = ("id", "ask", "sent_at", "deadline", "outs", "tries", "open")

    def __init__(self, request_id: str, ask: Ask, now: int, patience: int) -> None:
        self.id = request_id
        self.ask = ask
        self.sent_at = now
        self.deadline = now + patience
        self.outs: dict[int, str] = {}  # attempts that are out, and where
        self.tries = 0
        self.open = True


class Instance:
    """One balancer with its host: carries its actions out in the model, and tells it what comes of them."""

    def __init__(self, world: Emulation, number: int, zone: str, make: Make, spec: Instances) -> None:
        self.world = world
        self.number = number
        self.zone = zone
        self.spec = spec
        self.settings = settings_of(world.scenario, zone, number, world.instances_in_all)
        self.make = make
        self.calls: dict[str, Call] = {}
        self.version = -1
        self.watching = False
        self.life = 0
        self.warm: set[str] = set()  # nodes to which a connection has been
        costly = world.scenario.connections
        self.connections = (
            ConnectionTable(world, zone, costly.round_trips, self.settings.connect_timeout)
            if costly.costly == "yes"
            else None
        )
        self.rate = spec.rate  # requests a second
        if spec.rate_cv:
            self.rate = world.streams[f"rate {number}"].lognormal(spec.rate, spec.rate_cv)
        self.balancer: Decides | None = None

    def start(self, remembered: tuple[api.Endpoint, ...]) -> None:
        self.life += 1
        seed = self.world.streams[f"balancer {self.number}"].below(2**31) + self.life
        self.balancer = self.make(self.settings, seed)
        self.tell(api.MembershipUpdate(api.UpdateKind.REMEMBERED, remembered, 0))

    def die(self) -> None:
        """The process ends with all it had; what it had sent runs on."""
        self.balancer = None
        if self.connections is not None:
            self.connections.close_all()
        self.life += 1
        self.watching = False
        for call in list(self.calls.values()):
            call.open = False
            self.world.oracle.gone(call.id)
        self.calls.clear()

    def tell(self, event: api.Event) -> None:
        if self.balancer is None:
            return
        for action in self.balancer.handle(self.world.clock.now, [event]):
            self.carry_out(action)

    def carry_out(self, action: api.Action) -> None:
        clock = self.world.clock
        if isinstance(action, api.Timer):
            clock.after(action.delay, self._due, self.life, action.tag, action.request_id)
        elif isinstance(action, api.Attempt):
            self._attempt(action)
        elif isinstance(action, api.Refuse):
            self._final(action.request_id, "refused", action.retry_after)
        elif isinstance(action, api.Fail):
            self._final(action.request_id, "failed", 0)
        elif isinstance(action, api.Watch):
            self.world.lists.watch(self, action.on)
        elif isinstance(action, api.FetchList):
            self.world.lists.fetch(self)

    def _due(self, life: int, tag: str, request_id: str) -> None:
        if life == self.life and (not request_id or request_id in self.calls):
            self.tell(api.TimerFired(tag))

    # ---- requests -------------------------------------------------------------------------------

    def request(self, ask: Ask, request_id: str, patience: int) -> None:
        world = self.world
        if self.balancer is None:
            world.clients.refused_connection(self, ask)
            return
        call = self.calls[request_id] = Call(request_id, ask, world.clock.now, patience)
        world.oracle.taken(request_id, self.settings.classes[ask.cls.name], world.clock.now, patience, self.number)
        event = api.Request(
            request_id, ask.cls.name, patience, key=ask.key or None, client_retry=ask.tries > 0,
            write=ask.cls.effect != "repeatable",
        )  # fmt: skip
        self.tell(event)
        world.clock.at(call.deadline + self.settings.safety.answer_grace + 1, self._gives_up, self.life, request_id)

    def _gives_up(self, life: int, request_id: str) -> None:
        """The client's time is over, and the grace: it goes. That it still waited is the oracle's to find."""
        call = self.calls.get(request_id)
        if life == self.life and call is not None and call.open:
            call.open = False
            self.world.clients.no_answer(self, call)
            self.tell(api.ClientGone(request_id))
            self._forget(call)

    def _final(self, request_id: str, how: str, after: int) -> None:
        world = self.world
        world.oracle.answered(request_id, how, world.clock.now)
        call = self.calls.get(request_id)
        if call is not None and call.open:
            call.open = False
            world.clients.answered(self, call, how, after)
            self._forget(call)

    def _forget(self, call: Call) -> None:
        if not call.open and not call.outs:
            self.calls.pop(call.id, None)

    # ---- attempts -------------------------------------------------------------------------------

    def _attempt(self, action: api.Attempt) -> None:
        world, clock = self.world, self.world.clock
        call = self.calls.get(action.request_id)
        if call is None:
            # Of one that is over: it goes out all the same, as it would on a socket.
            call = Call(action.request_id, world.clients.asked[action.request_id], clock.now, SECOND)
            call.open = False
        number = call.tries
        call.tries += 1
        call.outs[number] = action.server
        world.attempts += 1
        world.oracle.sent(call.id, self.number, action.server, clock.now)
        node = world.nodes.get(action.server)
        began = clock.now
        until = min(action.give_up_at or call.deadline, call.deadline)
        delay = world.delay(self.zone, node.zone if node is not None else self.zone)
        life = self.life
        if node is None:
            clock.after(delay, self._ended, life, call, number, action.server, api.Outcome.CONNECT_FAILED, began)
            return

        def reply(outcome: api.Outcome) -> None:
            if outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET):
                self._disconnected(node)
            if not world.cut_between(self.zone, node.zone):
                back = world.delay(self.zone, node.zone)
                clock.after(back, self._ended, life, call, number, node.name, outcome, began)

        def ran(name: str, at: int) -> None:
            world.executions += 1
            world.oracle.ran(call.id, name, node.zone, node.cell, at)

        def send() -> None:
            if number in call.outs:
                clock.after(delay, self._arrives, node, job, call, number)

        def not_connected() -> None:
            self._ended(life, call, number, node.name, api.Outcome.CONNECT_FAILED, began)

        job = Job(call.id, call.ask.cls.name, call.ask.key, call.ask.work, reply, ran)
        if self.connections is not None:
            self.connections.reach(node, send, not_connected)
        elif node.name in self.warm:
            send()
        else:
            delay += world.scenario.world.connect
            if node.up and (node.cut or world.cut_between(self.zone, node.zone)):
                clock.at(min(until, clock.now + self.settings.connect_timeout), not_connected)
                return
            self.warm.add(node.name)
            send()
        clock.at(until, self._expires, life, call, number, node, job, began)

    def _expires(self, life: int, call: Call, number: int, node: Node, job: Job, began: int) -> None:
        """Nobody waits for this attempt any more."""
        if number in call.outs and self.world.scenario.world.overdue == "stops":
            node.stop(job)
        self._ended(life, call, number, node.name, api.Outcome.TIMED_OUT, began)

    def _disconnected(self, node: Node) -> None:
        self.warm.discard(node.name)
        if self.connections is not None:
            self.connections.drop(node)

    def _arrives(self, node: Node, job: Job, call: Call, number: int) -> None:
        if self.world.scenario.world.overdue == "stops" and number not in call.outs:
            return
        if not self.world.cut_between(self.zone, node.zone):
            fell = node.fell
            node.take(job)
            if node.fell and not fell:
                self.world.oracle.fell(node.name, self.world.clock.now)

    def _ended(self, life: int, call: Call, number: int, server: str, outcome: api.Outcome, began: int) -> None:
        """The first that comes of an answer and the end of the wait counts; the other finds it gone."""
        if call.outs.pop(number, None) is None:
            return
        self.world.oracle.ended(call.id)
        if outcome is api.Outcome.TIMED_OUT:
            self.warm.discard(server)
        if life != self.life:
            return
        if outcome is api.Outcome.OK and call.open:
            self._final(call.id, "served", 0)
        elapsed = self.world.clock.now - began
        self.tell(api.AttemptEnded(call.id, number, server, outcome, elapsed, not call.open))
        self._forget(call)


class Lists:
    """Discovery: the list as it is told, late; calls worked through in turn at a rate that it can take."""

    def __init__(self, world: Emulation) -> None:
        self.world = world
        self.version = 0
        self.told: dict[str, tuple[int, api.Endpoint]] = {}  # by name: since which version, and how it stands
        self.watchers: dict[int, Instance] = {}
        self.down = False
        self.lag = world.scenario.world.lag
        self.free_at = 0  # when it is through with the calls before
        self.calls = 0

    def changed(self, node: Node, lifecycle: api.Lifecycle) -> None:
        """Something has become of a node: the list says so after its lag."""
        endpoint = api.Endpoint(node.name, node.zone, "node", node.cell, lifecycle, node.weight, node.started_at)
        self.world.clock.after(self.lag, self._tell, endpoint)

    def _tell(self, endpoint: api.Endpoint) -> None:
        self.version += 1
        self.told[endpoint.address] = self.version, endpoint
        if not self.down:
            for instance in list(self.watchers.values()):
                self.world.clock.after(self.world.scenario.world.near, self._news, instance)

    def whole(self) -> tuple[api.Endpoint, ...]:
        return tuple(e for _, e in self.told.values() if e.lifecycle is not api.Lifecycle.GONE)

    def watch(self, instance: Instance, on: bool) -> None:
        self.watchers.pop(instance.number, None)
        if on:
            self._call(instance, True)

    def fetch(self, instance: Instance) -> None:
        self._call(instance, False)

    def _call(self, instance: Instance, stays: bool) -> None:
        clock, w = self.world.clock, self.world.scenario.world
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
        oracle, now = self.world.oracle, self.world.clock.now
        listed = {e.address: e for e in entries}
        if kind is api.UpdateKind.FULL:
            for name in self.world.nodes:
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
                self.world.clock.after(self.world.scenario.world.near, self._failed, instance, instance.life)


class Clients:
    """Who asks: arrivals at each instance, deadlines, retries with back-off, and obedience to Retry-After."""

    def __init__(self, world: Emulation) -> None:
        self.world = world
        self.asked: dict[str, Ask] = {}
        self.numbers = 0
        self.surge: dict[str, float] = {}  # by zone, "" for all: times the rate
        parts = [c.part for c in world.scenario.classes]
        self.bounds = [sum(parts[: n + 1]) / sum(parts) for n in range(len(parts))]
        self.spans: list[list[float]] = [[0, 0, 0, 0, 0.0, 0, 0, 0.0, 0.0] for _ in range(world.scenario.seconds + 1)]
        self.worth_asked: dict[str, float] = {c.name: 0.0 for c in world.scenario.classes}
        self.worth_got = dict(self.worth_asked)
        self.tally = dict.fromkeys(("asked", "served", "in_time", "refused", "failed", "unanswered"), 0)
        self.times: list[int] = []

    def arrivals(self, instance: Instance) -> None:
        """Sets the next arrival; a rate that varies is thinned from its highest."""
        stream = self.world.streams[f"arrivals {instance.number}"]
        spec = instance.spec
        if spec.rate <= 0:
            return
        top = instance.rate * (1 + spec.depth if spec.arrivals in ("bursty", "diurnal") else 1)
        top *= max(1.0, self.surge.get("", 1.0), self.surge.get(instance.zone, 1.0))
        gap = SECOND / top if spec.arrivals == "steady" else stream.exponential(SECOND / top)
        self.world.clock.after(int(gap), self._arrive, instance, top)

    def _arrive(self, instance: Instance, top: float) -> None:
        world, spec = self.world, instance.spec
        now = world.clock.now
        if now >= world.ends_at:
            return
        stream = world.streams[f"arrivals {instance.number}"]
        rate = instance.rate * max(self.surge.get("", 1.0), self.surge.get(instance.zone, 1.0))
        phase = (now - BEGAN) / spec.period
        if spec.arrivals == "diurnal":
            rate *= 1 + spec.depth * math.sin(2 * math.pi * phase)
        elif spec.arrivals == "bursty":
            rate *= 1 + spec.depth if phase % 1 < 0.5 else 1 - spec.depth
        if rate >= top or stream.uniform() < rate / top:
            self._ask(instance)
        self.arrivals(instance)

    def _ask(self, instance: Instance) -> None:
        world = self.world
        stream = world.streams[f"requests {instance.number}"]
        draw = stream.uniform()
        cls = world.scenario.classes[next(n for n, bound in enumerate(self.bounds) if draw < bound or bound >= 1)]
        self.numbers += 1
        key = f"k{self.numbers}" if cls.effect == "by_key" else ""
        ask = Ask(cls, world.clock.now, self.numbers, 0, key, self._work(stream, cls))
        self.worth_asked[cls.name] += cls.worth
        self.tally["asked"] += 1
        span = self.span(world.clock.now)
        span[0] += 1
        span[7] += cls.worth
        self._try(instance, ask)

    @staticmethod
    def _work(stream: Stream, cls: Class) -> int:
        if cls.law == "exponential":
            return max(1, int(stream.exponential(cls.work)))
        return max(1, int(stream.lognormal(cls.work, cls.cv if cls.law == "lognormal" else 0.0)))

    def _try(self, instance: Instance, ask: Ask) -> None:
        left = ask.begun_at + ask.cls.deadline - self.world.clock.now
        patience = min(left, int(ask.cls.deadline * instance.spec.patience))
        if patience <= 0:
            self._lost(ask, "unanswered")
            return
        request_id = f"r{ask.number}.{ask.tries}"
        self.asked[request_id] = ask
        instance.request(ask, request_id, patience)

    def answered(self, instance: Instance, call: Call, how: str, after: int) -> None:
        world, ask = self.world, call.ask
        self.asked.pop(call.id, None)
        if how != "served":
            self._again(instance, ask, how, after)
            return
        took = world.clock.now - ask.begun_at
        self.tally["served"] += 1
        self.times.append(took)
        span = self.span(ask.begun_at)
        span[1] += 1
        in_time = took <= ask.cls.aim
        self.tally["in_time"] += in_time
        span[5] += in_time
        got = ask.cls.worth * (1.0 if in_time else ask.cls.late_worth)
        self.worth_got[ask.cls.name] += got
        span[4] += got

    def no_answer(self, instance: Instance, call: Call) -> None:
        """No answer came while it waited."""
        self.asked.pop(call.id, None)
        self._again(instance, call.ask, "unanswered", 0)

    def refused_connection(self, instance: Instance, ask: Ask) -> None:
        self._again(instance, ask, "unanswered", 0)

    def _again(self, instance: Instance, ask: Ask, how: str, after: int) -> None:
        """A client's own retry: another request, with what is left of its time. One of class `once` may be tried
        again only where it was refused."""
        spec = instance.spec
        harmless = how == "refused" or ask.cls.effect != "once"
        if ask.tries >= spec.retries or not harmless:
            self._lost(ask, how)
            return
        stream = self.world.streams[f"retries {instance.number}"]
        wait = spec.back_off * 2**ask.tries * (0.5 + stream.uniform())
        if after and stream.uniform() < spec.obeys:
            wait = max(wait, after)
        again = ask._replace(tries=ask.tries + 1)
        if self.world.clock.now + wait >= ask.begun_at + ask.cls.deadline:
            self._lost(ask, how)
        else:
            self.world.clock.after(int(wait), self._try, instance, again)

    def _lost(self, ask: Ask, how: str) -> None:
        self.tally[how] += 1
        if self.world.clock.now >= ask.begun_at + ask.cls.deadline:
            self.span(ask.begun_at)[6] += 1
        if how in ("refused", "failed"):
            self.span(ask.begun_at)[2 if how == "refused" else 3] += 1

    def span(self, at: int) -> list[Any]:
        return self.spans[min(len(self.spans) - 1, max(0, (at - BEGAN - LEAD) // SECOND))]


class Emulation:
    """One run of a scenario. Owns the clock, the streams and all parts."""

    def __init__(self, scenario: Scenario, seed: int, make: Make = Balancer) -> None:
        self.scenario = scenario
        self.seed = seed
        self.clock = Clock(BEGAN)
        self.streams = Streams(seed)
        self.ends_at = BEGAN + LEAD + scenario.seconds * SECOND
        self.instances_in_all = sum(i.count for i in scenario.instances)
        self.oracle = Oracle(settings_of(scenario, scenario.instances[0].zone, 0, self.instances_in_all).safety)
        self.attempts = self.executions = 0
        self.severed: set[str] = set()  # zones that others can't reach
        self.nodes: dict[str, Node] = {}
        self.lists = Lists(self)
        self.clients = Clients(self)
        self.instances: list[Instance] = []
        self._nodes()
        for spec in scenario.instances:
            for _ in range(spec.count):
                self.instances.append(Instance(self, len(self.instances), spec.zone, make, spec))
        for number, trouble in enumerate(scenario.troubles):
            self.clock.at(BEGAN + LEAD + trouble.at, self._befall, number, trouble)

    def delay(self, one: str, other: str) -> int:
        w = self.scenario.world
        return w.near if one == other else w.far

    def cut_between(self, one: str, other: str) -> bool:
        return bool(self.severed) and one != other and (one in self.severed or other in self.severed)

    # ---- the fleet ------------------------------------------------------------------------------

    def _nodes(self) -> None:
        for row, spec in enumerate(self.scenario.nodes):
            stream = self.streams[f"nodes {row}"]
            for number in range(spec.count):
                speed = spec.speed_from + (spec.speed_to - spec.speed_from) * stream.uniform()
                name = f"{spec.zone}-{row}-{number}"
                cell = spec.first_cell + number % spec.cells
                node = self._node(name, spec.zone, cell, spec.cores, speed, spec.queue, spec.slots)
                node.weight = spec.weight or node.weight
                node.started_at = BEGAN if spec.cold == "yes" else 0
                self.lists.version += 1
                self.lists.told[name] = self.lists.version, self._endpoint(node)

    def _node(self, name: str, zone: str, cell: int, cores: int, speed: float, queue: int, slots: int) -> Node:
        rules = self.scenario.overdrive
        prone = rules.share > 0 and self.streams[f"overdrive {name}"].uniform() < rules.share
        costs = Costs(self.scenario.connections, rules if prone else None)
        node = Node(name, zone, cell, cores, speed, queue, self.clock, self.scenario.world, slots, costs)
        node.draw = self.streams[f"errors {name}"].uniform
        self.nodes[name] = node
        return node

    @staticmethod
    def _endpoint(node: Node) -> api.Endpoint:
        ready = api.Lifecycle.READY
        return api.Endpoint(node.name, node.zone, "node", node.cell, ready, node.weight, node.started_at)

    def chosen(self, trouble: Trouble, number: int) -> list[Node]:
        """The nodes that a trouble is for: a part of those in its zone, at least one, by a stream of its own."""
        there = [n for n in self.nodes.values() if n.up and trouble.zone in ("", n.zone)]
        if trouble.part >= 1 or not there:
            return there
        stream = self.streams[f"trouble {number}"]
        wanted = max(1, round(len(there) * trouble.part))
        found = []
        for _ in range(wanted):
            found.append(there.pop(stream.below(len(there))))
        return found

    # ---- troubles -------------------------------------------------------------------------------

    def _befall(self, number: int, t: Trouble) -> None:
        nodes = self.chosen(t, number)
        getattr(self, f"_{t.kind}")(t, nodes)

    def _later(self, t: Trouble, undo: Callable[..., Any], *arguments: Any) -> None:
        self.clock.after(t.lasts, undo, *arguments)

    def _hang(self, t: Trouble, nodes: list[Node]) -> None:
        for node in nodes:
            node.hang(True)
            self._later(t, node.hang, False)

    def _crash(self, t: Trouble, nodes: list[Node]) -> None:
        for node in nodes:
            node.crash()
            self.lists.changed(node, api.Lifecycle.GONE)
            self._later(t, self._back, node, True)

    def _back(self, node: Node, cold: bool) -> None:
        node.start(cold)
        if node.up:
            self.lists.changed(node, api.Lifecycle.READY)

    def _cut(self, t: Trouble, nodes: list[Node]) -> None:
        for node in nodes:
            node.cut = True
            self._later(t, setattr, node, "cut", False)

    def _slow(self, t: Trouble, nodes: list[Node]) -> None:
        for node in nodes:
            node.pace = max(0.001, t.factor)
            self._later(t, setattr, node, "pace", 1.0)

    def _errors(self, t: Trouble, nodes: list[Node]) -> None:
        for node in nodes:
            node.error_part[t.class_name] = t.factor
            self._later(t, node.error_part.pop, t.class_name, None)

    _class_fails = _errors

    def _drain(self, t: Trouble, nodes: list[Node]) -> None:
        """They are to leave: told, drained for `lasts`, then gone."""
        for node in nodes:
            self.lists.changed(node, api.Lifecycle.DRAINING)
            self._later(t, self._leaves, node)

    def _leaves(self, node: Node) -> None:
        node.crash()
        self.lists.changed(node, api.Lifecycle.GONE)

    def _replace(self, t: Trouble, nodes: list[Node]) -> None:
        """One after another, each drained while a new one of its make comes up cold."""
        for place, node in enumerate(nodes):
            self.clock.after(place * t.lasts // max(1, len(nodes)), self._replaced, node)

    def _replaced(self, node: Node) -> None:
        new = self._node(f"{node.name}'", node.zone, node.cell, node.cores, node.speed, node.room, node.slots)
        new.weight = node.weight
        new.start(True)
        self.lists.changed(new, api.Lifecycle.READY)
        self.lists.changed(node, api.Lifecycle.DRAINING)
        self.clock.after(self.lists.lag + 5 * SECOND, self._leaves, node)

    def _zone_loss(self, t: Trouble, nodes: list[Node]) -> None:
        """The machines of a zone vanish, with or without its balancers, and come back cold."""
        for node in nodes:
            node.cut = True
            self.lists.changed(node, api.Lifecycle.GONE)
            self._later(t, self._returns, node)
        if t.balancers == "go":
            for instance in self.instances:
                if instance.zone == t.zone:
                    instance.die()
                    self.lists.watchers.pop(instance.number, None)
                    self._later(t, instance.start, self.lists.whole())

    def _returns(self, node: Node) -> None:
        node.crash()
        self._back(node, True)

    _cold_return = _crash

    def _stale(self, t: Trouble, nodes: list[Node]) -> None:
        """The list runs further behind."""
        self.lists.lag += int(t.factor * SECOND)
        self._later(t, self._fresh, int(t.factor * SECOND))

    def _fresh(self, by: int) -> None:
        self.lists.lag -= by

    def _no_discovery(self, t: Trouble, nodes: list[Node]) -> None:
        self.lists.go_down(True)
        self._later(t, self.lists.go_down, False)

    def _surge(self, t: Trouble, nodes: list[Node]) -> None:
        self.clients.surge[t.zone] = t.factor
        self._later(t, self.clients.surge.pop, t.zone, None)

    def _partition(self, t: Trouble, nodes: list[Node]) -> None:
        self.severed.add(t.zone)
        self._later(t, self.severed.discard, t.zone)

    # ---- the run --------------------------------------------------------------------------------

    def play(self) -> Result:
        remembered = self.lists.whole()
        for instance in self.instances:
            spread = instance.spec.starts
            at = self.streams[f"start {instance.number}"].uniform() * spread if spread else 0
            self.clock.at(BEGAN + int(at), instance.start, remembered)
            self.clock.at(BEGAN + LEAD + int(at), self.clients.arrivals, instance)
        if self.scenario.overdrive.share > 0:
            for second in range(self.scenario.seconds):
                self.clock.at(BEGAN + LEAD + (second + 1) * SECOND - 1, self._count_overdriven)
        longest = max(c.deadline for c in self.scenario.classes)
        self.clock.run(self.ends_at + longest + SECOND)
        self.oracle.end(self.clock.now)
        return self.result()

    def _count_overdriven(self) -> None:
        overdriven = sum(n.overdrive is not None and n.overdrive.overdriven for n in self.nodes.values())
        self.clients.span(self.clock.now)[8] = overdriven / len(self.nodes)

    def result(self) -> Result:
        clients, tally = self.clients, self.clients.tally
        asked = sum(clients.worth_asked.values())
        times = sorted(clients.times)
        quantiles = [times[min(len(times) - 1, len(times) * q // 1000)] / MS for q in range(1000)] if times else []
        return Result(
            scenario=self.scenario.name,
            seed=self.seed,
            goodput=sum(clients.worth_got.values()) / asked if asked else 1.0,
            **tally,
            attempts=self.attempts,
            executions=self.executions,
            by_class={
                name: clients.worth_got[name] / worth if worth else 1.0 for name, worth in clients.worth_asked.items()
            },
            by_node={name: node.done for name, node in self.nodes.items()},
            seconds=[
                Span(int(s[0]), int(s[1]), int(s[2]), int(s[3]), s[4], int(s[5]), int(s[6]), s[7], s[8])
                for s in clients.spans
            ],
            latencies_ms=quantiles,
            breaches=dict(self.oracle.counts),
            shown=self.oracle.breaches,
            events=self.clock.events,
        )


def play(scenario: Scenario, seed: int, make: Make = Balancer) -> Result:
    """Plays a scenario once; equal arguments give equal results."""
    return Emulation(scenario, seed, make).play()
