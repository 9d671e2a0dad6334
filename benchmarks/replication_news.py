"""How long after its OK two hundred observers of one voter receive an override.

    python -m benchmarks.replication_news

Three real voters run on loopback; the observers are connections of this process, which also sends the command. Prints,
for the leader and for another voter, the time until the last observer has it, over several overrides.
"""

from __future__ import annotations

import select
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))
from fleet_scene import FleetScene  # noqa: E402

from loftweir.replication import wire  # noqa: E402

FOLLOWERS = 200  # observers of one voter
OVERRIDES = 20


class NotificationBench(FleetScene):
    """Three voters and the measurement on them."""

    keys = {"callers": FOLLOWERS + 8}

    def runTest(self):
        self.fleet(followers=0)
        self.start_sidecars()
        leader = self.leader().name
        for voter in (leader, next(n for n in self.seats if n != leader)):
            self.measure(voter, "the leader" if voter == leader else "another voter")

    def measure(self, voter, label):
        """Measures with all observers at one voter."""
        host, port = self.seats[voter].split(":")
        socks = {socket.create_connection((host, int(port))): wire.FrameReader() for _ in range(FOLLOWERS)}
        for sock in socks:
            sock.sendall(
                wire.encode_frame(wire.Hello(wire.VERSION, "loftweir", "x", "x", wire.ConnectionKind.FOLLOWER))
            )
        for sock in socks:
            sock.recv(4096)
        firsts, lasts, calls = [], [], []
        for n in range(OVERRIDES):
            index = int(self.sidecars[voter].fleet_status()["index"])
            for sock in socks:
                sock.sendall(wire.encode_frame(wire.FollowRequest(index, 30 * 10**9)))
            time.sleep(0.1)
            called_at = time.monotonic()
            assert self.sidecars["n0"].call(f"FLEET-DISABLE x{n}").startswith("OK")
            ok_at = time.monotonic()
            received, left = [], set(socks)
            while left:
                for sock in select.select(list(left), [], [], 5)[0]:
                    socks[sock].feed(sock.recv(65536))
                    if isinstance(socks[sock].next(), wire.FollowResponse):
                        received.append(time.monotonic() - ok_at)
                        left.remove(sock)
            calls.append(ok_at - called_at)
            firsts.append(received[0])
            lasts.append(received[-1])
        for sock in socks:
            sock.close()
        middle = OVERRIDES // 2
        print(
            f"{label}: OK after {sorted(calls)[middle] * 1000:.1f} ms median, {max(calls) * 1000:.1f} worst; from OK "
            f"to the last of {FOLLOWERS} {sorted(lasts)[middle] * 1000:.1f} ms median, {max(lasts) * 1000:.1f} worst"
        )


if __name__ == "__main__":
    case = NotificationBench()
    result = case.run()
    for _, text in [*result.errors, *result.failures]:
        print(text)
