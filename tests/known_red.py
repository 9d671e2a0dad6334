"""Tests that are known to fail, by `KNOWN-RED.txt` at the root: each of its lines is `test id | cause | issue`.

The tests named there, and no others, are expected failures that have to fail: one that passes or is skipped is a
failure of the run, and so is one that breaks before or after its own part. A file in another form, with too many lines
or with a test that no collected file has is an error of the whole run. Nothing is skipped on its behalf.
"""

from __future__ import annotations

import re
from collections.abc import Generator
from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3
ISSUE = re.compile(r"(?:issue |#)?([1-9]\d*)")
FORM = "test id | cause | issue"


class Red(NamedTuple):
    """One test that is known to fail."""

    line: int
    test: str
    cause: str
    issue: str


def read(file: Path) -> dict[str, Red]:
    """The tests named, by their ids; no file: none. A `UsageError` names the line at fault."""
    if not file.exists():
        return {}
    try:
        lines = file.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise pytest.UsageError(f"{FILE}: it can't be read: {error}") from None
    if len(lines) > MOST:
        raise pytest.UsageError(f"{FILE}:{MOST + 1}: {MOST} lines at most, and it has {len(lines)}: {lines[MOST]!r}")
    found: dict[str, Red] = {}
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split(" | ")]
        issue = ISSUE.fullmatch(parts[-1])
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or issue is None:
            raise pytest.UsageError(f"{FILE}:{number}: a line is `{FORM}`, the issue by its number, not {line!r}")
        if parts[0] in found:
            raise pytest.UsageError(f"{FILE}:{number}: {parts[0]} is named twice")
        found[parts[0]] = Red(number, parts[0], parts[1], issue[1])
    return found


class KnownRed:
    """The hooks. Invariants: `came` has how each named test went, once it has run; `inside` is the test whose own part
    runs now, so that reports made then are of its subtests; `part_failed` is true once one of those has failed."""

    def __init__(self, config: pytest.Config) -> None:
        self.reds = read(config.rootpath / FILE)
        self.came: dict[str, str] = {}
        self.inside: pytest.Item | None = None
        self.part_failed = False

    @pytest.hookimpl(tryfirst=True)  # before -k and the like take tests away
    def pytest_collection_modifyitems(
        self, session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """A test that does not exist is an error, where all of its file has been collected."""
        if session.testsfailed:
            return  # a file that can't be collected is told by itself
        there = {item.nodeid for item in items}
        for red in self.reds.values():
            if red.test not in there and self.whole(config, red.test.partition("::")[0]):
                raise pytest.UsageError(f"{FILE}:{red.line}: there is no test {red.test}")

    def whole(self, config: pytest.Config, file: str) -> bool:
        """Whether this run collects all tests that the file has or would have."""
        if any(config.getoption(option, None) for option in ("ignore", "ignore_glob", "deselect", "lf")):
            return False
        path = (config.rootpath / file).resolve()
        asked = [(config.invocation_params.dir / arg).resolve() for arg in config.args if "::" not in arg]
        return any(path.is_relative_to(folder) for folder in asked)

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_call(self, item: pytest.Item) -> Generator[None, None, None]:
        self.inside, self.part_failed = item, False
        try:
            return (yield)
        finally:
            self.inside = None

    @pytest.hookimpl(wrapper=True, tryfirst=True)  # outermost: what other plugins make of the report is done
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        red = self.reds.get(item.nodeid)
        if red is None:
            return report
        if self.inside is item:
            if report.failed:
                self.part_failed = True
                expected(report, red)
        elif report.when == "call" and (report.failed or (report.passed and self.part_failed)):
            self.came[red.test] = "failed"
            expected(report, red)
        elif report.when == "call" or report.skipped:
            self.came[red.test] = f"{report.outcome.upper()}, take its line out or see why"
            report.longrepr = f"{FILE}:{red.line} names it as failing, and it was {report.outcome}"
            report.outcome = "failed"
            vars(report).pop("wasxfail", None)
        elif report.failed:
            self.came[red.test] = f"BROKE in its {report.when}, not in its own part"
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if self.reds:
            terminalreporter.section(f"known to fail, by {FILE}")
        for red in self.reds.values():
            came = self.came.get(red.test, "not run")
            terminalreporter.write_line(f"{red.test}: {came}: {red.cause} (issue {red.issue})")


def expected(report: pytest.TestReport, red: Red) -> None:
    """The report of a failure becomes that of an expected one."""
    report.outcome = "skipped"
    report.wasxfail = f"{red.cause} (issue {red.issue})"  # type: ignore[attr-defined]


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(config))
