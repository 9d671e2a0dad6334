"""All deadlines are 0.3 s, and SIGKILL follows SIGTERM after 1.0 s: what was forwarded by then has its final answer."""

import signal
import threading
import time

import pytest
from scene import MS, ONCE, READ, SETTINGS, SidecarTest, eventually, http_response
from test_syscall_faults import Client

CLIENTS, IDLE = 12, 16
DEADLINE_MS = 300
BEFORE = 0.8  # seconds of calls before SIGTERM
KILLED_AFTER = 1.0  # seconds: 0.7 s and the longest deadline
HANGS_FOR = 2.0  # seconds: through the whole shutdown


class Sender(Client):
    """Goes on over its connection, and over new ones while these are taken."""

    deadline_ms = DEADLINE_MS


def play(reloaded):
    """One sidecar that ends under its clients; ids that reached an upstream, and the clients' answers."""
    scene, forwarded, hanging = SidecarTest(), [], threading.Event()

    def answer(head, body):
        forwarded.append(head.partition("Req-Id: ")[2].split()[0])
        return http_response(200, b"x")

    def hangs(head, body):
        forwarded.append(head.partition("Req-Id: ")[2].split()[0])
        if hanging.is_set():
            time.sleep(HANGS_FOR)
        return http_response(200, b"x")

    try:
        profiles = [p | {"hardLimit": DEADLINE_MS * MS, "target": 150 * MS} for p in SETTINGS["profiles"]]
        scene.start(answer, answer, hangs, settings=SETTINGS | {"profiles": profiles})
        assert eventually(lambda: scene.health() == 200), scene.log()
        idle = [scene.client() for _ in range(IDLE)]
        for client in idle:
            client.connect()
        ends_at = time.monotonic() + BEFORE + KILLED_AFTER
        clients = [Sender(scene.listen, ONCE if n % 2 else READ, ends_at) for n in range(CLIENTS)]
        for client in clients:
            client.start()
        time.sleep(BEFORE - 0.1)
        hanging.set()
        time.sleep(0.1)
        if reloaded:
            scene.program.send_signal(signal.SIGHUP)
        scene.terminate()
        scene.program.send_signal(signal.SIGTERM)
        time.sleep(KILLED_AFTER)
        scene.program.kill()
        for client in clients:
            client.join(10)
        return set(forwarded), [answer for client in clients for answer in client.answers], scene.log()
    finally:
        scene.doCleanups()


@pytest.mark.parametrize("reloaded", [False, True], ids=["SIGTERM", "SIGTERM behind SIGHUP"])
def test_a_call_forwarded_before_an_early_sigkill_has_its_final_answer(reloaded):
    forwarded, answers, log = play(reloaded)
    lost = [answer for answer in answers if not answer.status and answer.request in forwarded]
    assert len(answers) > 200 and not lost, (len(lost), len(answers), lost[:3], log[-2000:])
