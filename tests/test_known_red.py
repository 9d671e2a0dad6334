"""KNOWN-RED.txt: the tests in it have to fail and are reported, and an invalid file is an error of the run."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
SUITE = """
import unittest
import pytest

def test_green():
    pass

def test_red():
    assert 1 == 2

@pytest.mark.parametrize("n", [1, 2])
def test_each(n):
    assert n == 1

@pytest.mark.skip(reason="off")
def test_off():
    pass

@pytest.fixture
def broken():
    raise ValueError

def test_broken(broken):
    pass

@pytest.fixture
def ends_broken():
    yield
    raise ValueError

def test_ends_broken(ends_broken):
    assert 1 == 2

def test_subtests(subtests):
    for n in (1, 2, 3):
        with subtests.test(n=n):
            assert n != 2

class UnitTest(unittest.TestCase):
    def test_red(self):
        self.fail()

    def test_green(self):
        pass

    def test_parts(self):
        for n in (1, 2, 3):
            with self.subTest(n=n):
                self.assertNotEqual(n, 2)

    def test_green_parts(self):
        for n in (1, 2):
            with self.subTest(n=n):
                pass

    def test_off(self):
        self.skipTest("off")

    @unittest.expectedFailure
    def test_expected(self):
        self.fail()
"""


def run_pytest(folder, known, *arguments, suite=SUITE):
    """Runs pytest as CI does, in a folder of its own; returns its exit code and output."""
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(suite)
    (folder / "tests" / "test_other.py").write_text("def test_other():\n    pass\n")
    if known is not None:
        (folder / "KNOWN-RED.txt").write_bytes(known if isinstance(known, bytes) else known.encode())
    env = os.environ | {"PYTHONPATH": str(HERE), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "known_red", *arguments]
    result = subprocess.run(command, cwd=folder, env=env, capture_output=True, text=True)
    return result.returncode, result.stdout + result.stderr


def name(test):
    """The id of a test of the suite."""
    return f"tests/test_it.py::{test}"


FAILING = ("test_red", "test_each[2]", "test_subtests", "UnitTest::test_red", "UnitTest::test_parts")


@pytest.mark.parametrize("test", FAILING)
def test_a_listed_test_has_to_fail_and_is_reported_with_cause_and_issue(test, tmp_path):
    code, printed = run_pytest(tmp_path, f"{name(test)} | it counts wrongly | issue 7\n", name(test))
    assert code == 0 and " xfailed" in printed and "skipped" not in printed, printed
    assert "known to fail, by KNOWN-RED.txt" in printed
    assert f"{name(test)}: failed: it counts wrongly (issue 7)" in printed


@pytest.mark.parametrize(
    ("test", "result"),
    [
        ("test_green", "PASSED"),
        ("test_each[1]", "PASSED"),
        ("UnitTest::test_green", "PASSED"),
        ("UnitTest::test_green_parts", "PASSED"),
        ("test_off", "SKIPPED"),
        ("UnitTest::test_off", "SKIPPED"),
        ("UnitTest::test_expected", "SKIPPED"),
        ("test_broken", "BROKE in its setup"),
        ("test_ends_broken", "BROKE in its teardown"),
    ],
)
def test_a_listed_test_that_does_not_fail_in_its_own_part_fails_the_run(test, result, tmp_path):
    code, printed = run_pytest(tmp_path, f"{name(test)} | it counts wrongly | 7\n", name(test))
    assert code == 1 and f"{name(test)}: {result}" in printed, printed


AT_TIMES = "at times, 1 of 20 | it counts wrongly | 7"


@pytest.mark.parametrize("test", ["test_green", "UnitTest::test_green_parts"])
def test_a_test_that_fails_at_times_may_pass_and_is_counted(test, tmp_path):
    code, printed = run_pytest(tmp_path, f"{name(test)} | {AT_TIMES}\n", name(test))
    assert code == 0 and "1 xpassed" in printed, printed
    assert f"{name(test)}: passed: at times, 1 of 20: it counts wrongly (issue 7)" in printed
    assert "1 x a test that fails at times" in printed


@pytest.mark.parametrize("test", FAILING)
def test_a_test_that_fails_at_times_may_fail_and_is_counted(test, tmp_path):
    code, printed = run_pytest(tmp_path, f"{name(test)} | {AT_TIMES}\n", name(test))
    assert code == 0 and " xfailed" in printed and "xpassed" not in printed, printed
    assert f"{name(test)}: failed: at times, 1 of 20: it counts wrongly (issue 7)" in printed


@pytest.mark.parametrize(
    ("test", "result"), [("test_off", "SKIPPED"), ("test_broken", "BROKE in its setup"), ("test_ends_broken", "BROKE")]
)
def test_a_test_that_fails_at_times_has_to_run(test, result, tmp_path):
    code, printed = run_pytest(tmp_path, f"{name(test)} | {AT_TIMES}\n", name(test))
    assert code == 1 and f"{name(test)}: {result}" in printed, printed


def test_benchmark_cases_are_printed_and_the_number_of_entries_is_unlimited(tmp_path):
    cases = "".join(f"bench | lbreal score x --seed {seed} | drain, 12 times | 42\n" for seed in range(20))
    code, printed = run_pytest(tmp_path, cases, name("test_green"))
    assert code == 0 and "lbreal score x --seed 19: a bench, not run here: drain, 12 times (issue 42)" in printed
    assert "20 x a case of a bench, not run here" in printed, printed


@pytest.mark.parametrize(
    ("known", "code", "message"),
    [
        (f"{name('test_red')} | c | 7\n", 0, f"{name('test_red')}: failed: c (issue 7)"),
        (f"{name('test_green')} | c | 7\n", 1, f"{name('test_green')}: PASSED"),
        (f"{name('test_green')} | {AT_TIMES}\n", 0, f"{name('test_green')}: passed: at times, 1 of 20"),
    ],
)
def test_the_rules_hold_for_tests_in_worker_processes(known, code, message, tmp_path):
    test = known.partition(" | ")[0]
    result, printed = run_pytest(tmp_path, known, test, "-p", "xdist", "-n", "2")
    assert result == code and message in printed, printed


def test_a_missing_test_is_an_error_in_worker_processes_too(tmp_path):
    code, printed = run_pytest(tmp_path, f"{name('test_rad')} | c | 7\n", "-p", "xdist", "-n", "2")
    assert code == pytest.ExitCode.USAGE_ERROR and f"KNOWN-RED.txt:1: there is no test {name('test_rad')}" in printed, (
        printed
    )


def test_failures_of_other_tests_still_count(tmp_path):
    code, printed = run_pytest(tmp_path, f"{name('test_red')} | it counts wrongly | #7\n")
    assert code == 1 and "FAILED tests/test_it.py::UnitTest::test_red" in printed, printed
    assert "FAILED tests/test_it.py::test_each[2]" in printed and "FAILED tests/test_it.py::test_red" not in printed
    assert " 2 xfailed" in printed, "one of them is marked in the suite itself"


def test_without_a_file_nothing_is_printed(tmp_path):
    code, printed = run_pytest(tmp_path, None, name("test_green"))
    assert code == 0 and "KNOWN-RED" not in printed


@pytest.mark.parametrize(
    ("known", "message"),
    [
        (f"{name('test_red')} | c | 7\n{name('test_red')} | d | 8\n", "KNOWN-RED.txt:2: tests/test_it.py::test_red is"),
        (
            f"{name('test_red')} | c | 7\n\n",
            "KNOWN-RED.txt:2: a line is `test id | cause | issue`, `test id | at times",
        ),
        ("# one by one\n", "KNOWN-RED.txt:1: a line is"),
        (f"{name('test_red')}\n", "KNOWN-RED.txt:1: a line is"),
        (f"{name('test_red')} | c\n", "KNOWN-RED.txt:1: a line is"),
        (f"{name('test_red')} |  | 7\n", "KNOWN-RED.txt:1: a line is"),
        (f"{name('test_red')} | c | soon\n", "KNOWN-RED.txt:1: a line is"),
        (f"{name('test_red')} | c | 7 | 8\n", "KNOWN-RED.txt:1: a line is"),
        ("tests/test_it.py | c | 7\n", "KNOWN-RED.txt:1: a line is"),
        ("bench | c | 7\n", "KNOWN-RED.txt:1: a line is"),
        ("bench | score x --seed 1 | at times, 1 of 2 | c | 7\n", "KNOWN-RED.txt:1: a line is"),
        ("bench | score x | c | 7\nbench | score x | d | 7\n", "KNOWN-RED.txt:2: score x is named twice"),
        (f"{name('test_red')} | at times | c | 7\n", "KNOWN-RED.txt:1: how often a test fails is"),
        (f"{name('test_red')} | at times, 0 of 3 | c | 7\n", "KNOWN-RED.txt:1: how often a test fails is"),
        (f"{name('test_red')} | at times, 3 of 3 | c | 7\n", "KNOWN-RED.txt:1: how often a test fails is"),
        (b"\xff | c | 7\n", "KNOWN-RED.txt: it can't be read"),
        (f"{name('test_rad')} | c | 7\n", "KNOWN-RED.txt:1: there is no test tests/test_it.py::test_rad"),
        (f"{name('test_each')} | c | 7\n", "KNOWN-RED.txt:1: there is no test tests/test_it.py::test_each"),
        ("tests/test_gone.py::test_it | c | 7\n", "KNOWN-RED.txt:1: there is no test tests/test_gone.py::test_it"),
    ],
)
def test_an_invalid_file_is_an_error_of_the_whole_run(known, message, tmp_path):
    code, printed = run_pytest(tmp_path, known)
    assert code == pytest.ExitCode.USAGE_ERROR and f"ERROR: {message}" in printed, printed


@pytest.mark.parametrize(
    "arguments", [["tests/test_other.py"], [name("test_green")], ["--deselect", name("test_gone")]]
)
def test_a_test_can_be_absent_if_its_file_is_not_collected_as_a_whole(arguments, tmp_path):
    code, printed = run_pytest(tmp_path, f"{name('test_gone')} | c | 7\n", *arguments)
    assert code != pytest.ExitCode.USAGE_ERROR and f"{name('test_gone')}: not run: c (issue 7)" in printed, printed


@pytest.mark.parametrize("arguments", [["tests/test_it.py"], ["tests/"], ["."], ["-k", "other"]])
def test_a_test_is_missing_if_its_whole_file_is_collected(arguments, tmp_path):
    code, printed = run_pytest(tmp_path, f"{name('test_gone')} | c | 7\n", *arguments)
    assert code == pytest.ExitCode.USAGE_ERROR and "there is no test" in printed, printed


def test_a_test_file_that_cannot_be_imported_is_reported_as_such(tmp_path):
    code, printed = run_pytest(tmp_path, f"{name('test_gone')} | c | 7\n", suite="import gone_away\n")
    assert code == pytest.ExitCode.INTERRUPTED and "No module named 'gone_away'" in printed, printed


def test_this_suite_loads_the_plugin(pytestconfig):
    assert any(type(plugin).__name__ == "KnownRed" for plugin in pytestconfig.pluginmanager.get_plugins())
