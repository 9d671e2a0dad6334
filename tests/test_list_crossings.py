"""Races of endpoint lists: older lists that arrive after newer changes, new addresses, versions that start again.

Also a provider that begins to drain in the middle of an attempt, and long lists.
"""

import json
import socket
import threading
import time
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from scene import (
    ONCE,
    SECOND,
    SETTINGS,
    SidecarTest,
    StubServer,
    address_of,
    answer_after,
    entry,
    eventually,
    http_response,
    list_body,
    ok,
)
from support import settings
from test_list_clock import Clock

from loftweir.config.model import Options
from loftweir.http1.back import Backend
from loftweir.http1.discovery import Discovery
from loftweir.http1.list_call import ListResponse
from loftweir.http1.pool import Connections, Pool
from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind
from loftweir.listclock import NOTIFIED_AFTER
from loftweir.net.loop import MAX_TURN_TIME, MS, READABLE, Loop, Wait


class Crossed(Discovery):
    """A watch from version 40 and a fetch, both in flight, in virtual time; `versions` has the lists passed on."""

    def __init__(self, fetched, watched):
        self.versions, self.fetched, self.watched = [], fetched, watched
        super().__init__(Clock(), "here", Options(), lambda update, _: self.versions.append(update.version))
        self.version = 40
        self.watch(True)
        self.fetch()
        self.loop.run(300 * MS)

    def _connect(self, address, until):
        yield Wait(None, 0, self.loop.now())

    def _call(self, sock, target, until):
        after = target.partition("after=")[2].partition("&")[0]
        whole, version = not after, max(self.watched, int(after)) if after else self.fetched
        kind = UpdateKind.FULL if whole else UpdateKind.CHANGES
        yield Wait(None, 0, self.loop.now() + (200 if whole else 50) * MS)
        member = Endpoint("s0", "a", "m", 0, Lifecycle.READY, 1.0, 0)
        return ListResponse(MembershipUpdate(kind, (member,), version), {"s0": "here"}, True, self.loop.now())


@pytest.mark.parametrize("fetched, watched, expected", [(41, 42, [42]), (42, 42, [42]), (43, 42, [42, 43])])
def test_a_fetch_overtaken_by_a_watch_is_passed_on_only_if_it_is_newer(fetched, watched, expected):
    crossed = Crossed(fetched, watched)
    assert [version for n, version in enumerate(crossed.versions) if version not in crossed.versions[:n]] == expected
    assert crossed.version == max(expected)


def leaving(listed):
    return listed | {"status": "leaving"}


class WatchingTest(SidecarTest):
    """Two servers, each of which answers its number, and an established watch at version 41."""

    operator = '[log]\nlevel = "debug"\nrepeat_every = "0s"\n'

    def setUp(self):
        self.start(lambda head, body: http_response(200, b"0"), lambda head, body: http_response(200, b"1"))
        self.gate = threading.Event()
        self.addCleanup(self.gate.set)
        with self.discovery.condition:
            self.discovery.index = 40
        self.discovery.change()
        self.assertTrue(
            eventually(lambda: any("after=41&wait" in head for head, *_ in self.discovery.seen)), self.log()
        )

    def server(self, answer):
        server = StubServer(answer)
        self.addCleanup(server.close)
        return server

    def silent(self):
        return self.server(answer_after(self.gate))

    def change_address_to(self, server):
        before = len(self.logged("reload.done"))
        self.config["discovery"] = server.address
        self.reload(json.dumps(self.config))
        self.assertTrue(eventually(lambda: len(self.logged("reload.done")) > before), self.log())
        self.assertTrue(eventually(lambda: server.seen or not server.listener.fileno()), self.log())

    def updates(self, kind="changes"):
        """The list updates of a kind with endpoints that the program has logged."""
        return [record for record in self.logged("discovery.list") if record["kind"] == kind and record["changes"]]

    def check_nothing_goes_to_the_first(self):
        """Check by what the first server receives: on a busy machine requests may be rejected."""
        before = len(self.providers[0].seen)
        answers = {self.invoke()[1] for _ in range(8)}
        self.assertEqual(len(self.providers[0].seen), before, self.log())
        self.assertIn(b"1", answers)


