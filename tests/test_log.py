"""The log: what is said, how it looks, and that nobody ever waits for its reader."""

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
from scene import ONCE, Scene, eventually, ok

from loftweir.telemetry import catalogue
from loftweir.telemetry.access import MODES, access_log_reason
from loftweir.telemetry.catalogue import EVENTS
from loftweir.telemetry.formats import FORMATS, clean
from loftweir.telemetry.log import record_of
from loftweir.telemetry.reading import Filter, over_time, parse, read
from loftweir.telemetry.repeats import MOST_KEYS, Repeats
from loftweir.telemetry.writer import Writer

ROOT = Path(__file__).parent.parent
SMALL_PIPE = 4096


# ---- the catalogue --------------------------------------------------------------------------------


def said():
    """Every call of `emit` in the program: the event's constant and the fields given."""
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


def test_what_is_said_is_in_the_catalogue_with_its_fields():
    found = {}
    for name, fields, file in said():
        if name == "event":  # passed through: `say_faults`
            continue
        event = getattr(catalogue, name, None)
        assert event is not None, f"{file} says {name}"
        assert fields == set(event.fields), f"{file} says {name}"
        found[event.name] = True
    through = {"start.fault", "reload.fault", "log.dropped"}
    assert found.keys() | through == EVENTS.keys(), "no event that is never said"


def test_the_on_call_page_has_the_catalogues_table():
    assert catalogue.table() in (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")


# ---- repeats ----------------------------------------------------------------------------------------


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 400)), max_size=60), st.booleans())
def test_all_that_came_is_said_or_counted_once_and_no_key_twice_in_an_interval(steps, ask):
    repeats, now, said_at, said_times, counted = Repeats(1000), 0, {}, 0, 0
    for key, gap in steps:
        now += gap
        if ask and key == 0:
            counted += sum(n for _, n in repeats.due(now))
        left_out = repeats.admit(key, now)
        if left_out is not None:
            assert now - said_at.get(key, -1000) >= 1000
            said_at[key] = now
            said_times += 1
            counted += left_out
    assert said_times + counted + sum(n for _, n in repeats.last()) == len(steps)


def test_as_many_keys_as_anybody_sends_take_bounded_room_and_hide_nothing():
    repeats = Repeats(1000)
    assert [repeats.admit(n, 0) for n in range(10 * MOST_KEYS)] == [0] * (10 * MOST_KEYS)
    assert len(repeats.keys) == MOST_KEYS
    assert repeats.admit(0, 1) is None
    assert repeats.admit("new", 5000) == 0 and len(repeats.keys) == MOST_KEYS


# ---- formats ----------------------------------------------------------------------------------------


NASTY = 'x" level=error event=stop.begun\n{"event":"stop.begun"}\x1b[2J\x00\u2028\x85\u202e\ud800'


@pytest.mark.parametrize("form", FORMATS)
@given(value=st.one_of(st.just(NASTY), st.text(), st.binary().map(lambda b: b.decode("utf-8", "surrogateescape"))))
def test_no_value_can_end_a_line_or_pass_for_a_field(form, value):
    record = record_of(EVENTS["invocation.overdue"], {"id": value, "class": "c"})
    line = FORMATS[form]().format(record).encode("utf-8", "backslashreplace").decode()
    assert line.isprintable() and len(line.splitlines()) == 1
    if form != "console":
        found = parse(line)
        assert found is not None and found["event"] == "invocation.overdue" and found["level"] == "error"
        assert found["class"] == "c"


def test_a_long_value_is_cut_and_says_so():
    assert clean("x" * 10_000).endswith("(10000 characters)") and len(clean("x" * 10_000)) < 450


def test_the_access_line_is_chosen_by_outcome_time_and_id():
    ids = [f"r{n}" for n in range(4000)]
    assert {access_log_reason("troubled", i, 200, 1, 500, 0.5) for i in ids} == {""}
    assert (
        access_log_reason("troubled", "r", 503, 1, 500, 0) == "failed"
        and access_log_reason("troubled", "r", 200, 500, 500, 0) == "slow"
    )
    share = [access_log_reason("sampled", i, 200, 1, 500, 0.1) for i in ids].count("sample") / len(ids)
    assert 0.08 < share < 0.12
    assert {access_log_reason("off", i, 503, 9999, 500, 1.0) for i in ids} == {""} and "off" in MODES


