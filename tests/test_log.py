"""The log: its events, its formats, and that the program never waits for the log's reader."""

import ast
import fcntl
import json
import os
import signal
import socket
import subprocess
import threading
import time
from contextlib import suppress
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from scene import ONCE, SidecarTest, eventually, ok

from loftweir.telemetry import catalogue
from loftweir.telemetry.access import MODES, access_log_reason
from loftweir.telemetry.catalogue import EVENTS
from loftweir.telemetry.formats import FORMATS, clean
from loftweir.telemetry.log import record_of
from loftweir.telemetry.reading import Filter, count_events, parse_line, read_records
from loftweir.telemetry.repeats import MAX_KEYS, Repeats
from loftweir.telemetry.writer import Writer

ROOT = Path(__file__).parent.parent
SMALL_PIPE = 4096  # bytes


# ---- the catalogue --------------------------------------------------------------------------------


def emitted():
    """Every call of `emit` in the program: the event's constant, the fields, and the file."""
    for file in (ROOT / "loftweir").rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
            called = node.func if isinstance(node, ast.Call) else None
            if getattr(called, "attr", getattr(called, "id", "")) == "emit" and node.args:
                names = set()
                for keyword in node.keywords:
                    if keyword.arg is not None:
                        names.add(keyword.arg)
                    elif isinstance(keyword.value, ast.Dict):  # **{"class": ...}
                        names |= {key.value for key in keyword.value.keys}
                    else:  # a Fault's own fields
                        names |= {"file", "path", "value", "expected"}
                yield getattr(node.args[0], "id", ""), names, file.name


def test_every_logged_event_is_in_the_catalogue_with_its_fields():
    logged = {}
    for name, fields, file in emitted():
        if name == "event":  # passed through by a helper
            continue
        event = getattr(catalogue, name, None)
        assert event is not None, f"{file} logs {name}"
        assert fields == set(event.fields), f"{file} logs {name}"
        logged[event.name] = True
    passed_through = {"start.fault", "reload.fault", "log.dropped"}
    assert logged.keys() | passed_through == EVENTS.keys(), "every event of the catalogue is logged somewhere"


def test_the_on_call_page_has_the_catalogues_table():
    assert catalogue.table() in (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")


# ---- repeats ----------------------------------------------------------------------------------------


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 400)), max_size=60), st.booleans())
def test_every_event_is_logged_or_counted_once_and_no_key_is_logged_twice_in_an_interval(steps, poll):
    repeats, now, logged_at, logged, counted = Repeats(1000), 0, {}, 0, 0
    for key, gap in steps:
        now += gap
        if poll and key == 0:
            counted += sum(n for _, n in repeats.due(now))
        left_out = repeats.admit(key, now)
        if left_out is not None:
            assert now - logged_at.get(key, -1000) >= 1000
            logged_at[key] = now
            logged += 1
            counted += left_out
    assert logged + counted + sum(n for _, n in repeats.last()) == len(steps)


def test_any_number_of_keys_takes_bounded_memory_and_hides_nothing():
    repeats = Repeats(1000)
    assert [repeats.admit(n, 0) for n in range(10 * MAX_KEYS)] == [0] * (10 * MAX_KEYS)
    assert len(repeats.keys) == MAX_KEYS
    assert repeats.admit(0, 1) is None
    assert repeats.admit("new", 5000) == 0 and len(repeats.keys) == MAX_KEYS


# ---- formats ----------------------------------------------------------------------------------------


HOSTILE = 'x" level=error event=stop.begun\n{"event":"stop.begun"}\x1b[2J\x00\u2028\x85\u202e\ud800'


@pytest.mark.parametrize("form", FORMATS)
@given(value=st.one_of(st.just(HOSTILE), st.text(), st.binary().map(lambda b: b.decode("utf-8", "surrogateescape"))))
def test_no_value_can_end_a_line_or_look_like_a_field(form, value):
    record = record_of(EVENTS["invocation.overdue"], {"id": value, "class": "c"})
    line = FORMATS[form]().format(record).encode("utf-8", "backslashreplace").decode()
    assert line.isprintable() and len(line.splitlines()) == 1
    if form != "console":
        record = parse_line(line)
        assert record is not None and record["event"] == "invocation.overdue" and record["level"] == "error"
        assert record["class"] == "c"


def test_a_long_value_is_cut_and_shows_its_length():
    assert clean("x" * 10_000).endswith("(10000 characters)") and len(clean("x" * 10_000)) < 450


