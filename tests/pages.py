"""Runs the examples of a Markdown page against the program, and checks what the page shows.

sybil finds the blocks and keeps their order. Each page has a folder of its own that looks like the repository's root,
one namespace for its Python and one bash for its shell, so that later blocks build on earlier ones. Each address
127.0.0.1:PORT of a page is replaced by one with a free port, and replaced back in what the commands print.
"""

import json
import os
import re
import select
import shutil
import signal
import subprocess
import sys
import tomllib
import traceback
from contextlib import chdir, suppress
from doctest import ELLIPSIS, OutputChecker

from scene import ROOT
from sybil import Document, Example, Region
from sybil.evaluators.doctest import DocTestEvaluator
from sybil.evaluators.python import PythonEvaluator
from sybil.example import SybilFailure
from sybil.parsers.abstract.doctest import DocTestStringParser
from sybil.parsers.markdown.lexers import DirectiveInHTMLCommentLexer, RawFencedCodeBlockLexer

from loftweir.config import operator, platform
from loftweir.config.faults import Faulty
from loftweir.config.model import Options
from loftweir.emulator import scenario
from loftweir.standins.addresses import LOOPBACK, Addresses
from loftweir.telemetry.catalogue import EVENTS, level_name
from loftweir.telemetry.reading import parse_line, parse_time

FENCES = RawFencedCodeBlockLexer(re.compile(r"[ \t]*(?P<language>[^\n]*?)[ \t]*$\n", re.MULTILINE))
COMMENTS = DirectiveInHTMLCommentLexer("not run|first|until|file")
INDENTED = re.compile(r"(?:\A|\n[ \t]*\n)(?=(?: {4,}|\t)(?![-*+] |\d+[.)] )\S)")  # a nested list is not code
ADDRESS = re.compile(r"(127\.0\.0\.1[:/ ])([1-9]\d*)\b")
PAGE_ADDRESSES = Addresses(LOOPBACK)
COMMON_FIELDS = {"time", "level", "event"}


class Shell:
    """A bash and the processes that it starts, in a process group that is killed with it."""

    def __init__(self, folder, timeout):
        """`folder` has the page's `root`; a step may take `timeout` seconds."""
        self.folder, self.timeout = folder, timeout
        self.steps, self.code, self.alive = 0, 0, True
        self.exit_codes, self.exit_codes_in = os.pipe()
        environment = {
            "PATH": f"{folder}/root/.venv/bin:{os.environ['PATH']}",
            "PYTHONPATH": str(ROOT),
            "HOME": str(folder),
            "TMPDIR": str(folder / "tmp"),
            "NO_COLOR": "1",
            "LC_ALL": "C.UTF-8",
        }
        self.bash = subprocess.Popen(
            ["bash", "--norc"], stdin=subprocess.PIPE, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
            cwd=folder / "root", env=environment, pass_fds=(self.exit_codes_in,), start_new_session=True,
        )  # fmt: skip
        os.close(self.exit_codes_in)

    def run(self, source, strict=True):
        """Runs commands; returns the last exit code and the output. `strict`: the first that fails ends the shell."""
        if not self.alive:
            raise SystemError("not tried: the page's shell ended before")
        printed, self.steps = self.folder / f"printed-{self.steps}", self.steps + 1
        step = self.folder / f"step-{self.steps}"
        step.write_text(source + "\n", encoding="utf-8")
        # `(exit N)` sets `$?` to the exit code of the step before. Processes of the step do not inherit the pipe.
        options = "set -e -o pipefail" if strict else f"set +e +o pipefail; (exit {self.code})"
        output = self.folder / f"printed-{self.steps}"
        streams = f"</dev/null >{output} 2>&1 {self.exit_codes_in}>&-"
        self.bash.stdin.write(
            f"OUTPUT={printed}; {options}; . {step} {streams}; echo $? >&{self.exit_codes_in}\n".encode()
        )
        self.bash.stdin.flush()
        ready, _, _ = select.select([self.exit_codes], [], [], self.timeout)
        code = os.read(self.exit_codes, 64) if ready else b""
        self.alive = bool(code)
        self.code = int(code or 1)
        text = output.read_text(encoding="utf-8", errors="replace") if output.exists() else ""
        if not ready:
            raise TimeoutError(f"took over {self.timeout} s; it printed\n{text}")
        return self.code, text

    def close(self):
        """Kills the process group."""
        # The shell has not been reaped, so that no other process group can have its number.
        with suppress(ProcessLookupError):
            os.killpg(self.bash.pid, signal.SIGKILL)
        self.bash.wait()
        with suppress(OSError):
            self.bash.stdin.close()
        os.close(self.exit_codes)


