"""Runs the examples of a Markdown page against the program: what a page shows must hold.

sybil finds the blocks and keeps their order. Each page has a folder of its own that looks like the repository's root,
one namespace for its Python and one bash for its shell, so that later blocks build on earlier ones. An address
127.0.0.1:PORT of a page stands for a free port; what is printed is compared with the page's port put back.
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

from scene import ROOT, listener
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
from loftweir.telemetry.catalogue import EVENTS, level_name
from loftweir.telemetry.reading import parse, seconds

FENCES = RawFencedCodeBlockLexer(re.compile(r"[ \t]*(?P<language>[^\n]*?)[ \t]*$\n", re.MULTILINE))
COMMENTS = DirectiveInHTMLCommentLexer("not run|first|until|file")
INDENTED = re.compile(r"(?:\A|\n[ \t]*\n)(?=(?: {4,}|\t)(?![-*+] |\d+[.)] )\S)")  # a list in a list is no code
ADDRESS = re.compile(r"(127\.0\.0\.1[:/ ])([1-9]\d*)\b")
OF_EVERY_RECORD = {"time", "level", "event"}


class Shell:
    """One bash and all that it starts, in a process group that ends with it."""

    def __init__(self, folder, within):
        """`folder` has the page's `root`; a step may take `within` seconds."""
        self.folder, self.within = folder, within
        self.steps, self.code, self.alive = 0, 0, True
        self.told, self.telling = os.pipe()
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
            cwd=folder / "root", env=environment, pass_fds=(self.telling,), start_new_session=True,
        )  # fmt: skip
        os.close(self.telling)

    def run(self, source, strict=True):
        """What the commands printed, with their last exit code; `strict`: the first that fails ends the shell."""
        if not self.alive:
            raise SystemError("not tried: the page's shell ended before")
        printed, self.steps = self.folder / f"printed-{self.steps}", self.steps + 1
        step = self.folder / f"step-{self.steps}"
        step.write_text(source + "\n", encoding="utf-8")
        # `(exit N)`: the step finds the exit code of the one before in `$?`. What it starts does not hold the pipe.
        before = "set -e -o pipefail" if strict else f"set +e +o pipefail; (exit {self.code})"
        now = self.folder / f"printed-{self.steps}"
        streams = f"</dev/null >{now} 2>&1 {self.telling}>&-"
        self.bash.stdin.write(f"OUTPUT={printed}; {before}; . {step} {streams}; echo $? >&{self.telling}\n".encode())
        self.bash.stdin.flush()
        ready, _, _ = select.select([self.told], [], [], self.within)
        told = os.read(self.told, 64) if ready else b""
        self.alive = bool(told)
        self.code = int(told or 1)
        text = now.read_text(encoding="utf-8", errors="replace") if now.exists() else ""
        if not ready:
            raise TimeoutError(f"took over {self.within} s; it printed\n{text}")
        return self.code, text

    def close(self):
        # Not reaped before: nobody else can have the number of the group.
        with suppress(ProcessLookupError):
            os.killpg(self.bash.pid, signal.SIGKILL)
        self.bash.wait()
        with suppress(OSError):
            self.bash.stdin.close()
        os.close(self.told)