class MovedTest(WatchingTest):
    def test_an_older_whole_list_from_the_new_address_does_not_restore_a_drained_provider(self):
        """The list is older than a change that the old watch has returned meanwhile; the next call is not answered."""
        changed = threading.Event()
        self.addCleanup(changed.set)

        def answer_call(head, body):
            if len(new.seen) == 1:
                changed.wait(10)
                return http_response(200, list_body(5, self.entries, True))
            return answer_after(self.gate)(head, body)

        new = self.server(answer_call)
        self.change_address_to(new)
        self.discovery.change(leaving(self.entries[0]))
        self.assertTrue(eventually(self.updates), self.log())
        changed.set()
        self.assertTrue(eventually(lambda: len(new.seen) > 1), self.log())
        self.check_nothing_goes_to_the_first()

    def test_a_new_address_whose_first_call_failed_is_asked_for_the_whole_list(self):
        new = self.server(lambda head, body: http_response(503))
        self.change_address_to(new)
        self.assertTrue(eventually(lambda: len(new.seen) > 1), self.log())
        self.assertNotIn("after=", new.seen[1][0], "versions of the previous address mean nothing here")

    def test_a_change_on_the_old_watch_is_followed_after_the_address_changed_and_changed_back(self):
        """The new call there is not answered until the old watch has returned the change."""
        answer_call = self.discovery.answer
        self.discovery.answer = lambda head, body: (
            answer_call(head, body) if "after" in head else answer_after(self.gate)(head, body)
        )
        self.change_address_to(self.silent())
        calls = len(self.discovery.seen)
        self.change_address_to(self.discovery)
        self.assertTrue(eventually(lambda: len(self.discovery.seen) > calls), self.log())
        self.discovery.change(leaving(self.entries[0]))
        self.assertTrue(eventually(self.updates, 3), self.log())
        self.check_nothing_goes_to_the_first()
        self.assertFalse(self.logged("coroutine.broken"))

    def test_a_change_on_the_old_watch_is_followed_after_two_address_changes_without_response(self):
        self.change_address_to(self.silent())
        self.change_address_to(self.silent())
        self.discovery.change(leaving(self.entries[0]))
        self.assertTrue(eventually(self.updates, 3), self.log())
        self.check_nothing_goes_to_the_first()

    def test_a_change_that_arrives_together_with_the_signal_is_followed(self):
        new = self.silent()
        self.config["discovery"] = new.address
        with self.paused():
            self.discovery.change(leaving(self.entries[0]))
            time.sleep(0.1)  # it is written while the program is stopped, so before the program sees the signal
            self.reload(json.dumps(self.config))
        self.assertTrue(eventually(lambda: new.seen and self.updates()), self.log())
        self.check_nothing_goes_to_the_first()

    def test_an_address_change_while_discovery_is_down_takes_effect_at_once(self):
        self.discovery.close()
        self.assertTrue(eventually(lambda: self.logged("discovery.watch_failed")), self.log())
        moved = [leaving(self.entries[0]), self.entries[1]]
        self.change_address_to(self.server(lambda head, body: http_response(200, list_body(2, moved, True))))
        self.assertTrue(eventually(lambda: self.updates("full"), 1), self.log())
        self.check_nothing_goes_to_the_first()


class RestartedTest(WatchingTest):
    def test_a_discovery_whose_versions_start_again_is_asked_for_the_whole_list(self):
        self.discovery.close()
        self.assertTrue(eventually(lambda: self.logged("discovery.watch_failed")), self.log())
        self.discovery.index, self.discovery.entries = 3, [leaving(self.entries[0]), self.entries[1]]
        self.discovery.restart()
        self.assertTrue(eventually(lambda: self.updates("full"), NOTIFIED_AFTER / SECOND), self.log())
        self.check_nothing_goes_to_the_first()


class AttemptTest(SidecarTest):
    """A provider begins to drain while an attempt at it is in flight.

    Between the check of an idle connection and the first byte written to it the program does nothing else, so there is
    no race to force.
    """

    def test_a_connection_that_opens_after_the_drain_carries_no_request(self):
        full = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(full.close)
        waiting = [socket.create_connection(full.getsockname())]
        self.addCleanup(waiting[0].close)
        other = StubServer(lambda head, body: http_response(200, b"other"))
        self.addCleanup(other.close)
        only = entry("s0", address_of(full))
        allowed = SETTINGS["allowed"] | {"connectTimeout": 5 * SECOND}
        safety = SETTINGS["safety"] | {"stopSendingWithin": 100_000_000}
        self.start(known=[only], settings=SETTINGS | {"allowed": allowed, "safety": safety})
        self.assertTrue(eventually(lambda: self.discovery.seen and self.health() == 200), self.log())
        responses = []
        thread = threading.Thread(target=lambda: responses.append(self.invoke(ONCE, 3000)))
        thread.start()
        self.addCleanup(thread.join)
        self.assertTrue(eventually(lambda: self.syn_sent(full)), "no attempt has begun")
        calls = len(self.discovery.seen)
        self.discovery.change(leaving(only), entry("s1", other.address))
        self.assertTrue(eventually(lambda: len(self.discovery.seen) > calls), self.log())
        full.settimeout(5)
        first, _ = full.accept()
        self.addCleanup(first.close)
        late, _ = full.accept()
        self.addCleanup(late.close)
        late.settimeout(5)
        self.assertEqual(late.recv(4096), b"", "a request was sent to a provider that drains")
        thread.join(5)
        self.assertEqual(responses and responses[0][:2], (200, b"other"))

    @staticmethod
    def syn_sent(listener):
        """Whether the kernel has sent SYN for a connection to the listener and has no answer yet."""
        remote = f"0100007F:{listener.getsockname()[1]:04X}"
        with open("/proc/net/tcp", encoding="ascii") as table:
            return any(line.split()[2:4] == [remote, "02"] for line in table)

    def test_a_request_that_is_partly_written_is_completed_and_sent_once(self):
        with socket.create_server(("127.0.0.1", 0)) as slow:
            other = StubServer(ok)
            self.addCleanup(other.close)
            only = entry("s0", address_of(slow))
            self.start(known=[only], settings=SETTINGS)
            self.assertTrue(eventually(lambda: self.discovery.seen and self.health() == 200), self.log())
            responses, body = [], b"x" * (8 << 20)
            thread = threading.Thread(target=lambda: responses.append(self.invoke(ONCE, 3000, body=body)))
            thread.start()
            self.addCleanup(thread.join)
            slow.settimeout(5)
            sock, _ = slow.accept()
            self.addCleanup(sock.close)
            sock.settimeout(5)
            data = sock.recv(4096)
            calls = len(self.discovery.seen)
            self.discovery.change(leaving(only), entry("s1", other.address))
            self.assertTrue(eventually(lambda: len(self.discovery.seen) > calls), self.log())
            head, _, body_start = data.partition(b"\r\n\r\n")
            size = len(body_start)
            while size < len(body):
                size += len(sock.recv(1 << 20))
            sock.sendall(http_response(200, b"whole"))
            thread.join(5)
            self.assertEqual(responses and responses[0][:2], (200, b"whole"), self.log())
            self.assertEqual(other.seen, [])


