"""The fault harness of the copies: real sidecars, links and disks that fail, and an oracle over each run."""
