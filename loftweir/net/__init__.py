"""The event loop, and TCP connections on it."""
