"""The operators' part without sockets: calls, what they said and how it merges, the list that holds, the life."""

from contextlib import suppress

from hypothesis import given
from hypothesis import strategies as st
from support import SECOND, attempts, endpoint, full_list, list_changes, make_balancer, request

from loftweir.core.life import TABLE, TRAITS, Life, State, Step
from loftweir.interface import Lifecycle, MembershipUpdate, UpdateKind
from loftweir.net.loop import Loop
from loftweir.operations.calls import ARGUMENTS, MAX_LINE_BYTES, No, OperatorCommand, Verb, error_answer, parse_command
from loftweir.operations.command_handler import CommandHandler
from loftweir.operations.overlay import Overlay
from loftweir.operations.record import HOUR, Override, OverrideRecord, decode, encode
from loftweir.state.sealed import Damaged

IDS = st.sampled_from(["s-1", "s-2", "s-3"])
SAID = st.builds(Override, st.integers(0, 5), st.booleans())
RECORDS = st.builds(OverrideRecord, st.dictionaries(IDS, SAID, max_size=3), SAID)


def refused(line):
    try:
        return parse_command(line)
    except No as reason:
        return error_answer(reason)


def test_calls_are_read_and_what_is_none_gets_one_line_that_says_why():
    assert parse_command(b"READY") == OperatorCommand(Verb.READY)
    assert parse_command(b"  DISABLE   s-1  ") == OperatorCommand(Verb.DISABLE, "s-1")
    long = b"x" * (MAX_LINE_BYTES + 1)
    for line in (b"", b"ready", b"DISABLE", b"DISABLE a b", b"READY x", b"ENABLE \xff", long, b"DRAIN\x00"):
        answer = refused(line)
        assert isinstance(answer, bytes) and answer.startswith(b"ERR ") and answer.count(b"\n") == 1, line


@given(st.binary(max_size=60))
def test_any_line_is_a_call_or_one_line_of_answer(line):
    found = refused(line)
    if isinstance(found, bytes):
        assert found.startswith(b"ERR ") and found.endswith(b"\n") and found.count(b"\n") == 1
    else:
        assert bool(found.id) == bool(ARGUMENTS[found.verb])


@given(RECORDS, RECORDS, RECORDS)
def test_merging_asks_neither_for_order_nor_for_how_often(a, b, c):
    assert a.merged(b) == b.merged(a)
    assert a.merged(b.merged(c)) == a.merged(b).merged(c)
    assert a.merged(a) == a


@given(RECORDS, RECORDS, IDS, st.booleans(), st.integers(0, 5))
def test_a_later_word_holds_against_all_that_was_known_and_nothing_else_takes_it_back(a, b, name, on, now):
    known = a.merged(b)
    said = known.with_override(name, on, now)
    assert said.merged(a).merged(b).is_disabled(name) is on
    assert known.with_drain(on, now).merged(a).merged(b).drain.active is on


@given(RECORDS, st.binary(max_size=4), st.integers(0, 200))
def test_a_record_comes_back_whole_and_a_damaged_one_is_known_as_such(record, noise, at):
    data = encode(record)
    assert decode(data) == record
    for broken in (data[:at], data[:at] + noise + data[at + len(noise) + 1 :], noise):
        with suppress(Damaged):
            assert decode(broken) == record


def test_a_record_of_another_version_or_form_is_not_read():
    data = encode(OverrideRecord({"s": Override(1, True)}))
    for other in (data.replace(b" 1 ", b" 2 ", 1), b"", b"loftweir-operators 1\n{}", b"\xff" * 50):
        try:
            raise AssertionError(decode(other))
        except Damaged as error:
            assert str(error)


def test_only_what_was_called_back_long_ago_is_left_out():
    record = OverrideRecord({"a": Override(1, True), "b": Override(1, False), "c": Override(2 * HOUR, False)})
    assert set(record.pruned(2 * HOUR).overrides) == {"a", "c"}


def addresses(update):
    return {e.address: f"at-{e.address}" for e in update.endpoints}


def told(overlay, update):
    return {e.address: e for e in overlay.update(update, addresses(update))[0].endpoints}