class Page:
    """One page in a folder of its own. `run` gives its faults, each with its place."""

    def __init__(self, path, folder, within=20):
        self.path, self.folder, self.within = path, folder, within
        self.ports = {}  # of the page, with the free port that stands in for each
        self.marks, self.marked_to = {}, 0  # comments that speak of the next block, and where the last of them ends
        self.shell = None
        self.kinds = {
            "python": self.python, "sh": self.sh, "console": self.console,
            "toml": self.toml, "json": self.json, "log": self.log,
        }  # fmt: skip

    def run(self):
        self.lay_out()
        document = Document.parse(str(self.path), self.regions)
        faults = []
        try:
            with chdir(self.folder / "root"):
                faults = [fault for example in document.examples() if (fault := self.fault_of(example))]
        finally:
            if self.shell is not None:
                self.shell.close()
        if self.marks:
            faults.append(f"{self.path.name}: {list(self.marks)}: stands before no block")
        return faults

    def lay_out(self):
        """The folder that examples run in: as the repository's root after the build, with an example configuration."""
        root = self.folder / "root"
        (self.folder / "tmp").mkdir()
        (root / ".venv" / "bin").mkdir(parents=True)
        (self.folder / ".curlrc").write_text("silent\nshow-error\n")  # as at a terminal: no meter
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
        for name, words in programs.items():
            program = root / ".venv" / "bin" / name
            program.write_text(f'#!/bin/sh\nexec "{sys.executable}"{words} "$@"\n')
            program.chmod(0o755)

    def with_free_ports(self, text):
        def free(found):
            if found[2] not in self.ports:
                taken = self.ports.values()
                while (port := free_port()) in taken:
                    pass
                self.ports[found[2]] = port
            return found[1] + self.ports[found[2]]

        return ADDRESS.sub(free, text)

    def with_page_ports(self, text):
        shown = {free: port for port, free in self.ports.items()}
        return ADDRESS.sub(lambda found: found[1] + shown.get(found[2], found[2]), text)

    def regions(self, document):
        """sybil's parser: every fenced block, every comment of ours and every indented block of a page."""
        fences = list(FENCES(document))
        comments = [c for c in COMMENTS(document) if not any(f.start <= c.start < f.end for f in fences)]
        fences = [f for f in fences if not any(c.start <= f.start < c.end for c in comments)]
        taken = [*fences, *comments]
        indented = [Region(found.end(), found.end() + 1) for found in INDENTED.finditer(document.text)]
        indented = [r for r in indented if not any(t.start <= r.start < t.end for t in taken)]
        for regions, evaluator in ((fences, self.block), (comments, self.comment), (indented, self.indented)):
            for region in regions:
                region.parsed, region.evaluator = region.lexemes.get("source"), evaluator
                yield region

    def fault_of(self, example):
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
        return "an indented block; fence it, with its language"

    def comment(self, example):
        of = example.region.lexemes
        text = f"{of['arguments']}\n{of['source']}".strip()
        if not text:
            return f"{of['directive']}: nothing is said behind it"
        if of["directive"] == "first":
            return self.sh(example, text)
        self.marks[of["directive"]] = text
        self.marked_to = example.document.text.index("-->", example.end) + 3
        return None

    def block(self, example):
        marks, self.marks = self.marks, {}
        if marks and example.document.text[self.marked_to : example.start].strip():
            return f"{list(marks)}: stands before no block"
        if "not run" in marks:
            return None
        language = example.region.lexemes["language"]
        if language not in self.kinds:
            return f"a block of {language or 'no language'!r} is run by nobody; say <!-- not run: why --> before it"
        if "file" in marks:
            text = unbroken(example.parsed) if language == "log" else example.parsed
            (self.folder / "root" / marks["file"]).write_text(self.with_free_ports(text), encoding="utf-8")
        if "until" in marks:
            return self.left_running(example.parsed, marks["until"])
        return self.kinds[language](example, example.parsed)

    # ---- kinds of blocks: what is wrong with one, or nothing ------------------------------------------------

    def python(self, example, source):
        def too_long(number, frame):
            raise TimeoutError(f"took over {self.within} s")

        handler = signal.signal(signal.SIGALRM, too_long)
        signal.setitimer(signal.ITIMER_REAL, self.within)
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
        if self.shell is None:
            self.shell = Shell(self.folder, self.within)
        code, text = self.shell.run(self.with_free_ports(source), strict)
        return code, self.with_page_ports(text)

    def sh(self, example, source):
        code, text = self.step(source)
        return f"a command failed; it printed\n{text}" if code else None

    def left_running(self, source, until):
        """A program that serves: it goes on while `until`, a command, is tried until it holds."""
        self.step(source if source.rstrip().endswith("&") else f"{{ {source}\n}} &")
        printed = self.folder / f"printed-{self.shell.steps}"
        try:
            self.step(f"until {{ {until}\n}}; do sleep 0.05; done", strict=False)
        except TimeoutError as error:
            raise TimeoutError(f"{error}\nand the block {printed.read_text()}") from None

    def console(self, example, source):
        """`$ ` a command, `> ` its further lines; the rest is all that it prints, `...` for what changes. Where the
        next command is `echo $?`, it may fail."""
        commands = []
        for line in source.splitlines():
            if line.startswith("$ "):
                commands.append([line[2:], ""])
            elif not commands:
                return "the first line of a console is no `$ ` and command"
            elif line.startswith("> ") and not commands[-1][1]:
                commands[-1][0] += "\n" + line[2:]
            else:
                commands[-1][1] += line.rstrip() + "\n"
        for number, (command, wanted) in enumerate(commands):
            code, text = self.step(command, strict=False)
            text = "".join(line.rstrip() + "\n" for line in text.splitlines())
            if not OutputChecker().check_output(wanted, text, ELLIPSIS):
                return f"{command!r} printed\n{text}and not\n{wanted}"
            asked = number + 1 < len(commands) and commands[number + 1][0] == "echo $?"
            if code and not asked:
                return f"{command!r} ended with {code}"
        return None

    def toml(self, example, source):
        """A scenario where it says how many seconds it lasts, else an operator's file."""
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
        """A record of the log, or what is laid over examples/config.json and read as the platform's file."""
        value = json.loads(source)
        if not isinstance(value, dict) or "event" in value:
            return self.log(example, json.dumps(value)) if isinstance(value, dict) else None
        config = json.loads((self.folder / "root" / "config.json").read_text(encoding="utf-8"))
        if not value or value.keys() - config.keys() - {"operator"}:
            return None
        file = self.folder / "block.json"
        file.write_text(json.dumps(laid_over(config, value)), encoding="utf-8")
        try:
            platform.load(str(file), {}, Options())
        except Faulty as error:
            return "; ".join(map(str, error.faults))

    def log(self, example, source):
        """One record a line, which may go on in lines that are indented."""
        for line in unbroken(source).splitlines():
            record = parse(line)
            event = EVENTS.get(record.get("event")) if record else None
            if event is None:
                return f"no record of an event of the catalogue: {line}"
            if not record.keys() >= OF_EVERY_RECORD or seconds(record["time"]) is None:
                return f"every record has a time, a level and an event: {line}"
            if record["level"] != level_name(event.level):
                return f"{event.name} is said as {level_name(event.level)}: {line}"
            if others := record.keys() - OF_EVERY_RECORD - {"left_out"} - set(event.fields):
                return f"{event.name} has no {sorted(others)}: {line}"
        return None


def unbroken(log):
    return re.sub(r"\n[ \t]+", "", log)


def laid_over(under, over):
    if not isinstance(under, dict) or not isinstance(over, dict):
        return over
    return under | {key: laid_over(under.get(key), value) for key, value in over.items()}


def free_port():
    with listener() as free:
        return str(free.getsockname()[1])