def test_access_lines_are_chosen_by_outcome_time_and_id():
    ids = [f"r{n}" for n in range(4000)]
    assert {access_log_reason("troubled", i, 200, 1, 500, 0.5) for i in ids} == {""}
    assert access_log_reason("troubled", "r", 503, 1, 500, 0) == "failed"
    assert access_log_reason("troubled", "r", 200, 500, 500, 0) == "slow"
    share = [access_log_reason("sampled", i, 200, 1, 500, 0.1) for i in ids].count("sample") / len(ids)
    assert 0.08 < share < 0.12
    assert {access_log_reason("off", i, 503, 9999, 500, 1.0) for i in ids} == {""} and "off" in MODES


def test_a_log_is_parsed_filtered_and_counted():
    lines = [
        '{"time":"2026-12-01T08:00:00.000Z","level":"info","event":"access","id":"r1","calls":[{"provider":"s1"}]}\n',
        '{"time":"2026-12-01T08:00:01.000Z","level":"warning","event":"accept.failed","why":"x","left_out":4}\n',
        '{"time":"2026-12-01T08:00:12.000Z","level":"info","event":"log.repeats","of":"accept.failed","left_out":3}\n',
        'time=2026-12-01T08:00:13.000Z level=warning event=discovery.watch_failed why="not up"\n',
        "Traceback (most recent call last):\n",
        '{"time":"2026-12-01T08:00:0',
    ]
    matching = lambda **f: [r["event"] for r, _ in read_records(lines, Filter(**f)) if r is not None]  # noqa: E731
    assert matching(level="warning") == ["accept.failed", "discovery.watch_failed"]
    assert matching(events=("discovery",)) == ["discovery.watch_failed"]
    assert matching(request_id="r1") == matching(provider="s1") == ["access"]
    assert matching(since=1796112012.0) == ["log.repeats", "discovery.watch_failed"]
    records = [r for r, _ in read_records(lines, Filter()) if r is not None]
    assert len([r for r, _ in read_records(lines, Filter()) if r is None]) == 2
    first, second = count_events(records, 10)
    assert first[1]["accept.failed"] == 5 and second[1] == {"accept.failed": 3, "discovery.watch_failed": 1}


# ---- the writer -------------------------------------------------------------------------------------


def pipe(size=SMALL_PIPE):
    """A pipe that holds `size` bytes: its read end and its write end."""
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, size)
    return read_end, write_end


def dropped_line(lines):
    """The line that reports dropped lines."""
    return f"dropped {lines}\n".encode()


@given(st.lists(st.one_of(st.integers(1, 900), st.sampled_from(["read", "some", "flush"])), max_size=120))
def test_lines_are_whole_and_in_order_and_each_gap_is_counted_whatever_the_reader_does(steps):
    read_end, write_end = pipe()
    os.set_blocking(read_end, False)
    writer, sent, received = Writer(write_end, 2000, dropped_line), 0, b""
    for step in steps:
        if isinstance(step, int):
            writer.write(b"%d %s\n" % (sent, b"x" * step))
            sent += 1
            assert writer.buffered_bytes == sum(map(len, writer.buffered)) <= 2000 + 900
        elif step == "flush":
            writer.flush()
        else:
            with suppress(BlockingIOError):
                received += os.read(read_end, 65536 if step == "read" else 700)
    for _ in range(3):  # the reader catches up
        writer.flush()
        with suppress(BlockingIOError):
            received += os.read(read_end, 65536)
    number = 0
    for line in received.split(b"\n")[:-1]:
        if line.startswith(b"dropped "):
            number += int(line.split()[1])
        else:
            assert int(line.split()[0]) == number
            number += 1
    assert number == sent
    for fd in (read_end, write_end, writer.fd):
        os.close(fd)


def test_a_reader_that_closes_and_is_replaced(tmp_path):
    path = tmp_path / "fifo"
    os.mkfifo(path)
    read_end = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    write_end = os.open(path, os.O_WRONLY)
    writer = Writer(write_end, 2000, dropped_line)
    writer.write(b"one\n")
    assert os.read(read_end, 100) == b"one\n"
    os.close(read_end)
    writer.write(b"two\n")
    writer.write(b"three\n")
    read_end = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    writer.write(b"four\n")
    writer.write(b"five\n")
    assert os.read(read_end, 100) == b"dropped 3\nfive\n"
    os.close(read_end), os.close(write_end)