# ---- an overloaded process, and long lists ------------------------------------------------------------


@pytest.mark.parametrize("queue", ["runnable", "new_work"])
def test_a_list_that_has_arrived_is_handled_before_waiting_requests(queue):
    """Requests that wait to be decided are handled after the list has been passed on, however slow each of them is."""
    loop, begun, updates = Loop(), [], []
    listener = socket.create_server(("127.0.0.1", 0))
    discovery = Discovery(loop, address_of(listener), Options(), lambda update, _: updates.append(len(begun)))

    def serve():
        yield Wait(listener, READABLE, None)
        connection, _ = listener.accept()
        yield Wait(connection, READABLE, None)
        connection.recv(1000)

        def request():
            if not begun:
                connection.send(http_response(200, list_body(1, [entry("s0", "127.0.0.1:1", status="leaving")], True)))
            begun.append(time.sleep(MAX_TURN_TIME / SECOND))
            loop.stopped = loop.stopped or len(begun) == 64

        getattr(loop, queue).extend([request] * 64)

    loop.spawn(serve())
    discovery.fetch()
    loop.run()
    assert updates and updates[0] <= 2


def providers(count, lifecycle=Lifecycle.READY):
    endpoints = tuple(Endpoint(f"s{n}", "a", "m", 0, lifecycle, 1.0, 0) for n in range(count))
    return endpoints, {f"s{n}": f"127.0.0.1:{n + 1}" for n in range(count)}


def test_a_long_whole_list_is_applied_in_time_proportional_to_its_length():
    """When each entry was compared with each other one, 1,024 took 180 ms of processor time without other work."""

    def takes(count):
        endpoints, addresses = providers(count)
        update = MembershipUpdate(UpdateKind.FULL, endpoints, 1)
        spent = []
        for _ in range(3):
            back = Backend(Loop(), settings(), Options(), 8, 1 << 20)
            began = time.process_time_ns()
            back.update_list(update, addresses)
            back.update_list(update, addresses)
            spent.append(time.process_time_ns() - began)
        return min(spent)

    assert takes(4000) < 80 * takes(250), "for a list sixteen times as long"


def test_of_two_entries_for_one_provider_in_a_list_the_later_one_counts():
    back = Backend(Loop(), settings(), Options(), 8, 1 << 20)
    endpoints, addresses = providers(1)
    left = replace(endpoints[0], lifecycle=Lifecycle.DRAINING)
    back.update_list(MembershipUpdate(UpdateKind.CHANGES, (*endpoints, left), 2), addresses)
    assert not back.pool.addresses
    back.update_list(MembershipUpdate(UpdateKind.CHANGES, (left, *endpoints), 3), addresses)
    assert back.pool.addresses == addresses


@given(st.lists(st.tuples(st.sampled_from("abcd"), st.integers(0, 4)), max_size=30))
def test_an_address_belongs_to_the_provider_that_got_it_last(moves):
    pool, whole = Pool(Connections(Loop(), settings(), Options(), 8)), {}
    for name, number in moves:
        if number:
            whole = {n: a for n, a in whole.items() if a != str(number) and n != name} | {name: str(number)}
            pool.set_address(name, str(number))
        else:
            whole.pop(name, None)
            pool.remove_provider(name)
        assert pool.addresses == whole and pool.names_by_address == {a: n for n, a in whole.items()}
