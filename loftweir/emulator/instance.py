"""One balancer and its host, which carries its actions out in the model and tells it what comes of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from loftweir import interface as api
from loftweir.emulator.connections import ConnectionTable
from loftweir.emulator.context import SECOND, Context
from loftweir.emulator.node import Job, Node
from loftweir.emulator.scenario import Class, Instances, settings_of


class Decides(Protocol):
    """The decisions of one balancer."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Takes the events of one moment and returns what to do, both in order."""


Make = Callable[[api.Settings, int], Decides]  # a balancer of these settings and seed


class ClientRequest(NamedTuple):
    """What a client wants: its tries share a key and a deadline."""

    cls: Class
    begun_at: int
    number: int
    tries: int
    key: str
    work: int


class ClientCallbacks(Protocol):
    """The clients, as an instance sees them."""

    under_way: dict[str, ClientRequest]  # by id of the try

    def answered(self, instance: Instance, call: Call, how: str, after: int) -> None:
        """A request has its final answer."""

    def no_answer(self, instance: Instance, call: Call) -> None:
        """The client has gone without one."""

    def refused_connection(self, instance: Instance, request: ClientRequest) -> None:
        """The instance is down."""


class Discovery(Protocol):
    """Discovery, as an instance sees it."""

    def watch(self, instance: Instance, on: bool) -> None:
        """Asks for the list and for all changes, or for none any more."""

    def fetch(self, instance: Instance) -> None:
        """Asks for the list once."""


class Call:
    """A request that an instance holds, as its host sees it."""

    __slots__ = ("id", "request", "sent_at", "deadline", "outs", "tries", "open")

    def __init__(self, request_id: str, request: ClientRequest, now: int, patience: int) -> None:
        self.id = request_id
        self.request = request
        self.sent_at = now
        self.deadline = now + patience
        self.outs: dict[int, str] = {}  # attempts that are out, and where
        self.tries = 0
        self.open = True


class Instance:
    """One balancer with its host: carries its actions out in the model, and tells it what comes of them."""

    def __init__(
        self, context: Context, clients: ClientCallbacks, lists: Discovery, number: int, make: Make, spec: Instances
    ) -> None:
        self.context = context
        self.clients = clients
        self.lists = lists
        self.number = number
        self.zone = spec.zone
        self.spec = spec
        self.settings = settings_of(context.scenario, spec.zone, number, context.instances_in_all)
        self.make = make
        self.calls: dict[str, Call] = {}
        self.version = -1
        self.watching = False
        self.life = 0
        self.warm: set[str] = set()  # nodes to which a connection has been
        costly = context.scenario.connections
        self.connections = (
            ConnectionTable(context, spec.zone, costly.round_trips, self.settings.connect_timeout)
            if costly.costly == "yes"
            else None
        )
        self.rate = spec.rate  # requests a second
        if spec.rate_cv:
            self.rate = context.streams[f"rate {number}"].lognormal(spec.rate, spec.rate_cv)
        self.balancer: Decides | None = None

    def start(self, remembered: tuple[api.Endpoint, ...]) -> None:
        self.life += 1
        seed = self.context.streams[f"balancer {self.number}"].below(2**31) + self.life
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
            self.context.oracle.gone(call.id)
        self.calls.clear()

    def tell(self, event: api.Event) -> None:
        if self.balancer is None:
            return
        for action in self.balancer.handle(self.context.clock.now, [event]):
            self.carry_out(action)

    def carry_out(self, action: api.Action) -> None:
        clock = self.context.clock
        if isinstance(action, api.Timer):
            clock.after(action.delay, self._due, self.life, action.tag, action.request_id)
        elif isinstance(action, api.Attempt):
            self._attempt(action)
        elif isinstance(action, api.Reject):
            self._final(action.request_id, "refused", action.retry_after)
        elif isinstance(action, api.Fail):
            self._final(action.request_id, "failed", 0)
        elif isinstance(action, api.Watch):
            self.lists.watch(self, action.on)
        elif isinstance(action, api.FetchList):
            self.lists.fetch(self)

    def _due(self, life: int, tag: str, request_id: str) -> None:
        if life == self.life and (not request_id or request_id in self.calls):
            self.tell(api.TimerFired(tag))

    # ---- requests -------------------------------------------------------------------------------

    def take(self, request: ClientRequest, request_id: str, patience: int) -> None:
        context = self.context
        if self.balancer is None:
            self.clients.refused_connection(self, request)
            return
        call = self.calls[request_id] = Call(request_id, request, context.clock.now, patience)
        context.oracle.taken(
            request_id, self.settings.classes[request.cls.name], context.clock.now, patience, self.number
        )
        event = api.Request(
            request_id, request.cls.name, patience, key=request.key or None, client_retry=request.tries > 0,
            write=request.cls.effect != "repeatable",
        )  # fmt: skip
        self.tell(event)
        context.clock.at(call.deadline + self.settings.safety.answer_grace + 1, self._gives_up, self.life, request_id)

    def _gives_up(self, life: int, request_id: str) -> None:
        """The client's time is over, and the grace: it goes. That it still waited is the oracle's to find."""
        call = self.calls.get(request_id)
        if life == self.life and call is not None and call.open:
            call.open = False
            self.clients.no_answer(self, call)
            self.tell(api.RequestCancelled(request_id))
            self._forget(call)

    def _final(self, request_id: str, how: str, after: int) -> None:
        context = self.context
        context.oracle.answered(request_id, how, context.clock.now)
        call = self.calls.get(request_id)
        if call is not None and call.open:
            call.open = False
            self.clients.answered(self, call, how, after)
            self._forget(call)

    def _forget(self, call: Call) -> None:
        if not call.open and not call.outs:
            self.calls.pop(call.id, None)

    # ---- attempts -------------------------------------------------------------------------------

    def _attempt(self, action: api.Attempt) -> None:
        context, now = self.context, self.context.clock.now
        call = self.calls.get(action.request_id)
        if call is None:
            # Of one that is over: it goes out all the same, as it would on a socket.
            call = Call(action.request_id, self.clients.under_way[action.request_id], now, SECOND)
            call.open = False
        number = call.tries
        call.tries += 1
        call.outs[number] = action.provider
        context.attempts += 1
        context.oracle.sent(call.id, self.number, action.provider, now)
        until = min(action.give_up_at or call.deadline, call.deadline)
        node = context.nodes.get(action.provider)
        if node is None:
            delay = context.delay(self.zone, self.zone)
            failed = api.Outcome.CONNECT_FAILED
            context.clock.after(delay, self.attempt_ended, self.life, call, number, action.provider, failed, now)
        else:
            OutgoingAttempt(self, call, number, node, until).begin()

    def disconnected(self, node: Node) -> None:
        """The node has ended its connection."""
        self.warm.discard(node.name)
        if self.connections is not None:
            self.connections.drop(node)

    def attempt_ended(self, life: int, call: Call, number: int, server: str, outcome: api.Outcome, began: int) -> None:
        """The first that comes of an answer and the end of the wait counts; the other finds it gone."""
        if call.outs.pop(number, None) is None:
            return
        self.context.oracle.ended(call.id)
        if outcome is api.Outcome.TIMED_OUT:
            self.warm.discard(server)
        if life != self.life:
            return
        if outcome is api.Outcome.OK and call.open:
            self._final(call.id, "served", 0)
        elapsed = self.context.clock.now - began
        self.tell(api.AttemptEnded(call.id, number, server, outcome, elapsed, not call.open))
        self._forget(call)