def test_a_log_is_read_back_filtered_and_counted():
    lines = [
        '{"time":"2026-12-01T08:00:00.000Z","level":"info","event":"access","id":"r1","calls":[{"provider":"s1"}]}\n',
        '{"time":"2026-12-01T08:00:01.000Z","level":"warning","event":"accept.failed","why":"x","left_out":4}\n',
        '{"time":"2026-12-01T08:00:12.000Z","level":"info","event":"log.repeats","of":"accept.failed","left_out":3}\n',
        'time=2026-12-01T08:00:13.000Z level=warning event=discovery.watch_failed why="not up"\n',
        "Traceback (most recent call last):\n",
        '{"time":"2026-12-01T08:00:0',
    ]
    kept = lambda **f: [r["event"] for r, _ in read(lines, Filter(**f)) if r is not None]  # noqa: E731
    assert kept(level="warning") == ["accept.failed", "discovery.watch_failed"]
    assert kept(events=("discovery",)) == ["discovery.watch_failed"]
    assert kept(request_id="r1") == kept(provider="s1") == ["access"]
    assert kept(since=1796112012.0) == ["log.repeats", "discovery.watch_failed"]
    records = [r for r, _ in read(lines, Filter()) if r is not None]
    assert len([r for r, _ in read(lines, Filter()) if r is None]) == 2
    first, second = over_time(records, 10)
    assert first[1]["accept.failed"] == 5 and second[1] == {"accept.failed": 3, "discovery.watch_failed": 1}


# ---- the writer -------------------------------------------------------------------------------------


def pipe(size=SMALL_PIPE):
    reads, writes = os.pipe()
    fcntl.fcntl(writes, fcntl.F_SETPIPE_SZ, size)
    return reads, writes


def notice(lines):
    return f"dropped {lines}\n".encode()


@given(st.lists(st.one_of(st.integers(1, 900), st.sampled_from(["read", "some", "flush"])), max_size=120))
def test_whole_lines_in_order_with_each_gap_counted_whatever_the_reader_does(steps):
    reads, writes = pipe()
    os.set_blocking(reads, False)
    writer, sent, got = Writer(writes, 2000, notice), 0, b""
    for step in steps:
        if isinstance(step, int):
            writer.write(b"%d %s\n" % (sent, b"x" * step))
            sent += 1
            assert writer.kept_bytes == sum(map(len, writer.kept)) <= 2000 + 900
        elif step == "flush":
            writer.flush()
        else:
            with suppress(BlockingIOError):
                got += os.read(reads, 65536 if step == "read" else 700)
    for _ in range(3):  # the reader catches up
        writer.flush()
        with suppress(BlockingIOError):
            got += os.read(reads, 65536)
    number = 0
    for line in got.split(b"\n")[:-1]:
        if line.startswith(b"dropped "):
            number += int(line.split()[1])
        else:
            assert int(line.split()[0]) == number
            number += 1
    assert number == sent
    for fd in (reads, writes, writer.fd):
        os.close(fd)


def test_a_reader_that_goes_and_one_that_comes_back(tmp_path):
    path = tmp_path / "fifo"
    os.mkfifo(path)
    reads = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    writes = os.open(path, os.O_WRONLY)
    writer = Writer(writes, 2000, notice)
    writer.write(b"one\n")
    assert os.read(reads, 100) == b"one\n"
    os.close(reads)
    writer.write(b"two\n")
    writer.write(b"three\n")
    reads = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    writer.write(b"four\n")
    writer.write(b"five\n")
    assert os.read(reads, 100) == b"dropped 3\nfive\n"
    os.close(reads), os.close(writes)


def test_a_shared_pipe_keeps_its_flags_and_a_socket_is_never_waited_for():
    reads, writes = pipe()
    Writer(writes, 100, notice)
    assert not fcntl.fcntl(writes, fcntl.F_GETFL) & os.O_NONBLOCK
    near, far = socket.socketpair()
    writer = Writer(near.fileno(), 2000, notice)
    for _ in range(3000):
        writer.write(b"x" * 500 + b"\n")
    assert writer.dropped > 0 and near.getblocking()
    for fd in (reads, writes):
        os.close(fd)
    near.close(), far.close()


# ---- on the real program ----------------------------------------------------------------------------


class StuckReaderTest(Scene):
    operator = '[log]\naccess = "all"\nkeep = "2KiB"\n'

    def begin(self):
        reads, self.stderr = pipe()
        self.start(ok)
        os.close(self.stderr)
        self.stderr = None
        self.assertTrue(eventually(self.watch_stands))
        return reads

    def watch_stands(self):
        """The program has said so: from here on it logs nothing but what a test causes."""
        return any("wait_ms=" in head and "wait_ms=0" not in head for head, *_ in self.catalog.seen)

    def load(self, requests):
        """Requests over one connection: how long the slowest took, and that all were served."""
        client, slowest = self.client(), 0.0
        for _ in range(requests):
            began = time.monotonic()
            self.assertEqual(self.invoke(client=client)[0], 200)
            slowest = max(slowest, time.monotonic() - began)
        return slowest

    def test_a_stalled_reader_costs_no_answer_and_learns_how_many_lines_it_missed(self):
        reads = self.begin()
        self.addCleanup(os.close, reads)
        self.assertLess(self.load(300), 1.0)
        data, asked = b"", 300

        def caught_up():
            nonlocal data
            os.set_blocking(reads, False)
            with suppress(BlockingIOError):
                data += os.read(reads, 65536)
            return b"log.dropped" in data and data.endswith(b"\n")

        self.assertTrue(eventually(caught_up))
        records = [json.loads(line) for line in data.splitlines()]
        dropped = [r["lines"] for r in records if r["event"] == "log.dropped"]
        accesses = [r for r in records if r["event"] == "access"]
        self.assertGreater(dropped[0], 100)
        self.assertEqual(len(accesses) + sum(dropped), asked)
        self.load(1)
        self.assertTrue(eventually(lambda: caught_up() and len(data.splitlines()) > len(records)))

    def test_a_reader_that_closes_the_pipe_is_survived(self):
        os.close(self.begin())
        self.load(50)
        self.assertIsNone(self.program.poll())
        self.terminate()
        self.assertEqual(self.program.wait(10), 0)