def test_who_is_out_drains_whatever_the_list_says_and_comes_back_cold():
    overlay, record = Overlay(), OverrideRecord().with_override("s-1", True, 50)
    assert told(overlay, full_list(endpoint("s-1"), endpoint("s-2")))["s-1"].lifecycle is Lifecycle.READY
    update, where = overlay.apply_record(record)
    assert [e.lifecycle for e in update.endpoints] == [Lifecycle.DRAINING] and where == {"s-1": "at-s-1"}
    assert told(overlay, list_changes(endpoint("s-1", started_at=60)))["s-1"].lifecycle is Lifecycle.DRAINING
    gone = endpoint("s-1", lifecycle=Lifecycle.GONE)
    assert told(overlay, list_changes(gone))["s-1"].lifecycle is Lifecycle.GONE
    assert overlay.knows("s-1") and not overlay.knows("s-9")
    assert told(overlay, list_changes(endpoint("s-1", started_at=70)))["s-1"].lifecycle is Lifecycle.DRAINING
    update, _ = overlay.apply_record(record.with_override("s-1", False, 99))
    (back,) = update.endpoints
    assert (back.lifecycle, back.started_at, back.reenabled) == (Lifecycle.READY, 99, True)
    assert told(overlay, full_list(endpoint("s-1", started_at=120)))["s-1"].started_at == 120


def test_a_word_on_one_that_is_not_listed_tells_the_balancer_nothing_until_it_is():
    overlay = Overlay()
    assert overlay.apply_record(OverrideRecord().with_override("s-1", True, 50)) is None
    assert told(overlay, full_list(endpoint("s-1")))["s-1"].lifecycle is Lifecycle.DRAINING
    failed, _ = overlay.update(MembershipUpdate(UpdateKind.FAILED), {})
    assert failed.kind is UpdateKind.FAILED and overlay.listed


def test_the_balancer_sends_nothing_to_one_that_is_out_first_or_again():
    overlay, balancer = Overlay(), make_balancer()
    balancer.handle(SECOND, [overlay.update(full_list(endpoint("s-1"), endpoint("s-2")), {"s-1": "", "s-2": ""})[0]])
    record = OverrideRecord().with_override("s-1", True, SECOND)
    balancer.handle(SECOND, [overlay.apply_record(record)[0]])
    servers = [attempts(balancer.handle(SECOND + n, [request(str(n))]))[0].provider for n in range(20)]
    assert set(servers) == {"s-2"}
    balancer.handle(SECOND, [overlay.apply_record(record.with_override("s-2", True, SECOND))[0]])
    assert not attempts(balancer.handle(2 * SECOND, [request("none")]))  # the last one: nobody is sent to


def test_the_life_leads_back_from_a_drain_and_never_from_its_end():
    life, seen = Life(), []
    life.changed = seen.append
    assert [life.step(s) for s in (Step.DRAIN, Step.DRAIN, Step.UNDRAIN, Step.UNDRAIN)] == [True, False, True, False]
    assert seen == [State.SERVING, State.LEAVING] and life.state is State.SERVING
    for path in ((), (Step.DRAIN,), (Step.DRAIN, Step.EMPTIED)):
        life = Life()
        for step in (*path, Step.END):
            assert life.step(step)
        for step in (Step.DRAIN, Step.UNDRAIN, Step.EMPTIED, Step.END):
            assert not life.step(step) and life.ends
        assert life.step(Step.SHUT) and not life.traits.healthy and life.traits.last
    assert set(TRAITS) == set(State) and {s for s, _ in TABLE} | set(TABLE.values()) == set(State)
    assert [s for s in State if TRAITS[s].healthy] == [State.SERVING]


def test_a_word_to_the_fleet_by_a_clock_that_is_ahead_leaves_no_provider_cold_for_as_long():
    loop, told = Loop(), []
    handler = CommandHandler(loop, Life(), lambda update, addresses: told.append(update), lambda: True)
    handler.update_list(full_list(endpoint("s0")), {"s0": "a:1"})
    for _ in range(2):
        handler.apply_fleet({"s0": Override(loop.now() + 3600 * SECOND, False)}, True)
    assert len(told) == 2 and 0 < told[1].endpoints[0].started_at <= loop.now()
    handler.apply_fleet({"s0": Override(5, False)}, True)
    assert told[2].endpoints[0].started_at == 5
