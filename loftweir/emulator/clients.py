"""The clients of all instances: arrivals, deadlines, retries, and the count of what comes of their requests."""

from __future__ import annotations

import math

from loftweir.emulator.context import BEGAN, LEAD, SECOND, Context
from loftweir.emulator.instance import Call, ClientRequest, Instance
from loftweir.emulator.result import SecondCount
from loftweir.emulator.scenario import Class
from loftweir.emulator.streams import Stream


class Clients:
    """Who asks: arrivals at each instance, deadlines, retries with back-off, and obedience to Retry-After."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.under_way: dict[str, ClientRequest] = {}  # by id of the try
        self.numbers = 0
        self.surge: dict[str, float] = {}  # by zone, "" for all: times the rate
        parts = [c.part for c in context.scenario.classes]
        self.bounds = [sum(parts[: n + 1]) / sum(parts) for n in range(len(parts))]
        self.seconds = [SecondCount() for _ in range(context.scenario.seconds + 1)]
        self.worth_asked: dict[str, float] = {c.name: 0.0 for c in context.scenario.classes}
        self.worth_got = dict(self.worth_asked)
        self.tally = dict.fromkeys(("asked", "served", "in_time", "refused", "failed", "unanswered"), 0)
        self.times: list[int] = []

    def arrivals(self, instance: Instance) -> None:
        """Sets the next arrival; a rate that varies is thinned from its highest."""
        stream = self.context.streams[f"arrivals {instance.number}"]
        spec = instance.spec
        if spec.rate <= 0:
            return
        top = instance.rate * (1 + spec.depth if spec.arrivals in ("bursty", "diurnal") else 1)
        top *= max(1.0, self.surge.get("", 1.0), self.surge.get(instance.zone, 1.0))
        gap = SECOND / top if spec.arrivals == "steady" else stream.exponential(SECOND / top)
        self.context.clock.after(int(gap), self._arrive, instance, top)

    def _arrive(self, instance: Instance, top: float) -> None:
        context, spec = self.context, instance.spec
        now = context.clock.now
        if now >= context.ends_at:
            return
        stream = context.streams[f"arrivals {instance.number}"]
        rate = instance.rate * max(self.surge.get("", 1.0), self.surge.get(instance.zone, 1.0))
        phase = (now - BEGAN) / spec.period
        if spec.arrivals == "diurnal":
            rate *= 1 + spec.depth * math.sin(2 * math.pi * phase)
        elif spec.arrivals == "bursty":
            rate *= 1 + spec.depth if phase % 1 < 0.5 else 1 - spec.depth
        if rate >= top or stream.uniform() < rate / top:
            self._new_request(instance)
        self.arrivals(instance)

    def _new_request(self, instance: Instance) -> None:
        context = self.context
        stream = context.streams[f"requests {instance.number}"]
        draw = stream.uniform()
        cls = context.scenario.classes[next(n for n, bound in enumerate(self.bounds) if draw < bound or bound >= 1)]
        self.numbers += 1
        key = f"k{self.numbers}" if cls.effect == "by_key" else ""
        request = ClientRequest(cls, context.clock.now, self.numbers, 0, key, self._work(stream, cls))
        self.worth_asked[cls.name] += cls.worth
        self.tally["asked"] += 1
        second = self.second(context.clock.now)
        second.asked += 1
        second.worth_asked += cls.worth
        self._try(instance, request)

    @staticmethod
    def _work(stream: Stream, cls: Class) -> int:
        if cls.law == "exponential":
            return max(1, int(stream.exponential(cls.work)))
        return max(1, int(stream.lognormal(cls.work, cls.cv if cls.law == "lognormal" else 0.0)))

    def _try(self, instance: Instance, request: ClientRequest) -> None:
        left = request.begun_at + request.cls.deadline - self.context.clock.now
        patience = min(left, int(request.cls.deadline * instance.spec.patience))
        if patience <= 0:
            self._lost(request, "unanswered")
            return
        request_id = f"r{request.number}.{request.tries}"
        self.under_way[request_id] = request
        instance.take(request, request_id, patience)

    def answered(self, instance: Instance, call: Call, how: str, after: int) -> None:
        context, request = self.context, call.request
        self.under_way.pop(call.id, None)
        if how != "served":
            self._again(instance, request, how, after)
            return
        took = context.clock.now - request.begun_at
        self.tally["served"] += 1
        self.times.append(took)
        second = self.second(request.begun_at)
        second.served += 1
        in_time = took <= request.cls.aim
        self.tally["in_time"] += in_time
        second.in_time += in_time
        got = request.cls.worth * (1.0 if in_time else request.cls.late_worth)
        self.worth_got[request.cls.name] += got
        second.worth += got

    def no_answer(self, instance: Instance, call: Call) -> None:
        """No answer came while it waited."""
        self.under_way.pop(call.id, None)
        self._again(instance, call.request, "unanswered", 0)

    def refused_connection(self, instance: Instance, request: ClientRequest) -> None:
        self._again(instance, request, "unanswered", 0)

    def _again(self, instance: Instance, request: ClientRequest, how: str, after: int) -> None:
        """A client's own retry: another request, with what is left of its time. One of class `once` may be tried
        again only where it was refused."""
        spec = instance.spec
        harmless = how == "refused" or request.cls.effect != "once"
        if request.tries >= spec.retries or not harmless:
            self._lost(request, how)
            return
        stream = self.context.streams[f"retries {instance.number}"]
        wait = spec.back_off * 2**request.tries * (0.5 + stream.uniform())
        if after and stream.uniform() < spec.obeys:
            wait = max(wait, after)
        again = request._replace(tries=request.tries + 1)
        if self.context.clock.now + wait >= request.begun_at + request.cls.deadline:
            self._lost(request, how)
        else:
            self.context.clock.after(int(wait), self._try, instance, again)

    def _lost(self, request: ClientRequest, how: str) -> None:
        self.tally[how] += 1
        second = self.second(request.begun_at)
        if self.context.clock.now >= request.begun_at + request.cls.deadline:
            second.timed_out += 1
        if how == "refused":
            second.refused += 1
        elif how == "failed":
            second.failed += 1

    def second(self, at: int) -> SecondCount:
        """The count of the second in which this moment lies."""
        return self.seconds[min(len(self.seconds) - 1, max(0, (at - BEGAN - LEAD) // SECOND))]
