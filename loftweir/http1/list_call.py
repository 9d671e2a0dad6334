"""One call to discovery: its request, its response with a list, and the ways in which it fails."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from socket import socket
from typing import NamedTuple

import h11
import ujson

from loftweir.config.lists import NotAList, read_list
from loftweir.config.model import Discovery
from loftweir.errors import LoftweirError
from loftweir.http1.strict import H11Reader, fixed
from loftweir.interface import MembershipUpdate
from loftweir.net.loop import Coroutine, Loop
from loftweir.net.memory import TooLarge
from loftweir.net.stream import TimedOut, send

PATH = "/catalog/members"


class CallFailed(LoftweirError):
    """A call to discovery returned no list, for the reason given. The sidecar continues with the list that it has."""

    remedy = "If it persists, check that discovery runs at the address named and answers `GET /catalog/members`."


class ListResponse(NamedTuple):
    """One response of discovery."""

    update: MembershipUpdate
    addresses: dict[str, str]
    reusable: bool  # whether its connection can be used again
    received_at: int  # when its first bytes were read: the list is as of then


class Silent(CallFailed):
    """Discovery did not answer a call, or not completely, in time. The call was repeated at once."""

    remedy = "See whether discovery's machine hangs or is cut off from this one. Drains are not seen meanwhile."

    def __init__(self, why: str, keep_waiting: Callable[[int], Coroutine[ListResponse]] | None = None) -> None:
        super().__init__(why)
        self.keep_waiting = keep_waiting  # waits for the response until a later time; None if part of it has arrived


class Refused(CallFailed):
    """Discovery answered at once that it has too many calls to take this one. The sidecar calls again soon."""

    remedy = "If it persists, discovery has more callers than it can answer: increase its capacity."

    def __init__(self, why: str, reusable: bool = False) -> None:
        super().__init__(why)
        self.reusable = reusable  # whether the connection of the call can be used again


class ListCall(NamedTuple):
    """A call, as of its start: what decides whether its list is newer than the current one (`Discovery._apply`)."""

    source: int  # the discovery address that was called; see `Discovery.source`
    updates: int  # how many new lists had been received
    version: int | None  # it asked for the changes after this version; None: for the whole list
    at: int  # when it began, before its connecting
    wait: int = 0  # how long discovery may keep it open while there is no change


def request_list(
    loop: Loop, limits: Discovery, sock: socket, host: str, target: str, until: int
) -> Coroutine[ListResponse]:
    """Make one call over an open connection; raise `CallFailed`, `Silent` or `Refused`."""
    reader = H11Reader(sock, h11.CLIENT)
    head = f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n"
    try:
        yield from send(loop, sock, [head.encode()], until)
    except TimedOut:
        raise Silent("silent") from None
    except OSError as error:
        raise CallFailed(f"broken: {error}") from None
    return (yield from _read_response(loop, limits, reader, until))


def _read_response(loop: Loop, limits: Discovery, reader: H11Reader, until: int) -> Coroutine[ListResponse]:
    """Read the response to a call. Once it has begun it must be complete soon; otherwise it counts as silent."""
    try:
        head = yield from reader.next_event(fixed(until))
    except TimedOut:
        raise Silent("silent", partial(_read_response, loop, limits, reader)) from None
    except (OSError, h11.RemoteProtocolError) as error:
        raise CallFailed(f"broken: {error}") from None
    if not isinstance(head, h11.Response):
        raise CallFailed("no answer")
    received_at = loop.now()
    complete_by = min(until, received_at + limits.answer_within)
    try:
        body = yield from reader.body(lambda _: complete_by, limits.list_size)
    except TimedOut:
        raise Silent("silent") from None
    except (OSError, h11.RemoteProtocolError, TooLarge) as error:
        raise CallFailed(f"broken: {error}") from None
    reusable = reader.whole() and not reader.rest()
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
