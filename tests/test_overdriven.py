"""A burst on servers that slow down when they are held too full: the fleet is as good as before soon after it.

The model of the overdriven state itself is held to its rules here too.
"""

import tomllib
from random import Random

import pytest
from scene import ROOT

from loftweir import interface as api
from loftweir.config.faults import Faulty
from loftweir.emulator.clock import Clock
from loftweir.emulator.connections import ConnectionTable
from loftweir.emulator.context import BEGAN
from loftweir.emulator.emulation import Emulation, simulate
from loftweir.emulator.node import Costs, Node
from loftweir.emulator.overdrive import OverdriveState
from loftweir.emulator.processor import DedicatedCores, Job, SharedCores
from loftweir.emulator.scenario import Connections, Overdrive, World, decode

MS, SECOND = 1_000_000, 1_000_000_000
WARM_UP = 2  # seconds of a run before its figures count
RECOVERY = 10  # seconds that the fleet has to recover in after a burst
WIND_DOWN = 3  # seconds at the end of a run whose requests are relieved by there being none after them
GOOD = 0.95  # goodput of a fleet that can carry what is asked of it
RECOVERED = 0.9  # of the goodput before the burst
RULES = Overdrive(share=1.0, at=5.0, over=2 * SECOND, slower=2.0, below=0.25, rest=4 * SECOND, most=20 * SECOND)
CORES = 4
TOO_MANY = 21  # held: one more than `at` for each core


def goodput(spans):
    return sum(span.worth for span in spans) / sum(span.worth_asked for span in spans)


