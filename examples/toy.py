"""Toy providers and a toy discovery on loopback, to try the sidecar with. Standard library only."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PROVIDERS = {"toy-1": 8091, "toy-2": 8092}
DISCOVERY_PORT = 8500
NEWS = threading.Condition()
LIST = {"index": 1}
STATUS = dict.fromkeys(PROVIDERS, "active")


class Toy(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    name = ""

    def answer(self, body: bytes, kind: str = "text/plain") -> None:
        self.send_response(200)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self) -> None:
        sent = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.answer(f"{self.name} served {self.command} {self.path} {sent.decode()}\n".encode())

    do_POST = do_GET


class Discovery(Toy):
    def do_GET(self) -> None:
        query = parse_qs(urlsplit(self.path).query)
        after = int(query.get("after", ["0"])[0])
        with NEWS:
            NEWS.wait_for(lambda: LIST["index"] > after, int(query.get("wait_ms", ["0"])[0]) / 1000)
            endpoints = [
                {
                    "name": name,
                    "address": f"127.0.0.1:{port}",
                    "zone": "alm-1",
                    "type": "standard",
                    "group": 0,
                    "status": STATUS[name],
                    "weight": 1.0,
                    "since_ms": 0,
                }
                for name, port in PROVIDERS.items()
            ]
            if LIST["index"] == after:
                endpoints = []
            body = {"index": LIST["index"], "snapshot": bool(endpoints), "endpoints": endpoints}
        self.answer(json.dumps(body).encode(), "application/json")

    def do_POST(self) -> None:
        """POST /leaving/NAME or /active/NAME."""
        _, status, name = self.path.split("/")
        with NEWS:
            STATUS[name] = status
            LIST["index"] += 1
            NEWS.notify_all()
        self.answer(b"told\n")


def main() -> None:
    for name, port in PROVIDERS.items():
        provider = type(name, (Toy,), {"name": name})
        server = ThreadingHTTPServer(("127.0.0.1", port), provider)
        threading.Thread(target=server.serve_forever, daemon=True).start()
    ThreadingHTTPServer(("127.0.0.1", DISCOVERY_PORT), Discovery).serve_forever()


if __name__ == "__main__":
    main()
