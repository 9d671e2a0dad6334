"""The command line: the output and exit code of each command."""

import json
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from scene import ROOT, SidecarTest, StubServer, entry, eventually, http_response, list_body, ok
from support import MS, SECOND, endpoint, full_list, settings

from loftweir.cli.root import COMMANDS, loftweir
from loftweir.config.faults import Faulty
from loftweir.explain import Traffic, explain
from loftweir.interface import Lifecycle

EXAMPLE = str(ROOT / "examples" / "config.json")


def call(*arguments, code=0, environment=None):
    """Runs a command, and checks its exit code."""
    result = CliRunner(env={"NO_COLOR": "1", "COLUMNS": "200"} | (environment or {})).invoke(loftweir, arguments)
    assert result.exit_code == code, result.output
    return result


def test_every_command_has_help_and_the_version_is_printed():
    for name in COMMANDS:
        assert "Usage: " in call(name, "--help").stdout
    assert re.fullmatch(r"loftweir \d+\.\d+\.\d+\n", call("--version").stdout)
    assert "No such command" in call("cheque", code=2).stderr


def test_check_prints_all_faults_of_both_files(tmp_path):
    (tmp_path / "c.json").write_text('{"listen": "nowhere"}')
    (tmp_path / "o.toml").write_text("[limits]\nbody = 5\nidle = 1\n")
    arguments = ("check", "--config", str(tmp_path / "c.json"), "--operator", str(tmp_path / "o.toml"))
    *lines, remedy = call(*arguments, code=2).stderr.splitlines()
    assert remedy == Faulty.remedy
    assert {line.split(": ")[1] for line in lines} == {
        "limits.body",
        "limits.idle",
        "listen",
        "discovery",
        "limits.sockets",
        "limits.memory_mb",
        "seed",
        "settings",
        "known",
    }
    faults = json.loads(call(*arguments, "--json", code=2).stdout)
    assert len(faults) == len(lines) and set(faults[0]) == {"file", "path", "value", "expected"}
    assert call("check", "--config", EXAMPLE).stdout == "nothing wrong\n"
    assert json.loads(call("check", "--config", EXAMPLE, "--json").stdout) == []


def test_config_show_prints_the_source_of_each_value(tmp_path):
    (tmp_path / "o.toml").write_text('[limits]\nidle_for = "9s"\n')
    arguments = ("config", "show", "--config", EXAMPLE, "--operator", str(tmp_path / "o.toml"), "--json")
    environment = {"RELAY_LISTEN": "127.0.0.1:7", "LOFTWEIR_LOG_LEVEL": "debug"}
    rows = {row["key"]: row for row in json.loads(call(*arguments, environment=environment).stdout)}
    expected = {
        "listen": ("127.0.0.1:7", "environment"),
        "discovery": ("127.0.0.1:8500", "file"),
        "limits.idle_for": ("9s", "file"),
        "log.level": ("debug", "environment"),
        "log.keep": ("64KiB", "default"),
    }
    assert {key: (rows[key]["value"], rows[key]["source"]) for key in expected} == expected
    assert rows["settings.zone"]["of"] == "platform" and rows["limits.idle_for"]["of"] == "operator"


def test_config_diff_distinguishes_changes_by_reload_from_those_that_need_a_restart(tmp_path):
    a, b = tmp_path / "a.toml", tmp_path / "b.toml"
    a.write_text("")
    b.write_text('[limits]\nbacklog = 9\nidle_for = "9s"\n')
    rows = json.loads(call("config", "diff", str(a), str(b), "--json").stdout)
    assert [(row["key"], row["takes"]) for row in rows] == [("limits.idle_for", "live"), ("limits.backlog", "restart")]
    assert call("config", "diff", str(a), str(a)).stdout == "no difference\n"
    a.write_text("[limits]\nx = 1\n")
    assert "limits.x" in call("config", "diff", str(a), str(b), code=2).stderr
    before, after = json.loads(Path(EXAMPLE).read_text()), json.loads(Path(EXAMPLE).read_text())
    after |= {"discovery": "127.0.0.1:9", "limits": before["limits"] | {"sockets": 7}}
    (tmp_path / "c.json").write_text(json.dumps(after))
    rows = json.loads(call("config", "diff", EXAMPLE, str(tmp_path / "c.json"), "--json").stdout)
    assert {row["key"]: row["takes"] for row in rows} == {"discovery": "live", "limits.sockets": "restart"}


