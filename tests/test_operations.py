"""Operators' commands without sockets: parsing, the record and its merging, the overlay, and the sidecar's life."""

from contextlib import suppress

from hypothesis import given
from hypothesis import strategies as st
from support import SECOND, attempts, endpoint, full_list, list_changes, make_balancer, request

from loftweir.core.life import TABLE, TRAITS, LifecycleEvent, SidecarLifecycle, State
from loftweir.interface import Lifecycle, MembershipUpdate, UpdateKind
from loftweir.net.loop import Loop
from loftweir.operations.calls import ARGUMENTS, MAX_LINE_BYTES, No, OperatorCommand, Verb, error_answer, parse_command
from loftweir.operations.command_handler import CommandHandler
from loftweir.operations.overlay import Overlay
from loftweir.operations.record import HOUR, Override, OverrideRecord, decode, encode
from loftweir.state.sealed import Damaged

IDS = st.sampled_from(["s-1", "s-2", "s-3"])
OVERRIDES = st.builds(Override, st.integers(0, 5), st.booleans())
RECORDS = st.builds(OverrideRecord, st.dictionaries(IDS, OVERRIDES, max_size=3), OVERRIDES)


def parse_or_answer(line):
    """The parsed command, or the line that answers an invalid one."""
    try:
        return parse_command(line)
    except No as reason:
        return error_answer(reason)


def test_commands_are_parsed_and_invalid_lines_get_one_line_with_the_reason():
    assert parse_command(b"READY") == OperatorCommand(Verb.READY)
    assert parse_command(b"  DISABLE   s-1  ") == OperatorCommand(Verb.DISABLE, "s-1")
    long = b"x" * (MAX_LINE_BYTES + 1)
    for line in (b"", b"ready", b"DISABLE", b"DISABLE a b", b"READY x", b"ENABLE \xff", long, b"DRAIN\x00"):
        answer = parse_or_answer(line)
        assert isinstance(answer, bytes) and answer.startswith(b"ERR ") and answer.count(b"\n") == 1, line


@given(st.binary(max_size=60))
def test_any_line_is_a_command_or_is_answered_with_one_line(line):
    parsed = parse_or_answer(line)
    if isinstance(parsed, bytes):
        assert parsed.startswith(b"ERR ") and parsed.endswith(b"\n") and parsed.count(b"\n") == 1
    else:
        assert bool(parsed.id) == bool(ARGUMENTS[parsed.verb])


@given(RECORDS, RECORDS, RECORDS)
def test_merging_is_commutative_associative_and_idempotent(a, b, c):
    assert a.merged(b) == b.merged(a)
    assert a.merged(b.merged(c)) == a.merged(b).merged(c)
    assert a.merged(a) == a


@given(RECORDS, RECORDS, IDS, st.booleans(), st.integers(0, 5))
def test_a_later_override_wins_over_all_earlier_ones(a, b, name, on, now):
    known = a.merged(b)
    newer = known.with_override(name, on, now)
    assert newer.merged(a).merged(b).is_disabled(name) is on
    assert known.with_drain(on, now).merged(a).merged(b).drain.active is on


@given(RECORDS, st.binary(max_size=4), st.integers(0, 200))
def test_a_stored_record_is_read_back_and_a_damaged_one_is_detected(record, noise, at):
    data = encode(record)
    assert decode(data) == record
    for damaged in (data[:at], data[:at] + noise + data[at + len(noise) + 1 :], noise):
        with suppress(Damaged):
            assert decode(damaged) == record


def test_a_record_of_another_version_or_form_is_rejected():
    data = encode(OverrideRecord({"s": Override(1, True)}))
    for other in (data.replace(b" 1 ", b" 2 ", 1), b"", b"loftweir-operators 1\n{}", b"\xff" * 50):
        try:
            raise AssertionError(decode(other))
        except Damaged as error:
            assert str(error)


def test_only_providers_enabled_long_ago_are_pruned():
    record = OverrideRecord({"a": Override(1, True), "b": Override(1, False), "c": Override(2 * HOUR, False)})
    assert set(record.pruned(2 * HOUR).overrides) == {"a", "c"}


def addresses(update):
    """An address for each provider of an update."""
    return {e.address: f"at-{e.address}" for e in update.endpoints}


def effective(overlay, update):
    """The endpoints that the balancer is told for an update, by name."""
    return {e.address: e for e in overlay.update(update, addresses(update))[0].endpoints}


