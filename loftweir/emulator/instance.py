"""One balancer and its host: the host executes the balancer's actions in the simulation and reports the results."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from loftweir import interface as api
from loftweir.emulator.connections import ConnectionTable
from loftweir.emulator.context import SECOND, Context
from loftweir.emulator.node import Job, Node
from loftweir.emulator.scenario import Class, Instances, settings_of


class BalancerLike(Protocol):
    """The interface of a balancer."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Takes the events of one moment and returns the resulting actions, both in order."""


MakeBalancer = Callable[[api.Settings, int], BalancerLike]  # creates a balancer from its settings and seed


class ClientRequest(NamedTuple):
    """One sending of a client's request. Its retries share the number, the key and the deadline."""

    cls: Class
    started_at: int  # when the client sent it for the first time
    number: int
    retry: int  # 0 for the first sending
    key: str
    work: int  # ns on a core of speed 1


class ClientCallbacks(Protocol):
    """What an instance reports to the clients."""

    in_flight: dict[str, ClientRequest]  # by request id

    def on_answer(self, instance: Instance, invocation: Invocation, how: str, retry_after: int) -> None:
        """A request has its final answer."""

    def on_timeout(self, instance: Instance, invocation: Invocation) -> None:
        """The client has given up without an answer."""

    def on_connection_refused(self, instance: Instance, request: ClientRequest) -> None:
        """The instance is down."""


class Discovery(Protocol):
    """What an instance asks of discovery."""

    def watch(self, instance: Instance, on: bool) -> None:
        """Starts a watch, which delivers the list and then all changes, or ends it."""

    def fetch(self, instance: Instance) -> None:
        """Requests the list once."""


class Invocation:
    """A request that an instance has taken, as its host sees it."""

    __slots__ = ("id", "request", "sent_at", "deadline", "attempts_in_flight", "attempt_count", "open")

    def __init__(self, request_id: str, request: ClientRequest, now: int, time_left: int) -> None:
        self.id = request_id
        self.request = request
        self.sent_at = now
        self.deadline = now + time_left
        self.attempts_in_flight: dict[int, str] = {}  # node by number of the attempt
        self.attempt_count = 0
        self.open = True  # owes a final answer


