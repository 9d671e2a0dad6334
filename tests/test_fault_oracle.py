"""The oracle of the fault harness finds each kind of violation, and nothing in a run that is well."""

import time
import unittest

from benchmarks.faults.client import Nothing, Unknown
from benchmarks.faults.oracle import Oracle
from benchmarks.faults.schedule import KINDS, Fault, schedule
from loftweir.emulator.histories import AcceptedOperation, Call
from loftweir.replication.machine import Command, FencedWrite, SetOverride, encode

OUT, IN = SetOverride("s0", True, 0), SetOverride("s0", False, 0)


def value(data):
    return FencedWrite("pen", 1, "k", data)


class OracleTest(unittest.TestCase):
    def setUp(self):
        self.oracle = Oracle()

    def log(self, *acts, session="a"):
        """Entries from the first on, each of the session's next number; one that is None has no order."""
        numbers = iter(range(1, 100))
        for index, act in enumerate(acts, 1):
            data = b"" if act is None else encode(Command(session, next(numbers), act))
            self.oracle.told("n0", index, data)

    def said(self, out, outcome=None):
        with self.oracle.call(self.oracle.words, "o", "s0", ("set", out)):
            if outcome:
                raise outcome

    def shown(self, out):
        with self.oracle.call(self.oracle.words, "end", "s0", ("get",)) as result:
            result.append(out)

    def seen(self, sidecar, index, *out, life=1):
        self.oracle.seen(sidecar, life, index, frozenset(out), time.monotonic_ns())

    def finds(self, *texts):
        found = self.oracle.judge()
        self.assertEqual(len(found), len(texts), found)
        for problem, text in zip(found, texts, strict=True):
            self.assertIn(text, problem)

    def test_a_run_that_is_well(self):
        self.log(OUT, None, IN, value(b"x"))
        self.said(True)
        self.oracle.promise(1, OUT, "f0", 1)
        self.seen("f0", 1, "s0")
        self.seen("f0", 2, "s0")
        self.said(False)
        self.oracle.promise(3, IN, "f0", 1)
        self.seen("f0", 2)  # what it promised holds there before the state follows
        self.seen("f0", 4)
        self.said(True, Unknown("?"))
        self.said(True, Nothing("no"))
        self.oracle.promise(4, value(b"x"))
        self.oracle.promise(4, IN, "n1", 1)  # nothing was to be written
        self.shown(False)
        self.finds()
        self.assertEqual(self.oracle.lost(), 0)

    def test_a_promise_that_the_log_does_not_have(self):
        self.log(OUT, value(b"x"))
        self.oracle.promise(1, IN, "f0", 1)
        self.oracle.promise(2, value(b"y"))
        self.oracle.promise(3, OUT, "f0", 1)
        self.finds("promised at index 1", "promised at index 2", "promised at index 3")
        self.assertEqual(self.oracle.lost(), 3)

    def test_one_that_is_undone(self):
        self.log(OUT)
        self.said(True)
        self.shown(False)
        self.finds("s0: ('get',) by end can't have returned False")

    def test_one_that_was_said_to_do_nothing(self):
        self.said(True, Nothing("no"))
        self.shown(True)
        self.finds("can't have returned True")

    def test_an_order_that_is_applied_twice(self):
        order = encode(Command("a", 1, OUT))
        for index, data in enumerate([order, encode(Command("b", 1, IN)), order], 1):
            self.oracle.told("n0", index, data)
        self.seen("f0", 3, "s0")
        self.finds("f0 showed s0 out at 3")

    def test_another_entry_under_one_index(self):
        self.log(OUT)
        self.oracle.told("n1", 1, b"")
        self.finds("entry 1 is another at n1 than at n0")

    def test_a_sidecar_that_goes_back_and_one_that_is_ahead_of_the_log(self):
        self.log(OUT, None)
        self.seen("f0", 2, "s0")
        self.seen("f0", 1, "s0")
        self.seen("f0", 0, life=2)  # another process: it is as old as it says
        self.seen("f1", 9)
        self.finds("f0 went back from index 2 to 1", "f1 showed index 9")

    def test_a_sidecar_that_does_not_show_what_it_promised(self):
        self.log(None, OUT, IN)
        self.seen("f0", 1)
        self.oracle.promise(2, OUT, "f0", 1)
        self.seen("f0", 1)
        self.finds()  # a later word has it back
        self.oracle = Oracle()
        self.log(None, OUT)
        self.oracle.promise(2, OUT, "f0", 1)
        self.seen("f0", 1)
        self.finds("f0 promised SetOverride")

    def test_an_answer_while_no_majority_could_be_had(self):
        self.log(OUT)
        self.oracle.majority(False)
        self.said(True)
        self.said(True, Unknown("?"))
        self.oracle.majority(True)
        self.said(True)
        self.finds("while no majority could be had")

    def test_holders(self):
        for name, token in (("h0", 5), ("h1", 5)):
            at = time.monotonic_ns()
            self.oracle.leases.append(Call(name, at, at + 1, ("acquire", name), ("ok", token), "duty"))
        self.oracle.acts += [AcceptedOperation("duty", 7, 0, 1), AcceptedOperation("duty", 6, 2, 3)]
        self.finds("('acquire', 'h1') by h1", "token 5 was granted to", "two holders acted")

    def test_time_without_service(self):
        oracle = self.oracle
        oracle._acknowledged += [oracle.began + int(s * 1e9) for s in (0.1, 1.0, 1.1, 3.1)]
        oracle.poor.append((oracle.began + int(0.4 * 1e9), oracle.began + int(2.1 * 1e9)))
        gaps = [tuple(round(ns / 1e9, 3) for ns in (at - oracle.began, *rest)) for at, *rest in oracle.unavailable()]
        self.assertEqual(gaps, [(0.1, 0.9, 0.3), (1.1, 2.0, 1.0)])


class ScheduleTest(unittest.TestCase):
    def test_the_seed_decides_all_and_a_line_gives_the_fault_back(self):
        voters, followers = ["n0", "n1", "n2"], ["f0", "f1"]
        faults = schedule(7, 500, voters, followers)
        self.assertEqual(faults, schedule(7, 500, voters, followers))
        self.assertNotEqual(faults, schedule(8, 500, voters, followers))
        self.assertEqual([Fault.read(str(fault)) for fault in faults], faults)
        self.assertEqual({fault.kind for fault in faults}, set(KINDS))
        takes = [fault.round for fault in faults if KINDS[fault.kind].takes_disk]
        self.assertEqual(len(takes), len(set(takes)))  # no two disks in one round
