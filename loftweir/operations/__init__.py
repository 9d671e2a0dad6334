"""Operators' commands to a running sidecar: how they are received, what they override, and where that is stored."""
