"""`Req-Key`, which names what a request concerns, is passed to the balancer; one that is not ASCII is dropped."""

from support import settings

from loftweir.http1.message import RequestHead, by_name
from loftweir.http1.request import to_invocation


def key_of(*more):
    """The key of a request with these additional fields."""
    pairs = [(b"Req-Id", b"r1"), (b"Req-Kind", b"read"), *more]
    head = RequestHead(b"GET", b"/api", pairs, by_name(pairs))
    return to_invocation(head, [], settings(), False).event(0.0).key


def test_the_key_is_passed_on_and_a_missing_or_bad_one_is_none():
    assert key_of((b"Req-Key", b"7f3a9c21e0b4d655")) == "7f3a9c21e0b4d655"
    assert key_of() is None
    assert key_of((b"Req-Key", "nøkkel".encode())) is None
