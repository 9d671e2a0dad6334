"""A client reads a long answer slowly, but without a stop: the sidecar cuts it off."""

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scene_2 import READ, TROUBLE, CannotRun, HttpServer, Sidecar, dial, main, request_bytes, response

SIZE = 4 << 20  # the pages allow up to 32 MB
PIECE = 64 << 10  # the client reads so much ...
PAUSE = 0.4  # ... every so many seconds: 160 KiB/s, the whole answer in 26 s
CLIENTS = 3
LONGEST = 90  # s


def case(scene):
    """Returns the answers that were cut off."""
    body = os.urandom(PIECE) * (SIZE // PIECE)

    def answer(sock, fields, _):
        scene.record("upstream got", id=fields["req-id"], deadline_ms=fields.get("req-deadline-ms"))
        try:
            sock.sendall(response(body))
        except OSError as error:
            scene.record("upstream was cut off", id=fields["req-id"], why=str(error))
            raise
        scene.record("upstream has written all", id=fields["req-id"])

    scene.discovery.change(scene.entry("s1", HttpServer(answer)))
    sidecar = Sidecar(scene, "n0").start()
    sidecar.wait_ready()
    breaks, begun = [], []

    def client(request_id):
        with dial(sidecar.listen, LONGEST) as sock:
            sock.sendall(request_bytes(request_id, READ, 3000))
            scene.record("client sent", id=request_id)
            data, began, why, noted = bytearray(), time.monotonic(), "the end of the stream", 0
            while time.monotonic() < began + LONGEST:
                try:
                    piece = sock.recv(PIECE)
                except OSError as error:
                    why = str(error)
                    break
                if not piece:
                    break
                data += piece
                if len(data) >= noted:
                    scene.record("client has read", id=request_id, bytes=len(data))
                    noted += 1 << 20
                head, sign, _ = bytes(data[:4096]).partition(b"\r\n\r\n")
                if sign and not head.startswith(b"HTTP/1.1 200 "):  # refused or failed, which the rule allows
                    scene.record("client got no answer of the upstream's", id=request_id, head=head.decode())
                    return
                if sign and len(data) - len(head) - 4 >= SIZE:
                    whole = bytes(data[len(head) + 4 :]) == body
                    scene.record("client has the whole answer", id=request_id, right=whole, head=head.decode())
                    begun.append(request_id)
                    if not whole:
                        breaks.append(f"{request_id}: another body than the upstream's")
                    return
                if TROUBLE:
                    time.sleep(PAUSE)
            took = round(time.monotonic() - began, 1)
            if not data:
                scene.record("client got nothing", id=request_id, why=why)
                return
            begun.append(request_id)
            scene.record("client's answer was cut off", id=request_id, bytes=len(data), after=took, why=why)
            breaks.append(f"{request_id}: cut off after {took} s with {len(data)} of {SIZE} bytes: {why}")

    threads = [threading.Thread(target=client, args=(f"long-{n}",)) for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if not begun:
        raise CannotRun("no answer was begun")
    return breaks


main(__file__, case)
