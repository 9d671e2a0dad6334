"""A stand-in for an upstream server, as a process of its own: `server.py NAME HOST PORT [WORD]`.

It speaks the protocol of the users' pages: HTTP/1.1 with kept connections, and it begins a request with its last byte.
It writes a line of JSON to standard output for each request that it runs and for each connection that it turns away,
and it takes words on standard input:

    full        it holds as many connections as it may: each new one is closed at once, and so are those at rest
    free        it takes connections again
    hang        it takes requests and answers none
    wait S      it answers after S seconds
    lose P      of P of all requests the answer is lost: they have run, and their connection is reset

It drops the repeats of a key for 12 s: it answers them and runs nothing.
"""

import json
import os
import random
import socket
import struct
import sys
import threading
import time
from contextlib import suppress

OUTPUT = threading.Lock()
STATE = {"full": False, "hang": False, "wait": 0.0, "lose": 0.0}
RESTING = set()  # connections between two requests
KEYS = {}  # when each key was first run
WINDOW = 12  # s
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on with 0 s


def note(**fields):
    """Writes one line of the record."""
    with OUTPUT:
        os.write(1, json.dumps({"at": time.time(), **fields}).encode() + b"\n")


def hear(line):
    """Does as a word says."""
    word, _, value = line.strip().partition(" ")
    if word in ("wait", "lose"):
        STATE[word] = float(value)
        return
    STATE["full"], STATE["hang"] = word == "full", word == "hang"
    for sock in list(RESTING) if word == "full" else ():
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)


def listen_to_words():
    """Takes words on standard input."""
    for line in sys.stdin:
        hear(line)


def serve(name, sock):
    """Answers the requests of one connection."""
    file = sock.makefile("rb")
    with suppress(OSError), sock, file:
        RESTING.add(sock)
        while line := file.readline():
            RESTING.discard(sock)
            method = line.decode("latin-1").split(" ")[0]
            fields = {}
            while (line := file.readline().decode("latin-1").strip()) != "":
                key, _, value = line.partition(":")
                fields[key.lower()] = value.strip()
            body = file.read(int(fields.get("content-length", 0)))
            id, key = fields.get("req-id", ""), fields.get("idempotency-key", "")
            now = time.time()
            if key and now - KEYS.setdefault(key, now) < WINDOW and KEYS[key] != now:
                note(server=name, repeat=id, key=key)
            else:
                note(server=name, run=id, method=method, key=key, bytes=len(body))
            if random.random() < STATE["lose"]:
                note(server=name, lost=id)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                break
            while STATE["hang"]:
                time.sleep(0.05)
            if STATE["wait"]:
                time.sleep(STATE["wait"])
            text = f"{name} served {id}".encode()
            RESTING.add(sock)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
    RESTING.discard(sock)


def main():
    """Runs until it is killed."""
    name, host, port = sys.argv[1], sys.argv[2], int(sys.argv[3])
    random.seed(f"{os.environ.get('SEED', '')} {name}")
    hear(" ".join(sys.argv[4:]))
    listener = socket.create_server((host, port), backlog=128)
    threading.Thread(target=listen_to_words, daemon=True).start()
    note(server=name, listens=port)
    while True:
        sock, _ = listener.accept()
        if STATE["full"]:
            sock.close()
            note(server=name, closed=1)
            continue
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(name, sock), daemon=True).start()


if __name__ == "__main__":
    main()
