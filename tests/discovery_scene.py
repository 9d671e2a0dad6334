"""Discovery's side of a sidecar in virtual time: calls end as a test says, or stand in turn before one discovery."""

import heapq
import random
from dataclasses import replace
from functools import partial

from support import MS, SECOND, make_balancer, of_type, settings

from loftweir.config.model import Options
from loftweir.http1.discovery import CallFailed, Discovery, ListResponse, Refused, Silent
from loftweir.interface import MembershipUpdate, Timer, TimerFired, UpdateKind, Watch
from loftweir.net.loop import Wait


class Task:
    def __init__(self, coroutine):
        self.coroutine, self.over = coroutine, False

    def cancel(self):
        self.over = True
        self.coroutine.close()


class Clock:
    """The loop as discovery's side uses it, in virtual time."""

    def __init__(self):
        self.time, self.order, self.heap = 0, 0, []

    def now(self):
        return self.time

    def at(self, time, task):
        self.order += 1
        heapq.heappush(self.heap, (time, self.order, task))

    def spawn(self, coroutine, crashed=None, urgent=False):
        task = Task(coroutine)
        self.at(self.time, task)
        return task

    def close(self, sock):
        pass

    def run(self, until):
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
    """Discovery's side, asked by a balancer, over calls that end as `ends` says at each one's beginning: a way and how
    long it takes. `changes` is when discovery has a change: a good answer that is written from then on has it."""

    def __init__(self, options, ends, changes=1 << 62, ask_within=60 * SECOND, seed=1, callers=1, me=0):
        self.loop, self.ends, self.changes = Clock(), ends, changes
        self.read_at, self.first_told, self.failed_at, self.asked_at = None, None, [], []
        safety = replace(settings().safety, ask_within=ask_within)
        self.balancer = make_balancer(seed, discovery_pushes=False, safety=safety, balancers=callers, me=me)
        super().__init__(self.loop, "here", options, self._told)
        self.apply_settings(False, callers)
        self.version = 1

    def _told(self, update, _):
        now = self.loop.now()
        if update.kind is UpdateKind.FAILED:
            self.failed_at.append(now)
        elif update.version == 2 and self.read_at is None:
            self.read_at = now
        self._obey(self.balancer.handle(now, [update]))

    def _obey(self, actions):
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
        self.asked_at.append(now)
        after, held = int(query.get("after", -1)), int(query.get("wait_ms", 0)) * MS
        way, takes = self.ends(now, until, held)
        if way == "good":
            written = now if after < (2 if now >= self.changes else 1) else now + held
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
    """A discovery that works through calls in turn, also through those that were given up, and fails one that would
    have waited too long."""

    def __init__(self, takes, patience, changes):
        self.takes, self.patience, self.changes, self.free_at = takes, patience, changes, 0

    def version(self, now):
        return 1 + sum(change <= now for change in self.changes)

    def turn(self, now):
        """When a call is answered, and whether it is worked off."""
        if self.free_at > now + self.patience:
            return now + self.patience, False
        self.free_at = max(now, self.free_at) + self.takes
        return self.free_at, True


class Queued(Calls):
    """One of many that call one `Busy`."""

    def __init__(self, clock, busy, seed, callers=1):
        me = seed % callers  # the settings tell each sidecar which of so many it is
        super().__init__(Options(), lambda *_: None, ask_within=10 * SECOND, seed=seed, callers=callers, me=me)
        self.loop, self.busy, self.read, self.random = clock, busy, {}, random.Random(seed)
        self._obey(self.balancer.handle(0, [MembershipUpdate(UpdateKind.REMEMBERED)]))

    def _told(self, update, _):
        if update.kind is not UpdateKind.FAILED:
            for version in range(2, update.version + 1):
                self.read.setdefault(version, self.loop.now())
        self._obey(self.balancer.handle(self.loop.now(), [replace(update, endpoints=())]))

    def _call(self, sock, target, until):
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        after, held = int(query.get("after", -1)), int(query.get("wait_ms", 0)) * MS
        return (yield from self._rest(*self.busy.turn(self.loop.now()), after, held, until))

    def _rest(self, turn, good, after, held, until):
        news = next((change for change in self.busy.changes[max(0, after - 1) :]), 1 << 62)
        answered = turn if after < 1 or not good else max(turn, min(turn + held, news))
        yield Wait(None, 0, min(answered, until))
        if answered > until:
            raise Silent("silent", partial(self._rest, turn, good, after, held))
        if not good:
            raise CallFailed("answered 503")
        kind = UpdateKind.FULL if after < 0 else UpdateKind.CHANGES
        return ListResponse(MembershipUpdate(kind, (), self.busy.version(self.loop.now())), {}, True, self.loop.now())


