"""Lists that an agent on the sidecar's machine pushes: what it has counts as told, so it is always watched."""

import threading
import time

from scene import SETTINGS, SidecarTest, eventually, ok

PUSHED = SETTINGS | {"discovery": "push"}


class PushedTest(SidecarTest):
    def test_the_agent_is_watched_from_the_start_and_a_drain_is_kept(self):
        self.start(ok, ok, settings=PUSHED)
        self.assertTrue(eventually(lambda: self.health() == 200), self.log())
        self.assertTrue(eventually(lambda: self.catalog.seen, 5), "the agent is never called")
        self.catalog.change(self.entries[0] | {"status": "leaving"})
        self.wait_until_list_read()
        before = len(self.providers[0].seen)
        for _ in range(8):
            self.assertEqual(self.invoke()[0], 200)
        self.assertEqual(len(self.providers[0].seen), before, "a drained provider is sent to")

    def test_a_failing_agent_is_called_again_and_the_list_held_serves_on(self):
        self.start(ok, settings=PUSHED)
        self.assertTrue(eventually(lambda: self.health() == 200), self.log())
        self.assertTrue(eventually(lambda: self.catalog.seen, 5))
        self.catalog.fail(True)
        time.sleep(0.5)
        self.assertEqual(self.invoke()[0], 200)
        calls = len(self.catalog.seen)
        self.catalog.fail(False)
        self.assertTrue(eventually(lambda: len(self.catalog.seen) > calls + 1, 15), "not called again")

    def test_a_silent_agent_is_given_up_soon_and_called_again(self):
        self.start(ok, ok, settings=PUSHED)
        self.assertTrue(eventually(lambda: self.health() == 200), self.log())
        self.assertTrue(eventually(lambda: self.catalog.seen, 5))
        answer, gate = self.catalog.answer, threading.Event()
        self.addCleanup(gate.set)
        self.catalog.answer = lambda head, body: answer(head, body) if gate.wait(20) else None
        calls = len(self.catalog.seen)
        # A call waits 1 s and is given up 0.25 s past that: within 6 s, more than two new calls.
        self.assertTrue(eventually(lambda: len(self.catalog.seen) > calls + 2, 6), "a silent agent is waited for")
        self.assertEqual(self.invoke()[0], 200)
        self.catalog.answer = answer
        gate.set()
        self.catalog.change(self.entries[0] | {"status": "leaving"})
        calls = len(self.catalog.seen)
        self.assertTrue(eventually(lambda: len(self.catalog.seen) > calls + 1, 6))
        self.wait_until_list_read()
        before = len(self.providers[0].seen)
        for _ in range(8):
            self.assertEqual(self.invoke()[0], 200)
        self.assertEqual(len(self.providers[0].seen), before, "news after the silence are not taken")


class RestartedTest(SidecarTest):
    """A new process: the platform's list is older than what the agent has, which counts from the first moment."""

    def run_program(self, config, fault=""):
        self.catalog.change(self.entries[0] | {"status": "leaving"})
        answer, self.gate = self.catalog.answer, threading.Event()
        self.addCleanup(self.gate.set)
        self.catalog.answer = lambda head, body: answer(head, body) if self.gate.wait(self.agent_takes) else None
        super().run_program(config, fault)

    def begins(self, agent_takes):
        self.agent_takes = agent_takes
        self.start(ok, ok, settings=PUSHED)
        self.assertTrue(eventually(lambda: self.catalog.seen, 10), self.log())
        self.assertTrue(eventually(lambda: self.logged("start.listening"), 10), self.log())

    def test_no_client_is_taken_before_the_agent_has_answered(self):
        self.begins(30)
        timer = threading.Timer(0.2, self.gate.set)
        timer.start()
        self.addCleanup(timer.join)
        for _ in range(8):
            self.assertEqual(self.invoke()[0], 200)
        self.assertFalse(self.providers[0].seen, "a drained provider is sent to")

    def test_a_silent_agent_is_not_waited_for_long(self):
        self.begins(30)
        began = time.monotonic()
        self.assertEqual(self.invoke()[0], 200)
        self.assertLess(time.monotonic() - began, 2)

    def test_an_end_meanwhile_still_answers_who_waits(self):
        self.begins(30)
        with self.paused():
            client = self.client()
            client.connect()
            self.terminate()
        self.assertEqual(self.invoke(client=client)[0], 200)
        self.assertEqual(self.program.wait(10), 0)
