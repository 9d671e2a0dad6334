"""The scale runs at a small size: changes reach every stub and real sidecar; the program imports nothing of them."""

import os
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from scene import ROOT

from benchmarks.scale import points, scenarios, sockets
from benchmarks.scale.fit import fit_line
from benchmarks.scale.fleet import Fleet, RunFailed, Size
from benchmarks.scale.hollow import LIST, OVERRIDE
from benchmarks.scale.scenarios import LISTS_CHANGES, LISTS_WHOLE, OVERRIDES

STUBS = 20
REAL = 2
VOTERS = 3
IN_FORCE_TIMEOUT = 17  # s, within which a change has to be in force at every sidecar


class SmallFleetTest(unittest.TestCase):
    """One fleet for all tests: each leaves it complete, except for the one that kills the leader.

    The tests run in the order of their names; that one has to run after the test of the usage, which counts followers.
    """

    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(Fleet(Size(STUBS, REAL, VOTERS, cores=True, per_process=10)))
        cls.fleet.start()

    def states(self):
        """The states of all stub sidecars by name."""
        return {name: state for process in self.fleet.stubs for name, state in process.states().items()}

    def overrides(self):
        """The providers that the fleet has disabled so far."""
        return {f"x{number + 1}" for number in range(self.fleet.override_count)}

    def test_an_override_and_a_change_of_the_list_reach_every_sidecar(self):
        for phase in (OVERRIDES, LISTS_CHANGES, LISTS_WHOLE):
            with self.subTest(phase):
                usage, times = scenarios.changes(self.fleet, phase, 3, seconds=20)
                self.assertEqual(3, len(times))
                for row in times:
                    self.assertTrue(0 < row.first <= row.last < IN_FORCE_TIMEOUT)
                    self.assertTrue(0 < row.last_real < IN_FORCE_TIMEOUT)
                self.assertEqual(set(self.fleet.process_names().values()), {row.process for row in usage})
        states = self.states()
        self.assertEqual(STUBS, len(states))
        for state in states.values():
            self.assertLessEqual(self.overrides(), state.out)
            self.assertEqual(self.fleet.members.index, state.version)

    def test_the_usage_of_each_process_is_counted(self):
        usage, _ = scenarios.idle(self.fleet, seconds=3)
        by_role = {role: [row for row in usage if row.role == role] for role in {row.role for row in usage}}
        self.assertEqual({"leader", "voter", "real", "hollow", "discovery"}, set(by_role))
        self.assertEqual(STUBS + REAL, sum(row.followers for row in by_role["leader"] + by_role["voter"]))
        for row in usage:
            with self.subTest(row.process):
                self.assertGreater(row.cpu, 0)
                self.assertGreater(row.resident, 5_000_000)
        for row in by_role["hollow"] + by_role["real"]:
            # A poll a second, each one message and its response; a sample may fall between the two.
            polls = row.sidecars * row.seconds
            self.assertAlmostEqual(polls, row.voter_messages_out, delta=row.sidecars)
            self.assertAlmostEqual(polls, row.voter_messages_in, delta=row.sidecars)
            self.assertGreater(row.voter_bytes_in, row.voter_bytes_out)

    def test_restarted_stub_sidecars_have_every_override(self):
        _, times = scenarios.restart(self.fleet, self.fleet.stubs[0], overrides=10)
        self.assertEqual(["restart-word", "restart-list"], [row.phase for row in times])
        for state in self.fleet.stubs[0].states().values():
            self.assertLessEqual(self.overrides(), state.out)

    def test_stalled_sidecars_delay_no_others_and_catch_up(self):
        _, (*overrides, back) = scenarios.stalled(self.fleet, self.fleet.stubs[1], 3)
        for row in overrides:
            self.assertLess(row.last, IN_FORCE_TIMEOUT)
        self.assertEqual("stalled-back", back.phase)
        self.assertLess(back.last, IN_FORCE_TIMEOUT)
        for state in self.fleet.stubs[1].states().values():
            self.assertLessEqual(self.overrides(), state.out)

    def test_a_zone_with_a_voter_is_lost_and_restarts_while_the_others_go_on(self):
        _, rows = scenarios.zone(self.fleet, self.fleet.stubs[0], overrides=10)
        self.assertEqual(["zone-others", "zone-word", "zone-list", "zone-voter"], [row.phase for row in rows])
        for row in rows:
            self.assertLess(row.last, IN_FORCE_TIMEOUT)
        for state in self.states().values():
            self.assertLessEqual(self.overrides(), state.out)

    def test_with_the_leader_killed_every_sidecar_has_the_acknowledged_overrides(self):
        _, (row,) = scenarios.leader_killed(self.fleet, seconds=6)
        self.assertGreater(row.size, 0)  # acknowledged overrides
        self.assertLess(row.last, IN_FORCE_TIMEOUT)

    def test_the_error_names_the_sidecars_that_lack_a_change(self):
        overrides = self.fleet.submit_override().number
        self.fleet.wait_reached(OVERRIDE, overrides)
        with self.assertRaisesRegex(RunFailed, "'h0'.*'h19'"):
            self.fleet.wait_reached(OVERRIDE, overrides + 1, timeout=0.2)
        self.assertEqual([], self.fleet.lacking(LIST, self.fleet.members.index))


