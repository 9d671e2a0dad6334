"""With deadlines of 0.3 s and SIGKILL 1.0 s after SIGTERM, each request that was forwarded has its final answer."""

import signal
import threading
import time

import pytest
from scene import MS, ONCE, READ, SETTINGS, SidecarTest, eventually, http_response
from test_syscall_faults import Client

CLIENTS = 12  # that send requests
IDLE = 16  # clients that only connect
DEADLINE_MS = 300
BEFORE = 0.8  # seconds of requests before SIGTERM
KILLED_AFTER = 1.0  # seconds from SIGTERM to SIGKILL: 0.7 s and the longest deadline
HANGS_FOR = 2.0  # seconds: longer than the whole shutdown


class Sender(Client):
    """A client that uses its connection, and new ones as long as these are accepted."""

    deadline_ms = DEADLINE_MS


def run_shutdown(reloaded):
    """End a sidecar under load; return the ids that providers received, the clients' answers, and the log."""
    case, forwarded, hanging = SidecarTest(), [], threading.Event()

    def answer(head, body):
        forwarded.append(head.partition("Req-Id: ")[2].split()[0])
        return http_response(200, b"x")

    def answer_or_hang(head, body):
        forwarded.append(head.partition("Req-Id: ")[2].split()[0])
        if hanging.is_set():
            time.sleep(HANGS_FOR)
        return http_response(200, b"x")

    try:
        profiles = [p | {"hardLimit": DEADLINE_MS * MS, "target": 150 * MS} for p in SETTINGS["profiles"]]
        case.start(answer, answer, answer_or_hang, settings=SETTINGS | {"profiles": profiles})
        assert eventually(lambda: case.health() == 200), case.log()
        idle = [case.client() for _ in range(IDLE)]
        for client in idle:
            client.connect()
        ends_at = time.monotonic() + BEFORE + KILLED_AFTER
        clients = [Sender(case.listen, ONCE if n % 2 else READ, ends_at) for n in range(CLIENTS)]
        for client in clients:
            client.start()
        time.sleep(BEFORE - 0.1)
        hanging.set()
        time.sleep(0.1)
        if reloaded:
            case.program.send_signal(signal.SIGHUP)
        case.terminate()
        case.program.send_signal(signal.SIGTERM)
        time.sleep(KILLED_AFTER)
        case.program.kill()
        for client in clients:
            client.join(10)
        return set(forwarded), [answer for client in clients for answer in client.answers], case.log()
    finally:
        case.doCleanups()


@pytest.mark.parametrize("reloaded", [False, True], ids=["SIGTERM", "SIGTERM behind SIGHUP"])
def test_a_request_forwarded_before_an_early_sigkill_has_its_final_answer(reloaded):
    forwarded, answers, log = run_shutdown(reloaded)
    lost = [answer for answer in answers if not answer.status and answer.request in forwarded]
    assert len(answers) > 200 and not lost, (len(lost), len(answers), lost[:3], log[-2000:])