class OutgoingAttempt:
    """One attempt on its way to a node and back."""

    __slots__ = ("instance", "context", "life", "call", "number", "node", "until", "began", "job")

    def __init__(self, instance: Instance, call: Call, number: int, node: Node, until: int) -> None:
        self.instance = instance
        self.context = instance.context
        self.life = instance.life
        self.call = call
        self.number = number
        self.node = node
        self.until = until
        self.began = self.context.clock.now
        request = call.request
        self.job = Job(call.id, request.cls.name, request.key, request.work, self._reply, self._ran)

    def begin(self) -> None:
        """Send it once there is a connection, and wait for its answer up to `until`."""
        instance, node, clock = self.instance, self.node, self.context.clock
        if instance.connections is not None:
            instance.connections.reach(node, self._send, self._not_connected)
        elif node.name in instance.warm:
            self._send()
        elif node.up and (node.cut or self._cut()):
            clock.at(min(self.until, clock.now + instance.settings.connect_timeout), self._not_connected)
            return
        else:
            instance.warm.add(node.name)
            self._send(self.context.scenario.world.connect)
        clock.at(self.until, self._expires)

    def _out(self) -> bool:
        return self.number in self.call.outs

    def _cut(self) -> bool:
        return self.context.cut_between(self.instance.zone, self.node.zone)

    def _delay(self) -> int:
        return self.context.delay(self.instance.zone, self.node.zone)

    def _send(self, connecting: int = 0) -> None:
        if self._out():
            self.context.clock.after(self._delay() + connecting, self._arrives)

    def _arrives(self) -> None:
        """The node has it."""
        if self._cut() or (self.context.scenario.world.overdue == "stops" and not self._out()):
            return
        fell = self.node.fell
        self.node.take(self.job)
        if self.node.fell and not fell:
            self.context.oracle.fell(self.node.name, self.context.clock.now)

    def _ran(self, name: str, at: int) -> None:
        """The node has begun to work on it."""
        self.context.executions += 1
        self.context.oracle.ran(self.call.id, name, self.node.zone, self.node.cell, at)

    def _reply(self, outcome: api.Outcome) -> None:
        """The node has sent this back."""
        if outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET):
            self.instance.disconnected(self.node)
        if not self._cut():
            self.context.clock.after(self._delay(), self._ended, outcome)

    def _not_connected(self) -> None:
        self._ended(api.Outcome.CONNECT_FAILED)

    def _expires(self) -> None:
        """Nobody waits for it any more."""
        if self._out() and self.context.scenario.world.overdue == "stops":
            self.node.stop(self.job)
        self._ended(api.Outcome.TIMED_OUT)

    def _ended(self, outcome: api.Outcome) -> None:
        self.instance.attempt_ended(self.life, self.call, self.number, self.node.name, outcome, self.began)
