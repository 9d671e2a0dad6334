"""The parts of the consensus core, divided as in the Raft paper (Ongaro and Ousterhout, 2014; "paper") and Ongaro's
dissertation (2014; "diss."). Each class adds its part to those that it is based on; `replication.core.Core` combines
them. No I/O and no clock.
"""
