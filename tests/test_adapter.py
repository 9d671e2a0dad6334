"""The simulator's protocol: round trips, malformed input, and that equal input gives equal actions.

The actions must depend neither on the hash seed nor on the other instances of the process.
"""

import io
import os
import subprocess
import sys
from pathlib import Path

import pytest

from loftweir.adapter import Adapter, WireError

ROOT = Path(__file__).parent.parent
SETTINGS = """
zone=a dcs=a,b balancers=2 me=0 discovery=ask quantum=5000000 weights=nominal unknown.path=1
profiles.count=1 profiles.0.name=read profiles.0.effect=once profiles.0.target=200000000
profiles.0.hardLimit=1000000000 profiles.0.dedupScope=all profiles.0.window=0
safety.graceToAnswer=20000000 safety.stopSendingWithin=500000000 safety.coldFrom=0.2
safety.warmWithin=20000000000 safety.fallMultiple=3 safety.fall=3000000000 safety.askWithin=10000000000
allowed.maxAttempts=3
"""
ENDPOINT_LINES = ["M\t10.0.0.1:1\ta\tstd\t0\tlive\t1\t-", "M\t10.0.0.2:1\ta\tstd\t0\tlive\t1.5\t-"]


def batch(*lines, now=1000):
    return "\n".join([f"TURN\t{now}", *lines, "GO"]) + "\n"


def launch(instance, seed=5, settings=SETTINGS):
    return [f"TO\t{instance}", "\t".join(["LAUNCH", str(seed), *settings.split()])]


def launch_with_list(*instances):
    lines = []
    for instance in instances:
        lines += launch(instance, seed=instance) + ["ROSTER\t0\t2", *ENDPOINT_LINES, "TARGETS\t1\tPersisted\t0"]
    return batch(*lines)


def request_line(request_id="rq_1", name="read"):
    return f"REQUEST\t{request_id}\t{name}\t-\t-\t900000000\t-\t0"


def run(text):
    out = io.StringIO()
    Adapter().run(io.StringIO(text), out)
    return out.getvalue()


def test_an_empty_batch_is_answered():
    assert run(batch()) == "READY\n"


def test_a_request_is_sent_and_its_outcome_ends_it():
    reply = run(launch_with_list(3) + batch("TO\t3", request_line(), now=2000))
    sent = [line.split("\t") for line in reply.splitlines() if line.startswith("ATTEMPT")]
    assert [line[1] for line in sent] == ["rq_1"]
    assert sent[0][2] in ("10.0.0.1:1", "10.0.0.2:1")
    done = f"DONE\trq_1\t5000\tdone\t1\t{sent[0][2]}\t0\t-"
    before = launch_with_list(3) + batch("TO\t3", request_line(), now=2000)
    assert run(before + batch("TO\t3", done, now=9000)).endswith("CONTEXT\t3\nREADY\n")


def test_a_list_number_refers_to_the_latest_list_with_that_number():
    """Two lists with one number in one batch: each TARGETS means the list before it."""
    other = "M\t10.0.9.9:1\ta\tstd\t0\tlive\t1\t-"
    text = batch(
        *launch(1), "ROSTER\t0\t2", *ENDPOINT_LINES, "TARGETS\t1\tComplete\t0",
        *launch(2), "ROSTER\t0\t1", other, "TARGETS\t1\tComplete\t0",
    ) + batch("TO\t1", request_line("rq_a"), "TO\t2", request_line("rq_b"), now=2000)  # fmt: skip
    sent = dict(line.split("\t")[1:3] for line in run(text).splitlines() if line.startswith("ATTEMPT"))
    assert sent["rq_a"] != "10.0.9.9:1"
    assert sent["rq_b"] == "10.0.9.9:1"


def test_retire_and_launch_in_one_batch_start_a_new_instance():
    text = (
        launch_with_list(1) + batch("TO\t1", "RETIRE", *launch(1), now=2000) + batch("TO\t1", request_line(), now=3000)
    )
    assert "ATTEMPT" not in run(text), "the new instance has no list yet"