def test_a_shared_pipe_keeps_its_flags_and_writing_to_a_socket_never_blocks():
    read_end, write_end = pipe()
    Writer(write_end, 100, dropped_line)
    assert not fcntl.fcntl(write_end, fcntl.F_GETFL) & os.O_NONBLOCK
    near, far = socket.socketpair()
    writer = Writer(near.fileno(), 2000, dropped_line)
    for _ in range(3000):
        writer.write(b"x" * 500 + b"\n")
    assert writer.dropped > 0 and near.getblocking()
    for fd in (read_end, write_end):
        os.close(fd)
    near.close(), far.close()


# ---- on the real program ----------------------------------------------------------------------------


class StalledReaderTest(SidecarTest):
    operator = '[log]\naccess = "all"\nkeep = "2KiB"\n'

    def begin(self):
        """Starts the program with a small pipe for its log, and returns the read end."""
        read_end, self.stderr = pipe()
        self.start(ok)
        os.close(self.stderr)
        self.stderr = None
        self.assertTrue(eventually(self.watch_stands))
        return read_end

    def watch_stands(self):
        """Whether the watch has begun: from then on the program logs only what a test causes."""
        return any("wait_ms=" in head and "wait_ms=0" not in head for head, *_ in self.discovery.seen)

    def send_requests(self, requests):
        """Sends requests over one connection, checks that all are served, and returns the time of the slowest."""
        client, slowest = self.client(), 0.0
        for _ in range(requests):
            began = time.monotonic()
            self.assertEqual(self.invoke(client=client)[0], 200)
            slowest = max(slowest, time.monotonic() - began)
        return slowest

    def test_a_stalled_reader_delays_no_answer_and_gets_the_number_of_dropped_lines(self):
        read_end = self.begin()
        self.addCleanup(os.close, read_end)
        self.assertLess(self.send_requests(300), 1.0)
        data, requests = b"", 300

        def caught_up():
            nonlocal data
            os.set_blocking(read_end, False)
            with suppress(BlockingIOError):
                data += os.read(read_end, 65536)
            return b"log.dropped" in data and data.endswith(b"\n")

        self.assertTrue(eventually(caught_up))
        records = [json.loads(line) for line in data.splitlines()]
        dropped = [r["lines"] for r in records if r["event"] == "log.dropped"]
        accesses = [r for r in records if r["event"] == "access"]
        self.assertGreater(dropped[0], 100)
        self.assertEqual(len(accesses) + sum(dropped), requests)
        self.send_requests(1)
        self.assertTrue(eventually(lambda: caught_up() and len(data.splitlines()) > len(records)))

    def test_the_program_survives_a_reader_that_closes_the_pipe(self):
        os.close(self.begin())
        self.send_requests(50)
        self.assertIsNone(self.program.poll())
        self.terminate()
        self.assertEqual(self.program.wait(10), 0)


class ReloadTest(SidecarTest):
    operator = '[limits]\nbody = "2KiB"\n[log]\nrepeat_every = "0s"\n'

    def traffic(self):
        """Starts clients that send requests without a pause until the test ends; returns the list of their statuses."""
        statuses, stop = [], threading.Event()

        def send():
            client = self.client()
            while not stop.is_set():
                statuses.append(self.invoke(client=client)[0])

        threads = [threading.Thread(target=send) for _ in range(2)]
        for thread in threads:
            thread.start()

        def end():
            stop.set()
            for thread in threads:
                thread.join(10)

        self.addCleanup(end)
        return statuses

    def status_of_3_kib(self):
        """The status of a request with a body of 3000 bytes."""
        return self.invoke(ONCE, body=b"x" * 3000)[0]

    def hup(self):
        """Sends SIGHUP and waits for a line in the log."""
        before = len(self.log().splitlines())
        self.program.send_signal(signal.SIGHUP)
        self.assertTrue(eventually(lambda: len(self.log().splitlines()) > before))

    def test_a_reload_under_load_applies_everything_or_nothing(self):
        self.start(ok)
        statuses = self.traffic()
        self.assertEqual(self.status_of_3_kib(), 413)
        valid = '[limits]\nbody = "4KiB"\n'
        cases = {
            None: {""},
            "limits =": {""},
            '[limits]\nbody = "4Ki': {""},
            "limits = 5": {"limits"},
            f'{valid}idle_for = true\n[log]\nlevel = "loud"\n[nothing]': {"limits.idle_for", "log.level", "nothing"},
        }
        for text, paths in cases.items():
            with self.subTest(text=text):
                before = len(self.logged("reload.fault"))
                if text is None:
                    self.operator_path.unlink()
                else:
                    self.operator_path.write_text(text)
                self.hup()
                self.assertTrue(eventually(lambda b=before, p=paths: len(self.logged("reload.fault")) == b + len(p)))
                self.assertEqual({f["path"] for f in self.logged("reload.fault")[before:]}, paths)
                self.assertEqual(self.status_of_3_kib(), 413, "nothing may change")
        self.operator_path.write_text(valid)
        self.path.write_text("{")  # the platform's file is invalid now: the operator's must not be applied alone
        self.hup()
        self.assertEqual(self.status_of_3_kib(), 413)
        self.path.write_text(json.dumps(self.config))
        self.program.send_signal(signal.SIGHUP)
        self.program.send_signal(signal.SIGHUP)
        self.assertTrue(eventually(lambda: self.logged("reload.done")))
        self.assertEqual(self.logged("reload.done")[0]["changed"], ["limits.body", "log.repeat_every"])
        self.assertEqual(self.status_of_3_kib(), 200)
        self.assertGreater(len(statuses), 20)
        self.assertEqual(set(statuses), {200})

    def test_an_empty_file_means_the_defaults(self):
        self.start(ok)
        self.operator_path.write_text("")
        self.hup()
        self.assertEqual(self.status_of_3_kib(), 200)


