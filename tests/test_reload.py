"""New settings at SIGHUP: applied as a whole or rejected as a whole; requests in flight keep their class."""

import json
import os
import signal
import subprocess
import sys
import threading
import time
import unittest

from scene import (
    KEYED,
    MS,
    ONCE,
    READ,
    SECOND,
    SETTINGS,
    SidecarTest,
    answer_after,
    eventually,
    http_response,
    ok,
    profile,
)
from support import SECOND as S
from support import attempt_ended, attempts, endpoint, full_list, list_changes, make_balancer, request, settings

from loftweir.interface import Effect, Fail, Outcome, Reject, RequestClass, SettingsChanged


def with_classes(*classes, **more):
    return settings(classes={c.name: c for c in classes}, **more)


def test_a_request_in_flight_keeps_its_by_key_class_when_the_class_becomes_once():
    balancer = make_balancer()
    balancer.handle(S, [full_list(endpoint("a1"), endpoint("a2"))])
    (first,) = attempts(balancer.handle(S, [request("r", "log-all")]))
    once = RequestClass("log-all", Effect.ONCE, 200 * MS, S)
    balancer.handle(S, [SettingsChanged(with_classes(once))])
    (again,) = attempts(balancer.handle(S, [attempt_ended(first, Outcome.RESET)]))
    assert again.provider != first.provider
    (new,) = attempts(balancer.handle(S, [request("new", "log-all")]))
    (answer,) = [a for a in balancer.handle(S, [attempt_ended(new, Outcome.RESET)]) if isinstance(a, Fail | Reject)]
    assert isinstance(answer, Fail), "the new request is of the new class"


def test_a_request_whose_class_was_removed_is_finished_and_fewer_attempts_apply_at_once():
    balancer = make_balancer()
    balancer.handle(S, [full_list(*(endpoint(f"a{n}") for n in range(4)))])
    (first,) = attempts(balancer.handle(S, [request("r")]))
    removed = balancer.settings.classes["read"]
    other = RequestClass("other", Effect.REPEATABLE, 200 * MS, S)
    balancer.handle(S, [SettingsChanged(with_classes(other, max_attempts=1))])
    assert not attempts(balancer.handle(S, [attempt_ended(first, Outcome.ERROR)]))
    # The head of this request arrived before the change, its last byte after it.
    (late,) = attempts(balancer.handle(S, [request("late", "read", request_class=removed)]))
    balancer.handle(S, [attempt_ended(late, Outcome.OK)])
    assert set(balancer.class_shares) == {"other"} and balancer.class_shares["other"] > 0.9
    assert len(attempts(balancer.handle(S, [request("n", "other"), list_changes(endpoint("a9"))]))) == 1


def test_the_statistics_of_a_removed_class_are_dropped_and_those_of_others_kept():
    balancer = make_balancer()
    balancer.handle(S, [full_list(endpoint("a1"))])
    for n, kind in enumerate(("read", "push")):
        (first,) = attempts(balancer.handle(S, [request(str(n), kind)]))
        balancer.handle(S, [attempt_ended(first, Outcome.ERROR, over=True)])
    read = balancer.settings.classes["read"]
    balancer.handle(S, [SettingsChanged(with_classes(read))])
    assert set(balancer.providers["a1"].failure_rates) == {"read"} and balancer.providers["a1"].penalty > 0


# A reload that has read its files waits as long as there is a file `hold`.
SLOW_READ = """
import time
from pathlib import Path
from loftweir import daemon
read = daemon.read
def read_slowly(*words):
    configuration = read(*words)
    Path("read").touch()
    while Path("hold").exists():
        time.sleep(0.01)
    return configuration
daemon.read = read_slowly
"""
RARE_RELOADS = "from loftweir import sidecar\nsidecar.RELOADS_APART = 60 * 10**9"
# Python's own shutdown takes a while, in which no signal handler of the program is left.
SLOW_EXIT = """
import time
class Late:
    def __del__(self, sleep=time.sleep):
        sleep(0.5)
late = Late()
"""
ENDLESS_SIGNALS = "import os, sys, time\nend = time.time() + 20\nwhile time.time() < end: os.kill(int(sys.argv[1]), 1)"


