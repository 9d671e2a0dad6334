"""A sidecar's calls to discovery in virtual time: they end as a test specifies, or queue at a simulated discovery."""

import heapq
import random
from dataclasses import replace
from functools import partial

from support import MS, SECOND, make_balancer, of_type, settings

from loftweir.config.model import Options
from loftweir.http1.discovery import Discovery
from loftweir.http1.list_call import CallFailed, ListResponse, Refused, Silent
from loftweir.interface import MembershipUpdate, Timer, TimerFired, UpdateKind, Watch
from loftweir.net.loop import Wait


class Task:
    """A task as `Loop.spawn` returns it."""

    def __init__(self, coroutine):
        self.coroutine, self.over = coroutine, False

    def cancel(self):
        self.over = True
        self.coroutine.close()


class Clock:
    """The parts of the loop that `Discovery` uses, in virtual time."""

    def __init__(self):
        self.time, self.order, self.heap = 0, 0, []

    def now(self):
        return self.time

    def at(self, time, task):
        """Run a task's next step at a time."""
        self.order += 1
        heapq.heappush(self.heap, (time, self.order, task))

    def spawn(self, coroutine, on_crash=None, urgent=False):
        task = Task(coroutine)
        self.at(self.time, task)
        return task

    def close(self, sock):
        pass

    def run(self, until):
        """Run all steps up to a time."""
        while self.heap and self.heap[0][0] <= until:
            self.time, _, task = heapq.heappop(self.heap)
            if task.over:
                continue
            wait = next(task.coroutine, None)
            if wait is None:
                task.over = True
            else:
                self.at(max(self.time, wait.until), task)


class Calls(Discovery):
    """`Discovery`, driven by a balancer, over simulated calls.

    `ends` is called at the start of each call and returns how it ends, and how long that takes. `changes` is when
    discovery has a change: a good response that is written from then on contains it.
    """

    def __init__(self, options, ends, changes=1 << 62, ask_within=60 * SECOND, seed=1, sidecars=1, me=0):
        self.loop, self.ends, self.changes = Clock(), ends, changes
        self.read_at, self.first_update, self.failed_at, self.called_at = None, None, [], []
        safety = replace(settings().safety, ask_within=ask_within)
        self.balancer = make_balancer(seed, discovery_pushes=False, safety=safety, balancers=sidecars, me=me)
        super().__init__(self.loop, "here", options, self._updated)
        self.apply_settings(False, sidecars)
        self.version = 1

    def _updated(self, update, _):
        """Record an update, and pass it to the balancer."""
        now = self.loop.now()
        if update.kind is UpdateKind.FAILED:
            self.failed_at.append(now)
        elif update.version == 2 and self.read_at is None:
            self.read_at = now
        self._carry_out(self.balancer.handle(now, [update]))

    def _carry_out(self, actions):
        """Carry out the balancer's timers."""
        for timer in of_type(Timer, actions):
            self.loop.spawn(self._later(timer))

    def _later(self, timer):
        yield Wait(None, 0, self.loop.now() + timer.delay)
        for action in of_type(Watch, self.balancer.handle(self.loop.now(), [TimerFired(timer.tag)])):
            self.watch(action.on)

    def _connect(self, address, until):
        yield Wait(None, 0, self.loop.now())

    def _call(self, sock, target, until):
        now = self.loop.now()
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        self.called_at.append(now)
        after, wait = int(query.get("after", -1)), int(query.get("wait_ms", 0)) * MS
        way, takes = self.ends(now, until, wait)
        if way == "good":
            written = now if after < (2 if now >= self.changes else 1) else now + wait
            if after == 1 and now < self.changes < written:
                written = self.changes
            takes += written - now
            if written < self.changes:
                takes = min(takes, until - now - 1)
        if way == "silent" or now + takes > until:
            yield Wait(None, 0, until)
            raise Silent("silent")
        yield Wait(None, 0, now + takes)
        if way == "fails":
            raise CallFailed("answered 503")
        kind = UpdateKind.FULL if after < 0 else UpdateKind.CHANGES
        update = MembershipUpdate(kind, (), 2 if written >= self.changes else 1)
        return ListResponse(update, {}, True, self.loop.now())


class Busy:
    """A discovery that handles one call after another, including those that were given up.

    A call takes `takes`; one that would wait in the queue for longer than `max_wait` fails.
    """

    def __init__(self, takes, max_wait, changes):
        self.takes, self.max_wait, self.changes, self.free_at = takes, max_wait, changes, 0

    def version(self, now):
        """The version of the list at a time."""
        return 1 + sum(change <= now for change in self.changes)

    def turn(self, now):
        """Queue a call; return when it is answered, and whether it is handled."""
        if self.free_at > now + self.max_wait:
            return now + self.max_wait, False
        self.free_at = max(now, self.free_at) + self.takes
        return self.free_at, True


