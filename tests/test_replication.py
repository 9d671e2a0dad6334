"""The copies on real processes: founding, words to the fleet, a leader lost, a member replaced, no majority, off."""

from fleet_scene import FleetScene


class FleetTest(FleetScene):
    def test_a_word_at_a_follower_holds_at_all(self):
        sidecars = self.fleet()
        self.begin()
        self.assertRegex(sidecars["f0"].call("FLEET-DISABLE s0"), "^OK disabled")
        for sidecar in sidecars.values():
            self.wait(lambda sidecar=sidecar: sidecar.stands()["out"] == "s0", 1)
        print([s.call("FLEET") for s in sidecars.values()])
