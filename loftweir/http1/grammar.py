"""A fast parser for HTTP/1.1 heads in their common form. No I/O.

h11 parses every valid message, and rejects whatever could hide another message; it also takes half of the time of a
request. Nearly all messages have a plain form that can't be read in two ways. Those are parsed here. Everything else,
whether wrong or merely unusual, goes to h11 as it arrived. So nothing is accepted that h11 rejects, and nothing is read
differently: the tests compare the two parsers, byte by byte.

The common form is deliberately narrower than the grammar (RFC 9112):

- a whole head of at most HEAD_LIMIT bytes in what is read first;
- HTTP/1.1; lines ended by CR LF; `Name: value` with one space; values of printable ASCII that neither begin nor end
  with a space, and are not empty;
- no field twice, since implementations differ in which of two counts;
- no Transfer-Encoding, Expect, Upgrade, Trailer or TE; Connection only as `keep-alive`;
- requests: GET and POST in origin form, with Host;
- responses: a final response with Content-Length, whose status has a body.

Each check is one pass of a bytes method over the whole head; docs/design/data-path.md compares it with httptools.
"""

from __future__ import annotations

from typing import NamedTuple

HEAD_LIMIT = 8192  # bytes; h11 reads longer ones
END = b"\r\n\r\n"  # of a head
KNOWN_NAMES = 256  # field names that are cached; clients choose names, so their number must be bounded
PRINTABLE = bytes(range(0x20, 0x7F))
ALLOWED = PRINTABLE + b"\r\n"
TOKEN = b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
WITHOUT_BODY = (b"204", b"304")  # statuses without a body, whatever Content-Length says
# Fields that change how a message is framed or handled: such a message goes to h11.
UNUSUAL = frozenset((b"transfer-encoding", b"expect", b"upgrade", b"trailer", b"te"))

# Cache of field names that are valid tokens, with their form in lower case.
known: dict[bytes, bytes] = {}


class Head(NamedTuple):
    """A parsed head, and the length of the body that follows it."""

    first: bytes  # method or status
    second: bytes  # target or reason
    pairs: list[tuple[bytes, bytes]]  # the fields as they arrived
    fields: dict[bytes, bytes]  # the same by their names in lower case
    length: int  # of the body, in bytes
    end: int  # where the head ends in the data that was read


def _lower(name: bytes) -> bytes:
    """Return a field name in lower case; empty if it is not a token."""
    if not name or name.translate(None, TOKEN):
        return b""
    lower = name.lower()
    if len(known) < KNOWN_NAMES:
        known[name] = lower
    return lower


def _read(data: bytes) -> tuple[list[bytes], list[tuple[bytes, bytes]], dict[bytes, bytes], int, int] | None:
    """Parse a head; return None unless it is whole and in the common form.

    Returns the three words of the start line, the fields twice, Content-Length (-1: there is none) and the head's end.
    """
    end = data.find(END)
    if not 0 < end <= HEAD_LIMIT:
        return None
    head = data[:end]
    # Only printable characters and line ends, and no space that some implementations strip and others keep: inside
    # names, around values, at line ends.
    if head.translate(None, ALLOWED) or b" \r" in head or b":  " in head or head.endswith(b" "):
        return None
    lines = head.split(b"\r\n")
    field_count = len(lines) - 1
    if head.count(b"\r") != field_count or head.count(b"\n") != field_count:
        return None
    pairs: list[tuple[bytes, bytes]] = []
    fields: dict[bytes, bytes] = {}
    for line in lines[1:]:
        name, sign, value = line.partition(b": ")
        lower = known.get(name) or _lower(name)
        if not lower or not sign:
            return None
        pairs.append((name, value))
        fields[lower] = value
    if len(fields) != field_count or not UNUSUAL.isdisjoint(fields):
        return None
    connection = fields.get(b"connection")
    if connection is not None and connection.lower() != b"keep-alive":
        return None
    length = fields.get(b"content-length", b"")
    if length and (not length.isdigit() or len(length) > 9):
        return None
    words = lines[0].split(b" ", 2)
    return (words, pairs, fields, int(length) if length else -1, end + 4) if len(words) == 3 else None


def request(data: bytes) -> Head | None:
    """Parse the head of a request at the beginning of `data`; None if it is not in the common form, or not whole."""
    read = _read(data)
    if read is None:
        return None
    words, pairs, fields, length, end = read
    if words[2] != b"HTTP/1.1" or b"host" not in fields:
        return None
    method, target, _ = words
    if method not in (b"GET", b"POST") or not target.startswith(b"/"):
        return None
    return Head(method, target, pairs, fields, max(0, length), end)


def response(data: bytes) -> Head | None:
    """Parse the head of a final response to a GET or POST at the beginning of `data`; None as for `request`."""
    read = _read(data)
    if read is None:
        return None
    words, pairs, fields, length, end = read
    if words[0] != b"HTTP/1.1" or length < 0:
        return None
    _, status, reason = words
    if len(status) != 3 or not status.isdigit() or not b"200" <= status < b"600" or status in WITHOUT_BODY:
        return None
    if reason.startswith(b" "):
        return None
    return Head(status, reason, pairs, fields, length, end)
