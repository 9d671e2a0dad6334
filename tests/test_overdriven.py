"""Tests of servers that slow down when they are overfull: the fleet recovers from a burst, and the emulator's model of
the overdriven state, of shared cores and of costly connections follows its rules."""

import tomllib
from random import Random

import pytest
from scene import ROOT

from loftweir import interface as api
from loftweir.config.faults import Faulty
from loftweir.emulator.clock import Clock
from loftweir.emulator.connections import ConnectionTable
from loftweir.emulator.context import START_TIME
from loftweir.emulator.emulation import Emulation, simulate
from loftweir.emulator.node import Costs, Node
from loftweir.emulator.overdrive import OverdriveState
from loftweir.emulator.processor import DedicatedCores, Job, SharedCores
from loftweir.emulator.scenario import Connections, Overdrive, World, decode

MS = 1_000_000
SECOND = 1_000_000_000
WARM_UP = 2  # s at the start of a run that are not measured
RECOVERY_TIME = 10  # s that the fleet has to recover in after a burst
WIND_DOWN = 3  # s at the end of a run that are not measured, because no requests follow them
MIN_GOODPUT = 0.95  # of a fleet that can serve its requests
MIN_RECOVERED = 0.9  # goodput after the burst, relative to that before it
RULES = Overdrive(share=1.0, at=5.0, over=2 * SECOND, slower=2.0, below=0.25, rest=4 * SECOND, most=20 * SECOND)
CORES = 4
OVERFULL = 21  # requests in flight: one more than `at` for each core


def goodput(spans):
    return sum(span.worth for span in spans) / sum(span.worth_asked for span in spans)


def goodput_before_and_after(name, seed):
    """Goodput before the scenario's burst, and from `RECOVERY_TIME` after its end on."""
    scenario = decode(tomllib.loads((ROOT / "scenarios" / f"{name}.toml").read_text(encoding="utf-8")))
    (burst,) = scenario.troubles
    begins, ends = burst.at // SECOND, (burst.at + burst.lasts) // SECOND
    result = simulate(scenario, seed)
    assert result.sound(), result.shown
    before = goodput(result.seconds[WARM_UP:begins])
    after = goodput(result.seconds[ends + RECOVERY_TIME : scenario.seconds - WIND_DOWN])
    return before, after


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_of_servers_that_can_be_overdriven_recovers_from_a_burst(seed):
    before, after = goodput_before_and_after("burst-overdriven", seed)
    assert before >= MIN_GOODPUT, "the fleet can serve its requests"
    assert after >= MIN_RECOVERED * before, (before, after)


def test_a_fleet_of_servers_that_cannot_be_overdriven_recovers_from_the_same_burst():
    before, after = goodput_before_and_after("burst-not-overdriven", 1)
    assert before >= MIN_GOODPUT and after >= MIN_RECOVERED * before, (before, after)


# ---- the overdriven state -----------------------------------------------------------------------------


def overdriven_state():
    state = OverdriveState(RULES, CORES, 0)
    state.observe(0, OVERFULL, CORES)
    state.observe(RULES.over, OVERFULL, CORES)
    assert state.overdriven
    return state


def test_a_server_becomes_overdriven_only_when_overfull_without_a_break():
    state = OverdriveState(RULES, CORES, 0)
    state.observe(0, OVERFULL - 1, CORES)
    assert state.next_change_at() is None, "as many requests as `at` allows"
    state.observe(SECOND, OVERFULL, CORES)
    assert state.next_change_at() == SECOND + RULES.over
    state.observe(3 * SECOND - 1, OVERFULL - 1, CORES)
    state.observe(3 * SECOND, OVERFULL, CORES)
    assert not state.overdriven and state.slowdown == 1.0, "a break restarts the time"
    state.observe(5 * SECOND - 1, OVERFULL, CORES)
    assert not state.overdriven
    state.observe(5 * SECOND, OVERFULL, CORES)
    assert state.overdriven and state.slowdown == RULES.slower


def test_it_recovers_after_a_period_of_low_use():
    state = overdriven_state()
    state.observe(RULES.over, 0, 0)
    assert state.next_change_at() == RULES.over + RULES.rest
    state.observe(RULES.over + RULES.rest - 1, 0, 0)
    assert state.overdriven
    state.observe(RULES.over + RULES.rest, 0, 0)
    assert not state.overdriven and state.next_change_at() is None


def test_a_recovery_period_with_too_much_use_restarts():
    state = overdriven_state()
    allowed = int(RULES.below * CORES * RULES.rest)
    state.observe(RULES.over, 1, 1)
    spent = RULES.over + allowed
    state.observe(spent, 0, 0)
    assert state.overdriven and state.next_change_at() == spent + RULES.rest
    state.observe(spent + RULES.rest, 0, 0)
    assert not state.overdriven


def test_use_just_below_the_allowed_limit_lets_it_recover():
    state = overdriven_state()
    allowed = int(RULES.below * CORES * RULES.rest)
    state.observe(RULES.over, 1, 1)
    state.observe(RULES.over + allowed - 1, 0, 0)
    state.observe(RULES.over + RULES.rest, 0, 0)
    assert not state.overdriven