class Queued(Calls):
    """One of many sidecars that call one `Busy` discovery."""

    def __init__(self, clock, busy, seed, sidecars=1):
        me = seed % sidecars  # the settings give each sidecar its number among so many
        super().__init__(Options(), lambda *_: None, ask_within=10 * SECOND, seed=seed, sidecars=sidecars, me=me)
        self.loop, self.busy, self.read, self.random = clock, busy, {}, random.Random(seed)
        self._carry_out(self.balancer.handle(0, [MembershipUpdate(UpdateKind.REMEMBERED)]))

    def _updated(self, update, _):
        if update.kind is not UpdateKind.FAILED:
            for version in range(2, update.version + 1):
                self.read.setdefault(version, self.loop.now())
        self._carry_out(self.balancer.handle(self.loop.now(), [replace(update, endpoints=())]))

    def _call(self, sock, target, until):
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        after, wait = int(query.get("after", -1)), int(query.get("wait_ms", 0)) * MS
        return (yield from self._wait_in_queue(*self.busy.turn(self.loop.now()), after, wait, until))

    def _wait_in_queue(self, turn, good, after, wait, until):
        """Wait until the call is answered, or until it is given up."""
        change_at = next((change for change in self.busy.changes[max(0, after - 1) :]), 1 << 62)
        answered = turn if after < 1 or not good else max(turn, min(turn + wait, change_at))
        yield Wait(None, 0, min(answered, until))
        if answered > until:
            raise Silent("silent", partial(self._wait_in_queue, turn, good, after, wait))
        if not good:
            raise CallFailed("answered 503")
        kind = UpdateKind.FULL if after < 0 else UpdateKind.CHANGES
        return ListResponse(MembershipUpdate(kind, (), self.busy.version(self.loop.now())), {}, True, self.loop.now())


class Full(Busy):
    """A discovery that refuses a call at once if it would wait too long, which costs it some time."""

    def turn(self, now):
        if self.free_at > now + self.max_wait:
            self.free_at += 50 * MS
            return now + MS, False
        return super().turn(now)


class Connection:
    """A connection to a `Counted` discovery."""

    answered_at = None  # when its last call was answered


class Counted(Busy):
    """A discovery that refuses a call at once if it would wait too long, and that recognizes an established watch.

    The next call of such a watch takes it far less time (`further`) than a new one (`new`).
    """

    def __init__(self, new, further, max_wait, changes):
        super().__init__(new, max_wait, changes)
        self.new, self.further = new, further

    def turn_of(self, now, connection):
        """Queue a call of a connection; return as `turn` does."""
        answered_at = connection.answered_at
        continues = answered_at is not None and now - answered_at <= ESTABLISHED_FOR
        self.takes = self.further if continues else self.new
        if self.free_at > now + self.max_wait:
            return now + MS, False
        return self.turn(now)


ESTABLISHED_FOR = 200 * MS  # from a response to the next call, for which a watch stays established


class Turn:
    """A call in the queue, and its state."""

    def __init__(self, after, due, good, wait_until):
        self.after, self.due, self.good, self.wait_until = after, due, good, wait_until
        self.written = False
        self.given_up = False  # its response may still be accepted


class Watching(Queued):
    """One of many sidecars that call one `Counted` discovery.

    `failed_at` has the time of each call that was refused, or given up with its response no longer accepted.
    """

    def _connect(self, address, until):
        yield Wait(None, 0, self.loop.now())
        return Connection()

    def _call(self, sock, target, until):
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        now = self.loop.now()
        due, good = self.busy.turn_of(now, sock)
        turn = Turn(int(query.get("after", -1)), due, good, now + int(query.get("wait_ms", 0)) * MS)
        self.called_at.append(now)
        return (yield from self._wait_for(sock, turn, until))

    def _wait_for(self, sock, turn, until):
        """Wait until a call is answered, or until it is given up."""
        while not turn.written:
            yield Wait(None, 0, min(turn.due, until))
            if turn.due > until:
                if turn.given_up:
                    self.failed_at.append(self.loop.now())
                turn.given_up = True
                raise Silent("silent", partial(self._wait_for, sock, turn))
            if not turn.good:
                self.failed_at.append(self.loop.now())
                raise Refused("answered 503", reusable=True)
            self._take_turn(turn)
        sock.answered_at = self.loop.now()
        kind = UpdateKind.FULL if turn.after < 0 else UpdateKind.CHANGES
        return ListResponse(MembershipUpdate(kind, (), self.busy.version(turn.due)), {}, True, self.loop.now())

    def _take_turn(self, turn):
        """Handle a call whose turn it is: answer it, or keep it open. A change that ends the wait is queued too."""
        now, busy = self.loop.now(), self.busy
        if turn.wait_until is None or busy.version(now) > turn.after >= 0 or turn.after < 0 or now >= turn.wait_until:
            turn.written = True
            return
        change_at = next((change for change in busy.changes if change > now), turn.wait_until)
        turn.due = min(change_at, turn.wait_until)
        if change_at < turn.wait_until:
            turn.due = max(turn.due, busy.free_at)


class Unanswered(Watching):
    """A sidecar whose calls with a wait, if they begin within a span of time, are never answered."""

    silent_from = silent_to = 0

    def _call(self, sock, target, until):
        silent = "wait_ms=" in target and "wait_ms=0" not in target
        if silent and self.silent_from <= self.loop.now() < self.silent_to:
            yield from self._never(until)
        return (yield from super()._call(sock, target, until))

    def _never(self, until):
        yield Wait(None, 0, until)
        raise Silent("silent", self._never)
