"""HTTP responses to clients: the mapping of final answers and errors, and writing a response."""

from __future__ import annotations

import socket
import struct
from functools import lru_cache

import h11

from loftweir.core.invocation import AnswerKind, FinalAnswer
from loftweir.http1.message import BodyStream, HttpResponse, text_response
from loftweir.http1.request import BadRequest
from loftweir.net.loop import MS, Coroutine, Loop
from loftweir.net.memory import TooLarge
from loftweir.net.progress import ReadProgress, send_as_read
from loftweir.net.stream import TimedOut

BODY_RETRY_AFTER = 500 * MS  # when a client should retry a request for whose body there was no memory
STATUSES = {AnswerKind.FAILED: 502, AnswerKind.LATE: 504, AnswerKind.BROKEN: 500}
CONNECTION_CLOSE = b"Connection: close\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on with no time: close() resets the connection


def final_response(final: FinalAnswer) -> HttpResponse:
    """Return the HTTP response for a final answer."""
    if final.kind is AnswerKind.SERVED:
        assert isinstance(final.payload, HttpResponse)
        return final.payload
    if final.kind is AnswerKind.REJECTED:
        return rejection(max(1, final.after // MS) if final.after > 0 else 0)
    return text_response(STATUSES[final.kind], "failed")


@lru_cache(maxsize=4096)
def rejection(after_ms: int) -> HttpResponse:
    """Return the response of a rejection; cached for each millisecond, since under overload there are many of them."""
    headers = [("retry-after", f"{after_ms / 1000:.3f}")] if after_ms > 0 else []
    return text_response(503, "rejected", *headers)


def client_error(error: Exception, largest_body: int) -> HttpResponse | None:
    """Return the response to a request that could not be read or taken; None if that is not the client's fault."""
    if isinstance(error, h11.RemoteProtocolError):
        return text_response(error.error_status_hint, "malformed HTTP")
    if isinstance(error, BadRequest):
        return text_response(error.status, str(error), *error.headers)
    if isinstance(error, TooLarge):
        return text_response(413, f"a body holds {largest_body} bytes at most")
    if isinstance(error, TimedOut):
        return text_response(408, "the request did not come")
    return None


def begin_head(status: int, reason: bytes, lines: bytes, last: bool) -> bytes:
    """Return the head of a response without its framing; `last`: the connection is closed after it."""
    close = CONNECTION_CLOSE if last else b""
    return b"HTTP/1.1 %d %s\r\n%s%s" % (status, reason, lines, close)


def whole_message(head: bytes, body: list[bytes], with_body: bool) -> list[bytes]:
    """Return the parts of a response whose whole body is there; `head` is its head without the framing."""
    size = len(body[0]) if len(body) == 1 else sum(map(len, body))
    head += b"Content-Length: %d\r\n\r\n" % size
    return [head, *body] if with_body else [head]


def stream(
    loop: Loop, sock: socket.socket, head: bytes, body: BodyStream, can_chunk: bool, silent_for: int
) -> Coroutine[None]:
    """Write a long response, one piece at a time; a client that takes nothing for `silent_for` ns is given up.

    If it fails, the connection is reset, so that the client can tell that the response is incomplete, whatever its
    framing.
    """
    progress = ReadProgress(loop, sock, silent_for)
    chunked = body.length is None and can_chunk
    whole = False
    try:
        # The head does not wait for the body, whose first bytes may arrive much later.
        yield from send_as_read(sock, [head + _framing(body.length, chunked)], progress)
        while not whole:
            piece = yield from body.pull()
            whole = not piece
            parts = [b"%x\r\n" % len(piece), piece, b"\r\n"] if chunked else [piece]
            del piece  # else it is in memory until the next one arrives
            yield from send_as_read(sock, parts, progress)
    except TooLarge:
        raise ConnectionAbortedError("the response is larger than limits.answer") from None
    finally:
        body.close()
        if not whole:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def _framing(length: int | None, chunked: bool) -> bytes:
    """Return the fields that frame a long body, and the end of the head."""
    if length is not None:
        return b"Content-Length: %d\r\n\r\n" % length
    if chunked:
        return b"Transfer-Encoding: chunked\r\n\r\n"
    return b"\r\n"  # an HTTP/1.0 client reads until the connection is closed, which follows the response