def test_after_an_unknown_outcome_a_request_may_have_run():
    text = launch_with_list(1) + batch("TO\t1", request_line(), now=2000)
    provider = next(line.split("\t")[2] for line in run(text).splitlines() if line.startswith("ATTEMPT"))
    reply = run(text + batch("TO\t1", f"DONE\trq_1\t9\tnew_code\t0\t{provider}\t0\t-", now=3000))
    assert reply.splitlines()[-2:] == ["SURRENDER\trq_1", "READY"]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (batch("TO\t1", "NONSENSE\t1"), "line 3: NONSENSE: instance 1 was never launched"),
        (launch_with_list(1) + batch("TO\t1", "NONSENSE\t1"), "NONSENSE: unknown message"),
        (launch_with_list(1) + batch("TO\t1", "REQUEST\trq\tread"), "REQUEST: has 2 fields, needs 7"),
        (
            launch_with_list(1) + batch("TO\t1", request_line().replace("900000000", "soon")),
            "field patienceLeft: 'soon' is not",
        ),
        (launch_with_list(1) + batch("TO\t1", "TARGETS\t1\tComplete\t7"), "field setId: no ROSTER 7"),
        (launch_with_list(1) + batch("TO\t1", "TARGETS\t1\tSome\t0"), "field mode: 'Some' is none of"),
        (batch(request_line()), "REQUEST comes before any TO"),
        ("TURN\t5\nTO\t1\n", "ended inside a batch"),
        ("HELLO\nGO\n", "expected TURN"),
        (batch("ROSTER\t0\t3", *ENDPOINT_LINES), "expected an M line"),
        (batch(*launch(1, settings=SETTINGS.replace("zone=a", ""))), "required key zone is missing"),
        (batch(*launch(1, settings=SETTINGS + "safety.coldFrom=7")), "safety.coldFrom: '7.0' is not above 0"),
        (batch(*launch(1, settings=SETTINGS + "profiles.0.effect=maybe")), "profiles.0.effect: 'maybe'"),
    ],
)
def test_a_message_names_what_is_malformed(text, message):
    with pytest.raises(WireError, match="line ") as caught:
        run(text)
    assert message in str(caught.value)


def test_an_exception_in_the_balancer_becomes_give_in(capsys):
    reply = run(launch_with_list(1) + batch("TO\t1", request_line(name="unknown"), now=2000))
    assert "GIVE_IN\t" in reply
    assert "unknown" in reply


def run_process(text, hash_seed="0"):
    env = dict(os.environ, PYTHONHASHSEED=hash_seed)
    command = [sys.executable, "-m", "loftweir.adapter"]
    return subprocess.run(command, input=text, capture_output=True, text=True, cwd=ROOT, env=env, check=False)


def test_malformed_input_exits_non_zero_with_only_the_protocol_on_standard_output():
    result = run_process(batch("TO\t1", "NONSENSE"))
    assert result.returncode != 0
    assert result.stdout == ""
    assert "NONSENSE" in result.stderr


def test_the_end_of_input_ends_the_process():
    result = run_process(batch())
    assert (result.returncode, result.stdout, result.stderr) == (0, "READY\n", "")


def thirty_requests(*instances):
    text = launch_with_list(*instances)
    for i in range(30):
        lines = [line for instance in instances for line in (f"TO\t{instance}", request_line(f"rq_{instance}_{i}"))]
        text += batch(*lines, now=2000 + i)
    return text


def test_actions_do_not_depend_on_the_hash_seed():
    assert len({run_process(thirty_requests(1, 2), seed).stdout for seed in ("0", "1", "2")}) == 1


def test_actions_do_not_depend_on_other_instances_in_the_process():
    def actions_of(instance, reply):
        is_own, lines = False, []
        for line in reply.splitlines():
            if line.startswith("CONTEXT"):
                is_own = line == f"CONTEXT\t{instance}"
            elif is_own and line != "READY":
                lines.append(line)
        return lines

    together = run(thirty_requests(1, 2, 3))
    for instance in (1, 2, 3):
        assert actions_of(instance, together) == actions_of(instance, run(thirty_requests(instance)))
