"""The oracle of the fault harness finds each kind of violation, and none in a correct run."""

import time
import unittest

from benchmarks.faults.client import NotApplied, OutcomeUnknown
from benchmarks.faults.oracle import Oracle
from benchmarks.faults.schedule import FAULT_KINDS, Fault, schedule
from loftweir.emulator.histories import AcceptedOperation, Call
from loftweir.replication.machine import Command, FencedWrite, SetOverride, encode

DISABLE = SetOverride("s0", True, 0)
ENABLE = SetOverride("s0", False, 0)


def value(data):
    return FencedWrite("pen", 1, "k", data)


class OracleTest(unittest.TestCase):
    """Each test records a history by hand and names the violations that the oracle has to find in it."""

    def setUp(self):
        self.oracle = Oracle()

    def log(self, *operations, session="a"):
        """Records entries from index 1 on, numbered in one session; None: an entry without a command."""
        numbers = iter(range(1, 100))
        for index, operation in enumerate(operations, 1):
            data = b"" if operation is None else encode(Command(session, next(numbers), operation))
            self.oracle.entry("n0", index, data)

    def set_override(self, disabled, outcome=None):
        with self.oracle.call(self.oracle.overrides, "o", "s0", ("set", disabled)):
            if outcome:
                raise outcome

    def read_override(self, disabled):
        with self.oracle.call(self.oracle.overrides, "end", "s0", ("get",)) as result:
            result.append(disabled)

    def view(self, sidecar, index, *disabled, life=1):
        self.oracle.view(sidecar, life, index, frozenset(disabled), time.monotonic_ns())

    def finds(self, *texts):
        found = self.oracle.check()
        self.assertEqual(len(found), len(texts), found)
        for problem, text in zip(found, texts, strict=True):
            self.assertIn(text, problem)

    def test_a_correct_run_has_no_violations(self):
        self.log(DISABLE, None, ENABLE, value(b"x"))
        self.set_override(True)
        self.oracle.promise(1, DISABLE, "f0", 1)
        self.view("f0", 1, "s0")
        self.view("f0", 2, "s0")
        self.set_override(False)
        self.oracle.promise(3, ENABLE, "f0", 1)
        self.view("f0", 2)  # an acknowledged override is in force there before the index follows
        self.view("f0", 4)
        self.set_override(True, OutcomeUnknown("?"))
        self.set_override(True, NotApplied("no"))
        self.oracle.promise(4, value(b"x"))
        self.oracle.promise(4, ENABLE, "n1", 1)  # answered without a write: the provider was enabled already
        self.read_override(False)
        self.finds()
        self.assertEqual(self.oracle.lost_writes(), 0)

    def test_an_acknowledged_write_that_the_log_does_not_have(self):
        self.log(DISABLE, value(b"x"))
        self.oracle.promise(1, ENABLE, "f0", 1)
        self.oracle.promise(2, value(b"y"))
        self.oracle.promise(3, DISABLE, "f0", 1)
        self.finds("promised at index 1", "promised at index 2", "promised at index 3")
        self.assertEqual(self.oracle.lost_writes(), 3)

    def test_an_acknowledged_write_that_is_undone(self):
        self.log(DISABLE)
        self.set_override(True)
        self.read_override(False)
        self.finds("s0: ('get',) by end can't have returned False")

    def test_a_call_that_failed_and_took_effect(self):
        self.set_override(True, NotApplied("no"))
        self.read_override(True)
        self.finds("can't have returned True")

    def test_a_command_that_is_applied_twice(self):
        command = encode(Command("a", 1, DISABLE))
        for index, data in enumerate([command, encode(Command("b", 1, ENABLE)), command], 1):
            self.oracle.entry("n0", index, data)
        self.view("f0", 3, "s0")
        self.finds("f0 showed s0 out at 3")

    def test_two_entries_with_one_index(self):
        self.log(DISABLE)
        self.oracle.entry("n1", 1, b"")
        self.finds("entry 1 is another at n1 than at n0")

    def test_a_sidecar_that_goes_back_and_one_that_is_ahead_of_the_log(self):
        self.log(DISABLE, None)
        self.view("f0", 2, "s0")
        self.view("f0", 1, "s0")
        self.view("f0", 0, life=2)  # another life: its index may be lower
        self.view("f1", 9)
        self.finds("f0 went back from index 2 to 1", "f1 showed index 9")

    def test_a_sidecar_that_does_not_show_an_override_it_acknowledged(self):
        self.log(None, DISABLE, ENABLE)
        self.view("f0", 1)
        self.oracle.promise(2, DISABLE, "f0", 1)
        self.view("f0", 1)
        self.finds()  # a later override enables the provider again
        self.oracle = Oracle()
        self.log(None, DISABLE)
        self.oracle.promise(2, DISABLE, "f0", 1)
        self.view("f0", 1)
        self.finds("f0 promised SetOverride")

    def test_a_response_while_no_majority_was_available(self):
        self.log(DISABLE)
        self.oracle.majority(False)
        self.set_override(True)
        self.set_override(True, OutcomeUnknown("?"))
        self.oracle.majority(True)
        self.set_override(True)
        self.finds("while no majority was available")

    def test_tokens_of_two_holders(self):
        for name, token in (("h0", 5), ("h1", 5)):
            at = time.monotonic_ns()
            self.oracle.leases.append(Call(name, at, at + 1, ("acquire", name), ("ok", token), "duty"))
        self.oracle.accepted += [AcceptedOperation("duty", 7, 0, 1), AcceptedOperation("duty", 6, 2, 3)]
        self.finds("('acquire', 'h1') by h1", "token 5 was granted to", "two holders acted")

    def test_periods_without_an_acknowledged_write(self):
        oracle = self.oracle
        oracle._acknowledged += [oracle.began + int(s * 1e9) for s in (0.1, 1.0, 1.1, 3.1)]
        oracle.possible_outages.append((oracle.began + int(0.4 * 1e9), oracle.began + int(2.1 * 1e9)))
        gaps = [tuple(round(ns / 1e9, 3) for ns in (at - oracle.began, *rest)) for at, *rest in oracle.unavailable()]
        self.assertEqual(gaps, [(0.1, 0.9, 0.3), (1.1, 2.0, 1.0)])


class ScheduleTest(unittest.TestCase):
    def test_the_seed_decides_the_schedule_and_a_line_restores_the_fault(self):
        voters, followers = ["n0", "n1", "n2"], ["f0", "f1"]
        faults = schedule(7, 500, voters, followers)
        self.assertEqual(faults, schedule(7, 500, voters, followers))
        self.assertNotEqual(faults, schedule(8, 500, voters, followers))
        self.assertEqual([Fault.read(str(fault)) for fault in faults], faults)
        self.assertEqual({fault.kind for fault in faults}, set(FAULT_KINDS))
        rounds = [fault.round for fault in faults if FAULT_KINDS[fault.kind].destroys_disk]
        self.assertEqual(len(rounds), len(set(rounds)))  # at most one of them in a round
