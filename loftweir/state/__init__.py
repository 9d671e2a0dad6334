"""What a sidecar stores on disk: the format of its files (`sealed`), and the snapshot of the last list of providers.

The modules below this package that store files import it; it imports only `interface`.
"""
