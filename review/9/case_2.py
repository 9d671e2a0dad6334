"""Long answers with no length (chunked) whose upstreams pause after the first piece: the sidecar gives them up."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scene_2 import ONCE, READ, TROUBLE, CannotRun, HttpServer, Sidecar, dial, main, request_bytes

PIECE = b"x" * (16 << 10)
PIECES = 11  # 176 KiB in all: over 64 KiB
PAUSE = 1.35  # s, after the first piece: 0.15 s past the deadline
DEADLINE_MS = 1200
REQUESTS = 8


def case(scene):
    """Returns the requests whose answers were not passed on, if these are more than half."""
    given, cut, finished = set(), {}, set()

    def answer(sock, fields, _):
        request_id = fields["req-id"]
        scene.record("upstream got", id=request_id, kind=fields.get("req-kind"))
        try:
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for number in range(PIECES):
                sock.sendall(b"%x\r\n%s\r\n" % (len(PIECE), PIECE))
                if not number:
                    given.add(request_id)
                    scene.record("upstream has written the first piece", id=request_id)
                    time.sleep(PAUSE if TROUBLE else 0)
                else:
                    time.sleep(0.02)  # a sidecar that has closed is noticed by a later write
            sock.sendall(b"0\r\n\r\n")
        except OSError as error:
            cut[request_id] = str(error)
            scene.record("upstream was cut off", id=request_id, why=str(error))
            raise
        finished.add(request_id)
        scene.record("upstream has written all", id=request_id)

    servers = [HttpServer(answer) for _ in range(4)]
    scene.discovery.change(*(scene.entry(f"s{n}", server) for n, server in enumerate(servers)))
    sidecar = Sidecar(scene, "n0").start()
    sidecar.wait_ready()
    lost, served = [], []

    def client(request_id, kind):
        with dial(sidecar.listen, 15) as sock:
            began = time.monotonic()
            sock.sendall(request_bytes(request_id, kind, DEADLINE_MS, b"" if kind == READ else b"{}"))
            scene.record("client sent", id=request_id, kind=kind, deadline_ms=DEADLINE_MS)
            data, first = b"", None
            try:
                while time.monotonic() < began + 12 and not data.endswith(b"\r\n0\r\n\r\n"):
                    piece = sock.recv(65536)
                    if not piece:
                        break
                    first = first or round(time.monotonic() - began, 3)
                    data += piece
                    if not data.startswith(b"HTTP/1.1 200") and b"\r\n\r\n" in data:
                        break
            except OSError as error:
                scene.record("client's connection broke", id=request_id, why=str(error))
            status = data[:32].split(b"\r\n")[0].decode()
            whole = data.startswith(b"HTTP/1.1 200") and data.count(b"x" * 1000) >= PIECES * 16
            whole = whole and data.endswith(b"\r\n0\r\n\r\n")
            took = round(time.monotonic() - began, 3)
            scene.record(
                "client got", id=request_id, status=status, whole=whole, bytes=len(data), first=first, took=took
            )
            (served if whole else lost).append(request_id if whole else f"{request_id}: {status!r} after {took} s")

    threads = []
    for number in range(REQUESTS):
        threads.append(threading.Thread(target=client, args=(f"r{number}", (READ, ONCE)[number % 2])))
        threads[-1].start()
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    time.sleep(PAUSE + 1 if TROUBLE else 0.5)
    lost = [line for line in lost if line.split(":")[0] in given]  # others were refused, which is allowed
    scene.record("counts", given=len(given), served=len(served), lost=len(lost), upstreams_cut=len(cut))
    if len(given) < REQUESTS // 2:
        raise CannotRun(f"only {len(given)} requests came to an upstream")
    return lost if 2 * len(served) < len(given) else []


main(__file__, case)
