"""Scale runs of the control plane: hundreds of stub sidecars beside real voters and a few real sidecars.

A stub sidecar (`hollow` in flags, printed lines and CSV files) does everything that the rest of the fleet sees of a
sidecar: the long poll to a voter and the watch on discovery, both by the program's own modules. It serves no requests,
and hundreds of them share one process. Nothing in `loftweir` imports this package. `python -m benchmarks.scale --help`
lists the scenarios; their results are in `docs/CAPACITY.md`.
"""
