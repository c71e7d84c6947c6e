"""Which endpoints exist, by their own heartbeats."""