class Instance:
    """One balancer with its host."""

    def __init__(
        self,
        context: Context,
        clients: ClientCallbacks,
        discovery: Discovery,
        number: int,
        make: MakeBalancer,
        spec: Instances,
    ) -> None:
        self.context = context
        self.clients = clients
        self.discovery = discovery
        self.number = number
        self.zone = spec.zone
        self.spec = spec
        self.settings = settings_of(context.scenario, spec.zone, number, context.total_instances)
        self.make = make
        self.invocations: dict[str, Invocation] = {}
        self.version = -1  # of the last list that it has received
        self.watching = False
        self.generation = 0  # changes with each start and end of its process
        self.connected_nodes: set[str] = set()  # where no connection has to be opened, if connections have no cost
        connections = context.scenario.connections
        self.connections = (
            ConnectionTable(context, spec.zone, connections.round_trips, self.settings.connect_timeout)
            if connections.costly == "yes"
            else None
        )
        self.rate = spec.rate  # requests per second
        if spec.rate_cv:
            self.rate = context.streams[f"rate {number}"].lognormal(spec.rate, spec.rate_cv)
        self.balancer: BalancerLike | None = None

    def start(self, remembered: tuple[api.Endpoint, ...]) -> None:
        """Starts the process with a remembered endpoint list."""
        self.generation += 1
        seed = self.context.streams[f"balancer {self.number}"].below(2**31) + self.generation
        self.balancer = self.make(self.settings, seed)
        self.deliver(api.MembershipUpdate(api.UpdateKind.REMEMBERED, remembered, 0))

    def crash(self) -> None:
        """Ends the process with all its state; attempts that it has sent continue at the nodes."""
        self.balancer = None
        if self.connections is not None:
            self.connections.close_all()
        self.generation += 1
        self.watching = False
        for invocation in list(self.invocations.values()):
            invocation.open = False
            self.context.oracle.request_abandoned(invocation.id)
        self.invocations.clear()

    def deliver(self, event: api.Event) -> None:
        """Passes an event to the balancer and executes the resulting actions."""
        if self.balancer is None:
            return
        for action in self.balancer.handle(self.context.clock.now, [event]):
            self.execute(action)

    def execute(self, action: api.Action) -> None:
        """Executes an action of the balancer."""
        clock = self.context.clock
        if isinstance(action, api.Timer):
            clock.call_later(action.delay, self._timer_fired, self.generation, action.tag, action.request_id)
        elif isinstance(action, api.Attempt):
            self._attempt(action)
        elif isinstance(action, api.Reject):
            self._answer(action.request_id, "refused", action.retry_after)
        elif isinstance(action, api.Fail):
            self._answer(action.request_id, "failed", 0)
        elif isinstance(action, api.Watch):
            self.discovery.watch(self, action.on)
        elif isinstance(action, api.FetchList):
            self.discovery.fetch(self)

    def _timer_fired(self, generation: int, tag: str, request_id: str) -> None:
        if generation == self.generation and (not request_id or request_id in self.invocations):
            self.deliver(api.TimerFired(tag))

    # ---- requests -------------------------------------------------------------------------------

    def accept(self, request: ClientRequest, request_id: str, time_left: int) -> None:
        """Takes a request of a client."""
        context = self.context
        if self.balancer is None:
            self.clients.on_connection_refused(self, request)
            return
        invocation = Invocation(request_id, request, context.clock.now, time_left)
        self.invocations[request_id] = invocation
        context.oracle.request_accepted(
            request_id, self.settings.classes[request.cls.name], context.clock.now, time_left, self.number
        )
        event = api.Request(
            request_id, request.cls.name, time_left, key=request.key or None, client_retry=request.retry > 0,
            write=request.cls.effect != "repeatable",
        )  # fmt: skip
        self.deliver(event)
        context.clock.call_at(
            invocation.deadline + self.settings.safety.answer_grace + 1,
            self._client_timed_out,
            self.generation,
            request_id,
        )

    def _client_timed_out(self, generation: int, request_id: str) -> None:
        """Cancels a request that has no answer after its time and the grace period. The oracle reports the missing
        answer."""
        invocation = self.invocations.get(request_id)
        if generation == self.generation and invocation is not None and invocation.open:
            invocation.open = False
            self.clients.on_timeout(self, invocation)
            self.deliver(api.RequestCancelled(request_id))
            self._remove_if_done(invocation)

    def _answer(self, request_id: str, how: str, retry_after: int) -> None:
        """Passes a final answer to the client."""
        context = self.context
        context.oracle.request_answered(request_id, how, context.clock.now)
        invocation = self.invocations.get(request_id)
        if invocation is not None and invocation.open:
            invocation.open = False
            self.clients.on_answer(self, invocation, how, retry_after)
            self._remove_if_done(invocation)

    def _remove_if_done(self, invocation: Invocation) -> None:
        if not invocation.open and not invocation.attempts_in_flight:
            self.invocations.pop(invocation.id, None)

    # ---- attempts -------------------------------------------------------------------------------

    def _attempt(self, action: api.Attempt) -> None:
        context, now = self.context, self.context.clock.now
        invocation = self.invocations.get(action.request_id)
        if invocation is None:
            # An attempt for a request that is already done is sent all the same, as it would be on a socket.
            invocation = Invocation(action.request_id, self.clients.in_flight[action.request_id], now, SECOND)
            invocation.open = False
        number = invocation.attempt_count
        invocation.attempt_count += 1
        invocation.attempts_in_flight[number] = action.provider
        context.attempts += 1
        context.oracle.attempt_sent(invocation.id, self.number, action.provider, now)
        until = min(action.give_up_at or invocation.deadline, invocation.deadline)
        node = context.nodes.get(action.provider)
        if node is None:
            delay = context.network_delay(self.zone, self.zone)
            failed = api.Outcome.CONNECT_FAILED
            context.clock.call_later(
                delay, self.attempt_ended, self.generation, invocation, number, action.provider, failed, now
            )
        else:
            OutgoingAttempt(self, invocation, number, node, until).start()

    def disconnected(self, node: Node) -> None:
        """Removes the connection to a node that has closed it."""
        self.connected_nodes.discard(node.name)
        if self.connections is not None:
            self.connections.discard(node)

    def attempt_ended(
        self, generation: int, invocation: Invocation, number: int, provider: str, outcome: api.Outcome, started_at: int
    ) -> None:
        """Reports the outcome of an attempt. Of an answer and a timeout the first counts; the other one finds the
        attempt removed."""
        if invocation.attempts_in_flight.pop(number, None) is None:
            return
        self.context.oracle.attempt_ended(invocation.id)
        if outcome is api.Outcome.TIMED_OUT:
            self.connected_nodes.discard(provider)
        if generation != self.generation:
            return
        if outcome is api.Outcome.OK and invocation.open:
            self._answer(invocation.id, "served", 0)
        elapsed = self.context.clock.now - started_at
        self.deliver(api.AttemptEnded(invocation.id, number, provider, outcome, elapsed, not invocation.open))
        self._remove_if_done(invocation)