def test_a_disabled_provider_drains_whatever_the_list_says_and_returns_cold():
    overlay, record = Overlay(), OverrideRecord().with_override("s-1", True, 50)
    assert effective(overlay, full_list(endpoint("s-1"), endpoint("s-2")))["s-1"].lifecycle is Lifecycle.READY
    update, where = overlay.apply_record(record)
    assert [e.lifecycle for e in update.endpoints] == [Lifecycle.DRAINING] and where == {"s-1": "at-s-1"}
    assert effective(overlay, list_changes(endpoint("s-1", started_at=60)))["s-1"].lifecycle is Lifecycle.DRAINING
    gone = endpoint("s-1", lifecycle=Lifecycle.GONE)
    assert effective(overlay, list_changes(gone))["s-1"].lifecycle is Lifecycle.GONE
    assert overlay.knows("s-1") and not overlay.knows("s-9")
    assert effective(overlay, list_changes(endpoint("s-1", started_at=70)))["s-1"].lifecycle is Lifecycle.DRAINING
    update, _ = overlay.apply_record(record.with_override("s-1", False, 99))
    (back,) = update.endpoints
    assert (back.lifecycle, back.started_at, back.reenabled) == (Lifecycle.READY, 99, True)
    assert effective(overlay, full_list(endpoint("s-1", started_at=120)))["s-1"].started_at == 120


def test_an_override_of_an_unlisted_provider_reaches_the_balancer_once_it_is_listed():
    overlay = Overlay()
    assert overlay.apply_record(OverrideRecord().with_override("s-1", True, 50)) is None
    assert effective(overlay, full_list(endpoint("s-1")))["s-1"].lifecycle is Lifecycle.DRAINING
    failed, _ = overlay.update(MembershipUpdate(UpdateKind.FAILED), {})
    assert failed.kind is UpdateKind.FAILED and overlay.listed


def test_the_balancer_makes_no_first_attempt_or_retry_at_a_disabled_provider():
    overlay, balancer = Overlay(), make_balancer()
    balancer.handle(SECOND, [overlay.update(full_list(endpoint("s-1"), endpoint("s-2")), {"s-1": "", "s-2": ""})[0]])
    record = OverrideRecord().with_override("s-1", True, SECOND)
    balancer.handle(SECOND, [overlay.apply_record(record)[0]])
    chosen = [attempts(balancer.handle(SECOND + n, [request(str(n))]))[0].provider for n in range(20)]
    assert set(chosen) == {"s-2"}
    balancer.handle(SECOND, [overlay.apply_record(record.with_override("s-2", True, SECOND))[0]])
    assert not attempts(balancer.handle(2 * SECOND, [request("none")]))  # the last provider is disabled too


def test_a_drain_can_be_undone_and_the_end_can_not():
    life, previous_states = SidecarLifecycle(), []
    life.changed = previous_states.append
    assert [
        life.step(s)
        for s in (LifecycleEvent.DRAIN, LifecycleEvent.DRAIN, LifecycleEvent.UNDRAIN, LifecycleEvent.UNDRAIN)
    ] == [True, False, True, False]
    assert previous_states == [State.SERVING, State.LEAVING] and life.state is State.SERVING
    for path in ((), (LifecycleEvent.DRAIN,), (LifecycleEvent.DRAIN, LifecycleEvent.EMPTIED)):
        life = SidecarLifecycle()
        for step in (*path, LifecycleEvent.END):
            assert life.step(step)
        for step in (LifecycleEvent.DRAIN, LifecycleEvent.UNDRAIN, LifecycleEvent.EMPTIED, LifecycleEvent.END):
            assert not life.step(step) and life.is_ending
        assert life.step(LifecycleEvent.SHUT) and not life.traits.healthy and life.traits.last
    assert set(TRAITS) == set(State) and {s for s, _ in TABLE} | set(TABLE.values()) == set(State)
    assert [s for s in State if TRAITS[s].healthy] == [State.SERVING]


def test_an_override_of_the_fleet_by_a_clock_that_is_ahead_does_not_keep_a_provider_cold():
    loop, updates = Loop(), []
    handler = CommandHandler(loop, SidecarLifecycle(), lambda update, addresses: updates.append(update), lambda: True)
    handler.update_list(full_list(endpoint("s0")), {"s0": "a:1"})
    for _ in range(2):
        handler.apply_fleet({"s0": Override(loop.now() + 3600 * SECOND, False)}, True)
    assert len(updates) == 2 and 0 < updates[1].endpoints[0].started_at <= loop.now()
    handler.apply_fleet({"s0": Override(5, False)}, True)
    assert updates[2].endpoints[0].started_at == 5
