"""Discovery: the whole list once, and the watch that goes on from it."""

from __future__ import annotations

from collections.abc import Callable
from socket import socket
from typing import NamedTuple

import h11
import ujson

from loftweir import listclock
from loftweir.config.lists import NotAList, read_list
from loftweir.config.model import Options
from loftweir.errors import Trouble
from loftweir.http1.strict import Strict
from loftweir.interface import MembershipUpdate, UpdateKind
from loftweir.net.loop import MS, Coroutine, Loop, Task, Wait
from loftweir.net.stream import NotUp, TookTooLong, TooLarge, connect, send
from loftweir.telemetry.catalogue import DISCOVERY_LIST, DISCOVERY_WATCH
from loftweir.telemetry.log import say

PATH = "/catalog/members"


class CallFailed(Trouble):
    """A call to discovery brought no list: says why. A sidecar serves on with the list that it holds."""

    remedy = "If it goes on, see that discovery runs at the address that is named and answers `GET /catalog/members`."


class Silent(CallFailed):
    """A call to discovery was not answered, or not to its end, in time. It was asked anew at once."""

    remedy = "See whether discovery's machine hangs or is cut off from this one. Drains are not seen meanwhile."


class End(NamedTuple):
    """How a watch ended."""

    answered: bool  # some call of it, before
    silent: bool  # its last call
    version: int | None  # of the list that it had got to