class Page:
    """A page and its folder. `run` returns its faults, each with its place."""

    def __init__(self, path, folder, timeout=20):
        self.path, self.folder, self.timeout = path, folder, timeout
        self.ports = {}  # for each port of the page the free port that replaces it
        self.marks = {}  # comments about the next block
        self.marks_end = 0  # the position after the last of them
        self.shell = None
        self.runners = {
            "python": self.python, "sh": self.sh, "console": self.console,
            "toml": self.toml, "json": self.json, "log": self.log,
        }  # fmt: skip

    def run(self):
        """Runs all examples and returns the faults."""
        self.create_folder()
        document = Document.parse(str(self.path), self.regions)
        faults = []
        try:
            with chdir(self.folder / "root"):
                faults = [fault for example in document.examples() if (fault := self.fault_of(example))]
        finally:
            if self.shell is not None:
                self.shell.close()
        if self.marks:
            faults.append(f"{self.path.name}: {list(self.marks)}: it is not followed by a block")
        return faults

    def create_folder(self):
        """Creates the folder of the examples: like the repository's root after a build, with a configuration."""
        root = self.folder / "root"
        (self.folder / "tmp").mkdir()
        (root / ".venv" / "bin").mkdir(parents=True)
        (self.folder / ".curlrc").write_text("silent\nshow-error\n")  # without the progress meter, as at a terminal
        for name in ("loftweir", "benchmarks", "Makefile", "requirements.txt", "requirements-dev.txt"):
            (root / name).symlink_to(ROOT / name)
        for name in ("deploy", "examples", "scenarios"):
            shutil.copytree(ROOT / name, root / name)
        config = root / "examples" / "config.json"
        config.write_text(self.with_free_ports(config.read_text(encoding="utf-8")), encoding="utf-8")
        shutil.copy(config, root / "config.json")
        shutil.copy(root / "deploy" / "loftweir.toml", root)
        (root / ".venv" / "made").touch()
        (root / ".venv-dev").symlink_to(".venv")
        programs = {"python": "", "python3": "", "loftweir": " -c 'from loftweir.cli import main; main()'"}
        for name, arguments in programs.items():
            program = root / ".venv" / "bin" / name
            program.write_text(f'#!/bin/sh\nexec "{sys.executable}"{arguments} "$@"\n')
            program.chmod(0o755)

    def with_free_ports(self, text):
        """The text with the page's ports replaced by free ones."""

        def free(match):
            if match[2] not in self.ports:
                taken = self.ports.values()
                while (port := free_port()) in taken:
                    pass
                self.ports[match[2]] = port
            return match[1] + self.ports[match[2]]

        return ADDRESS.sub(free, text)

    def with_page_ports(self, text):
        """The text with the page's own ports again."""
        shown = {free: port for port, free in self.ports.items()}
        return ADDRESS.sub(lambda match: match[1] + shown.get(match[2], match[2]), text)

    def regions(self, document):
        """The parser for sybil: yields all fenced blocks, comments with directives, and indented blocks of a page."""
        fences = list(FENCES(document))
        comments = [c for c in COMMENTS(document) if not any(f.start <= c.start < f.end for f in fences)]
        fences = [f for f in fences if not any(c.start <= f.start < c.end for c in comments)]
        taken = [*fences, *comments]
        indented = [Region(match.end(), match.end() + 1) for match in INDENTED.finditer(document.text)]
        indented = [r for r in indented if not any(t.start <= r.start < t.end for t in taken)]
        for regions, evaluator in ((fences, self.block), (comments, self.comment), (indented, self.indented)):
            for region in regions:
                region.parsed, region.evaluator = region.lexemes.get("source"), evaluator
                yield region

    def fault_of(self, example):
        """Runs an example and returns its fault, or None."""
        try:
            example.evaluate()
        except SybilFailure as error:
            return f"{self.path.name}:{example.line}: {error.result}"
        except Exception as error:
            here = [f for f in traceback.extract_tb(error.__traceback__) if f.filename == example.path]
            line, source = (here[-1].lineno, here[-1].line) if here else (example.line, "")
            return f"{self.path.name}:{line}: {type(error).__name__}: {error} {source}"
        return None

    def indented(self, example):
        """An indented block, which has no language and is never run."""
        return "an indented block; fence it, with its language"

    def comment(self, example):
        """Runs the commands of `first`, or stores a mark for the next block."""
        lexemes = example.region.lexemes
        text = f"{lexemes['arguments']}\n{lexemes['source']}".strip()
        if not text:
            return f"{lexemes['directive']}: it has no text"
        if lexemes["directive"] == "first":
            return self.sh(example, text)
        self.marks[lexemes["directive"]] = text
        self.marks_end = example.document.text.index("-->", example.end) + 3
        return None

    def block(self, example):
        """Runs a fenced block by its language and the marks before it."""
        marks, self.marks = self.marks, {}
        if marks and example.document.text[self.marks_end : example.start].strip():
            return f"{list(marks)}: it is not followed by a block"
        if "not run" in marks:
            return None
        language = example.region.lexemes["language"]
        if language not in self.runners:
            return f"a block of {language or 'no language'!r} is not run; mark it with <!-- not run: why -->"
        if "file" in marks:
            text = join_lines(example.parsed) if language == "log" else example.parsed
            (self.folder / "root" / marks["file"]).write_text(self.with_free_ports(text), encoding="utf-8")
        if "until" in marks:
            return self.left_running(example.parsed, marks["until"])
        return self.runners[language](example, example.parsed)

    # ---- runners of blocks: each returns the fault of a block, or None ---------------------------------------

    def python(self, example, source):
        """Runs Python code, or a session of the interpreter."""

        def time_out(number, frame):
            raise TimeoutError(f"took over {self.timeout} s")

        handler = signal.signal(signal.SIGALRM, time_out)
        signal.setitimer(signal.ITIMER_REAL, self.timeout)
        try:
            if not source.startswith(">>>"):
                PythonEvaluator()(example)
                return
            for region in DocTestStringParser(DocTestEvaluator(ELLIPSIS))(source, example.path):
                Example(example.document, example.line, example.column, region, example.namespace).evaluate()
        finally:
            signal.setitimer(signal.ITIMER_REAL, 0)
            signal.signal(signal.SIGALRM, handler)

    def step(self, source, strict=True):
        """Runs commands in the page's shell, with the ports replaced both ways."""
        if self.shell is None:
            self.shell = Shell(self.folder, self.timeout)
        code, text = self.shell.run(self.with_free_ports(source), strict)
        return code, self.with_page_ports(text)

    def sh(self, example, source):
        """Runs commands, none of which may fail."""
        code, text = self.step(source)
        return f"a command failed; it printed\n{text}" if code else None

    def left_running(self, source, until):
        """Runs a program in the background and waits until the command `until` succeeds."""
        self.step(source if source.rstrip().endswith("&") else f"{{ {source}\n}} &")
        printed = self.folder / f"printed-{self.shell.steps}"
        try:
            self.step(f"until {{ {until}\n}}; do sleep 0.05; done", strict=False)
        except TimeoutError as error:
            raise TimeoutError(f"{error}\nand the block {printed.read_text()}") from None

    def console(self, example, source):
        """Runs a session of the shell and compares its output.

        `$ ` begins a command and `> ` a further line of it; all other lines are its whole output, with `...` for parts
        that vary. A command may fail if the next one is `echo $?`.
        """
        commands = []
        for line in source.splitlines():
            if line.startswith("$ "):
                commands.append([line[2:], ""])
            elif not commands:
                return "the first line of a console has no `$ ` and command"
            elif line.startswith("> ") and not commands[-1][1]:
                commands[-1][0] += "\n" + line[2:]
            else:
                commands[-1][1] += line.rstrip() + "\n"
        for number, (command, expected) in enumerate(commands):
            code, text = self.step(command, strict=False)
            text = "".join(line.rstrip() + "\n" for line in text.splitlines())
            if not OutputChecker().check_output(expected, text, ELLIPSIS):
                return f"{command!r} printed\n{text}and not\n{expected}"
            code_is_shown = number + 1 < len(commands) and commands[number + 1][0] == "echo $?"
            if code and not code_is_shown:
                return f"{command!r} ended with {code}"
        return None

    def toml(self, example, source):
        """Decodes a scenario, which has `seconds`, or else an operator's file."""
        file = self.folder / "block.toml"
        file.write_text(source, encoding="utf-8")
        try:
            table = tomllib.loads(source)
            if "seconds" in table:
                scenario.decode(table, file.name)
            else:
                operator.load(str(file), {})
        except Faulty as error:
            return "; ".join(map(str, error.faults))

    def json(self, example, source):
        """Checks a record of the log, or reads examples/config.json with these values merged into it."""
        value = json.loads(source)
        if not isinstance(value, dict) or "event" in value:
            return self.log(example, json.dumps(value)) if isinstance(value, dict) else None
        config = json.loads((self.folder / "root" / "config.json").read_text(encoding="utf-8"))
        if not value or value.keys() - config.keys() - {"operator"}:
            return None
        file = self.folder / "block.json"
        file.write_text(json.dumps(merged(config, value)), encoding="utf-8")
        try:
            platform.load(str(file), {}, Options())
        except Faulty as error:
            return "; ".join(map(str, error.faults))

    def log(self, example, source):
        """Checks records of the log, one per line; indented lines continue a record."""
        for line in join_lines(source).splitlines():
            record = parse_line(line)
            event = EVENTS.get(record.get("event")) if record else None
            if event is None:
                return f"no record of an event of the catalogue: {line}"
            if not record.keys() >= COMMON_FIELDS or parse_time(record["time"]) is None:
                return f"every record has a time, a level and an event: {line}"
            if record["level"] != level_name(event.level):
                return f"{event.name} is logged as {level_name(event.level)}: {line}"
            if others := record.keys() - COMMON_FIELDS - {"left_out"} - set(event.fields):
                return f"{event.name} has no {sorted(others)}: {line}"
        return None


def join_lines(log):
    """Joins continued lines of a log."""
    return re.sub(r"\n[ \t]+", "", log)


def merged(base, changes):
    """The base with all values of `changes`, also in nested objects."""
    if not isinstance(base, dict) or not isinstance(changes, dict):
        return changes
    return base | {key: merged(base.get(key), value) for key, value in changes.items()}


def free_port():
    """A port of 127.0.0.1 at which nothing listens, as text; the pages name that host."""
    return PAGE_ADDRESSES.unused().rpartition(":")[2]
