"""The clients of all instances: when their requests arrive, their deadlines and retries, and the counts of results."""

from __future__ import annotations

import math

from loftweir.emulator.context import REQUESTS_DELAY, SECOND, START_TIME, Context
from loftweir.emulator.instance import ClientRequest, Instance, Invocation
from loftweir.emulator.result import SecondCount
from loftweir.emulator.scenario import Class
from loftweir.emulator.streams import Stream


class Clients:
    """Generates the requests at each instance, retries with backoff, and respects Retry-After."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.in_flight: dict[str, ClientRequest] = {}  # by request id
        self.request_count = 0
        self.surge: dict[str, float] = {}  # factor of the rate by zone, "" for all zones
        parts = [c.part for c in context.scenario.classes]
        self.class_bounds = [sum(parts[: n + 1]) / sum(parts) for n in range(len(parts))]  # cumulative shares
        self.seconds = [SecondCount() for _ in range(context.scenario.seconds + 1)]
        self.worth_asked: dict[str, float] = {c.name: 0.0 for c in context.scenario.classes}
        self.worth_got = dict(self.worth_asked)
        self.tally = dict.fromkeys(("asked", "served", "in_time", "refused", "failed", "unanswered"), 0)
        self.latencies: list[int] = []

    def schedule_arrival(self, instance: Instance) -> None:
        """Schedules the next arrival. A rate that varies is obtained by thinning arrivals at its highest value."""
        stream = self.context.streams[f"arrivals {instance.number}"]
        spec = instance.spec
        if spec.rate <= 0:
            return
        highest = instance.rate * (1 + spec.depth if spec.arrivals in ("bursty", "diurnal") else 1)
        highest *= max(1.0, self.surge.get("", 1.0), self.surge.get(instance.zone, 1.0))
        gap = SECOND / highest if spec.arrivals == "steady" else stream.exponential(SECOND / highest)
        self.context.clock.call_later(int(gap), self._arrive, instance, highest)

    def _arrive(self, instance: Instance, highest: float) -> None:
        context, spec = self.context, instance.spec
        now = context.clock.now
        if now >= context.requests_end_at:
            return
        stream = context.streams[f"arrivals {instance.number}"]
        rate = instance.rate * max(self.surge.get("", 1.0), self.surge.get(instance.zone, 1.0))
        phase = (now - START_TIME) / spec.period
        if spec.arrivals == "diurnal":
            rate *= 1 + spec.depth * math.sin(2 * math.pi * phase)
        elif spec.arrivals == "bursty":
            rate *= 1 + spec.depth if phase % 1 < 0.5 else 1 - spec.depth
        if rate >= highest or stream.uniform() < rate / highest:
            self._new_request(instance)
        self.schedule_arrival(instance)

    def _new_request(self, instance: Instance) -> None:
        context = self.context
        stream = context.streams[f"requests {instance.number}"]
        draw = stream.uniform()
        bounds = enumerate(self.class_bounds)
        cls = context.scenario.classes[next(n for n, bound in bounds if draw < bound or bound >= 1)]
        self.request_count += 1
        key = f"k{self.request_count}" if cls.effect == "by_key" else ""
        request = ClientRequest(cls, context.clock.now, self.request_count, 0, key, self._work(stream, cls))
        self.worth_asked[cls.name] += cls.worth
        self.tally["asked"] += 1
        second = self.second_count(context.clock.now)
        second.asked += 1
        second.worth_asked += cls.worth
        self._send(instance, request)

    @staticmethod
    def _work(stream: Stream, cls: Class) -> int:
        if cls.law == "exponential":
            return max(1, int(stream.exponential(cls.work)))
        return max(1, int(stream.lognormal(cls.work, cls.cv if cls.law == "lognormal" else 0.0)))

    def _send(self, instance: Instance, request: ClientRequest) -> None:
        left = request.started_at + request.cls.deadline - self.context.clock.now
        timeout = min(left, int(request.cls.deadline * instance.spec.patience))
        if timeout <= 0:
            self._count_unserved(request, "unanswered")
            return
        request_id = f"r{request.number}.{request.retry}"
        self.in_flight[request_id] = request
        instance.accept(request, request_id, timeout)

    def on_answer(self, instance: Instance, invocation: Invocation, how: str, retry_after: int) -> None:
        """Counts a served request, or retries one that was not served."""
        context, request = self.context, invocation.request
        self.in_flight.pop(invocation.id, None)
        if how != "served":
            self._retry(instance, request, how, retry_after)
            return
        latency = context.clock.now - request.started_at
        self.tally["served"] += 1
        self.latencies.append(latency)
        second = self.second_count(request.started_at)
        second.served += 1
        in_time = latency <= request.cls.aim
        self.tally["in_time"] += in_time
        second.in_time += in_time
        got = request.cls.worth * (1.0 if in_time else request.cls.late_worth)
        self.worth_got[request.cls.name] += got
        second.worth += got

    def on_timeout(self, instance: Instance, invocation: Invocation) -> None:
        """Retries a request that had no answer within the client's timeout."""
        self.in_flight.pop(invocation.id, None)
        self._retry(instance, invocation.request, "unanswered", 0)

    def on_connection_refused(self, instance: Instance, request: ClientRequest) -> None:
        """Retries a request that could not be sent."""
        self._retry(instance, request, "unanswered", 0)

    def _retry(self, instance: Instance, request: ClientRequest, how: str, retry_after: int) -> None:
        """Sends the request again within what is left of its deadline. One of class `once` is retried only if it was
        rejected."""
        spec = instance.spec
        harmless = how == "refused" or request.cls.effect != "once"
        if request.retry >= spec.retries or not harmless:
            self._count_unserved(request, how)
            return
        stream = self.context.streams[f"retries {instance.number}"]
        delay = spec.back_off * 2**request.retry * (0.5 + stream.uniform())
        if retry_after and stream.uniform() < spec.obeys:
            delay = max(delay, retry_after)
        retried = request._replace(retry=request.retry + 1)
        if self.context.clock.now + delay >= request.started_at + request.cls.deadline:
            self._count_unserved(request, how)
        else:
            self.context.clock.call_later(int(delay), self._send, instance, retried)

    def _count_unserved(self, request: ClientRequest, how: str) -> None:
        self.tally[how] += 1
        second = self.second_count(request.started_at)
        if self.context.clock.now >= request.started_at + request.cls.deadline:
            second.timed_out += 1
        if how == "refused":
            second.refused += 1
        elif how == "failed":
            second.failed += 1

    def second_count(self, at: int) -> SecondCount:
        """The counts of the second that contains a time."""
        return self.seconds[min(len(self.seconds) - 1, max(0, (at - START_TIME - REQUESTS_DELAY) // SECOND))]
