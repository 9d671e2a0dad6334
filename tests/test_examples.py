"""Every example of every page is correct; an example that fails or that is not run is detected."""

from pathlib import Path

import pytest
from pages import Page
from scene import ROOT, eventually

FOLDERS = ("docs", "examples", "deploy", "scenarios", "benchmarks")
PAGES = sorted([*ROOT.glob("*.md"), *(page for folder in FOLDERS for page in (ROOT / folder).rglob("*.md"))])


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_the_examples_of_a_page_are_correct(page, tmp_path):
    faults = Page(page, tmp_path).run()
    assert not faults, "\n" + "\n".join(faults)


def faults_of(text, folder, timeout=20):
    """The faults of a page with this text."""
    page = folder / "page.md"
    page.write_text(text, encoding="utf-8")
    (folder / "run").mkdir()
    return Page(page, folder / "run", timeout).run()


def block(language, *lines):
    """A fenced block of Markdown."""
    return "\n".join([f"```{language}", *lines, "```", ""])


ACCESS = '{"time":"2026-12-01T08:00:00Z","level":"%s","event":"%s","%s":"r"}'


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (block("python", "kept = 1") + block("python", "", "assert kept == 2"), "page.md:6: AssertionError:  assert"),
        (block("python", ">>> [1, 2]", "[1, 3]"), "page.md:1: Expected"),
        (block("python", "while True:", "    pass"), "TimeoutError: took over"),
        (block("sh", "loftweir check --confg config.json"), "page.md:1: a command failed; it printed\nUsage"),
        (block("sh", "false | true"), "a command failed"),
        (block("sh", "false") + block("sh", "true"), "not tried"),
        (block("sh", "sleep 600"), "TimeoutError: took over"),
        (block("console", "$ echo one; echo two", "one"), "printed\none\ntwo\nand not\none\n"),
        (block("console", "$ true", "$ false"), "'false' ended with 1"),
        (block("console", "echo one"), "no `$ `"),
        (block("toml", "[limits]", "bdy = 1"), "limits.bdy"),
        (block("toml", "[limits"), "Expected ']'"),
        (block("toml", 'name = "n"', "seconds = -1"), "seconds"),
        (block("json", "{"), "JSONDecodeError"),
        (block("json", '{"settings": {"allowed": {"maxAttempts": 0}}}'), "allowed.maxAttempts"),
        (block("json", ACCESS % ("info", "acess", "id")), "no record of an event"),
        (block("log", "2026-12-01 hello"), "no record of an event"),
        (block("log", ACCESS % ("info", "access", "name")), "access has no ['name']"),
        (block("log", ACCESS % ("error", "access", "id")), "access is logged as info"),
        (block("log", '{"event":"access","id":"r"}'), "every record has a time"),
        (block("text", "a drawing"), "a block of 'text' is not run"),
        (block("", "a drawing"), "a block of 'no language' is not run"),
        ("Said:\n\n    loftweir try\n", "page.md:3: an indented block"),
        ("<!-- not run: -->\n" + block("text"), "it has no text"),
        ("<!-- not run: a drawing -->\nSo:\n" + block("text"), "it is not followed by a block"),
        (block("sh", "true") + "<!-- not run: a drawing -->\n", "it is not followed by a block"),
        ("<!-- first:\nfalse\n-->\n", "a command failed"),
        ("<!-- until: false -->\n" + block("sh", "echo it"), "took over 1 s; it printed\n\nand the block it"),
    ],
)
def test_an_example_that_fails_is_reported_with_its_place(text, fault, tmp_path):
    faults = faults_of(text, tmp_path, timeout=1 if "took over" in fault else 20)
    assert any(fault in fault_text for fault_text in faults), faults


VALID = "\n".join(
    [
        "- a list", "", "    - in a list", "",
        "<!-- first: port=8081 -->",
        block("python", ">>> kept = [1, 2]", ">>> kept * 2", "[1, ..., 2]"),
        block("python", "kept.append(3)", "assert kept[2] == 3"),
        block("console", "$ echo $port; cat <<END", "> 127.0.0.1:$port", "> END", "8081", "127.0.0.1:...", "$ false",
              "$ echo $?", "1", "$ grep -o 127.0.0.1:8081 config.json", "127.0.0.1:8081"),
        "<!-- file: it.toml -->", block("toml", "[log]", 'access = "all"'),
        block("sh", "cmp it.toml /dev/null && exit 1", "loftweir check --config config.json --operator it.toml"),
        block("json", '{"settings": {"balancers": 3}}'),
        block("log", "time=2026-12-01T08:00:00Z level=info event=stop.begun signal=SIGTERM", "  open=0"),
        "<!-- until: grep 1 $OUTPUT -->", block("sh", "echo 1; sleep 600  # serves"),
        block("sh", "sleep 600 &", "echo $BASHPID $! > \"$HOME/started\""),
        "<!-- not run: a\ndrawing -->", block("text", "<!-- not run: a mark that is shown -->", "", "    indented"),
    ]
)  # fmt: skip


def test_valid_examples_pass_and_their_processes_have_ended(tmp_path):
    assert faults_of(VALID, tmp_path) == []
    for pid in (tmp_path / "run" / "started").read_text().split():
        assert eventually(lambda pid=pid: ended(pid)), pid


def ended(pid):
    """Whether a process has ended."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "Z"
    except FileNotFoundError:
        return True


def test_a_page_cannot_change_the_source_tree(tmp_path):
    config = ROOT / "examples" / "config.json"
    before = config.read_bytes()
    assert faults_of(block("sh", "echo '{}' > examples/config.json"), tmp_path) == []
    assert config.read_bytes() == before
