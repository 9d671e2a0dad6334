"""Lists pushed by an agent on the sidecar's machine.

The sidecar counts as notified of whatever the agent has, so the agent is always watched.
"""

import threading
import time

from scene import SETTINGS, SidecarTest, eventually, ok

PUSHED = SETTINGS | {"discovery": "push"}


class PushedTest(SidecarTest):
    def test_the_agent_is_watched_from_the_start_and_a_drain_is_followed(self):
        self.start(ok, ok, settings=PUSHED)
        self.assertTrue(eventually(lambda: self.health() == 200), self.log())
        self.assertTrue(eventually(lambda: self.discovery.seen, 5), "the agent is never called")
        self.discovery.change(self.entries[0] | {"status": "leaving"})
        self.wait_until_list_read()
        before = len(self.providers[0].seen)
        for _ in range(8):
            self.assertEqual(self.invoke()[0], 200)
        self.assertEqual(len(self.providers[0].seen), before, "a request was sent to a drained provider")

    def test_a_failing_agent_is_called_again_and_the_current_list_stays_in_use(self):
        self.start(ok, settings=PUSHED)
        self.assertTrue(eventually(lambda: self.health() == 200), self.log())
        self.assertTrue(eventually(lambda: self.discovery.seen, 5))
        self.discovery.fail(True)
        time.sleep(0.5)
        self.assertEqual(self.invoke()[0], 200)
        calls = len(self.discovery.seen)
        self.discovery.fail(False)
        self.assertTrue(eventually(lambda: len(self.discovery.seen) > calls + 1, 15), "not called again")

    def test_a_call_to_a_silent_agent_times_out_soon_and_is_repeated(self):
        self.start(ok, ok, settings=PUSHED)
        self.assertTrue(eventually(lambda: self.health() == 200), self.log())
        self.assertTrue(eventually(lambda: self.discovery.seen, 5))
        answer, gate = self.discovery.answer, threading.Event()
        self.addCleanup(gate.set)
        self.discovery.answer = lambda head, body: answer(head, body) if gate.wait(20) else None
        calls = len(self.discovery.seen)
        # A call waits for 1 s and times out 0.25 s later: more than two new calls within 6 s.
        self.assertTrue(
            eventually(lambda: len(self.discovery.seen) > calls + 2, 6), "the call to a silent agent does not time out"
        )
        self.assertEqual(self.invoke()[0], 200)
        self.discovery.answer = answer
        gate.set()
        self.discovery.change(self.entries[0] | {"status": "leaving"})
        calls = len(self.discovery.seen)
        self.assertTrue(eventually(lambda: len(self.discovery.seen) > calls + 1, 6))
        self.wait_until_list_read()
        before = len(self.providers[0].seen)
        for _ in range(8):
            self.assertEqual(self.invoke()[0], 200)
        self.assertEqual(len(self.providers[0].seen), before, "a change after the silence is not followed")


class RestartedTest(SidecarTest):
    """A new process: the platform's list is older than that of the agent, which counts from the first moment on."""

    def run_program(self, config, fault=""):
        self.discovery.change(self.entries[0] | {"status": "leaving"})
        answer, self.gate = self.discovery.answer, threading.Event()
        self.addCleanup(self.gate.set)
        self.discovery.answer = lambda head, body: answer(head, body) if self.gate.wait(self.agent_takes) else None
        super().run_program(config, fault)

    def begin(self, agent_takes):
        self.agent_takes = agent_takes
        self.start(ok, ok, settings=PUSHED)
        self.assertTrue(eventually(lambda: self.discovery.seen, 10), self.log())
        self.assertTrue(eventually(lambda: self.logged("start.listening"), 10), self.log())

    def test_no_client_is_accepted_before_the_agent_has_answered(self):
        self.begin(30)
        timer = threading.Timer(0.2, self.gate.set)
        timer.start()
        self.addCleanup(timer.join)
        for _ in range(8):
            self.assertEqual(self.invoke()[0], 200)
        self.assertFalse(self.providers[0].seen, "a request was sent to a drained provider")

    def test_the_start_waits_only_briefly_for_a_silent_agent(self):
        self.begin(30)
        began = time.monotonic()
        self.assertEqual(self.invoke()[0], 200)
        self.assertLess(time.monotonic() - began, 2)

    def test_a_client_that_waits_is_answered_if_the_program_ends_meanwhile(self):
        self.begin(30)
        with self.paused():
            client = self.client()
            client.connect()
            self.terminate()
        self.assertEqual(self.invoke(client=client)[0], 200)
        self.assertEqual(self.program.wait(10), 0)