class Full(Busy):
    """One that refuses a call at once where it would have waited too long, at some cost."""

    def turn(self, now):
        if self.free_at > now + self.patience:
            self.free_at += 50 * MS
            return now + MS, False
        return super().turn(now)


class Connection:
    """To a `Counted` discovery."""

    answered_at = None  # when its last call was answered


class Counted(Busy):
    """One that refuses a call at once where it would have waited too long, and that knows a watch which goes on: the
    next call of one takes it far less time than a new one."""

    def __init__(self, new, further, patience, changes):
        super().__init__(new, patience, changes)
        self.new, self.further = new, further

    def turn_of(self, now, connection):
        answered_at = connection.answered_at
        goes_on = answered_at is not None and now - answered_at <= STAYS_WATCHED
        self.takes = self.further if goes_on else self.new
        if self.free_at > now + self.patience:
            return now + MS, False
        return self.turn(now)


STAYS_WATCHED = 200 * MS  # from an answer to the next call of the same watch


class Turn:
    """A call and where it stands."""

    def __init__(self, after, due, good, held_until):
        self.after, self.due, self.good, self.held_until = after, due, good, held_until
        self.written = False
        self.given_up = False  # it may still be heard


class Watching(Queued):
    """One of many that call one `Counted`; `failed_at` has each call that was refused, or given up and
    heard no more."""

    def _connect(self, address, until):
        yield Wait(None, 0, self.loop.now())
        return Connection()

    def _call(self, sock, target, until):
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        now = self.loop.now()
        due, good = self.busy.turn_of(now, sock)
        turn = Turn(int(query.get("after", -1)), due, good, now + int(query.get("wait_ms", 0)) * MS)
        self.asked_at.append(now)
        return (yield from self._wait_for(sock, turn, until))

    def _wait_for(self, sock, turn, until):
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
            self._go_on(turn)
        sock.answered_at = self.loop.now()
        kind = UpdateKind.FULL if turn.after < 0 else UpdateKind.CHANGES
        return ListResponse(MembershipUpdate(kind, (), self.busy.version(turn.due)), {}, True, self.loop.now())

    def _go_on(self, turn):
        """It is the call's turn: it is answered, or held; news that end the holding wait their turn too."""
        now, busy = self.loop.now(), self.busy
        if turn.held_until is None or busy.version(now) > turn.after >= 0 or turn.after < 0 or now >= turn.held_until:
            turn.written = True
            return
        news = next((change for change in busy.changes if change > now), turn.held_until)
        turn.due = min(news, turn.held_until)
        if news < turn.held_until:
            turn.due = max(turn.due, busy.free_at)


class Unheard(Watching):
    """One whose watches, where they are asked in a span of time, are never answered."""

    silent_from = silent_to = 0

    def _call(self, sock, target, until):
        silent = "wait_ms=" in target and "wait_ms=0" not in target
        if silent and self.silent_from <= self.loop.now() < self.silent_to:
            yield from self._never(until)
        return (yield from super()._call(sock, target, until))

    def _never(self, until):
        yield Wait(None, 0, until)
        raise Silent("silent", self._never)
