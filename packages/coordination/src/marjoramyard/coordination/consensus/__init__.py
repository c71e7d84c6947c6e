"""Raft consensus: elections, log replication, snapshots, membership."""
