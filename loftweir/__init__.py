"""A load-balancing sidecar: it sends each request of its clients to a provider, in its own zone where it can."""

__version__ = "0.2.0"
