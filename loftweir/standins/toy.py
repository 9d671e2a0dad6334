"""StubServer providers and a toy discovery on loopback, to try the sidecar with. Standard library only.

Run as ``python -m loftweir.standins.toy`` they take the addresses that examples/config.json, or the platform's file
named behind it, has for providers and discovery.
"""

from __future__ import annotations

import json
import sys
import threading
from collections.abc import Iterable
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

MS, SECOND = 1_000_000, 1_000_000_000
MAX_WATCH_SECONDS = 60  # seconds of one watch

SETTINGS = {
    "zone": "alm-1",
    "dcs": ["alm-1", "alm-2"],
    "discovery": "ask",
    "profiles": [
        {"name": "status-read", "effect": "repeatable", "target": 600 * MS, "hardLimit": 3 * SECOND},
        {"name": "apply-submit", "effect": "once", "target": SECOND, "hardLimit": 3 * SECOND, "worth": 5.0},
        {
            "name": "place-confirm",
            "effect": "by_key",
            "dedupScope": "zone",
            "target": SECOND,
            "hardLimit": 2500 * MS,
            "window": 12 * SECOND,
            "worth": 10.0,
        },
    ],
    "allowed": {"maxAttempts": 3, "retryAfter": True, "maxRetryAfter": SECOND, "connIdle": 5 * SECOND},
    "safety": {
        "graceToAnswer": 20 * MS,
        "stopSendingWithin": 750 * MS,
        "askWithin": SECOND,
        "coldFrom": 0.14,
        "warmWithin": 24 * SECOND,
        "fallMultiple": 2.5,
        "fall": SECOND,
    },
}


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def handle(self) -> None:
        """A caller that ends while its answer is written, as a sidecar does at SIGTERM, is no fault of the stand-in."""
        with suppress(BrokenPipeError, ConnectionResetError):
            super().handle()

    def finish(self) -> None:
        with suppress(BrokenPipeError, ConnectionResetError):
            super().finish()

    def reply(self, body: bytes, kind: str = "text/plain", status: int = 200) -> None:
        self.send_response(status)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def log_message(self, format: str, *args: Any) -> None:
        """Nothing: the sidecar's own log is what one came to see."""


class StubServer:
    """A server of its own thread on a loopback port, 0 for a free one."""

    def __init__(self, handler: type[QuietHandler], port: int = 0) -> None:
        self.server = ThreadingHTTPServer(("127.0.0.1", port), handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


def start_provider(name: str, port: int = 0) -> StubServer:
    """Answers every request with its own name and what it was sent."""

    class Provider(QuietHandler):
        def do_GET(self) -> None:
            self.reply(f"{name} served {self.command} {self.path} {self.body().decode(errors='replace')}\n".encode())

        do_POST = do_GET

    return StubServer(Provider, port)


class ProviderList:
    """Discovery's list; watches wait for its next version."""

    def __init__(self, providers: Iterable[tuple[str, str]], zone: str = "alm-1") -> None:
        self.index = 1
        self.news = threading.Condition()
        self.entries = {
            name: {
                "name": name,
                "address": address,
                "zone": zone,
                "type": "standard",
                "group": 0,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
            }
            for name, address in providers
        }

    def snapshot(self, known: int = -1) -> dict[str, Any]:
        """The whole list, or an answer with no change where `known` is its version."""
        entries = [] if known == self.index else list(self.entries.values())
        return {"index": self.index, "snapshot": known != self.index, "endpoints": entries}

    def set_status(self, name: str, status: str) -> bool:
        with self.news:
            if name not in self.entries or status not in ("active", "leaving"):
                return False
            self.entries[name]["status"] = status
            self.index += 1
            self.news.notify_all()
            return True


def start_discovery(members: ProviderList, port: int = 0) -> StubServer:
    """The list and the watch on it; POST /leaving/NAME and /active/NAME change it."""

    class Discovery(QuietHandler):
        def do_GET(self) -> None:
            query = parse_qs(urlsplit(self.path).query)
            after = int(query.get("after", ["-1"])[0])
            wait = min(int(query.get("wait_ms", ["0"])[0]) / 1000, MAX_WATCH_SECONDS)
            with members.news:
                members.news.wait_for(lambda: members.index > after, wait)
                answer = members.snapshot(after)
            self.reply(json.dumps(answer).encode(), "application/json")

        def do_POST(self) -> None:
            _, _, words = self.path.partition("/")
            status, _, name = words.partition("/")
            if members.set_status(name, status):
                self.reply(b"told\n")
            else:
                self.reply(b"POST /leaving/NAME or /active/NAME\n", status=404)

    return StubServer(Discovery, port)


def platform_config(listen: str, members: ProviderList, discovery_at: str) -> dict[str, Any]:
    """The platform's file for a sidecar among these."""
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery_at,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": members.snapshot(),
        "settings": SETTINGS,
    }


def port_of(address: str) -> int:
    return int(address.rpartition(":")[2])


def main() -> None:
    with open(sys.argv[1] if len(sys.argv) > 1 else "examples/config.json", encoding="utf-8") as opened:
        config = json.load(opened)
    listed = [(entry["name"], entry["address"]) for entry in config["known"]["endpoints"]]
    for name, address in listed:
        start_provider(name, port_of(address))
    start_discovery(ProviderList(listed, config["settings"]["zone"]), port_of(config["discovery"]))
    threading.Event().wait()


if __name__ == "__main__":
    main()