def test_the_reference_is_printed_as_markdown_and_toml():
    assert call("config", "reference").stdout == (ROOT / "docs" / "configuration-reference.md").read_text()
    assert call("config", "reference", "--format", "toml").stdout == (ROOT / "deploy" / "loftweir.toml").read_text()


# ---- explain ----------------------------------------------------------------------------------------


PROVIDERS = [endpoint("a1"), endpoint("a2"), endpoint("b1", "b")]


def reasons(explanation, name):
    """All reasons for which a provider was passed over."""
    return {reason for d in explanation.decisions for reason in d.others.get(name, [])}


def test_explain_spreads_requests_in_the_zone_and_gives_the_reason_for_the_other_zone():
    explanation = explain(settings(), full_list(*PROVIDERS), Traffic("read", 40))
    assert explanation.attempts == {"a1": 20, "a2": 20, "b1": 0} and explanation.outcomes == {"served": 40}
    assert reasons(explanation, "b1") == {"other zone"} and reasons(explanation, "a1") == set()


@pytest.mark.parametrize(
    ("how", "reason"),
    [("silent", "no room"), ("resets", "set aside"), ("refuses", "turned a call away"), ("full", "turned a call away")],
)
def test_explain_gives_the_reason_why_a_misbehaving_provider_is_passed_over(how, reason):
    explanation = explain(
        settings(), full_list(*PROVIDERS, endpoint("a3")), Traffic("read", 60, 20 * MS), behaves={"a1": how}
    )
    assert reason in reasons(explanation, "a1")
    assert explanation.attempts["a1"] < explanation.attempts["a2"]


def test_explain_gives_the_reasons_draining_cold_and_failing_the_class():
    now = 100 * SECOND
    draining, cold = endpoint("a2", lifecycle=Lifecycle.DRAINING), endpoint("b1", "b", started_at=now)
    explanation = explain(settings(balancers=3), full_list(PROVIDERS[0], draining, cold), Traffic("read", 5), began=now)
    assert reasons(explanation, "a2") == {"drains"} and reasons(explanation, "b1") == {"cold", "other zone"}
    explanation = explain(
        settings(), full_list(*PROVIDERS[:2]), Traffic("read", 40, 20 * MS), behaves={"a1": "errs", "a2": "errs"}
    )
    assert "fails the class" in reasons(explanation, "a1") | reasons(explanation, "a2")


def test_explain_is_deterministic_for_a_seed_and_reports_the_outcome_of_every_request():
    first, repeated, other_seed = (
        explain(settings(), full_list(*PROVIDERS), Traffic("push", 100, 10 * MS, 300 * MS), seed) for seed in (1, 1, 2)
    )
    assert first == repeated != other_seed
    assert sum(first.outcomes.values()) == 100 and first.outcomes.get("served", 0) < 100
    assert explain(settings(), full_list(), Traffic("read", 3)).outcomes == {"rejected": 3}


def test_the_explain_command_reads_the_list_from_a_file_or_a_running_discovery(tmp_path):
    entries = [entry("x1", "127.0.0.1:1", "alm-1"), entry("x2", "127.0.0.1:2", "alm-1", "leaving")]
    (tmp_path / "list.json").write_bytes(list_body(3, entries, True))
    arguments = ("explain", "--config", EXAMPLE, "-n", "6", "--class", "apply-submit")
    explanation = json.loads(call(*arguments, "--list", str(tmp_path / "list.json"), "--json").stdout)
    assert explanation["attempts"] == {"x1": 6, "x2": 0} and len(explanation["decisions"]) == 6
    live = StubServer(lambda head, body: http_response(200, list_body(4, entries[:1], True)))
    table = call(*arguments, "--live", "--each", environment={"RELAY_DISCOVERY": live.address}).stdout
    live.close()
    assert re.search(r"^x1 +6 +-$", table, re.M) and "served 6" in table
    assert "no list" in call(*arguments, "--live", code=2, environment={"RELAY_DISCOVERY": live.address}).stderr
    assert "not on the list" in call(*arguments, "--behaves", "ghost=silent", code=2).stderr
    assert "is none of" in call(*arguments[:5], "--class", "tea", code=2).stderr


# ---- log --------------------------------------------------------------------------------------------


