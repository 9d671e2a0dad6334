"""Telemetry: the catalogue of log events, the log itself, and the tools that read it back."""