class Reloading(SidecarTest):
    def settings(self, *profiles, **allowed):
        changed = SETTINGS | {"profiles": list(profiles)} if profiles else SETTINGS
        return json.dumps(self.config | {"settings": changed | {"allowed": SETTINGS["allowed"] | allowed}})


class ReloadTest(Reloading):
    def test_classes_are_added_and_removed_and_fewer_attempts_are_made(self):
        self.start(lambda head, body: http_response(503, b"", "Srv-Declined: 1"), ok)
        self.assertEqual(self.invoke("grant-read")[0], 400)
        self.reload(self.settings(profile("grant-read", "repeatable"), profile(ONCE, "once"), maxAttempts=1))
        self.assertTrue(eventually(lambda: self.logged("reload.done")), self.log())
        changed = set(self.logged("reload.done")[0]["settings"])
        self.assertEqual(changed, {"max_attempts", "classes.grant-read", f"classes.{READ}", f"classes.{KEYED}"})
        self.assertEqual(self.invoke(READ)[0], 400)
        statuses = {self.invoke("grant-read")[0] for _ in range(12)}
        self.assertEqual(statuses, {200, 503}, "there is only one attempt, also if it is declined")

    def test_a_request_in_flight_is_served_although_its_class_was_removed(self):
        gate = threading.Event()
        self.addCleanup(gate.set)
        self.start(answer_after(gate))
        client = self.client()
        client.request("GET", "/api", headers={"Req-Id": "r", "Req-Kind": READ})
        half = self.client()
        half.connect()
        half.sock.sendall(b"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: h\r\nReq-Kind: place-confirm\r\n")
        half.sock.sendall(b"Idempotency-Key: k\r\nContent-Length: 2\r\n\r\n{")
        self.assertTrue(eventually(lambda: self.providers[0].seen))
        time.sleep(0.5)  # nothing shows that the head of the half request has been read
        self.reload(self.settings(profile(ONCE, "once")))
        self.assertTrue(eventually(lambda: self.logged("reload.done")), self.log())
        half.sock.sendall(b"}")
        gate.set()
        self.assertEqual(client.getresponse().status, 200)
        self.assertIn(b" 200 ", half.sock.recv(4096))

    def test_each_bad_file_is_rejected_as_a_whole_and_its_fault_named(self):
        self.start(ok)
        whole = json.loads(self.settings(profile("grant-read", "repeatable")))
        text = json.dumps(whole)

        def without(*path):
            changed = json.loads(text)
            inner = changed
            for key in path[:-1]:
                inner = inner[key]
            del inner[path[-1]]
            return json.dumps(changed)

        cases = {"": "", text[:-20]: "", text[: len(text) // 2]: ""}
        for path in (("settings",), ("seed",), ("limits", "cores"), ("settings", "allowed"), ("settings", "profiles")):
            cases[without(*path)] = ".".join(path)
        cases[without("settings", "allowed", "maxAttempts")] = "settings.allowed.maxAttempts"
        cases[without("settings", "profiles", 0, "hardLimit")] = "settings.profiles.*.hardLimit"
        for bad in ("0", "-1", "true", '"3"', "null", "NaN", "[]", "{}", "1.5"):
            cases[text.replace(f'"hardLimit": {3 * SECOND}', f'"hardLimit": {bad}')] = "settings.profiles.0.hardLimit"
            cases[text.replace('"maxAttempts": 3', f'"maxAttempts": {bad}')] = "settings.allowed.maxAttempts"
        for number, (bad, path) in enumerate(cases.items()):
            with self.subTest(path=path, bad=bad[-60:]):
                before = len(self.logged("reload.fault"))
                self.reload(bad)
                self.assertTrue(eventually(lambda n=before: len(self.logged("reload.fault")) > n, 3), (number, bad))
                self.health()  # it is answered once the reload is over, so all of its lines are in the log
                faults = [fault["path"] for fault in self.logged("reload.fault")[before:]]
                if path and "NaN" not in bad:
                    self.assertIn(path, faults)
        self.assertEqual(self.logged("reload.done"), [])
        self.assertEqual((self.invoke("grant-read")[0], self.invoke()[0]), (400, 200))
        self.assertIsNone(self.program.poll())
        self.reload(text)
        self.assertTrue(eventually(lambda: self.logged("reload.done")))
        self.assertEqual(self.invoke("grant-read")[0], 200)


class BurstTest(Reloading):
    def traffic(self):
        """Send requests without pause; return a function that ends them and returns the time and status of each."""
        results, stop = [], threading.Event()

        def send_requests():
            client = self.client()
            while not stop.is_set():
                began = time.monotonic()
                status = self.invoke(client=client)[0]
                results.append((time.monotonic() - began, status))

        def end():
            stop.set()
            for thread in threads:
                thread.join(20)
            return results

        threads = [threading.Thread(target=send_requests) for _ in range(2)]
        for thread in threads:
            thread.start()
        self.addCleanup(end)
        return end

    def check_unharmed(self, results):
        self.assertLess(max(results)[0], 1, "seconds; the deadline is 2")
        served = sum(status == 200 for _, status in results)
        self.assertGreater(served, len(results) / 2, "on a busy machine a few may be rejected")

    def test_a_burst_causes_few_reloads_that_delay_no_request_and_the_last_file_is_in_force(self):
        self.start(ok)
        end, began = self.traffic(), time.monotonic()
        for number in range(1000):
            if number % 50 == 49:
                self.path.write_text(self.settings(profile(READ, "repeatable"), profile(f"class-{number}", "once")))
            self.program.send_signal(signal.SIGHUP)
            time.sleep(0.002)
        self.assertTrue(eventually(lambda: self.invoke("class-999")[0] == 200), self.log())
        self.check_unharmed(end())
        self.assertLess(len(self.logged("reload.done")), 2 + (time.monotonic() - began) / 0.1)

    def test_endless_signals_leave_time_for_requests_and_for_the_end_of_the_process(self):
        self.start(ok)
        end = self.traffic()
        sender = subprocess.Popen([sys.executable, "-c", ENDLESS_SIGNALS, str(self.program.pid)])
        self.addCleanup(sender.wait)
        self.addCleanup(sender.kill)
        self.assertTrue(eventually(lambda: len(self.logged("reload.done")) > 9), self.log())
        self.check_unharmed(end())
        self.terminate()
        at_its_end = (
            os.P_PID,
            self.program.pid,
            os.WEXITED | os.WNOWAIT | os.WNOHANG,
        )  # the process stays unreaped, so its id is not reused
        self.assertTrue(eventually(lambda: os.waitid(*at_its_end)), self.log())
        sender.kill()
        self.assertEqual((self.program.wait(10), len(self.logged("stop.done"))), (0, 1))

    def test_the_first_sighup_is_handled_at_once_and_sigterm_does_not_wait_for_a_reload(self):
        self.start(ok, fault=RARE_RELOADS)
        for _ in range(9):
            self.reload(self.settings())
            self.assertTrue(eventually(lambda: self.logged("reload.done")), self.log())
        self.terminate()
        self.assertEqual(self.program.wait(10), 0)
        self.assertEqual(len(self.logged("reload.done")), 1)

    def test_a_sighup_at_the_very_end_changes_nothing(self):
        self.start(ok, fault=SLOW_EXIT)
        self.terminate()
        self.assertTrue(eventually(lambda: self.logged("stop.done")), self.log())
        eventually(lambda: self.program.poll() is not None or self.program.send_signal(signal.SIGHUP))
        self.assertEqual(self.program.wait(10), 0)

    def test_a_sighup_during_a_reload_causes_one_more(self):
        self.start(ok, fault=SLOW_READ)
        hold, read = (self.path.with_name(name) for name in ("hold", "read"))
        read.unlink()
        hold.touch()
        self.reload(self.settings(profile(READ, "repeatable"), profile("early", "once")))
        self.assertTrue(eventually(read.exists))
        self.reload(self.settings(profile(READ, "repeatable"), profile("late", "once")))
        hold.unlink()
        self.assertTrue(eventually(lambda: self.invoke("late")[0] == 200), self.log())
        self.assertEqual(len(self.logged("reload.done")), 2)


if __name__ == "__main__":
    unittest.main()
