"""An error in one callback ends what it belongs to and nothing else: all other requests are answered."""

import http.client
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from scene import READ, SidecarTest, address_of, entry, eventually, listener, ok

from loftweir.net.loop import SECOND, Loop, Wait
from loftweir.net.standing import RESTART_DELAY, StandingTask

# Functions that the loop, or a coroutine of it, calls: each raises once after a file of its name was made.
CALLBACKS = (
    ("loftweir.http1.front", "Frontend", "_add_client"),
    ("loftweir.http1.connections", "ClientConnections", "_end_overdue"),
    ("loftweir.http1.connections", "ClientConnections", "set_idle"),
    ("loftweir.http1.client", "ClientConnection", "_begin"),
    ("loftweir.http1.client", "ClientConnection", "_submit"),
    ("loftweir.http1.request_reader", "RequestReader", "read"),
    ("loftweir.http1.pool", "ProviderConnection", "on_event"),
    ("loftweir.http1.pool", "Pool", "acquire"),
    ("loftweir.http1.pool", "Pool", "release"),
    ("loftweir.http1.pool", "Connections", "max_idle_time"),
    ("loftweir.http1.back", "Backend", "run"),
    ("loftweir.core.host", "Host", "accept"),
    ("loftweir.core.host", "Host", "update_list"),
    ("loftweir.operations.store", "Store", "has_changed"),
    ("loftweir.telemetry.log", "", "tick"),
)
FAULT = f"""
import importlib, os

def break_once(owner, name):
    real = getattr(owner, name)

    def broken_once(*arguments, **more):
        try:
            os.unlink(name)
        except FileNotFoundError:
            return real(*arguments, **more)
        raise ZeroDivisionError(name)

    setattr(owner, name, broken_once)

for module, cls, name in {CALLBACKS!r}:
    owner = importlib.import_module(module)
    break_once(getattr(owner, cls) if cls else owner, name)
"""
CLIENTS = 6
REQUESTS = 15  # of each client


class BrokenCallbackTest(SidecarTest):
    def begin(self):
        """Start the program, with an operators' address, so that it follows the operators' record."""
        with listener() as free:
            operator_address = address_of(free)
        self.start(ok, ok, fault=FAULT, operator=operator_address)
        self.assertTrue(eventually(lambda: self.health() == 200), self.log())

    def launch(self, pass_fds=(), **environment):
        """Start the program with a folder of its own."""
        return super().launch(pass_fds, TMPDIR=str(self.path.parent), **environment)

    def send(self, client, number):
        """The status of a request, sent again on a new connection if the idle one was closed; 0: no answer."""
        for _ in range(2):
            headers = {"Req-Id": f"r{number}-{time.monotonic_ns()}", "Req-Kind": READ, "Req-Deadline-Ms": "2000"}
            try:
                client.request("GET", "/api", headers=headers)
                response = client.getresponse()
                response.read()
                return response.status
            except (OSError, http.client.HTTPException):
                client.close()
        return 0

    def run_client(self, number):
        """The statuses of one client's requests, some on a new connection each."""
        client = http.client.HTTPConnection(self.listen, timeout=5)
        statuses = []
        for n in range(REQUESTS):
            statuses.append(self.send(client, number))
            if n % 5 == 4:
                client.close()
            time.sleep(0.01)
        client.close()
        return statuses

    def run_clients(self):
        """The statuses of all clients' requests."""
        with ThreadPoolExecutor(CLIENTS) as pool:
            return [status for statuses in pool.map(self.run_client, range(CLIENTS)) for status in statuses]

    def test_each_callback_that_raises_once_costs_at_most_its_own_request(self):
        """Guards against an error of one connection that ends the process (review/2) or a part of it."""
        self.begin()
        folder = self.path.parent
        for _, _, name in CALLBACKS:
            with self.subTest(name):
                flag = folder / name
                flag.touch()
                changes = threading.Thread(target=self.provoke, args=(flag,))
                changes.start()
                statuses = self.run_clients()
                changes.join()
                self.assertFalse(flag.exists(), "it was not called")
                self.assertLessEqual(sum(status != 200 for status in statuses), 1, statuses)
                self.assertIsNone(self.program.poll(), self.log())
                self.assertTrue(eventually(lambda: self.run_clients() == [200] * CLIENTS * REQUESTS, 5))
        self.assertIn("ZeroDivisionError", self.log())
        self.program.send_signal(signal.SIGTERM)
        self.assertEqual(self.program.wait(10), 0)

    def provoke(self, flag):
        """Cause what clients do not: changes of the list and of the record, and a provider that closes connections."""
        for _ in range(10):
            if not flag.exists():
                return
            self.discovery.change(*self.entries)
            (flag.parent / "loftweir-operators").touch()
            if flag.name == "on_event":
                for sock in self.providers[0].sockets[-2:]:
                    with suppress(OSError):
                        sock.shutdown(2)
            time.sleep(0.2)

    def test_a_change_of_the_list_is_in_force_soon_although_its_callback_raised(self):
        """Guards against a server that is sent to for good, as the change that drained it met an error."""
        self.begin()
        (self.path.parent / "update_list").touch()
        self.discovery.entries = [self.entries[0], entry("s1", self.providers[1].address, status="leaving")]
        self.discovery.change(self.discovery.entries[1])
        self.assertTrue(eventually(lambda: not (self.path.parent / "update_list").exists()))

        def is_drained():
            before = len(self.providers[1].seen)
            self.run_clients()
            return len(self.providers[1].seen) == before

        self.assertTrue(eventually(is_drained, 3))
        self.assertTrue(is_drained())


def test_a_standing_coroutine_is_started_again_after_an_error_until_it_is_cancelled():
    loop, runs = Loop(), []

    def coroutine():
        runs.append(loop.now())
        yield Wait(None, 0, loop.now())
        if len(runs) < 3:
            raise ZeroDivisionError
        yield Wait(None, 0, None)

    task = StandingTask(loop, coroutine)

    def ends():
        yield Wait(None, 0, loop.now() + SECOND // 2)
        assert not task.over
        task.cancel()
        assert task.over
        yield Wait(None, 0, loop.now() + 2 * RESTART_DELAY)
        loop.stopped = True

    loop.spawn(ends())
    loop.run()
    assert len(runs) == 3
    assert all(later - earlier >= RESTART_DELAY for earlier, later in zip(runs, runs[1:], strict=False))
