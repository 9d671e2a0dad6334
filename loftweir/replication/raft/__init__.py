"""The parts of the consensus core, by those of the Raft paper (Ongaro and Ousterhout, 2014; "paper") and of Ongaro's
dissertation (2014). Each is a class that adds its part to those that it rests on; `replication.core.Core` is the whole.
No I/O, no clock."""
