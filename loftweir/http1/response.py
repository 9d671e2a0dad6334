"""Answers to clients: what each outcome is in HTTP, and how an answer is written."""

from __future__ import annotations

import socket
import struct
from functools import lru_cache

import h11

from loftweir.core.invocation import AnswerKind, FinalAnswer
from loftweir.http1.message import BodyStream, HttpResponse, plain
from loftweir.http1.request import BadRequest
from loftweir.net.loop import MS, Coroutine, Loop
from loftweir.net.stream import TimedOut, TooLarge, send

BODY_RETRY_AFTER = 500 * MS  # when a request that found no room for its body is to come again
STATUSES = {AnswerKind.FAILED: 502, AnswerKind.LATE: 504, AnswerKind.BROKEN: 500}
CONNECTION_CLOSE = b"Connection: close\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


def answered(final: FinalAnswer) -> HttpResponse:
    """The answer that an invocation's outcome is in HTTP."""
    if final.kind is AnswerKind.SERVED:
        assert isinstance(final.payload, HttpResponse)
        return final.payload
    if final.kind is AnswerKind.REJECTED:
        return rejection(max(1, final.after // MS) if final.after > 0 else 0)
    return plain(STATUSES[final.kind], "failed")


@lru_cache(maxsize=4096)
def rejection(after_ms: int) -> HttpResponse:
    """Kept for each whole millisecond: when there is most to reject, there is least time for it."""
    headers = [("retry-after", f"{after_ms / 1000:.3f}")] if after_ms > 0 else []
    return plain(503, "rejected", *headers)


def client_error(error: Exception, largest_body: int) -> HttpResponse | None:
    """The answer to a request that could not be read or taken; None: the error is no fault of the client."""
    if isinstance(error, h11.RemoteProtocolError):
        return plain(error.error_status_hint, "malformed HTTP")
    if isinstance(error, BadRequest):
        return plain(error.status, str(error), *error.headers)
    if isinstance(error, TooLarge):
        return plain(413, f"a body holds {largest_body} bytes at most")
    if isinstance(error, TimedOut):
        return plain(408, "the request did not come")
    return None


def begin_head(status: int, reason: bytes, lines: bytes, last: bool) -> bytes:
    """The head of an answer but for its framing; `last`: the connection ends with it."""
    close = CONNECTION_CLOSE if last else b""
    return b"HTTP/1.1 %d %s\r\n%s%s" % (status, reason, lines, close)


def whole_message(head: bytes, body: list[bytes], with_body: bool) -> list[bytes]:
    """The parts of an answer whose body is here, from the beginning of its head."""
    size = len(body[0]) if len(body) == 1 else sum(map(len, body))
    head += b"Content-Length: %d\r\n\r\n" % size
    return [head, *body] if with_body else [head]


def stream(
    loop: Loop, sock: socket.socket, head: bytes, flow: BodyStream, knows_chunks: bool, write_within: int
) -> Coroutine[None]:
    """Writes a long answer, a piece at a time. One that breaks ends in a reset: whatever its framing, the client can
    tell that it is not whole."""
    chunked = flow.length is None and knows_chunks
    parts = [head + _framing(flow.length, chunked)]
    whole = False
    try:
        while not whole:
            piece = yield from flow.pull()
            whole = not piece
            if chunked:
                parts += [b"%x\r\n" % len(piece), piece, b"\r\n"]
            elif piece:
                parts.append(piece)
            yield from send(loop, sock, parts, loop.time + write_within)
    except TooLarge:
        raise ConnectionAbortedError("the answer is over limits.answer") from None
    finally:
        flow.close()
        if not whole:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def _framing(length: int | None, chunked: bool) -> bytes:
    if length is not None:
        return b"Content-Length: %d\r\n\r\n" % length
    if chunked:
        return b"Transfer-Encoding: chunked\r\n\r\n"
    return b"\r\n"  # a client that knows no chunks reads until the end of the connection, which follows the answer