def before_and_after(name, seed):
    """Goodput before the burst, and from `RECOVERY` after its end on."""
    scenario = decode(tomllib.loads((ROOT / "scenarios" / f"{name}.toml").read_text(encoding="utf-8")))
    (burst,) = scenario.troubles
    begins, ends = burst.at // SECOND, (burst.at + burst.lasts) // SECOND
    result = simulate(scenario, seed)
    assert result.sound(), result.shown
    return goodput(result.seconds[WARM_UP:begins]), goodput(
        result.seconds[ends + RECOVERY : scenario.seconds - WIND_DOWN]
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_of_servers_that_slow_down_recovers_from_a_burst(seed):
    before, after = before_and_after("burst-overdriven", seed)
    assert before >= GOOD, "the fleet can carry what is asked of it"
    assert after >= RECOVERED * before, (before, after)


def test_a_fleet_of_servers_that_do_not_slow_down_recovers_from_the_same_burst():
    before, after = before_and_after("burst-not-overdriven", 1)
    assert before >= GOOD and after >= RECOVERED * before, (before, after)


# ---- the overdriven state -----------------------------------------------------------------------------


def overdriven_state():
    state = OverdriveState(RULES, CORES, 0)
    state.observe(0, TOO_MANY, CORES)
    state.observe(RULES.over, TOO_MANY, CORES)
    assert state.overdriven
    return state


def test_it_is_overdriven_only_after_holding_too_much_without_a_break():
    state = OverdriveState(RULES, CORES, 0)
    state.observe(0, TOO_MANY - 1, CORES)
    assert state.next_change_at() is None, "as many as `at` allows"
    state.observe(SECOND, TOO_MANY, CORES)
    assert state.next_change_at() == SECOND + RULES.over
    state.observe(3 * SECOND - 1, TOO_MANY - 1, CORES)
    state.observe(3 * SECOND, TOO_MANY, CORES)
    assert not state.overdriven and state.slowdown == 1.0, "a break begins it anew"
    state.observe(5 * SECOND - 1, TOO_MANY, CORES)
    assert not state.overdriven
    state.observe(5 * SECOND, TOO_MANY, CORES)
    assert state.overdriven and state.slowdown == RULES.slower


def test_it_recovers_after_a_rest_of_little_use():
    state = overdriven_state()
    state.observe(RULES.over, 0, 0)
    assert state.next_change_at() == RULES.over + RULES.rest
    state.observe(RULES.over + RULES.rest - 1, 0, 0)
    assert state.overdriven
    state.observe(RULES.over + RULES.rest, 0, 0)
    assert not state.overdriven and state.next_change_at() is None


def test_a_rest_that_is_used_too_much_begins_anew():
    state = overdriven_state()
    allowed = int(RULES.below * CORES * RULES.rest)
    state.observe(RULES.over, 1, 1)
    spent = RULES.over + allowed
    state.observe(spent, 0, 0)
    assert state.overdriven and state.next_change_at() == spent + RULES.rest
    state.observe(spent + RULES.rest, 0, 0)
    assert not state.overdriven


def test_use_just_below_what_is_allowed_is_a_rest():
    state = overdriven_state()
    allowed = int(RULES.below * CORES * RULES.rest)
    state.observe(RULES.over, 1, 1)
    state.observe(RULES.over + allowed - 1, 0, 0)
    state.observe(RULES.over + RULES.rest, 0, 0)
    assert not state.overdriven


def test_it_recovers_after_the_longest_time_however_much_it_is_used_and_may_be_overdriven_again():
    state = overdriven_state()
    now = RULES.over
    while state.overdriven:
        now = state.next_change_at()
        state.observe(now, TOO_MANY, CORES)
    assert now == RULES.over + RULES.most
    assert state.next_change_at() == now + RULES.over, "it holds too much still"


def test_a_new_process_is_not_overdriven():
    state = overdriven_state()
    state.reset(3 * SECOND)
    assert not state.overdriven and state.next_change_at() is None


@pytest.mark.parametrize("seed", range(20))
def test_what_holds_in_every_state(seed):
    """Random loads, observed at every change and whenever the state may change by itself."""
    random = Random(seed)
    state, now, too_much_since, began = OverdriveState(RULES, CORES, 0), 0, None, None
    for _ in range(2000):
        held = random.choice((0, 1, CORES, TOO_MANY - 1, TOO_MANY, 2 * TOO_MANY))
        was = state.overdriven
        state.observe(now, held, min(held, CORES))
        if state.overdriven and not was:
            assert too_much_since is not None and now - too_much_since >= RULES.over
            began = now
        elif was and not state.overdriven:
            assert now - began >= RULES.rest
        if state.overdriven:
            assert state.crowded_at is None
            assert now - began < RULES.most
            assert state.core_time_used < RULES.below * CORES * RULES.rest
            assert now - state.rest_began < RULES.rest
        else:
            assert (state.crowded_at is not None) == (held >= TOO_MANY)
        if held < TOO_MANY:
            too_much_since = None
        elif too_much_since is None:
            too_much_since = now
        later = now + random.randrange(1, random.choice((SECOND // 10, 3 * SECOND)))
        due = state.next_change_at()
        now = later if due is None else min(later, due)


# ---- settings ---------------------------------------------------------------------------------------


def small(**tables):
    return {
        "name": "small",
        "classes": [{"name": "read", "effect": "repeatable"}],
        "nodes": [{"zone": "a", "cores": 4}],
        "instances": [{"zone": "a"}],
    } | tables


def test_all_is_off_by_default():
    scenario = decode(small())
    assert scenario.overdrive.share == 0 and scenario.connections.costly == "no" and scenario.nodes[0].slots == 0
    node = Emulation(scenario, 1).context.nodes["a-0-0"]
    assert node.overdrive is None and isinstance(node.processor, DedicatedCores) and node.weight == 4.0


def test_what_a_scenario_says_of_its_nodes_holds_for_them_and_for_the_list():
    data = small(
        nodes=[{"zone": "a", "cores": 4, "slots": 56, "queue": 10, "weight": 3.0, "cells": 2, "first_cell": 7}],
        overdrive={"share": "100%"},
    )
    emulation = Emulation(decode(data), 1)
    node = emulation.context.nodes["a-0-0"]
    assert node.overdrive is not None and isinstance(node.processor, SharedCores) and node.processor.slots == 56
    (endpoint,) = emulation.lists.whole()
    assert endpoint.weight == 3.0 and endpoint.cell == 7


def test_settings_that_contradict_are_named():
    data = small(
        nodes=[{"zone": "a", "cores": 4, "slots": 3, "weight": -1.0}],
        instances=[{"zone": "a", "rate_cv": -0.5}],
        overdrive={"slower": 0.5},
    )
    with pytest.raises(Faulty) as caught:
        decode(data)
    paths = {fault.path for fault in caught.value.faults}
    assert paths == {"nodes.0.slots", "nodes.0.weight", "instances.0.rate", "overdrive"}


# ---- the node ---------------------------------------------------------------------------------------


def node_of(cores=1, slots=4, queue=0, **costs):
    clock = Clock(BEGAN)
    return clock, Node("n", "a", 0, cores, 1.0, queue, clock, World(), slots, Costs(**costs))


def job_of(work, seen, clock):
    return Job("r", "c", "", work, lambda outcome: seen.append((outcome, clock.now - BEGAN)), lambda *_: None)


def times_of(seen):
    return [round(at / MS) for _, at in seen]


def test_requests_in_work_share_the_cores_evenly():
    clock, node = node_of()
    seen = []
    node.take(job_of(100 * MS, seen, clock))
    node.take(job_of(200 * MS, seen, clock))
    clock.run(BEGAN + SECOND)
    assert times_of(seen) == [200, 300]


def test_no_request_has_more_than_one_core():
    clock, node = node_of(cores=4)
    seen = []
    node.take(job_of(100 * MS, seen, clock))
    node.take(job_of(100 * MS, seen, clock))
    clock.run(BEGAN + SECOND)
    assert times_of(seen) == [100, 100]


def test_slots_then_the_waiting_room_then_full():
    clock, node = node_of(slots=2, queue=1)
    seen = []
    for _ in range(4):
        node.take(job_of(100 * MS, seen, clock))
    assert seen == [(api.Outcome.FULL, 0)] and node.held == 3


def test_a_job_that_is_stopped_leaves_its_part_to_the_others():
    clock, node = node_of(slots=2, queue=2)
    seen, stopped = [], []
    node.take(job_of(100 * MS, seen, clock))
    in_work, waiting = (job_of(100 * MS, stopped, clock) for _ in range(2))
    node.take(in_work)
    node.take(waiting)
    clock.run(BEGAN + 50 * MS)
    node.stop(waiting)
    node.stop(in_work)
    assert node.held == 1
    clock.run(BEGAN + SECOND)
    assert times_of(seen) == [125] and not stopped


def test_an_overdriven_node_is_slower_also_for_what_it_has_in_work():
    clock, node = node_of(slots=10, overdrive=RULES)
    seen = []
    for _ in range(6):
        node.take(job_of(SECOND, seen, clock))
    clock.run(BEGAN + 2500 * MS)
    assert node.overdrive.overdriven
    clock.run(BEGAN + 20 * SECOND)
    # 2 s of work are done by `over`; the other 4 s take twice as long.
    assert times_of(seen) == [10_000] * 6


def test_a_node_that_is_slowed_down_is_slower_for_what_it_has_in_work():
    clock, node = node_of()
    seen = []
    node.take(job_of(100 * MS, seen, clock))
    clock.run(BEGAN + 40 * MS)
    node.slow_down(0.5)
    clock.run(BEGAN + SECOND)
    assert times_of(seen) == [160]


def test_a_node_that_hangs_makes_no_progress_and_goes_on_where_it_stood():
    clock, node = node_of()
    seen = []
    node.take(job_of(100 * MS, seen, clock))
    clock.run(BEGAN + 40 * MS)
    node.hang(True)
    clock.run(BEGAN + SECOND)
    node.hang(False)
    clock.run(BEGAN + 2 * SECOND)
    assert times_of(seen) == [1060]


# ---- costly connections -------------------------------------------------------------------------------


class Network:
    """Delays of 1 ms and no cuts."""

    def __init__(self, clock):
        self.clock = clock

    def delay(self, one, other):
        return MS

    def cut_between(self, one, other):
        return False


def table_of(clock, timeout=250 * MS):
    return ConnectionTable(Network(clock), "a", 2, timeout)


def reach(table, node, seen):
    clock = table.network.clock
    table.reach(
        node, lambda: seen.append(("up", clock.now - BEGAN)), lambda: seen.append(("failed", clock.now - BEGAN))
    )


COSTLY = Connections(costly="yes", work=10 * MS, round_trips=2, cap_per_core=2, full_tax=0.5)


def test_a_connection_takes_round_trips_and_work_once_and_is_shared():
    clock, node = node_of(connections=COSTLY)
    table, seen = table_of(clock), []
    reach(table, node, seen)
    reach(table, node, seen)
    clock.run(BEGAN + SECOND)
    # 3 ms there, 10 ms of work at three quarters of the pace (one of two connections, at a tax of half), 1 ms back.
    assert times_of(seen) == [17, 17] and {how for how, _ in seen} == {"up"}
    assert node.connections == 1 and node.held == 0
    reach(table, node, seen)
    assert len(seen) == 3, "at once"


def test_a_node_accepts_no_more_connections_than_its_cap_and_takes_again_when_one_is_closed():
    clock, node = node_of(connections=COSTLY)
    tables, seen = [table_of(clock) for _ in range(3)], []
    for table in tables:
        reach(table, node, seen)
    clock.run(BEGAN + SECOND)
    assert sorted(how for how, _ in seen) == ["failed", "up", "up"] and node.connections == 2
    tables[0].close_all()
    assert node.connections == 1


def test_a_connection_that_is_not_up_in_time_fails_and_costs_no_more():
    clock, node = node_of(connections=COSTLY)
    node.take(job_of(SECOND, [], clock))
    table, seen = table_of(clock, timeout=10 * MS), []
    reach(table, node, seen)
    clock.run(BEGAN + 50 * MS)
    assert seen == [("failed", 10 * MS)] and node.connections == 0 and node.held == 1


def test_a_connection_to_a_process_that_has_ended_is_opened_anew():
    clock, node = node_of(connections=COSTLY)
    table, seen = table_of(clock), []
    reach(table, node, seen)
    clock.run(BEGAN + SECOND)
    node.crash()
    assert node.connections == 0
    reach(table, node, seen)
    clock.run(BEGAN + 2 * SECOND)
    assert [how for how, _ in seen] == ["up", "failed"]
    node.start(cold=False)
    reach(table, node, seen)
    clock.run(BEGAN + 3 * SECOND)
    assert [how for how, _ in seen] == ["up", "failed", "up"] and node.connections == 1
