"""What is passed on of a message, and the answers of the sidecar's own. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple, Protocol

from loftweir.net.loop import Coroutine

# Fields that speak of one connection only, or that a sidecar writes anew: never passed on.
OF_THE_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
    + (b"content-length", b"expect", b"srv-declined", b"srv-load", b"req-deadline-ms")
)
# A message means something else without these: naming them in its Connection field takes none of them off.
OF_THE_MESSAGE = frozenset((b"host", b"req-id", b"req-kind", b"idempotency-key", b"content-type"))

Pairs = list[tuple[bytes, bytes]]
Fields = dict[bytes, bytes]


class BodyStream(Protocol):
    """A long body that is passed on as it comes, a piece at a time."""

    length: int | None  # bytes in all; None: it ends when it ends

    def pull(self) -> Coroutine[bytes]:
        """The next piece; empty: it has ended. OSError, TimedOut, TooLarge where it breaks."""

    def close(self) -> None:
        """Nothing more is pulled. Whoever was given it calls this."""


class HttpResponse(NamedTuple):
    """A final answer, but for the fields that its connection needs."""

    status: int
    reason: bytes
    lines: bytes  # its fields, each with its CR LF
    body: list[bytes] | BodyStream


class HttpRequest(NamedTuple):
    """A request as it came: what a call passes on."""

    method: bytes
    target: bytes
    pairs: Pairs
    fields: Fields
    body: list[bytes] | BodyStream


def by_name(pairs: Iterable[tuple[bytes, bytes]]) -> Fields:
    """Fields by their names in small letters; of several of one name, the last."""
    return {name.lower(): value for name, value in pairs}


def passed_on(pairs: Pairs, fields: Fields) -> bytes:
    """The lines of the end-to-end fields of a head, as they came. They have been checked as they were read."""
    left_out = OF_THE_HOP
    if b"connection" in fields:
        named = b",".join(value for name, value in pairs if name.lower() == b"connection").lower()
        left_out = left_out | ({name.strip() for name in named.split(b",")} - OF_THE_MESSAGE)
    return b"".join([b"%s: %s\r\n" % pair for pair in pairs if pair[0].lower() not in left_out])


def plain(status: int, text: str, *headers: tuple[str, str]) -> HttpResponse:
    """An answer of the sidecar's own."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    lines += "Content-Type: text/plain; charset=utf-8\r\n"
    return HttpResponse(status, HTTPStatus(status).phrase.encode(), lines.encode(), [f"{text}\n".encode()])
