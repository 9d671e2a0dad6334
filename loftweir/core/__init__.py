"""The protocol-independent core: invocations, their attempts, and the host of the balancer.

It deals in classes, effects, keys, deadlines and opaque payloads; docs/core.md describes what a frontend and a backend
must provide.
"""