def test_it_recovers_after_the_longest_time_whatever_its_use_and_can_become_overdriven_again():
    state = overdriven_state()
    now = RULES.over
    while state.overdriven:
        now = state.next_change_at()
        state.observe(now, OVERFULL, CORES)
    assert now == RULES.over + RULES.most
    assert state.next_change_at() == now + RULES.over, "it is still overfull"


def test_a_new_process_is_not_overdriven():
    state = overdriven_state()
    state.reset(3 * SECOND)
    assert not state.overdriven and state.next_change_at() is None


@pytest.mark.parametrize("seed", range(20))
def test_the_invariants_hold_in_every_state(seed):
    """Random loads, observed at every change and whenever the state may change by itself."""
    random = Random(seed)
    state, now, overfull_since, overdriven_since = OverdriveState(RULES, CORES, 0), 0, None, None
    for _ in range(2000):
        in_flight = random.choice((0, 1, CORES, OVERFULL - 1, OVERFULL, 2 * OVERFULL))
        was_overdriven = state.overdriven
        state.observe(now, in_flight, min(in_flight, CORES))
        if state.overdriven and not was_overdriven:
            assert overfull_since is not None and now - overfull_since >= RULES.over
            overdriven_since = now
        elif was_overdriven and not state.overdriven:
            assert now - overdriven_since >= RULES.rest
        if state.overdriven:
            assert state.overfull_since is None
            assert now - overdriven_since < RULES.most
            assert state.core_time_used < RULES.below * CORES * RULES.rest
            assert now - state.recovery_started_at < RULES.rest
        else:
            assert (state.overfull_since is not None) == (in_flight >= OVERFULL)
        if in_flight < OVERFULL:
            overfull_since = None
        elif overfull_since is None:
            overfull_since = now
        later = now + random.randrange(1, random.choice((SECOND // 10, 3 * SECOND)))
        due = state.next_change_at()
        now = later if due is None else min(later, due)


# ---- scenario files ---------------------------------------------------------------------------------


def small_scenario(**tables):
    return {
        "name": "small",
        "classes": [{"name": "read", "effect": "repeatable"}],
        "nodes": [{"zone": "a", "cores": 4}],
        "instances": [{"zone": "a"}],
    } | tables


def test_overdrive_and_connection_costs_are_off_by_default():
    scenario = decode(small_scenario())
    assert scenario.overdrive.share == 0 and scenario.connections.costly == "no" and scenario.nodes[0].slots == 0
    node = Emulation(scenario, 1).context.nodes["a-0-0"]
    assert node.overdrive is None and isinstance(node.processor, DedicatedCores) and node.weight == 4.0


def test_a_scenarios_values_apply_to_its_nodes_and_to_the_list():
    data = small_scenario(
        nodes=[{"zone": "a", "cores": 4, "slots": 56, "queue": 10, "weight": 3.0, "cells": 2, "first_cell": 7}],
        overdrive={"share": "100%"},
    )
    emulation = Emulation(decode(data), 1)
    node = emulation.context.nodes["a-0-0"]
    assert node.overdrive is not None and isinstance(node.processor, SharedCores) and node.processor.slots == 56
    (endpoint,) = emulation.discovery.endpoints()
    assert endpoint.weight == 3.0 and endpoint.cell == 7


def test_contradictory_values_are_reported():
    data = small_scenario(
        nodes=[{"zone": "a", "cores": 4, "slots": 3, "weight": -1.0}],
        instances=[{"zone": "a", "rate_cv": -0.5}],
        overdrive={"slower": 0.5},
    )
    with pytest.raises(Faulty) as caught:
        decode(data)
    paths = {fault.path for fault in caught.value.faults}
    assert paths == {"nodes.0.slots", "nodes.0.weight", "instances.0.rate", "overdrive"}


# ---- the node ---------------------------------------------------------------------------------------


def make_node(cores=1, slots=4, queue=0, **costs):
    clock = Clock(START_TIME)
    return clock, Node("n", "a", 0, cores, 1.0, queue, clock, World(), slots, Costs(**costs))


def make_job(work, results, clock):
    """A job that adds its outcome and the time since the start to `results`."""
    return Job("r", "c", "", work, lambda outcome: results.append((outcome, clock.now - START_TIME)), lambda *_: None)


def times_of(results):
    """The times of the results in ms."""
    return [round(at / MS) for _, at in results]


def test_running_requests_share_the_cores_evenly():
    clock, node = make_node()
    results = []
    node.accept(make_job(100 * MS, results, clock))
    node.accept(make_job(200 * MS, results, clock))
    clock.run(START_TIME + SECOND)
    assert times_of(results) == [200, 300]


def test_no_request_gets_more_than_one_core():
    clock, node = make_node(cores=4)
    results = []
    node.accept(make_job(100 * MS, results, clock))
    node.accept(make_job(100 * MS, results, clock))
    clock.run(START_TIME + SECOND)
    assert times_of(results) == [100, 100]


def test_requests_fill_the_slots_then_the_queue_then_are_rejected():
    clock, node = make_node(slots=2, queue=1)
    results = []
    for _ in range(4):
        node.accept(make_job(100 * MS, results, clock))
    assert results == [(api.Outcome.FULL, 0)] and node.in_flight == 3


def test_a_stopped_job_frees_its_share_for_the_others():
    clock, node = make_node(slots=2, queue=2)
    results, stopped = [], []
    node.accept(make_job(100 * MS, results, clock))
    running, waiting = (make_job(100 * MS, stopped, clock) for _ in range(2))
    node.accept(running)
    node.accept(waiting)
    clock.run(START_TIME + 50 * MS)
    node.stop(waiting)
    node.stop(running)
    assert node.in_flight == 1
    clock.run(START_TIME + SECOND)
    assert times_of(results) == [125] and not stopped


def test_an_overdriven_node_is_slower_for_running_jobs_too():
    clock, node = make_node(slots=10, overdrive=RULES)
    results = []
    for _ in range(6):
        node.accept(make_job(SECOND, results, clock))
    clock.run(START_TIME + 2500 * MS)
    assert node.overdrive.overdriven
    clock.run(START_TIME + 20 * SECOND)
    # 2 s of work are done by `over`; the other 4 s take twice as long.
    assert times_of(results) == [10_000] * 6


def test_a_slowed_node_is_slower_for_running_jobs_too():
    clock, node = make_node()
    results = []
    node.accept(make_job(100 * MS, results, clock))
    clock.run(START_TIME + 40 * MS)
    node.set_speed_factor(0.5)
    clock.run(START_TIME + SECOND)
    assert times_of(results) == [160]


def test_a_hung_node_makes_no_progress_and_then_continues_where_it_stopped():
    clock, node = make_node()
    results = []
    node.accept(make_job(100 * MS, results, clock))
    clock.run(START_TIME + 40 * MS)
    node.hang(True)
    clock.run(START_TIME + SECOND)
    node.hang(False)
    clock.run(START_TIME + 2 * SECOND)
    assert times_of(results) == [1060]


# ---- costly connections -------------------------------------------------------------------------------


class Network:
    """A network with one-way delays of 1 ms and no partitions."""

    def __init__(self, clock):
        self.clock = clock

    def network_delay(self, one, other):
        return MS

    def is_partitioned(self, one, other):
        return False


def make_table(clock, timeout=250 * MS):
    return ConnectionTable(Network(clock), "a", 2, timeout)


def connect(table, node, results):
    """Connects to a node; adds "established" or "failed" and the time since the start to `results`."""
    clock = table.network.clock
    table.connect(
        node,
        lambda: results.append(("established", clock.now - START_TIME)),
        lambda: results.append(("failed", clock.now - START_TIME)),
    )


COSTLY = Connections(costly="yes", work=10 * MS, round_trips=2, cap_per_core=2, full_tax=0.5)


def test_a_connection_costs_round_trips_and_work_once_and_is_shared():
    clock, node = make_node(connections=COSTLY)
    table, results = make_table(clock), []
    connect(table, node, results)
    connect(table, node, results)
    clock.run(START_TIME + SECOND)
    # 3 ms there, 10 ms of work at three quarters of the pace (one of two connections, at a tax of half), 1 ms back.
    assert times_of(results) == [17, 17] and {how for how, _ in results} == {"established"}
    assert node.connections == 1 and node.in_flight == 0
    connect(table, node, results)
    assert len(results) == 3, "at once"


def test_a_node_refuses_connections_above_its_cap_and_accepts_again_after_one_is_closed():
    clock, node = make_node(connections=COSTLY)
    tables, results = [make_table(clock) for _ in range(3)], []
    for table in tables:
        connect(table, node, results)
    clock.run(START_TIME + SECOND)
    assert sorted(how for how, _ in results) == ["established", "established", "failed"] and node.connections == 2
    tables[0].close_all()
    assert node.connections == 1


def test_a_connection_that_is_not_established_in_time_fails_and_frees_the_node():
    clock, node = make_node(connections=COSTLY)
    node.accept(make_job(SECOND, [], clock))
    table, results = make_table(clock, timeout=10 * MS), []
    connect(table, node, results)
    clock.run(START_TIME + 50 * MS)
    assert results == [("failed", 10 * MS)] and node.connections == 0 and node.in_flight == 1


def test_a_connection_to_an_ended_process_is_opened_again():
    clock, node = make_node(connections=COSTLY)
    table, results = make_table(clock), []
    connect(table, node, results)
    clock.run(START_TIME + SECOND)
    node.crash()
    assert node.connections == 0
    connect(table, node, results)
    clock.run(START_TIME + 2 * SECOND)
    assert [how for how, _ in results] == ["established", "failed"]
    node.start(cold=False)
    connect(table, node, results)
    clock.run(START_TIME + 3 * SECOND)
    assert [how for how, _ in results] == ["established", "failed", "established"] and node.connections == 1
