"""Coordination parts without I/O: no socket, no clock, no event loop."""
