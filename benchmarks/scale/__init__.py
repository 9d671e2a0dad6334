"""Scale runs of the control plane: hundreds of hollow sidecars beside real voters and a few real sidecars.

A hollow sidecar does all that the rest of the fleet sees of one (the long poll to a voter and the watch on discovery,
both by the program's own modules) and serves no calls; hundreds share one process. Nothing of `loftweir` imports this
package. `python -m benchmarks.scale --help` lists the scenarios, `docs/CAPACITY.md` has what they gave.
"""
