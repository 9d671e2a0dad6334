"""Copies: what a sidecar holds for others is kept by further sidecars. Off unless the operator's file names members.

From the bottom up: `api` (the types), `core` (consensus, pure), `machine` (what is kept, pure), `disk` (the files),
`wire` (frames on a connection), `member` (a voter on sockets), `follower` (all others), `caller` (writes and reads).
"""