def test_log_filters_prints_and_counts_records(tmp_path):
    file = tmp_path / "log"
    lines = [
        {"time": f"2026-12-01T08:00:0{n}.000Z", "level": level, "event": event, "id": f"r{n}"}
        for n, (level, event) in enumerate([("info", "access"), ("error", "invocation.overdue"), ("info", "access")])
    ]
    file.write_text("".join(json.dumps(line) + "\n" for line in lines) + "noise\n")
    result = call("log", str(file), "--level", "error")
    assert result.stdout == "2026-12-01T08:00:01.000Z error   invocation.overdue id=r1\n"
    assert result.stderr == "1 lines are not of this log\n"
    assert json.loads(call("log", str(file), "--id", "r2", "--json").stdout) == lines[2]
    counts = json.loads(call("log", str(file), "--count", "--json").stdout)
    assert {row["event"]: row["count"] for row in counts} == {"access": 2, "invocation.overdue": 1}
    assert "is no event" in call("log", str(file), "--event", "acess", code=2).stderr
    assert "is not a time" in call("log", str(file), "--since", "noon", code=2).stderr
    assert "access" in call("log", "--events").stdout


def test_log_counts_over_the_logs_of_a_fleet(tmp_path):
    def access(second, how, *outcomes):
        calls = [{"provider": f"s-{n}", "outcome": o, "connect_ms": 0.4 * (n == 0)} for n, o in enumerate(outcomes)]
        time = f"2026-12-01T08:00:0{second}.500Z"
        return {"time": time, "level": "info", "event": "access", "how": how, "calls": calls}

    logs = {
        "one": [access(1, "served", "error", "ok"), access(2, "rejected")],
        "two": [
            access(1, "failed", "timed_out"),
            {"time": "2026-12-01T08:00:02Z", "level": "warning", "event": "discovery.watch_failed", "left_out": 3},
            {"time": "2026-12-01T08:00:02Z", "level": "info", "event": "log.repeats"}
            | {"of": "discovery.watch_failed", "left_out": 2},
            {"time": "never", "level": "info", "event": "access", "how": "served", "calls": []},
        ],
    }
    for name, lines in logs.items():
        (tmp_path / name).write_text("".join(json.dumps(line) + "\n" for line in lines))
    arguments = ("log", "--fleet", "--every", "1s", *(str(tmp_path / name) for name in logs))
    first, second = json.loads(call(*arguments, "--json").stdout)["spans"]
    expected = {"invocations": 2, "served": 1, "failed": 1, "calls": 3, "further": 1, "connected": 2, "ok": 1}
    assert {name: first[name] for name in expected} == expected
    assert (second["invocations"], second["rejected"], second["discovery_failed"]) == (1, 1, 6)
    providers = json.loads(call(*arguments, "--json").stdout)["providers"]
    assert [list(p.values())[:4] for p in providers] == [["s-0", 0, 1, 1], ["s-1", 1, 0, 0]]
    assert call(*arguments).stdout.splitlines()[-1].split() == ["s-1", "1", "0", "0", "0", "0", "0"]


# ---- run and try ------------------------------------------------------------------------------------


class RunTest(SidecarTest):
    def test_flags_take_precedence_over_the_file(self):
        self.start(ok)
        with self.errors.open("wb") as errors:
            arguments = ["run", "--config", str(self.path), "--log-format", "console", "--log-level", "error"]
            second = subprocess.run([sys.executable, "-m", "loftweir", *arguments], stderr=errors, cwd=ROOT, timeout=20)
        self.assertEqual(second.returncode, 2, "the address is in use")
        self.assertRegex(self.log(), r"error +start\.failed why='.*in use'")


def test_try_serves_requests_and_stops_cleanly_on_ctrl_c():
    arguments = [sys.executable, "-u", "-m", "loftweir", "try", "--providers", "2"]
    program = subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=subprocess.PIPE, cwd=ROOT, text=True)
    try:
        lines = []
        assert eventually(lambda: "Ctrl-C" in (lines.append(program.stdout.readline()) or lines[-1]), 20)
        commands = [line.split("   ")[0].strip() for line in lines if "curl" in line]
        outputs = [subprocess.check_output(c.replace("curl", "curl -s"), shell=True, text=True) for c in commands]
        assert "ready" in outputs[0] and "served GET /api" in outputs[1] and "name=A" in outputs[2]
        assert outputs[3] == "told\n"
        program.send_signal(signal.SIGINT)
        assert program.wait(15) == 0
        log = program.stderr.read()
        assert "stop.done" in log and "Traceback" not in log
    finally:
        program.kill()
        program.wait()
        program.stdout.close(), program.stderr.close()
