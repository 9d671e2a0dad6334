"""What a sidecar keeps on disk: the form of its files (`sealed`), and the snapshot of the last list it held.

Beneath the subsystems that keep files: it imports only `interface`.
"""
