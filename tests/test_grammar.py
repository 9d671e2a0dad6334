"""The fast parser against h11, the reference: whatever it accepts, h11 reads in the same way, at every cut."""

import random

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftweir.http1 import grammar

REQUEST = (
    b"POST /api?x=1 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: 9b1f\r\nReq-Kind: apply-submit\r\n"
    b"Req-Deadline-Ms: 480\r\nContent-Length: 5\r\n\r\nhello"
)
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nSrv-Load: queue=2\r\nContent-Length: 5\r\n\r\nhello"


def read_by_h11(role, data):
    """How h11 reads the data: the head, the body and the data behind it; None if it rejects it or it is incomplete."""
    connection = h11.Connection(role)
    if role is h11.CLIENT:
        connection.send(h11.Request(method="POST", target="/", headers=[("Host", "x"), ("Content-Length", "0")]))
        connection.send(h11.EndOfMessage())
    connection.receive_data(data)
    try:
        head, body = connection.next_event(), b""
        if not isinstance(head, h11.Request | h11.Response):
            return None
        while isinstance(event := connection.next_event(), h11.Data):
            body += event.data
    except h11.RemoteProtocolError:
        return None
    if not isinstance(event, h11.EndOfMessage):
        return None
    start = (head.method, head.target) if isinstance(head, h11.Request) else (b"%d" % head.status_code, head.reason)
    reusable = connection.their_state is h11.DONE
    return start, list(head.headers.raw_items()), body, bytes(connection.trailing_data[0]), reusable


def read_fast(role, data):
    """How the fast parser reads the data; None if it leaves it to h11 or it is incomplete."""
    head = (grammar.request if role is h11.SERVER else grammar.response)(data)
    if head is None or len(data) < head.end + head.length:
        return None
    end = head.end + head.length
    return (head.first, head.second), head.pairs, data[head.end : end], data[end:], True


def check_agreement(role, data):
    """Check that h11 reads the data in the same way if the fast parser reads it; return what the latter read."""
    fast = read_fast(role, data)
    if fast is not None:
        assert fast == read_by_h11(role, data), data
    return fast


@pytest.mark.parametrize(("role", "data"), [(h11.SERVER, REQUEST), (h11.CLIENT, RESPONSE)])
def test_the_common_form_is_read_as_h11_reads_it_and_only_when_it_is_whole(role, data):
    assert check_agreement(role, data) is not None
    assert check_agreement(role, data + data) is not None, "with another message right behind"
    for cut in range(len(data)):
        assert check_agreement(role, data[:cut]) is None


@pytest.mark.parametrize(
    "line",
    [
        b"Transfer-Encoding: chunked",
        b"Content-Length: 5",
        b"Content-Length: 6",
        b"content-length: 5",
        b"Te: trailers",
        b"Expect: 100-continue",
        b"Upgrade: h2c",
        b"Connection: close",
        b"Connection: keep-alive, x",
        b"Host: other",
        b"X : y",
        b"X:y",
        b"X:  y",
        b"X: y ",
        b"X: ",
        b"X:",
        b": y",
        b"X",
        b" X: y",
        b"X: a\tb",
        b"X: \xe9",
        b"X: a\x00",
        b"X: a\rb",
        b"X: a\nb",
        b"X: a\n y: b",
        b"X: a\r\n folded",
        b"(X): y",
        b"X\xe9: y",
        b"\x0bX: y",
        b"X: y\x7f",
        b"Trailer: X",
        b"Req-Id: twice",
    ],
)
@pytest.mark.parametrize(("role", "data"), [(h11.SERVER, REQUEST), (h11.CLIENT, RESPONSE)])
def test_unusual_fields_are_left_to_h11(role, data, line):
    head, _, body = data.partition(b"\r\n\r\n")
    if line in (b"Host: other", b"Req-Id: twice") and role is h11.CLIENT:
        return  # a response may have these
    for place in (head + b"\r\n" + line, head.replace(b"\r\n", b"\r\n" + line + b"\r\n", 1)):
        assert read_fast(role, place + b"\r\n\r\n" + body) is None