class Discovery:
    """Calls discovery as the balancer asks, and hands over what it tells."""

    def __init__(
        self, loop: Loop, address: str, options: Options, told: Callable[[MembershipUpdate, dict[str, str]], None]
    ) -> None:
        self.loop = loop
        self.options = options  # replaced whole by a reload
        self.address = address
        self.told = told
        # Of the list held; None: no list. 0 is a version like any other: taken for none, the whole list was
        # fetched over and over, and every sidecar's calls queued behind these.
        self.version: int | None = None
        self.watching: Task | None = None
        self.before: Task | None = None  # the watch at the address left, until the one that follows it stands
        # Where an agent pushes lists, what it has counts as told whether asked or not: it is watched always,
        # whatever the balancer says, and a watch that fails is set up again at once.
        self.pushed = False
        self.drain_grace = 0  # of the settings, from when a change of the list is told

    def push(self, pushed: bool) -> None:
        self.pushed = pushed
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
        self.watching = self.loop.spawn(self._follow(self.version), self._crashed) if on else None

    def move(self, address: str) -> None:
        """Calls discovery at another address from now on, and at once: what it has to tell is soon taken for
        told. The whole list comes first, since versions may be counted anew there. News that are on their way
        over the old watch are told already: it is read until the new one has answered."""
        if address == self.address:
            return
        self.address = address
        if self.before is None or self.before.over:
            self.before = self.watching
        elif self.watching is not None:
            self.watching.cancel()  # it has told nothing yet
        self.watching = self.loop.spawn(self._follow(None), self._crashed)

    def _drop_before(self) -> None:
        if self.before is not None:
            self.before.cancel()
            self.before = None

    def fetch(self) -> None:
        self.loop.spawn(self._fetch(), self._crashed)

    def _crashed(self, _: Exception) -> None:
        self._fail()

    def _fail(self) -> None:
        self.told(MembershipUpdate(UpdateKind.FAILED), {})

    def _fetch(self) -> Coroutine[None]:
        options = self.options.discovery
        for left in range(listclock.ANEW, -1, -1):
            begun = self.loop.now()
            within = options.answer_within if left == listclock.ANEW else self._anew_within(0)
            try:
                sock = yield from self._connect(self.address, begun + within)
                try:
                    update, addresses, _ = yield from self._call(sock, PATH, begun + within)
                finally:
                    self.loop.close(sock)
            except CallFailed as error:
                say(DISCOVERY_LIST, why=error, address=self.address)
                if not left or (left == listclock.ANEW and not isinstance(error, Silent)):
                    self._fail()
                    return
                yield Wait(None, 0, begun + within)
            else:
                self.told(update, addresses)
                return

    def _anew_within(self, wait: int) -> int:
        options = self.options.discovery
        silent_after = options.silent_after if wait else options.answer_within
        return listclock.anew_within(wait, silent_after, self.drain_grace)

    def _follow(self, version: int | None) -> Coroutine[None]:
        """Watches until a call fails. One that fell silent is asked anew at once, over another connection, and once
        more if that fails: what it missed counts as told soon, and the balancer's own asking is spread in time. Where
        lists are pushed, it watches anew after each failure, and a run of them is logged once."""
        address, quiet, left = self.address, False, 0
        while True:
            begun = self.loop.now()
            end = yield from self._watch(version, address, quiet, bool(left))
            if address != self.address:
                return  # left while it watched, and another goes on
            version = end.version
            if self.pushed:
                quiet = not end.answered
                self._fail()
                yield Wait(None, 0, self.loop.now() + self.options.discovery.calls_apart)
            elif left > 1 and not end.answered:
                left -= 1
                yield Wait(None, 0, begun + self._anew_within(self.options.discovery.wait))
            elif end.silent and (end.answered or not left):
                left = listclock.ANEW
            else:
                self._fail()
                return
            if address != self.address:
                return

    def _watch(self, version: int | None, address: str, quiet: bool, anew: bool) -> Coroutine[End]:
        """One call after another over one connection: the next starts at once, so that the watch goes on. It ends as
        a call fails. `anew`: the first does not wait, so that it is soon known whether this one is silent too."""
        options = self.options.discovery
        wait_for, silent_after = options.wait, options.silent_after
        if self.pushed:
            wait_for, silent_after = options.agent_wait, options.agent_silent_after
        answered = False
        try:
            begun = self.loop.now()
            until = begun + (self._anew_within(wait_for) if anew else options.connect_within)
            sock = yield from self._connect(address, until)
            try:
                first = True
                while True:
                    asked_at = self.loop.now()
                    target = PATH
                    if anew and first:
                        target = PATH if version is None else f"{PATH}?after={version}&wait_ms=0"
                    elif version is None:
                        until = asked_at + (silent_after if self.pushed else options.answer_within)
                    else:
                        until = asked_at + wait_for + silent_after
                        target = f"{PATH}?after={version}&wait_ms={wait_for // MS}"
                    update, addresses, again = yield from self._call(sock, target, until)
                    if address == self.address:
                        self._drop_before()
                    # The first answer of a watch is told with or without news: the watch stands.
                    answered = True
                    if first or update.endpoints or update.version != version:
                        self.version = version = update.version
                        self.told(update, addresses)
                    first = False
                    # One that answers at once with no news would be called in a tight loop.
                    yield Wait(None, 0, asked_at + self.options.discovery.calls_apart)
                    if not again:
                        self.loop.close(sock)
                        sock = yield from self._connect(address, self.loop.now() + options.connect_within)
            finally:
                self.loop.close(sock)
        except CallFailed as error:
            if address == self.address and not quiet:
                say(DISCOVERY_WATCH, why=error, address=address)
            return End(answered, isinstance(error, Silent), version)

    def _connect(self, address: str, until: int) -> Coroutine[socket]:
        try:
            within = self.options.discovery.connect_within
            return (yield from connect(self.loop, address, within, until))
        except NotUp:
            raise CallFailed("not up") from None

    def _call(self, sock: socket, target: str, until: int) -> Coroutine[tuple[MembershipUpdate, dict[str, str], bool]]:
        """One answer of discovery, and whether its connection can be used again. One that has begun is whole soon:
        what trickles is as good as silent."""
        wire = Strict(sock, h11.CLIENT)
        try:
            head = f"GET {target} HTTP/1.1\r\nHost: {self.address}\r\n\r\n"
            yield from send(sock, [head.encode()], until)
            answer = yield from wire.next_event(until)
            if not isinstance(answer, h11.Response):
                raise CallFailed("no answer")
            whole_by = min(until, self.loop.now() + self.options.discovery.answer_within)
            body = yield from wire.body(lambda _: whole_by, self.options.discovery.list_size)
        except TookTooLong:
            raise Silent("silent") from None
        except (OSError, h11.RemoteProtocolError, TooLarge) as error:
            raise CallFailed(f"broken: {error}") from None
        if answer.status_code != 200:
            raise CallFailed(f"answered {answer.status_code}")
        try:
            update, addresses = read_list(ujson.loads(b"".join(body)))
        except NotAList as error:
            raise CallFailed(f"not a list: {error}") from None
        except ValueError as error:
            raise CallFailed(f"not a list: not JSON: {error}") from None
        return update, addresses, wire.whole() and not wire.rest()