class TwoRegions(unittest.TestCase):
    """A partition between two regions, which then heals."""

    def test_regions_that_were_apart_have_all_that_was_promised_and_nothing_that_was_refused(self):
        with Fleet(Size(STUBS, REAL, VOTERS, per_process=10, regions=2)) as fleet:
            fleet.start()
            _, (*overrides, back) = scenarios.region(fleet, 3, seconds=4)  # raises if a sidecar lacks an override
        for row in (*overrides, back):
            self.assertLess(row.last, IN_FORCE_TIMEOUT)
            self.assertLess(row.last_real, IN_FORCE_TIMEOUT)


class PartsTest(unittest.TestCase):
    """The kernel's counters, the fit, the CSV files, and what the program imports."""

    def test_the_kernels_counters_are_those_of_the_connection(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = self.enterContext(socket.create_connection(listener.getsockname()))
            with listener.accept()[0] as server:
                client.sendall(b"x" * 1000)
                server.recv(1000, socket.MSG_WAITALL)
                server.sendall(b"y" * 10)
                client.recv(10)
                inode = os.fstat(client.fileno()).st_ino
                self.assertIn(inode, sockets.inodes(os.getpid()))
                found = next(c for c in sockets.connections() if c.inode == inode)
                self.assertEqual(client.getsockname(), found.local)
                self.assertEqual(listener.getsockname(), found.remote)
                self.assertEqual((10, 1, 1), (found.counters.bytes_in, *found.counters[2:]))
                self.assertIn(found.counters.bytes_out, (1000, 1001))  # the kernel counts the SYN as one byte

    def test_a_line_is_fitted_with_its_errors(self):
        line = fit_line([0, 1, 2, 3], [1.0, 3.0, 5.0, 7.0])
        self.assertAlmostEqual(2, line.slope)
        self.assertAlmostEqual(1, line.intercept)
        self.assertAlmostEqual(0, line.slope_error)
        rough = fit_line([0, 1, 2, 3], [1.0, 4.0, 4.0, 7.0])
        self.assertAlmostEqual(1.8, rough.slope)
        self.assertAlmostEqual(0.42426, rough.slope_error, places=5)
        self.assertIsNone(fit_line([1, 1, 1], [1.0, 2.0, 3.0]))

    def test_the_program_imports_nothing_of_the_scale_runs(self):
        code = (
            "import sys, loftweir.__main__, loftweir.sidecar, loftweir.replication.part;"
            "print([name for name in sys.modules if name.startswith('benchmarks')])"
        )
        environment = os.environ | {"PYTHONPATH": str(ROOT)}
        ran = subprocess.run([sys.executable, "-c", code], env=environment, capture_output=True, text=True, timeout=60)
        self.assertEqual("[]", ran.stdout.strip(), ran.stderr)

    def test_points_are_kept_and_read_again(self):
        row = points.TimeRow(1, OVERRIDES, 20, 2, 3, 0, 0, 0.01, 0.02, 0.03, 0.04, 1.5, 9000)
        with tempfile.TemporaryDirectory() as folder:
            points.append([row], Path(folder))
            points.append([row], Path(folder))
            kept = points.read(points.TIMES, Path(folder))
        self.assertEqual(2, len(kept))
        self.assertEqual(("words", "0.03"), (kept[0]["phase"], kept[0]["last"]))