class ReloadTest(Scene):
    operator = '[limits]\nbody = "2KiB"\n[log]\nrepeat_every = "0s"\n'

    def traffic(self):
        """Clients that ask without a pause, until the test ends; what they were answered."""
        statuses, stop = [], threading.Event()

        def ask():
            client = self.client()
            while not stop.is_set():
                statuses.append(self.invoke(client=client)[0])

        threads = [threading.Thread(target=ask) for _ in range(2)]
        for thread in threads:
            thread.start()

        def end():
            stop.set()
            for thread in threads:
                thread.join(10)

        self.addCleanup(end)
        return statuses

    def status_of_3_kib(self):
        return self.invoke(ONCE, body=b"x" * 3000)[0]

    def hup(self):
        before = len(self.log().splitlines())
        self.program.send_signal(signal.SIGHUP)
        self.assertTrue(eventually(lambda: len(self.log().splitlines()) > before))

    def test_a_reload_takes_all_or_nothing_in_the_middle_of_traffic(self):
        self.start(ok)
        statuses = self.traffic()
        self.assertEqual(self.status_of_3_kib(), 413)
        good = '[limits]\nbody = "4KiB"\n'
        cases = {
            None: {""},
            "limits =": {""},
            '[limits]\nbody = "4Ki': {""},
            "limits = 5": {"limits"},
            f'{good}idle_for = true\n[log]\nlevel = "loud"\n[nothing]': {"limits.idle_for", "log.level", "nothing"},
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
                self.assertEqual(self.status_of_3_kib(), 413, "nothing has changed")
        self.operator_path.write_text(good)
        self.path.write_text("{")  # the platform's file is bad now: the operator's must not go through alone
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

    def test_an_empty_file_is_the_defaults(self):
        self.start(ok)
        self.operator_path.write_text("")
        self.hup()
        self.assertEqual(self.status_of_3_kib(), 200)


class AccessTest(Scene):
    operator = '[log]\naccess = "all"\nformat = "logfmt"\n'

    def records(self):
        return [record for record in map(parse, self.log().splitlines()) if record and record["event"] == "access"]

    def test_a_client_cannot_forge_a_line(self):
        self.start(ok)
        forged = 'x" level=error event=stop.begun why="\t'
        self.assertEqual(self.invoke(request_id=forged)[0], 200)
        self.assertTrue(eventually(self.records))
        (record,) = self.records()
        self.assertEqual((record["level"], record["how"]), ("info", "served"))
        self.assertNotIn("stop.begun", [parse(line)["event"] for line in self.log().splitlines()])
        bad = b"GET /api HTTP/1.1\r\nHost: x\r\nReq-Kind: status-read\r\nReq-Id: a\x1b[2J\x85\xff\r\n\r\n"
        self.assertTrue(self.raw(bad).startswith(b"HTTP/1.1 400 "))

    def test_the_line_has_each_call_and_the_phases(self):
        self.operator = '[log]\naccess = "all"\n'
        answers = iter([None, ok("", b"")])
        self.start(lambda head, body: next(answers))
        self.assertEqual(self.invoke(request_id="r1")[0], 503, "reset, and nowhere else to go")
        self.assertEqual(self.invoke(ONCE, request_id="r2")[0], 200)
        self.assertTrue(eventually(lambda: len(self.logged("access")) == 2))
        first, second = self.logged("access")
        self.assertEqual((first["how"], first["calls"][0]["outcome"]), ("rejected", "reset"))
        (call,) = second["calls"]
        self.assertEqual((call["provider"], call["outcome"], second["class"]), ("s0", "ok", ONCE))
        phases = second["head_ms"] + second["decision_ms"] + second["write_ms"]
        phases += call["connect_ms"] + call["send_ms"] + call["answer_ms"]
        self.assertLessEqual(phases, second["ms"] + 0.01)

    def test_one_who_goes_is_said_to_have_gone(self):
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


def test_one_sidecar_pays_for_no_tool():
    words = "import loftweir.daemon, sys; print([m for m in ('click', 'tomllib', 'difflib') if m in sys.modules])"
    done = subprocess.run(["python", "-c", words], capture_output=True, text=True, cwd=ROOT, check=True)
    assert done.stdout == "[]\n"
