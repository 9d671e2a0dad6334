"""Discovery: the whole list once, and the watch that goes on from it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from socket import socket
from typing import NamedTuple

import h11
import ujson

from loftweir import listclock
from loftweir.config.lists import NotAList, read_list
from loftweir.config.model import Options
from loftweir.errors import LoftweirError
from loftweir.http1.strict import H11Reader
from loftweir.interface import MembershipUpdate, UpdateKind
from loftweir.net.loop import MS, Coroutine, Loop, Task, Wait
from loftweir.net.stream import ConnectError, TimedOut, TooLarge, connect, send
from loftweir.telemetry.catalogue import (
    DISCOVERY_CALL,
    DISCOVERY_CALL_FAILED,
    DISCOVERY_LIST_FAILED,
    DISCOVERY_NEW_WATCH,
    DISCOVERY_WATCH_FAILED,
    DISCOVERY_WATCH_STANDS,
)
from loftweir.telemetry.log import emit

PATH = "/catalog/members"


class CallFailed(LoftweirError):
    """A call to discovery brought no list: says why. A sidecar serves on with the list that it holds."""

    remedy = "If it goes on, see that discovery runs at the address that is named and answers `GET /catalog/members`."


class ListResponse(NamedTuple):
    """One answer of discovery."""

    update: MembershipUpdate
    addresses: dict[str, str]
    reusable: bool  # whether its connection can be used again
    received_at: int  # when it began: it is as old as that


class Silent(CallFailed):
    """A call to discovery was not answered, or not to its end, in time. It was asked anew at once."""

    remedy = "See whether discovery's machine hangs or is cut off from this one. Drains are not seen meanwhile."

    def __init__(self, why: str, rest: Callable[[int], Coroutine[ListResponse]] | None = None) -> None:
        super().__init__(why)
        self.rest = rest  # waits on for the answer, until then, where nothing of it has come


class Refused(CallFailed):
    """Discovery answered at once that it takes no call now, as it has too many; a sidecar asks again soon."""

    remedy = "If it goes on, discovery has more callers than it can answer: see to its size."

    def __init__(self, why: str, reusable: bool = False) -> None:
        super().__init__(why)
        self.reusable = reusable  # whether the call's connection can be used again


class Asked(NamedTuple):
    """Of a call, when it was asked: what decides whether its list is newer than the one held (`Discovery._hear`)."""

    place: int  # where
    news: int  # how many lists had been told
    version: int | None  # past which changes were asked for; None: the whole list
    at: int  # when, before its connecting
    wait: int = 0  # that discovery may hold it with no news


@dataclass(slots=True)
class LateCall:
    """A call that was given up, and whose answer is still heard."""

    sock: socket
    place: int
    address: str
    asked: Asked
    rest: Callable[[int], Coroutine[ListResponse]]  # waits on for the answer, until then
    task: Task | None = None  # that does so


class LateAnswer(NamedTuple):
    """The answer to a call that was given up: a watch goes on from it, over its connection."""

    sock: socket
    asked: Asked
    answer: ListResponse


class End(NamedTuple):
    """How a watch ended."""

    answered: bool  # some call of it, before
    silent: bool  # its last call
    refused: bool  # its last call


class Discovery:
    """Calls discovery as the balancer asks, and hands over what it tells.

    How soon news are read whatever fails: `listclock`. Which of two lists is newer: `_hear`. Its coroutines are urgent
    to the loop: a list binds from when it was written, however many requests wait to be decided.

    Invariants: `place` counts the moves, so that an address that is left and come back to is another place; `held` is
    the place whose list is held; `version` is that list's where both are one, else None; what discovery had and could
    tell before `owed_since` has been read.
    """

    def __init__(
        self,
        loop: Loop,
        address: str,
        options: Options,
        on_update: Callable[[MembershipUpdate, dict[str, str]], None],
        seed: int = 0,
    ) -> None:
        self.loop = loop
        self.random = Random(seed)
        self.options = options  # replaced whole by a reload
        self.address = address
        self.on_update = on_update
        self.place = self.held = 0
        self.news = 0  # lists told, that said something new
        # Of the list held; None: no list. 0 is a version like any other: taken for none, the whole list was
        # fetched over and over, and every sidecar's calls queued behind these.
        self.version: int | None = None
        self.owed_since = loop.now()
        self.callers = 1  # sidecars that ask, this one included
        self.late: list[LateCall] = []  # calls given up whose answers are still heard
        self.lateness = 0  # of answers to watches with no news, past the end of their wait, of late
        self.standing: int | None = None  # the place at which a watch stands: some call of it was answered
        self.watching: Task | None = None
        self.before: Task | None = None  # the watch at the place left, until the one that follows it stands
        # Where an agent pushes lists, what it has counts as told whether asked or not: it is watched always,
        # whatever the balancer says, and a watch that fails is set up again at once.
        self.pushed = False

    def apply_settings(self, pushed: bool, callers: int) -> None:
        """From the settings: whether an agent pushes lists, and how many sidecars ask for them else."""
        self.pushed, self.callers = pushed, callers
        if pushed:
            self.watch(True)

    def watch(self, on: bool) -> None:
        on = on or self.pushed
        if on and self.watching is not None and not self.watching.over:
            return  # one stands, or is being set up since discovery moved: asked again, news would be late
        if not on:
            self._drop_before()
            if self.watching is not None:
                self.watching.cancel()
        self.watching = self._spawn_watch("asked") if on else None

    def _spawn_watch(self, cause: str) -> Task:
        self._say_new_watch(cause)
        # Its place is that of now: a move may come before its first turn.
        return self.loop.spawn(self._follow(self.place, self.address, self.version), self._crashed, urgent=True)

    def change_address(self, address: str) -> None:
        """Calls discovery at another address from now on, and at once: what it has to tell is soon taken for
        told. The whole list comes first, since versions may be counted anew there. News that are on their way
        over the old watch are told already: it is read until the new one has answered."""
        if address == self.address:
            return
        self.address = address
        self.place += 1
        self.version = None
        if self.before is None or self.before.over:
            self.before = self.watching
        elif self.watching is not None:
            self.watching.cancel()  # it has told nothing yet
        self.watching = self._spawn_watch("moved")

    def _drop_before(self) -> None:
        if self.before is not None:
            self.before.cancel()
            self.before = None

    def fetch(self) -> None:
        self.loop.spawn(self._fetch(), self._crashed, urgent=True)

    def _crashed(self, _: Exception) -> None:
        self._fail()

    def _fail(self) -> None:
        pending = self._may_be_answered()
        self.on_update(MembershipUpdate(UpdateKind.FAILED, list_age=self._age(), response_pending=pending), {})

    def _may_be_answered(self) -> bool:
        """Whether discovery may not have got yet to a call that was given up. To a watch that fell silent it has."""
        return any(not call.asked.wait for call in self.late)

    def _clock(self) -> listclock.WatchTimeouts:
        options = self.options.discovery
        if self.pushed:
            return listclock.watch_timeouts(
                options.agent_wait,
                options.agent_silent_after,
                listclock.LONGEST_FRESH_TIMEOUT,
                options.connect_within,
                options.calls_apart,
                pushed=True,
            )
        return listclock.watch_timeouts(
            options.wait, options.silent_after, options.answer_within, options.connect_within, options.calls_apart
        )

    def _held(self, clock: listclock.WatchTimeouts) -> int:
        """An agent is this sidecar's alone: its calls need no spread."""
        return clock.wait if self.pushed else listclock.watch_wait(clock.wait, self.random.random(), self.callers)

    # ---- which list is newer --------------------------------------------------------------------

    def _hear(self, asked: Asked, answer: ListResponse, stands: bool) -> bool:
        """Tells a list if it is not older than the one held; whether it was told. `stands`: also with no news.

        Answers cross: a fetch and a watch are out at once, or the watches at two places. Versions are counted by place,
        and anew when discovery was restarted, so alone they don't tell which is newer. What tells is when a call was
        asked. A list that came after the last one told had been read is the newer one, whatever its version. Where
        others were told meanwhile:

        - at one place, it is the newer one if its version is higher;
        - the first of a new place can't be compared: it is asked for anew, and the place left is heard no more.

        Of a place left nothing is told once the new one has been. Changes below the version that they were asked past
        show that versions are counted anew: what they change is not known, and the whole list is asked for.
        """
        update = answer.update
        if asked.place == self.place:
            self._drop_before()
        overtaken = self.news != asked.news
        if asked.place != self.held:
            if asked.place < self.held or (overtaken and asked.place == self.place):
                return False
        elif overtaken and self.version is not None and update.version <= self.version:
            return False
        changes = update.kind is UpdateKind.CHANGES
        if changes and asked.version is not None and update.version < asked.version:
            if asked.place == self.place:
                self.version = None
            return False
        self.owed_since = max(self.owed_since, answer.received_at)
        if asked.wait:
            self.lateness = listclock.recent_lateness(self.lateness, answer.received_at - asked.at - asked.wait)
        news = bool(update.endpoints) or update.version != asked.version
        if asked.place == self.place:
            self.held, self.version = asked.place, update.version
        if news or stands:
            self.news += news
            self.on_update(update, answer.addresses)
        return True

    # ---- calls ----------------------------------------------------------------------------------

    def _fetch(self) -> Coroutine[None]:
        clock = self._clock()
        for left in range(listclock.FRESH_CALLS, -1, -1):
            asked = self._asked(self.place, None)._replace(version=None)
            address = self.address
            until = self.loop.now() + (clock.first if left == listclock.FRESH_CALLS else clock.fresh)
            try:
                sock = yield from self._connect(address, until)
                kept = False
                try:
                    answer = yield from self._call(sock, PATH, until)
                except Silent as error:
                    kept = self._hear_late(sock, self.place, address, asked, error)
                    raise
                finally:
                    if not kept:
                        self.loop.close(sock)
            except CallFailed as error:
                self._say_failed(asked, str(error))
                emit(DISCOVERY_LIST_FAILED, why=error, address=address)
                if not left or (left == listclock.FRESH_CALLS and not isinstance(error, Silent)):
                    self._fail()
                    return
                yield Wait(None, 0, until)
            else:
                self._say_answered(asked, "answered")
                self._hear(asked, answer, True)
                return

    def _follow(self, place: int, address: str, version: int | None, late: LateAnswer | None = None) -> Coroutine[None]:
        """Watches until a call fails. One that fell silent or was refused is set up anew while what it missed does not
        count as told yet (`listclock.WatchRecovery`); the balancer's own asking comes after that. Of many sidecars that
        is so only of a watch that stood. Where lists are pushed, it watches anew after each failure, and a run of them
        is logged once."""
        quiet = False
        recovery: listclock.WatchRecovery | None = None
        while place == self.place:
            now, clock = self.loop.now(), self._clock()
            until = now + (clock.fresh if self.pushed else clock.first)
            if recovery is not None:
                until = recovery.give_up_at(now)
            end = yield from self._watch(place, address, version, quiet, until, late)
            version, late = self.version, None
            if place != self.place:
                return  # left while it watched, and another goes on
            if self.pushed:
                quiet = not end.answered
                self._fail()
                yield Wait(None, 0, self.loop.now() + self.options.discovery.calls_apart)
                continue
            if recovery is None or end.answered:
                recovery = self._recovery(end, clock)
            again_at = (
                None if recovery is None else recovery.next_call(self.loop.now(), end.silent, self._may_be_answered())
            )
            if again_at is None:
                self._fail()
                return
            yield Wait(None, 0, again_at)
            self._say_new_watch("anew")

    def _recovery(self, end: End, clock: listclock.WatchTimeouts) -> listclock.WatchRecovery | None:
        """Of a watch that ended so; None: it is left to the balancer to ask again."""
        if not end.silent and (end.answered or not end.refused):
            return None
        at_once = end.answered or self.callers <= listclock.SMALL_FLEET
        if end.silent and not at_once:
            return None
        counts_at, anew = self.owed_since + listclock.READ_WITHIN, listclock.FRESH_CALLS if at_once else 0
        if end.silent:
            counts_at = max(counts_at, self.loop.now() + anew * clock.fresh)
        return listclock.WatchRecovery(counts_at, self.callers, anew, clock.first, self.random)

    def _asked(self, place: int, version: int | None) -> Asked:
        """Of a call now; `version` is where the watch of a place left has got to."""
        return Asked(place, self.news, self.version if place == self.place else version, self.loop.now())

    def _age(self) -> int:
        """For how long news may have been owed."""
        return self.loop.now() - self.owed_since

    def _say_answered(self, asked: Asked, ended: str) -> None:
        after, took = -1 if asked.version is None else asked.version, self.loop.now() - asked.at
        emit(DISCOVERY_CALL, after=after, wait_ms=asked.wait // MS, ended=ended, ms=took // MS)

    def _say_failed(self, asked: Asked, ended: str) -> None:
        after, took = -1 if asked.version is None else asked.version, self.loop.now() - asked.at
        emit(DISCOVERY_CALL_FAILED, after=after, wait_ms=asked.wait // MS, ended=ended, ms=took // MS)

    def _say_new_watch(self, cause: str) -> None:
        emit(DISCOVERY_NEW_WATCH, cause=cause, age_ms=self._age() // MS, late_calls=len(self.late))

    def _watch(
        self, place: int, address: str, version: int | None, quiet: bool, until: int, late: LateAnswer | None
    ) -> Coroutine[End]:
        """One call after another over one connection: the next starts at once, so that the watch goes on. It ends as
        a call fails. The first does not wait, so that it is soon known whether this one is silent, and has `until`; or
        it was made before, and `late` is its answer."""
        answered, due, received_at, answer = False, until, 0, None
        asked = self._asked(place, version)
        try:
            if late is None:
                sock = yield from self._connect(address, until)
            else:
                sock, asked, answer = late
            kept = False
            try:
                while True:
                    if answer is None:
                        target = PATH
                        if asked.version is not None:
                            target += f"?after={asked.version}&wait_ms={asked.wait // MS}"
                        try:
                            answer = yield from self._call(sock, target, until)
                        except Refused as error:
                            # A watch that is lost so is dear to set up anew, just where discovery is full.
                            again_at = self.loop.now() + self.options.discovery.calls_apart
                            if not error.reusable or again_at > received_at + listclock.NEXT_CALL_WITHIN:
                                raise
                            self._say_failed(asked, str(error))
                            yield Wait(None, 0, again_at)
                            continue
                        self._say_answered(asked, "answered")
                    received_at, age = answer.received_at, self._age()
                    # The first answer of a watch is told with or without news: the watch stands.
                    heard = self._hear(asked, answer, not answered)
                    if heard and not answered:
                        emit(DISCOVERY_WATCH_STANDS, version=answer.update.version, age_ms=age // MS)
                    answered = answered or heard
                    if answered:
                        self.standing = place
                    # One that answers at once with no news would be called in a tight loop.
                    yield Wait(None, 0, asked.at + self.options.discovery.calls_apart)
                    # From the last answer on, not from the asking: what was new since then is what would be missed.
                    asked, clock = self._asked(place, answer.update.version if heard else None), self._clock()
                    held, stands = self._held(clock), answered and asked.version is not None
                    until = answer.received_at + (
                        clock.silent_for(held, self.lateness, self.callers) if stands else clock.first
                    )
                    if not answer.reusable:
                        self.loop.close(sock)
                        sock = yield from self._connect(address, until)
                    delay = self.loop.now() - answer.received_at - self.options.discovery.calls_apart
                    asked = asked._replace(wait=max(0, held - max(0, delay)) if answered else 0)
                    due = self.loop.now() + asked.wait if asked.wait else until
                    answer = None
            except Silent as error:
                kept = self._hear_late(sock, place, address, asked, error)
                raise
            finally:
                if answered and self.standing == place:
                    self.standing = None
                if not kept:
                    self.loop.close(sock)
        except CallFailed as error:
            if not quiet:
                self._say_failed(asked, str(error))
            if place == self.place and not quiet:
                emit(DISCOVERY_WATCH_FAILED, why=error, address=address)
            refused = isinstance(error, Refused)
            # One that breaks past its wait had fallen silent before.
            silent = isinstance(error, Silent) or (self.loop.now() >= due and not refused)
            return End(answered, silent, refused)

    def _hear_late(self, sock: socket, place: int, address: str, asked: Asked, silent: Silent) -> bool:
        """Goes on hearing a call that is given up, beside the next one; whether it does, and closes the socket then.

        Where discovery is busy it waits its turn, and the next one stands behind it. Given up for good, each would be
        worked off for nobody: a fleet with more calls than discovery can answer in time would hear of nothing."""
        if silent.rest is None or len(self.late) >= listclock.MAX_LATE_CALLS:
            return False
        call = LateCall(sock, place, address, asked, silent.rest)
        self.late.append(call)
        call.task = self.loop.spawn(self._outlast(call), self._crashed, urgent=True)
        return True

    def _outlast(self, call: LateCall) -> Coroutine[None]:
        """Hears the answer to a call that was given up. Where no watch stands by then, this is the one from now on.

        A new watch costs discovery far more than the next call of one that stands. Left for the next new one, a late
        answer told its list and no more, and a fleet that started together took all of discovery's time for first
        calls, each answered late again."""
        kept = False
        try:
            try:
                answer = yield from call.rest(self.loop.now() + listclock.LATE_RESPONSE_WITHIN)
            finally:
                self.late.remove(call)
            self._say_answered(call.asked, "answered late")
            if self._is_missing(call):
                self._replace_watch(call.task)
                kept = True  # by the watch, which closes it
                late = LateAnswer(call.sock, call.asked, answer)
                yield from self._follow(call.place, call.address, call.asked.version, late)
            else:
                self._hear(call.asked, answer, False)
        except CallFailed as error:
            self._say_failed(call.asked, f"late: {error}")
            self._stop_waiting_for_answer(call)
        finally:
            if not kept:
                self.loop.close(call.sock)

    def _stop_waiting_for_answer(self, call: LateCall) -> None:
        """Calls discovery again, where the balancer keeps the next call back for answers of which none comes now."""
        kept_back = not call.asked.wait and not self._may_be_answered()
        if kept_back and self._is_missing(call) and self.watching is not None and self.watching.over:
            self.watch(True)

    def _is_missing(self, call: LateCall) -> bool:
        """Whether no watch stands at the place of a call, and one is wanted there."""
        wanted = self.watching is not None and not self.pushed
        return wanted and call.place == self.place and self.standing != call.place

    def _replace_watch(self, task: Task | None) -> None:
        """Another task is the watch; the one that asks anew, if any, is given up."""
        if self.watching is not None:
            self.watching.cancel()
        self.watching = task

    def _connect(self, address: str, until: int) -> Coroutine[socket]:
        try:
            return (yield from connect(self.loop, address, self._clock().connect, until))
        except ConnectError:
            if address == self.address:
                self.owed_since = self.loop.now()  # it could not be reached until now
            raise CallFailed("not up") from None

    def _call(self, sock: socket, target: str, until: int) -> Coroutine[ListResponse]:
        wire = H11Reader(sock, h11.CLIENT)
        head = f"GET {target} HTTP/1.1\r\nHost: {self.address}\r\n\r\n"
        try:
            yield from send(self.loop, sock, [head.encode()], until)
        except TimedOut:
            raise Silent("silent") from None
        except OSError as error:
            raise CallFailed(f"broken: {error}") from None
        return (yield from self._answer(wire, until))

    def _answer(self, wire: H11Reader, until: int) -> Coroutine[ListResponse]:
        """The answer to a call. One that has begun is whole soon: what trickles is as good as silent."""
        try:
            head = yield from wire.next_event(until)
        except TimedOut:
            raise Silent("silent", partial(self._answer, wire)) from None
        except (OSError, h11.RemoteProtocolError) as error:
            raise CallFailed(f"broken: {error}") from None
        if not isinstance(head, h11.Response):
            raise CallFailed("no answer")
        received_at = self.loop.now()
        whole_by = min(until, received_at + self.options.discovery.answer_within)
        try:
            body = yield from wire.body(lambda _: whole_by, self.options.discovery.list_size)
        except TimedOut:
            raise Silent("silent") from None
        except (OSError, h11.RemoteProtocolError, TooLarge) as error:
            raise CallFailed(f"broken: {error}") from None
        reusable = wire.whole() and not wire.rest()
        if head.status_code == 503:
            raise Refused("answered 503", reusable)
        if head.status_code != 200:
            raise CallFailed(f"answered {head.status_code}")
        try:
            update, addresses = read_list(ujson.loads(b"".join(body)))
        except NotAList as error:
            raise CallFailed(f"not a list: {error}") from None
        except ValueError as error:
            raise CallFailed(f"not a list: not JSON: {error}") from None
        return ListResponse(update, addresses, reusable, received_at)
