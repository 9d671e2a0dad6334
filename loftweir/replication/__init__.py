"""Replication of a site's shared state among its sidecars with Raft. Off unless the operator's file names members.

The modules from the bottom up: `api` (the types), `core` (consensus, without I/O), `machine` (the replicated state
machine, without I/O), `disk` (stable storage), `wire` (frames on a connection), `member` (a voter with its sockets),
`follower` (an observer: every sidecar that does not vote), `caller` (commands and queries).
"""
