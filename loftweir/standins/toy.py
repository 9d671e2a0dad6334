"""Stub providers and a stub discovery service on loopback, to try the sidecar with. Standard library only.

``python -m loftweir.standins.toy [FILE]`` starts them at the addresses of the providers and discovery in a platform
file, examples/config.json by default.
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

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
MAX_WATCH_SECONDS = 60

# The settings of the platform file.
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
    """Answers HTTP requests without a log."""

    protocol_version = "HTTP/1.1"

    def handle(self) -> None:
        """Ignores a client that closes while its response is written, as a sidecar does at SIGTERM."""
        with suppress(BrokenPipeError, ConnectionResetError):
            super().handle()

    def finish(self) -> None:
        """Ignores a closed connection, as `handle` does."""
        with suppress(BrokenPipeError, ConnectionResetError):
            super().finish()

    def respond(self, body: bytes, kind: str = "text/plain", status: int = 200) -> None:
        """Sends a whole response."""
        self.send_response(status)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self) -> bytes:
        """Reads the request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def log_message(self, format: str, *args: Any) -> None:
        """Logs nothing, so that only the sidecar's log is shown."""


class StubServer:
    """An HTTP server with a thread of its own. Port 0: any free port."""

    def __init__(self, handler: type[QuietHandler], port: int = 0) -> None:
        self.server = ThreadingHTTPServer(("127.0.0.1", port), handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stops the server and releases its port."""
        self.server.shutdown()
        self.server.server_close()


def start_provider(name: str, port: int = 0) -> StubServer:
    """Starts a provider that answers each request with its own name, the request line and the body."""

    class Provider(QuietHandler):
        def do_GET(self) -> None:
            self.respond(f"{name} served {self.command} {self.path} {self.body().decode(errors='replace')}\n".encode())

        do_POST = do_GET

    return StubServer(Provider, port)


class ProviderList:
    """The endpoint list of discovery. `changed` is notified of each new version."""

    def __init__(self, providers: Iterable[tuple[str, str]], zone: str = "alm-1") -> None:
        self.index = 1
        self.changed = threading.Condition()
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
        """The response with the whole list, or one without entries if `known` is the current version."""
        entries = [] if known == self.index else list(self.entries.values())
        return {"index": self.index, "snapshot": known != self.index, "endpoints": entries}

    def set_status(self, name: str, status: str) -> bool:
        """Sets a provider's status; returns False if the provider or the status is unknown."""
        with self.changed:
            if name not in self.entries or status not in ("active", "leaving"):
                return False
            self.entries[name]["status"] = status
            self.index += 1
            self.changed.notify_all()
            return True


def start_discovery(providers: ProviderList, port: int = 0) -> StubServer:
    """Starts a discovery service with watches. POST /leaving/NAME and /active/NAME change a provider's status."""

    class Discovery(QuietHandler):
        def do_GET(self) -> None:
            query = parse_qs(urlsplit(self.path).query)
            after = int(query.get("after", ["-1"])[0])
            wait = min(int(query.get("wait_ms", ["0"])[0]) / 1000, MAX_WATCH_SECONDS)
            with providers.changed:
                providers.changed.wait_for(lambda: providers.index > after, wait)
                response = providers.snapshot(after)
            self.respond(json.dumps(response).encode(), "application/json")

        def do_POST(self) -> None:
            _, _, rest = self.path.partition("/")
            status, _, name = rest.partition("/")
            if providers.set_status(name, status):
                self.respond(b"told\n")
            else:
                self.respond(b"POST /leaving/NAME or /active/NAME\n", status=404)

    return StubServer(Discovery, port)


def platform_config(listen: str, providers: ProviderList, discovery_address: str) -> dict[str, Any]:
    """The content of the platform file for a sidecar that uses these providers and this discovery service."""
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery_address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": providers.snapshot(),
        "settings": SETTINGS,
    }


def port_of(address: str) -> int:
    """The port of HOST:PORT."""
    return int(address.rpartition(":")[2])


def main() -> None:
    """Starts the providers and discovery of a platform file and runs until the process is ended."""
    with open(sys.argv[1] if len(sys.argv) > 1 else "examples/config.json", encoding="utf-8") as opened:
        config = json.load(opened)
    listed = [(entry["name"], entry["address"]) for entry in config["known"]["endpoints"]]
    for name, address in listed:
        start_provider(name, port_of(address))
    start_discovery(ProviderList(listed, config["settings"]["zone"]), port_of(config["discovery"]))
    threading.Event().wait()


if __name__ == "__main__":
    main()
