"""Stand-ins for the systems around the sidecar, written from the published protocol. Loopback only."""