@pytest.mark.parametrize(
    "data",
    [
        REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"),
        REQUEST.replace(b"HTTP/1.1", b"HTTP/1.1 "),
        REQUEST.replace(b"POST", b"PUT"),
        REQUEST.replace(b"POST ", b"POST  "),
        REQUEST.replace(b"/api", b"http://x/api"),
        REQUEST.replace(b"/api", b"*"),
        REQUEST.replace(b"\r\n", b"\n"),
        REQUEST.replace(b"Host", b"Ghost"),
        REQUEST.replace(b": 5", b": +5"),
        REQUEST.replace(b": 5", b": 5,5"),
        REQUEST.replace(b": 5", b": 0x5"),
        REQUEST.replace(b": 5", b": 9999999999"),
        b"\r\n" + REQUEST,
        b"X" * 9000,
        b"\r\n\r\n",
        b"",
        REQUEST.replace(b"9b1f", b"x" * 9000),
    ],
)
def test_other_requests_are_left_to_h11(data):
    assert read_fast(h11.SERVER, data) is None


@pytest.mark.parametrize(
    "data",
    [
        RESPONSE.replace(b"200", b"204"),
        RESPONSE.replace(b"200", b"304"),
        RESPONSE.replace(b"200", b"100"),
        RESPONSE.replace(b"200", b"2000"),
        RESPONSE.replace(b"200", b"20"),
        RESPONSE.replace(b"200", b"600"),
        RESPONSE.replace(b"200 OK", b"200"),
        RESPONSE.replace(b"200 OK", b"200  OK"),
        RESPONSE.replace(b"1.1", b"1.0"),
        RESPONSE.replace(b"Content-Length: 5\r\n", b""),
        b"\r\n" + RESPONSE,
        RESPONSE.replace(b"HTTP", b"http"),
    ],
)
def test_other_responses_are_left_to_h11(data):
    assert read_fast(h11.CLIENT, data) is None


PIECES = [
    b"\r\n",
    b"\n",
    b"\r",
    b" ",
    b"  ",
    b"\t",
    b":",
    b": ",
    b"\x00",
    b"\x7f",
    b"\xff",
    b"\r\n ",
    b"\r\n\r\n",
    b"0",
    b"Content-Length: 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"Host: y\r\n",
    b"X: y\r\n",
    b"Connection: Keep-Alive\r\n",
    b"HTTP/1.1",
    b"GET / ",
    b"5\r\nhello\r\n0\r\n\r\n",
    b",",
    b";",
    b"x",
]


@pytest.mark.parametrize("seed", range(8))
def test_fuzzed_data_is_read_as_by_h11_or_left_to_h11(seed):
    """Messages changed at one to four places, with pieces on which parsers differ."""
    draw, read = random.Random(seed), 0
    for _ in range(4000):
        role, data = draw.choice([(h11.SERVER, REQUEST), (h11.CLIENT, RESPONSE)])
        mutated = bytearray(data)
        for _ in range(draw.randint(1, 4)):
            at = draw.randrange(len(mutated) + 1)
            mutated[at : at + draw.choice([0, 0, 1, 2])] = draw.choice(PIECES)
        read += check_agreement(role, bytes(mutated)) is not None
    assert read > 50, "some of them are valid"


TOKENS = st.text("abcXYZ-_!", min_size=1, max_size=8)
VALUES = st.text(st.characters(min_codepoint=1, max_codepoint=255), max_size=12)


@settings(max_examples=400)
@given(
    st.sampled_from([h11.SERVER, h11.CLIENT]),
    st.lists(st.tuples(TOKENS, st.sampled_from([": ", ":", " : ", ":  "]), VALUES), max_size=5),
    st.binary(max_size=12),
)
def test_any_fields_are_read_as_by_h11_or_left_to_h11(role, fields, tail):
    start = b"GET /api HTTP/1.1\r\nHost: x" if role is h11.SERVER else b"HTTP/1.1 200 OK\r\nContent-Length: 3"
    lines = [start, *(f"{name}{sign}{value}".encode("latin-1") for name, sign, value in fields)]
    check_agreement(role, b"\r\n".join(lines) + b"\r\n\r\n" + tail)


def test_field_names_that_clients_make_up_take_bounded_memory():
    for number in range(3 * grammar.KNOWN_NAMES):
        check_agreement(h11.SERVER, REQUEST.replace(b"Req-Id", b"X-%d" % number))
    assert len(grammar.known) <= grammar.KNOWN_NAMES
