"""A simulation in virtual time of the systems around the sidecar: nodes, zones, discovery, clients and faults.

Pure: no I/O, no wall clock, no global randomness. `emulation.simulate` runs the real `Balancer` of each sidecar
instance through `interface.py`. The oracle checks what happened in the simulation, never what a balancer reports.
"""