class OutgoingAttempt:
    """One attempt on its way to a node and back."""

    __slots__ = ("instance", "context", "generation", "invocation", "number", "node", "until", "started_at", "job")

    def __init__(self, instance: Instance, invocation: Invocation, number: int, node: Node, until: int) -> None:
        self.instance = instance
        self.context = instance.context
        self.generation = instance.generation
        self.invocation = invocation
        self.number = number
        self.node = node
        self.until = until
        self.started_at = self.context.clock.now
        request = invocation.request
        self.job = Job(invocation.id, request.cls.name, request.key, request.work, self._reply, self._execution_started)

    def start(self) -> None:
        """Sends the attempt once there is a connection, and waits for its answer up to `until`."""
        instance, node, clock = self.instance, self.node, self.context.clock
        if instance.connections is not None:
            instance.connections.connect(node, self._send, self._connect_failed)
        elif node.name in instance.connected_nodes:
            self._send()
        elif node.up and (node.isolated or self._is_partitioned()):
            clock.call_at(min(self.until, clock.now + instance.settings.connect_timeout), self._connect_failed)
            return
        else:
            instance.connected_nodes.add(node.name)
            self._send(self.context.scenario.world.connect)
        clock.call_at(self.until, self._timed_out)

    def _is_in_flight(self) -> bool:
        return self.number in self.invocation.attempts_in_flight

    def _is_partitioned(self) -> bool:
        return self.context.is_partitioned(self.instance.zone, self.node.zone)

    def _delay(self) -> int:
        return self.context.network_delay(self.instance.zone, self.node.zone)

    def _send(self, connect_time: int = 0) -> None:
        if self._is_in_flight():
            self.context.clock.call_later(self._delay() + connect_time, self._arrive)

    def _arrive(self) -> None:
        """Passes the attempt to the node, unless the network drops it or it was cancelled on the way."""
        cancelled = self.context.scenario.world.overdue == "stops" and not self._is_in_flight()
        if self._is_partitioned() or cancelled:
            return
        failed_before = self.node.failed_cold
        self.node.accept(self.job)
        if self.node.failed_cold and not failed_before:
            self.context.oracle.cold_node_failed(self.node.name, self.context.clock.now)

    def _execution_started(self, name: str, at: int) -> None:
        self.context.executions += 1
        self.context.oracle.execution_started(self.invocation.id, name, self.node.zone, self.node.cell, at)

    def _reply(self, outcome: api.Outcome) -> None:
        """Carries the node's response back to the instance."""
        if outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET):
            self.instance.disconnected(self.node)
        if not self._is_partitioned():
            self.context.clock.call_later(self._delay(), self._ended, outcome)

    def _connect_failed(self) -> None:
        self._ended(api.Outcome.CONNECT_FAILED)

    def _timed_out(self) -> None:
        """Ends the attempt at its deadline, and its execution if the scenario says so."""
        if self._is_in_flight() and self.context.scenario.world.overdue == "stops":
            self.node.stop(self.job)
        self._ended(api.Outcome.TIMED_OUT)

    def _ended(self, outcome: api.Outcome) -> None:
        self.instance.attempt_ended(
            self.generation, self.invocation, self.number, self.node.name, outcome, self.started_at
        )
