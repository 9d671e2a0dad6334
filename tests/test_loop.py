"""The event loop: waits end by events, timeouts and wake-ups; idle tasks cost nothing; running work goes first.

Also the detection of overload of the process itself.
"""

import socket
import time
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftweir.core.overload import GAIN, INTERVAL, MOST, TARGET, Overload
from loftweir.net.loop import (
    MS,
    NEW_STEPS_PER_ROUND,
    READABLE,
    STEPS_PER_ROUND,
    SWEEP_THRESHOLD,
    WOKEN,
    WRITABLE,
    Loop,
    Wait,
)
from loftweir.net.stream import unread_for


def run(loop, *coroutines, seconds=5):
    """Run the loop until all of these coroutines are over."""
    tasks = [loop.spawn(c) for c in coroutines]

    def watch():
        until = time.monotonic() + seconds
        while not all(t.over for t in tasks) and time.monotonic() < until:
            yield Wait(None, 0, loop.now() + MS)
        loop.stopped = True

    loop.spawn(watch())
    loop.stopped = False
    loop.run()
    assert all(t.over for t in tasks), "not over in time"


@pytest.fixture
def pair():
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    yield near, far
    near.close(), far.close()


def test_a_wait_ends_by_its_event_its_timeout_or_a_wake_up(pair):
    near, far = pair
    loop, results = Loop(), []

    def waits():
        results.append((yield Wait(near, READABLE, loop.now() + 20 * MS)))
        far.send(b"x")
        results.append((yield Wait(near, READABLE, loop.now() + 5000 * MS)))
        results.append((yield Wait(None, 0, loop.now() + 5000 * MS)))

    def wakes():
        while len(results) < 2:
            yield Wait(None, 0, loop.now() + MS)
        task.wake()

    task = loop.start(waits())
    run(loop, wakes())
    assert results == [0, READABLE, WOKEN] and task.over


