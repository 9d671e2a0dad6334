"""HTTP requests and responses as the frontend and the backend exchange them, and which fields are forwarded. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple, Protocol

from loftweir.net.loop import Coroutine

# Fields that concern one connection only, or that a sidecar writes itself. They are never forwarded.
HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
    + (b"content-length", b"expect", b"srv-declined", b"srv-load", b"req-deadline-ms")
)
# Without these fields a message has another meaning, so they are forwarded even if its Connection field names them.
END_TO_END = frozenset((b"host", b"req-id", b"req-kind", b"idempotency-key", b"content-type"))

Pairs = list[tuple[bytes, bytes]]  # names and values in the order of their arrival
Fields = dict[bytes, bytes]  # by name in lower case


class BodyStream(Protocol):
    """A long body that is forwarded as it arrives, one piece at a time."""

    length: int | None  # bytes in all; None: not known in advance

    def pull(self) -> Coroutine[bytes]:
        """Return the next piece, which is empty at the end. Raises OSError, TimedOut or TooLarge if the body fails."""

    def close(self) -> None:
        """End it: nothing more is pulled. Whoever received the stream has to call this."""


class HttpResponse(NamedTuple):
    """A response to a client, without the fields that its connection needs."""

    status: int
    reason: bytes
    lines: bytes  # its fields, each ended by CR LF
    body: list[bytes] | BodyStream


class RequestHead(NamedTuple):
    """The parsed head of a request. It takes many times the memory of its bytes, so it is not kept."""

    method: bytes
    target: bytes
    pairs: Pairs
    fields: Fields


class HttpRequest(NamedTuple):
    """A request as attempts forward it."""

    method: bytes
    target: bytes
    lines: bytes  # its end-to-end fields, each ended by CR LF
    has_host: bool  # whether they include Host
    body: list[bytes] | BodyStream


def by_name(pairs: Iterable[tuple[bytes, bytes]]) -> Fields:
    """Return fields by their names in lower case; of several with one name, the last."""
    return {name.lower(): value for name, value in pairs}


def end_to_end_lines(pairs: Pairs, fields: Fields) -> bytes:
    """Return the lines of the end-to-end fields of a head. The fields were checked when they were read."""
    dropped = HOP_BY_HOP
    if b"connection" in fields:
        named = b",".join(value for name, value in pairs if name.lower() == b"connection").lower()
        dropped = dropped | ({name.strip() for name in named.split(b",")} - END_TO_END)
    return b"".join([b"%s: %s\r\n" % pair for pair in pairs if pair[0].lower() not in dropped])


def forwardable(head: RequestHead, body: list[bytes] | BodyStream) -> HttpRequest:
    """Return the request that is forwarded for a head and a body."""
    lines = end_to_end_lines(head.pairs, head.fields)
    return HttpRequest(head.method, head.target, lines, b"host" in head.fields, body)


def text_response(status: int, text: str, *headers: tuple[str, str]) -> HttpResponse:
    """Return a plain-text response of the sidecar's own."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    lines += "Content-Type: text/plain; charset=utf-8\r\n"
    return HttpResponse(status, HTTPStatus(status).phrase.encode(), lines.encode(), [f"{text}\n".encode()])