class AccessTest(SidecarTest):
    operator = '[log]\naccess = "all"\nformat = "logfmt"\n'

    def records(self):
        return [record for record in map(parse_line, self.log().splitlines()) if record and record["event"] == "access"]

    def test_a_client_cannot_forge_a_line(self):
        self.start(ok)
        forged = 'x" level=error event=stop.begun why="\t'
        self.assertEqual(self.invoke(request_id=forged)[0], 200)
        self.assertTrue(eventually(self.records))
        (record,) = self.records()
        self.assertEqual((record["level"], record["how"]), ("info", "served"))
        self.assertNotIn("stop.begun", [parse_line(line)["event"] for line in self.log().splitlines()])
        bad = b"GET /api HTTP/1.1\r\nHost: x\r\nReq-Kind: status-read\r\nReq-Id: a\x1b[2J\x85\xff\r\n\r\n"
        self.assertTrue(self.send_raw(bad).startswith(b"HTTP/1.1 400 "))

    def test_an_access_line_has_each_attempt_and_the_phases(self):
        self.operator = '[log]\naccess = "all"\n'
        answers = iter([None, ok("", b"")])
        self.start(lambda head, body: next(answers))
        self.assertEqual(self.invoke(request_id="r1")[0], 503, "reset, and there is no other provider")
        self.assertEqual(self.invoke(ONCE, request_id="r2")[0], 200)
        self.assertTrue(eventually(lambda: len(self.logged("access")) == 2))
        first, second = self.logged("access")
        self.assertEqual((first["how"], first["calls"][0]["outcome"]), ("rejected", "reset"))
        (attempt,) = second["calls"]
        self.assertEqual((attempt["provider"], attempt["outcome"], second["class"]), ("s0", "ok", ONCE))
        phases = second["head_ms"] + second["decision_ms"] + second["write_ms"]
        phases += attempt["connect_ms"] + attempt["send_ms"] + attempt["answer_ms"]
        self.assertLessEqual(phases, second["ms"] + 0.01)

    def test_a_client_that_closes_its_connection_is_logged_as_gone(self):
        self.operator = '[log]\naccess = "troubled"\n'
        gate = threading.Event()
        self.addCleanup(gate.set)
        self.start(lambda head, body: gate.wait(10) and ok(head, body))
        client = self.client()
        client.request("GET", "/api", headers={"Req-Id": "r", "Req-Kind": "status-read"})
        self.assertTrue(eventually(lambda: self.providers[0].seen))
        client.close()
        self.assertTrue(eventually(lambda: self.logged("access")))
        (record,) = self.logged("access")
        self.assertEqual((record["how"], record["calls"][0]["outcome"]), ("gone", None))


def test_one_sidecar_does_not_import_the_tools():
    program = "import loftweir.daemon, sys; print([m for m in ('click', 'tomllib', 'difflib') if m in sys.modules])"
    done = subprocess.run(["python", "-c", program], capture_output=True, text=True, cwd=ROOT, check=True)
    assert done.stdout == "[]\n"
