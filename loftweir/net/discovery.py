"""Discovery: the whole list once, and the watch that goes on from it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
import ujson

from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind
from loftweir.net.http import Channel, TookTooLong, TooLarge
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait, log
from loftweir.net.provider import NotUp, connect

PATH = "/catalog/members"
# How long discovery may hold a watch with no news: a silent discovery is found within 12 s, and ten sidecars
# make one call a second between them. Measured with eight sidecars on one discovery: 3, 10 and 20 s make no
# difference to the service, and none of the calls is turned away.
WAIT = 10 * SECOND
SILENT_AFTER = 2 * SECOND  # past its wait, a call that has no answer is taken for failed
CONNECT_WITHIN = SECOND
CALLS_APART = 100 * MS  # at least, from call to call; a watch goes on where the next call is within 200 ms
LIFECYCLES = {"active": Lifecycle.READY, "leaving": Lifecycle.DRAINING, "left": Lifecycle.GONE}


class CallFailed(Exception):
    """A call to discovery that brought no list: says why."""


def read_list(data: Any, kind: UpdateKind | None = None) -> tuple[MembershipUpdate, dict[str, str]]:
    """A list in discovery's form, and where each provider on it listens.

    The name is the provider's identity everywhere; the address is only where this sidecar connects.
    """
    endpoints, addresses = [], {}
    for entry in data["endpoints"]:
        name = str(entry["name"])
        endpoints.append(
            Endpoint(
                address=name,
                zone=str(entry["zone"]),
                kind=str(entry["type"]),
                cell=int(entry["group"]),
                lifecycle=LIFECYCLES[entry["status"]],
                weight=float(entry["weight"]),
                started_at=int(entry["since_ms"]) * MS,
            )
        )
        addresses[name] = str(entry["address"])
    if kind is None:
        kind = UpdateKind.FULL if data["snapshot"] else UpdateKind.CHANGES
    return MembershipUpdate(kind, tuple(endpoints), int(data["index"])), addresses


class Discovery:
    """Calls discovery as the balancer asks, and hands over what it tells."""

    def __init__(
        self, loop: Loop, address: str, told: Callable[[MembershipUpdate, dict[str, str]], None]
    ) -> None:
        self.loop = loop
        self.address = address
        self.told = told
        # Of the list held; None: no list. 0 is a version like any other: taken for none, the whole list was
        # fetched over and over, and every sidecar's calls queued behind these.
        self.version: int | None = None
        self.watching: Task | None = None
        self.before: Task | None = None  # the watch at the address left, until the one that follows it stands

    def watch(self, on: bool) -> None:
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
        try:
            channel = yield from self._connect()
            try:
                update, addresses = yield from self._call(channel, PATH, 0)
            finally:
                channel.close()
        except CallFailed as error:
            log(f"discovery: list failed: {error}")
            self._fail()
        else:
            self.told(update, addresses)

    def _follow(self, version: int | None) -> Coroutine[None]:
        """One call after another over one connection: the next starts at once, so that the watch goes on."""
        address = self.address
        try:
            channel = yield from self._connect()
            try:
                first = True
                while True:
                    asked_at = self.loop.now()
                    target, wait = PATH, 0
                    if version is not None:
                        target, wait = f"{PATH}?after={version}&wait_ms={WAIT // MS}", WAIT
                    update, addresses = yield from self._call(channel, target, wait)
                    if address == self.address:
                        self._drop_before()
                    # The first answer of a watch is told with or without news: the watch stands.
                    if first or update.endpoints or update.version != version:
                        self.version = version = update.version
                        self.told(update, addresses)
                    first = False
                    # One that answers at once with no news would be called in a tight loop.
                    yield Wait(None, 0, asked_at + CALLS_APART)
                    if channel.whole() and not channel.more():
                        channel.renew()
                    else:
                        channel.close()
                        channel = yield from self._connect()
            finally:
                channel.close()
        except CallFailed as error:
            if address == self.address:  # else it was left, and another goes on
                log(f"discovery: watch failed: {error}")
                self._fail()

    def _connect(self) -> Coroutine[Channel]:
        try:
            return (yield from connect(self.loop, self.address, CONNECT_WITHIN, self.loop.now() + SECOND))
        except NotUp:
            raise CallFailed("not up") from None

    def _call(
        self, channel: Channel, target: str, wait: int
    ) -> Coroutine[tuple[MembershipUpdate, dict[str, str]]]:
        until = self.loop.now() + wait + SILENT_AFTER
        try:
            head = f"GET {target} HTTP/1.1\r\nHost: {channel.address}\r\n\r\n"
            yield from channel.send([head.encode()], until)
            answer = yield from channel.next_event(until)
            if not isinstance(answer, h11.Response):
                raise CallFailed("no answer")
            body = yield from channel.body(until)
        except TookTooLong:
            raise CallFailed("silent") from None
        except (OSError, h11.RemoteProtocolError, TooLarge) as error:
            raise CallFailed(f"broken: {error}") from None
        if answer.status_code != 200:
            raise CallFailed(f"answered {answer.status_code}")
        try:
            return read_list(ujson.loads(b"".join(body)))
        except (ValueError, KeyError, TypeError) as error:
            raise CallFailed(f"not a list: {error!r}") from None
