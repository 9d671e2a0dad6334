"""`Req-Key`: what a request concerns reaches the balancer as the simulator hands it over; a bad one is dropped."""

from loftweir.http1.front import taken
from loftweir.http1.message import Message, by_name
from loftweir.interface import Effect, RequestClass, Safety, Settings

SECOND = 1_000_000_000
READ = RequestClass("status-read", Effect.REPEATABLE, aim=SECOND // 2, deadline=3 * SECOND)
SAFETY = Safety(
    answer_grace=SECOND // 50, drain_grace=SECOND // 2, cold_from=0.2, warm_within=20 * SECOND,
    fall_multiple=2.5, fall_after=SECOND,
)
SETTINGS = Settings("a", ("a",), {READ.name: READ}, SAFETY)


def key_of(*more):
    pairs = [(b"Req-Id", b"r1"), (b"Req-Kind", b"status-read"), *more]
    message = Message(b"GET", b"/api", pairs, by_name(pairs), [])
    return taken(message, SETTINGS, False).event(0.0).key


def test_the_key_is_handed_over_and_a_missing_or_bad_one_is_none():
    assert key_of((b"Req-Key", b"7f3a9c21e0b4d655")) == "7f3a9c21e0b4d655"
    assert key_of() is None
    assert key_of((b"Req-Key", "nøkkel".encode())) is None