@settings(max_examples=20, deadline=None)
@given(st.lists(st.integers(0, 40), min_size=1, max_size=10))
def test_each_wait_of_a_task_ends_at_its_own_time_whichever_heap_entry_it_uses(delays):
    """Whether it ended early or not, a timer left over from one wait never ends another one too soon or too late."""
    loop, on_time = Loop(), []

    def waits():
        for number, delay in enumerate(delays):
            began = loop.now()
            woken = number % 2 == 0 and delay > 20
            if woken:
                loop.after(MS, task[0].wake)
            value = yield Wait(None, 0, began + delay * MS // 4)
            elapsed = loop.now() - began
            on_time.append(value == (WOKEN if woken else 0) and (woken or elapsed >= delay * MS // 4))

    task = [loop.spawn(waits())]

    def until_over():
        while not task[0].over:
            yield Wait(None, 0, loop.now() + MS)

    run(loop, until_over())
    assert all(on_time) and len(on_time) == len(delays)


def test_a_task_has_one_live_timer_however_often_it_waits(pair):
    near, far = pair
    loop = Loop()

    def busy():
        for _ in range(1000):
            far.send(b"x")
            yield Wait(near, READABLE, loop.now() + 5000 * MS)
            near.recv(10)

    run(loop, busy())
    assert len(loop.timers) < 20


def test_the_timers_of_tasks_that_are_over_are_removed():
    loop = Loop()

    def once():
        yield Wait(None, 0, loop.now() + 10_000 * MS)

    for _ in range(20 * SWEEP_THRESHOLD):
        loop.start(once()).cancel()
    run(loop)
    assert len(loop.timers) < 3 * SWEEP_THRESHOLD and loop.dead_timers < 3 * SWEEP_THRESHOLD


def test_a_descriptor_stays_registered_until_it_is_closed(pair):
    near, far = pair
    loop, reported = Loop(), []

    class Watching:
        mask = READABLE

        def ready(self, events):
            reported.append(events)

    loop.watch(near.fileno(), Watching())
    far.send(b"x")

    def nothing():
        yield Wait(None, 0, loop.now() + 30 * MS)

    run(loop, nothing())
    assert len(reported) == 1, "the event is handed out once, and the loop does not spin without a watcher"
    assert loop.registered == {}
    loop.watch(near.fileno(), Watching())
    fd = near.fileno()
    loop.close(near)
    assert fd not in loop.registered and fd not in loop.watchers
    again = socket.socket()
    if again.fileno() == fd:  # the number belongs to another socket now
        loop.watch(fd, Watching())
        assert loop.registered[fd] == READABLE
    loop.close(again)


def test_an_event_that_nobody_waits_for_does_not_make_the_loop_spin(pair):
    near, far = pair
    loop, polls = Loop(), []

    def waits():
        yield Wait(near, READABLE | WRITABLE, None)
        far.send(b"unread")
        yield Wait(near, 0, loop.now() + 50 * MS)

    whole = loop.epoll

    class Counting:
        def __getattr__(self, name):
            return getattr(whole, name)

        def poll(self, seconds):
            polls.append(seconds)
            return whole.poll(seconds)

    loop.epoll = Counting()
    run(loop, waits())
    assert len(polls) < 200


def test_running_work_goes_before_new_work():
    loop, order = Loop(), []
    for number in range(3 * NEW_STEPS_PER_ROUND):
        loop.new_work.append(
            lambda n=number: (order.append("new"), loop.runnable.append(lambda: order.append("answer")))
        )

    def nothing():
        while len(order) < 6 * NEW_STEPS_PER_ROUND:
            yield Wait(None, 0, loop.now() + MS)

    run(loop, nothing())
    assert order[: NEW_STEPS_PER_ROUND + 1] == ["new"] * NEW_STEPS_PER_ROUND + ["answer"]
    assert order.index("answer") <= NEW_STEPS_PER_ROUND and order.count("answer") == 3 * NEW_STEPS_PER_ROUND


STEP = 25 * MS  # a step of 1 ms of processor time takes this long with a twenty-fifth of a core


@pytest.fixture
def slow(monkeypatch):
    """A step that takes `STEP` on the loop's clock."""
    ahead = [0]
    real = time.monotonic_ns
    monkeypatch.setattr(
        "loftweir.net.loop.time", SimpleNamespace(time_ns=time.time_ns, monotonic_ns=lambda: real() + ahead[0])
    )

    def step():
        ahead[0] += STEP

    return step


@pytest.mark.parametrize("queue", ["runnable", "new_work"])
def test_urgent_work_is_done_although_many_slow_steps_wait(pair, slow, queue):
    """When only the number of steps limited a turn, one took 0.8 s with new work, and 6.4 s with running work."""
    near, far = pair
    loop, steps = Loop(), []

    def urgent():
        yield Wait(near, READABLE, None)
        loop.stopped = True

    def step():
        if not steps:
            far.send(b"x")
        steps.append(slow())

    loop.spawn(urgent(), urgent=True)
    getattr(loop, queue).extend([step] * 256)
    loop.run()
    assert len(steps) <= 2


def test_new_work_gets_its_turn_although_slow_running_work_never_ends(slow):
    loop, steps, new = Loop(), [], []

    def running():
        steps.append(slow())
        loop.runnable.append(running)

    def new_step():
        new.append(slow())
        loop.stopped = len(new) == 3 * NEW_STEPS_PER_ROUND

    loop.runnable.extend([running] * 8)
    loop.new_work.extend([new_step] * 3 * NEW_STEPS_PER_ROUND)
    loop.run()
    assert len(steps) <= 3 * STEPS_PER_ROUND


def test_the_age_of_unread_data_in_a_socket_is_known():
    server = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(server.getsockname())
    accepted, _ = server.accept()
    client.send(b"x")
    time.sleep(0.25)
    assert 200 * MS <= unread_for(accepted) <= 2000 * MS
    for sock in (server, client, accepted):
        sock.close()


# ---- overload of the process itself -----------------------------------------------------------------


@given(st.lists(st.tuples(st.integers(0, 300), st.integers(0, 500)), min_size=1, max_size=200))
def test_the_share_to_reject_stays_in_bounds_and_rises_by_at_most_its_gain(reads):
    overload, now, before = Overload(), 10**18, 0.0
    for gap, age in reads:
        now += gap * MS
        share = overload.read(now, age * MS)
        assert 0 <= share <= MOST and share - before <= GAIN + 1e-9
        before = share


def test_a_standing_queue_causes_rejections_and_a_single_burst_does_not():
    overload, now = Overload(), 10**18
    for number in range(1000):  # each interval has old requests and a fresh one, so the queue is worked off
        now += 10 * MS
        assert overload.read(now, 0 if number % 10 == 0 else 5 * TARGET) == 0
    for _ in range(300):
        now += 10 * MS
        overload.read(now, 3 * TARGET)
    assert overload.reject_share == MOST, "nearly all are rejected within three seconds"
    for _ in range(200):
        now += 10 * MS
        overload.read(now, 0)
    assert overload.reject_share == 0, "and none any more within two"


def test_a_time_without_requests_ends_the_rejections_too():
    overload, now = Overload(), 10**18
    for _ in range(300):
        now += 10 * MS
        overload.read(now, 3 * TARGET)
    overload.read(now + 30 * INTERVAL, 0)
    assert overload.read(now + 31 * INTERVAL, 0) == 0


def test_an_error_of_a_function_that_the_loop_calls_ends_nothing_else(capfd):
    """Guards against a process that ends with all its requests because one connection's callback broke (review/2)."""
    loop = Loop()
    done = []

    def breaks():
        raise ValueError("broken on purpose")

    for queue in (loop.urgent, loop.runnable, loop.new_work):
        queue.extend([breaks, lambda: done.append("a step")])
    loop.after(0, breaks)
    loop.after(0, done.append, "a timer")

    def waits():
        yield Wait(None, 0, loop.time + 20 * MS)
        loop.stopped = True

    loop.spawn(waits())
    loop.run()
    assert sorted(done) == ["a step"] * 3 + ["a timer"]
    lines = capfd.readouterr().err.splitlines()
    # The log writes equal lines once.
    assert any("coroutine.broken" in line and "broken on purpose" in line for line in lines)
